"""One randomised run of a site."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

import orjson

from benchmarks.site.callers import poll_readiness, send_load
from benchmarks.site.faults import inject_site_faults, plan_site_faults
from benchmarks.site.fleet import list_exited, run_site
from benchmarks.site.model import SiteFault, SiteJournal

INSTANCES = 6
PLACES = 4
ZONES = 3
REQUESTS_PER_S = 60.0
EXTRA_TIME_S = 60.0
SETTLE_S = 1.0


async def run_site_soak(
    *,
    seed: int,
    duration_s: float,
    directory: Path,
    instances: int = INSTANCES,
    kinds: Sequence[SiteFault] = tuple(SiteFault),
) -> SiteJournal:
    """Run a site under load and faults.

    :param seed: Fixes the faults.
    :param duration_s: How long requests are sent.
    :param directory: Where settings, logs and the journal go.
    :param instances: How many instances.
    :param kinds: The kinds of faults to draw from.
    :raises SiteError: A program did not start.
    """
    async with (
        asyncio.timeout(duration_s + EXTRA_TIME_S),
        run_site(
            seed=seed,
            directory=directory,
            instances=instances,
            places=PLACES,
            zones=ZONES,
        ) as site,
    ):
        events = plan_site_faults(
            seed=seed,
            duration_s=duration_s,
            instances=list(site.instances),
            places=list(site.places),
            kinds=kinds,
        )
        await asyncio.sleep(SETTLE_S)
        journal = site.journal
        journal.began_s = time.monotonic()
        polling = asyncio.create_task(poll_readiness(site.callers.entrances))
        injecting = asyncio.create_task(
            inject_site_faults(site, events, journal.began_s)
        )
        await send_load(site.callers, duration_s, REQUESTS_PER_S)
        await injecting
        polling.cancel()
        journal.calm_s = max(
            (span.settled_s for span in journal.faults), default=journal.began_s
        )
        journal.ended = list_exited(site)
    _write_journal(directory, journal)
    return journal


def _write_journal(directory, journal):
    for name in ("told", "arrivals", "faults", "revocations", "leavings", "routes"):
        lines = [
            orjson.dumps(asdict(entry), default=_decode).decode()
            for entry in getattr(journal, name)
        ]
        (directory / f"{name}.jsonl").write_text("\n".join(lines) + "\n")


def _decode(value):
    return value.decode("latin-1")
