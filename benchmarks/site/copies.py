"""Copies of responses, which upstreams send late on the same connection."""

import random
from dataclasses import dataclass

MAX_DELAY_S = 0.4
MIN_REFUSED_RATIO = 0.1
MAX_REFUSED_RATIO = 0.4
MIN_REFUSAL_RATIO = 0.3
NOT_RUN_PROOF = b"X-Not-Executed"
ID_HEADER = b"X-Attempt-Id"


@dataclass(frozen=True, kw_only=True)
class Copying:
    """How often an upstream refuses requests and copies its responses.

    :param refused_ratio: The share of the requests that are refused.
    :param refusal_ratio: The share of the refusals that are copied.
    :param answer_ratio: The share of the other responses that are copied.
    """

    refused_ratio: float
    refusal_ratio: float
    answer_ratio: float


def draw_copying(generator: random.Random) -> Copying:
    """Draw the shares.

    :param generator: The generator to draw from.
    """
    return Copying(
        refused_ratio=generator.uniform(MIN_REFUSED_RATIO, MAX_REFUSED_RATIO),
        refusal_ratio=generator.uniform(MIN_REFUSAL_RATIO, 1.0),
        answer_ratio=generator.random(),
    )


def draws_copy(copying: Copying, response: bytes, generator: random.Random) -> bool:
    """Return whether a response is copied; one that names no request never is.

    :param copying: The shares.
    :param response: The bytes of the response.
    :param generator: The generator that decides.
    """
    if ID_HEADER not in _read_head(response):
        return False
    ratio = copying.answer_ratio
    if is_refusal(response):
        ratio = copying.refusal_ratio
    return generator.random() < ratio


def is_refusal(response: bytes) -> bool:
    """Return whether a response states that its request was not run.

    :param response: The bytes of the response.
    """
    return NOT_RUN_PROOF in _read_head(response)


def _read_head(response):
    return response.partition(b"\r\n\r\n")[0]
