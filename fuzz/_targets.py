"""Targets of the fuzzer: decoders of foreign bytes, and what has to hold for each."""

import json
import math
from collections.abc import Callable
from contextlib import suppress

import attrs
import msgspec

from persimmonwell._exceptions import (
    BadRequestError,
    DocumentError,
    PlatformUnavailableError,
)
from persimmonwell.core.forwarding import (
    GenerationSize,
    LoadTable,
    Replica,
    StreamPosition,
    find_path,
    plan_placement,
)
from persimmonwell.core.forwarding._routes import RouteTable
from persimmonwell.gateway._event_stream import EventStreamParser
from persimmonwell.gateway._peer_datagrams import LocalState, PeerDatagrams, PeerReport
from persimmonwell.gateway._peer_messages import Report as PeerMessage
from persimmonwell.gateway._state_handover import decode_state, encode_state
from persimmonwell.platform import (
    decode_answer_head,
    decode_config,
    decode_replica,
    decode_report,
    decode_request,
    decode_stalled_stages,
    parse_node_file,
)
from persimmonwell.platform._store_client import _parse_slice
from standins.platform_config import config, node_file

EVENT_COUNT = 12
MAX_TIMEOUT_S = 1e12


@attrs.frozen
class Target:
    """Decoder under test with its sound samples.

    check raises for an input on which the decoder does not hold what it promises.
    """

    name: str
    samples: tuple[bytes, ...]
    check: Callable[[bytes], None]
    single_byte: bool = False
    """Whether check holds for changes of one byte alone."""


def _headers(data: bytes) -> tuple[tuple[bytes, bytes], ...]:
    lines = (line.partition(b":") for line in data.split(b"\r\n"))
    return tuple((name.strip().lower(), value.strip()) for name, _, value in lines)


def _check_request(data: bytes) -> None:
    with suppress(BadRequestError):
        request = decode_request("POST", "/x", _headers(data), host="h", body=b"")
        if request.timeout_s is not None:
            assert 0 <= request.timeout_s < MAX_TIMEOUT_S
        if request.size is not None:
            assert math.isfinite(request.size.expected_tokens(200.0))


def _check_answer(data: bytes) -> None:
    for status in (200, 503):
        head = decode_answer_head(status, _headers(data))
        numbers = (head.keep_alive_s, head.rate_limit_per_s)
        assert all(number is None or number >= 0 for number in numbers)


def _check_report(data: bytes) -> None:
    report = decode_report(data)
    if report is not None:
        assert report.kv_used >= 0 and 1.0 <= report.slowness <= 1000.0
    decode_stalled_stages(data)


def _check_entry(data: bytes) -> None:
    with suppress(DocumentError):
        replica = decode_replica("i-1", data)
        _check_address(replica.address)
        msgspec.msgpack.encode((replica.started_at_ms, replica.slots))


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    assert 0 < int(port) < 65_536
    assert [0 <= int(octet) <= 255 for octet in host.split(".")] == [True] * 4


def _check_config(data: bytes) -> None:
    with suppress(DocumentError):
        decoded = decode_config(data)
        RouteTable(decoded)
        for service in decoded.services:
            engine = service.engine
            if engine is None or not 0 < engine.layers <= 200:
                continue
            replicas = [
                Replica(f"r{n}", service.name, f"10.0.0.{n}:1", "z", 8, accelerator=k)
                for n, (k, _) in enumerate(engine.accelerators[:3], start=1)
            ]
            targets = {o.replica_id: o.layers for o in plan_placement(replicas, engine)}
            held = [
                attrs.evolve(each, layers=targets.get(each.replica_id))
                for each in replicas
            ]
            size = GenerationSize(800, 170)
            find_path(held, engine, size, loads=LoadTable(), now_s=0.0)


def _check_node_file(data: bytes) -> None:
    with suppress(DocumentError):
        settings = parse_node_file(data.decode("utf-8", "replace"))
        assert 0 < settings.callers.port < 65_536
        assert math.isfinite(settings.grace_s) and settings.retry_ratio >= 0


def _check_store_answer(data: bytes) -> None:
    with suppress(PlatformUnavailableError):
        for record in _parse_slice(data, 7, keyed=True).records:
            assert record.offset >= 7


def _check_state(data: bytes) -> None:
    with suppress(msgspec.MsgspecError, DocumentError, ValueError, RecursionError):
        decode_state(data)


def _no_state() -> LocalState:
    raise AssertionError("nothing is sent")


