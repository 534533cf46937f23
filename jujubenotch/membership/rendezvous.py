"""Rendezvous hashing: all who know the same names choose alike."""

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 8


def choose_by_rendezvous(key: str, names: Iterable[str], count: int = 1) -> list[str]:
    """Choose names for a key.

    Adding or removing a name moves only the keys that it wins or won. The
    digest is stable over processes and versions.

    :param key: What to choose for.
    :param names: The candidates, in any order.
    :param count: How many to choose.
    :returns: At most ``count`` names, the first choice first.

    >>> choose_by_rendezvous("group", ["a", "b"]) in (["a"], ["b"])
    True
    """
    ranked = sorted(names, key=lambda name: (_digest(key, name), name), reverse=True)
    return ranked[:count]


def _digest(key, name):
    text = f"{len(key)}:{key}{name}".encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()
