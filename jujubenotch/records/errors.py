"""Errors of the records layer."""


class RecordsError(Exception):
    """Records that can't be read or don't fit together."""
