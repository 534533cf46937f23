"""Adds up what the instances of a data centre learned, without counting twice.

Each instance sends its own sums to the reader, which adds up the newest ones of all
and sends the totals to everybody. Sums that are lost or repeated do no harm, as the
next ones replace them. An instance adds to the totals what it observed since it last
sent its own sums, so the totals need not contain it yet.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from jujubenotch.pace.learn import PACE_VALID_S, clip_pace
from jujubenotch.pace.means import DecayingMean, add_mean, decay
from jujubenotch.pace.model import (
    LEARNING_TIME_S,
    Figures,
    ServicePace,
    clear_figures,
)

# Sums of a sender that is silent for this time have decayed to a twentieth.
SENDER_LIFETIME_S = 3 * LEARNING_TIME_S
# Below this weight an observation no longer matters.
MIN_WEIGHT = 0.05
MAX_SENDERS = 512
MAX_UPSTREAMS = 2_000
# Limits on what a message may claim, so that a wrong one can't displace all others.
MAX_WEIGHT = 10_000.0
# The bounds of the means, in the order of ``Figures.means``: logarithms of ratios, and
# a number of requests. Beyond them an exponential might overflow.
MAX_VALUES = (5.0, 100_000.0, 7.0)
ROUNDING = 0.01
MEANS = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class SharedPace:
    """The figures of one upstream in a message.

    :param sums: The total and the weight of each mean, in the order of
        ``Figures.means``.
    :param load: Running and waiting requests in the newest report; ``None`` without
        a report.
    :param pace: The pace in that report; ``None`` without one.
    :param age_s: The report's age when the message was sent, in seconds.
    """

    service: str
    upstream: str
    sums: tuple[float, ...] = ()
    load: int | None = None
    pace: float | None = None
    age_s: float = 0.0


@dataclass(kw_only=True)
class SharedPaces:
    """What the instances of a data centre have sent to this one, as it is the reader.

    :param senders: The newest sums of each sender, by its address, with the time of
        receipt on the monotonic clock in seconds.
    """

    senders: dict[str, tuple[float, dict[tuple[str, str], Figures]]] = field(
        default_factory=dict
    )


def read_own_sums(service: ServicePace, name: str, now_s: float) -> tuple[float, ...]:
    """Return this instance's own sums for an upstream.

    :param service: The service; its means are only decayed.
    :param name: The upstream's name.
    :param now_s: The present monotonic time, in seconds.
    :returns: The sums; empty when they no longer matter.
    """
    upstream = service.upstreams.get(name)
    return () if upstream is None else write_sums(upstream.own, now_s)


def write_sums(figures: Figures, now_s: float) -> tuple[float, ...]:
    """Return the totals and the weights of figures.

    :param figures: The figures; only decayed.
    :param now_s: The present monotonic time, in seconds.
    :returns: The sums; empty when they no longer matter.
    """
    for mean in figures.means:
        decay(mean, now_s, LEARNING_TIME_S)
    if all(mean.weight < MIN_WEIGHT for mean in figures.means):
        return ()
    return tuple(
        round(value, 3) for mean in figures.means for value in (mean.total, mean.weight)
    )


def read_sums(sums: Iterable[float], now_s: float) -> Figures | None:
    """Make figures from the sums in a message.

    :param sums: The sums.
    :param now_s: The present monotonic time, in seconds.
    :returns: The figures; ``None`` when the sums are impossible.
    """
    values = list(sums)
    if len(values) < 2 * MEANS:
        return None
    means = []
    pairs = zip(values[: 2 * MEANS : 2], values[1 : 2 * MEANS : 2], strict=True)
    for (total, weight), bound in zip(pairs, MAX_VALUES, strict=True):
        # The comparison is also false for values that aren't numbers.
        if not (0 <= weight <= MAX_WEIGHT and abs(total) <= bound * weight + ROUNDING):
            return None
        means.append(DecayingMean(total=total, weight=weight, updated_s=now_s))
    slowness, limit, pace = means
    return Figures(slowness=slowness, limit=limit, pace=pace)


def mark_sent(services: Mapping[str, ServicePace], now_s: float) -> None:
    """Record that the own sums were sent; later totals contain them.

    :param services: The services; changed in place.
    :param now_s: The present monotonic time, in seconds.
    """
    for service in services.values():
        for upstream in service.upstreams.values():
            for sent, unsettled in zip(
                upstream.sent.means, upstream.unsettled.means, strict=True
            ):
                add_mean(sent, unsettled, now_s=now_s, time_s=LEARNING_TIME_S)
            clear_figures(upstream.unsettled)


def record_sender(
    shared: SharedPaces, sender: str, entries: Iterable[SharedPace], now_s: float
) -> None:
    """Keep the sums of a sender; those that it sent before are replaced.

    :param shared: What was received; changed in place.
    :param sender: The address of the sender's endpoint.
    :param entries: The sums.
    :param now_s: The present monotonic time, in seconds.
    """
    _drop_silent(shared, now_s)
    if sender not in shared.senders and len(shared.senders) >= MAX_SENDERS:
        return
    figures = {}
    for entry in entries:
        sums = read_sums(entry.sums, now_s)
        if sums is not None and len(figures) < MAX_UPSTREAMS:
            figures[entry.service, entry.upstream] = sums
    _, known = shared.senders.get(sender, (now_s, {}))
    # A sender may need several messages for all of its upstreams.
    shared.senders[sender] = (now_s, {**known, **figures})


def find_totals(
    shared: SharedPaces,
    services: Mapping[str, ServicePace],
    now_s: float,
) -> dict[tuple[str, str], Figures]:
    """Add up the sums of this instance and of all senders.

    :param shared: What was received.
    :param services: What this instance learned itself.
    :param now_s: The present monotonic time, in seconds.
    :returns: The totals, by service and upstream.
    """
    _drop_silent(shared, now_s)
    totals: dict[tuple[str, str], Figures] = {}
    for service_name, service in services.items():
        for name, upstream in service.upstreams.items():
            _add_figures(totals, (service_name, name), upstream.own, now_s)
    for _, figures in shared.senders.values():
        for key, sums in figures.items():
            _add_figures(totals, key, sums, now_s)
    return totals


def apply_total(
    service: ServicePace, name: str, total: Figures, *, is_own_settled: bool = False
) -> None:
    """Take up the total of an upstream.

    :param service: The service; changed in place.
    :param name: The upstream's name.
    :param total: The observations of all instances.
    :param is_own_settled: Whether the total contains all own observations.
    """
    upstream = service.find(name)
    upstream.total = total
    clear_figures(upstream.sent)
    if is_own_settled:
        clear_figures(upstream.unsettled)


def take_reported_pace(
    service: ServicePace, name: str, pace: float, reported_s: float, now_s: float
) -> None:
    """Take up the pace in a report that another instance received.

    It is not an observation of this instance; the totals contain it.

    :param service: The service; changed in place.
    :param name: The upstream's name.
    :param pace: The reported pace.
    :param reported_s: When the report was made, monotonic, in seconds.
    :param now_s: The present monotonic time, in seconds.
    """
    upstream = service.find(name)
    if now_s - reported_s < PACE_VALID_S and reported_s > upstream.reported_s:
        service.paced_s = max(service.paced_s, reported_s)
        upstream.reported_pace = clip_pace(pace)
        upstream.reported_s = reported_s


def _add_figures(totals, key, figures, now_s):
    total = totals.setdefault(key, Figures())
    for mean, other in zip(total.means, figures.means, strict=True):
        add_mean(mean, other, now_s=now_s, time_s=LEARNING_TIME_S)


def _drop_silent(shared, now_s):
    for sender, (received_s, _) in list(shared.senders.items()):
        if now_s - received_s > SENDER_LIFETIME_S:
            del shared.senders[sender]
