"""Errors of the operators' interface."""


class OperatorsError(Exception):
    """An operator's request can't be taken.

    :param status: The HTTP status.
    :param reason: A word for programs.
    :param detail: A sentence for people.
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
    """A body is not the document that is asked for."""

    def __init__(self, detail: str):
        super().__init__(status=400, reason="malformed", detail=detail)


class NotKnownError(OperatorsError):
    """What was asked for is not known here."""

    def __init__(self, detail: str):
        super().__init__(status=404, reason="not-known", detail=detail)


class ConflictingDrainError(OperatorsError):
    """Another operator did the opposite meanwhile."""

    def __init__(self, detail: str):
        super().__init__(status=409, reason="conflict", detail=detail)
