"""Tests of the queue of waiting requests, without upstreams."""

import random
from collections import Counter
from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.forwarding import GenerationSize, RouteKind, Tenant
from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._queue import (
    CLASS_FLOOR,
    LONG_RATE_WINDOW_S,
    MAX_HOLD_S,
    MAX_PASSES,
    TOTAL_FLOOR,
    RequestQueue,
)
from persimmonwell.core.forwarding._workspace_usage import USAGE_MEMORY_S
from tests.core.forwarding.fleets import CONFIG, SIZE, request, route

MODEL = CONFIG.services[0]
ROUTES = [
    route(f"p{number}", RouteKind.STREAM, "model", priority=number)
    for number in range(3)
]
LARGE = GenerationSize(prompt_tokens=9000, max_output_tokens=600)


def waiting(
    key: int,
    tenant: str | None = "a",
    *,
    priority: int = 0,
    size: GenerationSize = SIZE,
    now_s: float = 0.0,
    timeout_s: float = 20.0,
    **state: bool,
) -> ActiveRequest:
    active = ActiveRequest(
        key=key,
        request=request(f"p{priority}", size=size),
        route=ROUTES[priority],
        service=MODEL,
        tenant=Tenant(tenant, (tenant,)) if tenant is not None else None,
        arrived_s=now_s,
        deadline_s=now_s + timeout_s,
    )
    for name, value in state.items():
        setattr(active, name, value)
    return active


def keys(queue: RequestQueue) -> list[int]:
    return [active.key for active in queue]


def send_next(
    queue: RequestQueue,
    now_s: float,
    fits: Callable[[ActiveRequest], bool] = lambda active: True,
) -> ActiveRequest | None:
    """Send the first request in the order that fits."""
    for active in queue.candidates(now_s):
        if fits(active):
            queue.record_send(active, now_s)
            return active
    return None


def serve(
    queue: RequestQueue,
    rates: dict[tuple[str, int], float],
    *,
    room_per_s: float,
    seconds: float = 30.0,
) -> tuple[Counter[tuple[str, int]], Counter[tuple[str, int]]]:
    """Return the arrivals and the sends by tenant and priority.

    Requests arrive at random, and leave the queue unserved when their time is over.
    """
    rng = random.Random(11)
    flows = list(rates)
    step_s = 1.0 / room_per_s
    arrived: Counter[tuple[str, int]] = Counter()
    sent: Counter[tuple[str, int]] = Counter()
    flow_of: dict[int, tuple[str, int]] = {}
    key = 0
    for step in range(int(seconds / step_s)):
        now_s = step * step_s
        for active in list(queue):
            if now_s > active.latest_send_s:
                queue.discard(active)
        for flow in flows:
            for _ in range(4):
                if rng.random() < rates[flow] * step_s / 4:
                    key += 1
                    arrived[flow] += 1
                    flow_of[key] = flow
                    active = waiting(key, flow[0], priority=flow[1], now_s=now_s)
                    if queue.expected_wait_s(active, now_s) <= active.max_wait_s:
                        queue.add(active)
        active = send_next(queue, now_s)
        if active is not None:
            sent[flow_of[active.key]] += 1
    return arrived, sent


def test_sends_without_a_queue_use_bounded_memory() -> None:
    """Guards against a host that runs out of memory after days without a queue."""
    queue = RequestQueue()
    for number in range(100_000):
        tenant = f"t{number % 2000}"
        queue.record_send(waiting(number, tenant), number * 0.01)
    assert len(queue._send_times_s) <= LONG_RATE_WINDOW_S / 0.01 + 1
    for number in range(3):
        queue.record_send(waiting(0, "last"), 1e4 * number)
    assert len(queue._queues[(0, 0)]._flows) <= 1


def test_a_tenant_at_eight_times_its_load_takes_only_its_share() -> None:
    """Guards against a workspace that takes the capacity of its priority class.

    Load: 23 ordinary tenants and one at eight times their rate, twice the room.
    """
    rates = {(f"t{number}", 0): 10.0 for number in range(23)}
    rates[("heavy", 0)] = 80.0
    room_per_s = sum(rates.values()) / 2
    arrived, sent = serve(RequestQueue(), rates, room_per_s=room_per_s)
    fair = 30.0 * room_per_s / 24
    for flow in rates:
        assert sent[flow] >= 0.9 * min(fair, arrived[flow]), (flow, sent)


