"""Refuses long prompts that the engines of a service can't read in time."""

import logging
from dataclasses import dataclass, field

from jujubenotch.estimates import hash_to_fraction
from jujubenotch.forwarding.placement import Choice, must_shed_long_prompt
from jujubenotch.forwarding.prefill import PrefillLimit, count_ahead, is_prefill_full
from jujubenotch.forwarding.returns import (
    Shortage,
    choose_return_s,
    measure_shortage_s,
    record_refused,
)
from jujubenotch.forwarding.urgency import RecentTiers, is_spared, record_tier
from jujubenotch.logs import log_event
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.work import WorkRequest, describe_basis

logger = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class LongPrompts:
    """The long prompts of one service that came to this instance.

    :param prefill: The limit on those that wait for their first token.
    :param recent: The tiers of the recent ones.
    :param shortage: Since when some of them are refused.
    """

    prefill: PrefillLimit = field(default_factory=PrefillLimit)
    recent: RecentTiers = field(default_factory=RecentTiers)
    shortage: Shortage = field(default_factory=Shortage)


def shed_long_prompt(
    long_prompts: LongPrompts,
    request: WorkRequest,
    choice: Choice,
    *,
    is_short_full: bool,
    is_shared: bool,
    now_s: float,
) -> Refusal | None:
    """Refuse a long prompt if it has to give way to others.

    :param long_prompts: The long prompts of its service; changed in place.
    :param request: The long prompt.
    :param choice: The upstream chosen for it.
    :param is_short_full: Whether the upstreams for short prompts are full.
    :param is_shared: Whether the upstream serves short prompts as well.
    :param now_s: The present monotonic time, in seconds.
    :returns: The refusal; ``None`` when the prompt may be sent.
    """
    record_tier(long_prompts.recent, request.tier, now_s)
    spared = is_spared(long_prompts.recent, request.tier)
    is_overloaded = is_short_full or must_shed_long_prompt(
        choice.state, is_shared=is_shared, now_s=now_s
    )
    is_full = is_prefill_full(long_prompts.prefill, request.tier, is_spared=spared)
    if not is_full and (spared or not is_overloaded):
        return None
    record_refused(long_prompts.shortage, now_s)
    retry_after_s = choose_return_s(
        long_prompts.shortage,
        is_urgent=spared,
        left_s=request.deadline_s - now_s,
        # The same for each refusal of a request, and another one for each request.
        draw=hash_to_fraction(request.request_id),
        now_s=now_s,
    )
    log_event(
        logger,
        logging.INFO,
        "long-prompt-refused",
        request_id=request.request_id,
        tier=request.tier,
        is_spared=spared,
        is_short_full=is_short_full,
        upstream=choice.state.name,
        slots=choice.state.slots,
        shortage_s=round(measure_shortage_s(long_prompts.shortage, now_s), 3),
        retry_after_s=round(retry_after_s, 3),
        **_describe_prefill(long_prompts.prefill, request.tier),
        **describe_basis(choice.basis),
    )
    return Refusal(
        reason=RefusalReason.QUEUE_FULL,
        retry_after_s=retry_after_s,
        detail=f"too many requests wait for {request.target}; come back",
    )


def _describe_prefill(prefill, tier):
    return {
        "waiting": count_ahead(prefill, tier),
        "limit": None if prefill.limit is None else round(prefill.limit, 2),
        "mean_wait_share": round(prefill.mean.value or 0.0, 2),
    }
