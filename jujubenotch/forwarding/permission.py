"""Decides whether an upstream may get one more request from this instance."""

import math
from dataclasses import dataclass
from enum import StrEnum

from jujubenotch.forwarding.notices import Statements


class HoldReason(StrEnum):
    """Why an upstream may get no request now."""

    LEAVING = "leaving"
    LIMIT = "limit"
    WAIT = "wait"


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """An upstream gets no request of this instance for some time.

    :param until_s: From when it may get one, in seconds; infinite when never.
    """

    reason: HoldReason
    until_s: float


def find_hold(statements: Statements, now_s: float) -> Hold | None:
    """Return why an upstream may get no further request now.

    Unlike an ejection, a hold is never disregarded for want of another upstream.

    :param statements: What the upstream has stated about itself.
    :param now_s: The present time on a clock that includes suspended time, in seconds.
    :returns: The hold; ``None`` when the upstream may get a request.
    """
    if statements.left_s is not None:
        return Hold(reason=HoldReason.LEAVING, until_s=math.inf)
    wait, limit = statements.wait, statements.limit
    if wait is not None and now_s < wait.until_s:
        return Hold(reason=HoldReason.WAIT, until_s=wait.until_s)
    if limit is not None and now_s < limit.opens_s:
        return Hold(reason=HoldReason.LIMIT, until_s=limit.opens_s)
    return None
