"""Drive configuration, membership, claims and leases event by event."""

from persimmonwell.core.control._control import CONFIG_STREAM, Control
from persimmonwell.core.control._decisions import (
    AppendRecords,
    ControlDecision,
    PatchSettled,
    PutConfigInForce,
    UpdateFleet,
)
from persimmonwell.core.control._events import (
    AppendConfirmed,
    AppendUncertain,
    ControlEvent,
    ControlTick,
    HostListRead,
    PatchSubmitted,
    PlatformFailed,
    RecordsRead,
)

__all__ = [
    "AppendConfirmed",
    "AppendRecords",
    "AppendUncertain",
    "CONFIG_STREAM",
    "Control",
    "ControlDecision",
    "ControlEvent",
    "ControlTick",
    "HostListRead",
    "PatchSettled",
    "PatchSubmitted",
    "PlatformFailed",
    "PutConfigInForce",
    "RecordsRead",
    "UpdateFleet",
]
