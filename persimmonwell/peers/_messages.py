"""MessagePack codec of the messages between entry hosts."""

import json
from typing import Annotated, Any, NoReturn

import attrs
import msgspec
from msgspec import Meta

from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import (
    LayerRange,
    ServiceReplica,
    Upstream,
    UpstreamRole,
)
from persimmonwell.core.config import LogRecord
from persimmonwell.core.membership import (
    ConfigRecords,
    ConfigRequest,
    Heartbeat,
    HostVersion,
    LeavingMark,
    MembersDelta,
    MembersRequest,
    PeerMessage,
    QuarantineNotice,
)
from persimmonwell.core.router import InflightCount
from persimmonwell.core.timeline import HybridTimestamp

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Above the size of a large configuration snapshot or a list of 1,300 upstreams."""

_Name = Annotated[str, Meta(max_length=128)]
_Text = Annotated[str, Meta(max_length=256)]
_Count = Annotated[int, Meta(ge=0, le=2**53)]
_Version = Annotated[int, Meta(ge=-1, le=2**53)]
_Seconds = Annotated[float, Meta(ge=0.0, le=1e9)]
_Digest = Annotated[bytes, Meta(max_length=32)]


class _HeartbeatFrame(
    msgspec.Struct, frozen=True, array_like=True, tag=1, forbid_unknown_fields=True
):
    host_id: _Name
    incarnation: _Count
    sequence: _Count
    address: _Text
    availability_zone: _Name
    config_version: _Version
    config_offset: _Count
    config_digest: _Digest
    members_digest: _Digest
    load: _Count
    leaving: Annotated[
        list[tuple[_Name, _Name, Annotated[int, Meta(ge=0, le=10**9)]]],
        Meta(max_length=64),
    ]
    inflight: Annotated[list[tuple[_Name, _Count]], Meta(max_length=64)]
    notices: Annotated[list[tuple[_Name, _Name, _Name]], Meta(max_length=64)]
    wants_reply: bool
    stamp: tuple[_Count, _Count]


class _ConfigRequestFrame(
    msgspec.Struct, frozen=True, array_like=True, tag=2, forbid_unknown_fields=True
):
    host_id: _Name
    from_offset: _Count


class _ConfigRecordsFrame(
    msgspec.Struct, frozen=True, array_like=True, tag=3, forbid_unknown_fields=True
):
    host_id: _Name
    next_offset: _Count
    records: Annotated[list[tuple[_Count, bytes]], Meta(max_length=1024)]
    snapshot: bytes | None


class _MembersRequestFrame(
    msgspec.Struct, frozen=True, array_like=True, tag=4, forbid_unknown_fields=True
):
    host_id: _Name
    wants_upstreams: bool
    upstreams_digest: _Digest


class _UpstreamFrame(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
    upstream_id: _Name
    address: _Text
    availability_zone: _Name
    model: _Name
    start: _Count
    stop: _Count
    accelerator: _Name
    role: UpstreamRole
    slots: Annotated[int, Meta(ge=1, le=10**9)]
    tokens_per_s: Annotated[float, Meta(gt=0.0, le=1e15)]
    version: _Name
    incarnation: _Name
    leaving: bool


class _ReplicaFrame(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
    replica_id: _Name
    address: _Text
    availability_zone: _Name
    service: _Name
    incarnation: _Name
    leaving: bool


class _MembersDeltaFrame(
    msgspec.Struct, frozen=True, array_like=True, tag=5, forbid_unknown_fields=True
):
    host_id: _Name
    leaving: Annotated[list[tuple[_Name, _Name, _Seconds]], Meta(max_length=1024)]
    versions: Annotated[list[tuple[_Name, _Count, _Version]], Meta(max_length=10_000)]
    upstreams: Annotated[list[_UpstreamFrame], Meta(max_length=20_000)]
    replicas: Annotated[list[_ReplicaFrame], Meta(max_length=20_000)]
    upstreams_digest: _Digest


_Frame = (
    _HeartbeatFrame
    | _ConfigRequestFrame
    | _ConfigRecordsFrame
    | _MembersRequestFrame
    | _MembersDeltaFrame
)
_decoder: msgspec.msgpack.Decoder[_Frame] = msgspec.msgpack.Decoder(_Frame)
_encoder = msgspec.msgpack.Encoder()


class MalformedFrameError(Exception):
    """Raised when a frame is not a valid message."""


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message as one frame."""
    return _encoder.encode(_to_frame(message))


def decode_message(frame: bytes) -> PeerMessage:
    """Decode a frame; raise MalformedFrameError if it is not a valid message."""
    try:
        return _from_frame(_decoder.decode(frame))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedFrameError(type(error).__name__) from error


