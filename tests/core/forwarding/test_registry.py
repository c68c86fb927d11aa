"""Tests of the registry view: stale reads, removals and outages of the store."""

import attrs
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from persimmonwell.core.forwarding import RegistryRecord, Replica, ReplicaRegistry
from tests.core.forwarding.fleets import desk_replica

ONE, TWO = desk_replica("i-1"), desk_replica("i-2")
DRAINING_ONE = attrs.evolve(ONE, is_draining=True)


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


def test_a_stale_reader_does_not_restore_what_a_full_list_lacks() -> None:
    """Guards against a replica that left before a restarted host read its first list.

    The host has no record of its removal; a slower host may still relay its entry.
    """
    registry = ReplicaRegistry()
    registry.replace((record(8, "i-2", TWO),), 0.0, end_offset=20)
    assert not registry.apply((record(12, "i-1", ONE),), 1.0)
    assert registry.apply((record(21, "i-1", ONE),), 1.0)
    assert set(registry.replicas) == {"i-1", "i-2"}


def test_removal_that_only_a_full_list_shows_is_relayed() -> None:
    """Guards against a replica that stays in use at the hosts that do not read."""
    reader, host = ReplicaRegistry(), ReplicaRegistry()
    for registry in (reader, host):
        registry.replace((record(1, "i-1", ONE), record(2, "i-2", TWO)), 0.0)
    reader.replace((record(2, "i-2", TWO),), 1.0, end_offset=9)
    host.apply_changes(reader.changes(1.0, max_age_s=4.0, limit=9), 1.0)
    assert set(host.replicas) == {"i-2"}
    assert not host.apply((record(7, "i-1", ONE),), 2.0)


def test_change_between_two_reads_that_a_list_hides_is_relayed() -> None:
    """Guards against a host that keeps an entry as ready which is draining again.

    The host read the entry while it was ready, the reader only before and after.
    """
    reader, host = ReplicaRegistry(), ReplicaRegistry()
    reader.replace((record(1, "i-1", DRAINING_ONE),), 0.0, end_offset=2)
    host.replace((record(4, "i-1", ONE),), 1.0, end_offset=5)
    reader.replace((record(5, "i-1", DRAINING_ONE),), 2.0, end_offset=6)
    host.apply_changes(reader.changes(2.0, max_age_s=4.0, limit=9), 2.0)
    assert host.replicas["i-1"].is_draining


def test_changes_of_a_host_that_relays_none_are_bounded() -> None:
    """Guards against memory that grows with every change of a long-lived fleet."""
    registry, host = registry_with(record(0, "i-1", ONE)), ReplicaRegistry()
    host.replace((), 0.0, end_offset=300)
    for offset in range(1, 1000):
        replica = attrs.evolve(ONE, is_draining=bool(offset % 2))
        registry.apply((record(offset, "i-1", replica),), 0.0)
    changes = registry.changes(0.0, max_age_s=4.0, limit=1000)
    assert len(changes.records) == 200
    assert changes.after_offset == 799
    assert host.apply_changes(changes, 0.0) is None


def restored_registry(
    *records: RegistryRecord, end_offset: int, known: Replica = ONE
) -> ReplicaRegistry:
    """Return a registry that knew i-1 at offset 40 and then read a restored list."""
    registry = ReplicaRegistry()
    registry.replace((record(40, "i-1", known),), 0.0, end_offset=41, era=1)
    registry.replace(records, 5.0, end_offset=end_offset, era=2)
    return registry


def test_entry_at_an_offset_given_out_again_is_applied() -> None:
    """Guards against a draining replica in use after the store was restored."""
    registry = restored_registry(record(4, "i-1", ONE), end_offset=6)
    assert registry.apply((record(6, "i-1", DRAINING_ONE),), 5.5)
    assert registry.replicas["i-1"].is_draining
    assert registry.apply((record(7, "i-1", None),), 6.0)


