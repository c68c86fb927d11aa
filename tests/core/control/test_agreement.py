"""Check agreement of several control states against one reference fold."""

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core.config import Accepted, ConfigFold, LogRecord
from persimmonwell.core.control import (
    CONFIG_STREAM,
    AppendConfirmed,
    AppendRecords,
    AppendUncertain,
    Control,
    ControlEvent,
    ControlTick,
    HostListRead,
    PatchSettled,
    PatchSubmitted,
    PeerMessageReceived,
    PutConfigInForce,
    RecordsRead,
    ReportFault,
    SendToPeer,
)
from persimmonwell.core.membership import ConfigRecords, Heartbeat, PeerMessage
from persimmonwell.peers import decode_message, encode_message

HOST_IDS = ("h1", "h2", "h3", "h4")
ZONES = {"h1": "z1", "h2": "z1", "h3": "z2", "h4": "z2"}


class FakeFleet:
    """Hold control states, one log and one network with every fault at will."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.log: list[Any] = []
        self.first = 0
        self.reference = ConfigFold()
        self.accepted: dict[int, Any] = {0: {}}
        self.network: list[tuple[str, PeerMessage]] = []
        self.appends: list[tuple[str, int, AppendRecords]] = []
        self.hosts: dict[str, Control] = {}
        self.starts: dict[str, int] = {}
        self.served: dict[str, list[int]] = {}
        self.heard: dict[str, list[tuple[float, int]]] = {}
        self.settled: list[PatchSettled] = []
        self.faults: list[ReportFault] = []
        self.cut_off: set[str] = set()
        self.unlinked: set[str] = set()
        for host_id in HOST_IDS:
            self.start(host_id)

    def start(self, host_id: str) -> None:
        self.starts[host_id] = self.starts.get(host_id, 0) + 1
        self.served[host_id] = []
        self.heard[host_id] = []
        self.hosts[host_id] = Control(
            host_id=host_id,
            availability_zone=ZONES[host_id],
            incarnation=self.starts[host_id],
        )
        entries = tuple(EntryHost(h, "", ZONES[h]) for h in HOST_IDS)
        self.tell(host_id, HostListRead(HostList(0.0, entry_hosts=entries)))

    def tell(self, host_id: str, event: ControlEvent) -> None:
        if isinstance(event, PeerMessageReceived):
            if isinstance(event.message, Heartbeat):
                version = event.message.config_version
                self.heard[host_id].append((self.now_s, version))
        for decision in self.hosts[host_id].handle(event, self.now_s):
            match decision:
                case SendToPeer(to, _, message):
                    self.network.append((to, decode_message(encode_message(message))))
                case AppendRecords():
                    self.appends.append((host_id, self.starts[host_id], decision))
                case PutConfigInForce(config):
                    recent = [v for at, v in self.heard[host_id] if at == self.now_s]
                    if not self.served[host_id]:
                        assert config.version >= max(recent, default=0)
                    self.served[host_id].append(config.version)
                    document = self.hosts[host_id].config_document
                    assert document == self.accepted[config.version]
                case PatchSettled():
                    self.settled.append(decision)
                case ReportFault():
                    self.faults.append(decision)

    def write(self, records: tuple[Any, ...]) -> int:
        start = len(self.log)
        for data in records:
            result = self.reference.apply(LogRecord(len(self.log), data))
            self.log.append(data)
            if isinstance(result, Accepted):
                self.accepted[result.version] = self.reference.document
        return start

    def finish_append(self, index: int, *, lost: bool, applied: bool) -> None:
        host_id, started, append = self.appends.pop(index % len(self.appends))
        if host_id in self.cut_off:
            lost, applied = True, False
        offset = 0
        if applied and append.stream == CONFIG_STREAM:
            offset = self.write(append.records)
        if self.starts[host_id] != started:
            return
        if lost or not applied:
            self.tell(host_id, AppendUncertain(append.append_id))
        else:
            self.tell(host_id, AppendConfirmed(append.append_id, (offset,)))

    def read(self, host_id: str, *, limit: int, back: int = 0) -> None:
        if host_id in self.cut_off:
            return
        wanted = max(0, self.hosts[host_id].read_offset(CONFIG_STREAM) - back)
        start = max(wanted, self.first)
        records = tuple(
            LogRecord(offset, self.log[offset])
            for offset in range(start, min(len(self.log), start + limit))
        )
        event = RecordsRead(CONFIG_STREAM, self.first, len(self.log), records)
        self.tell(host_id, event)

    def deliver(self, index: int, *, again: bool = False) -> None:
        index %= len(self.network)
        to, message = self.network[index] if again else self.network.pop(index)
        if to not in self.unlinked and message.host_id not in self.unlinked:
            self.tell(to, PeerMessageReceived(message))

    def advance(self, seconds: float, *, ticked: tuple[str, ...] = HOST_IDS) -> None:
        self.now_s += seconds
        for host_id in ticked:
            self.tell(host_id, ControlTick())

    def settle_down(self, rounds: int, *, step_s: float = 0.6) -> None:
        for _ in range(rounds):
            self.advance(step_s)
            for host_id in HOST_IDS:
                self.read(host_id, limit=500)
            for _ in range(4):
                for _ in range(len(self.appends)):
                    self.finish_append(0, lost=False, applied=True)
                batch, self.network = self.network, []
                for to, message in batch:
                    if to not in self.unlinked and message.host_id not in self.unlinked:
                        self.tell(to, PeerMessageReceived(message))


class AgreementMachine(RuleBasedStateMachine):
    """Interleave appends, losses, outages, restarts and retention cuts."""

    @initialize()
    def begin(self) -> None:
        self.fleet = FakeFleet()
        self.patches = 0
        self.submitted: dict[str, PatchSubmitted] = {}

    host = st.sampled_from(HOST_IDS)

    @rule(host=host, drift=st.integers(-1, 1), weight=st.integers(-1, 5))
    def operator_patches(self, host: str, drift: int, weight: int) -> None:
        self.patches += 1
        base = max(0, self.fleet.reference.version + drift)
        merge = {"workspaces": {f"w{self.patches % 3}": {"weight": weight}}}
        patch = PatchSubmitted(f"p{self.patches}", base, merge, "op")
        self.submitted[patch.patch_id] = patch
        self.fleet.tell(host, patch)

    @precondition(lambda self: self.submitted)
    @rule(host=host, data=st.data())
    def operator_repeats_on_another_host(self, host: str, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.submitted)))
        self.fleet.tell(host, self.submitted[name])

    @precondition(lambda self: self.fleet.appends)
    @rule(index=st.integers(0, 50), lost=st.booleans(), applied=st.booleans())
    def append_ends(self, index: int, lost: bool, applied: bool) -> None:
        self.fleet.finish_append(index, lost=lost, applied=applied)

    @rule(data=st.sampled_from([{}, {"type": "patch", "schema": 1}, {"schema": -1}]))
    def malformed_record_appears(self, data: Any) -> None:
        self.fleet.write((dict(data),))

    @rule(host=host, limit=st.integers(0, 4), back=st.integers(0, 3))
    def host_reads(self, host: str, limit: int, back: int) -> None:
        self.fleet.read(host, limit=limit, back=back)

    @precondition(lambda self: self.fleet.network)
    @rule(index=st.integers(0, 200), again=st.booleans())
    def message_arrives(self, index: int, again: bool) -> None:
        self.fleet.deliver(index, again=again)

    @precondition(lambda self: self.fleet.network)
    @rule(index=st.integers(0, 200))
    def message_is_lost(self, index: int) -> None:
        self.fleet.network.pop(index % len(self.fleet.network))

    @rule(seconds=st.sampled_from([0.1, 1.0, 12.0, 90.0]), ticked=st.sets(host))
    def time_passes_for_some(self, seconds: float, ticked: set[str]) -> None:
        self.fleet.advance(seconds, ticked=tuple(sorted(ticked)))

    @rule(host=host, log=st.booleans(), peers=st.booleans())
    def reach_changes(self, host: str, log: bool, peers: bool) -> None:
        for reachable, group in (
            (log, self.fleet.cut_off),
            (peers, self.fleet.unlinked),
        ):
            (group.discard if reachable else group.add)(host)

    @rule(host=host)
    def host_restarts_empty(self, host: str) -> None:
        self.fleet.start(host)

    @rule(keep=st.integers(0, 6))
    def retention_cuts(self, keep: int) -> None:
        """Cut records that at least one host has folded, as time would."""
        folded = max(c.config_fold.next_offset for c in self.fleet.hosts.values())
        cut = min(len(self.fleet.log) - keep, folded)
        ready = [c for c in self.fleet.hosts.values() if c.ready]
        if any(c.config_fold.next_offset >= cut for c in ready):
            self.fleet.first = max(self.fleet.first, cut)

    @invariant()
    def versions_only_rise(self) -> None:
        for served in self.fleet.served.values():
            assert served == sorted(set(served))

    @invariant()
    def operators_hear_the_accepted_history(self) -> None:
        for settled in self.fleet.settled:
            entry = self.fleet.reference.result_of(settled.patch_id)
            accepted = isinstance(entry, Accepted)
            assert (settled.error is None) == accepted
            assert not accepted or settled.version == entry.version

    def teardown(self) -> None:
        fleet = getattr(self, "fleet", None)
        if fleet is None:
            return
        able = [
            c
            for c in fleet.hosts.values()
            if c.ready and c.config_fold.next_offset >= fleet.first
        ]
        fleet.cut_off.clear()
        fleet.unlinked.clear()
        fleet.settle_down(30)
        if able or fleet.first == 0:
            for control in fleet.hosts.values():
                assert control.is_up_to_date(fleet.now_s)
                assert control.config.version == fleet.reference.version
                assert control.config_document == fleet.reference.document
        assert not fleet.faults


AgreementMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestAgreement = AgreementMachine.TestCase


def settled_fleet(patches: int) -> FakeFleet:
    fleet = FakeFleet()
    for number in range(patches):
        merge = {"workspaces": {"a": {"weight": number + 1}}}
        fleet.tell("h1", PatchSubmitted(f"p{number}", number, merge, "op"))
        fleet.settle_down(1)
    fleet.settle_down(3)
    return fleet


def test_host_cut_off_from_the_log_follows_a_peer() -> None:
    """Guards against a host that stays behind although a peer is reachable."""
    fleet = settled_fleet(1)
    fleet.cut_off = {"h4"}
    fleet.tell("h1", PatchSubmitted("p1", 1, {"services": {"s": {}}}, "op"))
    fleet.settle_down(2)
    assert fleet.hosts["h4"].config.version == 2
    fleet.start("h4")
    assert not fleet.hosts["h4"].ready
    fleet.settle_down(3)
    assert fleet.hosts["h4"].config.version == 2


def test_start_needs_no_log_once_retention_cut_it() -> None:
    """Guards against a start over a gap, and against a missing snapshot."""
    fleet = settled_fleet(3)
    fleet.first = 2
    fleet.settle_down(3)
    snapshots = [i for i, r in enumerate(fleet.log) if r.get("type") == "snapshot"]
    assert len(snapshots) == 1
    fleet.first = snapshots[-1]
    fleet.unlinked = set(HOST_IDS)
    fleet.start("h3")
    fleet.settle_down(3)
    assert fleet.served["h3"] == [3]


def test_one_snapshot_per_interval_and_another_host_takes_over() -> None:
    """Guards against a flood of snapshots and against none at all."""
    fleet = settled_fleet(1)
    fleet.cut_off = {"h1"}
    for number in range(70):
        fleet.write(({"type": "patch", "schema": 1, "id": f"x{number}"},))
    fleet.settle_down(10)
    assert not [r for r in fleet.log if r.get("type") == "snapshot"]
    fleet.settle_down(100)
    assert len([r for r in fleet.log if r.get("type") == "snapshot"]) == 1


def test_forged_peer_records_lose_against_the_log() -> None:
    """Guards against a peer's record that replaces what the log holds."""
    fleet = settled_fleet(1)
    beat = next(m for to, m in fleet_messages(fleet) if to == "h4")
    forged = {"type": "patch", "schema": 1, "id": "f", "base_version": 0}
    records = ConfigRecords(beat.host_id, 9, (LogRecord(0, forged),))
    fleet.tell("h4", PeerMessageReceived(records))
    assert [f.kind for f in fleet.faults] == ["peer_conflict"]
    forged = {**forged, "base_version": 1, "merge": {"services": {"x": {}}}}
    fleet.accepted[2] = {**fleet.reference.document, "services": {"x": {}}}
    records = attrs.evolve(records, records=(LogRecord(1, forged),), next_offset=2)
    fleet.tell("h4", PeerMessageReceived(records))
    assert fleet.served["h4"][-1] == 2
    fleet.unlinked = set(HOST_IDS)
    for number in (1, 2):
        merge = {"workspaces": {"b": {"weight": number}}}
        fleet.tell("h1", PatchSubmitted(f"q{number}", number, merge, "op"))
        fleet.settle_down(2)
    assert "log_conflict" in {f.kind for f in fleet.faults}
    assert fleet.hosts["h4"].config_document == fleet.reference.document
    assert fleet.served["h4"] == sorted(fleet.served["h4"])


