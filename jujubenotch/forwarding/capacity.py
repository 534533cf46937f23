"""Assigns upstreams to requests, using only the state of this instance."""

import copy
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from jujubenotch.forwarding.division import (
    Division,
    choose_group,
    is_long_prompt,
    record_group_load,
)
from jujubenotch.forwarding.held import find_availability, refuse_held
from jujubenotch.forwarding.learned import (
    LearnedServices,
    Observation,
    choose_learned,
    find_learned,
    forget_learned,
    observe_end,
    observe_first_event,
    rank_for_short,
    record_learned_report,
)
from jujubenotch.forwarding.limit import use_opening
from jujubenotch.forwarding.listing import UpstreamListing, find_usable
from jujubenotch.forwarding.notices import record_notice
from jujubenotch.forwarding.placement import (
    UpstreamState,
    are_slots_taken,
    choose_upstream,
    record_report,
)
from jujubenotch.forwarding.prefill import (
    PrefillLimit,
    abandon_prefill,
    finish_prefill,
    start_prefill,
)
from jujubenotch.forwarding.shared_paces import PaceExchange, find_shared_count
from jujubenotch.forwarding.shedding import LongPrompts, shed_long_prompt
from jujubenotch.forwarding.sparing import (
    BrittleServices,
    make_room_check,
    record_brittleness,
    spare_after,
    spare_if_unheard,
)
from jujubenotch.forwarding.states import UpstreamStates
from jujubenotch.outcomes import Refusal, RefusalReason
from jujubenotch.routing import (
    is_ejected,
    may_probe,
    record_result,
    record_standstill,
    start_probe,
)
from jujubenotch.work import (
    Grant,
    LoadReport,
    UpstreamNotice,
    WorkReport,
    WorkRequest,
)

NO_UPSTREAM_RETRY_AFTER_S = 0.3

FindHeldVersions = Callable[[str, list[tuple[str, int]]], frozenset[str]]


@dataclass(kw_only=True, slots=True)
class OutstandingGrant:
    """A grant that has not been released yet.

    :param granted_s: When the grant was given, monotonic, in seconds.
    :param prefill: The limit that counts the request until its first token; ``None``
        for a request that isn't counted.
    :param observation: What is learned from the request; ``None`` when its service's
        upstreams don't report their pace.
    """

    state: UpstreamState
    request: WorkRequest
    granted_s: float
    is_probe: bool
    prefill: PrefillLimit | None = None
    observation: Observation | None = None


