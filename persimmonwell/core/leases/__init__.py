"""Hold placement leases, and plan and pace orders to engines."""

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
    OrderBook,
    OrderKind,
    OrderResult,
    SettledOrder,
    order_id_of,
)
from persimmonwell.core.leases._planner import (
    IDLE_MODEL,
    AcceleratorKind,
    ModelDemand,
    Placement,
    PlanLimits,
    has_chain,
    plan,
    throughput,
)
from persimmonwell.core.leases._state import (
    LEASES_STREAM,
    Holding,
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
    "SettledOrder",
    "has_chain",
    "order_id_of",
    "plan",
    "throughput",
    "LEASES_STREAM",
    "AppendLease",
    "Holder",
    "Holding",
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
