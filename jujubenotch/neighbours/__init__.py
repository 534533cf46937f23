"""Shares what one instance read from the store with the others of its data centre.

One instance of a data centre, the reader, follows the sources and sends each page
to its neighbours, so that they need not call the store. The role is soft state: an
instance whose configuration was not confirmed in time becomes the reader itself.

Errors: ``NewsError``.
Features: ``features/neighbours``.
"""

from jujubenotch.neighbours.codec import (
    NewsError,
    Reassembly,
    decode_news,
    join_datagram,
    split_news,
)
from jujubenotch.neighbours.endpoint import NeighbourEndpoint, open_endpoint
from jujubenotch.neighbours.model import (
    MAX_NEIGHBOURS,
    Neighbours,
    News,
    NewsItem,
    NewsKind,
    Registry,
)
from jujubenotch.neighbours.role import (
    ReaderRole,
    allows_single_reader,
    choose_read_wait_s,
    find_takeover_delay_s,
    is_outage_reported,
    is_usable_news,
    must_step_down,
)

__all__ = [
    "MAX_NEIGHBOURS",
    "NeighbourEndpoint",
    "Neighbours",
    "News",
    "NewsError",
    "NewsItem",
    "NewsKind",
    "ReaderRole",
    "Reassembly",
    "Registry",
    "allows_single_reader",
    "choose_read_wait_s",
    "decode_news",
    "find_takeover_delay_s",
    "is_outage_reported",
    "is_usable_news",
    "join_datagram",
    "must_step_down",
    "open_endpoint",
    "split_news",
]
