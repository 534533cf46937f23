"""Renders and reads the metrics."""

from aioprometheus import render as render_registry
from aioprometheus.collectors import Collector

from jujubenotch.invariants import read_violations
from jujubenotch.metrics.model import Metrics


def render(metrics: Metrics, accept: str = "") -> tuple[bytes, str]:
    """Render all metrics in the format that a scraper accepts.

    :param metrics: The metrics.
    :param accept: The value of the request's ``Accept`` header.
    :returns: The body and its content type.
    """
    for name, count in read_violations().items():
        metrics.invariant_violations.set({"name": name}, count)
    body, headers = render_registry(metrics.registry, [accept] if accept else [])
    return body, headers["Content-Type"]


def read_value(collector: Collector, **labels: str) -> float:
    """Read the value of one counter or gauge.

    :param collector: A counter or gauge of :class:`Metrics`.
    :param labels: The labels of the value; ``class``, a keyword in Python, is
        passed as ``service_class``.
    :returns: The value; 0 when none has been recorded yet.
    """
    if "service_class" in labels:
        labels["class"] = labels.pop("service_class")
    try:
        return collector.get(labels)
    except KeyError:
        return 0
