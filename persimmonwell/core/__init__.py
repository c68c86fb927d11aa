"""Decision logic without I/O: typed events in, typed decisions out."""

from persimmonwell.core._types import (
    Chain,
    InflightCount,
    LayerRange,
    LinkCapacity,
    ModelRequest,
    Outcome,
    Rank,
    ServiceCall,
    ServiceReplica,
    Stage,
    Upstream,
    UpstreamRole,
    covers_all_layers,
)

__all__ = [
    "Chain",
    "InflightCount",
    "LayerRange",
    "LinkCapacity",
    "ModelRequest",
    "Outcome",
    "Rank",
    "ServiceCall",
    "ServiceReplica",
    "Stage",
    "Upstream",
    "UpstreamRole",
    "covers_all_layers",
]
