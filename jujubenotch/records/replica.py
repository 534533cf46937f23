"""The configuration in force at one instance, and what is read from it."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from jujubenotch.invariants import assert_invariant
from jujubenotch.records.build import list_records, replace_records
from jujubenotch.records.change import (
    NEVER_CHANGED,
    Change,
    RecordRevision,
    Snapshot,
    decode_entry,
    encode_change,
    encode_snapshot,
)
from jujubenotch.records.model import Configuration
from jujubenotch.records.record import RecordKey

KEPT_CHANGES = 256
SNAPSHOT_LAG_CHANGES = 500


def _ignore_change(configuration):
    pass


@dataclass(kw_only=True)
class ConfigurationReplica:
    """The configuration in force at one instance; its revision never falls.

    :param on_change: Called with each new configuration, in order.
    :param kept_changes: The number of changes kept for peers.
    :param snapshot_lag_changes: When the platform is further ahead, a snapshot
        is read first.

    >>> ConfigurationReplica().revision
    0
    """

    on_change: Callable[[Configuration], None] = _ignore_change
    kept_changes: int = KEPT_CHANGES
    snapshot_lag_changes: int = SNAPSHOT_LAG_CHANGES
    configuration: Configuration = field(default_factory=Configuration)
    record_revisions: dict[RecordKey, RecordRevision] = field(default_factory=dict)
    recent: deque[Change] = field(default_factory=deque)

    @property
    def revision(self) -> int:
        """Return the global revision in force; 0 before the first change."""
        return self.configuration.revision


def read_record_revision(
    replica: ConfigurationReplica, key: RecordKey
) -> RecordRevision:
    """Return when a record was last changed.

    :param replica: The replica.
    :param key: The record's key.
    :returns: Its revision; zeros when it never existed.
    """
    return replica.record_revisions.get(key, NEVER_CHANGED)


def copy_replica(replica: ConfigurationReplica) -> ConfigurationReplica:
    """Return a copy to be read while the replica goes on, in a thread for one.

    :param replica: The replica.
    :returns: Its records and revisions, without the recent changes.
    """
    return ConfigurationReplica(
        configuration=replica.configuration,
        record_revisions=dict(replica.record_revisions),
    )


def make_snapshot(replica: ConfigurationReplica) -> Snapshot:
    """Return all that a new instance needs to start from.

    :param replica: The replica.
    :returns: A snapshot of the revision in force.
    """
    return Snapshot(
        revision=replica.revision,
        bodies=tuple(list_records(replica.configuration)),
        record_revisions=dict(replica.record_revisions),
    )


def changes_since(replica: ConfigurationReplica, revision: int) -> list[bytes]:
    """Return what a peer lacks, for :func:`apply_changes`.

    :param replica: The replica.
    :param revision: The revision that the peer has in force.
    :returns: The later changes in order; one snapshot when the peer is further
        behind than the changes kept; empty when it lacks nothing.
    """
    if revision >= replica.revision:
        return []
    if not replica.recent or replica.recent[0].revision > revision + 1:
        return [encode_snapshot(make_snapshot(replica))]
    return [
        encode_change(change) for change in replica.recent if change.revision > revision
    ]


def apply_changes(replica: ConfigurationReplica, contents: list[bytes]) -> int:
    """Apply what a peer answered.

    :param replica: The replica.
    :param contents: What :func:`changes_since` returned at the peer.
    :returns: The revision in force afterwards.
    :raises RecordsError: An entry is neither a change nor a snapshot; those
        before it are applied.
    """
    for content in contents:
        entry = decode_entry(content)
        if isinstance(entry, Snapshot):
            apply_snapshot(replica, entry)
        else:
            apply_change(replica, entry)
    return replica.revision


def apply_change(replica: ConfigurationReplica, change: Change) -> bool:
    """Put the next change in force.

    :param replica: The replica.
    :param change: A committed change.
    :returns: False when it is in force already, or when one before it lacks.
    """
    if change.revision != replica.revision + 1:
        _check_same_change(replica, change)
        return False
    configuration = replace_records(
        replica.configuration,
        puts=change.puts,
        deletes=change.deletes,
        revision=change.revision,
    )
    for key in change.keys:
        before = read_record_revision(replica, key)
        replica.record_revisions[key] = RecordRevision(
            revision=change.revision, changes=before.changes + 1
        )
    replica.recent.append(change)
    if len(replica.recent) > replica.kept_changes:
        replica.recent.popleft()
    _put_in_force(replica, configuration)
    return True


def apply_snapshot(replica: ConfigurationReplica, snapshot: Snapshot) -> bool:
    """Put a snapshot in force, if it is newer.

    :param replica: The replica.
    :param snapshot: A snapshot of committed changes.
    :returns: False when its revision is not above the one in force.
    """
    if snapshot.revision <= replica.revision:
        return False
    configuration = replace_records(
        Configuration(), puts=snapshot.bodies, deletes=(), revision=snapshot.revision
    )
    replica.record_revisions = dict(snapshot.record_revisions)
    replica.recent.clear()
    _put_in_force(replica, configuration)
    return True


def _put_in_force(replica, configuration):
    assert_invariant(
        configuration.revision > replica.revision,
        "revision-never-falls",
        before=replica.revision,
        after=configuration.revision,
    )
    replica.configuration = configuration
    replica.on_change(configuration)


def _check_same_change(replica, change):
    if not replica.recent:
        return
    position = change.revision - replica.recent[0].revision
    if 0 <= position < len(replica.recent):
        known = replica.recent[position]
        assert_invariant(
            known.change_id == change.change_id,
            "one-change-for-each-revision",
            revision=change.revision,
        )