def fleet_messages(fleet: FakeFleet) -> list[tuple[str, Any]]:
    fleet.advance(1.0)
    return [(to, m) for to, m in fleet.network if hasattr(m, "sequence")]


def test_newer_schema_stops_this_host_and_is_reported_once() -> None:
    """Guards against a host that folds past a record it cannot read."""
    fleet = settled_fleet(1)
    later = {"type": "patch", "schema": 1, "id": "z", "base_version": 1, "merge": {}}
    fleet.write(({"type": "patch", "schema": 2},))
    fleet.log.append(later)
    fleet.settle_down(4)
    assert {c.config.version for c in fleet.hosts.values()} == {1}
    assert [f.kind for f in fleet.faults] == ["unknown_schema"] * 4
    assert not any(c.is_up_to_date(fleet.now_s) for c in fleet.hosts.values())
    assert fleet.hosts["h1"].read_pause_s(CONFIG_STREAM, fleet.now_s) > 1.0


def test_append_without_effect_is_repeated_with_the_same_id() -> None:
    """Guards against an accepted patch that was lost with its answer."""
    fleet = settled_fleet(0)
    fleet.tell("h1", PatchSubmitted("p", 0, {"services": {"s": {}}}, "op"))
    for applied in (False, True, False):
        fleet.finish_append(0, lost=True, applied=applied)
    fleet.finish_append(0, lost=False, applied=True)
    fleet.settle_down(2)
    assert [r["id"] for r in fleet.log] == ["p", "p"]
    assert [(s.patch_id, s.version, s.error) for s in fleet.settled] == [("p", 1, None)]


