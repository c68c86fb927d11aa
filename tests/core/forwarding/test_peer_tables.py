"""Tests of the tables that peers' reports feed: none grows with forged reports."""

import pytest

from persimmonwell.core.forwarding import (
    RegistryChanges,
    RegistryRecord,
    Replica,
    ReplicaLoad,
    WorkspaceTokens,
)
from persimmonwell.core.forwarding import _loads as loads_module
from persimmonwell.core.forwarding import _registry as registry_module
from persimmonwell.core.forwarding import _workspace_usage as usage_module
from persimmonwell.core.forwarding._caller_retries import (
    MAX_REMEMBERED,
    CallerRetryTracker,
)
from persimmonwell.core.forwarding._health import MAX_PEER_REPORTED, ReplicaHealth
from persimmonwell.core.forwarding._loads import MAX_PEERS, LoadTable
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._shared_capacity import (
    MAX_ZONE_PEERS,
    SharedCapacity,
)
from persimmonwell.core.forwarding._workspace_usage import WorkspaceUsage
from persimmonwell.core.forwarding._zone_reports import MAX_PEERS as MAX_OTHER_PEERS
from persimmonwell.core.forwarding._zone_reports import ZoneReports
from tests.core.forwarding.fleets import desk_replica


def test_loads_of_forged_hosts_are_bounded() -> None:
    """Guards against a report per forged host id, of which each is kept for 10 s."""
    table = LoadTable()
    table.set_peer_loads("real", {"i-1": ReplicaLoad(2, 10)}, 10.0)
    for number in range(2 * MAX_PEERS):
        table.set_peer_loads(f"h-{number}", {}, 10.0)
        if number % 1000 == 0:
            table.set_peer_loads("real", {"i-1": ReplicaLoad(3, 10)}, 10.0)
    assert len(table._peers) == MAX_PEERS
    assert table.total("i-1").requests == 3


def test_times_of_forged_hosts_are_bounded() -> None:
    """Guards against a time per forged host id and zone."""
    reports = ZoneReports()
    for number in range(2 * MAX_OTHER_PEERS):
        reports.record(f"h-{number}", f"z-{number % 7000}", float(number) / 1000)
    kept = sum(len(peers) for peers in reports._reported_s.values())
    assert kept == len(reports._zones) == MAX_OTHER_PEERS
    reports.expire(1000.0)
    assert not reports._zones and not reports._reported_s


@pytest.mark.parametrize(("prefix", "weight"), [("i", 1), ("i" * 300, 5)])
def test_loads_over_all_hosts_are_bounded(
    monkeypatch: pytest.MonkeyPatch, prefix: str, weight: int
) -> None:
    """Guards against the loads of many hosts, of which each is within its bound."""
    monkeypatch.setattr(loads_module, "MAX_PEER_LOADS", 100)
    table = LoadTable()
    for number in range(50):
        loads = {
            f"{prefix}-{number}-{each}": ReplicaLoad(1, 1)
            for each in range(number % 20)
        }
        table.set_peer_loads(f"h-{number % 30}", loads, float(number))
        kept = sum(len(state.loads) for state in table._peers.values())
        assert kept * weight == table._peer_load_count <= 100
    table.expire_peers(1000.0)
    assert table._peer_load_count == 0 == len(table._peers)


