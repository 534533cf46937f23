"""Encodes the value of a claim's row as bytes, and decodes it.

The value is one line of JSON followed by the unmodified body of the recorded
answer.
"""

from dataclasses import replace

import orjson

from jujubenotch.claims.errors import RowUnreadableError
from jujubenotch.claims.model import ClaimRow, ClaimState, RecordedAnswer
from jujubenotch.outcomes import FailureReason, Outcome, RefusalReason

REASON_KINDS = {"failure": FailureReason, "refusal": RefusalReason}


def encode_row(row: ClaimRow) -> bytes:
    """Encode a row.

    :param row: The row.
    :returns: The value for the table service.
    """
    body = row.answer.body if row.answer else b""
    header = {
        "state": row.state,
        "attempt_id": row.attempt_id,
        "instance": row.instance,
        "fingerprint": row.fingerprint,
        "expires_hour": row.expires_hour,
        "object_name": row.object_name,
        "answer": _encode_answer(row.answer) if row.answer else None,
    }
    return orjson.dumps(header) + b"\n" + body


def decode_row(value: bytes) -> ClaimRow:
    """Decode a row.

    :param value: The value from the table service.
    :returns: The row.
    :raises RowUnreadableError: The value is not an encoded row.
    """
    header_line, _, body = value.partition(b"\n")
    try:
        header = orjson.loads(header_line)
        answer = header.pop("answer")
        state = ClaimState(header.pop("state"))
        if answer is not None:
            answer = replace(_decode_answer(answer), body=body)
        return ClaimRow(state=state, answer=answer, **header)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RowUnreadableError(f"can't decode the row of a claim: {error}") from error


def _encode_answer(answer):
    kinds = [name for name, kind in REASON_KINDS.items() if type(answer.reason) is kind]
    return {
        "outcome": answer.outcome,
        "status": answer.status,
        "reason": answer.reason,
        "reason_kind": kinds[0] if kinds else None,
        "headers": answer.headers,
        "is_streamed": answer.is_streamed,
    }


def _decode_answer(encoded):
    kind = encoded["reason_kind"]
    return RecordedAnswer(
        outcome=Outcome(encoded["outcome"]),
        status=encoded["status"],
        reason=REASON_KINDS[kind](encoded["reason"]) if kind else None,
        headers=tuple((name, value) for name, value in encoded["headers"]),
        is_streamed=encoded["is_streamed"],
    )
