"""Decide how hosts forward requests to upstreams on the users' platform."""

from persimmonwell.core.forwarding._events import (
    AskStalled,
    AttemptFailure,
    CancelAttempt,
    CheckReplica,
    Decision,
    Ending,
    Finish,
    Quarantined,
    Reroute,
    Send,
)
from persimmonwell.core.forwarding._loads import LoadTable, ReplicaLoad
from persimmonwell.core.forwarding._model import (
    AcceleratorKind,
    CallerLimits,
    CallerRequest,
    EngineSpec,
    ForwardingConfig,
    GenerationSize,
    HeldLayers,
    Replica,
    ReplicaReport,
    Route,
    RouteKind,
    ServiceSpec,
    Tenant,
    WeightedService,
)
from persimmonwell.core.forwarding._paths import Part, Path, find_path
from persimmonwell.core.forwarding._peers import (
    PeerStatus,
    StoreMarks,
    should_read_often,
    should_stand_in,
)
from persimmonwell.core.forwarding._placement import (
    PlacementOrder,
    PlacementStep,
    plan_placement,
)
from persimmonwell.core.forwarding._registry import RegistryRecord, ReplicaRegistry
from persimmonwell.core.forwarding._returning import RETURN_WINDOW_S
from persimmonwell.core.forwarding._router import ForwardingRouter

__all__ = [
    "RETURN_WINDOW_S",
    "AcceleratorKind",
    "AskStalled",
    "AttemptFailure",
    "CallerLimits",
    "CallerRequest",
    "CancelAttempt",
    "CheckReplica",
    "Decision",
    "Ending",
    "EngineSpec",
    "Finish",
    "ForwardingConfig",
    "ForwardingRouter",
    "GenerationSize",
    "HeldLayers",
    "LoadTable",
    "Part",
    "Path",
    "PeerStatus",
    "PlacementOrder",
    "PlacementStep",
    "Quarantined",
    "RegistryRecord",
    "Replica",
    "ReplicaLoad",
    "ReplicaRegistry",
    "ReplicaReport",
    "Reroute",
    "Route",
    "RouteKind",
    "Send",
    "ServiceSpec",
    "StoreMarks",
    "Tenant",
    "WeightedService",
    "find_path",
    "plan_placement",
    "should_read_often",
    "should_stand_in",
]
