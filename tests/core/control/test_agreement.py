"""Tests that several control states agree with one reference fold of the log."""

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
    ControlEvent,
    ControlState,
    ControlTick,
    HostListRead,
    PatchCompleted,
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
    """Control states with a simulated log and network that inject faults."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.log: list[Any] = []
        self.first_offset = 0
        self.reference = ConfigFold()
        self.accepted_documents: dict[int, Any] = {0: {}}
        self.network: list[tuple[str, PeerMessage]] = []
        self.appends: list[tuple[str, int, AppendRecords]] = []
        self.hosts: dict[str, ControlState] = {}
        self.incarnations: dict[str, int] = {}
        self.versions_in_force: dict[str, list[int]] = {}
        self.received_versions: dict[str, list[tuple[float, int]]] = {}
        self.completed_patches: list[PatchCompleted] = []
        self.faults: list[ReportFault] = []
        self.cut_off_from_log: set[str] = set()
        self.cut_off_from_peers: set[str] = set()
        for host_id in HOST_IDS:
            self.start(host_id)

    def start(self, host_id: str) -> None:
        self.incarnations[host_id] = self.incarnations.get(host_id, 0) + 1
        self.versions_in_force[host_id] = []
        self.received_versions[host_id] = []
        self.hosts[host_id] = ControlState(
            host_id=host_id,
            availability_zone=ZONES[host_id],
            incarnation=self.incarnations[host_id],
        )
        entries = tuple(EntryHost(h, "", ZONES[h]) for h in HOST_IDS)
        self.handle_event(host_id, HostListRead(HostList(0.0, entry_hosts=entries)))

    def handle_event(self, host_id: str, event: ControlEvent) -> None:
        if isinstance(event, PeerMessageReceived):
            if isinstance(event.message, Heartbeat):
                version = event.message.config_version
                self.received_versions[host_id].append((self.now_s, version))
        for decision in self.hosts[host_id].handle(event, self.now_s):
            match decision:
                case SendToPeer(to, _, message):
                    self.network.append((to, decode_message(encode_message(message))))
                case AppendRecords():
                    self.appends.append((host_id, self.incarnations[host_id], decision))
                case PutConfigInForce(config):
                    recent = [
                        v
                        for at, v in self.received_versions[host_id]
                        if at == self.now_s
                    ]
                    if not self.versions_in_force[host_id]:
                        assert config.version >= max(recent, default=0)
                    self.versions_in_force[host_id].append(config.version)
                    document = self.hosts[host_id].config_document
                    assert document == self.accepted_documents[config.version]
                case PatchCompleted():
                    self.completed_patches.append(decision)
                case ReportFault():
                    self.faults.append(decision)

    def append_to_log(self, records: tuple[Any, ...]) -> int:
        start = len(self.log)
        for data in records:
            result = self.reference.apply(LogRecord(len(self.log), data))
            self.log.append(data)
            if isinstance(result, Accepted):
                self.accepted_documents[result.version] = self.reference.document
        return start

    def finish_append(self, index: int, *, lost: bool, applied: bool) -> None:
        host_id, incarnation, append = self.appends.pop(index % len(self.appends))
        if host_id in self.cut_off_from_log:
            lost, applied = True, False
        offset = 0
        if applied and append.stream == CONFIG_STREAM:
            offset = self.append_to_log(append.records)
        if self.incarnations[host_id] != incarnation:
            return
        if lost or not applied:
            self.handle_event(host_id, AppendUncertain(append.append_id))
        else:
            self.handle_event(host_id, AppendConfirmed(append.append_id, (offset,)))

    def read_log(self, host_id: str, *, limit: int, back: int = 0) -> None:
        if host_id in self.cut_off_from_log:
            return
        wanted = max(0, self.hosts[host_id].read_offset(CONFIG_STREAM) - back)
        start = max(wanted, self.first_offset)
        records = tuple(
            LogRecord(offset, self.log[offset])
            for offset in range(start, min(len(self.log), start + limit))
        )
        event = RecordsRead(CONFIG_STREAM, self.first_offset, len(self.log), records)
        self.handle_event(host_id, event)

    def deliver(self, index: int, *, again: bool = False) -> None:
        index %= len(self.network)
        to, message = self.network[index] if again else self.network.pop(index)
        if (
            to not in self.cut_off_from_peers
            and message.host_id not in self.cut_off_from_peers
        ):
            self.handle_event(to, PeerMessageReceived(message))

    def advance_clock(
        self, seconds: float, *, ticked: tuple[str, ...] = HOST_IDS
    ) -> None:
        self.now_s += seconds
        for host_id in ticked:
            self.handle_event(host_id, ControlTick())

    def run_rounds(self, rounds: int, *, step_s: float = 0.6) -> None:
        for _ in range(rounds):
            self.advance_clock(step_s)
            for host_id in HOST_IDS:
                self.read_log(host_id, limit=500)
            for _ in range(4):
                for _ in range(len(self.appends)):
                    self.finish_append(0, lost=False, applied=True)
                batch, self.network = self.network, []
                for to, message in batch:
                    if (
                        to not in self.cut_off_from_peers
                        and message.host_id not in self.cut_off_from_peers
                    ):
                        self.handle_event(to, PeerMessageReceived(message))


class AgreementMachine(RuleBasedStateMachine):
    """Interleaves appends, message loss, outages, restarts and log truncation."""

    @initialize()
    def begin(self) -> None:
        self.fleet = FakeFleet()
        self.patches = 0
        self.submitted: dict[str, PatchSubmitted] = {}

    host = st.sampled_from(HOST_IDS)

    @rule(host=host, drift=st.integers(-1, 1), weight=st.integers(-1, 5))
    def operator_submits_patch(self, host: str, drift: int, weight: int) -> None:
        self.patches += 1
        base = max(0, self.fleet.reference.version + drift)
        merge = {"workspaces": {f"w{self.patches % 3}": {"weight": weight}}}
        patch = PatchSubmitted(f"p{self.patches}", base, merge, "op")
        self.submitted[patch.patch_id] = patch
        self.fleet.handle_event(host, patch)

    @precondition(lambda self: self.submitted)
    @rule(host=host, data=st.data())
    def operator_resubmits_patch(self, host: str, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.submitted)))
        self.fleet.handle_event(host, self.submitted[name])

    @precondition(lambda self: self.fleet.appends)
    @rule(index=st.integers(0, 50), lost=st.booleans(), applied=st.booleans())
    def append_ends(self, index: int, lost: bool, applied: bool) -> None:
        self.fleet.finish_append(index, lost=lost, applied=applied)

    @rule(data=st.sampled_from([{}, {"type": "patch", "schema": 1}, {"schema": -1}]))
    def malformed_record_appears(self, data: Any) -> None:
        self.fleet.append_to_log((dict(data),))

    @rule(host=host, limit=st.integers(0, 4), back=st.integers(0, 3))
    def host_reads_log(self, host: str, limit: int, back: int) -> None:
        self.fleet.read_log(host, limit=limit, back=back)

    @precondition(lambda self: self.fleet.network)
    @rule(index=st.integers(0, 200), again=st.booleans())
    def message_arrives(self, index: int, again: bool) -> None:
        self.fleet.deliver(index, again=again)

    @precondition(lambda self: self.fleet.network)
    @rule(index=st.integers(0, 200))
    def message_is_lost(self, index: int) -> None:
        self.fleet.network.pop(index % len(self.fleet.network))

    @rule(seconds=st.sampled_from([0.1, 1.0, 12.0, 90.0]), ticked=st.sets(host))
    def clock_advances(self, seconds: float, ticked: set[str]) -> None:
        self.fleet.advance_clock(seconds, ticked=tuple(sorted(ticked)))

    @rule(host=host, log=st.booleans(), peers=st.booleans())
    def reachability_changes(self, host: str, log: bool, peers: bool) -> None:
        for reachable, group in (
            (log, self.fleet.cut_off_from_log),
            (peers, self.fleet.cut_off_from_peers),
        ):
            (group.discard if reachable else group.add)(host)

    @rule(host=host)
    def host_restarts_without_state(self, host: str) -> None:
        self.fleet.start(host)

    @rule(keep=st.integers(0, 6))
    def retention_truncates_log(self, keep: int) -> None:
        """Remove old records that at least one ready host has already folded."""
        folded = max(c.config_fold.next_offset for c in self.fleet.hosts.values())
        cut = min(len(self.fleet.log) - keep, folded)
        ready = [c for c in self.fleet.hosts.values() if c.ready]
        if any(c.config_fold.next_offset >= cut for c in ready):
            self.fleet.first_offset = max(self.fleet.first_offset, cut)

    @invariant()
    def versions_only_increase(self) -> None:
        for versions_in_force in self.fleet.versions_in_force.values():
            assert versions_in_force == sorted(set(versions_in_force))

    @invariant()
    def operators_receive_folded_results(self) -> None:
        for completed in self.fleet.completed_patches:
            entry = self.fleet.reference.result_of(completed.patch_id)
            is_accepted = isinstance(entry, Accepted)
            assert (completed.error is None) == is_accepted
            assert not is_accepted or completed.version == entry.version

    def teardown(self) -> None:
        fleet = getattr(self, "fleet", None)
        if fleet is None:
            return
        recoverable_hosts = [
            c
            for c in fleet.hosts.values()
            if c.ready and c.config_fold.next_offset >= fleet.first_offset
        ]
        fleet.cut_off_from_log.clear()
        fleet.cut_off_from_peers.clear()
        fleet.run_rounds(30)
        if recoverable_hosts or fleet.first_offset == 0:
            for control in fleet.hosts.values():
                assert control.is_up_to_date(fleet.now_s)
                assert control.config.version == fleet.reference.version
                assert control.config_document == fleet.reference.document
        assert not fleet.faults


AgreementMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)
TestAgreement = AgreementMachine.TestCase


def fleet_with_patches(patches: int) -> FakeFleet:
    fleet = FakeFleet()
    for number in range(patches):
        merge = {"workspaces": {"a": {"weight": number + 1}}}
        fleet.handle_event("h1", PatchSubmitted(f"p{number}", number, merge, "op"))
        fleet.run_rounds(1)
    fleet.run_rounds(3)
    return fleet


def test_host_without_log_access_follows_a_peer() -> None:
    """Guards against a host that stays behind while it can reach a peer."""
    fleet = fleet_with_patches(1)
    fleet.cut_off_from_log = {"h4"}
    fleet.handle_event("h1", PatchSubmitted("p1", 1, {"services": {"s": {}}}, "op"))
    fleet.run_rounds(2)
    assert fleet.hosts["h4"].config.version == 2
    fleet.start("h4")
    assert not fleet.hosts["h4"].ready
    fleet.run_rounds(3)
    assert fleet.hosts["h4"].config.version == 2


def test_start_from_a_snapshot_after_log_truncation() -> None:
    """Guards against a start across a gap in the log and a missing snapshot."""
    fleet = fleet_with_patches(3)
    fleet.first_offset = 2
    fleet.run_rounds(3)
    snapshots = [i for i, r in enumerate(fleet.log) if r.get("type") == "snapshot"]
    assert len(snapshots) == 1
    fleet.first_offset = snapshots[-1]
    fleet.cut_off_from_peers = set(HOST_IDS)
    fleet.start("h3")
    fleet.run_rounds(3)
    assert fleet.versions_in_force["h3"] == [3]


def test_one_snapshot_per_interval_with_failover_of_the_writer() -> None:
    """Guards against a snapshot from every host and against no snapshot at all."""
    fleet = fleet_with_patches(1)
    fleet.cut_off_from_log = {"h1"}
    for number in range(70):
        fleet.append_to_log(({"type": "patch", "schema": 1, "id": f"x{number}"},))
    fleet.run_rounds(10)
    assert not [r for r in fleet.log if r.get("type") == "snapshot"]
    fleet.run_rounds(100)
    assert len([r for r in fleet.log if r.get("type") == "snapshot"]) == 1


def test_log_overrides_forged_peer_records() -> None:
    """Guards against a peer's record that replaces the record in the log."""
    fleet = fleet_with_patches(1)
    heartbeat = next(m for to, m in heartbeats_in_transit(fleet) if to == "h4")
    forged = {"type": "patch", "schema": 1, "id": "f", "base_version": 0}
    records = ConfigRecords(heartbeat.host_id, 9, (LogRecord(0, forged),))
    fleet.handle_event("h4", PeerMessageReceived(records))
    assert [f.kind for f in fleet.faults] == ["peer_conflict"]
    forged = {**forged, "base_version": 1, "merge": {"services": {"x": {}}}}
    fleet.accepted_documents[2] = {**fleet.reference.document, "services": {"x": {}}}
    records = attrs.evolve(records, records=(LogRecord(1, forged),), next_offset=2)
    fleet.handle_event("h4", PeerMessageReceived(records))
    assert fleet.versions_in_force["h4"][-1] == 2
    fleet.cut_off_from_peers = set(HOST_IDS)
    for number in (1, 2):
        merge = {"workspaces": {"b": {"weight": number}}}
        fleet.handle_event("h1", PatchSubmitted(f"q{number}", number, merge, "op"))
        fleet.run_rounds(2)
    assert "log_conflict" in {f.kind for f in fleet.faults}
    assert fleet.hosts["h4"].config_document == fleet.reference.document
    assert fleet.versions_in_force["h4"] == sorted(fleet.versions_in_force["h4"])


