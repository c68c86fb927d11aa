"""Tests of the state exchange between hosts, over real sockets."""

import asyncio
import socket

import attrs
import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from persimmonwell.core.forwarding import (
    MAX_SHARED_REPORTS,
    MAX_SHARED_TOKENS,
    MAX_SHARED_WORKSPACES,
    LeavingNotice,
    MemoryReport,
    PeerStatus,
    RegistryChanges,
    RegistryRecord,
    ReplicaLoad,
    StoreVersions,
    WorkspaceTokens,
)
from persimmonwell.core.resources import MemoryBudget
from persimmonwell.core.retry import (
    CauseEvidence,
    CauseQuarantine,
    CrashCandidate,
    request_cause,
)
from persimmonwell.gateway._peer_datagrams import (
    MAX_LOAD_VALIDITY_S,
    MAX_PEERS,
    MAX_READ_CAUSES,
    MAX_READ_CHANGES,
    MAX_READ_DIGESTS,
    MAX_READ_LOADS,
    MAX_READ_NAME_CHARACTERS,
    MAX_READ_REPLICAS,
    SEND_INTERVAL_S,
    LocalState,
    PeerDatagrams,
    PeerReport,
    _PeerEntry,
)
from standins.platform_config import free_port
from tests.core.forwarding.fleets import desk_replica, staged_replica

Reports = dict[str, PeerReport]
LOADS = {"i-1": ReplicaLoad(2, 900)}
CHANGES = RegistryChanges(
    after_offset=80,
    end_offset=91,
    records=(
        RegistryRecord("i-1", 85, staged_replica("i-1", "za", 0, 4)),
        RegistryRecord("i-2", 88, attrs.evolve(desk_replica("i-2"), is_draining=True)),
        RegistryRecord("i-3", 90, None),
    ),
)
EVIDENCE = CauseEvidence(
    *("p-1", 1, 0, 0.25, ((7, 0.5), (8, 0.125))),
    late=frozenset({1}),
    separate=frozenset({0}),
    is_quarantined=True,
)
MEMORY = MemoryReport("i-6", 5000, 0.5)
USAGE = WorkspaceTokens("desk", (0, 1), "team 1", 900, 0.25)
STORE_VERSIONS = StoreVersions(config_version=4, registry_offset=88)


class _Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def peer(
    name: str,
    ip: str,
    port: int,
    clock: _Clock,
    *seeds: str,
    zone: str = "za",
    usage: tuple[WorkspaceTokens, ...] = (USAGE,),
) -> tuple[PeerDatagrams, Reports]:
    reports: Reports = {}
    state = LocalState(
        loads=LOADS,
        lost=frozenset({"i-9"}),
        slow={"i-7": 4.0},
        reads_store=False,
        holds_duty=True,
        is_reader=True,
        store_versions=STORE_VERSIONS,
        refused=("d2",),
        registry_changes=CHANGES,
        cause_evidence=(EVIDENCE,),
        usage=usage,
        memory=(MEMORY,),
    )
    datagrams = PeerDatagrams(
        host_id=name,
        availability_zone=zone,
        local_address=(ip, port),
        seeds=frozenset(seeds),
        local_state=lambda: state,
        on_report=lambda report: reports.update({report.host_id: report}),
        clock=clock,
    )
    return datagrams, reports


def report_of(name: str) -> PeerReport:
    status = PeerStatus(
        host_id=name,
        availability_zone="za",
        reads_store=False,
        holds_duty=True,
        is_reader=True,
        store_versions=STORE_VERSIONS,
    )
    return PeerReport(
        *(status, LOADS, ("i-9",), {"i-7": 4.0}, ("d2",), 0.625, CHANGES),
        cause_evidence=(EVIDENCE,),
        usage=(USAGE,),
        memory=(MEMORY,),
    )


