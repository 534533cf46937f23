"""Finds what requests that crash upstreams have in common, and blocks them.

Errors: none. Features: ``features/crashes``.
"""

from jujubenotch.crashes.blame import choose_blocks
from jujubenotch.crashes.codec import decode_reports, encode_reports
from jujubenotch.crashes.decide import refresh_if_stale
from jujubenotch.crashes.digest import digest_part, digest_request
from jujubenotch.crashes.evidence import (
    adopt_reports,
    apply_reports,
    find_block,
    record_break,
    record_sound_response,
    take_own_reports,
)
from jujubenotch.crashes.model import (
    Acquittal,
    Block,
    CrashReport,
    InstanceReports,
)
from jujubenotch.crashes.state import Evidence, make_own_reports

__all__ = [
    "Acquittal",
    "Block",
    "CrashReport",
    "Evidence",
    "InstanceReports",
    "adopt_reports",
    "apply_reports",
    "choose_blocks",
    "decode_reports",
    "digest_part",
    "digest_request",
    "encode_reports",
    "find_block",
    "make_own_reports",
    "record_break",
    "record_sound_response",
    "refresh_if_stale",
    "take_own_reports",
]
