"""Runs a site under random load and faults, and journals the run."""

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
UPSTREAMS_PER_SERVICE = 4
ZONES = 3
REQUESTS_PER_S = 60.0
TIMEOUT_MARGIN_S = 60.0
SETTLE_S = 1.0
JOURNAL_FIELDS = (
    "told",
    "arrivals",
    "faults",
    "revocations",
    "leavings",
    "routes",
    "statements",
    "content_crashes",
    "copies",
)


async def run_site_soak(
    *,
    seed: int,
    duration_s: float,
    directory: Path,
    instances: int = INSTANCES,
    kinds: Sequence[SiteFault] = tuple(SiteFault),
) -> SiteJournal:
    """Run a site under load and faults.

    :param seed: The seed that determines the faults.
    :param duration_s: How long requests are sent.
    :param directory: The directory that settings, logs and the journal go to.
    :param instances: The number of instances.
    :param kinds: The kinds of faults to draw from.
    :returns: The journal of the run.
    :raises SiteError: A program did not start.
    :raises TimeoutError: The run took 60 s longer than ``duration_s``.
    """
    async with (
        asyncio.timeout(duration_s + TIMEOUT_MARGIN_S),
        run_site(
            seed=seed,
            directory=directory,
            instances=instances,
            upstreams_per_service=UPSTREAMS_PER_SERVICE,
            zones=ZONES,
        ) as site,
    ):
        events = plan_site_faults(
            seed=seed,
            duration_s=duration_s,
            instances=list(site.instances),
            endpoints=list(site.upstream_endpoints),
            kinds=kinds,
        )
        await asyncio.sleep(SETTLE_S)
        journal = site.journal
        journal.began_s = time.monotonic()
        polling = asyncio.create_task(poll_readiness(site.callers.endpoints))
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
    for name in JOURNAL_FIELDS:
        lines = [
            orjson.dumps(asdict(entry), default=_decode).decode()
            for entry in getattr(journal, name)
        ]
        (directory / f"{name}.jsonl").write_text("\n".join(lines) + "\n")


def _decode(value):
    return value.decode("latin-1")
