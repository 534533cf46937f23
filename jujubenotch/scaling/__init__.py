"""Decides how many upstreams of each service are ordered, of which kind and where.

Errors: none. Features: ``features/scaling``.
"""

from jujubenotch.scaling.codec import decode_orders, encode_orders
from jujubenotch.scaling.demand import DemandDoubt, record_demand
from jujubenotch.scaling.kinds import LISTING_DELAY_S, begin_order
from jujubenotch.scaling.model import (
    CapacityKind,
    ChangeReason,
    DemandHistory,
    Order,
    OrderChange,
    OrderKey,
    Presence,
    ScalingState,
)
from jujubenotch.scaling.orders import (
    block_reclaimed,
    block_unavailable,
    cancel_order,
    confirm_order,
)
from jujubenotch.scaling.pacing import (
    CallPacing,
    count_available,
    make_pacing,
    pause_calls,
    record_call,
    record_success,
)
from jujubenotch.scaling.plan import plan_service
from jujubenotch.scaling.present import count_present

__all__ = [
    "LISTING_DELAY_S",
    "CallPacing",
    "CapacityKind",
    "ChangeReason",
    "DemandDoubt",
    "DemandHistory",
    "Order",
    "OrderChange",
    "OrderKey",
    "Presence",
    "ScalingState",
    "begin_order",
    "block_reclaimed",
    "block_unavailable",
    "cancel_order",
    "confirm_order",
    "count_available",
    "count_present",
    "decode_orders",
    "encode_orders",
    "make_pacing",
    "pause_calls",
    "plan_service",
    "record_call",
    "record_demand",
    "record_success",
]