def test_an_ordinary_tenant_beside_heavy_ones_gets_its_demand() -> None:
    """Guards against light tenants that wait behind the queues of heavy ones.

    Load: four tenants at a multiple of their share and two below it, twice the room.
    """
    rates = {(f"heavy{number}", 0): 46.0 for number in range(4)}
    rates |= {("light1", 0): 8.0, ("light2", 0): 8.0}
    arrived, sent = serve(RequestQueue(), rates, room_per_s=100.0)
    for flow in (("light1", 0), ("light2", 0)):
        assert sent[flow] >= 0.95 * arrived[flow]


def test_urgent_requests_go_first_and_the_others_keep_a_floor() -> None:
    """Guards against a class that is never served in a long surge, and against floors
    that cost the most urgent class more than a tenth.

    Load: three classes, each at twice the room.
    """
    rates = {("a", priority): 200.0 for priority in range(3)}
    _, sent = serve(RequestQueue(), rates, room_per_s=100.0)
    assert sent[("a", 0)] >= (1.0 - TOTAL_FLOOR) * 0.98 * 3000
    for priority in (1, 2):
        assert sent[("a", priority)] >= 0.9 * CLASS_FLOOR * 3000


def test_a_class_that_begins_to_wait_does_not_precede_an_urgent_one() -> None:
    """Guards against a floor that lets each new batch request pass urgent ones."""
    queue = RequestQueue()
    for key in range(4):
        queue.add(waiting(key, priority=0))
    queue.add(waiting(9, priority=2))
    sent = [send_next(queue, 0.1) for _ in range(5)]
    assert [active and active.key for active in sent] == [0, 1, 2, 3, 9]


def test_interrupted_and_returning_callers_go_first_in_their_tenant_alone() -> None:
    """Guards against refusing the same callers again, and against a tenant whose
    returning callers take the turns of the others."""
    queue = RequestQueue()
    for key in (1, 2):
        queue.add(waiting(key, "a"))
    queue.add(waiting(3, "a", is_caller_retry=True))
    queue.add(waiting(4, "a", has_partial_answer=True))
    queue.add(waiting(5, "b"))
    queue.add(waiting(6, "b"))
    assert [key for key in keys(queue) if key < 5] == [4, 3, 1, 2]
    assert set(keys(queue)[:2]) == {4, 5}


def test_a_caller_with_less_time_goes_before_another_of_its_tenant() -> None:
    """Guards against a caller that times out behind one with time to spare."""
    queue = RequestQueue()
    queue.add(waiting(1, timeout_s=20.0))
    queue.add(waiting(2, timeout_s=1.0))
    assert keys(queue) == [2, 1]


def test_tokens_are_shared_and_not_requests() -> None:
    """Guards against a tenant that gets more by sending larger requests."""
    queue = RequestQueue()
    for key in range(400):
        large = key % 2 == 0
        queue.add(
            waiting(key, "large" if large else "small", size=LARGE if large else SIZE)
        )
    tokens: Counter[str] = Counter()
    for _ in range(120):
        active = send_next(queue, 0.0)
        assert active is not None
        tokens[active.workspace] += active.cost_tokens
    assert abs(tokens["large"] - tokens["small"]) <= waiting(0, size=LARGE).cost_tokens


def test_requests_without_a_tenant_share_one_turn() -> None:
    """Guards against callers without a key that count as a workspace each."""
    queue = RequestQueue()
    for key in range(6):
        queue.add(waiting(key, None))
    queue.add(waiting(9, "a"))
    assert 9 in keys(queue)[:2]


def test_a_head_without_room_keeps_its_turn() -> None:
    """Guards against a request that lost its turn because it did not fit at first."""
    queue = RequestQueue()
    queue.add(waiting(1, "a", size=LARGE))
    for key in range(2, 8):
        queue.add(waiting(key, f"t{key}"))
    for _ in range(2):
        sent = send_next(queue, 0.0, lambda active: active.key != 1)
        assert sent is not None and sent.key != 1
    assert keys(queue)[0] == 1


