"""Finds what requests that crash upstreams have in common.

Errors: none. Features: ``features/crashes``.
"""

from jujubenotch.crashes.digest import digest_part

__all__ = ["digest_part"]
