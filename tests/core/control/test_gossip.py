"""Check what hosts tell each other beyond the configuration."""

from collections.abc import Callable
from typing import Any

import pytest

from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core._types import LayerRange, Upstream
from persimmonwell.core.config import LogRecord
from persimmonwell.core.control import (
    CONFIG_STREAM,
    QUARANTINE_STREAM,
    AppendRecords,
    BlameAnnounced,
    Control,
    ControlDecision,
    ControlEvent,
    ControlTick,
    HostListRead,
    InflightObserved,
    LearnBlame,
    LearnInflight,
    PeerMessageReceived,
    QuarantineClearRequested,
    RecordsRead,
    ReleaseDigest,
    SendToPeer,
    UpdateFleet,
)
from persimmonwell.core.membership import Heartbeat, HostVersion
from persimmonwell.core.router import InflightCount


class Mesh:
    """Hold control states that exchange messages in rounds."""

    def __init__(self, count: int, zones: int) -> None:
        self.now_s = 0.0
        self.entries = tuple(
            EntryHost(f"h{n:03}", f"10.0.0.{n}:1", f"z{n % zones}")
            for n in range(count)
        )
        self.hosts = {
            e.host_id: Control(
                host_id=e.host_id,
                availability_zone=e.availability_zone,
                address=e.address,
                incarnation=1,
            )
            for e in self.entries
        }
        self.lost: set[str] = set()
        self.decisions: dict[str, list[ControlDecision]] = {h: [] for h in self.hosts}
        self.waiting: list[SendToPeer] = []
        for host_id in self.hosts:
            self.tell(host_id, HostListRead(self.list_of(leaving=False)))
            self.tell(host_id, RecordsRead(CONFIG_STREAM, 0, 0, ()))

    def list_of(self, *, leaving: bool) -> HostList:
        upstream = Upstream("u1", "10.1.0.1:1", "z0", "m", LayerRange(0, 8))
        gone = Upstream(
            "u2", "10.1.0.2:1", "z0", "m", LayerRange(0, 8), leaving=leaving
        )
        return HostList(0.0, (upstream, gone), (), self.entries)

    def tell(self, host_id: str, event: ControlEvent) -> None:
        if host_id in self.lost:
            return
        for decision in self.hosts[host_id].handle(event, self.now_s):
            if isinstance(decision, SendToPeer):
                self.waiting.append(decision)
            else:
                self.decisions[host_id].append(decision)

    def round(self, seconds: float = 0.05) -> None:
        self.now_s += seconds
        for host_id in self.hosts:
            self.tell(host_id, ControlTick())
        sent, self.waiting = self.waiting, []
        for send in sent:
            self.tell(send.host_id, PeerMessageReceived(send.message))

    def seconds_until(
        self, check: Callable[[], bool], limit_s: float, step_s: float = 0.05
    ) -> float:
        began_s = self.now_s
        while not check():
            self.round(step_s)
            assert self.now_s - began_s <= limit_s
        return self.now_s - began_s

    def latest(self, kind: type[Any]) -> dict[str, Any]:
        return {
            h: [d for d in made if isinstance(d, kind)][-1]
            for h, made in self.decisions.items()
            if any(isinstance(d, kind) for d in made)
        }


@pytest.mark.parametrize(("count", "zones"), [(4, 3), (40, 6), (120, 6)])
def test_leaving_reaches_every_host_in_time(count: int, zones: int) -> None:
    """Guards against new work for a leaving upstream after 3 s."""
    mesh = Mesh(count, zones)
    for _ in range(60):
        mesh.round()
    mesh.tell("h001", HostListRead(mesh.list_of(leaving=True)))

    def known() -> bool:
        fleets: list[UpdateFleet] = [*mesh.latest(UpdateFleet).values()]
        return len(fleets) == count and all(f.upstreams[1].leaving for f in fleets)

    assert mesh.seconds_until(known, 3.0) <= 3.0


def test_versions_of_all_hosts_become_known_everywhere() -> None:
    """Guards against a tool that cannot tell whether all hosts follow."""
    mesh = Mesh(40, 6)

    def known() -> bool:
        expected = {h: 0 for h in mesh.hosts}
        return all(
            {v.host_id: v.version for v in c.host_versions} == expected
            for c in mesh.hosts.values()
        )

    mesh.seconds_until(known, 60.0, step_s=0.25)
    mesh.lost.add("h005")
    for host_id, control in mesh.hosts.items():
        entries = tuple(e for e in mesh.entries if e.host_id != "h005")
        mesh.tell(host_id, HostListRead(HostList(0.0, entry_hosts=entries)))
        assert control.host_versions
    for _ in range(140):
        mesh.round(0.5)
    kept = [c for h, c in mesh.hosts.items() if h != "h005"]
    assert not any("h005" in {v.host_id for v in c.host_versions} for c in kept)


def test_silent_peers_are_replaced_and_their_readers_too() -> None:
    """Guards against a host whose chosen peers all vanished."""
    mesh = Mesh(12, 2)
    control = mesh.hosts["h000"]
    for _ in range(40):
        mesh.round(0.2)
    mesh.lost = {p.host_id for p in control.peers}
    for _ in range(60):
        mesh.round(0.2)
    assert mesh.lost.isdisjoint({p.host_id for p in control.peers})


