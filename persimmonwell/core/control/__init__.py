"""Compose configuration, membership and gossip of one host."""

from persimmonwell.core.control._control import Control
from persimmonwell.core.control._decisions import (
    AppendRecords,
    ControlDecision,
    LearnBlame,
    LearnInflight,
    PatchSettled,
    PutConfigInForce,
    ReleaseDigest,
    ReportFault,
    SendToPeer,
    UpdateFleet,
)
from persimmonwell.core.control._events import (
    AppendConfirmed,
    AppendUncertain,
    BlameAnnounced,
    ControlEvent,
    ControlTick,
    HostListRead,
    InflightObserved,
    PatchSubmitted,
    PeerMessageReceived,
    PlatformFailed,
    QuarantineClearRequested,
    RecordsRead,
    UpstreamEvidence,
)
from persimmonwell.core.control._notices import QUARANTINE_STREAM
from persimmonwell.core.control._patches import CONFIG_STREAM

__all__ = [
    "AppendConfirmed",
    "AppendRecords",
    "AppendUncertain",
    "BlameAnnounced",
    "CONFIG_STREAM",
    "Control",
    "ControlDecision",
    "ControlEvent",
    "ControlTick",
    "HostListRead",
    "InflightObserved",
    "LearnBlame",
    "LearnInflight",
    "PatchSettled",
    "PatchSubmitted",
    "PeerMessageReceived",
    "PlatformFailed",
    "PutConfigInForce",
    "QUARANTINE_STREAM",
    "QuarantineClearRequested",
    "RecordsRead",
    "ReleaseDigest",
    "ReportFault",
    "SendToPeer",
    "UpdateFleet",
    "UpstreamEvidence",
]
