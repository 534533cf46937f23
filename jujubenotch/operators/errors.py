"""Errors of the operator API."""


class OperatorsError(Exception):
    """An operator's request is refused.

    :param status: The HTTP status of the response.
    :param reason: The reason as a code that programs can match.
    :param detail: The reason as a sentence for the operator.
    """

    def __init__(self, *, status: int, reason: str, detail: str):
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class WrongKeyError(OperatorsError):
    """The operator's key is missing or wrong."""

    def __init__(self):
        super().__init__(
            status=401,
            reason="authentication",
            detail="give an operator's key as one header Authorization: Bearer KEY",
        )


class MalformedDocumentError(OperatorsError):
    """A request body or query parameter is invalid."""

    def __init__(self, detail: str):
        super().__init__(status=400, reason="malformed", detail=detail)


class NotKnownError(OperatorsError):
    """The requested record, request or upstream is not known."""

    def __init__(self, detail: str):
        super().__init__(status=404, reason="not-known", detail=detail)


class ConflictingDrainError(OperatorsError):
    """The drain could not be changed, for instance because of a conflict."""

    def __init__(self, detail: str):
        super().__init__(status=409, reason="conflict", detail=detail)
