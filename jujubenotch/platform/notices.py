"""Decodes what an upstream states about itself in the head of a response."""

from jujubenotch.upstreams import UpstreamAnswer
from jujubenotch.work import UpstreamNotice

MISDIRECTED_STATUS = 421
# The requests per second that the upstream accepts from all instances together.
REQUEST_LIMIT = "Server-Limit"
# A higher limit can't be told from none.
MAX_LIMIT_PER_S = 1e6
MAX_REJECTED_LENGTH = 80


def read_notice(answer: UpstreamAnswer) -> UpstreamNotice | None:
    """Decode the statements in the head of a response.

    :param answer: The response.
    :returns: The statements; ``None`` when another process than the expected one has
        responded.
    """
    if answer.status == MISDIRECTED_STATUS:
        return None
    text = answer.find_header(REQUEST_LIMIT)
    limit_per_s = _read_amount(text, MAX_LIMIT_PER_S)
    rejected = ""
    if text and limit_per_s is None:
        rejected = f"{REQUEST_LIMIT}: {text}"[:MAX_REJECTED_LENGTH]
    return UpstreamNotice(limit_per_s=limit_per_s, rejected=rejected)


def _read_amount(text, largest):
    """Return a decimal number from 0 to the largest one, or ``None``."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= largest else None
