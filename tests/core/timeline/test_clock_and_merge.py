"""Test the hybrid clock, the ring bound, filters and the merged order."""

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell._exceptions import DocumentError
from persimmonwell.core.timeline import (
    EventFilter,
    EventKind,
    HybridClock,
    HybridTimestamp,
    RingSnapshot,
    TimelineEvent,
    TimelineRing,
    merge_rings,
    ring_from_document,
    ring_to_document,
)

WALL = st.sampled_from([0.0, 1.0, 1.5, 2.0]) | st.floats(0, 3)
STAMPS = st.builds(
    HybridTimestamp,
    st.sampled_from([0, 1_000_000, 1_500_000, 2_000_000]) | st.integers(0, 4_000_000),
    st.integers(0, 9),
)
HOSTS = ("host-1", "host-2", "host-3")


@given(st.lists(st.tuples(WALL, st.none() | STAMPS), max_size=40))
def test_local_time_strictly_increases(steps: list[tuple[float, object]]) -> None:
    """Guards against time that runs backwards after a clock step or a peer's stamp."""
    clock = HybridClock(max_drift_s=1.0)
    last = HybridTimestamp(-1)
    for wall_s, remote in steps:
        adopted = isinstance(remote, HybridTimestamp) and clock.observe(remote, wall_s)
        stamp = clock.tick(wall_s)
        assert stamp > last
        assert not adopted or (isinstance(remote, HybridTimestamp) and stamp > remote)
        last = stamp


@pytest.mark.parametrize(
    ("ahead_us", "adopted"), [(0, True), (1_000_000, True), (1_000_001, False)]
)
def test_drift_bound(ahead_us: int, adopted: bool) -> None:
    """Guards against one host's wrong clock that spreads to every host."""
    clock = HybridClock(max_drift_s=1.0)
    remote = HybridTimestamp(100_000_000 + ahead_us, 3)
    assert clock.observe(remote, 100.0) is adopted
    assert clock.rejected_stamps == (0 if adopted else 1)
    assert (clock.tick(100.0) > remote) is adopted


@given(
    st.lists(st.sampled_from(["local", "send", "receive"]), max_size=60),
    st.integers(0, 2**32),
)
def test_merge_keeps_causal_order(actions: list[str], seed: int) -> None:
    """Guards against an effect listed before its cause on hosts with skewed clocks.

    Vector clocks serve as the independent reference for "happened before".
    """
    rng = random.Random(seed)
    skew = {host: rng.uniform(-2, 2) for host in HOSTS}
    clocks = {host: HybridClock(max_drift_s=10.0) for host in HOSTS}
    rings = {host: TimelineRing(host=host, capacity=100) for host in HOSTS}
    vectors = {host: dict.fromkeys(HOSTS, 0) for host in HOSTS}
    known: dict[tuple[str, int], dict[str, int]] = {}
    sent: list[tuple[HybridTimestamp, dict[str, int]]] = []
    counts = dict.fromkeys(HOSTS, 0)
    now_s = 1000.0
    for action in actions:
        now_s += rng.uniform(0, 0.5)
        host = rng.choice(HOSTS)
        wall_s = now_s + skew[host]
        if action == "receive" and sent:
            stamp, vector = rng.choice(sent)
            assert clocks[host].observe(stamp, wall_s)
            vectors[host] = {h: max(vectors[host][h], vector[h]) for h in HOSTS}
        stamp = clocks[host].tick(wall_s)
        vectors[host][host] += 1
        known[host, counts[host]] = dict(vectors[host])
        counts[host] += 1
        rings[host].append(stamp, EventKind.RECEIVED)
        if action == "send":
            sent.append((stamp, dict(vectors[host])))
    snapshots = [ring.select(EventFilter(), limit=100) for ring in rings.values()]
    rng.shuffle(snapshots)
    merged = merge_rings([*snapshots, snapshots[0]])
    assert len(merged) == len(actions)
    for index, later in enumerate(merged):
        after = known[later.host, later.sequence]
        for earlier in merged[index + 1 :]:
            before = known[earlier.host, earlier.sequence]
            happened_before = all(before[h] <= after[h] for h in HOSTS)
            assert not happened_before, f"{earlier} belongs before {later}"


@given(st.integers(1, 20), st.integers(0, 60))
def test_ring_is_bounded_and_counts_the_overwritten(capacity: int, count: int) -> None:
    """Guards against unbounded memory and overwritten events that go uncounted."""
    ring = TimelineRing(host="host-1", capacity=capacity)
    for number in range(count):
        ring.append(HybridTimestamp(number), EventKind.RECEIVED)
    kept = ring.select(EventFilter(), limit=100)
    assert [e.sequence for e in kept.events] == list(range(count))[-capacity:]
    assert kept.overwritten == ring.overwritten == max(0, count - capacity)


EVENT = TimelineEvent(
    "host-1",
    7,
    HybridTimestamp(5_000_000, 2),
    EventKind.RESUMED,
    "r1",
    "range-a",
    ("engine-1", "engine-2"),
    "attempt 2",
)


@pytest.mark.parametrize(
    ("wanted", "matches"),
    [
        (EventFilter(), True),
        (EventFilter(request_id="r1", workspace="range-a"), True),
        (EventFilter(request_id="r2"), False),
        (EventFilter(workspace="range-b"), False),
        (EventFilter(upstream_id="engine-2"), True),
        (EventFilter(upstream_id="engine"), False),
        (EventFilter(since_s=5.0, until_s=5.0), True),
        (EventFilter(since_s=5.1), False),
        (EventFilter(until_s=4.9), False),
    ],
)
def test_filter(wanted: EventFilter, matches: bool) -> None:
    """Guards against a filter that returns events of other requests."""
    ring = TimelineRing(host="host-1", capacity=8)
    fields = attrs.asdict(EVENT, recurse=False)
    for name in ("host", "sequence"):
        del fields[name]
    for _ in range(8):
        ring.append(**fields)
    chosen = ring.select(wanted, limit=1)
    assert chosen.events == ((EVENT,) if matches else ())
    assert chosen.truncated is matches


def test_documents_round_trip_and_name_faults() -> None:
    """Guards against a command that crashes on a host's malformed answer."""
    empty = TimelineEvent("host-1", 8, HybridTimestamp(2 * 10**15), EventKind.OTHER)
    ring = RingSnapshot("host-1", 3, (EVENT, empty), truncated=True)
    assert ring_from_document(ring_to_document(ring)) == ring
    with pytest.raises(DocumentError) as error:
        ring_from_document({"host": 1, "events": [{"host": "h", "sequence": "x"}]})
    paths = [fault.path for fault in error.value.faults]
    assert "/host" in paths and "/events/0/sequence" in paths
    with pytest.raises(DocumentError):
        ring_from_document([])
