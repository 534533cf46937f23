"""Errors of the sessions between instances."""


class PeerError(Exception):
    """A peer can't be reached or violates the protocol."""


class PeerLostError(PeerError):
    """A session has ended, was refused, or does not exist."""


class MalformedFrameError(PeerError):
    """A frame violates the protocol."""