async def exchange(*peers: tuple[PeerDatagrams, str], port: int, rounds: int) -> None:
    loop = asyncio.get_running_loop()
    transports = []
    for datagrams, ip in peers:
        transport, _ = await loop.create_datagram_endpoint(
            lambda datagrams=datagrams: datagrams,  # type: ignore[misc]
            local_addr=(ip, port),
        )
        transports.append(transport)
    for _ in range(rounds):
        for datagrams, _ in peers:
            datagrams.send()
        await asyncio.sleep(0.05)
    for transport in transports:
        transport.close()
    await asyncio.sleep(0)


@pytest.fixture
def clock() -> _Clock:
    """Return a clock that the test sets."""
    return _Clock()


def test_peers_exchange_their_state(clock: _Clock) -> None:
    """Guards against hosts that overload the same stages, unaware of others' loads.

    The datagram transport fails a check of its type; with such a check in
    connection_made no host sent anything.
    """
    port = free_port()
    one, reports_of_one = peer("h1", "127.0.0.1", port, clock)
    two, reports_of_two = peer("h2", "127.0.0.2", port, clock, "127.0.0.1")
    asyncio.run(exchange((one, "127.0.0.1"), (two, "127.0.0.2"), port=port, rounds=3))
    assert reports_of_one == {"h2": report_of("h2")}
    assert reports_of_two == {"h1": report_of("h1")}
    (state,) = one.live_peers
    assert (state.host_id, state.holds_duty, state.reads_store) == ("h2", True, False)
    clock.now_s = 3.0
    assert one.live_peers == ()


def test_peers_are_discovered_through_a_seed(clock: _Clock) -> None:
    """Guards against a replaced host that only the seeds send their state to."""
    port = free_port()
    seed, _ = peer("h1", "127.0.0.1", port, clock)
    two, _ = peer("h2", "127.0.0.2", port, clock, "127.0.0.1")
    three, reports = peer("h3", "127.0.0.3", port, clock, "127.0.0.1")
    hosts = ((seed, "127.0.0.1"), (two, "127.0.0.2"), (three, "127.0.0.3"))
    asyncio.run(exchange(*hosts, port=port, rounds=5))
    assert set(reports) == {"h1", "h2"}


def test_malformed_datagrams_are_ignored(clock: _Clock) -> None:
    """Guards against a malformed datagram that stops the state exchange."""
    one, reports = peer("h1", "127.0.0.1", 1, clock)
    for data in (b"", b"\xff\x00", b"\x93\x01\x02\x03"):
        one.datagram_received(data, ("127.0.0.9", 1))
    assert reports == {}
    assert one.live_peers == ()


def sample_report() -> list[object]:
    """Return the fields of a valid report, in the order of the wire."""
    entry = ["desk", "10.2.0.1:80", "za", 8, False, 5, "l4", [0, 4], False]
    return [
        *("h2", "za", [["i-1", 2, 900]], ["10.1.0.2"], ["i-9"], True, False),
        *({"i-7": 4.0}, 0.25, True, 4, 88, [["d1", "i-3/0"]], ["d2"]),
        [80, 91, [["i-1", 85, entry], ["i-2", 90, None]], 2],
        [["p-1", 1, 0, None, [[7, 0.5]]]],
        2,
        [["i-4", 5, 0.5]],
        [["desk", [0, 1], "team 1", 900, 0.25]],
        [["i-6", 5000, 0.5]],
        [["p-1", 1, 0, 250, [[7, 500], [8, 125]], 2, 1, True]],
        77,
    ]


