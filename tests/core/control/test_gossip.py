"""Tests of gossip: membership, host versions, notices and in-flight counts."""

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
    ApplyPeerBlame,
    BlameAnnounced,
    ControlDecision,
    ControlEvent,
    ControlState,
    ControlTick,
    HostListRead,
    InflightObserved,
    PeerMessageReceived,
    QuarantineClearRequested,
    RecordsRead,
    ReleaseDigest,
    SendToPeer,
    UpdateFleet,
    UpdatePeerInflight,
)
from persimmonwell.core.membership import Heartbeat, HostVersion
from persimmonwell.core.router import InflightCount


class Mesh:
    """Control states that exchange messages in simulated rounds."""

    def __init__(self, count: int, zones: int) -> None:
        self.now_s = 0.0
        self.entries = tuple(
            EntryHost(f"h{n:03}", f"10.0.0.{n}:1", f"z{n % zones}")
            for n in range(count)
        )
        self.hosts = {
            e.host_id: ControlState(
                host_id=e.host_id,
                availability_zone=e.availability_zone,
                address=e.address,
                incarnation=1,
            )
            for e in self.entries
        }
        self.unreachable: set[str] = set()
        self.decisions: dict[str, list[ControlDecision]] = {h: [] for h in self.hosts}
        self.outgoing: list[SendToPeer] = []
        for host_id in self.hosts:
            self.handle_event(
                host_id, HostListRead(self.build_host_list(leaving=False))
            )
            self.handle_event(host_id, RecordsRead(CONFIG_STREAM, 0, 0, ()))

    def build_host_list(self, *, leaving: bool) -> HostList:
        upstream = Upstream("u1", "10.1.0.1:1", "z0", "m", LayerRange(0, 8))
        leaving_upstream = Upstream(
            "u2", "10.1.0.2:1", "z0", "m", LayerRange(0, 8), leaving=leaving
        )
        return HostList(0.0, (upstream, leaving_upstream), (), self.entries)

    def handle_event(self, host_id: str, event: ControlEvent) -> None:
        if host_id in self.unreachable:
            return
        for decision in self.hosts[host_id].handle(event, self.now_s):
            if isinstance(decision, SendToPeer):
                self.outgoing.append(decision)
            else:
                self.decisions[host_id].append(decision)

    def run_round(self, seconds: float = 0.05) -> None:
        self.now_s += seconds
        for host_id in self.hosts:
            self.handle_event(host_id, ControlTick())
        sent, self.outgoing = self.outgoing, []
        for send in sent:
            self.handle_event(send.host_id, PeerMessageReceived(send.message))

    def seconds_until(
        self, check: Callable[[], bool], limit_s: float, step_s: float = 0.05
    ) -> float:
        started_s = self.now_s
        while not check():
            self.run_round(step_s)
            assert self.now_s - started_s <= limit_s
        return self.now_s - started_s

    def latest_decisions(self, kind: type[Any]) -> dict[str, Any]:
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
        mesh.run_round()
    mesh.handle_event("h001", HostListRead(mesh.build_host_list(leaving=True)))

    def is_known_everywhere() -> bool:
        fleets: list[UpdateFleet] = [*mesh.latest_decisions(UpdateFleet).values()]
        return len(fleets) == count and all(f.upstreams[1].leaving for f in fleets)

    assert mesh.seconds_until(is_known_everywhere, 3.0) <= 3.0


def test_versions_of_all_hosts_spread_to_every_host() -> None:
    """Guards against operators who cannot see which version each host runs."""
    mesh = Mesh(40, 6)

    def is_known_everywhere() -> bool:
        expected = {h: 0 for h in mesh.hosts}
        return all(
            {v.host_id: v.version for v in c.host_versions} == expected
            for c in mesh.hosts.values()
        )

    mesh.seconds_until(is_known_everywhere, 60.0, step_s=0.25)
    mesh.unreachable.add("h005")
    for host_id, control in mesh.hosts.items():
        entries = tuple(e for e in mesh.entries if e.host_id != "h005")
        mesh.handle_event(host_id, HostListRead(HostList(0.0, entry_hosts=entries)))
        assert control.host_versions
    for _ in range(140):
        mesh.run_round(0.5)
    remaining = [c for h, c in mesh.hosts.items() if h != "h005"]
    assert not any("h005" in {v.host_id for v in c.host_versions} for c in remaining)


def test_silent_peers_are_replaced() -> None:
    """Guards against a host that keeps peers which no longer answer."""
    mesh = Mesh(12, 2)
    control = mesh.hosts["h000"]
    for _ in range(40):
        mesh.run_round(0.2)
    mesh.unreachable = {p.host_id for p in control.peers}
    for _ in range(60):
        mesh.run_round(0.2)
    assert mesh.unreachable.isdisjoint({p.host_id for p in control.peers})


