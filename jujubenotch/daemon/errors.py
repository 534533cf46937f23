"""Errors of the daemon."""


class DaemonError(Exception):
    """The daemon can't start; the text is one clear line for each cause."""
