"""Errors of the sessions between instances."""


class PeerError(Exception):
    """A peer can't be reached or does not keep to the protocol."""


class PeerLostError(PeerError):
    """A session ended or fell silent."""


class MalformedFrameError(PeerError):
    """A frame holds what the protocol does not allow."""
