"""Request and response bodies of the chat and the text completion endpoint."""

import time

import orjson
from pydantic import BaseModel, ConfigDict, Field, model_validator

from standins.answers import compute_request_digest, expected_tokens, read_max_tokens
from standins.batching import CHARACTERS_PER_TOKEN

END_EVENT = b"data: [DONE]\n\n"


class GenerationRequest(BaseModel):
    """The request fields that an engine validates; all other fields are accepted."""

    model_config = ConfigDict(extra="allow")

    model: str
    messages: list[dict] | None = None
    prompt: str | list[str] | None = None
    max_tokens: int | None = Field(default=None, ge=1)
    stream: bool = False
    priority: int = 0

    @model_validator(mode="after")
    def _check_has_input(self):
        if self.messages is None and self.prompt is None:
            raise ValueError("messages or prompt must be given")
        return self


def read_prompt(body: dict) -> str:
    """Return the complete prompt text of a request.

    :param body: The request body, decoded from JSON.
    """
    if body.get("messages") is None:
        prompt = body["prompt"]
        return prompt if isinstance(prompt, str) else "\n".join(prompt)
    return "\n".join(str(message.get("content")) for message in body["messages"])


def make_unstreamed_body(body: dict) -> bytes:
    """Make the body of a response that is not streamed.

    :param body: The request body, decoded from JSON.
    """
    tokens = expected_tokens(body)
    text = "".join(tokens)
    reason = _compute_finish_reason(body, tokens)
    choice = {"index": 0, "finish_reason": reason, "logprobs": None}
    if _is_chat(body):
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    prompt_tokens = len(read_prompt(body)) // CHARACTERS_PER_TOKEN + 1
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": len(tokens),
        "total_tokens": prompt_tokens + len(tokens),
    }
    kind = "chat.completion" if _is_chat(body) else "text_completion"
    return orjson.dumps(
        {**_make_common_fields(body, kind), "choices": [choice], "usage": usage}
    )


def make_events(body: dict) -> list[bytes]:
    """Make the events of a streamed response, without its end marker.

    :param body: The request body, decoded from JSON.
    :returns: One event for each token; the ids of the events count from 1.
    """
    tokens = expected_tokens(body)
    kind = "chat.completion.chunk" if _is_chat(body) else "text_completion"
    common_fields = _make_common_fields(body, kind)
    events = []
    for number, token in enumerate(tokens, start=1):
        reason = _compute_finish_reason(body, tokens) if number == len(tokens) else None
        choice = {"index": 0, "finish_reason": reason, "logprobs": None}
        if _is_chat(body):
            choice["delta"] = {"content": token}
            if number == 1:
                choice["delta"]["role"] = "assistant"
        else:
            choice["text"] = token
        data = orjson.dumps({**common_fields, "choices": [choice]})
        events.append(b"id: %d\ndata: %b\n\n" % (number, data))
    return events


def make_error(message: str, kind: str) -> dict:
    """Make the body of an error response.

    :param message: Description of the error, in one sentence.
    :param kind: The type of the error, for instance ``invalid_request_error``.
    """
    return {"error": {"message": message, "type": kind, "param": None, "code": None}}


def _is_chat(body):
    return body.get("messages") is not None


def _compute_finish_reason(body, tokens):
    return "length" if len(tokens) >= read_max_tokens(body) else "stop"


def _make_common_fields(body, kind):
    return {
        "id": f"answer-{compute_request_digest(body)[:24]}",
        "object": kind,
        "created": int(time.time()),
        "model": body["model"],
    }
