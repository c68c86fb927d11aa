"""Forwarding decisions of one host on the users' platform, free of I/O.

ForwardingRouter takes events of callers, upstreams, peers and the clock, and returns
decisions that persimmonwell.gateway carries out.
"""

from persimmonwell.core.forwarding._active import PriorityClass
from persimmonwell.core.forwarding._answers import (
    AnswerPhase,
    AnswerState,
    BodyUse,
    Completion,
    FailedAttempt,
    UpstreamAnswer,
)
from persimmonwell.core.forwarding._budget import USABLE_SHARE
from persimmonwell.core.forwarding._caller_retries import (
    MAX_SHARED_DIGESTS,
    PEER_REFUSAL_TTL_S,
)
from persimmonwell.core.forwarding._devices import layers_in_memory
from persimmonwell.core.forwarding._events import (
    AttemptFailure,
    CancelAttempt,
    CrashResolved,
    CrashSuspected,
    Decision,
    Ending,
    FetchStallReport,
    Finish,
    HoldOffStated,
    LeavingChanged,
    ProbeReplica,
    Quarantined,
    RateLimitChanged,
    Report,
    RequestDecision,
    Reroute,
    RerouteFailure,
    Send,
)
from persimmonwell.core.forwarding._full_stages import (
    MAX_SHARED_REPORTS,
    MemoryReport,
)
from persimmonwell.core.forwarding._handover import HandoverPolicy
from persimmonwell.core.forwarding._intervals import IntervalEstimate
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
from persimmonwell.core.forwarding._paths import PipelinePath, Stage, find_path
from persimmonwell.core.forwarding._peers import (
    READERS_PER_ZONE,
    PeerStatus,
    StoreVersions,
    count_readers,
    should_be_reader,
    should_plan_without_store,
)
from persimmonwell.core.forwarding._placement import (
    MIN_KV_TOKENS,
    PlacementOrder,
    PlacementScope,
    plan_placement,
)
from persimmonwell.core.forwarding._probe_times import MIN_OVERDUE_S, ProbeTimes
from persimmonwell.core.forwarding._registry import (
    RegistryChanges,
    RegistryRecord,
    ReplicaRegistry,
)
from persimmonwell.core.forwarding._router import ForwardingRouter
from persimmonwell.core.forwarding._statements import LeavingNotice, ReplicaStatement
from persimmonwell.core.forwarding._stream_position import EventPlace, StreamPosition
from persimmonwell.core.forwarding._wait_facts import WaitFacts
from persimmonwell.core.forwarding._workspace_usage import (
    MAX_SHARED_TOKENS,
    MAX_SHARED_WORKSPACES,
    WorkspaceTokens,
)
from persimmonwell.core.forwarding._zone_choice import ZoneCrossing
from persimmonwell.core.forwarding._zone_readers import ReadMark, ZoneReaders

__all__ = [
    "PriorityClass",
    "PEER_REFUSAL_TTL_S",
    "MAX_SHARED_DIGESTS",
    "MAX_SHARED_REPORTS",
    "MAX_SHARED_TOKENS",
    "MAX_SHARED_WORKSPACES",
    "READERS_PER_ZONE",
    "USABLE_SHARE",
    "AcceleratorKind",
    "AnswerPhase",
    "AnswerState",
    "AttemptFailure",
    "BodyUse",
    "CallerLimits",
    "CallerRequest",
    "CancelAttempt",
    "CrashResolved",
    "CrashSuspected",
    "Completion",
    "Decision",
    "Ending",
    "EngineSpec",
    "EventPlace",
    "FailedAttempt",
    "FetchStallReport",
    "Finish",
    "ForwardingConfig",
    "ForwardingRouter",
    "GenerationSize",
    "HandoverPolicy",
    "HoldOffStated",
    "LeavingChanged",
    "LeavingNotice",
    "ReplicaStatement",
    "HeldLayers",
    "MIN_KV_TOKENS",
    "MIN_OVERDUE_S",
    "IntervalEstimate",
    "ProbeTimes",
    "LoadTable",
    "MemoryReport",
    "PeerStatus",
    "PipelinePath",
    "PlacementOrder",
    "PlacementScope",
    "ProbeReplica",
    "Quarantined",
    "RateLimitChanged",
    "ReadMark",
    "RegistryChanges",
    "RegistryRecord",
    "Replica",
    "ReplicaLoad",
    "ReplicaRegistry",
    "ReplicaReport",
    "Report",
    "RequestDecision",
    "Reroute",
    "RerouteFailure",
    "Route",
    "RouteKind",
    "Send",
    "ServiceSpec",
    "Stage",
    "StoreVersions",
    "StreamPosition",
    "Tenant",
    "UpstreamAnswer",
    "WeightedService",
    "WaitFacts",
    "WorkspaceTokens",
    "ZoneCrossing",
    "ZoneReaders",
    "count_readers",
    "find_path",
    "layers_in_memory",
    "plan_placement",
    "should_be_reader",
    "should_plan_without_store",
]
