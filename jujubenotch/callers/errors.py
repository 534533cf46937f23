"""Errors of the callers layer."""

from jujubenotch.outcomes import Refusal, RefusalReason


class CallersError(Exception):
    """A caller's request can't be taken."""


class RefusedRequestError(CallersError):
    """A request is refused before it is dispatched.

    :param status: The HTTP status to answer with.
    :param refusal: The reason, with a sentence for the caller.

    >>> RefusedRequestError(status=400, reason=RefusalReason.MALFORMED).status
    400
    """

    def __init__(self, *, status: int, reason: RefusalReason, detail: str = ""):
        super().__init__(detail)
        self.status = status
        self.refusal = Refusal(reason=reason, retry_after_s=0.0, detail=detail)
