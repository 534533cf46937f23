"""Assigns upstreams to requests, using only the state of this instance."""

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jujubenotch.forwarding.division import (
    Division,
    choose_group,
    is_long_prompt,
    record_group_load,
)
from jujubenotch.forwarding.listing import UpstreamListing, find_usable
from jujubenotch.forwarding.placement import (
    UpstreamWork,
    choose_upstream,
    must_yield,
    record_report,
)
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.routing import is_ejected, may_probe, record_result, start_probe
from jujubenotch.work import Grant, LoadReport, WorkReport, WorkRequest

NO_UPSTREAM_RETRY_AFTER_S = 0.3
# By then some of the requests in progress have usually ended.
YIELD_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class GivenSlot:
    """A grant that has not been released yet.

    :param granted_s: When the grant was given, monotonic, in seconds.
    """

    work: UpstreamWork
    request: WorkRequest
    granted_s: float
    is_probe: bool


class PlacedCapacity:
    """Chooses an upstream for each request immediately, without a queue.

    :param listing: The known upstreams.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param read_listing_clock_s: Reads the clock that the times in the listing
        use, in seconds.
    :param draw: Returns a random number in [0, 1).

    >>> capacity = PlacedCapacity(
    ...     listing=UpstreamListing(),
    ...     read_clock_s=time.monotonic,
    ...     read_listing_clock_s=time.monotonic,
    ... )
    """

    def __init__(
        self,
        *,
        listing: UpstreamListing,
        read_clock_s: Callable[[], float],
        read_listing_clock_s: Callable[[], float],
        draw: Callable[[], float] = random.random,
    ):
        self._listing = listing
        self._read_clock_s = read_clock_s
        self._read_listing_clock_s = read_listing_clock_s
        self._draw = draw
        self._works: dict[str, UpstreamWork] = {}
        self._divisions: dict[str, Division] = {}
        self._given: dict[str, GivenSlot] = {}
        self._numbers = itertools.count(1)

    async def acquire(self, request: WorkRequest) -> Grant | Refusal:
        """Choose an upstream for a request.

        :param request: The request.
        :returns: The grant; a refusal when no upstream is known, or when the
            prompt is long and the chosen upstream is overloaded.
        """
        now_s = self._read_clock_s()
        works = self._list_works(request)
        candidates = self._find_candidates(request, works, now_s)
        if not candidates:
            return Refusal(
                reason=RefusalReason.NO_UPSTREAM,
                retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
                detail=f"no upstream of service {request.target} is known; "
                f"retry after {NO_UPSTREAM_RETRY_AFTER_S} s",
            )
        work = choose_upstream(
            candidates,
            request.prefix_key,
            draw=self._draw(),
            now_s=now_s,
        )
        is_shared = len(works) == 1
        is_long = is_long_prompt(request.prompt_tokens)
        if is_long and must_yield(work, is_shared=is_shared, now_s=now_s):
            return Refusal(
                reason=RefusalReason.QUEUE_FULL,
                retry_after_s=YIELD_RETRY_AFTER_S,
                detail=f"too many requests are waiting for service {request.target} to "
                f"accept a long prompt; retry after {YIELD_RETRY_AFTER_S} s",
            )
        return self._give(request, work, now_s)

    def release(self, grant: Grant, report: WorkReport, now_s: float) -> None:
        """Release a grant after its request has ended.

        :param grant: The grant.
        :param report: The result of the request.
        :param now_s: The present monotonic time, in seconds.
        """
        given = self._given.pop(grant.grant_id)
        given.work.running -= 1
        record_result(
            given.work.health,
            report.result,
            started_s=given.granted_s,
            now_s=now_s,
            is_probe=given.is_probe,
        )

    def record_load(self, upstream: str, report: LoadReport, now_s: float) -> None:
        """Record an upstream's load report.

        :param upstream: The upstream's name; an unknown one is ignored.
        :param report: The load report.
        :param now_s: The present monotonic time, in seconds.
        """
        work = self._works.get(upstream)
        if work is None:
            return
        record_report(work, report, now_s)
        for division in self._divisions.values():
            record_group_load(division, upstream, work.reported, now_s)

    def _list_works(self, request):
        listing_s = self._read_listing_clock_s()
        usable = find_usable(self._listing, request.target, listing_s)
        return [self._find_work(listed) for listed in usable]

    def _find_candidates(self, request, works, now_s):
        fresh = [work for work in works if work.name not in request.excluded_upstreams]
        well = [work for work in fresh if self._is_well(work, now_s)]
        group = self._choose_group(request, works, now_s)
        apart = [work for work in well if work.name in group]
        # An ejected upstream is better than none, and a second attempt at the
        # same upstream is better than a refusal.
        return apart or well or fresh or works

    def _choose_group(self, request, works, now_s):
        names = [work.name for work in works]
        if not request.prompt_tokens:
            return set(names)
        return choose_group(
            self._find_division(request),
            names,
            is_long=is_long_prompt(request.prompt_tokens),
            now_s=now_s,
        )

    def _find_division(self, request):
        return self._divisions.setdefault(request.target, Division())

    def _is_well(self, work, now_s):
        return not is_ejected(work.health, now_s) or may_probe(work.health, now_s)

    def _find_work(self, listed):
        work = self._works.get(listed.name)
        if work is None:
            work = UpstreamWork(name=listed.name, slots=listed.slots)
            self._works[listed.name] = work
        return work

    def _give(self, request, work, now_s):
        is_probe = may_probe(work.health, now_s)
        if is_probe:
            start_probe(work.health, now_s)
        work.running += 1
        grant = Grant(
            grant_id=str(next(self._numbers)),
            request_id=request.request_id,
            upstream=work.name,
        )
        self._given[grant.grant_id] = GivenSlot(
            work=work, request=request, granted_s=now_s, is_probe=is_probe
        )
        if work.reported_s is None and request.prompt_tokens:
            # Until the upstream has reported its load, this instance's own
            # requests stand in for the load.
            division = self._find_division(request)
            record_group_load(division, work.name, work.running, now_s)
        return grant

    def forget(self, names: Iterable[str]) -> None:
        """Discard the state of upstreams that no longer exist.

        :param names: The upstreams' names.
        """
        for name in names:
            self._works.pop(name, None)
