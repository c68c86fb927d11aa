"""Tests of the codec of messages between entry hosts."""

from typing import Any

import attrs
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core._types import LayerRange, ServiceReplica, Upstream
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
from persimmonwell.peers import MalformedFrameError, decode_message, encode_message

NAME = st.text(max_size=20)
COUNT = st.integers(0, 2**53)
DIGEST = st.binary(max_size=8)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | NAME,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAME, inner),
    max_leaves=8,
).filter(lambda value: "inf" not in repr(value))
OBJECT = st.dictionaries(NAME, JSON, max_size=4)
MARK = st.builds(
    LeavingMark, NAME, NAME, st.integers(0, 10**6).map(lambda ms: ms / 1000)
)
MESSAGES: st.SearchStrategy[PeerMessage] = st.one_of(
    st.builds(
        Heartbeat,
        host_id=NAME,
        incarnation=COUNT,
        sequence=COUNT,
        address=NAME,
        availability_zone=NAME,
        config_version=st.integers(-1, 2**53),
        config_offset=COUNT,
        config_digest=DIGEST,
        members_digest=DIGEST,
        load=COUNT,
        leaving=st.lists(MARK, max_size=4).map(tuple),
        inflight=st.lists(st.builds(InflightCount, NAME, COUNT), max_size=4).map(tuple),
        notices=st.lists(st.builds(QuarantineNotice, NAME, NAME, NAME)).map(tuple),
        wants_reply=st.booleans(),
        stamp=st.builds(HybridTimestamp, COUNT, COUNT),
    ),
    st.builds(ConfigRequest, NAME, COUNT),
    st.builds(
        ConfigRecords,
        NAME,
        COUNT,
        st.lists(st.builds(LogRecord, COUNT, OBJECT), max_size=4).map(tuple),
        snapshot=st.none() | OBJECT,
    ),
    st.builds(MembersRequest, NAME, st.booleans(), DIGEST),
    st.builds(
        MembersDelta,
        NAME,
        st.lists(MARK, max_size=3).map(tuple),
        st.lists(st.builds(HostVersion, NAME, COUNT, COUNT), max_size=3).map(tuple),
        st.just((Upstream("u", "10.0.0.1:1", "z", "m", LayerRange(0, 8)),)),
        st.just((ServiceReplica("r", "10.0.0.1:2", "z", "s", leaving=True),)),
        DIGEST,
    ),
)


@given(MESSAGES)
def test_every_message_round_trips(message: PeerMessage) -> None:
    """Guards against fields lost or reordered between two hosts."""
    assert decode_message(encode_message(message)) == message


@given(st.binary(max_size=60) | JSON.map(lambda v: msgspec.msgpack.encode(repr(v))))
def test_random_frames_are_rejected_as_malformed(frame: bytes) -> None:
    """Guards against random bytes that raise another exception."""
    with pytest.raises(MalformedFrameError):
        decode_message(frame)


HEARTBEAT = Heartbeat("h", 1, 1, "a", "z", 0, 0, b"", b"")
HEARTBEAT_FIELDS = msgspec.msgpack.decode(encode_message(HEARTBEAT))


def test_corrupted_frames_raise_only_malformed_frame_error() -> None:
    """Guards against corrupted frames that raise another exception."""
    frame = encode_message(HEARTBEAT)
    for position in range(len(frame)):
        for value in (0, 0x7F, 0x90, 0xC1, 0xDC, 0xFF):
            changed = frame[:position] + bytes([value]) + frame[position + 1 :]
            try:
                decode_message(changed)
            except MalformedFrameError:
                continue


def records_frame(data: bytes) -> Any:
    return [3, "h", 1, [[0, data]], None]


@pytest.mark.parametrize(
    "fields",
    [
        [9, *HEARTBEAT_FIELDS[1:]],
        HEARTBEAT_FIELDS[:-1],
        [*HEARTBEAT_FIELDS, 1],
        [1, "h" * 1000, *HEARTBEAT_FIELDS[2:]],
        [1, "h", -1, *HEARTBEAT_FIELDS[3:]],
        [1, "h", 2**60, *HEARTBEAT_FIELDS[3:]],
        [2, "h", "0"],
        [2, "h", None],
        records_frame(b"[]"),
        records_frame(b"{"),
        records_frame(b'{"a": NaN}'),
        records_frame(b"[" * 100_000),
        [4, "h", 1, b""],
        [5, "h", [["u", "", -1.0]], [], [], [], b""],
        {"type": 1},
        None,
    ],
)
def test_invalid_fields_are_rejected(fields: Any) -> None:
    """Guards against invalid or out-of-range values that reach the control state."""
    with pytest.raises(MalformedFrameError):
        decode_message(msgspec.msgpack.encode(fields))


def test_heartbeat_size_is_bounded() -> None:
    """Guards against a heartbeat too large for the budget of 2 KB/s per host."""
    heartbeat = attrs.evolve(
        HEARTBEAT,
        host_id="host-0340",
        incarnation=1_796_000_000_000,
        sequence=10**6,
        address="10.100.100.100:7003",
        availability_zone="region-1-zone-1",
        config_version=10**6,
        config_offset=2 * 10**6,
        config_digest=bytes(8),
        members_digest=bytes(8),
        inflight=tuple(InflightCount(f"engine-{n:04}", 99) for n in range(5)),
    )
    assert len(encode_message(heartbeat)) <= 190
