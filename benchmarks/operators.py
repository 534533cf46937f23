"""Operators who change one record at the same time, at different instances."""

import asyncio
import time
from contextlib import asynccontextmanager

import aiohttp
import tomli_w

from benchmarks.fleet import Fleet
from benchmarks.journals import Change
from benchmarks.processes import LOOPBACK
from benchmarks.records import OPERATOR_KEY
from benchmarks.schedule import FaultEvent
from jujubenotch.platform import PlatformError, connect_platform
from jujubenotch.records import (
    Accepted,
    ChangeRefusal,
    ChangeRequest,
    ConfigurationReplica,
    ConfigurationStore,
    Conflict,
    InvalidRecords,
    RecordKey,
    RecordKind,
    RecordsError,
    Unchanged,
    parse_documents,
    poll,
    read_record_revision,
    submit_change,
)

SCHEMA_VERSIONS = (1, 2)
OPERATORS = 3
TRIES = 3
TRY_TIMEOUT_S = 5.0
STORE_TIMEOUT_S = 15.0
RESULT_BY_TYPE = {
    Accepted: "accepted",
    Unchanged: "unchanged",
    Conflict: "conflict",
    InvalidRecords: "invalid",
    ChangeRefusal: "refused",
}
PAUSE_S = 0.5
MIN_WEIGHT = 1.0


async def race_operators(fleet: Fleet, event: FaultEvent, team: str) -> list[Change]:
    """Let three operators change a team's weight at once.

    They edit from the same revision, in both schema versions, and one of them
    repeats its change with the same id when it has no answer.

    :param fleet: The fleet.
    :param event: The drawn event; its target is the first one's instance.
    :param team: The team that they change.
    :returns: What each was told last.
    """
    names = list(fleet.layout.instances)
    first = names.index(event.target)
    revision = await _read_revision(fleet, names[first], team)
    racing = [
        _change(
            fleet,
            instance=names[(first + number) % len(names)],
            change_id=f"race-{event.number}-{number}",
            text=_write_team(team, SCHEMA_VERSIONS[number % 2], number + event.value),
            expected={f"team/{team}": revision},
        )
        for number in range(OPERATORS)
    ]
    return list(await asyncio.gather(*racing))


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
        async with _open(fleet, "GET", url, params=query) as answer:
            return (await answer.json())["records"][0]["revision"]
    except aiohttp.ClientConnectorError:
        return await _read_revision_of_platform(fleet, instance, team)
    except (aiohttp.ClientError, TimeoutError, OSError, KeyError):
        return 1


async def _change(fleet, *, instance, change_id, text, expected):
    told = {}
    for _ in range(TRIES):
        try:
            told = await _ask(fleet, instance, change_id, text, expected)
        except aiohttp.ClientConnectorError:
            told = await _submit(fleet, instance, change_id, text, expected)
        except (aiohttp.ClientError, TimeoutError, OSError):
            told = {}
        if told.get("result", "refused") != "refused":
            break
        await asyncio.sleep(PAUSE_S)
    is_accepted = told.get("result") == "accepted"
    return Change(
        change_id=change_id,
        instance=instance,
        result=told.get("result", ""),
        told_s=time.time(),
        revision=told["revision"] if is_accepted else 0,
        reason=told.get("reason", ""),
    )


async def _ask(fleet, instance, change_id, text, expected):
    url = f"{fleet.layout.instances[instance].operators_url}/v1/records/apply"
    document = {
        "change_id": change_id,
        "files": [{"name": "race.toml", "text": text}],
        "expected_revisions": expected,
    }
    async with _open(fleet, "POST", url, json=document) as answer:
        return await answer.json()


async def _submit(fleet, instance, change_id, text, expected):
    """Change the records over the instance's way to the platform.

    For an instance that serves no operators, with the code that it would use.
    """
    request = ChangeRequest(
        change_id=change_id,
        edit=parse_documents({"race.toml": text}),
        expected_revisions={
            RecordKey(kind=RecordKind.TEAM, name=key.partition("/")[2]): revision
            for key, revision in expected.items()
        },
    )
    try:
        async with _open_store(fleet, instance) as store:
            result = await submit_change(store, request)
    except (PlatformError, RecordsError, TimeoutError):
        return {}
    return {
        "result": RESULT_BY_TYPE[type(result)],
        "revision": getattr(result, "revision", 0),
        "reason": str(getattr(result, "reason", "")),
    }


async def _read_revision_of_platform(fleet, instance, team):
    key = RecordKey(kind=RecordKind.TEAM, name=team)
    try:
        async with _open_store(fleet, instance) as store:
            return read_record_revision(store.replica, key).revision
    except (PlatformError, RecordsError, TimeoutError):
        return 1


@asynccontextmanager
async def _open_store(fleet, instance):
    url = f"http://{LOOPBACK}:{fleet.layout.routes[f'platform-{instance}'].port}"
    platform = connect_platform(kind="http", url=url, timeout_s=TRY_TIMEOUT_S)
    replica = ConfigurationReplica()
    try:
        async with asyncio.timeout(STORE_TIMEOUT_S):
            await poll(replica, platform)
            yield ConfigurationStore(platform=platform, replica=replica)
    finally:
        await platform.close()


def _open(fleet, method, url, **options):
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    timeout = aiohttp.ClientTimeout(total=TRY_TIMEOUT_S)
    return fleet.session.request(
        method, url, headers=headers, timeout=timeout, **options
    )
