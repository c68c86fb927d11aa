"""Tests of the HTTP server with malformed requests and slow callers."""

import select
import socket
import threading
import time
from collections.abc import Iterator

import pytest
import urllib3

from persimmonwell.core.resources import CallerPolicy
from persimmonwell.front import (
    CallerMemory,
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from tests.fleet import wait_until

LIMIT_BYTES = 1000
IO_TIMEOUT_S = 1.0
POST = b"POST /x HTTP/1.1\r\nHost: h\r\n"


def _echo(http: HttpRequest) -> HttpResponse:
    return json_response({"size": len(http.body), "headers": dict(http.headers)})


@pytest.fixture
def server() -> Iterator[HttpServer]:
    running = HttpServer(
        address="127.0.0.1:0",
        threads=4,
        max_body_bytes=LIMIT_BYTES,
        io_timeout_s=IO_TIMEOUT_S,
        handler=_echo,
    )
    running.start()
    yield running
    running.close()


def _connect(server: HttpServer) -> socket.socket:
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10.0)


def _exchange(server: HttpServer, sent: bytes, *, half_close: bool) -> bytes:
    """Send bytes and return what the server sends until it closes."""
    with _connect(server) as connection:
        connection.sendall(sent)
        if half_close:
            connection.shutdown(socket.SHUT_WR)
        received = b""
        try:
            while chunk := connection.recv(65536):
                received += chunk
        except ConnectionError:
            pass
        return received


def _serves_requests(server: HttpServer) -> bool:
    url = f"http://{server.address}/x"
    answer = urllib3.request("POST", url, body=b"ok", retries=False, timeout=5.0)
    return bool(answer.status == 200 and answer.json()["size"] == 2)


