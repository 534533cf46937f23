"""Simulates operators who change one record concurrently, at different instances."""

import asyncio
import time

import aiohttp
import tomli_w

from benchmarks.fleet import Fleet
from benchmarks.journals import Change
from benchmarks.records import OPERATOR_KEY
from benchmarks.schedule import FaultEvent

SCHEMA_VERSIONS = (1, 2)
OPERATORS = 3
MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.5
MIN_WEIGHT = 1.0


async def race_operators(fleet: Fleet, event: FaultEvent, team: str) -> list[Change]:
    """Let three operators change a team's weight concurrently.

    All operators edit the same revision of the record; both schema versions are
    used. An operator that gets no answer or is refused repeats the change with the
    same id.

    :param fleet: The fleet.
    :param event: The planned fault; its target is the first operator's instance.
    :param team: The team whose weight is changed.
    :returns: The last result that each operator got.
    """
    names = list(fleet.layout.instances)
    first = names.index(event.target)
    revision = await _read_revision(fleet, names[first], team)
    submissions = [
        _submit_change(
            fleet,
            instance=names[(first + number) % len(names)],
            change_id=f"race-{event.number}-{number}",
            text=_write_team(team, SCHEMA_VERSIONS[number % 2], number + event.value),
            expected={f"team/{team}": revision},
        )
        for number in range(OPERATORS)
    ]
    return list(await asyncio.gather(*submissions))


def _write_team(team, schema_version, weight):
    document = {
        "schema_version": schema_version,
        "team": [{"name": team, "weight": round(MIN_WEIGHT + weight, 6)}],
    }
    return tomli_w.dumps(document)


async def _read_revision(fleet, instance, team):
    url = f"{fleet.layout.instances[instance].operators_url}/v1/records"
    query = {"kind": "team", "name": team}
    try:
        async with _send_request(fleet, "GET", url, params=query) as answer:
            return (await answer.json())["records"][0]["revision"]
    except (aiohttp.ClientError, TimeoutError, OSError, KeyError):
        return 1


async def _submit_change(fleet, *, instance, change_id, text, expected):
    reply = {}
    for _ in range(MAX_ATTEMPTS):
        try:
            reply = await _apply_records(fleet, instance, change_id, text, expected)
        except (aiohttp.ClientError, TimeoutError, OSError):
            reply = {}
        if reply.get("result", "refused") != "refused":
            break
        await asyncio.sleep(RETRY_PAUSE_S)
    is_accepted = reply.get("result") == "accepted"
    return Change(
        change_id=change_id,
        instance=instance,
        result=reply.get("result", ""),
        told_s=time.time(),
        revision=reply["revision"] if is_accepted else 0,
        reason=reply.get("reason", ""),
    )


async def _apply_records(fleet, instance, change_id, text, expected):
    url = f"{fleet.layout.instances[instance].operators_url}/v1/records/apply"
    document = {
        "change_id": change_id,
        "files": [{"name": "race.toml", "text": text}],
        "expected_revisions": expected,
    }
    async with _send_request(fleet, "POST", url, json=document) as answer:
        return await answer.json()


def _send_request(fleet, method, url, **options):
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
    return fleet.session.request(
        method, url, headers=headers, timeout=timeout, **options
    )
