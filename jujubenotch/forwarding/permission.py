"""Decides whether an upstream may get one more request from this instance."""

import math
from dataclasses import dataclass
from enum import StrEnum

from jujubenotch.forwarding.placement import UpstreamState


class HoldReason(StrEnum):
    """Why an upstream may get no request now."""

    LEAVING = "leaving"
    OTHER_VERSION = "other-version"
    LIMIT = "limit"
    WAIT = "wait"
    FULL = "full"
    UNRECORDED_VERSION = "unrecorded-version"


# A record of a version is written within about this time.
RECORD_WAIT_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """An upstream gets no request of this instance for some time.

    :param until_s: From when it may get one, in seconds; infinite when never.
    """

    reason: HoldReason
    until_s: float


def find_hold(
    state: UpstreamState,
    software_version: str | None,
    now_s: float,
    *,
    full_for_s: float = 0.0,
    held_versions: frozenset[str] = frozenset(),
) -> Hold | None:
    """Return why an upstream may not get a request now.

    Unlike an ejection, a hold is never disregarded for want of another upstream.

    :param state: The upstream's state, with what it has stated about itself.
    :param software_version: The only version that may get the request; ``None`` when
        any may.
    :param now_s: The present time on a clock that includes suspended time, in seconds.
    :param full_for_s: For how long the upstream has to be spared for want of room, in
        seconds; 0 when it need not be.
    :param held_versions: The versions that may not get the request for want of a
        record.
    :returns: The hold; ``None`` when the upstream may get a request.
    """
    statements = state.statements
    if software_version not in (None, state.software_version):
        return Hold(reason=HoldReason.OTHER_VERSION, until_s=math.inf)
    if statements.left_s is not None:
        return Hold(reason=HoldReason.LEAVING, until_s=math.inf)
    if state.software_version in held_versions:
        return Hold(reason=HoldReason.UNRECORDED_VERSION, until_s=now_s + RECORD_WAIT_S)
    wait, limit = statements.wait, statements.limit
    if wait is not None and now_s < wait.until_s:
        return Hold(reason=HoldReason.WAIT, until_s=wait.until_s)
    if limit is not None and now_s < limit.opens_s:
        return Hold(reason=HoldReason.LIMIT, until_s=limit.opens_s)
    if full_for_s > 0:
        return Hold(reason=HoldReason.FULL, until_s=now_s + full_for_s)
    return None
