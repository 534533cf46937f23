"""Shares what one instance read from the store with the others of its data centre.

One instance of a data centre, the reader, follows the sources and sends each page
to its neighbours, so that they need not call the store. The role is soft state: an
instance whose configuration was not confirmed in time becomes the reader itself.

Errors: ``MessageError``.
Features: ``features/neighbours``.
"""

from jujubenotch.neighbours.codec import (
    MessageError,
    Reassembly,
    decode_message,
    join_datagram,
    split_message,
)
from jujubenotch.neighbours.endpoint import NeighbourEndpoint, open_endpoint
from jujubenotch.neighbours.model import (
    Message,
    MessageItem,
    MessageKind,
    PaceEntry,
    Registry,
    StreamEntry,
    VersionEntry,
)
from jujubenotch.neighbours.role import (
    DEFAULT_MAX_AGE_S,
    ReaderRole,
    allows_single_reader,
    choose_read_wait_s,
    find_takeover_delay_s,
    is_outage_reported,
    is_usable_page,
    must_step_down,
)

__all__ = [
    "DEFAULT_MAX_AGE_S",
    "NeighbourEndpoint",
    "Message",
    "MessageError",
    "MessageItem",
    "MessageKind",
    "PaceEntry",
    "ReaderRole",
    "Reassembly",
    "Registry",
    "StreamEntry",
    "VersionEntry",
    "allows_single_reader",
    "choose_read_wait_s",
    "decode_message",
    "find_takeover_delay_s",
    "is_outage_reported",
    "is_usable_page",
    "join_datagram",
    "must_step_down",
    "open_endpoint",
    "split_message",
]
