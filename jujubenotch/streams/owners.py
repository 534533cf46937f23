"""Chooses the instances that are told where a stream began."""

from collections.abc import Iterable

from jujubenotch.membership import choose_by_rendezvous

# The instance where the stream began knows it as well. All of them, and the message
# to each, would have to be lost for a caller to be refused.
OWNERS = 3
# Instances that write origins and records to the store. Both write everything, so that
# the loss of one loses nothing.
KEEPERS = 2
KEEPER_KEY = "stream-keepers"


def choose_owners(request_id: str, addresses: Iterable[str]) -> list[str]:
    """Choose the instances that keep the origin of a stream for the others.

    Instances that know the same addresses choose the same ones.

    :param request_id: The request that brought the first event.
    :param addresses: The addresses of all instances.
    """
    return choose_by_rendezvous(request_id, addresses, OWNERS)


def choose_keepers(addresses: Iterable[str]) -> list[str]:
    """Choose the instances that write what has to outlive all instances.

    :param addresses: The addresses of all instances.
    """
    return choose_by_rendezvous(KEEPER_KEY, addresses, KEEPERS)
