"""Check the estimates of requests in flight and token backlog."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core import Chain, InflightCount, LayerRange, Stage
from persimmonwell.core.routing import InflightTracker

WHOLE = LayerRange(0, 6)


def chain(*names: str) -> Chain:
    return Chain(tuple(Stage(name, "10.0.0.1:1", WHOLE) for name in names))


CHAINS = st.sampled_from([chain("a"), chain("a", "b"), chain("b", "c"), chain("b")])
STEPS = st.tuples(
    st.sampled_from(["start", "finish", "progress", "report", "peer", "expire"]),
    CHAINS,
    st.integers(0, 9),
)


@given(st.lists(STEPS, max_size=60))
def test_counts_are_exact_and_never_negative(
    steps: list[tuple[str, Chain, int]],
) -> None:
    """Guards against wrong or negative counts after unmatched calls."""
    tracker = InflightTracker(seed=1)
    running: list[Chain] = []
    for now_s, (kind, target, amount) in enumerate(steps):
        name = target.upstream_ids[0]
        match kind:
            case "start":
                tracker.record_start(target, tokens=amount, now_s=now_s)
                running.append(target)
            case "finish":
                is_running = target in running
                assert tracker.record_finish(target, now_s=now_s) == is_running
                if is_running:
                    running.remove(target)
            case "progress":
                tracker.record_progress(target, tokens=amount, now_s=now_s)
            case "report":
                load = {"running": amount, "queued": 0, "age_s": amount / 2}
                tracker.apply_load_report(name, **load, now_s=now_s)
            case "peer":
                counts = (InflightCount(name, amount - 2),)
                tracker.apply_peer_inflight(f"h{amount % 3}", counts, now_s=now_s)
            case "expire":
                tracker.expire(now_s)
                tracker.drop_unlisted({"a"})
        for upstream_id in "abc":
            load = tracker.load(upstream_id)
            assert load.own_requests == sum(
                upstream_id in c.upstream_ids for c in running
            )
            assert load.other_requests == load.total_requests - load.own_requests >= 0
            assert load.backlog_tokens >= 0 and (
                load.own_requests or not load.backlog_tokens
            )
    listed = {c.upstream_id: c.requests for c in tracker.inflight_counts()}
    assert listed == {
        u: tracker.load(u).own_requests for u in "abc" if tracker.load(u).own_requests
    }


@pytest.mark.parametrize(
    ("before", "after", "ended", "running", "peers", "total"),
    [
        (3, 0, 0, 3, 0, 3),  # the report holds own requests only
        (3, 2, 0, 3, 0, 5),  # and two were sent since
        (3, 0, 2, 5, 0, 3),  # two own ended since, two belong to others
        (0, 4, 0, 6, 2, 10),  # peers' counts are part of the report
        (0, 1, 0, 0, 5, 6),  # or newer than it
    ],
)
def test_own_requests_count_once(
    before: int, after: int, ended: int, running: int, peers: int, total: int
) -> None:
    """Guards against own requests that a delayed report counts twice."""
    tracker = InflightTracker(seed=1)
    for _ in range(before):
        tracker.record_start(chain("a"), tokens=10, now_s=1.0)
    for _ in range(after):
        tracker.record_start(chain("a"), tokens=10, now_s=3.0)
    for _ in range(ended):
        tracker.record_finish(chain("a"), now_s=3.0)
    tracker.apply_peer_inflight("h", (InflightCount("a", peers),), now_s=4.0)
    tracker.apply_load_report("a", running=running, queued=0, age_s=2.0, now_s=4.0)
    tracker.apply_load_report("a", running=99, queued=0, age_s=3.0, now_s=4.0)
    assert tracker.load("a").total_requests == total
    tracker.expire(60.0)
    assert tracker.load("a").total_requests == before + after - ended


def test_progress_gives_the_gap_of_a_single_request() -> None:
    """Guards against a gap computed across two requests on one chain."""
    tracker = InflightTracker(seed=1)
    gaps = []
    for step, starts in enumerate((1, 0, 0, 1, 0)):
        for _ in range(starts):
            tracker.record_start(chain("a"), tokens=90, now_s=float(step))
        gaps.append(tracker.record_progress(chain("a"), tokens=4, now_s=float(step)))
    assert gaps == [None, 0.25, 0.25, None, None]
    assert tracker.load("a").backlog_tokens == 160


@given(st.integers(1, 32), st.integers(1, 8), st.data())
def test_hosts_share_reported_free_slots(
    slots: int, hosts: int, data: st.DataObject
) -> None:
    """Guards against hosts that each take every slot of one stale report."""
    own = [data.draw(st.integers(0, 2 * slots // hosts)) for _ in range(hosts)]
    running = sum(own)
    started = 0
    for seed, count in enumerate(own):
        tracker = InflightTracker(seed=seed)
        for _ in range(count):
            tracker.record_start(chain("a"), tokens=9, now_s=0.0)
        queued = max(0, running - slots)
        tracker.apply_load_report(
            "a", running=running - queued, queued=queued, age_s=0.0, now_s=1.0
        )
        free = tracker.load("a").free_for_host(slots, host_count=hosts)
        assert count + free <= max(slots, count)
        started += max(0, free)
    # Each host may round up, take the last free slot, or use its equal share.
    free_then = max(0, slots - running)
    assert started <= free_then + hosts + sum(max(0, slots // hosts - c) for c in own)
    if running < slots:
        assert started >= 1