def heartbeats_in_transit(fleet: FakeFleet) -> list[tuple[str, Any]]:
    fleet.advance_clock(1.0)
    return [(to, m) for to, m in fleet.network if hasattr(m, "sequence")]


def test_newer_schema_stops_the_fold_and_is_reported_once() -> None:
    """Guards against a host that folds past a record of an unknown schema."""
    fleet = fleet_with_patches(1)
    later = {"type": "patch", "schema": 1, "id": "z", "base_version": 1, "merge": {}}
    fleet.append_to_log(({"type": "patch", "schema": 2},))
    fleet.log.append(later)
    fleet.run_rounds(4)
    assert {c.config.version for c in fleet.hosts.values()} == {1}
    assert [f.kind for f in fleet.faults] == ["unknown_schema"] * 4
    assert not any(c.is_up_to_date(fleet.now_s) for c in fleet.hosts.values())
    assert fleet.hosts["h1"].read_pause_s(CONFIG_STREAM, fleet.now_s) > 1.0


def test_uncertain_append_is_retried_with_the_same_id() -> None:
    """Guards against a patch lost with the append's response, or applied twice."""
    fleet = fleet_with_patches(0)
    fleet.handle_event("h1", PatchSubmitted("p", 0, {"services": {"s": {}}}, "op"))
    for applied in (False, True, False):
        fleet.finish_append(0, lost=True, applied=applied)
    fleet.finish_append(0, lost=False, applied=True)
    fleet.run_rounds(2)
    assert [r["id"] for r in fleet.log] == ["p", "p"]
    assert [(s.patch_id, s.version, s.error) for s in fleet.completed_patches] == [
        ("p", 1, None)
    ]


