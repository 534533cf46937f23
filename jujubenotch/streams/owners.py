"""Chooses the instances that are told where a stream began."""

from collections.abc import Iterable

from jujubenotch.membership import choose_by_rendezvous

# The instance where the stream began knows it as well. All of them, and the message
# to each, would have to be lost for a caller to be refused.
OWNERS = 3


def choose_owners(request_id: str, addresses: Iterable[str]) -> list[str]:
    """Choose the instances that keep the origin of a stream for the others.

    Instances that know the same addresses choose the same ones.

    :param request_id: The request that brought the first event.
    :param addresses: The addresses of all instances.
    """
    return choose_by_rendezvous(request_id, addresses, OWNERS)
