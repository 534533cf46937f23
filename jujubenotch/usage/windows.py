"""Arithmetic of the windows of usage reports.

Window k begins k window lengths after the start of 1970, true time.
"""

from collections.abc import Mapping

# Longer than the time after its end in which a window can still be reported.
WINDOW_LIFETIME_S = 25.0


def find_window(true_time_s: float, window_s: float) -> int:
    """Return the window that contains a time.

    :param true_time_s: The true time, in seconds since the start of 1970.
    :param window_s: The length of a window, in seconds.
    """
    return int(true_time_s // window_s)


def find_end_s(window: int, window_s: float) -> float:
    """Return the true time at which a window ends, in seconds.

    :param window: The window's number.
    :param window_s: The length of a window, in seconds.
    """
    return (window + 1) * window_s


def select_windows(
    windows: Mapping[int, Mapping[str, int]],
    *,
    window_s: float,
    true_time_s: float,
    max_age_s: float,
) -> dict[int, Mapping[str, int]]:
    """Return the windows that have not ended for too long.

    :param windows: The counts by window.
    :param window_s: The length of a window, in seconds.
    :param true_time_s: The present true time, in seconds.
    :param max_age_s: The longest time since a window's end, in seconds.
    """
    return {
        window: counts
        for window, counts in windows.items()
        if find_end_s(window, window_s) >= true_time_s - max_age_s
    }
