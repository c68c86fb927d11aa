"""Messages that hosts send each other in datagrams, and their codec.

Every field is checked, since one bad datagram must leave nothing behind.
"""

import math
from typing import Annotated

import msgspec

from persimmonwell.core.forwarding import (
    MAX_SHARED_TOKENS,
    HeldLayers,
    LeavingNotice,
    ReadMark,
    RegistryChanges,
    RegistryRecord,
    Replica,
    StoreVersions,
    WorkspaceTokens,
)
from persimmonwell.core.retry import MAX_CRASHES, CauseEvidence

MAX_MARK_BYTES = 64
"""Longer datagrams are no marks."""
MAX_INTERVAL_S = 120.0
"""Longest interval between two reports to one peer: those to other availability zones,
at some 1,000 hosts."""

Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 48)]
Factor = Annotated[float, msgspec.Meta(ge=1.0, le=1000.0)]
Offset = Annotated[int, msgspec.Meta(ge=-1, le=1 << 62)]
Name = Annotated[str, msgspec.Meta(pattern=r"\A[\x20-\x7e]{1,256}\Z")]
_OCTET = "(25[0-5]|(2[0-4]|1[0-9]|[1-9])?[0-9])"
_PORT = "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5]?[0-9]{1,4})"
Address = Annotated[
    str, msgspec.Meta(pattern=rf"\A{_OCTET}(\.{_OCTET}){{3}}:(?!0){_PORT}\Z")
]
Age = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
"""Seconds since an event."""
Priority = Annotated[int, msgspec.Meta(ge=-(1 << 31), le=1 << 31)]
Workspace = Annotated[str, msgspec.Meta(pattern=r"\A[\x20-\x7e]{0,128}\Z")]
"""Name of a tenant, empty for the requests without one."""
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_SHARED_TOKENS)]
Interval = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_INTERVAL_S)]


class Load(msgspec.Struct, array_like=True):
    """Load that one host causes at a replica."""

    replica_id: str
    requests: Count
    layer_tokens: Count


class Entry(msgspec.Struct, array_like=True):
    """Registry entry of a replica, without its id."""

    service: Name
    address: Address
    availability_zone: Name
    slots: Count
    is_draining: bool
    started_at_ms: Count
    accelerator: Annotated[str, msgspec.Meta(max_length=256)]
    layers: tuple[Count, Count] | None
    is_busy: bool
    heartbeat: Count | None = None
    """Absent from earlier builds."""


class Change(msgspec.Struct, array_like=True):
    """Record of the registry that changed an entry; None removed it."""

    replica_id: Name
    offset: Count
    entry: Entry | None


class Changes(msgspec.Struct, array_like=True):
    """Changes of the registry that a reader relays; see RegistryChanges."""

    after_offset: Offset
    end_offset: Offset
    changes: list[Change]
    era: Count = 0
    """Absent from earlier builds."""
    skipped: tuple[Count, Count] = (0, 0)
    """Absent from earlier builds."""


class SuspectPart(msgspec.Struct, array_like=True):
    """Evidence about a prompt part as earlier builds send it."""

    part_id: Name
    depth: Count
    answers: Count
    answer_age_s: Age | None
    crash_ages_s: list[tuple[Count, Age]]


class SuspectCause(msgspec.Struct, array_like=True):
    """Evidence about a cause of crashes; see CauseEvidence."""

    cause_id: Name
    depth: Count
    answers: Count
    answer_age_ms: Count | None
    crash_ages_ms: list[tuple[Count, Count]]
    late: Annotated[int, msgspec.Meta(ge=0, lt=1 << MAX_CRASHES)]
    """Bits of the positions of late crashes."""
    separate: Annotated[int, msgspec.Meta(ge=0, lt=1 << MAX_CRASHES)]
    """The same of crashes that are no joint ones, however soon they followed."""
    is_quarantined: bool


class Leaving(msgspec.Struct, array_like=True):
    """Statement of a replica that it leaves; see LeavingNotice."""

    replica_id: Name
    started_at_ms: Count
    age_s: Age


class Usage(msgspec.Struct, array_like=True):
    """Tokens that a host gave a workspace lately; see WorkspaceTokens."""

    service: Name
    priorities: tuple[Priority, Priority]
    workspace: Workspace
    tokens: Tokens
    age_s: Age


class Memory(msgspec.Struct, array_like=True):
    """KV memory in use at a replica that was probed lately; see MemoryReport."""

    replica_id: str
    layer_tokens: Count
    age_s: Age


class Report(msgspec.Struct, array_like=True):
    """State of a host; each report replaces the previous one of its sender."""

    host_id: str
    availability_zone: str
    loads: list[Load]
    peers: list[str]
    lost: list[str]
    """Replicas that did not answer the sender's probe."""
    reads_store: bool
    holds_duty: bool
    slow: dict[str, Factor]
    interval_s: Interval
    """Time until the sender's next report to the same host."""
    is_reader: bool
    config_version: int
    registry_offset: int
    blames: list[tuple[str, str]]
    """Not read; earlier builds send digests of requests that crashed replicas."""
    refused: list[str]
    """Digests of requests that the sender refused and that callers may retry."""
    registry_changes: Changes | None = None
    """Absent from hosts that do not read the store, and from earlier builds."""
    suspect_parts: list[SuspectPart] = []
    """Not read; earlier builds send evidence without requests and late crashes."""
    registry_era: Count = 0
    """Absent from earlier builds."""
    leaving: list[Leaving] = []
    """Absent from earlier builds."""
    usage: list[Usage] = []
    """Absent from earlier builds."""
    memory: list[Memory] = []
    """Absent from earlier builds."""
    causes: list[SuspectCause] = []
    """Absent from earlier builds."""
    quarantine_mark: Count | None = None
    """Mark of the causes of crashes that the sender refuses; absent from earlier
    builds."""


