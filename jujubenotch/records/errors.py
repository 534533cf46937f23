"""Exceptions of the records package."""


class RecordsError(Exception):
    """A row, change or snapshot of the records can't be decoded."""
