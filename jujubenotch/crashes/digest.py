"""Digests that stand for the contents of requests in logs and messages."""

import hashlib
from collections.abc import Sequence

DIGEST_BYTES = 8
# Distinguishes the digests of parts from those of other contents.
PART_PERSON = b"part"
REQUEST_PERSON = b"request"
# Tells the digest of a whole request from that of a part, which has no prefix.
REQUEST_PREFIX = "r"


def digest_part(part_id: str) -> str:
    """Return the digest of a prompt part.

    :param part_id: The part's identifier, which a caller chooses freely.
    """
    return _digest(part_id.encode(), PART_PERSON)


def digest_request(
    *, team: str, method: str, path: str, parts: Sequence[str], body: bytes
) -> str:
    """Return the digest of what a request asks for, which is the same in its repeats.

    :param team: The name of the caller's team.
    :param method: The HTTP method.
    :param path: The path and query.
    :param parts: The identifiers of the prompt parts that it shares with others, as
        the body needn't contain the prompt.
    :param body: The body.
    """
    head = "\n".join((team, method, path, *parts)).encode()
    content = b"%d\n%b%b" % (len(head), head, body)
    return REQUEST_PREFIX + _digest(content, REQUEST_PERSON)


def is_request_digest(suspect: str) -> bool:
    """Return whether a digest is that of a whole request.

    :param suspect: The digest.
    """
    return suspect.startswith(REQUEST_PREFIX)


def _digest(content, person):
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES, person=person)
    return digest.hexdigest()