junk = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers(-(2**63), 2**63) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(st.integers(0, 19), junk)
@example(19, [["i-6", -1, 0.5]])
@example(19, [["i-6", 5000, -0.5]])
@example(19, [["i-6", 5000, float("nan")]])
@example(19, [["i" * 5000, 5000, 0.5]])
@example(19, [["i-6", 5000, 0.5]] * 1000)
@example(2, [["i-1", -1, 900]])
@example(3, ["desk.example"])
@example(7, {"i-7": 1e9})
@example(8, float("inf"))
@example(14, [80, 91, [["i-1\n", 85, None]]])
@example(14, [80, 91, [["i-1", -5, None]]])
@example(14, [80, 91, [["i-1", 85, None]], -1])
@example(16, -1)
@example(17, [["i-4", -1, 0.5]])
@example(17, [["i-4", 5, -0.5]])
@example(18, [["desk", [0, 1], "team 1", -1, 0.25]])
@example(18, [["desk", [0, 1], "team 1", 1 << 40, 0.25]])
@example(18, [["desk", [0, 1], "team 1", 900, -0.25]])
@example(18, [["desk", [0, 1], "team 1", 900, float("nan")]])
@example(18, [["desk", [0, 1 << 60], "team 1", 900, 0.25]])
@example(18, [["desk", [0], "team 1", 900, 0.25]])
@example(18, [["desk", [0, 1], "t" * 200, 900, 0.25]] * 3)
@example(18, [["desk", [0, 1], "team 1", 900, 0.25]] * 1000)
@example(15, [["p-1", 1, 0, -1.0, [[7, 0.5]]]])
@example(15, [["p-1", 1, 0, None, [[7, float("nan")]]]])
def test_report_with_any_wrong_field_does_no_lasting_harm(
    field: int, value: object
) -> None:
    """Guards against a load, a peer or an address that one bad datagram leaves."""
    clock = _Clock()
    one, reports = peer("h1", "127.0.0.1", 1, clock)
    fields = sample_report()
    fields[field] = value
    one.datagram_received(msgspec.msgpack.encode(fields), ("127.0.0.9", 1))
    for report in reports.values():
        assert 0.0 <= report.valid_s <= MAX_LOAD_VALIDITY_S
        assert all(load.requests >= 0 for load in report.loads.values())
        assert all(1.0 <= factor <= 1000.0 for factor in report.slow.values())
        changes = report.registry_changes
        for record in changes.records if changes is not None else ():
            assert record.replica_id.isprintable() and record.offset >= 0
        assert len(report.usage) <= MAX_SHARED_WORKSPACES
        for row in report.usage:
            assert 0 <= row.tokens <= MAX_SHARED_TOKENS and row.age_s >= 0.0
        assert len(report.memory) <= MAX_SHARED_REPORTS
        for memory in report.memory:
            assert len(memory.replica_id) <= MAX_READ_NAME_CHARACTERS
            assert memory.layer_tokens >= 0 and memory.age_s >= 0.0
    for address in one._learned_addresses:
        socket.inet_aton(address)


@pytest.mark.parametrize(
    ("address", "is_valid"),
    [
        *((each, True) for each in ("10.2.0.1:1", "255.9.99.100:65535", "0.0.0.0:80")),
        *((each, False) for each in ("10.2.0.256:80", "10.2.0.1:0", "10.2.0.1:08")),
        *((each, False) for each in ("10.2.0.1:65536", "10.2.0.1:99999", "10.2.0:80")),
        *((each, False) for each in ("10.2.0.1:" + "9" * 5000, "10.2.0.1:8²")),
    ],
)
def test_entry_of_a_peer_names_an_address_that_can_be_connected_to(
    clock: _Clock, address: str, is_valid: bool
) -> None:
    """Guards against requests that wait for a connection which cannot be made."""
    one, reports = peer("h1", "127.0.0.1", 1, clock)
    fields = sample_report()
    entry = ["desk", address, "za", 8, False, 5, "l4", [0, 4], False]
    fields[14] = [80, 91, [["i-1", 85, entry]], 2]
    one.datagram_received(msgspec.msgpack.encode(fields), ("127.0.0.9", 1))
    assert bool(reports) == is_valid


@given(st.binary(max_size=300))
def test_any_bytes_as_a_datagram_are_survived(data: bytes) -> None:
    """Guards against an error that ends the state exchange."""
    one, _ = peer("h1", "127.0.0.1", 1, _Clock())
    one.datagram_received(data, ("127.0.0.9", 1))


