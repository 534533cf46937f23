"""Validates the body of a completion request and reads the fields for routing."""

import hashlib
from dataclasses import dataclass

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from jujubenotch.callers.errors import RefusedRequestError
from jujubenotch.outcomes import RefusalReason

DEFAULT_EXPECTED_TOKENS = 256
PREFIX_CHARACTERS = 512
BAD_REQUEST = 400


class CompletionBody(BaseModel):
    """The fields of a completion request that routing reads.

    All other fields are passed to the engine unchanged.

    >>> CompletionBody(model="a", prompt="b").stream
    False
    """

    model_config = ConfigDict(extra="ignore", strict=True)

    model: str = Field(min_length=1, max_length=256)
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    messages: list[dict] | None = Field(default=None, min_length=1)
    prompt: str | list | None = None


@dataclass(frozen=True, kw_only=True)
class Completion:
    """A valid completion request.

    :param expected_tokens: The caller's limit on the number of generated tokens,
        or a default if the caller sets none.
    :param prefix_key: Digest of the model and the beginning of the prompt.
    :param document: The decoded body, as the caller sent it.
    """

    model: str
    is_stream: bool
    expected_tokens: int
    prefix_key: str
    document: dict

    def write_body(self, priority: int) -> bytes:
        """Build the body for an engine.

        The router's priority replaces any priority that the caller sent.

        :param priority: The tier of the request; 0 is the most urgent.
        :returns: The body as JSON.
        """
        return orjson.dumps(self.document | {"priority": priority})


def read_completion(body: bytes, *, needs_messages: bool) -> Completion:
    """Validate the body of a completion request.

    :param body: The body as JSON.
    :param needs_messages: True for a chat completion, which must have messages;
        False for a plain completion, which must have a prompt.
    :returns: The valid request.
    :raises RefusedRequestError: The body is not a valid completion request.
    """
    try:
        document = orjson.loads(body)
        fields = CompletionBody.model_validate(document)
    except orjson.JSONDecodeError as error:
        raise _build_malformed_error("the body is not valid JSON") from error
    except ValidationError as error:
        raise _build_malformed_error(_describe_validation_error(error)) from error
    if needs_messages and fields.messages is None:
        raise _build_malformed_error(
            "messages: missing; give a list of at least one message"
        )
    if not needs_messages and fields.prompt is None:
        raise _build_malformed_error("prompt: missing; give a text")
    token_limit = fields.max_completion_tokens or fields.max_tokens
    return Completion(
        model=fields.model,
        is_stream=fields.stream,
        expected_tokens=token_limit or DEFAULT_EXPECTED_TOKENS,
        prefix_key=_digest_prefix(fields),
        document=document,
    )


def _build_malformed_error(detail):
    return RefusedRequestError(
        status=BAD_REQUEST, reason=RefusalReason.MALFORMED, detail=detail
    )


def _describe_validation_error(error):
    # The invalid value is omitted, because it may contain the caller's text.
    lines = []
    for item in error.errors(include_input=False, include_url=False):
        location = ".".join(str(part) for part in item["loc"]) or "body"
        lines.append(f"{location}: {item['msg']}")
    return "; ".join(lines)


def _digest_prefix(fields):
    beginning = fields.messages[0] if fields.messages else fields.prompt
    text = str(beginning)[:PREFIX_CHARACTERS]
    digest = hashlib.blake2b(f"{fields.model}\n{text}".encode(), digest_size=8)
    return digest.hexdigest()
