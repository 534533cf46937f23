"""Rendezvous hashing: instances that know the same names make the same choice."""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8


def choose_by_rendezvous(key: str, names: Iterable[str], count: int = 1) -> list[str]:
    """Choose the highest-ranked names for a key.

    Adding or removing a name changes the choice only for keys for which that name
    is chosen. The digest is the same in all processes and versions.

    :param key: The key to choose names for.
    :param names: The candidates, in any order.
    :param count: How many names to choose.
    :returns: At most ``count`` names, the highest-ranked name first.

    >>> choose_by_rendezvous("group", ["a", "b"]) in (["a"], ["b"])
    True
    """
    ranked = sorted(
        names, key=lambda name: (_compute_digest(key, name), name), reverse=True
    )
    return ranked[:count]


def _compute_digest(key, name):
    text = f"{len(key)}:{key}{name}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
