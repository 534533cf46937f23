"""Digests that stand for the contents of requests in logs and messages."""

import hashlib

DIGEST_BYTES = 8
# Distinguishes the digests of parts from those of other contents.
PART_PERSON = b"part"
REQUEST_PERSON = b"request"


def digest_part(part_id: str) -> str:
    """Return the digest of a prompt part.

    :param part_id: The part's identifier, which a caller chooses freely.
    """
    return _digest(part_id.encode(), PART_PERSON)


def digest_request(*, team: str, method: str, path: str, body: bytes) -> str:
    """Return the digest of what a request asks for, which is the same in its repeats.

    :param team: The name of the caller's team.
    :param method: The HTTP method.
    :param path: The path and query.
    :param body: The body.
    """
    head = "\n".join((team, method, path)).encode()
    return _digest(b"%d\n%b%b" % (len(head), head, body), REQUEST_PERSON)


def _digest(content, person):
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES, person=person)
    return digest.hexdigest()