class DirectCapacity:
    """Chooses an upstream for each request immediately, without a queue.

    :param listing: The known upstreams.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    :param read_listing_clock_s: Reads the clock that the times in the listing
        use, in seconds.
    :param draw: Returns a random number in [0, 1).
    :param read_instance_count: Returns the number of instances that share the
        upstreams.
    :param report_limit: Called when an upstream names a limit.
    :param find_held_versions: Returns the versions of a service that may begin no
        resumable stream, from the version and the start of each upstream that takes
        new requests.

    >>> capacity = DirectCapacity(
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
        read_instance_count: Callable[[], int] = lambda: 1,
        report_limit: Callable[[], None] = lambda: None,
        find_held_versions: FindHeldVersions = lambda service, upstreams: frozenset(),
    ):
        self._listing = listing
        self._read_clock_s = read_clock_s
        self._read_listing_clock_s = read_listing_clock_s
        self._draw = draw
        self._read_instance_count = read_instance_count
        self._report_limit = report_limit
        self._find_held_versions = find_held_versions
        self.states = UpstreamStates()
        self.learned = LearnedServices()
        self.pace_exchange = PaceExchange(
            states=self.states,
            learned=self.learned,
            record_load=self._record_group_loads,
            read_own_counts=lambda: {
                service: division.short_count
                for service, division in self._divisions.items()
                if division.short_count
            },
        )
        self._divisions: dict[str, Division] = {}
        self._long_prompts: dict[str, LongPrompts] = {}
        self._brittle = BrittleServices(
            read_instance_count=read_instance_count, draw=draw
        )
        self._outstanding: dict[str, OutstandingGrant] = {}
        self._grant_numbers = itertools.count(1)

    async def acquire(self, request: WorkRequest) -> Grant | Refusal:
        """Choose an upstream for a request.

        :param request: The request.
        :returns: The grant; a refusal when no upstream is known, when all of them
            are held, or when the prompt is long and the chosen upstream is overloaded.
        """
        now_s = self._read_clock_s()
        listed = self._list_states(request)
        listing_s = self._read_listing_clock_s()
        availability = find_availability(
            listed,
            instances=self._read_instance_count(),
            draw=self._draw,
            now_s=listing_s,
            software_version=request.software_version,
            find_full_for_s=make_room_check(
                self._brittle, request.target, listed, now_s
            ),
            held_versions=self._choose_held_versions(request, listed),
        )
        states = availability.usable
        if availability.holds and not states:
            return refuse_held(
                request,
                availability.holds,
                draw=self._draw(),
                left_s=request.deadline_s - now_s,
                now_s=listing_s,
            )
        short_states = self._find_short_states(request, listed, states, now_s)
        is_short_full = are_slots_taken(short_states, now_s)
        is_long = is_long_prompt(request.prompt_tokens)
        # Short prompts are more urgent. While the upstreams reserved
        # for them are full, they may use the upstreams for long prompts as well.
        uses_all = is_short_full and not is_long
        candidates = self._find_candidates(
            request, listed, states, now_s, uses_all=uses_all
        )
        if not candidates:
            return Refusal(
                reason=RefusalReason.NO_UPSTREAM,
                retry_after_s=NO_UPSTREAM_RETRY_AFTER_S,
                detail=f"no upstream of {request.target} is known; come back",
            )
        choice, observation = self._choose(
            candidates,
            request,
            "" if uses_all else request.prefix_key,
            states if is_long else (),
            now_s,
        )
        if is_long:
            refusal = shed_long_prompt(
                self._find_long_prompts(request),
                request,
                choice,
                is_short_full=is_short_full,
                is_shared=len(listed) == 1,
                now_s=now_s,
            )
            if refusal is not None:
                return refusal
        return self._create_grant(request, choice, observation, now_s)

    def copy_state(self) -> "DirectCapacity":
        """Return a copy on which a decision changes nothing of this capacity.

        Grants of the copy must not be released, and reports not recorded there.
        """
        trial = copy.copy(self)
        (
            trial.states,
            trial.learned,
            trial._divisions,
            trial._long_prompts,
            trial._brittle,
        ) = copy.deepcopy(
            (
                self.states,
                self.learned,
                self._divisions,
                self._long_prompts,
                self._brittle,
            )
        )
        trial._outstanding = {}
        trial._grant_numbers = itertools.count(1)
        trial._report_limit = lambda: None
        return trial

    def _choose(self, candidates, request, prefix_key, states, now_s):
        service = find_learned(self.learned, request.target, now_s)
        if service is not None:
            own = {state.name for state in candidates}
            spare = [
                state
                for state in states
                if state.name not in own
                and state.name not in request.excluded_upstreams
                and not is_ejected(state.health, now_s)
            ]
            return choose_learned(
                service,
                candidates,
                request,
                prefix_key=prefix_key,
                spare=spare,
                draw=self._draw,
                now_s=now_s,
            )
        choice = choose_upstream(candidates, prefix_key, draw=self._draw(), now_s=now_s)
        return choice, None

    def release(self, grant: Grant, report: WorkReport, now_s: float) -> None:
        """Release a grant after its request has ended.

        :param grant: The grant.
        :param report: The result of the request.
        :param now_s: The present monotonic time, in seconds.
        """
        outstanding = self._outstanding.pop(grant.grant_id)
        outstanding.state.running -= 1
        spare_after(
            self._brittle,
            outstanding.state,
            outstanding.request,
            report.result,
            now_s=now_s,
        )
        if outstanding.prefill is not None:
            abandon_prefill(outstanding.prefill, outstanding.request.tier)
        self._learn_from_end(outstanding, report, now_s)
        record_result(
            outstanding.state.health,
            report.result,
            started_s=outstanding.granted_s,
            now_s=now_s,
            is_probe=outstanding.is_probe,
        )

    def record_standstill(self, grant: Grant, now_s: float) -> None:
        """Record that the process of a granted request's upstream stands still.

        :param grant: The grant.
        :param now_s: The present monotonic time, in seconds.
        """
        outstanding = self._outstanding[grant.grant_id]
        record_standstill(
            outstanding.state.health,
            started_s=outstanding.granted_s,
            now_s=now_s,
            is_probe=outstanding.is_probe,
        )

    def record_response_start(self, grant: Grant, now_s: float) -> None:
        """Record that the response to a granted request has begun.

        :param grant: The grant.
        :param now_s: The present monotonic time, in seconds.
        """
        outstanding = self._outstanding[grant.grant_id]
        if outstanding.prefill is None:
            return
        request = outstanding.request
        finish_prefill(
            outstanding.prefill,
            request.tier,
            sent_s=outstanding.granted_s,
            target_s=request.first_token_by_s - request.arrived_s,
            now_s=now_s,
        )
        outstanding.prefill = None

    def record_first_event(self, grant: Grant, now_s: float) -> None:
        """Record the first event of the stream of a granted request.

        :param grant: The grant.
        :param now_s: The present monotonic time, in seconds.
        """
        outstanding = self._outstanding[grant.grant_id]
        request = outstanding.request
        service = find_learned(self.learned, request.target, now_s)
        if service is not None and outstanding.observation is not None:
            observe_first_event(
                service,
                outstanding.observation,
                outstanding.state,
                request,
                granted_s=outstanding.granted_s,
                now_s=now_s,
            )

    def _learn_from_end(self, outstanding, report, now_s):
        request = outstanding.request
        service = find_learned(self.learned, request.target, now_s)
        if service is not None and outstanding.observation is not None:
            observe_end(
                service,
                outstanding.observation,
                outstanding.state,
                request,
                report,
                granted_s=outstanding.granted_s,
                now_s=now_s,
            )

    def record_load(self, upstream: str, report: LoadReport, now_s: float) -> None:
        """Record an upstream's load report.

        :param upstream: The upstream's name; an unknown one is ignored.
        :param report: The load report.
        :param now_s: The present monotonic time, in seconds.
        """
        state = self.states.find(upstream)
        if state is None:
            return
        record_report(state, report, now_s)
        known = self._listing.upstreams.get(upstream)
        if known is not None:
            service = known.listed.service
            record_learned_report(self.learned, service, upstream, report, now_s)
        if self._brittle.services:
            state.report_draw = self._draw()
        self._record_group_loads(upstream, state.reported, now_s)

    def _record_group_loads(self, upstream, load, now_s):
        for division in self._divisions.values():
            record_group_load(division, upstream, load, now_s)

    def record_notice(self, upstream: str, notice: UpstreamNotice) -> None:
        """Record what an upstream states about itself.

        :param upstream: The upstream's name; an unknown one is ignored.
        :param notice: The statements in the head of a response.
        """
        state = self.states.find(upstream)
        if state is not None:
            record_notice(
                state.statements,
                upstream,
                notice,
                instances=self._read_instance_count(),
                draw=self._draw(),
                now_s=self._read_listing_clock_s(),
            )
            if state.statements.limit is not None:
                self._report_limit()
            self._record_brittleness(upstream, notice)

    def _record_brittleness(self, upstream, notice):
        known = self._listing.upstreams.get(upstream)
        if known is not None and record_brittleness(
            self._brittle,
            known.listed.service,
            upstream,
            notice.brittle_per_s,
            now_s=self._read_clock_s(),
        ):
            self._report_limit()

    def _list_states(self, request):
        listing_s = self._read_listing_clock_s()
        usable = find_usable(self._listing, request.target, listing_s)
        return [self.states.add(listed) for listed in usable]

    def _choose_held_versions(self, request, states):
        if not request.is_resumable or request.software_version is not None:
            return frozenset()
        if len({state.software_version for state in states}) < 2:
            return frozenset()
        upstreams = [
            (state.software_version, self._find_started_ms(state.name))
            for state in states
            if state.statements.left_s is None
        ]
        return self._find_held_versions(request.target, upstreams)

    def _find_started_ms(self, name):
        return self._listing.upstreams[name].listed.started_ms

    def _find_short_states(self, request, listed, states, now_s):
        """Return the states of the upstreams that only short prompts use."""
        if not request.prompt_tokens or len(listed) < 2:
            return []
        names = self._choose_group(request, listed, now_s, is_long=False)
        return [state for state in states if state.name in names]

    def _find_candidates(self, request, listed, states, now_s, *, uses_all):
        untried = [
            state for state in states if state.name not in request.excluded_upstreams
        ]
        available = [state for state in untried if self._is_available(state, now_s)]
        if request.software_version is not None:
            # An upstream that failed may have been replaced by one of another version
            # that the list doesn't show yet, so a stream is not continued there.
            states = untried
        if uses_all:
            return available or untried or states
        is_long = is_long_prompt(request.prompt_tokens)
        group = self._choose_group(request, listed, now_s, is_long=is_long)
        in_group = [state for state in available if state.name in group]
        # An ejected upstream is better than none, and a second attempt at the
        # same upstream is better than a refusal.
        return in_group or available or untried or states

    def _choose_group(self, request, states, now_s, *, is_long):
        names = [state.name for state in states]
        if not request.prompt_tokens:
            return set(names)
        return choose_group(
            self._find_division(request),
            names,
            slots=sum(state.slots for state in states) / max(1, len(states)),
            is_long=is_long,
            now_s=now_s,
            ranking=rank_for_short(self.learned, request.target, names, now_s),
            shared_count=find_shared_count(self.pace_exchange, request.target, now_s),
        )

    def _find_division(self, request):
        return self._divisions.setdefault(request.target, Division())

    def _find_long_prompts(self, request):
        return self._long_prompts.setdefault(request.target, LongPrompts())

    def _is_available(self, state, now_s):
        return not is_ejected(state.health, now_s) or may_probe(state.health, now_s)

    def _create_grant(self, request, choice, observation, now_s):
        state = choice.state
        spare_if_unheard(self._brittle, state, request, now_s=now_s)
        is_probe = may_probe(state.health, now_s)
        if is_probe:
            start_probe(state.health, now_s)
        state.running += 1
        basis = self._add_limit(choice)
        self._use_opening(state)
        grant = Grant(
            grant_id=str(next(self._grant_numbers)),
            request_id=request.request_id,
            upstream=state.name,
            basis=basis,
            software_version=state.software_version,
        )
        prefill = None
        if is_long_prompt(request.prompt_tokens):
            prefill = self._find_long_prompts(request).prefill
            start_prefill(prefill, request.tier)
        self._outstanding[grant.grant_id] = OutstandingGrant(
            state=state,
            request=request,
            granted_s=now_s,
            is_probe=is_probe,
            prefill=prefill,
            observation=observation,
        )
        if state.reported_s is None and request.prompt_tokens:
            # Until the upstream has reported its load, this instance's own
            # requests stand in for the load.
            division = self._find_division(request)
            record_group_load(division, state.name, state.running, now_s)
        return grant

    def _use_opening(self, state):
        limit = state.statements.limit
        if limit is not None:
            use_opening(limit, self._draw, self._read_listing_clock_s())

    def _add_limit(self, choice):
        limit = choice.state.statements.limit
        if limit is None:
            return choice.basis
        age_s = self._read_listing_clock_s() - limit.read_s
        return replace(choice.basis, limit_per_s=limit.per_s, limit_age_s=age_s)

    def forget(self, names: Iterable[str]) -> None:
        """Discard the state of upstreams that are no longer listed.

        :param names: The upstreams' names.
        """
        names = list(names)
        self.states.forget(names)
        forget_learned(self.learned, names)
