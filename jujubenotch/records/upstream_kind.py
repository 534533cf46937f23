"""Kinds of upstreams."""

from enum import StrEnum


class UpstreamKind(StrEnum):
    """What an upstream serves."""

    MODEL = "model"
    SERVICE = "service"