def cut_fleet() -> FakeFleet:
    """Return a fleet whose log lost its start and holds no snapshot."""
    fleet = settled_fleet(5)
    fleet.first, fleet.cut_off, fleet.unlinked = 3, set(HOST_IDS), {"h3"}
    fleet.start("h3")
    fleet.cut_off = {"h1", "h2", "h4"}
    fleet.settle_down(2)
    assert not fleet.hosts["h3"].ready
    return fleet


def test_records_passed_while_searching_a_snapshot_are_read_again() -> None:
    """Guards against a host that skips records after a peer's snapshot."""
    fleet = cut_fleet()
    early = ConfigFold()
    for offset in range(4):
        early.apply(LogRecord(offset, fleet.log[offset]))
    given = ConfigRecords("h1", 4, (), snapshot=early.snapshot_record())
    fleet.tell("h3", PeerMessageReceived(given))
    fleet.settle_down(2)
    assert fleet.served["h3"] == [5]


def test_snapshot_that_claims_later_records_is_not_a_start() -> None:
    """Guards against a forged snapshot that skips records of the log."""
    fleet = cut_fleet()
    beyond = ConfigFold()
    for offset in range(7):
        beyond.apply(LogRecord(offset, {**fleet.log[0], "id": f"{offset}"}))
    fleet.write((beyond.snapshot_record(), {}, {}))
    fleet.settle_down(2)
    assert not fleet.hosts["h3"].ready
