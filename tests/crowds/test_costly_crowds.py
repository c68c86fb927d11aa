"""Processes under clients that cost time or places instead of memory.

As in test_crowds, each test checks that the process lives, that its memory and
descriptors stay within the settings, and that an ordinary request is answered. Delays
are judged by the answers that the crowd gets meanwhile, not by times.
"""

import socket
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from pathlib import Path

import pytest

from standins.crowd import (
    Address,
    Crowd,
    Script,
    encode_chunk,
    request_head,
    running_crowd,
)
from tests.crowds.site import Caller, Site, ordinary_status, running_site
from tests.crowds.test_further_crowds import (
    ADDRESSES,
    CONNECTIONS,
    MAX_FDS,
    MEMORY_MB,
)

SENDING_S = 40.0
"""Bound on the time in which a crowd sends; it ends with the checks."""
ATTEMPTS = 20
"""Ordinary requests of which one must be answered while the crowd gets few answers."""
ANSWER_BYTES = 60
"""Size of an answer without its body, at the least."""
MAX_ANSWERS = 60
"""Answers of one client of the crowd, in the mean, while an ordinary caller waits for
one: a full buffer holds 370 requests at the status ports and some 1,000 at the callers'
port, and an ordinary request takes several turns of the event loop."""
PIPELINES = 60
STATUS_PIPELINES = 90
RECONNECTING = CONNECTIONS + 100
"""Clients that compete for the connections of the host."""
RECONNECTIONS = 4 * RECONNECTING
KEPT_CALLERS = 4
"""Of one address, which has fewer than half of the connections of the others."""
READINESS_CHECKS = 5
PROBES_A_CHECK = 3
"""Probes of which the platform needs one to keep a host."""
CHUNKED_BYTES = 2 * 1024 * 1024
"""Body in chunks of one byte; 50 ms for each 4 KB would make more than two minutes."""
CHUNKED_TIMEOUT_S = 40.0
"""Longest time to send, and to wait for the answer."""
UPLOAD_BYTES = 4 * 1024 * 1024
OK = b"HTTP/1.1 200 OK"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable"
UPLOADS = 20
REFUSALS = 3
"""Refusals that an ordinary caller must be able to read."""
CONCURRENT_UPLOADS = 80
REQUEST_S = 3.0
"""Time for which a complete body keeps its room; longer than an upload waits for it."""
LEADING_ZEROS = 5000
"""More digits than int() accepts, within max_header_bytes."""

HEAD = request_head("/look/crowd")[:-2]
UNKNOWN_ROUTE = b"GET /none HTTP/1.1\r\nHost: none\r\n\r\n"
WITHOUT_KEY = b"GET /look/crowd HTTP/1.1\r\nHost: desk.example\r\n\r\n"
REPEATED_UPLOAD = Script(
    request_head("/look/crowd", f"Content-Length: {UPLOAD_BYTES}"),
    b"x" * 65_536,
    UPLOAD_BYTES // 65_536,
    connections=10**6,
)
STATUS_REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def _front(site: Site) -> list[Address]:
    (host,) = site.hosts
    return [(host.ip, host.ports["front"])]


def _status_ports(site: Site) -> list[Address]:
    (host,) = site.hosts
    ports = (host.ports["ready"], host.ports["control"], host.ports["peers"] + 1)
    return [(host.ip, port) for port in ports]


def _least_answers(site: Site, crowd: Crowd, clients: int) -> float:
    """Return how many answers each client got while an ordinary caller waited for one.

    The least of several requests that were answered while the crowd sent.
    """
    least = float("inf")
    for _ in range(ATTEMPTS):
        with closing(Caller(site.hosts[0])) as caller:
            before = crowd.received_bytes
            status = caller.send("look")
            received = crowd.received_bytes - before
        if not crowd.is_sending:
            break
        if status == 200:
            least = min(least, received / ANSWER_BYTES / clients)
    return least


