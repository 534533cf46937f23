"""Errors of the claims layer."""


class ClaimsError(Exception):
    """A claim's row or recorded answer can't be read."""


class RowUnreadableError(ClaimsError):
    """A row holds what this version can't decode."""


class ClaimsUnavailableError(ClaimsError):
    """The platform did not answer within the tries allowed."""
