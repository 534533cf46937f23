"""Chooses how long calls for changes wait, and the pauses between calls."""

MAX_CHANGE_WAIT_S = 20.0
# The configuration is known to be up to date only when a wait ends, so the wait
# is short compared with the largest age that the configuration may have.
CHANGE_WAIT_SHARE = 0.24
# At a large site the load of all instances' calls on the store matters more. The
# price is that keys are refused about a second earlier after the store is lost.
LARGE_SITE_WAIT_SHARE = 0.45
LARGE_SITE_UPSTREAMS = 30
# Many upstreams start at the same time. After a delay, one call reads the entries
# of several of them.
SETTLE_S = 0.4
LARGE_SITE_SETTLE_S = 1.2
FIRST_PAUSE_S = 0.1
# Short compared with the time within which an instance must be up to date again.
MAX_PAUSE_S = 0.5
MAX_DOUBLINGS = 10


def choose_change_wait_s(max_age_s: float, upstreams: int) -> float:
    """Choose how long a call may wait for changes.

    :param max_age_s: The largest age that the configuration may have, in
        seconds; 0 sets no limit.
    :param upstreams: The number of listed upstreams, as the site's size.
    :returns: The wait in seconds.
    """
    if not max_age_s:
        return MAX_CHANGE_WAIT_S
    is_large = upstreams >= LARGE_SITE_UPSTREAMS
    share = LARGE_SITE_WAIT_SHARE if is_large else CHANGE_WAIT_SHARE
    return min(MAX_CHANGE_WAIT_S, share * max_age_s)


def choose_list_delay_s(upstreams: int) -> float:
    """Choose the delay after changes of the list, so that one call reads several.

    :param upstreams: The number of listed upstreams, as the site's size.
    :returns: The delay in seconds; short compared with the time within which an
        instance must know that an upstream is leaving.
    """
    return LARGE_SITE_SETTLE_S if upstreams >= LARGE_SITE_UPSTREAMS else SETTLE_S


def double_pause_s(failures: int, max_pause_s: float = MAX_PAUSE_S) -> float:
    """Return a pause that doubles with each failure.

    :param failures: The number of consecutive failures; at least 1.
    :param max_pause_s: The longest pause, in seconds.
    :returns: The pause in seconds.
    """
    doublings = min(failures - 1, MAX_DOUBLINGS)
    return min(max_pause_s, FIRST_PAUSE_S * 2**doublings)
