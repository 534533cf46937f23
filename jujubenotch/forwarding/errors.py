"""Errors of the forwarding layer."""


class SourceError(Exception):
    """A source of state did not answer."""


class HistoryLostError(SourceError):
    """The changes since a revision aren't known any more; read all anew."""
