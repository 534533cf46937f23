"""Errors of the upstreams layer and what each proves about the request."""


class UpstreamError(Exception):
    """An exchange with an upstream did not yield a complete response."""


class ConnectFailedError(UpstreamError):
    """No connection was established, so the request was not sent."""


class ConnectionLostError(UpstreamError):
    """The connection ended before the response did; the request may have run."""


class SilentUpstreamError(UpstreamError):
    """No data arrived within the timeout; the request may have run."""


class AnswerTooLargeError(UpstreamError):
    """The response body is larger than the maximum number of bytes."""