def test_reading_is_left_to_few_hosts_of_a_zone() -> None:
    """Guards against a log read by every host, and by none in silence."""
    mesh = Mesh(24, 2)
    for _ in range(60):
        mesh.round()
    pauses = [c.read_pause_s(CONFIG_STREAM, mesh.now_s) for c in mesh.hosts.values()]
    assert (pauses.count(0.0), max(pauses)) == (4, 4.0)
    late_s = mesh.now_s + 3.5
    silent = [c.read_pause_s(CONFIG_STREAM, late_s) for c in mesh.hosts.values()]
    assert silent == [0.0] * 24
    fresh = Control(host_id="x", availability_zone="z0")
    assert fresh.read_pause_s(CONFIG_STREAM, 0.0) == 0.0


def test_blame_spreads_by_heartbeat_and_log_and_is_cleared() -> None:
    """Guards against a crashing request that other hosts still dispatch."""
    mesh = Mesh(12, 3)
    for _ in range(40):
        mesh.round()
    mesh.tell("h003", BlameAnnounced("d", "u1"))
    mesh.seconds_until(lambda: len(mesh.latest(LearnBlame)) == 11, 2.0)
    append = mesh.latest(AppendRecords)["h003"]
    assert (append.stream, append.records[0]["digest"]) == (QUARANTINE_STREAM, "d")
    mesh.tell("h007", QuarantineClearRequested("d"))
    mesh.seconds_until(lambda: len(mesh.latest(ReleaseDigest)) == 12, 2.0)
    log = [append.records[0], mesh.latest(AppendRecords)["h007"].records[0]]
    again = {"type": "blame", "schema": 1, "id": "n", "digest": "d", "upstream_id": "u"}
    odd = [{"type": "blame"}, {"type": "blame", "schema": 1, "digest": 7}, {}]
    records = tuple(LogRecord(n, r) for n, r in enumerate([*log, *odd, again]))
    fresh = Control(host_id="x", availability_zone="z0")
    for control in (fresh, mesh.hosts["h001"], mesh.hosts["h003"]):
        control.handle(RecordsRead(QUARANTINE_STREAM, 0, 6, records), mesh.now_s)
        assert control.blamed == (("d", ("u",)),)
        assert control.read_offset(QUARANTINE_STREAM) == 6


def test_heartbeat_carries_the_busiest_upstreams_only() -> None:
    """Guards against a heartbeat that grows with the fleet."""
    mesh = Mesh(2, 1)
    counts = tuple(InflightCount(f"u{n}", n) for n in range(50))
    mesh.tell("h000", InflightObserved(counts, 7))
    for _ in range(20):
        mesh.round()
    learnt = mesh.latest(LearnInflight)["h001"]
    assert learnt.host_id == "h000"
    assert [c.requests for c in learnt.counts] == [49, 48, 47, 46, 45]


def test_old_and_repeated_heartbeats_are_ignored() -> None:
    """Guards against a delayed heartbeat that undoes a newer one."""
    control = Control(host_id="a", availability_zone="z")

    def beat(incarnation: int, sequence: int, version: int) -> tuple[HostVersion, ...]:
        message = Heartbeat(
            "b", incarnation, sequence, "x:1", "z", version, 0, b"", bytes(8)
        )
        control.handle(PeerMessageReceived(message), 1.0)
        return tuple(v for v in control.host_versions if v.host_id == "b")

    assert beat(2, 5, 3)[0].version == 3
    assert beat(2, 4, 1)[0].version == 3
    assert beat(1, 9, 9)[0].version == 3
    assert beat(3, 1, 2) == (HostVersion("b", 3, 2),)


def test_host_without_a_list_learns_upstreams_from_a_peer() -> None:
    """Guards against a host that serves nothing while only its list is down."""
    mesh = Mesh(3, 1)
    mesh.hosts["h002"] = Control(
        host_id="h002", availability_zone="z0", address="10.0.0.2:1", incarnation=2
    )
    mesh.decisions["h002"] = []
    mesh.seconds_until(lambda: "h002" in mesh.latest(UpdateFleet), 5.0)
    assert len(mesh.latest(UpdateFleet)["h002"].upstreams) == 2
    for _ in range(150):
        mesh.round(1.0)
        for host_id in ("h000", "h001"):
            mesh.tell(host_id, HostListRead(mesh.list_of(leaving=False)))
    assert len(mesh.hosts["h002"].hosts.upstreams) == 2


def test_hosts_listed_later_become_peers() -> None:
    """Guards against a host that knows only the first list it read."""
    mesh = Mesh(1, 1)
    mesh.lost.add("h001")
    control = mesh.hosts["h000"]
    mesh.round()
    more = (*mesh.entries, EntryHost("h001", "10.0.0.1:1", "z0", "10.0.0.1:2"))
    mesh.tell("h000", HostListRead(HostList(0.0, entry_hosts=more)))
    mesh.round(1.0)
    assert [h.host_id for h in control.entry_hosts] == ["h000", "h001"]
    assert [h.host_id for h in control.peers] == ["h001"]
    mesh.tell("h000", HostListRead(HostList(0.0, entry_hosts=mesh.entries)))
    mesh.round(1.0)
    assert not control.peers
