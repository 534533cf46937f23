"""What an upstream states about itself in the head of a response."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class UpstreamNotice:
    """The statements in one response; each response replaces those of earlier ones.

    :param limit_per_s: The number of requests per second that the upstream accepts
        from all instances together; ``None`` when it states no limit.
    :param rejected: The names and values that can't be interpreted, shortened; they
        are ignored.

    >>> UpstreamNotice(limit_per_s=3.5).rejected
    ''
    """

    limit_per_s: float | None = None
    rejected: str = ""