def test_draining_replica_is_not_ready_again_in_a_restored_list() -> None:
    """Guards against requests to a replica whose draining the store has forgotten."""
    registry = restored_registry(
        record(4, "i-1", ONE), end_offset=6, known=DRAINING_ONE
    )
    assert registry.replicas["i-1"].is_draining
    registry.replace((record(4, "i-1", ONE),), 5.2, end_offset=9, era=2)
    assert registry.replicas["i-1"].is_draining


def test_known_entry_is_replaced_by_what_was_written_since() -> None:
    """Guards against a host that was cut off and keeps its old view for good."""
    registry = restored_registry(record(45, "i-1", DRAINING_ONE), end_offset=60)
    assert registry.replicas["i-1"].is_draining
    registry = restored_registry(record(4, "i-1", ONE), end_offset=6)
    registry.replace((record(8, "i-1", DRAINING_ONE),), 7.0, end_offset=9, era=2)
    assert registry.replicas["i-1"].is_draining


def test_removed_replica_does_not_return_with_a_restored_list() -> None:
    """Guards against requests to a replica that left before the restore."""
    registry = ReplicaRegistry()
    registry.replace(
        (record(40, "i-1", ONE), record(41, "i-2", TWO)), 0.0, end_offset=42, era=1
    )
    registry.apply((record(42, "i-1", None),), 1.0)
    copy = (record(3, "i-1", ONE), record(4, "i-2", TWO))
    registry.replace(copy, 5.0, end_offset=6, era=2)
    assert set(registry.replicas) == {"i-2"}
    assert registry.apply((record(7, "i-1", ONE),), 6.0)
    assert set(registry.replicas) == {"i-1", "i-2"}


def test_removed_replica_that_starts_again_is_taken_from_a_restored_list() -> None:
    """Guards against a new incarnation that is held back as the removed one."""
    registry = ReplicaRegistry()
    registry.replace((record(40, "i-1", ONE),), 0.0, end_offset=42, era=1)
    registry.apply((record(42, "i-1", None),), 1.0)
    again = attrs.evolve(ONE, started_at_ms=ONE.started_at_ms + 900)
    registry.replace((record(5, "i-1", again),), 5.0, end_offset=6, era=2)
    assert registry.replicas == {"i-1": again}


def test_removal_of_a_withheld_entry_is_relayed() -> None:
    """Guards against a dead replica in use at a host that started with the copy."""
    reader, started = ReplicaRegistry(), ReplicaRegistry()
    reader.replace((record(40, "i-1", ONE),), 0.0, end_offset=42, era=1)
    reader.apply((record(42, "i-1", None),), 1.0)
    for registry in (reader, started):
        registry.replace((record(5, "i-1", ONE),), 5.0, end_offset=6, era=2)
    reader.apply((record(9, "i-1", None),), 9.0)
    assert started.apply_changes(reader.changes(9.0, max_age_s=4.0, limit=9), 9.0)
    assert not started.replicas


def test_entries_that_a_restored_list_lacks_are_kept_for_a_grace_time() -> None:
    """Guards against dropping replicas that registered after the copy was made."""
    registry = restored_registry(end_offset=2)
    assert set(registry.replicas) == {"i-1"}
    registry.apply((record(3, "i-1", ONE),), 6.0)
    assert not registry.expire(20.0)
    registry = restored_registry(end_offset=2)
    assert registry.expire(7.0)
    assert not registry.replicas


def test_registry_handed_over_continues_with_the_changes_of_the_zone() -> None:
    """Guards against a host that starts from a peer's list and misses what follows."""
    peer = registry_with(record(1, "i-1", ONE), record(2, "i-2", TWO))
    peer.replace((record(1, "i-1", ONE),), 1.0, end_offset=1, era=2)
    snapshot = peer.snapshot()
    assert snapshot is not None
    assert ReplicaRegistry().snapshot() is None
    started = ReplicaRegistry()
    started.replace(
        snapshot.records, 1.5, end_offset=snapshot.end_offset + 1, era=snapshot.era
    )
    assert started.replicas == peer.replicas
    removal = record(4, "i-1", None)
    peer.apply((record(3, "i-1", ONE), removal), 2.0)
    relayed = peer.changes(2.0, max_age_s=4.0, limit=30)
    assert started.apply_changes(relayed, 2.5)
    assert "i-1" not in started.replicas


