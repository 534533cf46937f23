"""The faults that an upstream's stand-in can be told to have."""

import asyncio
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field


class UpstreamFaults(BaseModel):
    """The faults in force, as set by ``POST /faults``; each defaults to none.

    :param slowdown: Factor on the time of each step.
    :param is_refusing: Refuse each request without starting it.
    :param is_silent: Accept and never answer; streams freeze.
    :param end_after_events: End each stream after so many events of its own,
        without its end marker.
    :param answer_delay_s: Hold each answer back so long after it was ready.
    :param is_leaving: Say so in the load report.
    :param load_report: A load report to give in place of the true one.
    :param load_lag_s: Age of the load report; ``None`` keeps the option's.
    :param is_losing_answers: Run each request, then abort its connection in
        place of a whole answer.
    :param is_closed: Abort all connections and accept none, for good.
    :param drop_connections: Abort all connections once, now.
    :param exit_code: End the process at once with this code.
    """

    model_config = ConfigDict(extra="forbid")

    slowdown: float = Field(default=1.0, gt=0)
    is_refusing: bool = False
    is_silent: bool = False
    end_after_events: int | None = Field(default=None, ge=0)
    answer_delay_s: float = Field(default=0.0, ge=0)
    is_leaving: bool = False
    load_report: dict[str, float | bool] | None = None
    load_lag_s: float | None = Field(default=None, ge=0)
    is_losing_answers: bool = False
    is_closed: bool = False
    drop_connections: bool = False
    exit_code: int | None = None


@dataclass(kw_only=True)
class FaultState:
    """The faults in force, and what waits for a silence to end.

    >>> FaultState().faults.slowdown
    1.0
    """

    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    answering: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self):
        self.answering.set()


def set_faults(state: FaultState, faults: UpstreamFaults) -> None:
    """Replace the faults in force.

    :param state: The stand-in's fault state.
    :param faults: The new faults; those not named end.
    """
    state.faults = faults
    if faults.is_silent:
        state.answering.clear()
    else:
        state.answering.set()
