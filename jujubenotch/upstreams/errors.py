"""Errors of the upstreams layer, each with what it proves about the request."""


class UpstreamError(Exception):
    """An exchange with an upstream did not give a whole answer."""


class ConnectFailedError(UpstreamError):
    """No connection was made: the request was not sent."""


class ConnectionLostError(UpstreamError):
    """The connection ended early: the request may have run."""


class SilentUpstreamError(UpstreamError):
    """Nothing came within the idle timeout: the request may have run."""


class AnswerTooLargeError(UpstreamError):
    """The whole answer is larger than the bound in bytes."""
