"""Errors of the claims package."""


class ClaimsError(Exception):
    """A claim's row or recorded answer can't be read."""


class RowUnreadableError(ClaimsError):
    """The value of a claim's row can't be decoded."""


class ClaimsUnavailableError(ClaimsError):
    """The platform did not answer any of the allowed tries."""
