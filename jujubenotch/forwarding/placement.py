"""Chooses the upstream of a request; no message passes between instances."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from jujubenotch.membership import choose_by_rendezvous
from jujubenotch.routing import Health

# A prompt's upstream is passed over once it has this much more work than the
# mean of its service.
MAX_LOAD_RATIO = 1.25
SPARE_REQUESTS = 1
# A prompt this long keeps an engine busy for several steps, which delays the
# tokens of all that run beside it.
LONG_PROMPT_TOKENS = 4500
# Part of a service's upstreams that long prompts stay off.
SHORT_SHARE = 0.4
SHORT_GROUP_KEY = "short-prompts"


@dataclass(kw_only=True, slots=True)
class UpstreamWork:
    """What this instance knows of one upstream's work.

    :param running: Requests that this instance has there.
    :param health: What recent results tell of it.
    """

    name: str
    slots: int
    running: int = 0
    health: Health = field(default_factory=Health)


def split_by_length(names: Collection[str], prompt_tokens: int) -> set[str]:
    """Choose the upstreams of a request by the length of its prompt.

    Task assignment by size: prompts that keep an engine busy for long run apart
    from short ones, whose streams must not pause. All instances split alike.

    :param names: The service's upstreams.
    :param prompt_tokens: Tokens of the prompt; 0 for a request without one.
    :returns: The names that it should go to.
    """
    if not prompt_tokens or len(names) < 2:
        return set(names)
    count = max(1, round(SHORT_SHARE * len(names)))
    short = set(choose_by_rendezvous(SHORT_GROUP_KEY, names, count))
    return set(names) - short if prompt_tokens >= LONG_PROMPT_TOKENS else short


def choose_upstream(
    candidates: Sequence[UpstreamWork], prefix_key: str, draw: float
) -> UpstreamWork:
    """Choose the upstream of a request.

    Equal prefixes go to the same upstream at every instance, as long as its
    load allows: all instances rank the upstreams alike. Requests without a
    prefix go to the least loaded one.

    :param candidates: The upstreams that may get it; at least one.
    :param prefix_key: Equal for requests with the same prompt prefix; empty
        when it has none.
    :param draw: A number from 0 up to 1, drawn for the request.
    :returns: The upstream.
    """
    if not prefix_key:
        return _choose_least_loaded(candidates, draw)
    mean = sum(work.running for work in candidates) / len(candidates)
    limit = MAX_LOAD_RATIO * mean + SPARE_REQUESTS
    by_name = {work.name: work for work in candidates}
    for name in choose_by_rendezvous(prefix_key, by_name, len(by_name)):
        if by_name[name].running <= limit:
            return by_name[name]
    return _choose_least_loaded(candidates, draw)


def _choose_least_loaded(candidates, draw):
    lowest = min(work.running for work in candidates)
    equal = [work for work in candidates if work.running == lowest]
    return equal[int(draw * len(equal))]