class Mark(msgspec.Struct, array_like=True, tag="mark"):
    """Word of a reader that it has read the store; see ReadMark.

    Earlier builds ignore it, since it is no valid report.
    """

    config_version: Count
    registry_offset: Offset
    registry_era: Count
    reads_config: bool
    age_s: Age


def encode_mark(mark: ReadMark) -> bytes:
    """Return the datagram with a mark."""
    versions = mark.store_versions
    return msgspec.msgpack.encode(
        Mark(
            versions.config_version,
            versions.registry_offset,
            versions.registry_era,
            mark.reads_config,
            mark.age_s,
        )
    )


def decode_mark(data: bytes) -> ReadMark | None:
    """Return the mark in a datagram, None if it holds something else."""
    if len(data) > MAX_MARK_BYTES:
        return None
    try:
        mark = msgspec.msgpack.decode(data, type=Mark)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    versions = StoreVersions(
        mark.config_version, mark.registry_offset, mark.registry_era
    )
    return ReadMark(versions, mark.reads_config, mark.age_s)


def encode_evidence(evidence: CauseEvidence) -> SuspectCause:
    """Return the message for the evidence about a cause of crashes.

    Rounding makes a crash later and an answer earlier, since hosts keep the earliest
    report of a crash and the latest one of an answer, and would otherwise pass on ever
    new times.
    """
    answer_age_s = evidence.answer_age_s
    return SuspectCause(
        evidence.cause_id,
        evidence.depth,
        evidence.answers,
        None if answer_age_s is None else math.ceil(answer_age_s * 1000),
        [(number, int(age_s * 1000)) for number, age_s in evidence.crash_ages_s],
        _encode_positions(evidence.late),
        _encode_positions(evidence.separate),
        evidence.is_quarantined,
    )


def decode_evidence(cause: SuspectCause) -> CauseEvidence:
    """Return the evidence in a message."""
    answer_age_ms = cause.answer_age_ms
    return CauseEvidence(
        cause_id=cause.cause_id,
        depth=cause.depth,
        answers=cause.answers,
        answer_age_s=None if answer_age_ms is None else answer_age_ms / 1000,
        crash_ages_s=tuple(
            (number, age_ms / 1000)
            for number, age_ms in cause.crash_ages_ms[:MAX_CRASHES]
        ),
        late=_decode_positions(cause.late),
        separate=_decode_positions(cause.separate),
        is_quarantined=cause.is_quarantined,
    )


def _encode_positions(positions: frozenset[int]) -> int:
    return sum(1 << position for position in positions)


def _decode_positions(bits: int) -> frozenset[int]:
    return frozenset(at for at in range(MAX_CRASHES) if bits >> at & 1)


def encode_notice(notice: LeavingNotice) -> Leaving:
    """Return the message for the statement of a leaving replica."""
    return Leaving(*notice.incarnation, notice.age_s)


def decode_notice(message: Leaving) -> LeavingNotice:
    """Return the statement in a message."""
    return LeavingNotice((message.replica_id, message.started_at_ms), message.age_s)


def encode_usage(row: WorkspaceTokens) -> Usage | None:
    """Return the message for a workspace's tokens.

    Returns None where a name or priority of the configuration exceeds the bounds of
    the field, since a receiver would drop the whole datagram.
    """
    tokens = min(round(row.tokens), MAX_SHARED_TOKENS)
    try:
        return msgspec.convert(
            [row.service, row.priority_class, row.workspace, tokens, row.age_s], Usage
        )
    except msgspec.ValidationError:
        return None


def decode_usage(message: Usage) -> WorkspaceTokens:
    """Return the tokens of a workspace in a message."""
    return WorkspaceTokens(
        service=message.service,
        priority_class=message.priorities,
        workspace=message.workspace,
        tokens=message.tokens,
        age_s=message.age_s,
    )


def encode_changes(changes: RegistryChanges | None) -> Changes | None:
    """Return the message for changes, None for none."""
    if changes is None:
        return None
    rows = [
        Change(record.replica_id, record.offset, _encode_entry(record.replica))
        for record in changes.records
    ]
    return Changes(
        changes.after_offset, changes.end_offset, rows, changes.era, changes.skipped
    )


def _encode_entry(replica: Replica | None) -> Entry | None:
    if replica is None:
        return None
    layers = replica.layers
    return Entry(
        service=replica.service,
        address=replica.address,
        availability_zone=replica.availability_zone,
        slots=replica.slots,
        is_draining=replica.is_draining,
        started_at_ms=replica.started_at_ms,
        accelerator=replica.accelerator,
        layers=(layers.start, layers.stop) if layers is not None else None,
        is_busy=replica.is_busy,
        heartbeat=replica.heartbeat,
    )


def decode_changes(changes: Changes | None) -> RegistryChanges | None:
    """Return the changes in a message, None for none."""
    if changes is None:
        return None
    records = tuple(
        RegistryRecord(row.replica_id, row.offset, _decode_entry(row))
        for row in changes.changes
    )
    return RegistryChanges(
        changes.after_offset,
        changes.end_offset,
        records,
        changes.era,
        changes.skipped,
    )


def _decode_entry(row: Change) -> Replica | None:
    entry = row.entry
    if entry is None:
        return None
    return Replica(
        replica_id=row.replica_id,
        service=entry.service,
        address=entry.address,
        availability_zone=entry.availability_zone,
        slots=entry.slots,
        is_draining=entry.is_draining,
        started_at_ms=entry.started_at_ms,
        accelerator=entry.accelerator,
        layers=HeldLayers(*entry.layers) if entry.layers is not None else None,
        is_busy=entry.is_busy,
        heartbeat=entry.heartbeat,
    )
