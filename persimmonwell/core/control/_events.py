"""Define the typed events that drive the control state of one host."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core._fleet import HostList
from persimmonwell.core.config import LogRecord


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
class ControlTick:
    """Let time-driven work run."""


ControlEvent = (
    HostListRead
    | RecordsRead
    | PlatformFailed
    | PatchSubmitted
    | AppendConfirmed
    | AppendUncertain
    | ControlTick
)
