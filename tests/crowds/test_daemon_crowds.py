"""persimmonwelld processes under clients that respect no limits.

Sizes and bounds are fixed. Each test checks that the process lives, that its memory and
descriptors stay under a bound, and that an ordinary request is answered while the
crowd's connections are open.
"""

import json
import resource
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from threading import Event, Thread

import pytest
import urllib3

from standins.crowd import Address, Script, encode_chunk, request_head, running_crowd
from standins.processes import ProcessGroup, wait_for
from tests.crowds.site import (
    DEPLOYED_FDS,
    ORDINARY_ATTEMPTS,
    ORDINARY_PAUSE_S,
    ORDINARY_TIMEOUT_S,
    SAMPLE_INTERVAL_S,
    Watch,
)
from tests.fleet import MODEL, SmallFleet

MIB = 1024 * 1024
MEMORY_MB = 256
"""Memory of a host whose settings name none, as for persimmonwell-gateway."""
MAX_FDS = 400
"""Descriptor limit of the process, and the bound on those that it has open."""
THREADS = 96
BODY_BYTES = 4 * MIB
"""Largest body within the limits; as many as there are threads have 384 MB."""
STALLED_BYTES = BODY_BYTES - 65_536
IO_TIMEOUT_S = 2.0
UPLOADS = 100
FLOODS = 24
HEAD_BYTES = 16 * MIB
"""What each of the clients sends of a head without an end, 384 MB together."""
ONE_BYTE_CHUNKS = 200_000
OVERSIZED_BYTES = 16 * MIB
OPEN_CONNECTIONS = 600
TRICKLES = 40
"""More clients than the operators' port has threads (16), and fewer than it permits
connections (48), so that they displace nobody."""
TRICKLE_SOURCES = tuple(f"127.0.0.{number}" for number in range(2, 42))
TRICKLE_S = 50.0
"""Less than the window of 60 s over which the rate of a request is judged."""
READINESS_CHECKS = 4
READINESS_ATTEMPTS = 3
"""Attempts of up to 10 s for each check of readiness."""
RECONNECTING = 300
RECONNECTIONS = 4 * RECONNECTING
RECONNECTING_SOURCES = tuple(f"127.0.0.{number}" for number in range(2, 62))
UNREAD_CLIENTS = 120
UNREAD_TOKENS = 60_000

FILLER = b"x" * 65_536
SHORT_HEADERS = b"".join(b"a%05d:b\r\n" % number for number in range(7000))
PATH = "/v1/completions"
WORKSPACE = "Persimmonwell-Workspace: range-a"
HEAD = request_head(PATH, WORKSPACE)[:-2]
CHUNKED_HEAD = request_head(PATH, WORKSPACE, "Transfer-Encoding: chunked")


def _sized_head(length: int) -> bytes:
    return request_head(PATH, WORKSPACE, f"Content-Length: {length}")


