"""The memory that requests and responses in progress take together.

Errors: none. Features: ``features/memory``.
"""

from jujubenotch.memory.account import (
    MemoryAccount,
    MemoryUse,
    Rank,
    record_size,
    release_use,
)

__all__ = ["MemoryAccount", "MemoryUse", "Rank", "record_size", "release_use"]
