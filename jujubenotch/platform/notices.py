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
        limit_per_s=_read_amount(answer, REQUEST_LIMIT, MAX_LIMIT_PER_S, min),
        is_leaving=_read_leaving(answer),
        wait_s=_read_wait_s(answer),
        brittle_per_s=_read_amount(answer, BRITTLE, MAX_LIMIT_PER_S, min),
    )


def _read_leaving(answer):
    values = _list_values(answer, LEAVING)
    if any(each != LEAVING_VALUE for each in values):
        return _make_unreadable(LEAVING, values)
    return bool(values)


def _read_wait_s(answer):
    if answer.status != TURNED_AWAY_STATUS:
        return None
    return _read_amount(answer, WAIT, MAX_WAIT_S, max)


def _read_amount(answer, name, largest, choose):
    """Return a decimal number from 0 to the largest one, or ``None`` without one.

    Of several values the stricter one is chosen.
    """
    values = _list_values(answer, name)
    if not values:
        return None
    try:
        numbers = [float(each) for each in values]
    except ValueError:
        return _make_unreadable(name, values)
    if not all(0 <= number <= largest for number in numbers):
        return _make_unreadable(name, values)
    return choose(numbers)


def _list_values(answer, name):
    """Return the values of a header, which may come more than once or as a list."""
    lines = [value for each, value in answer.headers if each.lower() == name.lower()]
    values = [each.strip() for line in lines for each in line.split(",")]
    return [each for each in values if each]


def _make_unreadable(name, values):
    return Unreadable(text=f"{name}: {', '.join(values)}"[:MAX_TEXT_LENGTH])