def test_forged_datagrams_keep_a_bounded_number_of_peers(clock: _Clock) -> None:
    """Guards against tables that grow with each sender that a datagram claims.

    A peer that goes on reporting is not displaced by those that report once.
    """
    one, _ = peer("h1", "127.0.0.1", 1, clock)
    budget = MemoryBudget()
    one._charge = budget.open_charge("peers")
    real = msgspec.msgpack.encode(sample_report())
    for number in range(2 * MAX_PEERS):
        fields = sample_report()
        fields[0] = f"forged-{number}"
        first = 64 * number
        fields[3] = [
            f"10.{each >> 16 & 255}.{each >> 8 & 255}.{each & 255}"
            for each in range(first, first + 64)
        ]
        sender = f"11.0.{number >> 8}.{number & 255}"
        one.datagram_received(msgspec.msgpack.encode(fields), (sender, 1))
        if number % 1000 == 0:
            one.datagram_received(real, ("127.0.0.9", 1))
    assert len(one._peers) == len(one._learned_addresses) == MAX_PEERS
    sizes = sum(entry.size for entry in one._peers.values())
    assert budget.used_by_purpose["peers"] == sizes > 0
    assert one.address_of("h2") == "127.0.0.9"
    clock.now_s += 1000.0
    one.connection_made(_Network())  # type: ignore[arg-type]
    one.send()
    assert len(one._peers) == 0 and len(one._learned_addresses) <= MAX_PEERS
    assert "peers" not in budget.used_by_purpose


@pytest.mark.parametrize(
    ("field", "value", "kept"),
    [
        (2, [[f"i-{number}", 1, 1] for number in range(5000)], MAX_READ_LOADS),
        (4, [f"i-{number}" for number in range(9000)], MAX_READ_REPLICAS),
        (7, {f"i-{number}": 2.0 for number in range(6000)}, MAX_READ_REPLICAS),
        (13, [f"d-{number}" for number in range(9000)], MAX_READ_DIGESTS),
        (2, [["i" * 1000, 1, 1]], 0),
        (4, ["i" * 60_000], 0),
        (7, {"i" * 60_000: 2.0}, 0),
        (13, ["d" * 60_000], 0),
        (
            20,
            [[f"c{row}", 1, 0, None, [], 0, 0, False] for row in range(999)],
            MAX_READ_CAUSES,
        ),
    ],
)
def test_what_one_report_can_hold_is_bounded(
    clock: _Clock, field: int, value: list[object], kept: int
) -> None:
    """Guards against lists and names that one datagram leaves in the tables."""
    one, reports = peer("h1", "127.0.0.1", 1, clock)
    fields = sample_report()
    fields[field] = value
    one.datagram_received(msgspec.msgpack.encode(fields), ("127.0.0.9", 1))
    names = {2: "loads", 4: "lost", 7: "slow", 13: "refused", 20: "cause_evidence"}
    assert len(getattr(reports["h2"], names[field])) == kept


@pytest.mark.parametrize("field", [0, 1])
def test_report_of_a_host_with_a_long_name_is_ignored(
    clock: _Clock, field: int
) -> None:
    """Guards against names of hosts and zones that fill the memory."""
    one, reports = peer("h1", "127.0.0.1", 1, clock)
    fields = sample_report()
    fields[field] = "h" * 1000
    one.datagram_received(msgspec.msgpack.encode(fields), ("127.0.0.9", 1))
    assert not reports and not one._peers


def test_report_with_too_many_changes_counts_as_one_without(clock: _Clock) -> None:
    """Guards against a registry that one datagram fills."""
    one, reports = peer("h1", "127.0.0.1", 1, clock)
    fields = sample_report()
    rows = [[f"i-{number}", 85, None] for number in range(MAX_READ_CHANGES + 1)]
    fields[14] = [80, 91, rows, 2]
    one.datagram_received(msgspec.msgpack.encode(fields), ("127.0.0.9", 1))
    assert reports["h2"].registry_changes is None
    assert reports["h2"].loads == LOADS


