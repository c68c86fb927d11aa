"""Gateway processes under clients that respect no limits.

Sizes and bounds are fixed. Each test checks that the processes live, that their memory
and descriptors stay within the settings, and that an ordinary request is answered while
the crowd's connections are open.
"""

import signal
from collections.abc import Callable
from pathlib import Path

import attrs
import pytest

from standins.crowd import Address, Script, encode_chunk, request_head, running_crowd
from standins.gateway_process import GatewayProcess
from tests.crowds.site import (
    DEPLOYED_FDS,
    Caller,
    new_caller_status,
    ordinary_status,
    running_site,
)

MIB = 1024 * 1024
MEMORY_MB = 100
"""Memory limit of the hosts, which need 38 MB by themselves; small crowds exceed it on
a host without a memory budget."""
BODY_BYTES = 4 * MIB
"""Largest body within the limits."""
STALLED_BYTES = BODY_BYTES - 65_536
"""What a client sends of a body before it stalls."""
STALLED_UPLOADS = 30
"""Their bodies have 118 MB, more than the memory limit."""
ONE_BYTE_CHUNKS = 400_000
"""Chunks of one client: those of 30 clients are 12 million list entries of 8 bytes."""
PIPELINES = 60
"""As many as in the measurement of the work page."""
PIPELINED_REQUESTS = 500
PIPELINED_BYTES = 2048
"""Size of one request; those of all pipelines have 61 MB and as many again as objects
of their headers."""
MIXED_CLIENTS = 60
"""Half of them stall with a body and half send a pipeline."""
TRAILER_BYTES = 4 * MIB
"""Trailers of one connection; kept as tuples they take 16 times the memory."""
OVERSIZED_BYTES = 16 * MIB
"""What a client sends of a body over the limit: four times the limit."""
ANNOUNCED_BYTES = 100 * 10**9
"""Length of the work page, which no host can hold."""
UNREAD_ANSWERS = 100
UNREAD_ANSWER_BYTES = 65_536
"""Size of one answer; those that 30 clients do not read have 197 MB."""
HEAD_BYTES = 8 * MIB
"""Bytes of one endless head: 512 times the limit of 16 KB."""
FLOODS = 30
"""Clients that send something endless; one read of 256 KB from each has 8 MB."""
RECONNECTIONS = 3
"""Connections of one client that is refused and comes back."""
UPLOADS = 40
UPLOADS_MEMORY_MB = 300
UPLOADS_PEAK_MB = 96
"""Target of the work page for 40 concurrent uploads of 4 MB on a host of 300 MB."""
MAX_FDS = 400
"""Descriptor limit of a host; 200 of them are reserved for files."""
OPEN_CONNECTIONS = 500
"""Connections above the whole limit of descriptors."""
STATUS_CLIENTS = 60
STATUS_BYTES = 4 * MIB
"""Bytes of one endless URL or head at the status ports; all together 252 MB."""
UNREAD_STATES = 3000
"""Requests of one client for the state of a host, whose answers have some 2 KB."""
KEPT_CALLERS = 8
KEPT_ROUNDS = 3
"""Requests on each kept connection while the crowd sends."""

HEAD = request_head("/look/crowd")[:-2]
CHUNKED_HEAD = request_head("/look/crowd", "Transfer-Encoding: chunked")
FILLER = b"x" * 65_536
SHORT_HEADERS = b"a:b\r\n" * 13_000


def _sized_head(length: int) -> bytes:
    return request_head("/look/crowd", f"Content-Length: {length}")


