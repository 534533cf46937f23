"""Decides whether this instance reaches a service's upstreams, and who helps if not.

Errors: ``BorrowedCallError``. Features: ``features/detour``.
"""

from jujubenotch.detour.borrowed import (
    HELPER_PROTOCOL,
    MAX_DOCUMENT_BYTES,
    BorrowedCallError,
    decode_call,
    encode_call,
)
from jujubenotch.detour.helpers import (
    CUT_OFF_AVOID_S,
    Helpers,
    avoid_helper,
    choose_helper,
    record_help,
)
from jujubenotch.detour.reach import (
    Reach,
    choose_samples,
    needs_check,
    record_check,
    record_contact,
    record_failure,
    record_probe,
)

__all__ = [
    "CUT_OFF_AVOID_S",
    "HELPER_PROTOCOL",
    "MAX_DOCUMENT_BYTES",
    "BorrowedCallError",
    "Helpers",
    "Reach",
    "avoid_helper",
    "choose_helper",
    "choose_samples",
    "decode_call",
    "encode_call",
    "needs_check",
    "record_check",
    "record_contact",
    "record_failure",
    "record_help",
    "record_probe",
]
