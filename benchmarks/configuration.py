"""Measures the cost of the configuration records on one instance.

The number of teams is varied; each team has one application and one binding. The
figures are printed as a table. Run it with ``python -m benchmarks.configuration``.
"""

import asyncio
import gc
import time
import tracemalloc

from jujubenotch.records import (
    ChangeRequest,
    ConfigurationReplica,
    ConfigurationStore,
    RecordEdit,
    apply_changes,
    encode_changes_since,
    identify_caller,
    parse_documents,
    submit_change,
)
from jujubenotch.tables import EmbeddedPlatformClient

TEAM_COUNTS = (1_000, 4_000, 12_000)
TEAMS_PER_CHANGE = 1_000
SMALL_CHANGE_COUNT = 20
MS_PER_S = 1000
BYTES_PER_MB = 1_000_000


def write_teams(first: int, count: int) -> str:
    """Write the records of consecutively numbered teams.

    :param first: The number of the first team.
    :param count: The number of teams.
    :returns: A TOML document of schema version 2.
    """
    lines = ["schema_version = 2"]
    for number in range(first, first + count):
        lines.append(f'[[team]]\nname = "team-{number}"')
        lines.append(
            f'[[application]]\nname = "app-{number}"\nteam = "team-{number}"\n'
            f'key_sha256 = "{number:064x}"'
        )
        lines.append(
            f'[[binding]]\nname = "binding-{number}"\nteam = "team-{number}"\n'
            f'class = "class-{number % 4}"'
        )
    return "\n".join(lines)


def write_classes() -> str:
    """Write the records of one class for each tier.

    :returns: A TOML document of schema version 2.
    """
    tables = [
        f'[[class]]\nname = "class-{tier}"\ntier = {tier}\nfirst_token_target_s = 1.2'
        for tier in range(4)
    ]
    return "\n".join(["schema_version = 2", *tables])


async def apply_text(store: ConfigurationStore, change_id: str, text: str) -> None:
    """Commit the records of a TOML document as one change.

    :param store: The store that commits the change.
    :param change_id: The id of the change.
    :param text: The TOML document.
    """
    edit = parse_documents({"records.toml": text})
    assert isinstance(edit, RecordEdit), edit
    await submit_change(store, ChangeRequest(change_id=change_id, edit=edit))


async def measure(teams: int) -> dict[str, float]:
    """Measure all costs for one number of teams.

    :param teams: The number of teams.
    :returns: The figures by name.
    """
    store = ConfigurationStore(
        platform=EmbeddedPlatformClient(), replica=ConfigurationReplica()
    )
    await apply_text(store, "classes", write_classes())
    for first in range(0, teams, TEAMS_PER_CHANGE):
        await apply_text(store, f"teams-{first}", write_teams(first, TEAMS_PER_CHANGE))
    store.replica.recent_changes.clear()
    figures = {"teams": teams, **measure_start(store)}
    follower = ConfigurationReplica()
    apply_changes(follower, encode_changes_since(store.replica, 0))
    figures |= await measure_small_change(store, follower)
    return figures


def measure_start(store: ConfigurationStore) -> dict[str, float]:
    """Measure the cost of loading all records when an instance starts.

    :param store: A store in which all records are in force.
    :returns: The figures by name.
    """
    started_s = time.process_time()
    snapshot = encode_changes_since(store.replica, 0)
    encoded_s = time.process_time() - started_s
    gc.collect()
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    follower = ConfigurationReplica()
    apply_changes(follower, snapshot)
    identify_caller(follower.configuration, "0", "m")
    gc.collect()
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = time.process_time()
    apply_changes(ConfigurationReplica(), snapshot)
    return {
        "snapshot_mb": len(snapshot[0]) / BYTES_PER_MB,
        "encode_ms": encoded_s * MS_PER_S,
        "load_ms": (time.process_time() - started_s) * MS_PER_S,
        "memory_mb": (after_bytes - before_bytes) / BYTES_PER_MB,
    }


async def measure_small_change(
    store: ConfigurationStore, follower: ConfigurationReplica
) -> dict[str, float]:
    """Measure changes of one record, on the submitting and on a receiving instance.

    :param store: A store in which all records are in force; it submits the changes.
    :param follower: The up-to-date replica of another instance; it receives them.
    :returns: The figures by name.
    """
    started_s = time.process_time()
    for number in range(SMALL_CHANGE_COUNT):
        text = 'schema_version = 2\n[[team]]\nname = "team-1"\n'
        await apply_text(store, f"small-{number}", f"{text}weight = {number + 2}.0")
    submitted_s = (time.process_time() - started_s) / SMALL_CHANGE_COUNT
    changes = encode_changes_since(store.replica, follower.revision)
    assert len(changes) == SMALL_CHANGE_COUNT
    started_s = time.process_time()
    for change in changes:
        apply_changes(follower, [change])
        identify_caller(follower.configuration, "0", "m")
    applied_s = (time.process_time() - started_s) / SMALL_CHANGE_COUNT
    return {
        "change_bytes": len(changes[0]),
        "submit_ms": submitted_s * MS_PER_S,
        "apply_ms": applied_s * MS_PER_S,
    }


def main() -> None:
    """Measure each number of teams and print the figures as a table."""
    rows = [asyncio.run(measure(teams)) for teams in TEAM_COUNTS]
    print("  ".join(f"{name:>12}" for name in rows[0]))
    for row in rows:
        print("  ".join(f"{value:12.2f}" for value in row.values()))


if __name__ == "__main__":
    main()