def test_a_request_behind_a_blocked_one_of_its_tenant_is_tried() -> None:
    """Guards against capacity left free because a tenant's first request waits for an
    upstream of its own."""
    queue = RequestQueue()
    for key in (1, 2):
        queue.add(waiting(key, "a"))
    sent = send_next(queue, 0.0, lambda active: active.key != 1)
    assert sent is not None and sent.key == 2


def serve_large_and_small(queue: RequestQueue, seconds: float) -> Counter[str]:
    """Return the arrivals and sends of each size at twice the room.

    Running requests hold their tokens in a memory that is full all the time, so a large
    one fits only after several small ones have ended without a successor.
    """
    rng = random.Random(5)
    memory, free, ends, count = 45_000, 45_000, [], Counter[str]()
    step_s = 0.005
    for step in range(int(seconds / step_s)):
        now_s = step * step_s
        while ends and ends[0][0] <= now_s:
            free += ends.pop(0)[1]
        for active in list(queue):
            if now_s > active.latest_send_s:
                queue.discard(active)
        # A second for each answer: half of the arriving tokens fit.
        if rng.random() < 2 * memory * step_s / 1900:
            large = rng.random() < 0.1
            name = "large" if large else "small"
            size = LARGE if large else SIZE
            active = waiting(step, f"t{step % 5}", size=size, now_s=now_s)
            count[name] += 1
            if queue.expected_wait_s(active, now_s) <= active.max_wait_s:
                queue.add(active)
        tried = 0
        for active in queue.candidates(now_s):
            if active.cost_tokens <= free:
                free -= active.cost_tokens
                ends.append((now_s + 1.0, active.cost_tokens))
                queue.record_send(active, now_s)
                count[
                    "sent " + ("large" if active.cost_tokens > 2000 else "small")
                ] += 1
            elif (tried := tried + 1) >= 6:
                break
    count["used"] = memory - free
    return count


def test_the_largest_tenth_is_not_starved_by_small_requests() -> None:
    """Guards against large prompts that never fit, since each place that becomes free
    is taken by a small one. Load: a tenth large requests, twice the room."""
    count = serve_large_and_small(RequestQueue(), 60.0)
    arrived = count["large"] + count["small"]
    sent = count["sent large"] + count["sent small"]
    assert count["sent large"] / count["large"] >= 0.5 * sent / arrived, count


def test_a_request_that_fits_nowhere_does_not_keep_others_from_free_places() -> None:
    """Guards against free capacity, kept for a request that will never fit."""
    queue, sent, now_s = RequestQueue(), 0, 0.0
    while now_s < 30.0:
        key = int(now_s * 1000)
        if key % 100 == 0:
            queue.add(waiting(key + 1, "a", size=LARGE, now_s=now_s))
        for active in list(queue):
            if now_s > active.latest_send_s:
                queue.discard(active)
        queue.add(waiting(key + 2, "b", now_s=now_s))
        sent += (
            send_next(queue, now_s, lambda active: active.workspace == "b") is not None
        )
        now_s += 0.01
    assert sent >= 0.85 * 3000


def test_a_held_turn_ends_with_the_request() -> None:
    """Guards against a hold that outlives its request and stops the queue."""
    queue = RequestQueue()
    large = waiting(1, "a", size=LARGE)
    queue.add(large)
    for key in range(2, 40):
        queue.add(waiting(key, f"t{key}"))
    for _ in range(MAX_PASSES):
        assert send_next(queue, 0.0, lambda active: active is not large)
    assert send_next(queue, 0.01, lambda active: active is not large) is None
    queue.add(waiting(99, "z", priority=0, has_partial_answer=True))
    assert send_next(queue, MAX_HOLD_S, lambda active: active is not large) is None
    queue.discard(large)
    assert send_next(queue, MAX_HOLD_S, lambda active: active is not large)


