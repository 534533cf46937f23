"""Chooses an upstream by the expected time to the first token.

The expected wait and the reading of tokens that another upstream has cached are
both weighed in seconds. Besides the upstreams that are likely to have the prompt's
prefix cached, only a few drawn at random are compared. Instances that all know the
same reports therefore don't all choose the same upstream.
"""

import hashlib
import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from jujubenotch.pace.learn import (
    CLASS_STEP,
    read_hold_s,
    read_limit,
    read_pace,
    read_slowness,
)
from jujubenotch.pace.model import ServicePace
from jujubenotch.pace.usual import estimate_first_s, estimate_gap_s, estimate_read_s

# With two drawn upstreams the busiest has little more than the mean; each further one
# makes the instances' choices more alike.
DRAWN = 2
# How likely the prefix is cached on the upstreams in its ranking. Requests that don't
# fit on the first go to the second, so that few upstreams read the prefix.
CACHED_SHARES = (1.0, 0.6, 0.4, 0.2)
# Reading a token again also delays the others on the upstream and uses its machine.
# With a weight of 2, features/pace/fleet.py read 1.3 million tokens again at 450
# requests a second, with 6 between 0.6 and 0.8 million; first tokens were in time as
# often.
REREAD_WEIGHT = 6.0
# Pauses above this share of the target count as a loss, which grows up to the target
# for the first token where pauses are twice as long as they may be.
TOLERATED_GAP_SHARE = 0.6
# Loads are known inexactly, as the instances don't see each other's newest requests, so
# the wait grows from this share of the limit below it.
UNCERTAINTY_SHARE = 0.2
MAX_SPREADS = 30.0
DIGEST_BYTES = 8
DIGEST_VALUES = 2 ** (8 * DIGEST_BYTES)


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An upstream that may get the request.

    :param load: The estimated number of requests of all instances on it.
    """

    name: str
    load: float
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Need:
    """What a request needs of an upstream.

    :param prompt_tokens: The prompt's length, in tokens; 0 when unknown.
    :param prefix_tokens: The tokens that are cached where others with the same prefix
        were sent.
    :param first_token_target_s: The target for the first token, in seconds.
    :param gap_target_s: The target for pauses, in seconds; 0 without one.
    """

    prefix_key: str
    prompt_tokens: int
    prefix_tokens: int
    route: str
    first_token_target_s: float
    gap_target_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PacedChoice:
    """The chosen upstream, and what the choice was based on.

    :param prefix_rank: Its rank for the prefix; ``None`` when it has none that counts.
    :param expected_s: The expected time to the first token, in seconds.
    :param read_tokens: The tokens that it is expected to read.
    """

    name: str
    prefix_rank: int | None
    expected_s: float
    read_tokens: float


def choose_by_wait(
    service: ServicePace,
    candidates: Sequence[Candidate],
    need: Need,
    *,
    draw: Callable[[], float],
    now_s: float,
    spare: Sequence[Candidate] = (),
) -> PacedChoice:
    """Choose the upstream with the lowest expected cost among a few.

    :param service: What is learned about the service.
    :param candidates: The upstreams to choose from; at least one.
    :param need: What the request needs.
    :param draw: Returns a random number in [0, 1).
    :param now_s: The present monotonic time, in seconds.
    :param spare: Others that may get the request, but are not in its prefix's ranking.
    """
    by_name = {candidate.name: candidate for candidate in candidates}
    ranks = {}
    if need.prefix_key:
        ranking = rank_by_speed(service, need.prefix_key, by_name)
        ranks = {name: rank for rank, name in enumerate(ranking[: len(CACHED_SHARES)])}
    compared = dict.fromkeys(ranks)
    for pool in (candidates, spare):
        for _ in range(DRAWN if pool else 0):
            compared[pool[int(draw() * len(pool))].name] = None
    by_name |= {candidate.name: candidate for candidate in spare}
    costs = {
        name: _find_cost_s(service, by_name[name], need, ranks.get(name), now_s)
        for name in compared
    }
    name = min(costs, key=costs.__getitem__)
    rank = ranks.get(name)
    read_tokens = count_read_tokens(need, rank)
    return PacedChoice(
        name=name,
        prefix_rank=rank,
        expected_s=expect_first_s(service, by_name[name], read_tokens, now_s),
        read_tokens=read_tokens,
    )


def count_read_tokens(need: Need, rank: int | None) -> float:
    """Count the tokens that an upstream is expected to read.

    :param need: What the request needs.
    :param rank: The upstream's rank for the prefix; ``None`` when it has none.
    """
    share = 0.0 if rank is None else CACHED_SHARES[rank]
    return max(0.0, need.prompt_tokens - share * need.prefix_tokens)


def expect_first_s(
    service: ServicePace, candidate: Candidate, tokens: float, now_s: float
) -> float:
    """Return the expected time to the first token.

    :param service: What is learned about the service.
    :param candidate: The upstream.
    :param tokens: The number of tokens to read.
    :param now_s: The present monotonic time, in seconds.
    """
    factor = _find_factor(service, candidate.name, now_s)
    fill = candidate.load / max(1, candidate.slots)
    read_s = factor * estimate_first_s(service.usual, tokens, fill, now_s)
    limit = read_limit(service, candidate.name, candidate.slots, now_s)
    over = _expect_over(candidate.load + 1.0 - limit, UNCERTAINTY_SHARE * limit)
    return read_s + factor * read_hold_s(service, now_s) * over / limit


def rank_by_speed(service: ServicePace, key: str, names: Collection[str]) -> list[str]:
    """Rank upstreams for a key so that faster ones come first for more keys.

    This is weighted rendezvous hashing. Among upstreams of one speed class the order
    is that of ``choose_by_rendezvous``.

    :param service: What is learned about the service.
    :param key: The key.
    :param names: The upstreams' names.
    """
    return sorted(names, key=lambda name: _score(service, key, name), reverse=True)


def rank_fastest_first(service: ServicePace, ranking: Sequence[str]) -> list[str]:
    """Order upstreams by speed class, and within a class as they were ranked.

    :param service: What is learned about the service.
    :param ranking: The upstreams' names, ranked alike by all instances.
    """
    return sorted(ranking, key=lambda name: _find_class(service, name))


def _find_cost_s(service, candidate, need, rank, now_s):
    tokens = count_read_tokens(need, rank)
    expected_s = expect_first_s(service, candidate, tokens, now_s)
    reread = need.prefix_tokens if need.prefix_key else 0
    reread -= need.prompt_tokens - tokens
    reread_s = estimate_read_s(service.usual, max(0.0, reread), now_s)
    factor = _find_factor(service, candidate.name, now_s)
    extra_s = (REREAD_WEIGHT - 1.0) * factor * reread_s
    return expected_s + extra_s + _find_gap_loss_s(service, candidate, need, now_s)


def _find_gap_loss_s(service, candidate, need, now_s):
    if not need.gap_target_s:
        return 0.0
    fill = candidate.load / max(1, candidate.slots)
    usual_s = estimate_gap_s(service.usual, need.route, fill, now_s)
    if usual_s is None:
        return 0.0
    gap_s = usual_s * _find_factor(service, candidate.name, now_s)
    excess = gap_s / need.gap_target_s - TOLERATED_GAP_SHARE
    share = excess / (2.0 - TOLERATED_GAP_SHARE)
    return need.first_token_target_s * max(0.0, min(1.0, share))


def _expect_over(difference, spread):
    """Return how far a load that is known inexactly is expected to be over a limit."""
    if difference > MAX_SPREADS * spread:
        return difference
    return spread * math.log1p(math.exp(difference / spread))


def _find_factor(service, name, now_s):
    return read_slowness(service, name, now_s) * read_pace(service, name, now_s)


def _find_class(service, name):
    upstream = service.upstreams.get(name)
    return 0 if upstream is None else upstream.speed_class


def _score(service, key, name):
    text = f"{len(key)}:{key}{name}".encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
    fraction = (int.from_bytes(digest) + 0.5) / DIGEST_VALUES
    weight = math.exp(-CLASS_STEP * _find_class(service, name))
    return -weight / math.log(fraction), name
