"""Digests that stand for the contents of requests in logs and messages."""

import hashlib

DIGEST_BYTES = 8
# Distinguishes the digests of parts from those of other contents.
PART_PERSON = b"part"


def digest_part(part_id: str) -> str:
    """Return the digest of a prompt part.

    :param part_id: The part's identifier, which a caller chooses freely.
    """
    return _digest(part_id.encode(), PART_PERSON)


def _digest(content, person):
    digest = hashlib.blake2b(content, digest_size=DIGEST_BYTES, person=person)
    return digest.hexdigest()
