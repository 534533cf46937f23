"""The answer to a request, as a function of the request alone.

Every stand-in gives the same answer to the same request, so a checker can tell
a whole answer from a cut, mixed or doubled one.
"""

import hashlib
import random
from functools import lru_cache

import orjson

DEFAULT_MAX_TOKENS = 512
MEDIAN_LENGTH_RATIO = 0.25
LENGTH_SIGMA = 0.8
SERVICE_ANSWER_TOKENS = 16
WORDS = (
    "amber basalt cedar delta ember fjord granite harbour indigo juniper kelp "
    "lagoon maple nectar orchard pebble quartz river saffron tundra umber "
    "valley willow xenon yarrow zephyr"
).split()


def compute_request_digest(body: dict) -> str:
    """Digest the part of a body that the answer follows from.

    :param body: The request's decoded JSON.
    :returns: A hexadecimal digest.
    """
    essence = [
        body.get("model"),
        body.get("messages"),
        body.get("prompt"),
        read_max_tokens(body),
    ]
    return hashlib.sha256(orjson.dumps(essence)).hexdigest()


def read_max_tokens(body: dict) -> int:
    """Return the bound on the answer's length, in tokens.

    :param body: The request's decoded JSON.
    """
    bound = body.get("max_tokens") or body.get("max_completion_tokens")
    return int(bound or DEFAULT_MAX_TOKENS)


def expected_tokens(body: dict) -> tuple[str, ...]:
    """Return the answer's tokens; joined, they are its text.

    :param body: The request's decoded JSON.
    """
    return _draw_tokens(compute_request_digest(body), read_max_tokens(body))


def expected_text(body: dict) -> str:
    """Return the answer's whole text.

    :param body: The request's decoded JSON.
    """
    return "".join(expected_tokens(body))


def expected_length(body: dict) -> int:
    """Return the answer's length in tokens.

    :param body: The request's decoded JSON.
    """
    return len(expected_tokens(body))


def compute_call_digest(method: str, path: str, content: bytes) -> str:
    """Digest one call of a plain service.

    :param method: The HTTP method.
    :param path: The path as the service sees it, with its query.
    :param content: The request's body.
    :returns: A hexadecimal digest.
    """
    essence = b"\n".join([method.encode(), path.encode(), content])
    return hashlib.sha256(essence).hexdigest()


def expected_service_answer(method: str, path: str, content: bytes) -> bytes:
    """Return a plain service's whole answer to one call.

    :param method: The HTTP method.
    :param path: The path as the service sees it, with its query.
    :param content: The request's body.
    """
    digest = compute_call_digest(method, path, content)
    receipt = "-".join(_draw_tokens(digest, SERVICE_ANSWER_TOKENS)).replace(" ", "")
    return orjson.dumps({"digest": digest, "receipt": receipt})


@lru_cache(maxsize=4096)
def _draw_tokens(digest, max_tokens):
    generator = random.Random(digest)
    factor = generator.lognormvariate(0.0, LENGTH_SIGMA)
    length = int(max_tokens * MEDIAN_LENGTH_RATIO * factor)
    length = max(1, min(length, max_tokens))
    first, *others = generator.choices(WORDS, k=length)
    return (first, *(f" {word}" for word in others))