def test_datagrams_per_send_are_limited_in_a_large_fleet(clock: _Clock) -> None:
    """Guards against control traffic that grows with the square of the host count.

    35 hosts that each sent their state to all others four times a second spent most
    of their processor time on it.
    """
    one, _ = peer("h1", "10.0.0.1", 7000, clock)
    sent: list[str] = []

    class _Transport:
        def is_closing(self) -> bool:
            return False

        def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
            sent.append(addr[0])

    one._transport = _Transport()  # type: ignore[assignment]
    one._learned_addresses = {f"10.0.1.{number}": 0.0 for number in range(200)}
    for _ in range(100):
        sent.clear()
        one.send()
        assert len(sent) <= 6
    reached_addresses = set()
    for _ in range(100):
        sent.clear()
        one.send()
        reached_addresses |= set(sent)
    assert reached_addresses == set(one._learned_addresses)


@pytest.mark.parametrize(("host_count", "sent_count"), [(10, 30), (21, 63), (70, 70)])
def test_datagrams_of_a_notice_are_limited_in_a_large_zone(
    clock: _Clock, host_count: int, sent_count: int
) -> None:
    """Guards against a reader whose link is full with the changes that it relays."""
    one, _ = peer("h1", "10.0.0.1", 7000, clock)
    sent: list[bytes] = []

    class _Transport:
        def is_closing(self) -> bool:
            return False

        def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
            sent.append(data)

    one._transport = _Transport()  # type: ignore[assignment]
    one._peers = {
        f"10.0.1.{number}": _PeerEntry(report_of(f"h{number}").status, 0.0, 9.0, 100)
        for number in range(host_count)
    }
    one.send_to_zone([CHANGES] * 3)
    assert len(sent) == sent_count


def test_hosts_of_two_builds_understand_each_other(clock: _Clock) -> None:
    """Guards against two builds that do not hear each other in a rolling upgrade."""
    one, reports = peer("h1", "127.0.0.1", 1, clock)
    earlier_report = sample_report()[:14]
    one.datagram_received(msgspec.msgpack.encode(earlier_report), ("127.0.0.9", 1))
    assert reports["h2"].registry_changes is None
    assert reports["h2"].cause_evidence == () and reports["h2"].leaving == ()
    assert reports["h2"].usage == () and reports["h2"].memory == ()
    later_report = [*sample_report(), {"a": "field of a later build"}]
    one.datagram_received(msgspec.msgpack.encode(later_report), ("127.0.0.9", 1))
    assert reports["h2"].registry_changes is not None
    assert reports["h2"].cause_evidence == (EVIDENCE,)
    assert reports["h2"].leaving == (LeavingNotice(("i-4", 5), 0.5),)
    assert reports["h2"].usage == (USAGE,)
    assert reports["h2"].memory == (MEMORY,)


@pytest.mark.parametrize(
    "row",
    [
        attrs.evolve(USAGE, workspace="t" * 300),
        attrs.evolve(USAGE, workspace="\ud800"),
        attrs.evolve(USAGE, priority_class=(0, 1 << 60)),
    ],
)
def test_a_tenant_that_does_not_fit_the_message_is_left_out(
    clock: _Clock, row: WorkspaceTokens
) -> None:
    """Guards against a name of the configuration that silences the whole fleet."""
    network = _Network()
    large = attrs.evolve(USAGE, tokens=1e12)
    one, _ = peer("h1", "127.0.0.1", 1, clock, "127.0.0.2", usage=(row, large))
    two, reports = peer("h2", "127.0.0.2", 1, clock)
    network.hosts, network.sender = {"127.0.0.2": two}, "127.0.0.1"
    one.connection_made(network)  # type: ignore[arg-type]
    one.send()
    assert reports["h1"].usage == (attrs.evolve(USAGE, tokens=MAX_SHARED_TOKENS),)


