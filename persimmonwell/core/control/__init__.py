"""Control state of one host: configuration, membership and gossip."""

from persimmonwell.core.control._control import ControlState
from persimmonwell.core.control._decisions import (
    AppendRecords,
    ApplyPeerBlame,
    ControlDecision,
    PatchCompleted,
    PutConfigInForce,
    ReleaseDigest,
    ReportFault,
    SendToPeer,
    UpdateFleet,
    UpdatePeerInflight,
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
    UpstreamOutcomeObserved,
)
from persimmonwell.core.control._notices import QUARANTINE_STREAM
from persimmonwell.core.control._patches import CONFIG_STREAM

__all__ = [
    "AppendConfirmed",
    "AppendRecords",
    "AppendUncertain",
    "ApplyPeerBlame",
    "BlameAnnounced",
    "CONFIG_STREAM",
    "ControlDecision",
    "ControlEvent",
    "ControlState",
    "ControlTick",
    "HostListRead",
    "InflightObserved",
    "PatchCompleted",
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
    "UpdatePeerInflight",
    "UpstreamOutcomeObserved",
]