@pytest.mark.parametrize(
    ("request_", "count", "ports"),
    [
        pytest.param(UNKNOWN_ROUTE, PIPELINES, _front, id="unknown route"),
        pytest.param(WITHOUT_KEY, PIPELINES, _front, id="no key"),
        pytest.param(STATUS_REQUEST, STATUS_PIPELINES, _status_ports, id="status"),
    ],
)
def test_pipelines_that_are_answered_at_once(
    tmp_path: Path,
    request_: bytes,
    count: int,
    ports: Callable[[Site], list[Address]],
) -> None:
    """Guards against turns of the event loop that answer all that was received."""
    script = Script(block=request_ * 2000, repeats=10**6, connections=10**6)
    with running_site(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as site:
        with running_crowd(
            ports(site),
            script,
            count=count,
            sources=ADDRESSES,
            max_sending_s=SENDING_S,
        ) as crowd:
            answers = _least_answers(site, crowd, count)
        print(f"{answers:.1f} answers to each client during an ordinary request")
        assert answers <= MAX_ANSWERS
        assert site.faults(MEMORY_MB) == []


def test_clients_that_come_back_at_once(tmp_path: Path) -> None:
    """Guards against clients that take the places of callers with few connections."""
    script = Script(HEAD, connections=10**6, reopen_s=0.0)
    with running_site(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as site:
        callers = [Caller(site.hosts[0]) for _ in range(KEPT_CALLERS)]
        statuses = [ordinary_status(caller) for caller in callers]
        ports = [caller.local_port for caller in callers]
        with running_crowd(
            _front(site),
            script,
            count=RECONNECTING,
            sources=ADDRESSES[:20],
            max_sending_s=SENDING_S,
        ) as crowd:
            while crowd.connection_count < RECONNECTIONS and crowd.is_sending:
                time.sleep(0.01)
            assert crowd.is_sending, "the clients were not displaced"
            statuses += [ordinary_status(caller) for caller in callers]
            kept = [caller.local_port for caller in callers]
            faults = site.faults(MEMORY_MB)
        for caller in callers:
            caller.close()
        assert (faults, set(statuses), kept) == ([], {200}, ports)


def test_readiness_among_clients_that_come_back_at_once(tmp_path: Path) -> None:
    """Guards against probes that are closed before they are read."""
    script = Script(b"GET / HT", connections=10**6, reopen_s=0.0)
    with running_site(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as site:
        (host,) = site.hosts
        with running_crowd(
            [(host.ip, host.ports["ready"])],
            script,
            count=RECONNECTING,
            sources=ADDRESSES,
            max_sending_s=SENDING_S,
        ) as crowd:
            while crowd.connection_count < RECONNECTIONS and crowd.is_sending:
                time.sleep(0.01)
            checks = [
                any(host.is_ready() for _ in range(PROBES_A_CHECK))
                for _ in range(READINESS_CHECKS)
            ]
            is_sending = crowd.is_sending
            faults = site.faults(MEMORY_MB)
        assert (faults, set(checks), is_sending) == ([], {True}, True)


def _answer_to(address: Address, data: bytes, timeout_s: float) -> bytes:
    """Return the status line of the answer to one request; nothing without one."""
    with socket.create_connection(address, timeout=timeout_s) as connection:
        try:
            connection.sendall(data)
            return connection.recv(65_536).partition(b"\r\n")[0]
        except OSError:
            return b""


@pytest.mark.parametrize(
    "request_",
    [
        pytest.param(
            request_head("/look/chunks", "Transfer-Encoding: chunked")
            + encode_chunk(b"x") * CHUNKED_BYTES
            + b"0\r\n\r\n",
            id="one-byte chunks",
        ),
        pytest.param(
            request_head("/look/zeros", f"Content-Length: {'0' * LEADING_ZEROS}1")
            + b"x",
            id="leading zeros",
        ),
    ],
)
def test_unusual_request_within_the_limits(tmp_path: Path, request_: bytes) -> None:
    """Guards against a single valid request that is not served, or only in minutes."""
    with running_site(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as site:
        (address,) = _front(site)
        answer = _answer_to(address, request_, CHUNKED_TIMEOUT_S)
        assert answer == OK
        assert site.faults(MEMORY_MB) == []


def test_refused_upload_of_a_client_that_sends_before_it_reads(tmp_path: Path) -> None:
    """Guards against a reset in place of the refusal that says that nothing has run."""
    settings = {"callers.upload_wait_s": "0.5"}
    with running_site(
        tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS, settings=settings
    ) as site:
        # Bodies that are complete keep their room while their requests run.
        site.replica.faults["delay_s"] = REQUEST_S
        with (
            running_crowd(_front(site), REPEATED_UPLOAD, count=UPLOADS) as crowd,
            closing(Caller(site.hosts[0])) as caller,
        ):
            statuses = []
            while len(statuses) < ATTEMPTS and statuses.count(503) < REFUSALS:
                statuses.append(caller.send("look", b"x" * UPLOAD_BYTES))
            crowd.wait()
            site.replica.faults["delay_s"] = 0.0
            faults = site.faults(MEMORY_MB)
        print(statuses)
        assert faults == []
        assert 503 in statuses
        assert set(statuses) <= {200, 503}


def test_concurrent_uploads_of_callers_that_keep_sending(tmp_path: Path) -> None:
    """Guards against packets that are dropped, whose senders then count as stalled."""
    upload = REPEATED_UPLOAD.head + b"x" * UPLOAD_BYTES
    with running_site(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as site:
        (address,) = _front(site)
        with ThreadPoolExecutor(CONCURRENT_UPLOADS) as threads:
            sending = [
                threads.submit(_answer_to, address, upload, CHUNKED_TIMEOUT_S)
                for _ in range(CONCURRENT_UPLOADS)
            ]
        answers = Counter(each.result() for each in sending)
        print(answers)
        assert site.faults(MEMORY_MB) == []
        assert set(answers) <= {OK, UNAVAILABLE}
