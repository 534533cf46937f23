"""Errors of the daemon."""


class DaemonError(Exception):
    """The daemon can't start; the message has one line for each cause."""
