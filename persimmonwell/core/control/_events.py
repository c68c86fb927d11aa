"""Define the typed events that drive the control state of one host."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core._fleet import HostList
from persimmonwell.core.config import LogRecord
from persimmonwell.core.membership import PeerMessage
from persimmonwell.core.router import InflightCount


@attrs.frozen
class HostListRead:
    """Report a reading of the platform's host list."""

    hosts: HostList


@attrs.frozen
class RecordsRead:
    """Report records read from a log stream."""

    stream: str
    first_offset: int
    """Lowest offset that retention has kept."""
    next_offset: int
    """Offset that the next append to the stream will get."""
    records: tuple[LogRecord, ...]


@attrs.frozen
class PlatformFailed:
    """Report a platform call without an answer."""

    service: str
    """Stream name, or host-list."""


@attrs.frozen
class PatchSubmitted:
    """Report a configuration patch sent by an operator."""

    patch_id: str
    base_version: int
    merge: JsonObject
    author: str


@attrs.frozen
class AppendConfirmed:
    """Report the offsets given to appended records."""

    append_id: int
    offsets: tuple[int, ...]


@attrs.frozen
class AppendUncertain:
    """Report an append without an answer; it may have taken effect."""

    append_id: int


@attrs.frozen
class PeerMessageReceived:
    """Report a message from another entry host."""

    message: PeerMessage


@attrs.frozen
class UpstreamEvidence:
    """Report what the data path saw of one upstream or service replica."""

    upstream_id: str
    succeeded: bool


@attrs.frozen
class InflightObserved:
    """Report this host's in-flight requests by upstream and its load."""

    counts: tuple[InflightCount, ...]
    load: int
    """Requests queued or running on this host."""


@attrs.frozen
class BlameAnnounced:
    """Report that this host's router blamed a digest for a lost upstream."""

    digest: str
    upstream_id: str


@attrs.frozen
class QuarantineClearRequested:
    """Report that an operator clears a digest."""

    digest: str


@attrs.frozen
class ControlTick:
    """Let time-driven work run."""


ControlEvent = (
    HostListRead
    | RecordsRead
    | PlatformFailed
    | PatchSubmitted
    | AppendConfirmed
    | AppendUncertain
    | PeerMessageReceived
    | UpstreamEvidence
    | InflightObserved
    | BlameAnnounced
    | QuarantineClearRequested
    | ControlTick
)
