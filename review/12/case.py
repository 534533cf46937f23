"""Streams that clients take up again, after all machines have been replaced before."""

import asyncio

import site3
import takeup

ROUNDS = 20


async def replace_machines(site: site3.Site) -> None:
    """Add machines and remove them for good, so many as are live at a time.

    :param site: The site.
    """
    for number in range(ROUNDS):
        names = [f"old-{number}-{each}" for each in range(takeup.LIVE)]
        await asyncio.gather(
            *(
                site3.start_instance(site, name, f"zone-{'abc'[each]}")
                for each, name in enumerate(names)
            )
        )
        while count_listed(site) < (number + 1) * takeup.LIVE:
            await asyncio.sleep(0.05)
        for name in names:
            await site3.kill_instance(site, name)
            site.note(f"machine {name} is removed for good")


def count_listed(site: site3.Site) -> int:
    """Count the instances that have written their address to the store.

    :param site: The site.
    """
    return sum(name.startswith("instance-") for name in site.store.objects)


async def run(site: site3.Site, has_trouble: bool) -> bool:
    """Kill one of three machines while workers of two software versions serve."""
    await takeup.start_workers(site, ("v1", "v2"))
    if has_trouble:
        await replace_machines(site)
    tally = await takeup.start_live(site)
    await takeup.send_streams(tally)
    return takeup.judge(tally)


site3.run_case(run, __file__)
