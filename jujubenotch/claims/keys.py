"""Digests that name a claim's row and tell requests apart."""

import hashlib

import orjson

SECONDS_PER_HOUR = 3600


def digest_row_key(team: str, idempotency_key: str, target: str) -> str:
    """Name the row of a key.

    The name depends on nothing else, no clock included, so that every instance
    finds the same row at any time.

    :param team: The caller's team.
    :param idempotency_key: The caller's key.
    :param target: The model or plain service.
    :returns: Lower-case hexadecimal SHA-256.
    """
    return hashlib.sha256(orjson.dumps([team, idempotency_key, target])).hexdigest()


def digest_request(method: str, path: str, body: bytes) -> str:
    """Digest what a key must not be reused with a change of.

    :param method: The HTTP method.
    :param path: The path and query.
    :param body: The body.
    :returns: Lower-case hexadecimal SHA-256.
    """
    digest = hashlib.sha256(orjson.dumps([method, path]))
    digest.update(body)
    return digest.hexdigest()


def find_hour(unix_s: float) -> int:
    """Find the hour that a time is in.

    :param unix_s: Unix time in seconds.
    :returns: Hours since 1970.
    """
    return int(unix_s // SECONDS_PER_HOUR)
