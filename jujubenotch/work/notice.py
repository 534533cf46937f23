"""What an upstream states about itself in the head of a response."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Unreadable:
    """A statement that can't be interpreted.

    :param text: Its name and value, shortened.
    """

    text: str


@dataclass(frozen=True, kw_only=True)
class UpstreamNotice:
    """The statements in one response.

    :param limit_per_s: The number of requests per second that the upstream accepts
        from all instances together; ``None`` when it states no limit.
    :param is_leaving: Whether the upstream is about to go out of service.
    :param wait_s: How long the upstream wants no request of this instance, in seconds;
        ``None`` when it states no time.
    :param brittle_per_s: How many requests per second the upstream can turn away for
        want of room before it ends; ``None`` when it is not brittle.

    >>> UpstreamNotice(limit_per_s=3.5).is_leaving
    False
    """

    limit_per_s: float | Unreadable | None = None
    is_leaving: bool | Unreadable = False
    wait_s: float | Unreadable | None = None
    brittle_per_s: float | Unreadable | None = None

    @property
    def unreadable(self) -> str:
        """The statements that can't be interpreted; empty when there are none."""
        statements = (
            self.limit_per_s,
            self.is_leaving,
            self.wait_s,
            self.brittle_per_s,
        )
        texts = [each.text for each in statements if isinstance(each, Unreadable)]
        return "; ".join(texts)
