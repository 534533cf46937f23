"""What is learned about the upstreams of a service."""

from dataclasses import dataclass, field

from jujubenotch.pace.means import DecayingMean, add_mean, clear
from jujubenotch.pace.usual import UsualTimes

# With this time constant an estimate has followed two thirds of a change after 5 s,
# and the phases of about 0.6 s in which machines are slow average out.
LEARNING_TIME_S = 5.0


@dataclass(kw_only=True, slots=True)
class Figures:
    """Sums of observations of one upstream, which can be added up.

    :param slowness: The logarithm of how long work takes relative to the service's
        usual times, while the machine's pace is as usual.
    :param limit: The number of concurrent requests before callers wait longer.
    :param pace: The logarithm of the pace that the upstream reports.
    """

    slowness: DecayingMean = field(default_factory=DecayingMean)
    limit: DecayingMean = field(default_factory=DecayingMean)
    pace: DecayingMean = field(default_factory=DecayingMean)

    @property
    def means(self) -> tuple[DecayingMean, DecayingMean, DecayingMean]:
        """All means, in the order of the message."""
        return self.slowness, self.limit, self.pace


@dataclass(kw_only=True, slots=True)
class UpstreamPace:
    """What is learned about one upstream.

    :param own: The observations of this instance.
    :param unsettled: Those of them that were not sent to the reader yet.
    :param sent: Those of them that were sent, but that ``total`` doesn't contain yet.
    :param total: The observations of all instances of the data centre.
    :param reported_pace: The pace in the newest report; ``None`` before the first.
    :param reported_s: When that report was made, monotonic, in seconds.
    :param log_slowness: The estimate of the slowness when it was last found.
    :param limit: The limit's sum and weight at that time.
    :param speed_class: Slowness in steps, changed with hysteresis.
    :param logged_class: The speed class that was logged last.
    """

    own: Figures = field(default_factory=Figures)
    unsettled: Figures = field(default_factory=Figures)
    sent: Figures = field(default_factory=Figures)
    total: Figures = field(default_factory=Figures)
    reported_pace: float | None = None
    reported_s: float = float("-inf")
    log_slowness: float = 0.0
    limit: tuple[float, float] = (0.0, 0.0)
    speed_class: int = 0
    logged_class: int = 0


@dataclass(kw_only=True, slots=True)
class ServicePace:
    """What is learned about the upstreams of one service.

    :param paced_s: When an upstream last reported the pace of its machine, monotonic,
        in seconds.
    :param median: The median logarithm of the upstreams' slowness.
    :param has_class_changes: Whether a speed class has changed since the last log
        lines about speed classes.
    :param median_s: When the estimates and the median were last found.

    >>> ServicePace().upstreams
    {}
    """

    upstreams: dict[str, UpstreamPace] = field(default_factory=dict)
    usual: UsualTimes = field(default_factory=UsualTimes)
    paced_s: float = float("-inf")
    median: float = 0.0
    median_s: float = float("-inf")
    has_class_changes: bool = False

    def find(self, name: str) -> UpstreamPace:
        """Return what is learned about an upstream; a new one has no observations.

        :param name: The upstream's name.
        """
        upstream = self.upstreams.get(name)
        if upstream is None:
            upstream = self.upstreams[name] = UpstreamPace(log_slowness=self.median)
        return upstream


def combine(upstream: UpstreamPace, number: int, now_s: float) -> DecayingMean:
    """Return one of the figures from all known observations.

    :param upstream: The upstream.
    :param number: The figure's place in ``Figures.means``.
    :param now_s: The present monotonic time, in seconds.
    """
    combined = DecayingMean(updated_s=now_s)
    for figures in (upstream.total, upstream.sent, upstream.unsettled):
        mean = figures.means[number]
        add_mean(combined, mean, now_s=now_s, time_s=LEARNING_TIME_S)
    return combined


def clear_figures(figures: Figures) -> None:
    """Remove all observations.

    :param figures: The figures; changed in place.
    """
    for mean in figures.means:
        clear(mean)
