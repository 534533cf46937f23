"""Invariants that the program checks while it runs.

Errors: ``InvariantError``. Features: ``features/invariants``.
"""

from jujubenotch.invariants.core import (
    InvariantError,
    assert_invariant,
    make_violations_fatal,
    read_violations,
)

__all__ = [
    "InvariantError",
    "assert_invariant",
    "make_violations_fatal",
    "read_violations",
]
