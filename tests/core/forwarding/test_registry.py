"""Tests of the registry view: stale reads, removals and outages of the store."""

import attrs

from persimmonwell.core.forwarding import RegistryRecord, Replica, ReplicaRegistry
from tests.core.forwarding.fleets import desk_replica

ONE, TWO = desk_replica("i-1"), desk_replica("i-2")


def record(offset: int, name: str, replica: Replica | None) -> RegistryRecord:
    return RegistryRecord(name, offset, replica)


def registry_with(*records: RegistryRecord) -> ReplicaRegistry:
    registry = ReplicaRegistry()
    registry.replace(records, 0.0)
    return registry


def test_a_stale_read_does_not_restore_an_older_entry() -> None:
    """Guards against requests to a replica that was already seen draining."""
    registry = registry_with(record(4, "i-1", ONE))
    registry.apply((record(9, "i-1", attrs.evolve(ONE, is_draining=True)),), 1.0)
    assert not registry.apply((record(4, "i-1", ONE),), 2.0)
    registry.replace((record(4, "i-1", ONE),), 2.0)
    assert registry.replicas["i-1"].is_draining


def test_a_removed_entry_is_dropped_at_once() -> None:
    """Guards against requests after the time for which a draining replica serves."""
    registry = registry_with(record(1, "i-1", ONE), record(2, "i-2", TWO))
    assert registry.apply((record(3, "i-1", None),), 5.0)
    assert set(registry.replicas) == {"i-2"}


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_grace_time() -> None:
    """Guards against dropping the whole fleet after an outage of the store."""
    registry = registry_with(record(1, "i-1", ONE), record(2, "i-2", TWO))
    registry.mark_store_unavailable()
    registry.replace((record(2, "i-2", TWO),), 11.0)
    assert set(registry.replicas) == {"i-1", "i-2"}
    registry.apply((record(7, "i-1", ONE),), 12.0)
    assert not registry.expire(20.0)
    assert set(registry.replicas) == {"i-1", "i-2"}


def test_an_entry_still_missing_after_the_grace_time_is_dropped() -> None:
    """Guards against requests to replicas that died during an outage."""
    registry = registry_with(record(1, "i-1", ONE))
    registry.mark_store_unavailable()
    registry.replace((), 11.0)
    assert not registry.expire(12.0)
    assert registry.expire(13.0)
    assert registry.replicas == {}


def test_an_entry_removed_after_an_outage_is_dropped_at_once() -> None:
    """Guards against the grace time of an outage for a replica that stops after it.

    An entry removed 0.7 s after the outage was kept for the 1.8 s of grace, and a
    request reached the replica 2.1 s after the removal, past the drain limit of 2 s.
    """
    registry = registry_with(record(1, "i-1", ONE), record(2, "i-2", TWO))
    registry.mark_store_unavailable()
    registry.apply((record(5, "i-1", ONE),), 11.0)
    registry.mark_store_available()
    assert registry.apply((record(6, "i-2", None),), 11.7)
    assert set(registry.replicas) == {"i-1"}


def test_a_stale_full_list_removes_nothing() -> None:
    """Guards against replicas dropped because of a stale read of the full list."""
    registry = registry_with(record(4, "i-1", ONE))
    registry.apply((record(9, "i-2", TWO),), 1.0)
    assert not registry.replace((record(4, "i-1", ONE),), 2.0, end_offset=5)
    assert set(registry.replicas) == {"i-1", "i-2"}
    assert registry.replace((record(4, "i-1", ONE),), 3.0, end_offset=11)
    assert set(registry.replicas) == {"i-1"}


def test_heartbeats_do_not_advance_the_change_offset() -> None:
    """Guards against hosts that notify each other of every heartbeat."""
    registry = registry_with(record(4, "i-1", ONE))
    assert (registry.last_change_offset, registry.newest_offset) == (4, 4)
    registry.apply((record(9, "i-1", ONE),), 1.0)
    assert (registry.last_change_offset, registry.newest_offset) == (4, 9)
    registry.apply((record(10, "i-1", None),), 1.0)
    assert (registry.last_change_offset, registry.newest_offset) == (10, 10)
