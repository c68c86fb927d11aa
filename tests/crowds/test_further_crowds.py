"""Gateway processes under further kinds of clients that respect no limits.

Sizes and bounds are fixed. As in test_crowds, each test checks that the process lives,
that its memory and descriptors stay within the settings, and that an ordinary request
is answered while the crowd's connections are open. The memory includes the bytes that
the kernel keeps for the process.
"""

import socket
from collections.abc import Sequence
from pathlib import Path

import msgspec

from persimmonwell.gateway._peer_datagrams import MAX_READ_NAME_CHARACTERS
from persimmonwell.gateway._peer_messages import Load, Report
from standins.crowd import SOURCES, Script, request_head, running_crowd
from tests.crowds.site import (
    CALLER_LIMITS,
    DEPLOYED_FDS,
    new_caller_status,
    running_site,
)

MIB = 1024 * 1024
MEMORY_MB = 100
"""Memory limit of the hosts, as in test_crowds."""
DEPLOYED_MB = 200
"""Memory limit of the newest deployments."""
MAX_FDS = 1100
CONNECTIONS = 300
"""Connections of callers that a host with MAX_FDS permits."""
DEPLOYED_CONNECTIONS = 1800
"""The same for a host with DEPLOYED_FDS."""
BODY_BYTES = CALLER_LIMITS["max_body_bytes"]
HEAD_BYTES = CALLER_LIMITS["max_header_bytes"] - 300
"""Size of a head that is just within the limit. Its 3,200 headers take 16 to 32 times
its bytes as objects."""
REFUSED_CLIENTS = 60
REFUSED_CONNECTIONS = 40
"""Connections of one client whose requests are refused: 2,400 of all clients."""
ADDRESSES = tuple(f"127.0.0.{number}" for number in range(2, 62))
"""Their clients have 236 MB of bodies, and each address less than its share."""
STALLED_BYTES = BODY_BYTES - 65_536
SMALL_BODY_BYTES = 60_000
"""A body that may use the reserved part of the budget; those of all permitted
connections have 18 MB, as much as the whole budget."""
ANSWER_BYTES = 200_000
"""Size of an answer that a host forwards as a whole; those of all permitted connections
have 60 MB."""
SLOW_READ_S = 0.2
"""Time between two reads of one byte: no stall in the sense of the host."""
PIPELINED = 12
REQUEST_IDS = 200
"""Requests of one client whose ids fill their heads: 94 MB of all clients."""
LONG_ID_CLIENTS = 30
FORGED_HOSTS = 2000
FORGED_LOADS = 150
"""Loads in one datagram of 48 KB, of 300,000 in all datagrams."""
DATAGRAMS_AT_ONCE = 4
"""Datagrams that the kernel surely keeps for a process that does not read them yet."""

HEAD = request_head("/look/crowd")[:-2]
WAITING_HEAD = request_head("/wait/crowd")[:-2]
FILLER = b"x" * 65_536
SHORT_HEADER = b"a:b\r\n"