def test_few_hosts_of_a_zone_poll_the_log_often() -> None:
    """Guards against a log polled often by every host, or by none in a partition."""
    mesh = Mesh(24, 2)
    for _ in range(60):
        mesh.run_round()
    pauses = [c.read_pause_s(CONFIG_STREAM, mesh.now_s) for c in mesh.hosts.values()]
    assert (pauses.count(0.0), max(pauses)) == (4, 4.0)
    late_s = mesh.now_s + 3.5
    silent = [c.read_pause_s(CONFIG_STREAM, late_s) for c in mesh.hosts.values()]
    assert silent == [0.0] * 24
    fresh = ControlState(host_id="x", availability_zone="z0")
    assert fresh.read_pause_s(CONFIG_STREAM, 0.0) == 0.0


def test_blame_and_clearing_spread_by_heartbeat_and_log() -> None:
    """Guards against a crashing request that other hosts continue to dispatch."""
    mesh = Mesh(12, 3)
    for _ in range(40):
        mesh.run_round()
    mesh.handle_event("h003", BlameAnnounced("d", "u1"))
    mesh.seconds_until(lambda: len(mesh.latest_decisions(ApplyPeerBlame)) == 11, 2.0)
    append = mesh.latest_decisions(AppendRecords)["h003"]
    assert (append.stream, append.records[0]["digest"]) == (QUARANTINE_STREAM, "d")
    mesh.handle_event("h007", QuarantineClearRequested("d"))
    mesh.seconds_until(lambda: len(mesh.latest_decisions(ReleaseDigest)) == 12, 2.0)
    log = [append.records[0], mesh.latest_decisions(AppendRecords)["h007"].records[0]]
    repeated = {
        "type": "blame",
        "schema": 1,
        "id": "n",
        "digest": "d",
        "upstream_id": "u",
    }
    malformed = [{"type": "blame"}, {"type": "blame", "schema": 1, "digest": 7}, {}]
    records = tuple(LogRecord(n, r) for n, r in enumerate([*log, *malformed, repeated]))
    fresh = ControlState(host_id="x", availability_zone="z0")
    for control in (fresh, mesh.hosts["h001"], mesh.hosts["h003"]):
        control.handle(RecordsRead(QUARANTINE_STREAM, 0, 6, records), mesh.now_s)
        assert control.blamed == (("d", ("u",)),)
        assert control.read_offset(QUARANTINE_STREAM) == 6


def test_heartbeat_carries_the_busiest_upstreams_only() -> None:
    """Guards against a heartbeat whose size grows with the number of upstreams."""
    mesh = Mesh(2, 1)
    counts = tuple(InflightCount(f"u{n}", n) for n in range(50))
    mesh.handle_event("h000", InflightObserved(counts, 7))
    for _ in range(20):
        mesh.run_round()
    update = mesh.latest_decisions(UpdatePeerInflight)["h001"]
    assert update.host_id == "h000"
    assert [c.requests for c in update.counts] == [49, 48, 47, 46, 45]


def test_old_and_repeated_heartbeats_are_ignored() -> None:
    """Guards against a delayed heartbeat that overrides a newer one."""
    control = ControlState(host_id="a", availability_zone="z")

    def receive_heartbeat(
        incarnation: int, sequence: int, version: int
    ) -> tuple[HostVersion, ...]:
        message = Heartbeat(
            "b", incarnation, sequence, "x:1", "z", version, 0, b"", bytes(8)
        )
        control.handle(PeerMessageReceived(message), 1.0)
        return tuple(v for v in control.host_versions if v.host_id == "b")

    assert receive_heartbeat(2, 5, 3)[0].version == 3
    assert receive_heartbeat(2, 4, 1)[0].version == 3
    assert receive_heartbeat(1, 9, 9)[0].version == 3
    assert receive_heartbeat(3, 1, 2) == (HostVersion("b", 3, 2),)


def test_host_without_host_list_gets_upstreams_from_peers() -> None:
    """Guards against a host without upstreams while only its list is unreachable."""
    mesh = Mesh(3, 1)
    mesh.hosts["h002"] = ControlState(
        host_id="h002", availability_zone="z0", address="10.0.0.2:1", incarnation=2
    )
    mesh.decisions["h002"] = []
    mesh.seconds_until(lambda: "h002" in mesh.latest_decisions(UpdateFleet), 5.0)
    assert len(mesh.latest_decisions(UpdateFleet)["h002"].upstreams) == 2
    for _ in range(150):
        mesh.run_round(1.0)
        for host_id in ("h000", "h001"):
            mesh.handle_event(
                host_id, HostListRead(mesh.build_host_list(leaving=False))
            )
    assert len(mesh.hosts["h002"].hosts.upstreams) == 2


def test_peers_follow_the_host_list() -> None:
    """Guards against a host that ignores changes of the host list."""
    mesh = Mesh(1, 1)
    mesh.unreachable.add("h001")
    control = mesh.hosts["h000"]
    mesh.run_round()
    more = (*mesh.entries, EntryHost("h001", "10.0.0.1:1", "z0", "10.0.0.1:2"))
    mesh.handle_event("h000", HostListRead(HostList(0.0, entry_hosts=more)))
    mesh.run_round(1.0)
    assert [h.host_id for h in control.entry_hosts] == ["h000", "h001"]
    assert [h.host_id for h in control.peers] == ["h001"]
    mesh.handle_event("h000", HostListRead(HostList(0.0, entry_hosts=mesh.entries)))
    mesh.run_round(1.0)
    assert not control.peers
