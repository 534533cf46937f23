"""Encodes the reports of an instance for the other instances, and decodes theirs."""

from dataclasses import asdict

import orjson
from pydantic import TypeAdapter, ValidationError

from jujubenotch.crashes.model import InstanceReports
from jujubenotch.crashes.state import (
    MAX_ACQUITTALS,
    MAX_CRASHES,
    MAX_SUSPECTS_PER_CRASH,
)

_REPORTS = TypeAdapter(InstanceReports)


def encode_reports(reports: InstanceReports) -> bytes:
    """Encode the reports of an instance.

    :param reports: The reports.
    """
    return orjson.dumps(asdict(reports))


def decode_reports(content: bytes) -> InstanceReports | None:
    """Decode the reports of an instance.

    :param content: The encoded reports.
    :returns: The reports; ``None`` when they are invalid or larger than allowed.
    """
    try:
        reports = _REPORTS.validate_json(content)
    except ValidationError:
        return None
    is_small = (
        len(reports.crashes) <= MAX_CRASHES
        and len(reports.acquittals) <= MAX_ACQUITTALS
        and all(
            len(each.suspects) + len(each.trusted) <= MAX_SUSPECTS_PER_CRASH
            for each in reports.crashes
        )
    )
    return reports if is_small else None