def _repeat(head: bytes, block: bytes, total_bytes: int) -> Script:
    return Script(head, block, total_bytes // len(block), connections=2)


def _completion(max_tokens: int) -> bytes:
    document = {"model": MODEL, "prompt": "p", "max_tokens": max_tokens, "stream": True}
    return json.dumps(document).encode()


UNREAD_BODY = _completion(UNREAD_TOKENS)
STALLED_UPLOAD = _repeat(_sized_head(BODY_BYTES), FILLER, STALLED_BYTES)
CROWDS: dict[str, tuple[int, tuple[Script, ...]]] = {
    "endless lines": (
        FLOODS,
        (
            _repeat(b"POST /", FILLER, HEAD_BYTES),
            _repeat(HEAD + b"X-Long: ", FILLER, HEAD_BYTES),
        ),
    ),
    "endless headers and empty lines": (
        FLOODS,
        (
            _repeat(HEAD, SHORT_HEADERS, HEAD_BYTES),
            _repeat(b"\r\n", b"\r\n" * 32_768, HEAD_BYTES),
        ),
    ),
    "chunked bodies": (
        UPLOADS,
        (
            _repeat(CHUNKED_HEAD, encode_chunk(b"x") * 10_000, 6 * ONE_BYTE_CHUNKS),
            _repeat(CHUNKED_HEAD, encode_chunk(FILLER), STALLED_BYTES),
            _repeat(CHUNKED_HEAD, encode_chunk(FILLER), OVERSIZED_BYTES),
        ),
    ),
    "bodies that stop short of their end": (UPLOADS, (STALLED_UPLOAD,)),
    "bodies over the limit": (
        FLOODS,
        (
            _repeat(_sized_head(100 * 10**9), FILLER, OVERSIZED_BYTES),
            _repeat(_sized_head(BODY_BYTES), FILLER, OVERSIZED_BYTES),
        ),
    ),
    "answers that nobody reads": (
        UNREAD_CLIENTS,
        (Script(_sized_head(len(UNREAD_BODY)) + UNREAD_BODY, reads=False),),
    ),
    "silent connections": (OPEN_CONNECTIONS, (Script(b""),)),
    "connections in a head": (OPEN_CONNECTIONS, (Script(HEAD),)),
}


class DaemonSite:
    """One entry host as a process, with stand-ins and a record of its resources."""

    def __init__(self, folder: Path, max_fds: int) -> None:
        self._max_fds = max_fds
        self._standins = SmallFleet(zones=1)
        self._group = ProcessGroup()
        self._folder = folder
        self._is_closing = Event()
        self._sampler = Thread(target=self._sample, daemon=True)
        self._http = urllib3.PoolManager(retries=False, timeout=ORDINARY_TIMEOUT_S)

    def start(self) -> None:
        """Start everything and wait until an ordinary request is answered."""
        self._standins.start_standins()
        settings = self._standins.settings_document("zone-1", "host-1")
        settings["callers"].update(
            {
                "threads": THREADS,
                "max_body_bytes": BODY_BYTES,
                "io_timeout_s": IO_TIMEOUT_S,
            }
        )
        with _descriptor_limit(self._max_fds):
            self._host = self._group.start_host(settings, self._folder)
        self.watch = Watch(self._host, self._host.process.pid)
        self._sampler.start()
        self._standins.publish_base()
        url = f"http://{self._host.operators}/config"
        wait_for(lambda: bool(self._http.request("GET", url).json()["version"]), "ok")
        assert self.ordinary_status() == 200, "the host was not ready"

    def close(self) -> None:
        """Stop everything."""
        self._is_closing.set()
        self._group.close()
        self._standins.close()
        if self._sampler.ident is not None:
            self._sampler.join()

    def _sample(self) -> None:
        while not self._is_closing.wait(SAMPLE_INTERVAL_S):
            self.watch.sample()

    def address(self, port: str) -> Address:
        """Return the address of the port `callers` or `operators`."""
        host, _, number = getattr(self._host, port).rpartition(":")
        return host, int(number)

    def ordinary_status(self) -> int:
        """Return 200 if one of the attempts of an ordinary request got it."""
        status = 0
        for _ in range(ORDINARY_ATTEMPTS):
            try:
                answer = self._http.request(
                    "POST",
                    f"http://{self._host.callers}{PATH}",
                    body=_completion(4),
                    headers={"Persimmonwell-Workspace": "range-a"},
                )
                status = answer.status if b'"complete"' in answer.data else 0
            except urllib3.exceptions.HTTPError:
                status = 0
            if status == 200 or not self.watch.is_alive:
                break
            time.sleep(ORDINARY_PAUSE_S)
        return status

    def is_ready(self, attempts: int = ORDINARY_ATTEMPTS) -> bool:
        """Return whether the host answers the load balancer's check."""
        url = f"http://{self._host.operators}/readyz"
        for _ in range(attempts):
            try:
                if self._http.request("GET", url).status == 200:
                    return True
            except urllib3.exceptions.HTTPError:
                pass
            if not self.watch.is_alive:
                break
            time.sleep(ORDINARY_PAUSE_S)
        return False

    def faults(self) -> list[str]:
        """Return in which respects the host did not withstand a crowd."""
        status, is_ready = self.ordinary_status(), self.is_ready()
        watch = self.watch
        watch.sample()
        seen = (
            f"peak {watch.peak_mb:.0f} of {MEMORY_MB} MB, {watch.descriptors} of "
            f"{self._max_fds} descriptors, ordinary request {status}, ready {is_ready}"
        )
        print(seen)
        if not watch.is_alive:
            return ["the process has ended"]
        # The process can't pass the limit of the system; at it, it accepts no caller.
        is_within = watch.peak_mb <= MEMORY_MB and watch.descriptors < self._max_fds
        return [] if is_within and status == 200 and is_ready else [seen]


@contextmanager
def _descriptor_limit(limit: int) -> Iterator[None]:
    """Let processes that are started meanwhile have this many descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@contextmanager
def _running_site(folder: Path, max_fds: int = MAX_FDS) -> Iterator[DaemonSite]:
    site = DaemonSite(folder, max_fds)
    try:
        site.start()
        yield site
    finally:
        site.close()


@pytest.mark.parametrize("kind", CROWDS)
def test_crowd_at_the_callers_port(tmp_path: Path, kind: str) -> None:
    """Guards against a process whose use grows with the number of its clients."""
    count, scripts = CROWDS[kind]
    with _running_site(tmp_path) as site:
        with running_crowd([site.address("callers")], *scripts, count=count) as crowd:
            crowd.wait()
            assert site.faults() == []


def test_bodies_without_a_shortage_of_descriptors(tmp_path: Path) -> None:
    """Guards against memory that only the bound on connections keeps small."""
    with _running_site(tmp_path, DEPLOYED_FDS) as site:
        target = site.address("callers")
        with running_crowd([target], STALLED_UPLOAD, count=UPLOADS) as crowd:
            crowd.wait()
            assert site.faults() == []


def test_crowd_at_the_operators_port(tmp_path: Path) -> None:
    """Guards against a port without a token that takes memory or descriptors."""
    scripts = (*CROWDS["endless lines"][1], Script(HEAD), STALLED_UPLOAD)
    with _running_site(tmp_path) as site:
        target = site.address("operators")
        with running_crowd([target], *scripts, count=OPEN_CONNECTIONS) as crowd:
            crowd.wait()
            assert site.faults() == []


def test_single_bytes_at_the_operators_port(tmp_path: Path) -> None:
    """Guards against requests in single bytes that hold all threads of the port."""
    scripts = tuple(
        Script(head, b"x", 10**6, connections=10**6, send_bytes=1, send_pause_s=0.3)
        for head in (HEAD, _sized_head(BODY_BYTES))
    )
    with _running_site(tmp_path) as site:
        target = site.address("operators")
        with running_crowd(
            [target],
            *scripts,
            count=TRICKLES,
            sources=TRICKLE_SOURCES,
            max_sending_s=TRICKLE_S,
        ) as crowd:
            is_ready = []
            while len(is_ready) < READINESS_CHECKS and False not in is_ready:
                is_ready.append(site.is_ready(attempts=READINESS_ATTEMPTS))
                time.sleep(ORDINARY_PAUSE_S)
            is_sending = crowd.is_sending
        faults = site.faults()
    assert (faults, set(is_ready), is_sending) == ([], {True}, True)


@pytest.mark.parametrize("data", [b"", b"GET / HT"], ids=["silent", "in head"])
def test_readiness_among_clients_that_come_back_at_once(
    tmp_path: Path, data: bytes
) -> None:
    """Guards against probes that are closed while they wait for a thread."""
    script = Script(data, connections=10**6, reopen_s=0.0)
    with _running_site(tmp_path) as site:
        with running_crowd(
            [site.address("operators")],
            script,
            count=RECONNECTING,
            sources=RECONNECTING_SOURCES,
            max_sending_s=TRICKLE_S,
        ) as crowd:
            while crowd.connection_count < RECONNECTIONS and crowd.is_sending:
                time.sleep(0.01)
            is_ready = {
                site.is_ready(attempts=READINESS_ATTEMPTS)
                for _ in range(READINESS_CHECKS)
            }
            is_sending = crowd.is_sending
        faults = site.faults()
    assert (faults, is_ready, is_sending) == ([], {True}, True)
