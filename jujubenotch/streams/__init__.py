"""Knows at which software version of a service each stream began.

What upstreams of two versions write doesn't fit together, so a stream goes on only at
the version that began it. Errors: none. Features: ``features/streams``.
"""

from jujubenotch.streams.history import (
    VersionHistory,
    find_sole_version,
    has_many_versions,
    record_versions,
)
from jujubenotch.streams.origins import (
    OriginTable,
    StreamOrigin,
    find_origin,
    find_origins_of,
    remember_origin,
)
from jujubenotch.streams.owners import choose_owners

__all__ = [
    "OriginTable",
    "StreamOrigin",
    "VersionHistory",
    "choose_owners",
    "find_origin",
    "find_origins_of",
    "find_sole_version",
    "has_many_versions",
    "record_versions",
    "remember_origin",
]
