"""Fleet configuration, folded from the patches and snapshots of the config stream."""

from persimmonwell.core.config._fold import (
    ConfigFold,
    Duplicate,
    FoldResult,
    Gap,
    SnapshotAccepted,
    SnapshotRejected,
    UnknownSchema,
    document_digest,
    merge_patch,
)
from persimmonwell.core.config._history import (
    Accepted,
    Conflict,
    HistoryEntry,
    Invalid,
    PatchResult,
    entry_to_json,
)
from persimmonwell.core.config._model import (
    AcceleratorConfig,
    FleetConfig,
    ModelConfig,
    PlacementConfig,
    RankConfig,
    RetryConfig,
    ServiceConfig,
    UpstreamOverride,
    WorkspaceConfig,
    parse_config,
)
from persimmonwell.core.config._records import (
    LogRecord,
    RecentRecords,
    normalize_record,
)
from persimmonwell.core.config._snapshot import (
    CONFIG_SCHEMA,
    Snapshot,
    SnapshotFault,
    verify_snapshot,
)

__all__ = [
    "AcceleratorConfig",
    "Accepted",
    "CONFIG_SCHEMA",
    "ConfigFold",
    "Conflict",
    "Duplicate",
    "FleetConfig",
    "FoldResult",
    "Gap",
    "HistoryEntry",
    "Invalid",
    "LogRecord",
    "ModelConfig",
    "PatchResult",
    "PlacementConfig",
    "RankConfig",
    "RecentRecords",
    "RetryConfig",
    "ServiceConfig",
    "Snapshot",
    "SnapshotFault",
    "SnapshotRejected",
    "SnapshotAccepted",
    "UnknownSchema",
    "UpstreamOverride",
    "WorkspaceConfig",
    "document_digest",
    "entry_to_json",
    "merge_patch",
    "normalize_record",
    "parse_config",
    "verify_snapshot",
]
