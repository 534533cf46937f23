"""Queries of the metrics."""

from aioprometheus import render as render_registry
from aioprometheus.collectors import Collector

from jujubenotch.invariants import read_violations
from jujubenotch.metrics.model import Metrics


def render(metrics: Metrics, accept: str = "") -> tuple[bytes, str]:
    """Render all metrics for a scraper.

    :param metrics: The metrics.
    :param accept: The request's ``Accept`` header.
    :returns: The body and its content type.
    """
    for name, count in read_violations().items():
        metrics.invariant_violations.set({"name": name}, count)
    body, headers = render_registry(metrics.registry, [accept] if accept else [])
    return body, headers["Content-Type"]


def read_value(collector: Collector, **labels: str) -> float:
    """Read one counter or gauge.

    :param collector: A counter or gauge of :class:`Metrics`.
    :param labels: Its labels; ``class`` can be given as ``service_class``.
    :returns: Its value; 0 when nothing was recorded yet.
    """
    if "service_class" in labels:
        labels["class"] = labels.pop("service_class")
    try:
        return collector.get(labels)
    except KeyError:
        return 0
