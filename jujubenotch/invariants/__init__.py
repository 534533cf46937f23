"""Invariants asserted inside the program.

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
