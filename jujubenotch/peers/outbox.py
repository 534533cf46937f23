"""Batches the messages for one peer into frames, and sends the frames."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jujubenotch.peers.model import CoordinatorFrame, Heartbeat, RequesterFrame

HEARTBEAT_INTERVAL_S = 0.5
FLUSH_DELAY_S = 0.002
MS_PER_S = 1000.0

Frame = RequesterFrame | CoordinatorFrame


@dataclass(kw_only=True)
class Outbox:
    """The frame that is being filled on one session.

    :param make_frame: Creates an empty frame.
    :param received_ms: The ``sent_ms`` of the latest frame from the peer.
    :param frame: The frame that the next flush sends.
    :param changed: Set when the frame has something to send.

    >>> Outbox(make_frame=CoordinatorFrame).received_ms
    0
    """

    make_frame: Callable[[], Frame]
    received_ms: int = 0
    frame: Frame = field(init=False)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self):
        self.frame = self.make_frame()


def get_pending_frame(outbox: Outbox) -> Frame:
    """Return the frame to which a message can be added, and schedule its sending.

    The frame echoes the peer's latest timestamp as of the frame's first
    message. If this process pauses before the flush, the peer therefore
    overestimates the age of the messages and never underestimates it.

    :param outbox: The outbox.
    :returns: The frame.
    """
    frame = outbox.frame
    if frame.echoed_ms is None:
        frame.echoed_ms = outbox.received_ms
    outbox.changed.set()
    return frame


async def run_sender(
    outbox: Outbox,
    *,
    send: Callable[[Frame], Awaitable[None]],
    read_heartbeat: Callable[[], Heartbeat],
    read_clock_s: Callable[[], float],
) -> None:
    """Send the outbox's frames, with regular heartbeats, until cancelled.

    :param outbox: The outbox.
    :param send: Sends one frame.
    :param read_heartbeat: Returns the current heartbeat.
    :param read_clock_s: Reads this process's monotonic clock, in seconds.
    """
    heartbeat_due_s = read_clock_s()
    while True:
        wait_s = heartbeat_due_s - read_clock_s()
        if wait_s > 0:
            await _wait_for_change(outbox, wait_s)
        if read_clock_s() >= heartbeat_due_s:
            heartbeat_due_s = read_clock_s() + HEARTBEAT_INTERVAL_S
            get_pending_frame(outbox).heartbeat = read_heartbeat()
        else:
            await asyncio.sleep(FLUSH_DELAY_S)
        frame = outbox.frame
        outbox.frame = outbox.make_frame()
        outbox.changed.clear()
        frame.sent_ms = int(read_clock_s() * MS_PER_S)
        await send(frame)


async def _wait_for_change(outbox, wait_s):
    try:
        async with asyncio.timeout(wait_s):
            await outbox.changed.wait()
    except TimeoutError:
        pass
