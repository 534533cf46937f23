"""Errors of the callers' HTTP interface."""

from jujubenotch.outcomes import Refusal, RefusalReason


class CallersError(Exception):
    """A caller's request cannot be accepted."""


class RefusedRequestError(CallersError):
    """A request is refused before it is dispatched.

    :param status: The HTTP status of the response.
    :param reason: Why the request is refused.
    :param detail: An explanation for the caller.

    >>> RefusedRequestError(status=400, reason=RefusalReason.MALFORMED).status
    400
    """

    def __init__(self, *, status: int, reason: RefusalReason, detail: str = ""):
        super().__init__(detail)
        self.status = status
        self.refusal = Refusal(reason=reason, retry_after_s=0.0, detail=detail)
