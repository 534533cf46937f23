"""Where a request may go: groups of upstreams, choice among them, health.

Errors: none. Features: ``features/routing``.
"""

from jujubenotch.routing.groups import Groups, group_upstreams

__all__ = ["Groups", "group_upstreams"]