def _repeat(
    head: bytes, block: bytes, total_bytes: int, connections: int = 1
) -> Script:
    return Script(head, block, total_bytes // len(block), connections=connections)


def _endless(head: bytes, block: bytes, total_bytes: int = HEAD_BYTES) -> Script:
    return _repeat(head, block, total_bytes, RECONNECTIONS)


PIPELINED_REQUEST = HEAD + b"X-Filler: "
PIPELINED_REQUEST += b"x" * (PIPELINED_BYTES - len(PIPELINED_REQUEST) - 4)
PIPELINED_REQUEST += b"\r\n\r\n"
DECLARED_LENGTH = _repeat(_sized_head(BODY_BYTES), FILLER, STALLED_BYTES)
PIPELINE = Script(block=PIPELINED_REQUEST * 25, repeats=PIPELINED_REQUESTS // 25)
CROWDS: dict[str, tuple[int, Script]] = {
    # A list with one entry per chunk, which is as long as the body.
    "one-byte chunks": (
        STALLED_UPLOADS,
        Script(CHUNKED_HEAD, encode_chunk(b"x") * 10_000, ONE_BYTE_CHUNKS // 10_000),
    ),
    # Bodies that are kept without a bound on their total.
    "declared length": (STALLED_UPLOADS, DECLARED_LENGTH),
    "64 KB chunks": (
        STALLED_UPLOADS,
        Script(CHUNKED_HEAD, encode_chunk(FILLER), STALLED_BYTES // len(FILLER)),
    ),
    # Reading that goes on while requests wait behind the current one.
    "pipelined requests": (PIPELINES, PIPELINE),
    # Trailers that are kept as headers until a whole read has been parsed.
    "endless trailers": (
        FLOODS,
        _endless(
            CHUNKED_HEAD + encode_chunk(b"x") + b"0\r\n", SHORT_HEADERS, TRAILER_BYTES
        ),
    ),
    # Bodies that are read up to the limit although they cannot be accepted.
    "announced 100 GB": (
        FLOODS,
        _endless(_sized_head(ANNOUNCED_BYTES), FILLER, OVERSIZED_BYTES),
    ),
    "oversized chunked": (
        FLOODS,
        _endless(CHUNKED_HEAD, encode_chunk(FILLER), OVERSIZED_BYTES),
    ),
    # Heads and framing without an end.
    "endless request line": (FLOODS, _endless(b"POST /look/", FILLER)),
    "endless header": (FLOODS, _endless(HEAD + b"X-Long: ", FILLER)),
    "endless headers": (FLOODS, _endless(HEAD, SHORT_HEADERS)),
    "endless empty lines": (FLOODS, _endless(b"\r\n", b"\r\n" * 32_768)),
    "endless chunk extension": (FLOODS, _endless(CHUNKED_HEAD + b"5;x=", FILLER)),
    "endless chunk size": (FLOODS, _endless(CHUNKED_HEAD, b"0" * 65_536)),
}
STATUS_CROWDS: dict[str, Script] = {
    "endless URL": _repeat(b"GET /", FILLER, STATUS_BYTES),
    "endless header": _repeat(b"GET / HTTP/1.1\r\nX-Long: ", FILLER, STATUS_BYTES),
    "endless headers": _repeat(b"GET / HTTP/1.1\r\n", SHORT_HEADERS, STATUS_BYTES),
}


def _front(host: GatewayProcess) -> list[Address]:
    return [(host.ip, host.ports["front"])]


def _metrics(host: GatewayProcess) -> list[Address]:
    return [(host.ip, host.ports["peers"] + 1)]


def _status_ports(host: GatewayProcess) -> list[Address]:
    ports = [(host.ip, host.ports[name]) for name in ("ready", "control")]
    return ports + _metrics(host)


def _faults_under(
    folder: Path,
    *scripts: Script,
    count: int,
    max_mb: int = MEMORY_MB,
    memory_mb: int = MEMORY_MB,
    max_fds: int = DEPLOYED_FDS,
    pad_bytes: int = 0,
    ports: Callable[[GatewayProcess], list[Address]] = _front,
) -> list[str]:
    """Run one host under a crowd; return in which respects it did not withstand it."""
    with running_site(folder, memory_mb=memory_mb, max_fds=max_fds) as site:
        (host,) = site.hosts
        site.replica.faults["pad_bytes"] = pad_bytes
        with running_crowd(ports(host), *scripts, count=count) as crowd:
            crowd.wait()
            return site.faults(max_mb)


@pytest.mark.parametrize("kind", CROWDS)
def test_one_kind_of_clients(tmp_path: Path, kind: str) -> None:
    """Guards against memory that grows with what clients send and never finish."""
    count, script = CROWDS[kind]
    assert _faults_under(tmp_path, script, count=count) == []


def test_two_kinds_of_clients(tmp_path: Path) -> None:
    """Guards against bounds on bodies and on pipelines that do not know each other."""
    kinds = (DECLARED_LENGTH, PIPELINE)
    assert _faults_under(tmp_path, *kinds, count=MIXED_CLIENTS) == []


def test_answers_that_nobody_reads(tmp_path: Path) -> None:
    """Guards against answers to pipelined requests that are written ahead."""
    script = Script(block=HEAD + b"\r\n", repeats=UNREAD_ANSWERS, reads=False)
    pad_bytes = UNREAD_ANSWER_BYTES
    assert _faults_under(tmp_path, script, count=FLOODS, pad_bytes=pad_bytes) == []


def test_concurrent_uploads_within_the_limits(tmp_path: Path) -> None:
    """Guards against several copies of each body that is forwarded."""
    script = attrs.evolve(
        _repeat(_sized_head(BODY_BYTES), FILLER, BODY_BYTES), awaits_answer=True
    )
    faults = _faults_under(
        tmp_path,
        script,
        count=UPLOADS,
        max_mb=UPLOADS_PEAK_MB,
        memory_mb=UPLOADS_MEMORY_MB,
    )
    assert faults == []


@pytest.mark.parametrize(
    "head", [b"", HEAD, _sized_head(BODY_BYTES)], ids=["silent", "in head", "in body"]
)
def test_more_connections_than_descriptors(tmp_path: Path, head: bytes) -> None:
    """Guards against callers that use up the descriptors of the host."""
    faults = _faults_under(
        tmp_path, Script(head), count=OPEN_CONNECTIONS, max_fds=MAX_FDS
    )
    assert faults == []


def test_more_connections_than_descriptors_at_the_status_ports(tmp_path: Path) -> None:
    """Guards against readiness, control and metrics ports that accept without end."""
    faults = _faults_under(
        tmp_path,
        Script(),
        count=OPEN_CONNECTIONS,
        max_fds=MAX_FDS,
        ports=_status_ports,
    )
    assert faults == []


@pytest.mark.parametrize("kind", STATUS_CROWDS)
def test_endless_requests_at_the_status_ports(tmp_path: Path, kind: str) -> None:
    """Guards against readiness, control and metrics ports that keep what they read."""
    script = STATUS_CROWDS[kind]
    faults = _faults_under(tmp_path, script, count=STATUS_CLIENTS, ports=_status_ports)
    assert faults == []


def test_answers_of_the_metrics_port_that_nobody_reads(tmp_path: Path) -> None:
    """Guards against answers with a host's state that are written ahead."""
    request = b"GET /state HTTP/1.1\r\nHost: host\r\n\r\n"
    script = Script(block=request * 1000, repeats=UNREAD_STATES // 1000, reads=False)
    faults = _faults_under(tmp_path, script, count=STATUS_CLIENTS, ports=_metrics)
    assert faults == []


@pytest.mark.parametrize("stop", [signal.SIGTERM, signal.SIGKILL], ids=lambda s: s.name)
def test_restart_and_configuration_change(tmp_path: Path, stop: signal.Signals) -> None:
    """Guards against a host that does not come back, or follow, under a crowd."""
    with running_site(tmp_path, host_count=2, memory_mb=MEMORY_MB) as site:
        targets = [address for host in site.hosts for address in _front(host)]
        script = attrs.evolve(DECLARED_LENGTH, connections=RECONNECTIONS)
        with running_crowd(targets, script, count=2 * STALLED_UPLOADS) as crowd:
            site.add_config_version()
            site.hosts[0].stop(stop)
            site.start_host(site.hosts[0])
            newest = site.add_config_version()
            # The clients come back to the restarted host before they stop sending.
            new_caller_status(site.hosts[0])
            crowd.wait()
            assert site.faults(MEMORY_MB, newest) == []


def test_kept_connections_through_a_crowd(tmp_path: Path) -> None:
    """Guards against a crowd that costs ordinary callers their connections."""
    with running_site(tmp_path, memory_mb=MEMORY_MB) as site:
        (host,) = site.hosts
        callers = [Caller(host) for _ in range(KEPT_CALLERS)]
        statuses = [ordinary_status(caller) for caller in callers]
        with running_crowd(
            _front(host), DECLARED_LENGTH, count=STALLED_UPLOADS
        ) as crowd:
            for _ in range(KEPT_ROUNDS):
                statuses += [ordinary_status(caller) for caller in callers]
            crowd.wait()
            faults = site.faults(MEMORY_MB)
            statuses += [ordinary_status(caller) for caller in callers]
        for caller in callers:
            caller.close()
        assert (faults, set(statuses)) == ([], {200})
