"""Gets slots of this data centre for requesters of another one."""

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
    """One request of another data centre, until its slot is given back.

    :param task: Waits for the slot.
    :param grant: The slot, once there is one.
    """

    group: str
    task: asyncio.Task | None = None
    grant: Grant | None = None


@dataclass(kw_only=True)
class Agent:
    """What is done here for one requester of another data centre.

    :param answers: How to answer it on its present session.
    :param lost_s: When its session ended, on this process's monotonic clock.
    """

    name: str
    incarnation: int
    answers: HolderAnswers
    entries: dict[int, AgentEntry] = field(default_factory=dict)
    lost_s: float | None = None


@dataclass(kw_only=True)
class Agents:
    """All requesters of other data centres, changed only by this module.

    :param client: Gets the slots, as for this instance's own requests.

    >>> Agents(client=client).by_name
    {}
    """

    client: Client
    by_name: dict[str, Agent] = field(default_factory=dict)


def attach_requester(
    agents: Agents, name: str, incarnation: int, answers: HolderAnswers
) -> None:
    """Take in a requester's new session.

    :param agents: The agents.
    :param name: The requester.
    :param incarnation: The requester's; what a former one had is given back.
    :param answers: How to answer it.
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
    """Take in the end of a requester's session; its slots stay for a while.

    :param agents: The agents.
    :param name: The requester.
    :param answers: The session's; a later session's requester isn't lost.
    :param now_s: The present monotonic time, in seconds.
    """
    agent = agents.by_name.get(name)
    if agent is None or agent.answers is not answers:
        return
    agent.lost_s = now_s
    waiting = [number for number, each in agent.entries.items() if each.grant is None]
    _drop(agents, agent, waiting)


def drop_lost_requesters(agents: Agents, now_s: float) -> None:
    """Give back the slots of requesters that have been lost for too long.

    :param agents: The agents.
    :param now_s: The present monotonic time, in seconds.
    """
    for agent in tuple(agents.by_name.values()):
        if agent.lost_s is not None and now_s - agent.lost_s >= LOST_HOLDER_S:
            _drop(agents, agent, tuple(agent.entries))
            del agents.by_name[agent.name]


def submit_for(agents: Agents, name: str, asked: SlotRequest) -> None:
    """Ask for a slot on behalf of a requester.

    :param agents: The agents.
    :param name: The requester; attached.
    :param asked: Its request, under a number not used before.
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
    """Take a requester's request back; a granted one counts as released.

    :param agents: The agents.
    :param name: The requester.
    :param number: The request's number; an unknown one is ignored.
    """
    agent = agents.by_name.get(name)
    if agent is not None:
        _drop(agents, agent, [number])


def release_for(agents: Agents, name: str, number: int, report: WorkReport) -> None:
    """Give a requester's slot back.

    :param agents: The agents.
    :param name: The requester.
    :param number: The request's number; an unknown one is ignored.
    :param report: What was seen of the work.
    """
    agent = agents.by_name.get(name)
    if agent is not None:
        _drop(agents, agent, [number], report)


def hold_for(agents: Agents, name: str, group: str, held: Iterable[HeldSlot]) -> None:
    """Give back what a requester doesn't hold any more.

    :param agents: The agents.
    :param name: The requester; attached.
    :param group: A group of this data centre.
    :param held: All slots of it that the requester holds.
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
