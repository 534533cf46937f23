"""Decodes what an upstream states about itself in the head of a response."""

from jujubenotch.upstreams import UpstreamAnswer
from jujubenotch.work import Unreadable, UpstreamNotice

MISDIRECTED_STATUS = 421
# The requests per second that the upstream accepts from all instances together.
REQUEST_LIMIT = "Server-Limit"
# The upstream is about to go out of service.
LEAVING = "Server-Leaving"
LEAVING_VALUE = "1"
# How many requests a second the upstream can turn away before it ends.
BRITTLE = "Server-Brittle"
# In a response that turns a request away: how many seconds to send nothing.
WAIT = "Retry-After"
TURNED_AWAY_STATUS = 503
# A higher limit can't be told from none.
MAX_LIMIT_PER_S = 1e6
# An upstream that names a longer time would be lost for the sake of one response.
MAX_WAIT_S = 300.0
MAX_TEXT_LENGTH = 80


def read_notice(answer: UpstreamAnswer) -> UpstreamNotice | None:
    """Decode the statements in the head of a response.

    :param answer: The response.
    :returns: The statements; ``None`` when another process than the expected one has
        responded.
    """
    if answer.status == MISDIRECTED_STATUS:
        return None
    return UpstreamNotice(
        limit_per_s=_read_amount(answer, REQUEST_LIMIT, MAX_LIMIT_PER_S),
        is_leaving=_read_leaving(answer),
        wait_s=_read_wait_s(answer),
        brittle_per_s=_read_amount(answer, BRITTLE, MAX_LIMIT_PER_S),
    )


def _read_leaving(answer):
    text = answer.find_header(LEAVING).strip()
    if text and text != LEAVING_VALUE:
        return _make_unreadable(LEAVING, text)
    return bool(text)


def _read_wait_s(answer):
    if answer.status != TURNED_AWAY_STATUS:
        return None
    return _read_amount(answer, WAIT, MAX_WAIT_S)


def _read_amount(answer, name, largest):
    """Return a decimal number from 0 to the largest one, or ``None`` without one."""
    text = answer.find_header(name)
    if not text:
        return None
    try:
        number = float(text)
    except ValueError:
        return _make_unreadable(name, text)
    return number if 0 <= number <= largest else _make_unreadable(name, text)


def _make_unreadable(name, text):
    return Unreadable(text=f"{name}: {text}"[:MAX_TEXT_LENGTH])
