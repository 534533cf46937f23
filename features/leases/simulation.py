"""Drawn histories of instances that compete for the lease, as discrete events.

The instances run the decisions of ``jujubenotch.leases``; the store, the platform's API
and the faults are models. Nothing waits and nothing is sent.
"""

import heapq
import itertools
import math
import random
from dataclasses import dataclass, field

from jujubenotch.leases import (
    REST_SHARE,
    STORE_CALL_SHARE,
    ApiResult,
    LeaseRow,
    LeaseState,
    LeaseTerms,
    Step,
    WriteResult,
    begin_write,
    choose_step,
    end,
    end_if_expired,
    find_call_time_s,
    is_executed,
    is_own,
    may_act,
    may_release,
    record_api_result,
    record_failure,
    record_row,
    record_write,
    refuse_token,
)

LEASE_S = 3.0
FAULTS_END_S = 26.0
END_S = 42.0
CALL_PAUSE_S = 0.4
IDLE_S = 0.5 * LEASE_S
# The store's clock has nothing to do with the instances' clock.
STORE_CLOCK_OFFSET_S = 5000.0


@dataclass(kw_only=True)
class Process:
    """One process of an instance; a restart makes another one."""

    state: LeaseState
    frozen_until_s: float = 0.0
    is_dead: bool = False
    is_busy: bool = False
    is_refreshing: bool = False
    is_rejected: bool = False
    needs_refresh: bool = False
    calls: int = 0
    call_due_s: float = 0.0
    refused: dict[int, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Act:
    """A call to the API: when it was sent, and when it was executed."""

    holder: str
    nonce: str
    token: int
    sent_s: float


@dataclass(kw_only=True)
class History:
    """One history and what it has broken.

    :param broken: What was seen against the rules.
    """

    draw: random.Random
    is_fenced: bool
    faults: tuple[str, ...]
    now_s: float = 0.0
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    processes: list[Process] = field(default_factory=list)
    row: tuple = (None, 0)
    revision: int = 0
    era: int = 0
    copies: list = field(default_factory=list)
    is_store_away: bool = False
    is_api_away: bool = False
    latency_s: float = 0.02
    loss: float = 0.0
    acts: list[Act] = field(default_factory=list)
    highest_token: int = 0
    executed: int = 0
    conflicts: int = 0
    broken: list[str] = field(default_factory=list)

    def at(self, delay_s, function, *arguments):
        event = (self.now_s + delay_s, next(self.numbers), function, arguments)
        heapq.heappush(self.events, event)


def _start(history, name):
    draw = history.draw
    process = Process(
        state=LeaseState(
            name=name,
            nonce=f"{name}-{next(history.numbers)}",
            address="",
            terms=LeaseTerms(lease_s=LEASE_S, is_fenced=history.is_fenced),
            last_act_s=history.now_s,
            jitter=draw.random(),
            barred_until_s=history.now_s + draw.random(),
        )
    )
    history.processes.append(process)
    history.at(draw.uniform(0, 0.5), _run, history, process)


def _fail(history, kind):
    draw = history.draw
    alive = [each for each in history.processes if not each.is_dead]
    if not alive:
        return
    process = draw.choice(alive)
    holders = [
        each for each in history.processes if each.state.tenure and not each.is_dead
    ]
    # Faults of a process that doesn't hold the lease change little.
    if holders and draw.random() < 0.7:
        process = draw.choice(holders)
    length_s = draw.choice((0.3, 1.0, 2.0, 4.0, 8.0)) * draw.uniform(0.7, 1.3)
    FAULTS[kind](history, process, length_s)


def _kill(history, process, length_s):
    process.is_dead = True
    history.at(history.draw.uniform(0.1, 4), _start, history, process.state.name)


def _freeze(history, process, length_s):
    process.frozen_until_s = max(process.frozen_until_s, history.now_s + length_s)


def _stop(history, process, length_s):
    process.state.is_stopping = True
    _hand_over(history, process, history.now_s + 1.0)


def _restore(history, process, length_s):
    copies = [each for each in history.copies if each[0] > history.now_s - 6]
    if copies:
        _, history.row, history.revision = history.draw.choice(copies)
        history.era += 1


def _disturb_store(history, process, length_s):
    history.is_store_away = history.draw.random() < 0.5
    history.latency_s = history.draw.choice((0.02, 0.3, 0.7, 1.5))
    history.at(length_s, _end_store_fault, history)


def _reject(history, process, length_s):
    process.is_rejected = True
    history.at(length_s, _end_rejection, process)


def _disturb_api(history, process, length_s):
    history.is_api_away = True
    history.at(length_s, _end_api_fault, history)


FAULTS = {
    "kill": _kill,
    "freeze": _freeze,
    "stop": _stop,
    "restore": _restore,
    "store": _disturb_store,
    "reject": _reject,
    "api": _disturb_api,
}
FAULT_KINDS = tuple(FAULTS)


def play(seed: int, is_fenced: bool, faults: tuple[str, ...] = FAULT_KINDS) -> History:
    """Play one history.

    :param seed: Draws everything in it.
    :param is_fenced: Whether the API refuses lower tokens.
    :param faults: The kinds of faults that happen.
    """
    history = History(draw=random.Random(seed), is_fenced=is_fenced, faults=faults)
    for number in range(history.draw.randint(2, 4)):
        _start(history, f"instance-{number}")
    if faults:
        history.loss = history.draw.choice((0.0, 0.05, 0.2))
        for _ in range(history.draw.randint(2, 9)):
            kind = history.draw.choice(faults)
            history.at(history.draw.uniform(0, FAULTS_END_S), _fail, history, kind)
    history.at(FAULTS_END_S, _end_faults, history)
    history.at(0.0, _write_other_row, history)
    while history.events:
        history.now_s, _, function, arguments = heapq.heappop(history.events)
        if history.now_s > END_S:
            break
        function(*arguments)
    _check_order(history)
    if not any(act.sent_s > END_S - 2 for act in history.acts):
        history.broken.append("nobody acts after the faults")
    return history


def _end_store_fault(history):
    history.is_store_away = False
    history.latency_s = 0.02


def _end_rejection(process):
    process.is_rejected = False


def _end_api_fault(history):
    history.is_api_away = False


def _end_faults(history):
    history.loss = 0.0
    _end_store_fault(history)
    _end_api_fault(history)
    for process in history.processes:
        process.is_rejected = False


def _write_other_row(history):
    """Other tables share the counter of revisions; copies are taken all the time."""
    history.revision += 1
    history.copies.append((history.now_s, history.row, history.revision))
    history.at(history.draw.uniform(0.2, 1.5), _write_other_row, history)


def _run(history, process):
    """Do what the task of the daemon does."""
    if _is_held(history, process, _run) or process.is_busy:
        return
    state = process.state
    end_if_expired(state, history.now_s)
    _call_api_if_due(history, process)
    if process.needs_refresh and may_act(state, history.now_s):
        process.needs_refresh = False
        if not state.is_read_wanted:
            process.is_refreshing = history.is_fenced
            _write(history, process, takes_token=history.is_fenced)
            return
    step, wait_s = choose_step(state, history.now_s, is_candidate=True)
    if step is Step.READ:
        _send(history, process, _read_row, None)
    elif step is Step.TAKE:
        _write(history, process, takes_token=True)
    elif step is Step.RENEW:
        _write(history, process)
    elif step is Step.RELEASE:
        end(state, "api-failing", history.now_s)
        if may_release(state, history.now_s) and is_own(state, state.seen.row):
            _write(history, process, is_released=True)
        else:
            history.at(0.01, _run, history, process)
    else:
        history.at(min(wait_s, IDLE_S, CALL_PAUSE_S), _run, history, process)


def _is_held(history, process, function):
    """Put an event off while its process is suspended."""
    if process.is_dead:
        return True
    if process.frozen_until_s <= history.now_s:
        return False
    delay_s = process.frozen_until_s - history.now_s + history.draw.uniform(0, 0.01)
    history.at(delay_s, function, history, process)
    return True


def _write(history, process, **arguments):
    attempt = begin_write(process.state, history.now_s, **arguments)
    _send(history, process, _write_row, attempt)


def _send(history, process, execute, attempt):
    process.is_busy = True
    call = {"is_open": True, "sent_s": history.now_s, "attempt": attempt}
    draw = history.draw
    history.at(STORE_CALL_SHARE * LEASE_S, _time_out, history, process, call)
    if history.is_store_away or process.is_rejected:
        if draw.random() < 0.5:
            history.at(0.02, _time_out, history, process, call)
        return
    transit_s = draw.uniform(0.1, 1.0) * history.latency_s
    fate = draw.random()
    if fate < history.loss / 3:
        return
    if fate < history.loss * 2 / 3:
        transit_s = draw.uniform(0.5, 6.0)
    is_lost = fate < history.loss
    history.at(transit_s, _execute, history, process, call, execute, is_lost)


def _execute(history, process, call, execute, is_lost):
    result = execute(history, call["attempt"])
    if not is_lost:
        transit_s = history.draw.uniform(0.1, 1.0) * history.latency_s
        history.at(transit_s, _receive, history, process, call, result)


def _read_row(history, attempt):
    lease, revision = history.row
    return LeaseRow(
        lease=lease,
        revision=revision,
        store_time_s=history.now_s + STORE_CLOCK_OFFSET_S,
        era=history.era,
    )


def _write_row(history, attempt):
    is_written = history.row[1] == attempt.expected_revision
    if is_written:
        history.revision += 1
        history.row = (attempt.lease, history.revision)
        history.copies.append((history.now_s, history.row, history.revision))
    return WriteResult(is_written=is_written, row=_read_row(history, None))


def _time_out(history, process, call):
    if process.is_dead or not call["is_open"]:
        return
    if process.frozen_until_s > history.now_s:
        # A response that arrived meanwhile may be seen before or after the time-out.
        delay_s = process.frozen_until_s - history.now_s
        delay_s += history.draw.uniform(0, 0.01)
        history.at(delay_s, _time_out, history, process, call)
        return
    call["is_open"] = False
    record_failure(process.state, history.now_s)
    _finish(history, process, is_confirmed=False, attempt=call["attempt"])


def _receive(history, process, call, result):
    if process.is_dead or not call["is_open"]:
        return
    if process.frozen_until_s > history.now_s:
        delay_s = process.frozen_until_s - history.now_s
        delay_s += history.draw.uniform(0, 0.01)
        history.at(delay_s, _receive, history, process, call, result)
        return
    call["is_open"] = False
    attempt = call["attempt"]
    is_confirmed = True
    if attempt is None:
        record_row(process.state, result, call["sent_s"], history.now_s)
    else:
        is_confirmed, _ = record_write(process.state, attempt, result, history.now_s)
    _finish(history, process, is_confirmed=is_confirmed, attempt=attempt)


def _finish(history, process, *, is_confirmed, attempt):
    process.is_busy = False
    state = process.state
    if process.is_refreshing:
        process.is_refreshing = False
        seen_own = state.tenure is not None and is_executed(state, attempt)
        if not is_confirmed and not seen_own:
            end(state, "refresh-failed", history.now_s)
    _run(history, process)


def _hand_over(history, process, until_s):
    state = process.state
    if process.is_dead:
        return
    if process.frozen_until_s > history.now_s:
        delay_s = process.frozen_until_s - history.now_s + 0.01
        history.at(delay_s, _hand_over, history, process, until_s)
        return
    if (process.calls and history.now_s < until_s) or process.is_busy:
        history.at(0.05, _hand_over, history, process, until_s)
        return
    if process.calls:
        state.unanswered_s = history.now_s
    if state.tenure is not None:
        end(state, "handed-over", history.now_s)
        if may_release(state, history.now_s) and is_own(state, state.seen.row):
            _write(history, process, is_released=True)
    process.is_dead = True
    history.at(history.draw.uniform(0.1, 3), _start, history, state.name)


def _call_api_if_due(history, process):
    state, draw = process.state, history.draw
    now_s = history.now_s
    if now_s < process.call_due_s or process.is_refreshing or process.calls:
        return
    if not may_act(state, now_s):
        return
    process.call_due_s = now_s + draw.uniform(0.5, 1.5) * CALL_PAUSE_S
    act = Act(
        holder=state.name, nonce=state.nonce, token=state.tenure.token, sent_s=now_s
    )
    if process.refused.get(act.token, math.inf) <= now_s:
        history.broken.append(f"a refused token was used again at {now_s}")
    _check_alone(history, process)
    history.acts.append(act)
    process.calls += 1
    limit_s = min(0.8, find_call_time_s(state, now_s))
    call = {"is_open": True}
    history.at(limit_s, _end_call, history, process, call, act, ApiResult.UNKNOWN)
    if history.is_api_away:
        history.at(0.01, _end_call, history, process, call, act, ApiResult.NOT_DONE)
        return
    fate = draw.random()
    # Without fencing, a call is executed before its deadline or not at all.
    latest_s = 6.0 if history.is_fenced else limit_s
    transit_s = draw.uniform(0.3, latest_s) if fate < history.loss else 0.01
    history.at(transit_s, _execute_call, history, process, call, act)


def _execute_call(history, process, call, act):
    result = ApiResult.DONE
    if act.token < history.highest_token:
        result = ApiResult.CONFLICT
        history.conflicts += 1
        if not history.is_fenced:
            history.broken.append(
                f"token {act.token} came after {history.highest_token} "
                f"at {history.now_s}"
            )
    history.highest_token = max(history.highest_token, act.token)
    history.executed += 1
    if history.draw.random() >= history.loss / 2:
        history.at(0.01, _end_call, history, process, call, act, result)


def _end_call(history, process, call, act, result):
    if process.is_dead or not call["is_open"]:
        return
    if process.frozen_until_s > history.now_s:
        delay_s = process.frozen_until_s - history.now_s + 0.005
        history.at(delay_s, _end_call, history, process, call, act, result)
        return
    call["is_open"] = False
    process.calls -= 1
    state = process.state
    record_api_result(state, result, history.now_s)
    if result is ApiResult.CONFLICT:
        process.refused[act.token] = history.now_s
        if state.tenure is not None and state.tenure.token == act.token:
            end(state, "token-refused", history.now_s)
            refuse_token(state, REST_SHARE * LEASE_S, history.now_s)
    if result is ApiResult.UNKNOWN:
        process.needs_refresh = True


def _check_alone(history, process):
    for other in history.processes:
        if other is process or other.is_dead:
            continue
        if may_act(other.state, history.now_s):
            names = f"{process.state.nonce} and {other.state.nonce}"
            history.broken.append(f"{names} may both act at {history.now_s}")


def _check_order(history):
    users = {}
    last = {}
    before = None
    for act in history.acts:
        if users.setdefault(act.token, act.nonce) != act.nonce:
            history.broken.append(f"token {act.token} has two users at {act.sent_s}")
        if before is not None and act.token < before.token:
            history.broken.append(f"token {act.token} follows {before.token}")
        if before is not None and before.holder != act.holder:
            if act.sent_s - last.get(act.holder, -math.inf) <= LEASE_S:
                history.broken.append(f"{act.holder} is back at {act.sent_s}")
        last[act.holder] = act.sent_s
        before = act
