"""Encodes the orders for the store, for the next holder of the lease."""

from collections.abc import Collection
from copy import copy
from typing import Annotated, Literal

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from jujubenotch.scaling.kinds import make_keys
from jujubenotch.scaling.model import (
    Order,
    OrderChange,
    ScalingState,
    ServicePlan,
)

FORMAT = 1
Count = Annotated[int, Field(ge=0)]


class _PlaceDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    standard: Count = 0
    preemptible: Count = 0
    total: Count


class _ServiceDocument(BaseModel):
    model_config = ConfigDict(extra="ignore", strict=True)

    needed: Count
    places: dict[str, _PlaceDocument]


class _OrdersDocument(BaseModel):
    """The orders in force; fields that a later release adds are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True)

    format: Literal[FORMAT]
    era: Count
    services: dict[str, _ServiceDocument]


def encode_orders(
    state: ScalingState, changes: Collection[OrderChange], era: int
) -> bytes:
    """Encode the orders as they will be once the changes are sent.

    :param state: The orders in force.
    :param changes: The changes that are about to be sent.
    :param era: The era of the store.
    """
    orders = {key: copy(order) for key, order in state.orders.items()}
    for change in changes:
        orders[change.key].count = change.count
    services = {
        name: {
            "needed": plan.needed,
            "places": {
                place: _encode_place(orders, name, place, total)
                for place, total in plan.totals.items()
            },
        }
        for name, plan in state.plans.items()
    }
    return orjson.dumps({"format": FORMAT, "era": era, "services": services})


def _encode_place(orders, service, data_centre, total):
    standard, preemptible = make_keys(service, data_centre)
    return {
        "standard": orders[standard].count,
        "preemptible": orders[preemptible].count,
        "total": total,
    }


def decode_orders(content: bytes, era: int, now_s: float) -> ScalingState | None:
    """Decode the orders that an earlier holder of the lease stored.

    Orders of an earlier era may be older than the last ones that were sent, so they
    are not used; the list of upstreams then shows what is in force.

    :param content: The row's value.
    :param era: The present era of the store.
    :param now_s: The present time, in seconds; the last orders may still be booting.
    :returns: The orders; ``None`` when they are invalid or of another era.
    """
    try:
        document = _OrdersDocument.model_validate_json(content)
    except ValidationError:
        return None
    if document.era != era:
        return None
    state = ScalingState(is_restored=True)
    for name, service in document.services.items():
        state.plans[name] = ServicePlan(
            needed=service.needed,
            totals={place: each.total for place, each in service.places.items()},
        )
        for place, each in service.places.items():
            for key, count in zip(
                make_keys(name, place), (each.standard, each.preemptible), strict=True
            ):
                state.orders[key] = Order(count=count, previous=count, raised_s=now_s)
    return state
