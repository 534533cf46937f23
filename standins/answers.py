"""Computes the expected response to a request from the request alone.

Every stand-in sends the same response to the same request, so a checker can tell
a complete response from one that is truncated, duplicated or mixed with another.
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
    """Compute a digest of the body fields that determine the response.

    :param body: The request body, decoded from JSON.
    :returns: The SHA-256 digest in hexadecimal.
    """
    digested_fields = [
        body.get("model"),
        body.get("messages"),
        body.get("prompt"),
        read_max_tokens(body),
    ]
    return hashlib.sha256(orjson.dumps(digested_fields)).hexdigest()


def read_max_tokens(body: dict) -> int:
    """Return the maximum length of the response, in tokens.

    :param body: The request body, decoded from JSON.
    """
    max_tokens = body.get("max_tokens") or body.get("max_completion_tokens")
    return int(max_tokens or DEFAULT_MAX_TOKENS)


def expected_tokens(body: dict) -> tuple[str, ...]:
    """Return the tokens of the expected response; joined, they are its text.

    :param body: The request body, decoded from JSON.
    """
    return _generate_tokens(compute_request_digest(body), read_max_tokens(body))


def make_expected_text(body: dict) -> str:
    """Return the complete text of the expected response.

    :param body: The request body, decoded from JSON.
    """
    return "".join(expected_tokens(body))


def count_expected_tokens(body: dict) -> int:
    """Return the length of the expected response, in tokens.

    :param body: The request body, decoded from JSON.
    """
    return len(expected_tokens(body))


def compute_call_digest(method: str, path: str, content: bytes) -> str:
    """Compute a digest of one call to a plain service.

    :param method: The HTTP method.
    :param path: The path that the service receives, with its query.
    :param content: The request body.
    :returns: The SHA-256 digest in hexadecimal.
    """
    digested_content = b"\n".join([method.encode(), path.encode(), content])
    return hashlib.sha256(digested_content).hexdigest()


def make_expected_service_response(method: str, path: str, content: bytes) -> bytes:
    """Return the complete response body of a plain service to one call.

    :param method: The HTTP method.
    :param path: The path that the service receives, with its query.
    :param content: The request body.
    """
    digest = compute_call_digest(method, path, content)
    receipt = "-".join(_generate_tokens(digest, SERVICE_ANSWER_TOKENS)).replace(" ", "")
    return orjson.dumps({"digest": digest, "receipt": receipt})


@lru_cache(maxsize=4096)
def _generate_tokens(digest, max_tokens):
    generator = random.Random(digest)
    factor = generator.lognormvariate(0.0, LENGTH_SIGMA)
    length = int(max_tokens * MEDIAN_LENGTH_RATIO * factor)
    length = max(1, min(length, max_tokens))
    first, *others = generator.choices(WORDS, k=length)
    return (first, *(f" {word}" for word in others))
