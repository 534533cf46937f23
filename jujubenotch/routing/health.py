"""Ejects upstreams that crash or stop answering, and reinstates them by probes.

An upstream that failed several times in a row gets no requests for a time that
doubles with each failed probe. After that time one request serves as a probe.
The upstream is reinstated when the probe succeeds or has run for several seconds
without a failure.
"""

from dataclasses import dataclass

from jujubenotch.work import WorkResult

EJECT_AT_POINTS = 3
FAILURE_POINTS = {
    WorkResult.CONNECT_FAILED: 2,
    WorkResult.SILENT: 2,
    WorkResult.LOST: 1,
    WorkResult.ERROR: 1,
}
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
PROBE_SUCCESS_AFTER_S = 5.0


@dataclass(kw_only=True, slots=True)
class Health:
    """The health of one upstream, by the results of its recent requests.

    :param failure_points: Sum of the weights of the failures since the last success.
    :param ejections: Number of ejections since the upstream was last healthy.
    :param ejected_until_s: When a probe may be sent, monotonic, in seconds;
        ``None`` while the upstream is not ejected.
    :param probe_started_s: When the probe in progress started, monotonic, in
        seconds; ``None`` when no probe is in progress.

    >>> health = Health()
    >>> record_result(health, WorkResult.SILENT, started_s=0.0, now_s=1.0)
    >>> is_ejected(health, 1.0)
    False
    """

    failure_points: int = 0
    ejections: int = 0
    ejected_until_s: float | None = None
    probe_started_s: float | None = None


def record_result(
    health: Health,
    result: WorkResult,
    *,
    started_s: float,
    now_s: float,
    is_probe: bool = False,
) -> None:
    """Record how a request on an upstream ended.

    While the upstream is ejected, only the result of the probe counts, because
    other requests have usually been started before the ejection.

    :param health: The upstream's health; changed in place.
    :param result: How the request ended.
    :param started_s: When the request was granted, monotonic, in seconds.
    :param now_s: The present monotonic time, in seconds.
    :param is_probe: Whether the request was a probe.
    """
    accept_running_probe(health, now_s)
    is_current = is_probe and health.probe_started_s == started_s
    if is_current:
        health.probe_started_s = None
    if health.ejected_until_s is not None and not is_current:
        return
    if result in FAILURE_POINTS:
        health.failure_points += FAILURE_POINTS[result]
        if is_current or health.failure_points >= EJECT_AT_POINTS:
            _eject(health, now_s)
    elif result is WorkResult.COMPLETED:
        _recover(health)


def record_standstill(
    health: Health, *, started_s: float, now_s: float, is_probe: bool
) -> None:
    """Eject an upstream whose process stands still, although its requests go on.

    :param health: The upstream's health; changed in place.
    :param started_s: When the request that shows it was granted, monotonic, in seconds.
    :param now_s: The present monotonic time, in seconds.
    :param is_probe: Whether that request was a probe.
    """
    is_current = is_probe and health.probe_started_s == started_s
    if health.ejected_until_s is None or is_current:
        _eject(health, now_s)


def is_ejected(health: Health, now_s: float) -> bool:
    """Return whether an upstream gets no requests except probes.

    :param health: The upstream's health.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the upstream is ejected.
    """
    return health.ejected_until_s is not None and not _has_probe_succeeded(
        health, now_s
    )


def may_probe(health: Health, now_s: float) -> bool:
    """Return whether a probe may be sent now.

    :param health: The upstream's health.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the upstream is ejected, its ejection time has passed and no
        probe is in progress.
    """
    return (
        health.ejected_until_s is not None
        and health.probe_started_s is None
        and health.ejected_until_s <= now_s
    )


def start_probe(health: Health, now_s: float) -> None:
    """Record the start of a probe.

    :param health: The upstream's health; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    health.probe_started_s = now_s


def accept_running_probe(health: Health, now_s: float) -> bool:
    """Reinstate an upstream whose probe has run long enough without a failure.

    :param health: The upstream's health; changed in place.
    :param now_s: The present monotonic time, in seconds.
    :returns: Whether the upstream was reinstated.
    """
    if not _has_probe_succeeded(health, now_s):
        return False
    _recover(health)
    return True


def find_next_change_s(health: Health) -> float | None:
    """Return when an upstream's health next changes without any new result.

    :param health: The upstream's health.
    :returns: A monotonic time in seconds; ``None`` while the upstream is not
        ejected.
    """
    if health.ejected_until_s is None:
        return None
    if health.probe_started_s is None:
        return health.ejected_until_s
    return health.probe_started_s + PROBE_SUCCESS_AFTER_S


def _has_probe_succeeded(health, now_s):
    started_s = health.probe_started_s
    return started_s is not None and now_s - started_s >= PROBE_SUCCESS_AFTER_S


def _eject(health, now_s):
    ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
    health.ejections += 1
    health.ejected_until_s = now_s + ejection_s
    health.probe_started_s = None


def _recover(health):
    health.failure_points = 0
    health.ejections = 0
    health.ejected_until_s = None
    health.probe_started_s = None
