"""Errors of the forwarding layer."""


class SourceError(Exception):
    """The store behind a source did not return a valid response to a call."""


class EraChangedError(SourceError):
    """The store was restored from a copy, so revisions from before are invalid.

    The caller must read all items again.
    """


class HistoryLostError(SourceError):
    """The store no longer holds the changes since a revision.

    The caller must read all items again.
    """