def test_service_without_a_wait_counts_once_a_queue_forms() -> None:
    """Guards against a tenant that had all places and also gets the next ones.

    The host hears nothing from its peers and decides by its own sends.
    """
    queue = RequestQueue()
    for key in range(50):
        queue.record_send(waiting(key, "heavy"), key * 0.02)
    queue.record_send(waiting(60, "light"), 1.0)
    for key in (70, 71):
        queue.add(waiting(key, "heavy", now_s=1.0))
    queue.add(waiting(72, "light", now_s=1.01))
    assert keys(queue)[0] == 72
    later_s = 1.0 + 20 * USAGE_MEMORY_S
    queue.record_send(waiting(73, "other"), later_s)
    for active in list(queue):
        queue.discard(active)
    queue.add(waiting(80, "heavy", now_s=later_s))
    queue.add(waiting(81, "fresh", now_s=later_s))
    queue.add(waiting(82, "heavy", now_s=later_s))
    assert 80 in keys(queue)[:2], "service of minutes ago still counts"


@pytest.mark.parametrize("start_s", [0.0, 49.9 * USAGE_MEMORY_S, 1e7])
def test_a_new_base_of_the_tags_keeps_the_order(start_s: float) -> None:
    """Guards against a host whose order of tenants is lost, or overflows, with time."""
    queue = RequestQueue()
    queue.record_send(waiting(0, "idle"), 0.0)
    sent: list[str] = []
    for key in range(1, 41):
        queue.add(waiting(key, "ab"[key % 2], now_s=start_s))
    for step in range(40):
        active = send_next(queue, start_s + step * 0.1)
        assert active is not None
        sent.append(active.workspace)
    assert abs(Counter(sent[:20])["a"] - 10) <= 1


operations = st.lists(
    st.tuples(
        st.sampled_from(["add", "add", "add", "discard", "send", "pass", "at once"]),
        st.integers(0, 3),
        st.integers(0, 2),
        st.integers(0, 2),
        st.floats(0.0, 400.0) | st.just(0.01),
    ),
    min_size=20,
    max_size=80,
)


@given(operations)
def test_no_request_is_lost_or_served_twice(
    steps: list[tuple[str, int, int, int, float]],
) -> None:
    """Guards against a request that never ends, or that is sent again."""
    queue, expected, now_s = RequestQueue(), dict[int, ActiveRequest](), 0.0
    for key, (kind, tenant, priority, precedence, gap_s) in enumerate(steps):
        now_s += gap_s
        active = waiting(
            key,
            f"t{tenant}" if tenant else None,
            priority=priority,
            size=LARGE if precedence == 2 else SIZE,
            now_s=now_s,
            is_caller_retry=precedence == 1,
        )
        if kind == "add":
            queue.add(active)
            expected[key] = active
        elif kind == "at once":
            queue.record_send(active, now_s)
        elif kind == "discard" and expected:
            chosen = expected.pop(sorted(expected)[(tenant * 7) % len(expected)])
            queue.discard(chosen)
            queue.discard(chosen)
        elif kind == "send":
            sent = send_next(queue, now_s)
            # No request was passed over, so none is waited for.
            assert (sent is None) == (not expected)
            if sent is not None:
                assert expected.pop(sent.key) is sent
        elif kind == "pass":
            seen = []
            for candidate in queue.candidates(now_s):
                seen.append(candidate.key)
                if len(seen) % 3 == precedence:
                    queue.record_send(candidate, now_s)
                    assert expected.pop(candidate.key) is candidate
                elif len(seen) % 5 == tenant:
                    queue.discard(candidate)
                    del expected[candidate.key]
            assert len(seen) == len(set(seen))
        assert len(queue) == len(expected) == sum(queue.sizes.values())
        assert sorted(keys(queue)) == sorted(expected)
        assert all(
            queue.count_ahead_of(each) <= len(expected) for each in expected.values()
        )


@given(
    st.lists(st.tuples(st.integers(0, 3), st.booleans(), st.booleans()), max_size=30),
    st.integers(0, 3),
)
def test_nobody_is_ahead_of_a_new_request_only_if_it_would_go_first(
    steps: list[tuple[int, bool, bool]], tenant: int
) -> None:
    """Guards against a new request that takes the place of one that waits."""
    queue = RequestQueue()
    for key, (name, is_large, is_sent) in enumerate(steps):
        active = waiting(key, f"t{name}", size=LARGE if is_large else SIZE)
        if is_sent and len(queue) > 1:
            send_next(queue, key * 0.1)
        else:
            queue.add(active)
    active = waiting(99, f"t{tenant}")
    ahead = queue.count_ahead_of(active)
    queue.add(active)
    assert (ahead == 0) == (keys(queue)[0] == 99)