def _fill(head: bytes, size: int = HEAD_BYTES) -> bytes:
    """Return a head with short headers up to a size."""
    return head + SHORT_HEADER * ((size - len(head) - 2) // len(SHORT_HEADER))


def _announced(head: bytes, length: int, *headers: bytes) -> bytes:
    lines = (b"Content-Length: %d" % length, *headers)
    return head + b"\r\n".join((*lines, b"", b""))


def _refused(data: bytes) -> Script:
    return Script(data, FILLER, 4, connections=REFUSED_CONNECTIONS)


LONG_HEAD = Script(_fill(HEAD), connections=2)
QUEUED_LONG_HEAD = Script(_fill(WAITING_HEAD) + b"\r\n")
QUEUED_BODY = Script(_announced(WAITING_HEAD, SMALL_BODY_BYTES) + b"x" * 60_000)
QUEUED_UPLOAD = Script(_announced(WAITING_HEAD, BODY_BYTES), FILLER, BODY_BYTES >> 16)
STALLED_UPLOAD = Script(
    _announced(HEAD, BODY_BYTES), FILLER, STALLED_BYTES // len(FILLER)
)
SLOW_READER = Script(
    (HEAD + b"\r\n") * PIPELINED, read_bytes=1, read_pause_s=SLOW_READ_S
)
NO_READER = Script((HEAD + b"\r\n") * PIPELINED, reads=False)
BLOCKED_PIPELINE = Script((WAITING_HEAD + b"\r\n") * PIPELINED, FILLER, 64, reads=False)
EXPECTING = b"Expect: 100-continue"
CHUNKED = b"Transfer-Encoding: chunked"
REFUSED = (
    _refused(_announced(HEAD, BODY_BYTES, CHUNKED)),
    _refused(HEAD + CHUNKED + b"\r\n" + _announced(b"", BODY_BYTES)),
    _refused(HEAD + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"),
    _refused(b"CONNECT desk.example:443 HTTP/1.1\r\nHost: desk.example\r\n\r\n"),
    _refused(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(512)),
    _refused(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9)),
)


def _faults_under(
    folder: Path,
    *scripts: Script,
    count: int,
    memory_mb: int = MEMORY_MB,
    max_fds: int = MAX_FDS,
    sources: Sequence[str] = SOURCES,
    **replica_faults: object,
) -> list[str]:
    """Run one host under a crowd; return in which respects it did not withstand it."""
    with running_site(folder, memory_mb=memory_mb, max_fds=max_fds) as site:
        (host,) = site.hosts
        site.replica.faults.update(replica_faults)
        target = (host.ip, host.ports["front"])
        with running_crowd([target], *scripts, count=count, sources=sources) as crowd:
            crowd.wait()
            kernel_bytes = [site.kernel_bytes()]
            site.wait_settled()
            kernel_bytes.append(site.kernel_bytes())
            # An ordinary caller gets an answer of an ordinary size.
            site.replica.faults.clear()
            faults = site.faults(memory_mb)
            kernel_mb = max(*kernel_bytes, site.kernel_bytes()) / MIB
            total_mb = kernel_mb + site.watches[host.ip].peak_mb
            print(f"{total_mb:.0f} MB with {kernel_mb:.0f} MB in the kernel")
            if total_mb > memory_mb:
                faults.append(f"{total_mb:.0f} MB, {kernel_mb:.0f} MB in the kernel")
            return faults


def test_heads_below_the_limit_on_every_connection(tmp_path: Path) -> None:
    """Guards against heads whose headers take many times their bytes as objects."""
    scripts = (LONG_HEAD, QUEUED_LONG_HEAD)
    assert _faults_under(tmp_path, *scripts, count=CONNECTIONS) == []


def test_a_new_connection_for_each_refused_request(tmp_path: Path) -> None:
    """Guards against what remains of connections whose requests are no valid HTTP/1.1.

    Among them are two lengths in one head, other protocols and tunnels.
    """
    assert _faults_under(tmp_path, *REFUSED, count=REFUSED_CLIENTS) == []


def test_announced_bodies_that_never_arrive(tmp_path: Path) -> None:
    """Guards against memory that is reserved for bodies whose clients only ask."""
    scripts = [
        Script(_announced(HEAD, length, EXPECTING))
        for length in (BODY_BYTES, SMALL_BODY_BYTES)
    ]
    assert _faults_under(tmp_path, *scripts, count=CONNECTIONS) == []


def test_many_addresses_below_the_share_of_one(tmp_path: Path) -> None:
    """Guards against bounds that hold only for each address."""
    faults = _faults_under(
        tmp_path, STALLED_UPLOAD, count=len(ADDRESSES), sources=ADDRESSES
    )
    assert faults == []


def test_answers_that_are_read_byte_by_byte(tmp_path: Path) -> None:
    """Guards against clients that keep large answers in memory without stalling.

    They also hold every connection that a host permits.
    """
    faults = _faults_under(
        tmp_path, SLOW_READER, count=CONNECTIONS, pad_bytes=ANSWER_BYTES
    )
    assert faults == []


def test_endless_answers_that_nobody_reads(tmp_path: Path) -> None:
    """Guards against answers of replicas that are read further than callers read."""
    faults = _faults_under(tmp_path, NO_READER, count=CONNECTIONS, flood="body")
    assert faults == []


def test_bodies_in_the_queue_of_a_service_without_replicas(tmp_path: Path) -> None:
    """Guards against requests with bodies that wait in a queue without a bound."""
    scripts = (QUEUED_BODY, QUEUED_BODY, QUEUED_UPLOAD)
    assert _faults_under(tmp_path, *scripts, count=CONNECTIONS) == []


def test_long_request_ids(tmp_path: Path) -> None:
    """Guards against log lines and records that keep what clients name themselves."""
    line = b"Request-Id: " + b"i" * (HEAD_BYTES - 400) + b"\r\n\r\n"
    request = HEAD.replace(b"Request-Id: crowd\r\n", line[:-2])
    script = Script(block=request + b"\r\n", repeats=REQUEST_IDS)
    assert _faults_under(tmp_path, script, count=LONG_ID_CLIENTS) == []


def test_three_kinds_on_a_small_host_with_many_connections(tmp_path: Path) -> None:
    """Guards against bounds that hold on hosts with fewer connections alone."""
    scripts = (SLOW_READER, QUEUED_BODY, LONG_HEAD)
    faults = _faults_under(
        tmp_path,
        *scripts,
        count=DEPLOYED_CONNECTIONS,
        memory_mb=DEPLOYED_MB,
        max_fds=DEPLOYED_FDS,
        pad_bytes=ANSWER_BYTES,
    )
    assert faults == []


def test_bytes_that_the_kernel_keeps(tmp_path: Path) -> None:
    """Guards against socket buffers, which count as memory of a host's process.

    Half of the clients send behind requests that wait, and half read no answers.
    """
    faults = _faults_under(
        tmp_path,
        BLOCKED_PIPELINE,
        NO_READER,
        count=DEPLOYED_CONNECTIONS,
        memory_mb=DEPLOYED_MB,
        max_fds=DEPLOYED_FDS,
        flood="body",
    )
    assert faults == []


def _forged_report(number: int) -> bytes:
    """Return a datagram of a host that does not exist, with the longest names."""
    names = (f"{number}-{each}-" for each in range(FORGED_LOADS))
    fill = MAX_READ_NAME_CHARACTERS
    report = Report(
        host_id=f"forged-{number}",
        availability_zone="za",
        loads=[Load(name.ljust(fill, "n"), 1, 1) for name in names],
        peers=[],
        lost=[],
        reads_store=False,
        holds_duty=False,
        slow={},
        interval_s=100.0,
        is_reader=False,
        config_version=0,
        registry_offset=-1,
        blames=[],
        refused=[],
    )
    return msgspec.msgpack.encode(report)


def test_datagrams_of_forged_hosts(tmp_path: Path) -> None:
    """Guards against tables of peers whose entries are bounded in number alone."""
    with running_site(tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS) as site:
        (host,) = site.hosts
        for number in range(FORGED_HOSTS):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.bind((f"127.1.{number // 250}.{number % 250 + 1}", 0))
                sender.sendto(_forged_report(number), (host.ip, host.ports["peers"]))
            if number % DATAGRAMS_AT_ONCE == 0:
                assert new_caller_status(host) == 200
        assert site.faults(MEMORY_MB) == []
