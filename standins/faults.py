"""The faults that can be injected into an upstream's stand-in."""

import asyncio
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field


class UpstreamFaults(BaseModel):
    """The active faults, as set by ``POST /faults``; by default none is active.

    :param slowdown: Factor by which steps, prefills and service requests take longer.
    :param is_refusing: Refuse each request without starting it.
    :param is_silent: Accept requests but send no response; running streams
        pause until this fault ends.
    :param end_after_events: Number of events after which each stream ends without
        its end marker; the count of a resumed stream starts at 0.
    :param answer_delay_s: Time by which each response, or each chunk of a
        stream, is delayed after it is ready.
    :param is_leaving: Set ``is_leaving`` in the load report.
    :param load_report: Fields that replace those of the true load report.
    :param load_lag_s: Age of the load report; ``None`` keeps the age that the
        command line sets.
    :param is_losing_answers: Run each request, then abort its connection instead
        of sending a response that is not streamed.
    :param is_closed: Abort all other connections and accept no more; a later
        change of the faults does not undo this.
    :param drop_connections: Abort all other connections once, immediately.
    :param exit_code: End the process immediately with this exit code.
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
    """The active faults, and an event that is set unless ``is_silent`` is active.

    >>> FaultState().faults.slowdown
    1.0
    """

    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    responses_allowed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self):
        self.responses_allowed.set()


def set_faults(state: FaultState, faults: UpstreamFaults) -> None:
    """Replace the active faults.

    :param state: The stand-in's fault state.
    :param faults: The new faults; every fault that they do not set ends.
    """
    state.faults = faults
    if faults.is_silent:
        state.responses_allowed.clear()
    else:
        state.responses_allowed.set()
