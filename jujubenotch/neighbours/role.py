"""Decides which instance of a data centre reads the store for its neighbours."""

from dataclasses import dataclass

from jujubenotch.neighbours.model import Message, MessageKind

# An instance becomes the reader when its configuration reaches an age between these
# shares of the largest allowed age. The reader confirms the configuration more often,
# and the instance would report itself as not ready only at a higher age.
MIN_TAKEOVER_SHARE = 0.34
TAKEOVER_SPREAD_SHARE = 0.1
# Used in place of the largest allowed age on sites that don't limit the age.
DEFAULT_MAX_AGE_S = 5.0
# A reader whose calls fail reports the outage more often than this.
OUTAGE_REPORT_LIFETIME_S = 2.0
# Within this time after a reader has failed, another instance reads the store.
MAX_TAKEOVER_S = 3.0


@dataclass(kw_only=True)
class ReaderRole:
    """Whether this instance reads the store for its neighbours.

    :param draw: A random number in [0, 1), drawn once by each instance, so that
        they don't all take over at the same time.
    :param is_reader: Whether it is the reader now.
    :param outage_reported_s: When a neighbour that ranks before this instance last
        reported that the store does not answer, in seconds.

    >>> ReaderRole(draw=0.5).is_reader
    False
    """

    draw: float
    is_reader: bool = False
    outage_reported_s: float = float("-inf")


def find_takeover_delay_s(role: ReaderRole, max_age_s: float, age_s: float) -> float:
    """Return after which time this instance becomes the reader unless a page arrives.

    :param role: The instance's role.
    :param max_age_s: The largest age that the configuration may have, in seconds;
        0 sets no limit.
    :param age_s: The age of the configuration, in seconds.
    :returns: The delay in seconds; not positive when it is due.
    """
    share = MIN_TAKEOVER_SHARE + TAKEOVER_SPREAD_SHARE * role.draw
    return share * (max_age_s or DEFAULT_MAX_AGE_S) - age_s


def is_outage_reported(role: ReaderRole, now_s: float) -> bool:
    """Return whether another instance reports an outage and will tell when it ends.

    :param role: The instance's role.
    :param now_s: The present time, in seconds.
    """
    return now_s - role.outage_reported_s < OUTAGE_REPORT_LIFETIME_S


def allows_single_reader(max_change_delay_s: float) -> bool:
    """Return whether a change may take as long as the role takes to pass on.

    :param max_change_delay_s: The time within which a change must be in force, in
        seconds.
    """
    return max_change_delay_s >= MAX_TAKEOVER_S


def choose_read_wait_s(change_wait_s: float, age_s: float, *, is_reader: bool) -> float:
    """Choose how long a call for the configuration may wait for changes.

    :param change_wait_s: The wait when the configuration has just been confirmed,
        in seconds.
    :param age_s: The age of the configuration, in seconds.
    :param is_reader: Whether this instance is the reader; another one only catches
        up with changes that it missed.
    :returns: The wait in seconds.
    """
    if not is_reader:
        return 0.0
    return max(0.0, change_wait_s - age_s)


def must_step_down(
    role: ReaderRole,
    message: Message,
    *,
    sender: str,
    own_address: str,
    is_failing: bool,
) -> bool:
    """Return whether this instance leaves the role to the sender of a message.

    Of two readers the one with the lower address goes on, unless its calls fail.

    :param role: The instance's role.
    :param message: A message about a page that the sender read.
    :param sender: The address of the sender.
    :param own_address: The address of this instance's endpoint.
    :param is_failing: Whether this instance's own calls fail.
    """
    if not role.is_reader or message.kind is not MessageKind.CONFIGURATION:
        return False
    return is_failing or sender < own_address


def is_usable_page(message: Message, era: int | None, revision: int | None) -> bool:
    """Return whether a page that a neighbour read can be applied.

    :param message: The message.
    :param era: The era of the last page that this instance knows; ``None`` before
        the first one.
    :param revision: The revision up to which it knows all changes of the source;
        ``None`` when it has to read all items.
    :returns: False when the page belongs to another era, leaves out changes, or
        begins after changes that this instance doesn't know.
    """
    if revision is None or era != message.era or not message.is_complete:
        return False
    return message.after_revision <= revision
