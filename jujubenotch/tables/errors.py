"""Errors of the platform layer."""


class PlatformError(Exception):
    """The platform did not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """The platform can't be reached or is down; nothing took effect."""


class ReplyLostError(PlatformError):
    """No reply came to a write; it may have taken effect."""


class ConflictError(PlatformError):
    """A row's version is not the expected one; nothing took effect.

    :param table: The table of the first row that conflicts.
    :param key: The key of that row.
    """

    def __init__(self, *, table: str, key: str):
        super().__init__(f"row {key!r} of table {table!r} has another version")
        self.table = table
        self.key = key
