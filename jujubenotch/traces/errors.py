"""Errors of the traces layer."""


class TracesError(Exception):
    """Bytes from a peer that are not a trace."""