def _check_datagram(data: bytes) -> None:
    reports: list[PeerReport] = []
    datagrams = PeerDatagrams(
        host_id="h1",
        availability_zone="z",
        local_address=("10.0.0.1", 1),
        seeds=frozenset(),
        local_state=_no_state,
        on_report=reports.append,
        clock=lambda: 0.0,
    )
    datagrams.datagram_received(data, ("10.0.0.2", 1))
    for report in reports:
        assert math.isfinite(report.valid_s) and report.valid_s >= 0
        changes = report.registry_changes
        for record in changes.records if changes is not None else ():
            if record.replica is not None:
                _check_address(record.replica.address)


def _event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def _check_stream(data: bytes) -> None:
    """Play an attempt with the input, and a sound one that resumes after it."""
    position = StreamPosition()
    parser = EventStreamParser(position)
    forwarded = b""
    for piece in (data[: len(data) // 2], data[len(data) // 2 :]):
        events = parser.feed(piece)
        forwarded += events.data
        if not events.is_in_order:
            break
    parser.begin_attempt()
    first = (position.last_id or 0) + 1
    rest = b"".join(_event(number) for number in range(first, EVENT_COUNT + 1))
    events = parser.feed(rest)
    assert events.is_in_order
    forwarded += events.data
    ids = [
        int(line[3:])
        for line in forwarded.replace(b"\r", b"\n").split(b"\n")
        if line.startswith(b"id:")
    ]
    assert ids == list(range(1, len(ids) + 1)), forwarded
    assert len(ids) >= EVENT_COUNT


_STREAM = b"".join(_event(number) for number in range(1, EVENT_COUNT + 1))
_REQUEST = (
    b"Request-Id: 9c41\r\nDeadline-Remaining: 20000\r\nToken-Count: 1460,80\r\n"
    b"Length-Hint: 93.5\r\nLast-Event-Id: 12\r\nPrompt-Prefix: 5c1e:800,91bd:410"
)
_ANSWER = (
    b"Request-Id: 9c41\r\nResponse-Seal: s\r\nKeep-Alive: timeout=10, max=3\r\n"
    b"Retry-After: 1.5\r\nServer-Limit: 3.9\r\nServer-Leaving: 1\r\n"
    b"At-Server: 10.2.64.3:8080"
)
_ENTRY = json.dumps(
    {
        "service": "desk",
        "address": "10.2.64.3:8080",
        "zone": "za",
        "slots": 6,
        "state": "ready",
        "sequence": 4,
        "born": 1_796_500_000_000,
        "kind": "l4",
        "layers": [{"from": 0, "to": 20, "version": 1}],
    }
).encode()
_REPORT = json.dumps(
    {"sequence": 2, "kv_used": 41000, "kv_total": 90000, "pace": 1.2, "busy": False}
    | {"stalled": [{"id": "9c41", "address": "10.2.64.3:8080"}]}
).encode()
_PORTS = {"front": 8227, "ready": 8220, "peers": 7340}
_CONFIG = json.dumps(config(3)).encode()
_DATAGRAM = msgspec.msgpack.encode(
    msgspec.convert(
        [
            *("h2", "z", [["i-1", 2, 900]], ["10.1.0.2"], ["i-9"], True, False),
            *({"i-7": 4.0}, 0.25, True, 4, 88, [["d1", "i-3"]], ["d2"]),
            [
                80,
                91,
                [
                    [
                        "i-1",
                        85,
                        ["desk", "10.2.0.1:80", "z", 8, False, 5, "l4"]
                        + [[0, 4], False],
                    ],
                    ["i-2", 90, None],
                ],
                2,
            ],
            [["p-1", 1, 0, None, [[7, 0.5]]]],
            2,
            [["i-4", 5, 0.5]],
        ],
        PeerMessage,
    )
)
_STORE_ANSWER = (
    (9).to_bytes(8, "big")
    + (0).to_bytes(8, "big")
    + b"".join(
        len(content).to_bytes(4, "big") + content
        for content in (b"\x03i-1" + _ENTRY, b"\x03i-2")
    )
)

TARGETS = (
    Target("request", (_REQUEST,), _check_request),
    Target("answer", (_ANSWER,), _check_answer),
    Target("report", (_REPORT,), _check_report),
    Target("registry", (_ENTRY,), _check_entry),
    Target("configuration", (_CONFIG,), _check_config),
    Target(
        "settings",
        (node_file(ip="10.1.0.1", ports=_PORTS, store="10.9.0.1:1").encode(),),
        _check_node_file,
    ),
    Target("store", (_STORE_ANSWER,), _check_store_answer),
    Target("handover", (encode_state(_CONFIG, None),), _check_state),
    Target("datagram", (_DATAGRAM,), _check_datagram),
    Target("stream", (_STREAM,), _check_stream, single_byte=True),
)
