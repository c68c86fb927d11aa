"""Tests of upstream connections against a replica in trouble, over real sockets."""

import asyncio
import socket
import time
from collections.abc import Iterator
from unittest.mock import Mock

import pytest

from persimmonwell.gateway._connection_pool import ConnectionPool
from persimmonwell.gateway._gateway import _match_answer
from persimmonwell.gateway._http_connection import (
    AnswerMatch,
    RawHeaders,
    UpstreamConnection,
)
from standins.platform_config import API_KEY, HOST, config
from standins.replica import FLOODS, PlatformReplica
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed

MAX_FLOOD_BYTES = 16 * 1024 * 1024
"""More than both socket buffers hold, and far less than a flood sends in a second."""
STREAM_FLOODS = ("event", "comments")


def request_to(path: str) -> bytes:
    """Return a request whose answer its caller reads later."""
    head = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {API_KEY}\r\n"
    return head.encode() + b"Request-Id: r\r\nDeadline-Remaining: 5000\r\n\r\n"


@pytest.fixture
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host with one desk replica and one model replica."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    testbed.add_replica("desk-1", "desk")
    testbed.add_replica("model-1", "model")
    testbed.start()
    yield testbed
    testbed.close()


@pytest.mark.parametrize("flood", FLOODS)
def test_bytes_without_end_are_cut_off(testbed: GatewayTestbed, flood: str) -> None:
    """Guards against memory and time spent on bytes that are no answer."""
    name, path = ("desk-1", "/book/x")
    if flood in STREAM_FLOODS:
        name, path = ("model-1", "/fixed/x")
    replica = testbed.replicas[name]
    replica.faults["flood"] = flood
    start_s = time.monotonic()
    status, headers, _ = testbed.send(path)
    # The replica began to answer, so the request may have run.
    assert status == 502 and "response-seal" not in headers
    assert time.monotonic() - start_s < 2.0
    wait_until(lambda: not replica.is_flooding, timeout_s=1.0)
    assert replica.flooded_bytes < MAX_FLOOD_BYTES
    replica.faults.clear()
    assert testbed.send(path)[0] == 200


def test_report_without_end_is_cut_off(testbed: GatewayTestbed) -> None:
    """Guards against a report that exhausts the memory of a host."""
    replica = testbed.replicas["model-1"]
    replica.faults.update(stall_at=2, report_flood=True)
    status, _, _ = testbed.send("/fixed/x")
    assert status == 200
    wait_until(lambda: not replica.is_flooding, timeout_s=1.0)
    assert 0 < replica.flooded_bytes < MAX_FLOOD_BYTES


def test_body_without_end_waits_for_its_caller(testbed: GatewayTestbed) -> None:
    """Guards against a host that keeps the bytes of a body that is read late.

    Other operators saw a host run out of memory, which ended all requests on it.
    """
    replica = testbed.replicas["desk-1"]
    testbed.add_replica("desk-2", "desk")
    replica.faults["flood"] = "body"
    address = ("127.0.0.1", testbed.ports["front"])
    with socket.create_connection(address) as caller:
        caller.sendall(request_to("/look/x"))
        wait_until(lambda: replica.flooded_bytes > 0)
        # Long enough for hundreds of megabytes over loopback.
        time.sleep(1.0)
        assert replica.flooded_bytes < MAX_FLOOD_BYTES
        replica.faults.clear()
        assert testbed.send("/look/x")[0] == 200
    wait_until(lambda: not replica.is_flooding, timeout_s=1.0)


class _PausingHandler:
    """Handler of an answer whose caller takes no more bytes."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        self.ended = asyncio.Event()

    def on_head(self, status: int, headers: RawHeaders) -> None:
        """Accept any head."""

    def on_data(self, data: bytes) -> None:
        """Pause, as a caller's full write buffer does."""
        self._connection.pause_reading()

    def on_end(self, *, is_framed: bool) -> None:
        """Record the end."""
        self.ended.set()

    def on_broken(self, detail: str) -> None:
        """Leave the end open."""


async def _send_twice(replica: PlatformReplica) -> int:
    """Return the connections that two requests take, each paused by its body."""
    pool = ConnectionPool(
        match_answer=lambda status, headers, request_id: AnswerMatch.SAME_REQUEST,
        clock=time.monotonic,
        default_idle_timeout_s=4.0,
    )
    for _ in range(2):
        connection = pool.acquire_idle(replica.address, max_idle_s=1.0)
        connection = connection or await pool.connect(replica.address)
        handler = _PausingHandler(connection)
        head = f"GET /look HTTP/1.1\r\nExpect-Instance: {replica.replica_id}\r\n\r\n"
        connection.send(head.encode(), "", handler)
        await asyncio.wait_for(handler.ended.wait(), 1.0)
        await asyncio.sleep(0.01)
    pool.close()
    return pool.opened_count