def test_changes_of_another_era_are_not_applied() -> None:
    """Guards against offsets of two eras that are compared with each other."""
    reader = restored_registry(record(4, "i-1", ONE), end_offset=6)
    host = ReplicaRegistry()
    host.replace((record(40, "i-1", ONE),), 0.0, end_offset=41, era=1)
    reader.apply((record(6, "i-1", DRAINING_ONE),), 5.5)
    changes = reader.changes(5.5, max_age_s=4.0, limit=9)
    assert host.apply_changes(changes, 5.5) is None
    host.replace((record(6, "i-1", DRAINING_ONE),), 5.6, end_offset=7, era=2)
    assert host.apply_changes(changes, 5.7) is not None
    assert host.replicas["i-1"].is_draining


def test_entry_that_came_and_went_before_a_list_does_not_stay_at_a_host() -> None:
    """Guards against a replica that left and stays in use at a host that saw it.

    The reader's list lacks it, and no record states its removal to that host.
    """
    reader, host = ReplicaRegistry(), ReplicaRegistry()
    reader.replace((record(0, "i-0", ONE),), 0.0, end_offset=1)
    host.replace((record(0, "i-0", ONE), record(1, "i-1", ONE)), 0.0, end_offset=2)
    reader.replace((record(0, "i-0", ONE),), 1.0, end_offset=3)
    for now_s in (1.0, 1.25):
        changes = reader.changes(now_s, max_age_s=4.0, limit=9)
        assert host.apply_changes(changes, now_s) is None
    host.replace((record(0, "i-0", ONE),), 1.5, end_offset=3)
    assert host.apply_changes(changes, 1.5) is not None
    assert set(host.replicas) == {"i-0"}


def test_changes_of_one_read_are_relayed_in_batches() -> None:
    """Guards against a zone in which all hosts list the registry after many changes.

    With 2,000 replicas, 210 hosts listed it 430 times while layers were placed.
    """
    names = [f"i-{number}" for number in range(500)]
    reader, host, other = ReplicaRegistry(), ReplicaRegistry(), ReplicaRegistry()
    for registry in (reader, host, other):
        records = [record(n, name, desk_replica(name)) for n, name in enumerate(names)]
        registry.replace(tuple(records), 0.0, end_offset=500)
    reader.take_batches(0.5, max_age_s=4.0, limit=100)
    draining = [attrs.evolve(desk_replica(name), is_draining=True) for name in names]
    changed = zip(names, draining, strict=True)
    reader.apply(
        tuple(record(600 + n, name, each) for n, (name, each) in enumerate(changed)),
        1.0,
    )
    batches = reader.take_batches(1.0, max_age_s=4.0, limit=100)
    assert [len(batch.records) for batch in batches] == [100] * 5
    assert all(host.apply_changes(batch, 1.1) for batch in batches)
    assert host.replicas == reader.replicas
    assert other.apply_changes(batches[0], 1.1)
    assert other.apply_changes(batches[2], 1.1) is None
    assert len(reader.take_batches(1.2, max_age_s=4.0, limit=100)) == 1


steps = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.integers(0, 4), st.booleans()),
        st.tuples(st.just("drop"), st.integers(0, 4), st.booleans()),
        st.tuples(st.just("read"), st.just(0), st.booleans()),
        st.tuples(st.just("relay"), st.integers(0, 2), st.booleans()),
        st.tuples(st.just("wait"), st.just(0), st.booleans()),
    ),
    max_size=40,
)


