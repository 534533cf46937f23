"""Acquires slots of this data centre for requesters in other data centres."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from jujubenotch.capacity import client as client_module
from jujubenotch.capacity.client_model import Client
from jujubenotch.capacity.holders import LOST_HOLDER_S
from jujubenotch.capacity.home_model import HolderAnswers
from jujubenotch.peers import HeldSlot, SlotRequest
from jujubenotch.work import Grant, WorkReport, WorkResult

CANCELLED = WorkReport(result=WorkResult.CANCELLED)


@dataclass(kw_only=True)
class AgentEntry:
    """One request from another data centre, kept until its slot is released.

    :param task: The task that waits for the slot.
    :param grant: The granted slot; ``None`` while the request waits.
    """

    group: str
    task: asyncio.Task | None = None
    grant: Grant | None = None


@dataclass(kw_only=True)
class Agent:
    """One requester in another data centre, with its requests.

    :param answers: The callbacks that answer it on its current session.
    :param entries: Its requests and slots, by the requester's request number.
    :param lost_s: When its session ended, on this process's monotonic clock;
        ``None`` while a session is open.
    """

    name: str
    incarnation: int
    answers: HolderAnswers
    entries: dict[int, AgentEntry] = field(default_factory=dict)
    lost_s: float | None = None


@dataclass(kw_only=True)
class Agents:
    """All requesters in other data centres; only this module modifies it.

    :param client: Acquires the slots, as it does for this instance's own
        requests.
    :param by_name: The requesters by name.

    >>> Agents(client=client).by_name
    {}
    """

    client: Client
    by_name: dict[str, Agent] = field(default_factory=dict)


def attach_requester(
    agents: Agents, name: str, incarnation: int, answers: HolderAnswers
) -> None:
    """Register a new session of a requester.

    :param agents: All requesters in other data centres.
    :param name: The requester's name.
    :param incarnation: The requester's incarnation. Requests and slots of an
        earlier incarnation are withdrawn and released.
    :param answers: The callbacks that answer the requester.
    """
    agent = agents.by_name.get(name)
    if agent is not None and agent.incarnation != incarnation:
        _drop(agents, agent, tuple(agent.entries))
        agent = None
    if agent is None:
        agents.by_name[name] = Agent(
            name=name, incarnation=incarnation, answers=answers
        )
        return
    agent.answers = answers
    agent.lost_s = None


def lose_requester(
    agents: Agents, name: str, answers: HolderAnswers, now_s: float
) -> None:
    """Record the end of a requester's session and withdraw its waiting requests.

    Its slots are kept until :data:`LOST_HOLDER_S` has passed, since the requester
    may reconnect.

    :param agents: All requesters in other data centres.
    :param name: The requester's name.
    :param answers: The callbacks of the session that ended. The call is ignored
        if a later session has replaced it.
    :param now_s: The current monotonic time, in seconds.
    """
    agent = agents.by_name.get(name)
    if agent is None or agent.answers is not answers:
        return
    agent.lost_s = now_s
    waiting = [number for number, each in agent.entries.items() if each.grant is None]
    _drop(agents, agent, waiting)


def drop_lost_requesters(agents: Agents, now_s: float) -> None:
    """Remove requesters that have been disconnected for too long.

    Their slots are released.

    :param agents: All requesters in other data centres.
    :param now_s: The current monotonic time, in seconds.
    """
    for agent in tuple(agents.by_name.values()):
        if agent.lost_s is not None and now_s - agent.lost_s >= LOST_HOLDER_S:
            _drop(agents, agent, tuple(agent.entries))
            del agents.by_name[agent.name]


def submit_for(agents: Agents, name: str, asked: SlotRequest) -> None:
    """Request a slot on behalf of a requester.

    :param agents: All requesters in other data centres.
    :param name: The requester's name; it must be attached.
    :param asked: The request. One whose number is already known is ignored.
    """
    agent = agents.by_name[name]
    if asked.group not in agents.client.plans.by_name:
        agent.answers.not_home(asked.group)
        return
    if asked.number in agent.entries:
        return
    entry = AgentEntry(group=asked.group)
    agent.entries[asked.number] = entry
    agent.answers.queued(asked.number)
    entry.task = asyncio.create_task(_acquire(agents, agent, entry, asked))


def withdraw_for(agents: Agents, name: str, number: int) -> None:
    """Withdraw a requester's request, or release its slot if it has one.

    :param agents: All requesters in other data centres.
    :param name: The requester's name.
    :param number: The request's number; an unknown number is ignored.
    """
    agent = agents.by_name.get(name)
    if agent is not None:
        _drop(agents, agent, [number])


def release_for(agents: Agents, name: str, number: int, report: WorkReport) -> None:
    """Release a requester's slot.

    :param agents: All requesters in other data centres.
    :param name: The requester's name.
    :param number: The request's number; an unknown number is ignored.
    :param report: The outcome of the work.
    """
    agent = agents.by_name.get(name)
    if agent is not None:
        _drop(agents, agent, [number], report)


def hold_for(agents: Agents, name: str, group: str, held: Iterable[HeldSlot]) -> None:
    """Drop the requests and slots of a group that a requester does not report.

    :param agents: All requesters in other data centres.
    :param name: The requester's name; it must be attached.
    :param group: A group of this data centre.
    :param held: All slots of the group that the requester holds.
    """
    agent = agents.by_name[name]
    reported = {slot.number for slot in held}
    gone = [
        number
        for number, entry in agent.entries.items()
        if entry.group == group and number not in reported
    ]
    _drop(agents, agent, gone)


async def _acquire(agents, agent, entry, asked):
    request = replace(asked.request, request_id=f"{agent.name}/{asked.number}")
    answer = await client_module.acquire(agents.client, request)
    if isinstance(answer, Grant):
        entry.grant = answer
        agent.answers.granted(asked.number, answer.upstream)
    else:
        agent.entries.pop(asked.number, None)
        agent.answers.refused(asked.number, answer)


def _drop(agents, agent, numbers, report=CANCELLED):
    for number in numbers:
        entry = agent.entries.pop(number, None)
        if entry is None:
            continue
        if entry.grant is None:
            entry.task.cancel()
            continue
        now_s = agents.client.read_clock_s()
        client_module.give_back(agents.client, entry.grant, report, now_s)
