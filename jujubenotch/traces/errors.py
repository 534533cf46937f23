"""Errors of the traces layer."""


class TracesError(Exception):
    """A peer sent bytes that are not a valid trace."""
