"""The replica of the configuration at one instance."""

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

MAX_RECENT_CHANGES = 256
SNAPSHOT_LAG_CHANGES = 500


def _ignore_change(configuration):
    pass


@dataclass(kw_only=True)
class ConfigurationReplica:
    """The configuration in force at one instance; its revision never decreases.

    :param on_change: Callback for each new configuration, in revision order.
    :param max_recent_changes: Maximum number of recent changes kept for peers.
    :param snapshot_lag_changes: If the replica is more than this number of
        changes behind the platform, it loads a snapshot first.
    :param configuration: The configuration in force.
    :param record_revisions: The last revision of each record ever changed.
    :param recent_changes: The most recent changes, oldest first.

    >>> ConfigurationReplica().revision
    0
    """

    on_change: Callable[[Configuration], None] = _ignore_change
    max_recent_changes: int = MAX_RECENT_CHANGES
    snapshot_lag_changes: int = SNAPSHOT_LAG_CHANGES
    configuration: Configuration = field(default_factory=Configuration)
    record_revisions: dict[RecordKey, RecordRevision] = field(default_factory=dict)
    recent_changes: deque[Change] = field(default_factory=deque)

    @property
    def revision(self) -> int:
        """Return the global revision in force; 0 before the first change."""
        return self.configuration.revision


def read_record_revision(
    replica: ConfigurationReplica, key: RecordKey
) -> RecordRevision:
    """Return the revision of a record.

    :param replica: The replica.
    :param key: The key of the record.
    :returns: The revision of the last change and the number of changes; both
        are 0 if the record never existed.
    """
    return replica.record_revisions.get(key, NEVER_CHANGED)


def copy_replica(replica: ConfigurationReplica) -> ConfigurationReplica:
    """Return a copy that another thread can read while the replica changes.

    :param replica: The replica.
    :returns: A copy of the records and revisions, without the recent changes.
    """
    return ConfigurationReplica(
        configuration=replica.configuration,
        record_revisions=dict(replica.record_revisions),
    )


def make_snapshot(replica: ConfigurationReplica) -> Snapshot:
    """Make a snapshot from which a new instance can start.

    :param replica: The replica.
    :returns: A snapshot of the revision in force.
    """
    return Snapshot(
        revision=replica.revision,
        bodies=tuple(list_records(replica.configuration)),
        record_revisions=dict(replica.record_revisions),
    )


def encode_changes_since(replica: ConfigurationReplica, revision: int) -> list[bytes]:
    """Return the changes that a peer is missing, encoded for :func:`apply_changes`.

    :param replica: The replica.
    :param revision: The revision in force at the peer.
    :returns: The later changes in revision order; a single snapshot if the
        replica no longer keeps all of these changes; an empty list if the peer
        is up to date.
    """
    if revision >= replica.revision:
        return []
    if not replica.recent_changes or replica.recent_changes[0].revision > revision + 1:
        return [encode_snapshot(make_snapshot(replica))]
    return [
        encode_change(change)
        for change in replica.recent_changes
        if change.revision > revision
    ]


def apply_changes(replica: ConfigurationReplica, contents: list[bytes]) -> int:
    """Apply the changes received from a peer.

    :param replica: The replica.
    :param contents: The result of :func:`encode_changes_since` at the peer.
    :returns: The revision in force afterwards.
    :raises RecordsError: An entry is neither a change nor a snapshot; the
        entries before it have been applied.
    """
    for content in contents:
        entry = decode_entry(content)
        if isinstance(entry, Snapshot):
            apply_snapshot(replica, entry)
        else:
            apply_change(replica, entry)
    return replica.revision


def apply_change(replica: ConfigurationReplica, change: Change) -> bool:
    """Apply a change if it is the next one after the revision in force.

    :param replica: The replica.
    :param change: A committed change.
    :returns: Whether the change was applied; False if it is already in force or
        if an earlier change is missing.
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
        previous = read_record_revision(replica, key)
        replica.record_revisions[key] = RecordRevision(
            revision=change.revision, changes=previous.changes + 1
        )
    replica.recent_changes.append(change)
    if len(replica.recent_changes) > replica.max_recent_changes:
        replica.recent_changes.popleft()
    _set_configuration(replica, configuration)
    return True


def apply_snapshot(replica: ConfigurationReplica, snapshot: Snapshot) -> bool:
    """Apply a snapshot if it is newer than the revision in force.

    :param replica: The replica.
    :param snapshot: A snapshot of committed changes.
    :returns: Whether the snapshot was applied; False if its revision is not
        above the one in force.
    """
    if snapshot.revision <= replica.revision:
        return False
    configuration = replace_records(
        Configuration(), puts=snapshot.bodies, deletes=(), revision=snapshot.revision
    )
    replica.record_revisions = dict(snapshot.record_revisions)
    replica.recent_changes.clear()
    _set_configuration(replica, configuration)
    return True


def _set_configuration(replica, configuration):
    assert_invariant(
        configuration.revision > replica.revision,
        "revision-never-falls",
        before=replica.revision,
        after=configuration.revision,
    )
    replica.configuration = configuration
    replica.on_change(configuration)


def _check_same_change(replica, change):
    if not replica.recent_changes:
        return
    position = change.revision - replica.recent_changes[0].revision
    if 0 <= position < len(replica.recent_changes):
        known_change = replica.recent_changes[position]
        assert_invariant(
            known_change.change_id == change.change_id,
            "one-change-for-each-revision",
            revision=change.revision,
        )
