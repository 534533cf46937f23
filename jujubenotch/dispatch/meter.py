"""The interface for counting what calls ask of services."""

from typing import Protocol

from jujubenotch.dispatch.call import Answer, Call


class Meter(Protocol):
    """Counts the steps of calls; its methods take no time and raise nothing."""

    def record_arrival(self, call: Call) -> None:
        """Count a call that has arrived."""

    def record_attempt_start(self, service: str) -> None:
        """Count a call that is sent to an upstream of a service."""

    def record_attempt_end(self, service: str, tokens: int) -> None:
        """Count a call that has left an upstream, with the tokens that were sent."""

    def record_begin(self, call: Call) -> None:
        """Count a call that has begun to run; once for each call.

        A stream begins with its first event, another response with its head.
        """

    def record_end(self, call: Call, answer: Answer) -> None:
        """Count the end of a call."""


class NoMeter:
    """Counts nothing.

    >>> NoMeter().record_attempt_start("a-service")
    """

    def record_arrival(self, call):
        """Ignore the call."""

    def record_attempt_start(self, service):
        """Ignore the attempt."""

    def record_attempt_end(self, service, tokens):
        """Ignore the attempt."""

    def record_begin(self, call):
        """Ignore the call."""

    def record_end(self, call, answer):
        """Ignore the call."""