def test_usage_of_forged_hosts_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against usage per forged host id, of which each is kept for a minute."""
    monkeypatch.setattr(usage_module, "MAX_PEER_ENTRIES", 100)
    usage = WorkspaceUsage()
    rows = tuple(
        WorkspaceTokens("desk", (0, 0), f"w{number}", 1000.0, 0.0) for number in (1, 2)
    )
    for number in range(500):
        if number % 40 == 0:
            # A peer that goes on reporting is not displaced, nor charged again.
            assert len(usage.merge_peer("real", rows, 0.0)) == (0 if number else 2)
        usage.merge_peer(f"h-{number}", rows, 0.0)
        kept = sum(len(known) for known in usage._peers.values())
        assert kept == usage._peer_entry_count <= 100
    usage.expire(1000.0)
    assert usage._peer_entry_count == 0 == len(usage._peers)


def test_forged_hosts_of_the_zone_are_bounded() -> None:
    """Guards against a choice that gets slower with each forged host id for 20 s."""
    shared = SharedCapacity()
    for number in range(2 * MAX_ZONE_PEERS):
        if number % 500 == 0:
            shared.record_report("real", 1e-6 * number)
        shared.record_report(f"h-{number}", 1e-6 * number)
    assert shared.peer_count == MAX_ZONE_PEERS
    assert "real" in shared._reported_s


def test_memory_reports_of_removed_replicas_are_dropped() -> None:
    """Guards against an entry for each replica that was ever probed."""
    table = LoadTable()
    table.record_report("i-1", 100, 0.0)
    table.expire_peers(loads_module.UNTRACKED_USAGE_TTL_S - 0.1)
    assert table.used_layer_tokens("i-1", 0.1) == 100
    table.expire_peers(loads_module.UNTRACKED_USAGE_TTL_S)
    assert not table._untracked


def test_replicas_that_peers_report_are_bounded() -> None:
    """Guards against replica ids that no entry of the registry ever removes."""
    health = ReplicaHealth()
    health.record_slowness("own", 3.0, 0.0)
    for number in range(2 * MAX_PEER_REPORTED):
        health.record_slowness(f"i-{number}", 2.0, 0.0, is_local=False)
        health.record_peer_lost((f"i-{number}",), 10.0)
        if number % 1000 == 0:
            health.record_slowness("known", 2.0, 0.0, is_local=False)
            health.record_peer_lost(("known",), 10.0)
    assert len(health._slowness) == len(health._peer_lost_until_s) == MAX_PEER_REPORTED
    # What this host measured stays, and so does what a peer goes on reporting.
    assert health.slowness("own", 1.0) == 3.0
    assert health.slowness("known", 1.0) == 2.0
    assert health.is_lost("known", 1.0)


def test_refusals_of_peers_are_bounded() -> None:
    """Guards against digests of forged refusals, and the loss of this host's own."""
    tracker = CallerRetryTracker()
    tracker.record_refusal("own", retry_s=1.0, now_s=0.0)
    tracker.record_peer_refusals((f"d-{number}" for number in range(5000)), 3.0)
    assert len(tracker._from_peers) == MAX_REMEMBERED
    assert tracker.pop_refusal("own", 1.0)


def changes_of(
    first: int, replica: Replica | None, *, count: int = 10
) -> RegistryChanges:
    records = tuple(
        RegistryRecord(f"i-{number}", number, replica)
        for number in range(first, first + count)
    )
    return RegistryChanges(first - 1, first + count, records, 0)


def test_entries_from_peers_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against replicas that forged changes add; a list removes the others."""
    monkeypatch.setattr(registry_module, "MAX_RELAYED_ENTRIES", 50)
    registry = ReplicaRegistry()
    replica = desk_replica("i-0")
    registry.replace((RegistryRecord("i-0", 0, replica),), 0.0, end_offset=1)
    for first in range(1, 200, 10):
        registry.apply_changes(changes_of(first, replica), 1.0)
        assert len(registry.replicas) <= 50
    # Changes of known entries are still applied.
    known = RegistryChanges(0, 300, (RegistryRecord("i-0", 300, None),), 0)
    assert registry.apply_changes(known, 1.0) is True


def test_offsets_of_removed_replicas_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the offset of each replica that was ever removed."""
    monkeypatch.setattr(registry_module, "MAX_OFFSETS", 100)
    registry = ReplicaRegistry()
    replica = desk_replica("i-0")
    registry.replace((RegistryRecord("i-0", 0, replica),), 0.0, end_offset=1)
    for first in range(1, 2000, 10):
        registry.apply_changes(changes_of(first, None), 1.0)
        assert len(registry._offsets) <= 100
    assert registry._offsets["i-0"] == 0
    assert registry._offsets["i-2000"] == 2000