class _Network:
    """Delivers datagrams between hosts in memory, as their transport."""

    def __init__(self) -> None:
        self.hosts: dict[str, PeerDatagrams] = {}
        self.sender = ""
        self.sent_bytes = 0

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        self.sent_bytes += len(data)
        if addr[0] in self.hosts:
            self.hosts[addr[0]].datagram_received(data, (self.sender, 1))


@pytest.mark.parametrize("host_count", [4, 30, 78, 130])
def test_all_hosts_of_a_fleet_learn_of_each_other(
    clock: _Clock, host_count: int
) -> None:
    """Guards against hosts that share a zone and never hear each other.

    At 78 hosts the last 14 by address were not in any peer's list. They did not know of
    each other's loads, and each of them read the store for its zone.
    """
    network = _Network()
    for number in range(host_count):
        zone = number * 5 // host_count
        ip = f"10.{zone + 1}.0.{number + 1}"
        datagrams, _ = peer(f"h{number:03}", ip, 1, clock, "10.1.0.1", zone=f"z{zone}")
        datagrams.connection_made(network)  # type: ignore[arg-type]
        network.hosts[ip] = datagrams
    for _ in range(60):  # 15 s, the time before traffic starts
        for ip, datagrams in network.hosts.items():
            network.sender = ip
            datagrams.send()
        clock.now_s += SEND_INTERVAL_S
    for ip, datagrams in network.hosts.items():
        zone_peers = {each for each in network.hosts if each[:5] == ip[:5]} - {ip}
        assert datagrams._zone_addresses() == zone_peers
        known = datagrams._learned_addresses.keys() | datagrams._peers.keys() | {ip}
        assert set(network.hosts) <= known
        live_of_zone = [
            status
            for status in datagrams.live_peers
            if status.availability_zone == datagrams._availability_zone
        ]
        assert len(live_of_zone) == len(zone_peers)


