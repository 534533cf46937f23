"""Refuses keyed work while there is no platform to claim it on."""

from dataclasses import dataclass

from jujubenotch.dispatch import Answer, Call
from jujubenotch.outcomes import Outcome, RefusalReason


@dataclass(frozen=True, kw_only=True)
class Unclaimed:
    """Claims nothing: a keyed call is not run.

    >>> Unclaimed().finish(None, None)
    """

    async def look_up(self, call: Call) -> Answer | None:
        """Refuse a keyed call.

        :param call: The call.
        :returns: The refusal.
        """
        return Answer(
            outcome=Outcome.NOT_RUN,
            status=503,
            reason=RefusalReason.PLATFORM_UNAVAILABLE,
            retry_after_s=1.0,
        )

    async def take(self, call: Call) -> Answer | None:
        """Refuse a keyed call.

        :param call: The call.
        :returns: The refusal.
        """
        return await self.look_up(call)

    def finish(self, call: Call, answer: Answer) -> None:
        """Do nothing, since nothing is ever claimed.

        :param call: The call.
        :param answer: Its answer.
        """
