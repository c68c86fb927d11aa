"""Events that drive the control state of one host."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core._fleet import HostList
from persimmonwell.core.config import LogRecord
from persimmonwell.core.membership import PeerMessage
from persimmonwell.core.router import InflightCount


@attrs.frozen
class HostListRead:
    """The platform's host list was read."""

    hosts: HostList


@attrs.frozen
class RecordsRead:
    """Records were read from a log stream."""

    stream: str
    first_offset: int
    """Lowest offset that retention has not removed."""
    next_offset: int
    """Offset that the next append to the stream will get."""
    records: tuple[LogRecord, ...]


@attrs.frozen
class PlatformFailed:
    """A call to the platform failed."""

    service: str
    """Name of the stream, or host-list."""


@attrs.frozen
class PatchSubmitted:
    """An operator submitted a configuration patch."""

    patch_id: str
    base_version: int
    merge: JsonObject
    author: str


@attrs.frozen
class AppendConfirmed:
    """The log confirmed an append, with the offsets of the records."""

    append_id: int
    offsets: tuple[int, ...]


@attrs.frozen
class AppendUncertain:
    """An append got no response; it may or may not have taken effect."""

    append_id: int


@attrs.frozen
class PeerMessageReceived:
    """A message arrived from another entry host."""

    message: PeerMessage


@attrs.frozen
class UpstreamOutcomeObserved:
    """The data path saw a success or failure of an upstream or service replica."""

    upstream_id: str
    succeeded: bool


@attrs.frozen
class InflightObserved:
    """This host's in-flight requests by upstream, and its load, were measured."""

    counts: tuple[InflightCount, ...]
    load: int
    """Requests queued or running on this host."""


@attrs.frozen
class BlameAnnounced:
    """This host's router blamed a digest for a lost upstream."""

    digest: str
    upstream_id: str


@attrs.frozen
class QuarantineClearRequested:
    """An operator cleared a digest."""

    digest: str


@attrs.frozen
class ControlTick:
    """The periodic tick that runs time-driven work."""


ControlEvent = (
    HostListRead
    | RecordsRead
    | PlatformFailed
    | PatchSubmitted
    | AppendConfirmed
    | AppendUncertain
    | PeerMessageReceived
    | UpstreamOutcomeObserved
    | InflightObserved
    | BlameAnnounced
    | QuarantineClearRequested
    | ControlTick
)