class _Fleet:
    """Hosts that exchange evidence about causes of crashes in memory."""

    def __init__(self, clock: _Clock, host_count: int) -> None:
        self.network = _Network()
        self.causes: dict[str, CauseQuarantine] = {}
        self.clock = clock
        for number in range(host_count):
            self.add(number, number * 5 // host_count)

    def add(self, number: int, zone: int) -> CauseQuarantine:
        """Start a host and return its quarantine."""
        clock, ip = self.clock, f"10.{zone + 1}.{number // 200}.{number % 200 + 1}"
        datagrams, _ = peer(f"h{number:03}", ip, 1, clock, "10.1.0.1", zone=f"z{zone}")
        datagrams.connection_made(self.network)  # type: ignore[arg-type]
        self.network.hosts[ip] = datagrams
        own = self.causes[ip] = CauseQuarantine()
        empty = attrs.evolve(
            datagrams._local_state(), loads={}, registry_changes=None, cause_evidence=()
        )
        datagrams._local_state = lambda: attrs.evolve(
            empty,
            cause_evidence=own.changed_evidence(clock.now_s),
            repeated_evidence=own.unchanged_evidence(clock.now_s),
            quarantine_mark=own.mark,
        )
        datagrams._on_report = lambda report: [
            own.record_peer_evidence(evidence, clock.now_s)
            for evidence in report.cause_evidence
        ]
        return own

    def run(self, seconds: float) -> int:
        """Let all hosts send for a time and return how many bytes they sent."""
        self.network.sent_bytes = 0
        for _ in range(int(seconds / SEND_INTERVAL_S)):
            for ip, datagrams in self.network.hosts.items():
                self.network.sender = ip
                datagrams.send()
            self.clock.now_s += SEND_INTERVAL_S
        return self.network.sent_bytes


DEADLY = [CrashCandidate(("root", "dead"))]
REQUEST = [CrashCandidate((), "bad", is_starting=False)]
BAD = request_cause("bad")


@pytest.mark.parametrize("host_count", [4, 78, 340])
def test_all_hosts_of_a_fleet_refuse_a_part_before_it_crashes_more_replicas(
    clock: _Clock, host_count: int
) -> None:
    """Guards against evidence that only the hosts in touch with its source hear."""
    fleet = _Fleet(clock, host_count)
    fleet.run(6.0)
    first, *_, last = fleet.causes.values()
    first.record_crash("i-1/1", DEADLY, clock.now_s - 1.0)
    last.record_crash("i-2/1", DEADLY, clock.now_s)
    fleet.run(3.0)
    assert all(own.quarantined == {"dead"} for own in fleet.causes.values())


@pytest.mark.parametrize("host_count", [4, 78])
def test_host_that_starts_late_learns_which_requests_are_refused(
    clock: _Clock, host_count: int
) -> None:
    """Guards against a restarted host that lets a request crash replicas; review/13.

    Crashes by requests were repeated for 10 s, however long the quarantine lasted.
    """
    fleet = _Fleet(clock, host_count)
    fleet.run(6.0)
    for number, own in enumerate(list(fleet.causes.values())[:3]):
        own.record_crash(f"i-{number}/1", REQUEST, clock.now_s - 3.0 + number)
    fleet.run(15.0)
    late = fleet.add(host_count, 0)
    fleet.run(1.0)
    assert late.quarantined == {BAD}


def test_quarantine_outlasts_a_restart_of_all_hosts_in_series(clock: _Clock) -> None:
    """Guards against evidence that is lost with the last host that saw the crashes."""
    fleet = _Fleet(clock, 4)
    fleet.run(3.0)
    for number in range(3):
        fleet.causes["10.1.0.1"].record_crash(f"i-{number}/1", REQUEST, number)
    fleet.run(1.0)
    for number in (0, 1, 2, 3, 0, 1, 2, 3):
        del fleet.network.hosts[f"10.{number * 5 // 4 + 1}.0.{number + 1}"]
        fleet.run(1.0)
        fleet.add(number, number * 5 // 4)
        fleet.run(1.0)
    assert all(own.quarantined == {BAD} for own in fleet.causes.values())


def test_host_that_was_cut_off_learns_that_a_request_is_harmless(clock: _Clock) -> None:
    """Guards against a quarantine that comes back from a host that missed its end."""
    fleet = _Fleet(clock, 4)
    fleet.run(3.0)
    for number in range(3):
        fleet.causes["10.1.0.1"].record_crash(f"i-{number}/1", REQUEST, number)
    fleet.run(3.0)
    cut_off = fleet.network.hosts.pop("10.4.0.4")
    fleet.causes["10.1.0.1"].record_answer((BAD,), clock.now_s)
    fleet.run(15.0)
    assert fleet.causes["10.4.0.4"].quarantined == {BAD}
    fleet.network.hosts["10.4.0.4"] = cut_off
    fleet.run(3.0)
    assert not any(own.quarantined for own in fleet.causes.values())


def test_known_quarantine_costs_the_fleet_nothing(clock: _Clock) -> None:
    """Guards against evidence that all hosts repeat for as long as a request comes."""
    sent_bytes = {}
    for is_known in (False, True):
        fleet = _Fleet(clock, 78)
        fleet.run(4.0)
        for number, own in enumerate(list(fleet.causes.values())[: 3 * is_known]):
            own.record_crash(f"i-{number}/1", REQUEST, clock.now_s - 3.0 + number)
        fleet.run(16.0)
        assert all(bool(own.quarantined) is is_known for own in fleet.causes.values())
        sent_bytes[is_known] = fleet.run(4.0)
    datagrams = 78 * 6 * 4.0 / SEND_INTERVAL_S
    mark_bytes = 4
    assert sent_bytes[True] - sent_bytes[False] <= mark_bytes * datagrams
