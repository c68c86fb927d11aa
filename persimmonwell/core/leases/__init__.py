"""Placement leases, the placement planner and the pacing of orders to engines.

The holder of the placement lease plans which engine serves which layers. It sends
orders that carry the fencing token of the lease.
"""

from persimmonwell.core.leases._events import (
    AppendLease,
    LeaseAppendEnded,
    LeaseDecision,
    LeaseLost,
    LeasesEvent,
    LeasesRead,
    LeasesTick,
    LeasesWanted,
    LeaseTaken,
)
from persimmonwell.core.leases._fold import Holder, LeaseFold
from persimmonwell.core.leases._orders import (
    Order,
    OrderAttempt,
    OrderBook,
    OrderKind,
    OrderResult,
    order_id_of,
)
from persimmonwell.core.leases._planner import (
    IDLE_MODEL,
    AcceleratorKind,
    ModelDemand,
    Placement,
    PlanLimits,
    has_chain,
    plan_orders,
    throughput,
)
from persimmonwell.core.leases._state import (
    LEASES_STREAM,
    HeldLease,
    LeaseLimits,
    LeasesState,
    may_send,
)

__all__ = [
    "IDLE_MODEL",
    "AcceleratorKind",
    "ModelDemand",
    "Order",
    "OrderBook",
    "OrderKind",
    "OrderResult",
    "PlanLimits",
    "Placement",
    "OrderAttempt",
    "has_chain",
    "order_id_of",
    "plan_orders",
    "throughput",
    "LEASES_STREAM",
    "AppendLease",
    "Holder",
    "HeldLease",
    "LeaseAppendEnded",
    "LeaseDecision",
    "LeaseFold",
    "LeaseLimits",
    "LeaseLost",
    "LeaseTaken",
    "LeasesEvent",
    "LeasesRead",
    "LeasesState",
    "LeasesTick",
    "LeasesWanted",
    "may_send",
]