@pytest.mark.parametrize("in_batches", [False, True])
@given(steps=steps)
@example(
    steps=[
        *[("put", 0, False), ("read", 0, True), ("put", 1, False)],
        *[("relay", 0, True), ("drop", 1, False), ("read", 0, True)],
    ]
)
def test_relayed_changes_lead_to_the_state_of_the_store(
    steps: list[tuple[str, int, bool]], in_batches: bool
) -> None:
    """Guards against a host that believes a relay although it missed a change."""
    log: list[RegistryRecord] = []
    reader, host = ReplicaRegistry(), ReplicaRegistry()
    now_s, read_offset = 0.0, 0

    def full_list() -> tuple[RegistryRecord, ...]:
        newest = {each.replica_id: each for each in log}
        return tuple(each for each in newest.values() if each.replica is not None)

    def relay(*, lost: int | None = None) -> None:
        sent = (reader.changes(now_s, max_age_s=4.0, limit=3),)
        if in_batches:
            sent = reader.take_batches(now_s, max_age_s=4.0, limit=1)
        for number, changes in enumerate(sent):
            if number != lost and host.apply_changes(changes, now_s) is None:
                host.replace(full_list(), now_s, end_offset=len(log))

    reader.replace(full_list(), now_s, end_offset=0)
    host.replace(full_list(), now_s, end_offset=0)
    for kind, number, flag in steps:
        name = f"i-{number}"
        if kind == "put":
            replica = attrs.evolve(desk_replica(name), is_draining=flag)
            log.append(record(len(log), name, replica))
        elif kind == "drop":
            log.append(record(len(log), name, None))
        elif kind == "wait":
            now_s += 3.0
        elif kind == "read" and flag:
            reader.replace(full_list(), now_s, end_offset=len(log))
            read_offset = len(log)
        elif kind == "read":
            reader.apply(tuple(log[read_offset:]), now_s)
            read_offset = len(log)
        else:
            relay(lost=None if flag else number)
    reader.apply(tuple(log[read_offset:]), now_s)
    relay()
    expected = {each.replica_id: each.replica for each in full_list()}
    assert reader.replicas == expected
    assert host.replicas == expected


restore_steps = st.lists(
    st.one_of(
        st.tuples(st.just("put"), st.integers(0, 4), st.booleans()),
        st.tuples(st.just("drop"), st.integers(0, 4), st.booleans()),
        st.tuples(st.just("restore"), st.integers(0, 8), st.booleans()),
        st.tuples(st.just("read"), st.just(0), st.booleans()),
        st.tuples(st.just("relay"), st.just(0), st.booleans()),
    ),
    max_size=40,
)


@given(restore_steps)
def test_views_agree_with_the_live_replicas_after_restores(
    steps: list[tuple[str, int, bool]],
) -> None:
    """Guards against an entry of the copy that outlasts the next heartbeats."""
    log: list[RegistryRecord] = []
    live: dict[str, Replica] = {}
    reader, host = ReplicaRegistry(), ReplicaRegistry()
    era, read_offset = 1, 0

    def list_entries(registry: ReplicaRegistry) -> None:
        newest = {each.replica_id: each for each in log}
        entries = tuple(each for each in newest.values() if each.replica is not None)
        registry.replace(entries, 0.0, end_offset=len(log), era=era)

    def read() -> int:
        if reader.era != era:
            list_entries(reader)
        else:
            reader.apply(tuple(log[read_offset:]), 0.0)
        return len(log)

    def relay() -> None:
        changes = reader.changes(0.0, max_age_s=4.0, limit=3)
        if host.apply_changes(changes, 0.0) is None:
            list_entries(host)

    def write(name: str, replica: Replica | None) -> None:
        log.append(record(len(log), name, replica))

    write("other", TWO)
    list_entries(reader)
    list_entries(host)
    read_offset = len(log)
    for kind, number, flag in steps:
        name = f"i-{number}"
        if kind == "put":
            live[name] = attrs.evolve(desk_replica(name), is_draining=flag)
            write(name, live[name])
        elif kind == "drop":
            live.pop(name, None)
            write(name, None)
        elif kind == "restore":
            del log[max(1, len(log) - number) :]
            era += 1
        elif kind == "read":
            read_offset = read()
        elif flag:
            relay()
    read_offset = read()
    relay()
    for name in {each.replica_id for each in log} | live.keys():
        write(name, live.get(name))
    read_offset = read()
    list_entries(host)
    relay()
    for registry in (reader, host):
        registry.expire(60.0)
        assert registry.replicas == live