@pytest.mark.parametrize(
    ("sent", "half_close", "status"),
    [
        (POST + b"Content-Length: 5000\r\n\r\n", True, b"413"),
        (POST + b"Content-Length: -1\r\n\r\n", True, b"400"),
        (POST + b"Content-Length: abc\r\n\r\n", True, b"400"),
        (POST + b"Content-Length: 50\r\n\r\nshort", True, b"400"),
        (POST + b"No colon here\r\n\r\n", True, b"400"),
        (b"nonsense\r\n\r\n", True, b"400"),
        (b"GET /x HTTP/9.9\r\nHost: h\r\n\r\n", True, b"505"),
        (POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", True, b"411"),
        (POST + b"Content-Length: 50\r\n\r\nslow", False, b"408"),
        (b"POST /" + b"x" * 33_000, True, b"414"),
        (POST + b"X-Long: " + b"x" * 33_000, True, b"413"),
        (POST + b"".join(b"a%d:b\r\n" % n for n in range(300)), True, b"413"),
    ],
)
def test_malformed_request_is_refused_and_server_keeps_serving(
    server: HttpServer, sent: bytes, half_close: bool, status: bytes
) -> None:
    """Guards against a malformed request that hangs, crashes or reaches the handler."""
    answer = _exchange(server, sent, half_close=half_close)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert _serves_requests(server)


def test_idle_connections_do_not_block_other_callers(server: HttpServer) -> None:
    """Guards against idle connections that occupy all request threads."""
    silent = [_connect(server) for _ in range(12)]
    started_s = time.monotonic()
    assert _serves_requests(server)
    assert time.monotonic() - started_s < IO_TIMEOUT_S
    for connection in silent:
        connection.close()


def test_stalled_requests_give_their_threads_to_others(server: HttpServer) -> None:
    """Guards against clients that hold all threads until the time-out of one read."""
    stalled = [_connect(server) for _ in range(4)]
    for connection in stalled:
        connection.sendall(POST + b"Content-Length: 50\r\n\r\n")
    assert _serves_requests(server)
    for connection in stalled:
        assert connection.recv(65_536).startswith(b"HTTP/1.1 408")
        connection.close()


@pytest.fixture
def narrow_server() -> Iterator[HttpServer]:
    running = HttpServer(
        address="127.0.0.1:0",
        threads=4,
        max_body_bytes=LIMIT_BYTES,
        io_timeout_s=10.0,
        handler=_wait_and_echo,
        max_connections=2,
    )
    running.start()
    yield running
    _may_answer.set()
    running.close()


_may_answer = threading.Event()
_arrived: list[str] = []


def _wait_and_echo(http: HttpRequest) -> HttpResponse:
    if http.path == "/wait":
        _arrived.append(http.path)
        _may_answer.wait(10.0)
    return _echo(http)


def test_an_idle_connection_is_closed_for_a_new_one(narrow_server: HttpServer) -> None:
    """Guards against a bound on connections that keeps new callers out."""
    oldest, newer = _connect(narrow_server), _connect(narrow_server)
    assert _serves_requests(narrow_server)
    assert oldest.recv(1) == b""
    newer.close()


def test_running_requests_are_not_ended_for_a_new_one(
    narrow_server: HttpServer,
) -> None:
    """Guards against a refusal that is not truthful, or ends a running request."""
    _may_answer.clear()
    _arrived.clear()
    running = [_connect(narrow_server) for _ in range(2)]
    for connection in running:
        connection.sendall(b"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
    while len(_arrived) < 2:
        time.sleep(0.01)
    refused = _exchange(narrow_server, b"", half_close=False)
    assert refused.startswith(b"HTTP/1.1 503")
    assert b"Persimmonwell-Outcome: not-run" in refused
    _may_answer.set()
    for connection in running:
        assert connection.recv(65_536).startswith(b"HTTP/1.1 200")
        connection.close()


def test_header_with_underscore_does_not_replace_header_with_hyphen(
    server: HttpServer,
) -> None:
    """Guards against a header with underscores that passes as one with hyphens.

    WSGI maps both names to the same key.
    """
    lines = b"Persimmonwell-Workspace: a\r\nPersimmonwell_Workspace: b\r\n"
    answer = _exchange(
        server,
        POST + lines + b"Connection: close\r\nContent-Length: 0\r\n\r\n",
        half_close=True,
    )
    assert b'"persimmonwell-workspace":"b"' not in answer.replace(b" ", b"")


def test_a_stalled_upload_gives_its_memory_to_one_that_waits() -> None:
    """Guards against uploads that stall and keep others out, and ends not counted."""
    memory = CallerMemory(64, CallerPolicy(stall_s=0.1, shortage_s=0.1))
    ended: list[str] = []
    large = bytes(4 * 1024 * 1024)
    server = HttpServer(
        address="127.0.0.1:0",
        threads=4,
        max_body_bytes=len(large),
        io_timeout_s=10.0,
        handler=_echo,
        memory=memory,
        count_ended=ended.append,
    )
    server.start()
    stalled = _connect(server)
    stalled.sendall(POST + b"Content-Length: %d\r\n\r\nx" % len(large))
    wait_until(lambda: memory.used_bytes > 0)
    url = f"http://{server.address}/x"
    answer = urllib3.request("POST", url, body=large, retries=False, timeout=10.0)
    assert answer.json()["size"] == len(large)
    assert stalled.recv(65_536).startswith(b"HTTP/1.1 408")
    assert ended == ["no_memory"]
    stalled.close()
    server.close()


def test_single_bytes_keep_no_thread_while_requests_wait() -> None:
    """Guards against clients that hold all threads with a byte now and then."""
    server = HttpServer(
        address="127.0.0.1:0",
        threads=1,
        max_body_bytes=4096,
        io_timeout_s=10.0,
        handler=_echo,
        memory=CallerMemory(64, CallerPolicy(stall_s=0.5)),
        count_ended=lambda reason: None,
    )
    server.start()
    trickling, waiting = _connect(server), _connect(server)
    trickling.sendall(POST + b"X-Long: ")
    # More than one byte in stall_s, but fewer than the least rate, for 8 s.
    for number in range(40):
        if number == 1:
            waiting.sendall(POST + b"Content-Length: 0\r\n\r\n")
        time.sleep(0.2)
        try:
            trickling.sendall(b"x")
        except OSError:
            break
        if select.select([waiting], [], [], 0.0)[0]:
            break
    waiting.settimeout(0.1)
    assert waiting.recv(65_536).startswith(b"HTTP/1.1 200")
    trickling.close()
    waiting.close()
    server.close()
