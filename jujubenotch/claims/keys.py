"""Computes the row key of a claim, the digest of a request and expiry hours."""

import hashlib

import orjson

SECONDS_PER_HOUR = 3600


def digest_row_key(team: str, idempotency_key: str, target: str) -> str:
    """Compute the key of a claim's row.

    The row key depends on the arguments only and not, for example, on the time,
    so that every instance finds the same row at any time.

    :param team: The name of the caller's team.
    :param idempotency_key: The idempotency key that the caller chose.
    :param target: The model or plain service that the request is for.
    :returns: A SHA-256 digest in lower-case hexadecimal.
    """
    return hashlib.sha256(orjson.dumps([team, idempotency_key, target])).hexdigest()


def digest_request(method: str, path: str, body: bytes) -> str:
    """Digest the parts of a request that must be equal in all its repeats.

    An idempotency key that is used again with a different digest is refused.

    :param method: The HTTP method.
    :param path: The path and query.
    :param body: The body.
    :returns: A SHA-256 digest in lower-case hexadecimal.
    """
    digest = hashlib.sha256(orjson.dumps([method, path]))
    digest.update(body)
    return digest.hexdigest()


def compute_unix_hour(unix_s: float) -> int:
    """Convert a Unix time to whole hours, rounding down.

    :param unix_s: The Unix time, in seconds.
    :returns: The hours since the start of 1970.
    """
    return int(unix_s // SECONDS_PER_HOUR)
