"""Tells whether the store has changes that a source has not delivered.

The store numbers the changes of all tables with a single counter. Each page tells the
newest revision; one that no known item accounts for may be a change that a source,
whose call may hang, has not delivered.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from jujubenotch.forwarding import FollowProgress, SourceUpdate

# More changes than the sources deliver within the time in which they are compared.
MAX_KNOWN = 1000


@dataclass(kw_only=True)
class Revisions:
    """The revisions of the store that pages have told.

    :param known: Revisions of items that were delivered, the latest last.
    :param unattributed: The newest revision that the configuration's items don't
        account for.
    """

    known: dict[int, None] = field(default_factory=dict)
    unattributed: int = 0


def record_revisions(revisions: Revisions, update: SourceUpdate) -> None:
    """Record the revisions of the items of a page.

    :param revisions: The revisions; changed in place.
    :param update: A page of any source.
    """
    add_known(revisions, (item.revision for item in update.page.items))


def add_known(revisions: Revisions, numbers: Iterable[int]) -> None:
    """Add revisions of items that are known.

    :param revisions: The revisions; changed in place.
    :param numbers: The revisions.
    """
    for number in numbers:
        revisions.known[number] = None
    while len(revisions.known) > MAX_KNOWN:
        del revisions.known[next(iter(revisions.known))]


def record_configuration_revision(revisions: Revisions, update: SourceUpdate) -> None:
    """Record the newest revision that a page of the configuration tells.

    :param revisions: The revisions; changed in place.
    :param update: The page.
    """
    if update.starts_era:
        revisions.unattributed = 0
        revisions.known.clear()
    revisions.unattributed = max(
        revisions.unattributed, find_unattributed_revision(update)
    )


def find_unattributed_revision(update: SourceUpdate) -> int:
    """Find the newest revision that may not belong to the configuration.

    A revision that the page's items don't account for is a change of another table, or
    an earlier version of an item.

    :param update: The update from the configuration's source.
    :returns: The revision; 0 when the items account for all revisions.
    """
    page = update.page
    if update.after_revision is not None and page.revision <= update.after_revision:
        return 0
    if page.revision > page.changed_revision:
        return page.revision
    first = page.revision - len(page.items)
    if update.after_revision is not None and first <= update.after_revision:
        return 0
    return page.revision - 1


def is_source_behind(
    revisions: Revisions, progress: FollowProgress, configuration: FollowProgress
) -> bool:
    """Return whether the store may have changes that a source has not delivered.

    Changes may still be in transit, or the source has stopped delivering them without
    an error. The source is behind too while it has been read only from an earlier era
    of the store.

    :param revisions: The revisions that pages have told.
    :param progress: The progress in following the source.
    :param configuration: The progress in following the configuration.
    """
    eras = (progress.era, configuration.era)
    if None not in eras and progress.era != configuration.era:
        return progress.era < configuration.era
    newest = revisions.unattributed
    while newest in revisions.known:
        newest -= 1
    return newest > (progress.revision or 0)
