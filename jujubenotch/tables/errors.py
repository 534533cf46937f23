"""Exceptions of the platform clients."""


class PlatformError(Exception):
    """Base class of the failures of a call to the platform."""


class PlatformUnavailableError(PlatformError):
    """The platform can't be reached or is down; the call had no effect."""


class ReplyLostError(PlatformError):
    """No usable reply to a write was received; the write may have taken effect."""


class ConflictError(PlatformError):
    """A row does not have the expected version; the transaction had no effect.

    :param table: The table of the first conflicting row.
    :param key: The key of the first conflicting row.
    """

    def __init__(self, *, table: str, key: str):
        super().__init__(
            f"row {key!r} of table {table!r} does not have the expected version; "
            "no write of the transaction was applied"
        )
        self.table = table
        self.key = key