def test_connection_that_a_slow_reader_paused_is_read_again() -> None:
    """Guards against requests on a pooled connection from which nothing is read.

    Seen with answers of 12 MB to callers that read 5 MB/s: later requests on the
    connection ran, and ended at their deadline or with their host.
    """
    replica = PlatformReplica("desk-1", service="desk", zone="za")
    replica.start()
    try:
        assert asyncio.run(_send_twice(replica)) == 1
    finally:
        replica.close()


@pytest.mark.parametrize("delay_s", [0.0001, 0.05, 5.0])
def test_late_copy_of_an_answer_reaches_no_other_caller(
    testbed: GatewayTestbed, delay_s: float
) -> None:
    """Guards against the second copy of an answer on a connection in use again."""
    replica = testbed.replicas["desk-1"]
    replica.faults["copy_late_s"] = delay_s
    deadline_s = time.monotonic() + delay_s + 0.2
    number = 0
    while time.monotonic() < deadline_s:
        number += 1
        path = f"/look/{number}"
        status, headers, body = testbed.send(path, Request_Id=f"id-{number}")
        assert (status, headers["request-id"]) == (200, f"id-{number}")
        assert body == f"desk-1 POST {path}".encode()
        time.sleep(0.02)


def test_late_copy_of_a_refusal_is_not_the_answer_to_the_next_attempt(
    testbed: GatewayTestbed,
) -> None:
    """Guards against "not run" for an attempt that runs: both have one request id."""
    replica = testbed.replicas["desk-1"]
    replica.faults.update(shed_once=True, copy_late_s=0.1, delay_s=0.3)
    status, _, body = testbed.send("/book/x")
    assert (status, body) == (200, b"desk-1 POST /book/x")
    assert len(replica.received) == 1


class _Recorder:
    """Handler that records the outcome of one answer."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.body = b""
        self.is_whole = False
        self.is_broken = False

    def on_head(self, status: int, headers: RawHeaders) -> None:
        """Record the status."""
        self.status = status

    def on_data(self, data: bytes) -> None:
        """Record a part of the body."""
        self.body += data

    def on_end(self, *, is_framed: bool) -> None:
        """Record the end."""
        self.is_whole = True

    def on_broken(self, detail: str) -> None:
        """Record the failure."""
        self.is_broken = True


def answer_of(
    status: int, request_id: str, body: bytes, refused: bool = False
) -> bytes:
    """Return an answer whose head has a field before and after those that count."""
    head = f"HTTP/1.1 {status} Status\r\nDate: Sat, 5 Dec\r\n"
    head += "" if refused else f"Response-Seal: seal-{request_id}\r\n"
    head += "Not-Executed: 1\r\n" if refused else ""
    head += f"Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"Server: x\r\n\r\n" + body


LATE_ANSWERS = {
    "success": answer_of(200, "earlier", b"other"),
    "error": answer_of(500, "earlier", b"other"),
    "refusal": answer_of(503, "earlier", b"", refused=True),
    "own refusal": answer_of(503, "mine", b"", refused=True),
}


@pytest.mark.parametrize("late", LATE_ANSWERS.values(), ids=LATE_ANSWERS)
@pytest.mark.parametrize("status", [200, 500])
def test_late_bytes_cut_anywhere_in_a_head_join_with_no_answer(
    late: bytes, status: int
) -> None:
    """Guards against an answer with the status, seal or id of another one.

    A refusal that joins with the answer to a booking counts it as not run.
    """

    async def outcome(cut: int, size: int) -> _Recorder:
        connection = UpstreamConnection(
            match_answer=_match_answer,
            on_idle=lambda connection: None,
            on_lost=lambda connection: None,
        )
        transport = Mock(spec=asyncio.Transport)
        transport.get_extra_info.return_value = None
        transport.get_write_buffer_size.return_value = 0
        connection.connection_made(transport)
        recorder = _Recorder()
        connection.use_count = 1
        connection.send(b"", "mine", recorder)
        data = late[:cut] + answer_of(status, "mine", b"right")
        for start in range(0, len(data), size):
            connection.data_received(data[start : start + size])
            if recorder.is_broken:
                break
        return recorder

    for cut in range(late.index(b"\r\n\r\n")):
        for size in (1, 10_000):
            recorder = asyncio.run(outcome(cut, size))
            if recorder.is_whole:
                assert (recorder.status, recorder.body) == (status, b"right"), cut
            else:
                assert recorder.is_broken, cut
            assert recorder.is_whole == (cut == 0), cut
