"""Streams that clients take up again, soon after the installation has started."""

import asyncio

import site3
import takeup

CRASH_AFTER_S = 1.0
# Three liveness report intervals of silence.
LAPSE_S = 3.6


async def lose_worker(site: site3.Site) -> None:
    """Let one of six workers crash for good; its entry goes after some silence.

    :param site: The site.
    """
    await asyncio.sleep(CRASH_AFTER_S)
    site3.crash_worker(site.workers["i-0"])
    site.note("worker i-0 is lost for good")
    await asyncio.sleep(LAPSE_S)
    site3.unlist_worker(site, "i-0")
    site.note("its entry is removed")


async def run(site: site3.Site, has_trouble: bool) -> bool:
    """Kill one of three machines while workers of one software version serve."""
    await takeup.start_workers(site, ("v1",))
    tally = await takeup.start_live(site)
    lost = asyncio.create_task(lose_worker(site)) if has_trouble else None
    await takeup.send_streams(tally)
    if lost is not None:
        await lost
    return takeup.judge(tally)


site3.run_case(run, __file__)