def fleet_with_truncated_log() -> FakeFleet:
    """Return a fleet whose log was truncated and has no snapshot."""
    fleet = fleet_with_patches(5)
    fleet.first_offset, fleet.cut_off_from_log, fleet.cut_off_from_peers = (
        3,
        set(HOST_IDS),
        {"h3"},
    )
    fleet.start("h3")
    fleet.cut_off_from_log = {"h1", "h2", "h4"}
    fleet.run_rounds(2)
    assert not fleet.hosts["h3"].ready
    return fleet


def test_records_skipped_while_searching_a_snapshot_are_read_again() -> None:
    """Guards against a host that misses records after it takes a peer's snapshot."""
    fleet = fleet_with_truncated_log()
    early = ConfigFold()
    for offset in range(4):
        early.apply(LogRecord(offset, fleet.log[offset]))
    message = ConfigRecords("h1", 4, (), snapshot=early.snapshot_record())
    fleet.handle_event("h3", PeerMessageReceived(message))
    fleet.run_rounds(2)
    assert fleet.versions_in_force["h3"] == [5]


def test_snapshot_beyond_its_own_offset_is_rejected() -> None:
    """Guards against a forged snapshot that makes a host skip log records."""
    fleet = fleet_with_truncated_log()
    beyond = ConfigFold()
    for offset in range(7):
        beyond.apply(LogRecord(offset, {**fleet.log[0], "id": f"{offset}"}))
    fleet.append_to_log((beyond.snapshot_record(), {}, {}))
    fleet.run_rounds(2)
    assert not fleet.hosts["h3"].ready
