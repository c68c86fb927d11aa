"""Tests of callers' connections: pipelines, slow and endless requests."""

import socket
import time

import pytest

from standins.platform_config import API_KEY, HOST
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed

HEAD = f"Host: {HOST}\r\nApi-Key: {API_KEY}\r\n".encode()


def request(number: int, headers: bytes = b"") -> bytes:
    line = b"GET /look/%d HTTP/1.1\r\n" % number
    return line + HEAD + b"Request-Id: p%d\r\n" % number + headers + b"\r\n"


def answered_numbers(received: bytes) -> list[int]:
    numbers = []
    for part in received.split(b"GET /look/")[1:]:
        numbers.append(int(part[:1]))
    return numbers


def test_pipelined_requests_before_a_close_are_all_answered(
    testbed: GatewayTestbed,
) -> None:
    """Guards against accepted requests dropped because the last one closes."""
    closing = request(2, b"Connection: close\r\n")
    received = testbed.send_raw(request(0) + request(1) + closing, wait_s=3.0)
    assert answered_numbers(received) == [0, 1, 2]
    assert received.count(b"connection: close") == 1
    assert received.rindex(b"HTTP/1.1") < received.index(b"connection: close")


def test_pipelined_requests_before_a_malformed_one_are_all_answered(
    testbed: GatewayTestbed,
) -> None:
    """Guards against accepted requests dropped because of a later malformed one."""
    received = testbed.send_raw(request(0) + request(1) + b"?\r\n\r\n", wait_s=3.0)
    assert answered_numbers(received) == [0, 1]
    assert received.count(b"HTTP/1.1 400") == 1
    assert received.index(b"HTTP/1.1 400") > received.index(b"GET /look/1")


@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (b"POST /look/1 HTTP/1.1\r\n", b"X-More: 0123456789abcdef\r\n"),
        (b"POST /", b"0123456789abcdef"),
        (b"POST /look/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", b""),
        (b"POST /look/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", b"0123"),
        (
            b"POST /look/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"4\r\nbody\r\n",
        ),
    ],
    ids=["headers", "target", "stalled head", "chunk extension", "body"],
)
def test_request_without_end_is_cut_off(
    testbed: GatewayTestbed, beginning: bytes, repeated: bytes
) -> None:
    """Guards against a caller that holds a connection and its memory without end."""
    address = ("127.0.0.1", testbed.ports["front"])
    with socket.create_connection(address, timeout=5.0) as caller:
        caller.sendall(beginning)
        sent_bytes = 0
        with pytest.raises(OSError):
            for _ in range(400):
                # A closed connection shows at the latest with the next send.
                caller.sendall(repeated * 4096 or b"")
                sent_bytes += 4096 * len(repeated)
                if not repeated:
                    assert caller.recv(1000).split(b" ")[1] == b"408"
                    raise ConnectionResetError
    assert sent_bytes < 4096 * 400 * max(1, len(repeated))
    assert testbed.replica_request_count() == 0


def test_body_that_stalls_is_given_up_after_the_idle_timeout(
    testbed: GatewayTestbed,
) -> None:
    """Guards against a caller that never ends its body and is never closed."""
    data = b"POST /look/1 HTTP/1.1\r\n" + HEAD + b"Content-Length: 9\r\n\r\nabc"
    received = testbed.send_raw(data, wait_s=6.0)
    assert received.split(b" ")[1] == b"408"


def test_request_behind_a_caller_that_left_is_not_started(
    testbed: GatewayTestbed,
) -> None:
    """Guards against work for a caller whose connection was lost."""
    testbed.replicas["desk-1"].faults["delay_s"] = 0.2
    address = ("127.0.0.1", testbed.ports["front"])
    with socket.create_connection(address, timeout=5.0) as caller:
        caller.sendall(request(0) + request(1))
        wait_until(lambda: testbed.replica_request_count() == 1)
    time.sleep(0.5)
    assert testbed.replica_request_count() == 1