def _to_frame(message: PeerMessage) -> _Frame:
    match message:
        case Heartbeat():
            return _heartbeat_to_frame(message)
        case ConfigRequest(host_id, from_offset):
            return _ConfigRequestFrame(host_id, from_offset)
        case ConfigRecords(host_id, next_offset, records, snapshot):
            return _ConfigRecordsFrame(
                host_id,
                next_offset,
                [(record.offset, _encode_json(record.data)) for record in records],
                None if snapshot is None else _encode_json(snapshot),
            )
        case MembersRequest(host_id, wants_upstreams, digest):
            return _MembersRequestFrame(host_id, wants_upstreams, digest)
        case MembersDelta():
            return _delta_to_frame(message)


def _from_frame(frame: _Frame) -> PeerMessage:
    match frame:
        case _HeartbeatFrame():
            return _heartbeat_from_frame(frame)
        case _ConfigRequestFrame():
            return ConfigRequest(frame.host_id, frame.from_offset)
        case _ConfigRecordsFrame():
            return ConfigRecords(
                frame.host_id,
                frame.next_offset,
                tuple(
                    LogRecord(offset, _decode_json_object(data))
                    for offset, data in frame.records
                ),
                snapshot=None
                if frame.snapshot is None
                else _decode_json_object(frame.snapshot),
            )
        case _MembersRequestFrame():
            return MembersRequest(
                frame.host_id, frame.wants_upstreams, frame.upstreams_digest
            )
        case _MembersDeltaFrame():
            return _delta_from_frame(frame)


def _heartbeat_to_frame(heartbeat: Heartbeat) -> _HeartbeatFrame:
    fields = attrs.asdict(heartbeat, recurse=False)
    fields["leaving"] = [
        (mark.upstream_id, mark.incarnation, int(mark.age_s * 1000))
        for mark in heartbeat.leaving
    ]
    fields["stamp"] = attrs.astuple(heartbeat.stamp)
    fields["inflight"] = [attrs.astuple(count) for count in heartbeat.inflight]
    fields["notices"] = [attrs.astuple(notice) for notice in heartbeat.notices]
    return _HeartbeatFrame(**fields)


def _heartbeat_from_frame(frame: _HeartbeatFrame) -> Heartbeat:
    fields = _field_values(frame)
    fields["leaving"] = tuple(
        LeavingMark(name, incarnation, age_ms / 1000)
        for name, incarnation, age_ms in frame.leaving
    )
    fields["stamp"] = HybridTimestamp(*frame.stamp)
    fields["inflight"] = tuple(InflightCount(*count) for count in frame.inflight)
    fields["notices"] = tuple(QuarantineNotice(*notice) for notice in frame.notices)
    return Heartbeat(**fields)


def _delta_to_frame(delta: MembersDelta) -> _MembersDeltaFrame:
    return _MembersDeltaFrame(
        host_id=delta.host_id,
        leaving=[attrs.astuple(mark) for mark in delta.leaving],
        versions=[attrs.astuple(version) for version in delta.versions],
        upstreams=[_upstream_to_frame(upstream) for upstream in delta.upstreams],
        replicas=[_ReplicaFrame(**attrs.asdict(replica)) for replica in delta.replicas],
        upstreams_digest=delta.upstreams_digest,
    )


def _delta_from_frame(frame: _MembersDeltaFrame) -> MembersDelta:
    return MembersDelta(
        host_id=frame.host_id,
        leaving=tuple(LeavingMark(*mark) for mark in frame.leaving),
        versions=tuple(HostVersion(*version) for version in frame.versions),
        upstreams=tuple(_upstream_from_frame(upstream) for upstream in frame.upstreams),
        replicas=tuple(ServiceReplica(**_field_values(r)) for r in frame.replicas),
        upstreams_digest=frame.upstreams_digest,
    )


def _upstream_to_frame(upstream: Upstream) -> _UpstreamFrame:
    fields = attrs.asdict(upstream, recurse=False)
    # Each host derives from its configuration whether fencing tokens are checked.
    del fields["checks_fencing"]
    layers = fields.pop("layers")
    return _UpstreamFrame(start=layers.start, stop=layers.stop, **fields)


def _upstream_from_frame(frame: _UpstreamFrame) -> Upstream:
    fields = _field_values(frame)
    layers = LayerRange(fields.pop("start"), fields.pop("stop"))
    return Upstream(layers=layers, **fields)


def _field_values(frame: msgspec.Struct) -> dict[str, Any]:
    return {name: getattr(frame, name) for name in frame.__struct_fields__}


def _encode_json(data: JsonObject) -> bytes:
    return json.dumps(data, separators=(",", ":")).encode()


def _decode_json_object(data: bytes) -> JsonObject:
    value = json.loads(data, parse_constant=_reject_constant)
    if not isinstance(value, dict):
        raise ValueError("config record is not a JSON object")
    return value


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not valid JSON")
