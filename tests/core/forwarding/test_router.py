"""Tests of the forwarding decisions under load and faults."""

from collections import Counter

import attrs
import pytest

from persimmonwell.core.forwarding import (
    AttemptFailure,
    CancelAttempt,
    Decision,
    Ending,
    FetchStallReport,
    Finish,
    ForwardingRouter,
    GenerationSize,
    ProbeReplica,
    ReplicaReport,
    Reroute,
    Send,
)
from persimmonwell.core.forwarding._queue import RequestQueue
from tests.core.forwarding.fleets import (
    CONFIG,
    desk_replica,
    list_replicas,
    make_router,
    request,
    staged_replica,
)

CHAIN = (
    staged_replica("a", "za", 0, 30),
    staged_replica("b", "za", 30, 55),
    staged_replica("c", "za", 55, 80),
)
COPY = staged_replica("d", "za", 30, 55)
OTHER_ZONE = (
    staged_replica("x", "zb", 0, 30),
    staged_replica("y", "zb", 30, 55),
    staged_replica("z", "zb", 55, 80),
)
DESKS = (desk_replica("d-1"), desk_replica("d-2", "zb"), desk_replica("d-3", "zc"))
FAILED = AttemptFailure


def sends(decisions: tuple[Decision, ...]) -> list[Send]:
    return [decision for decision in decisions if isinstance(decision, Send)]


def only_send(decisions: tuple[Decision, ...]) -> Send:
    (send,) = decisions
    assert isinstance(send, Send)
    return send


def only_finish(decisions: tuple[Decision, ...]) -> Finish:
    (finish,) = decisions
    assert isinstance(finish, Finish)
    return finish


def fill(router: ForwardingRouter, name: str, requests: int) -> None:
    for _ in range(requests):
        router.loads.add(name, 0)


@pytest.mark.parametrize(
    ("path", "key", "ending"),
    [
        ("none", "key-1", Ending.UNKNOWN_ROUTE),
        ("look", "key-9", Ending.UNKNOWN_KEY),
        ("urgent", "key-1", Ending.NOT_READY),
    ],
)
def test_a_request_that_cannot_be_served_is_refused_at_once(
    path: str, key: str, ending: Ending
) -> None:
    """Guards against holding requests until their deadline in vain."""
    router = make_router(*DESKS)
    finish = only_finish(router.request_arrived(1, request(path, api_key=key), 0.0))
    assert finish.ending is ending
    assert router.open_request_count == 0


@pytest.mark.parametrize(("path", "key"), [("none", "key-1"), ("look", "key-9")])
def test_host_behind_its_peers_does_not_deny_a_route_or_a_key(
    path: str, key: str
) -> None:
    """Guards against 404 for an accepted route at a host that starts from a copy.

    The restored store had an older version, and the peers knew the newer one.
    """
    router = make_router(*DESKS)
    router.peer_config_version = CONFIG.version + 1
    finish = only_finish(router.request_arrived(1, request(path, api_key=key), 0.0))
    assert finish.ending is Ending.NOT_READY and finish.retry_after_s > 0
    only_send(router.request_arrived(2, request("look"), 0.0))
    router.configure(attrs.evolve(CONFIG, version=CONFIG.version + 1))
    finish = only_finish(router.request_arrived(3, request(path, api_key=key), 0.0))
    assert finish.ending in (Ending.UNKNOWN_ROUTE, Ending.UNKNOWN_KEY)


def test_without_a_configuration_the_router_is_not_ready() -> None:
    """Guards against 404 for a route whose configuration has not arrived yet."""
    router = ForwardingRouter(
        availability_zone="za",
        seed=1,
        retry_ratio=0.2,
        retry_slack=10.0,
        retry_window_s=10.0,
    )
    finish = only_finish(router.request_arrived(1, request("look"), 0.0))
    assert finish.ending is Ending.NOT_READY
    assert finish.retry_after_s > 0


def test_a_configuration_that_is_not_newer_is_ignored() -> None:
    """Guards against a configuration that reverts to an older version."""
    router = make_router()
    assert not router.configure(attrs.evolve(CONFIG, version=6, routes=()))
    assert not router.configure(attrs.evolve(CONFIG, routes=()))
    assert router.config == CONFIG


@pytest.mark.parametrize("failure", [FAILED.BROKEN, FAILED.SILENT, FAILED.ERROR])
def test_an_unsafe_request_that_may_have_run_is_not_retried(
    failure: AttemptFailure,
) -> None:
    """Guards against a duplicate booking, and against a false "not run"."""
    router = make_router(*DESKS)
    only_send(router.request_arrived(1, request("book"), 0.0))
    finish = only_finish(router.attempt_failed(1, 1, failure, 0.1))
    assert finish.ending is Ending.UPSTREAM_FAILED
    assert not finish.ending.has_not_run


@pytest.mark.parametrize("failure", [FAILED.NOT_RUN, FAILED.NO_CONNECTION])
def test_a_request_that_never_ran_ends_as_overloaded(
    failure: AttemptFailure,
) -> None:
    """Guards against "may have run" for a request that no upstream ran."""
    router = make_router(*DESKS[:1])
    only_send(router.request_arrived(1, request("book"), 0.0))
    decisions = router.attempt_failed(1, 1, failure, 0.1)
    for now in range(2, 30):
        if any(isinstance(decision, Finish) for decision in decisions):
            break
        for send in sends(decisions):
            assert send.replica_id == "d-1"
            decisions = router.attempt_failed(1, send.attempt, failure, now / 10)
            break
        else:
            decisions = router.tick(now / 10)
    finish = only_finish(
        tuple(decision for decision in decisions if isinstance(decision, Finish))
    )
    assert finish.ending is Ending.OVERLOADED


def test_max_attempts_limits_the_upstreams_of_a_request() -> None:
    """Guards against unlimited retries of one request at a failing service.

    Requests were sent to the same replica without limit: 251 retries in 10 s at a
    service whose answers failed, where the retry budget allowed 219.
    """
    router = make_router(*DESKS)
    used: Counter[str] = Counter()
    decisions = router.request_arrived(1, request("look"), 0.0)
    for step in range(20):
        found = sends(decisions)
        if not found:
            break
        used[found[0].replica_id] += 1
        decisions = router.attempt_failed(1, found[0].attempt, FAILED.ERROR, step / 50)
    assert len(used) == 2
    assert used.total() <= 4
    assert only_finish(decisions).ending is Ending.UPSTREAM_FAILED


def test_an_error_of_every_allowed_upstream_ends_the_request() -> None:
    """Guards against attempts in vain while the caller could retry itself.

    Each failing look-up was attempted four times at two replicas.
    """
    router = make_router(*DESKS)
    (first,) = sends(router.request_arrived(1, request("look"), 0.0))
    (second,) = sends(router.attempt_failed(1, 1, FAILED.ERROR, 0.03))
    assert first.replica_id != second.replica_id
    finish = only_finish(router.attempt_failed(1, 2, FAILED.ERROR, 0.06))
    assert finish.ending is Ending.UPSTREAM_FAILED


def test_retries_stay_within_the_retry_budget() -> None:
    """Guards against a retry storm when every answer fails."""
    router = make_router(*DESKS)
    router.host_count = 2
    repeats = 0
    for key in range(200):
        now_s = key * 0.05
        decisions = router.request_arrived(key, request("look"), now_s)
        while found := sends(decisions):
            repeats += found[0].attempt > 1
            failed = router.attempt_failed(key, found[0].attempt, FAILED.ERROR, now_s)
            decisions = failed
    # 0.2 of the requests and half of the slack of 40, of which a host uses 0.7.
    assert 0 < repeats <= 0.7 * (0.2 * 200 + 20)


def test_a_changed_retry_budget_counts_earlier_retries() -> None:
    """Guards against a new retry budget with every change of the settings."""
    router = make_router(*DESKS)

    def repeats(first: int) -> int:
        count = 0
        for key in range(first, first + 50):
            decisions = router.request_arrived(key, request("look"), 1.0)
            while found := sends(decisions):
                count += found[0].attempt > 1
                decisions = router.attempt_failed(
                    key, found[0].attempt, FAILED.ERROR, 1.0
                )
        return count

    before = repeats(0)
    router.set_retry_budget(ratio=0.2, slack=40.0, window_s=10.0)
    # 0.7 of the ratio's share of the 50 further requests.
    assert before > 0
    assert repeats(50) <= 7
    router.set_retry_budget(ratio=0.2, slack=200.0, window_s=10.0)
    assert repeats(100) == 50


def test_a_failing_replica_gets_fewer_requests() -> None:
    """Guards against a replica that fails fast and therefore attracts requests."""
    router = make_router(*DESKS, zone="za")
    taken: Counter[str] = Counter()
    for key in range(60):
        send = only_send(router.request_arrived(key, request("book"), key * 0.1))
        taken[send.replica_id] += 1
        if send.replica_id == "d-1":
            router.attempt_failed(key, 1, FAILED.ERROR, key * 0.1 + 0.01)
        else:
            router.answer_completed(key, 1, key * 0.1 + 0.05)
    assert taken["d-1"] < 20


def test_requests_are_queued_when_all_slots_are_taken() -> None:
    """Guards against requests that replicas without free slots refuse."""
    router = make_router(desk_replica("d-1", slots=1))
    only_send(router.request_arrived(1, request("book"), 0.0))
    assert router.request_arrived(2, request("book"), 0.01) == ()
    (send,) = sends(router.answer_completed(1, 1, 0.05))
    assert send.key == 2


def test_the_most_urgent_request_goes_first() -> None:
    """Guards against urgent requests queued behind a flood of batch requests."""
    router = make_router(*CHAIN)
    only_send(router.request_arrived(1, request("batch"), 0.0))
    fill(router, "a", 95)
    for key in (2, 3):
        assert router.request_arrived(key, request("batch"), 0.01) == ()
    assert router.request_arrived(4, request("urgent"), 0.02) == ()
    (send,) = sends(router.answer_completed(1, 1, 0.05))
    assert send.key == 4


def test_a_request_that_cannot_be_served_in_time_is_refused_on_arrival() -> None:
    """Guards against queueing requests that will time out in the queue."""
    router = make_router(*CHAIN)
    fill(router, "a", 96)
    endings = []
    for key in range(60):
        endings += [
            decision
            for decision in router.request_arrived(key, request("urgent"), 0.001 * key)
            if isinstance(decision, Finish)
        ]
    assert endings
    assert {decision.ending for decision in endings} == {Ending.OVERLOADED}
    assert all(0.5 <= decision.retry_after_s <= 7.5 for decision in endings)


def test_retry_after_is_jittered() -> None:
    """Guards against a synchronized burst of retries after Retry-After."""
    router = make_router(*CHAIN)
    fill(router, "a", 96)
    times = set()
    for key in range(80):
        for decision in router.request_arrived(key, request("urgent"), 0.0):
            assert isinstance(decision, Finish)
            times.add(round(decision.retry_after_s, 2))
    assert len(times) > 10


def test_a_queued_request_is_refused_before_its_caller_times_out() -> None:
    """Guards against requests that are queued beyond the caller's timeout."""
    router = make_router(*CHAIN)
    fill(router, "a", 96)
    assert router.request_arrived(1, request("urgent"), 0.0) == ()
    assert router.tick(1.3) == ()
    assert only_finish(router.tick(1.5)).ending is Ending.OVERLOADED


def test_the_timeout_ends_a_request_and_its_attempt() -> None:
    """Guards against requests that run beyond the route's timeout."""
    router = make_router(*DESKS)
    only_send(router.request_arrived(1, request("look"), 0.0))
    assert router.tick(1.1) == ()
    cancel, finish = router.tick(1.25)
    assert isinstance(cancel, CancelAttempt)
    assert isinstance(finish, Finish)
    assert finish.ending is Ending.TIMED_OUT


def test_the_attempt_is_cancelled_when_the_caller_leaves() -> None:
    """Guards against attempts without a caller, and against leaked reservations."""
    router = make_router(*CHAIN)
    only_send(router.request_arrived(1, request("urgent"), 0.0))
    assert router.caller_left(1, 0.1) == (CancelAttempt(1, 1),)
    assert router.loads.local == {}
    assert router.caller_left(1, 0.2) == ()


def test_a_full_zone_uses_another_one() -> None:
    """Guards against refusing callers while another zone has capacity."""
    router = make_router(*CHAIN, *OTHER_ZONE)
    assert (
        only_send(router.request_arrived(1, request("urgent"), 0.0)).replica_id == "a"
    )
    fill(router, "a", 96)
    assert (
        only_send(router.request_arrived(2, request("urgent"), 0.0)).replica_id == "x"
    )


def test_a_zone_without_all_layers_uses_another_one() -> None:
    """Guards against requests that wait for the layers of a dead stage."""
    router = make_router(*CHAIN[:2], *OTHER_ZONE)
    assert (
        only_send(router.request_arrived(1, request("urgent"), 0.0)).replica_id == "x"
    )


def start_streams(router: ForwardingRouter, count: int) -> None:
    for key in range(count):
        send = only_send(router.request_arrived(key, request("urgent"), 0.0))
        router.answer_began(key, send.attempt, 0.05)


def test_one_stall_report_reroutes_every_stream_of_a_dead_stage() -> None:
    """Guards against streams that wait 2.5 s for a stage that is known to be dead."""
    router = make_router(*CHAIN, COPY)
    for name in ("d",):
        fill(router, name, 50)  # All streams start on the other copy.
    start_streams(router, 4)
    queried = [
        decision
        for decision in router.tick(0.35)
        if isinstance(decision, FetchStallReport)
    ]
    assert [decision.replica_id for decision in queried] == ["a"]
    stalled = {"r": CHAIN[1].address}
    moved = router.stall_report_received("a", stalled, 0.4)
    reroutes = [decision for decision in moved if isinstance(decision, Reroute)]
    assert {reroute.key for reroute in reroutes} == {0, 1, 2, 3}
    for reroute in reroutes:
        assert [stage.replica_id for stage in reroute.path.stages] == ["a", "d", "c"]
    assert only_send(router.request_arrived(9, request("urgent"), 0.5)).path is not None
    assert router.loads.total("b").requests == 0


def test_a_dead_stage_is_excluded_until_it_answers() -> None:
    """Guards against requests sent into a dead stage until the registry drops it."""
    router = make_router(*CHAIN, COPY)
    router.stall_report_received("a", {"r": CHAIN[1].address}, 0.0)
    (probe,) = (
        decision for decision in router.tick(0.05) if isinstance(decision, ProbeReplica)
    )
    assert probe.replica_id == "b"
    router.replica_probed("b", None, 0.1, is_alive=False)
    assert "b" not in {
        replica.replica_id for replica in router.live_replicas("model", 0.2)
    }
    for now_s in (1.0, 2.0, 3.0, 4.5):
        key = int(now_s * 10)
        send = only_send(router.request_arrived(key, request("urgent"), now_s))
        assert send.path is not None
        assert "b" not in {stage.replica_id for stage in send.path.stages}
        router.tick(now_s)
    router.replica_probed("b", ReplicaReport(0, 0, 1000), 5.0, is_alive=True)
    assert "b" in {replica.replica_id for replica in router.live_replicas("model", 5.0)}


def test_a_replica_without_report_that_answers_a_probe_is_live() -> None:
    """Guards against excluding a replica for good after one failed connection.

    Services without a pipeline answer a probe without a report, which was ignored: the
    replica stayed excluded and was probed every 0.5 s.
    """
    router = make_router(*DESKS)
    only_send(router.request_arrived(1, request("look"), 0.0))
    router.attempt_failed(1, 1, FAILED.NO_CONNECTION, 0.01)
    (probe,) = (
        decision for decision in router.tick(0.05) if isinstance(decision, ProbeReplica)
    )
    router.replica_probed(probe.replica_id, None, 0.1, is_alive=False)
    assert router.health.is_lost(probe.replica_id, 0.2)
    router.replica_probed(probe.replica_id, None, 0.6, is_alive=True)
    assert not router.health.is_lost(probe.replica_id, 0.7)
    assert not any(isinstance(decision, ProbeReplica) for decision in router.tick(2.0))


def test_a_stage_that_a_peer_found_dead_is_excluded() -> None:
    """Guards against every host detecting a dead stage by its own failed requests."""
    router = make_router(*CHAIN, COPY)
    router.health.record_peer_lost(["b"], 1.0)
    send = only_send(router.request_arrived(1, request("urgent"), 0.5))
    assert send.path is not None
    assert "b" not in {stage.replica_id for stage in send.path.stages}
    assert not router.health.is_lost("b", 2.0)


def test_a_full_stage_is_not_excluded() -> None:
    """Guards against excluding a zone's only stage because it was briefly full."""
    router = make_router(*CHAIN)
    send = only_send(router.request_arrived(1, request("urgent"), 0.0))
    router.attempt_failed(
        1, send.attempt, FAILED.NOT_RUN, 0.01, fault_address=CHAIN[1].address
    )
    router.replica_probed("b", ReplicaReport(1, 95, 100), 0.02, is_alive=True)
    assert not router.health.is_ejected("b", 0.03)


def test_a_stage_that_refuses_with_capacity_is_excluded() -> None:
    """Guards against a draining replica whose notice an outage of the store hides."""
    router = make_router(*CHAIN, COPY)
    router.stall_report_received("a", {"r": CHAIN[1].address}, 0.0)
    router.replica_probed("b", ReplicaReport(1, 5, 100), 0.02, is_alive=True)
    assert router.health.is_ejected("b", 0.03)


def test_a_refused_request_backs_off() -> None:
    """Guards against four sends in a few milliseconds to a stage that is full."""
    router = make_router(*CHAIN)
    only_send(router.request_arrived(1, request("urgent"), 0.0))
    first = sends(router.attempt_failed(1, 1, FAILED.NOT_RUN, 0.01))
    assert len(first) == 1
    assert sends(router.attempt_failed(1, 2, FAILED.NOT_RUN, 0.02)) == []
    assert sends(router.tick(0.05)) == []
    assert len(sends(router.tick(0.3))) == 1


def test_a_broken_stream_is_resumed() -> None:
    """Guards against an answer truncated although another path can complete it."""
    router = make_router(*CHAIN, *OTHER_ZONE)
    start_streams(router, 1)
    (send,) = sends(router.attempt_failed(0, 1, FAILED.BROKEN, 1.0))
    assert send.attempt == 2
    assert send.replica_id in ("a", "x")


def test_a_broken_stream_waits_for_capacity() -> None:
    """Guards against an answer truncated because no path had capacity then."""
    router = make_router(*CHAIN)
    start_streams(router, 1)
    fill(router, "a", 96)
    router.event_received(0, 1, 2.0)
    decisions = router.attempt_failed(0, 1, FAILED.BROKEN, 2.1)
    assert not any(isinstance(decision, Send | Finish) for decision in decisions)
    router.health.clear_refusals("a")
    router.request_arrived(7, request("urgent"), 2.2)
    for _ in range(96):
        router.loads.remove("a", 0)
    (send, *_) = sends(router.tick(2.9))
    assert (send.key, send.attempt) == (0, 2)


@pytest.mark.parametrize("failure", [FAILED.BROKEN, FAILED.ERROR, FAILED.NOT_RUN])
def test_a_refusal_at_the_queue_tells_whether_the_request_may_have_run(
    failure: AttemptFailure, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against "not run" for a resumable stream that an upstream has run."""
    router = make_router(*CHAIN)
    only_send(router.request_arrived(0, request("urgent"), 0.0))
    fill(router, "a", 96)
    monkeypatch.setattr(RequestQueue, "expected_wait_s", lambda *_: 60.0)
    decisions = router.attempt_failed(0, 1, failure, 0.2)
    (finish,) = (each for each in decisions if isinstance(each, Finish))
    assert finish.ending.has_not_run == (failure is FAILED.NOT_RUN)


def test_a_broken_stream_without_capacity_ends_in_time() -> None:
    """Guards against queueing an interrupted stream beyond its caller's timeout."""
    router = make_router(*CHAIN)
    start_streams(router, 1)
    fill(router, "a", 96)
    router.event_received(0, 1, 5.0)
    router.attempt_failed(0, 1, FAILED.BROKEN, 5.1)
    assert not any(isinstance(decision, Finish) for decision in router.tick(6.3))
    (finish,) = (
        decision for decision in router.tick(6.5) if isinstance(decision, Finish)
    )
    assert not finish.ending.has_not_run


def test_retries_of_refused_callers_precede_new_requests() -> None:
    """Guards against refusing the same callers repeatedly in a burst."""
    router, other = make_router(*CHAIN), make_router(*CHAIN)
    fill(router, "a", 96)
    refused = None
    for key in range(60):
        for decision in router.request_arrived(
            key, request("urgent", digest=f"d{key}"), 0.0
        ):
            assert isinstance(decision, Finish)
            refused = f"d{key}"
    assert refused is not None
    other.caller_retries.record_peer_refusals(
        router.caller_retries.recent_digests(0.2), 3.0
    )
    for host in (router, other):
        fill(host, "a", 96)
        host.tick(1.5)  # The requests queued in the burst have expired.
        assert host.request_arrived(90, request("batch", digest="x"), 1.6) == ()
        assert host.request_arrived(91, request("urgent", digest="new"), 1.6) == ()
        assert host.request_arrived(92, request("urgent", digest=refused), 1.7) == ()
        for _ in range(192):
            host.loads.remove("a", 0)
        assert [decision.key for decision in sends(host.tick(1.8))] == [92, 91, 90]


def test_a_stream_that_is_not_resumable_is_not_retried() -> None:
    """Guards against an answer composed of two attempts."""
    router = make_router(*CHAIN, *OTHER_ZONE)
    only_send(router.request_arrived(1, request("fixed"), 0.0))
    finish = only_finish(router.attempt_failed(1, 1, FAILED.BROKEN, 0.1))
    assert finish.ending is Ending.UPSTREAM_FAILED


def test_events_of_an_older_attempt_are_ignored() -> None:
    """Guards against a late failure that ends a newer attempt."""
    router = make_router(*CHAIN, *OTHER_ZONE)
    only_send(router.request_arrived(1, request("urgent"), 0.0))
    router.attempt_failed(1, 1, FAILED.BROKEN, 0.1)
    assert router.attempt_failed(1, 1, FAILED.BROKEN, 0.2) == ()
    assert router.answer_completed(1, 1, 0.2) == ()
    assert router.open_request_count == 1


def test_a_large_request_is_not_starved_by_small_ones() -> None:
    """Guards against starvation of large prompts by small ones."""
    router = make_router(*CHAIN)
    large = request("urgent", size=GenerationSize(4000, 1000))
    only_send(router.request_arrived(1, request("urgent"), 0.0))
    fill(router, "a", 95)
    assert router.request_arrived(2, large, 0.01) == ()
    assert router.request_arrived(3, request("urgent"), 0.02) == ()
    (send,) = sends(router.answer_completed(1, 1, 0.05))
    assert send.key == 2


def test_a_draining_replica_gets_no_new_requests() -> None:
    """Guards against new requests to a draining replica."""
    router = make_router(*DESKS)
    list_replicas(
        router,
        attrs.evolve(DESKS[0], is_draining=True),
        attrs.evolve(DESKS[1], is_draining=True),
        DESKS[2],
    )
    for key in range(6):
        send = only_send(router.request_arrived(key, request("book"), 0.0))
        assert send.replica_id == "d-3"


def test_a_slow_stage_is_probed_and_then_avoided() -> None:
    """Guards against one slow replica that slows down all streams of its zone."""
    router = make_router(*CHAIN, COPY)
    fill(router, "d", 50)
    start_streams(router, 1)
    router.tick(0.35)
    probes = router.stall_report_received("a", {}, 0.4)
    queried = {
        decision.replica_id for decision in probes if isinstance(decision, ProbeReplica)
    }
    assert queried == {"a", "b", "c"}
    assert router.stall_report_received("a", {}, 0.5) == ()
    router.replica_probed(
        "b", ReplicaReport(1, 0, 100, slowness=12.0), 0.5, is_alive=True
    )
    send = only_send(router.request_arrived(9, request("urgent"), 0.6))
    assert send.path is not None
    assert "d" in {stage.replica_id for stage in send.path.stages}
    assert not router.health.is_ejected("b", 0.6)


def test_a_zone_with_a_slow_stage_is_avoided() -> None:
    """Guards against streams beyond their gap objective while another zone is idle."""
    router = make_router(*CHAIN, *OTHER_ZONE)
    router.health.record_slowness("b", 200.0, 0.0)
    assert (
        only_send(router.request_arrived(1, request("urgent"), 0.1)).replica_id == "x"
    )
    assert (
        only_send(router.request_arrived(2, request("urgent"), 9.0)).replica_id == "a"
    )


def test_a_stalled_stream_without_a_path_in_its_zone_moves_to_another() -> None:
    """Guards against streams that wait until the engine aborts them after 2.5 s.

    They waited for a stalled stage although another zone had capacity.
    """
    router = make_router(*CHAIN, *OTHER_ZONE)
    start_streams(router, 2)
    moved = router.stall_report_received("a", {"r": CHAIN[1].address}, 0.5)
    assert [
        decision.key for decision in moved if isinstance(decision, CancelAttempt)
    ] == [0, 1]
    assert {(e.key, e.replica_id, e.attempt) for e in sends(moved)} == {
        (0, "x", 2),
        (1, "x", 2),
    }
    assert router.loads.total("b").requests == 0
    assert router.loads.total("x").requests == 2


def test_a_stalled_stream_does_not_move_while_requests_are_queued() -> None:
    """Guards against repeated prefill while new requests wait for capacity."""
    router = make_router(*CHAIN, *OTHER_ZONE)
    start_streams(router, 1)
    for name in ("a", "x"):
        fill(router, name, 95)
    only_send(router.request_arrived(5, request("urgent"), 0.4))
    assert router.request_arrived(6, request("urgent"), 0.4) == ()
    assert router.stall_report_received("a", {"r": CHAIN[1].address}, 0.5) == ()


def test_a_stalled_stream_without_another_path_stays() -> None:
    """Guards against ending a stream whose stage may recover."""
    router = make_router(*CHAIN)
    start_streams(router, 1)
    assert router.stall_report_received("a", {"r": CHAIN[1].address}, 0.5) == ()
    assert router.loads.total("b").requests == 1
    assert router.answer_completed(0, 1, 0.9) == ()
    assert router.loads.local == {}


def test_a_stalled_stream_that_is_not_resumable_stays() -> None:
    """Guards against a second attempt of an answer that may not be resumed."""
    router = make_router(*CHAIN, *OTHER_ZONE)
    only_send(router.request_arrived(1, request("fixed"), 0.0))
    assert router.stall_report_received("a", {"r": CHAIN[1].address}, 0.5) == ()


def test_a_replica_that_keeps_refusing_with_capacity_counts_as_draining() -> None:
    """Guards against sending to draining replicas that an outage of the store hides.

    Five replicas drained during an outage; they stayed in every plan and path for 8 s
    and refused each request.
    """
    router = make_router(*CHAIN, COPY)
    for now_s in (0.0, 0.7, 1.5):
        router.stall_report_received("a", {"r": CHAIN[1].address}, now_s)
        router.replica_probed("b", ReplicaReport(1, 5, 100), now_s, is_alive=True)
    live = {replica.replica_id for replica in router.live_replicas("model", 1.6)}
    assert live == {"a", "c", "d"}
    router.health.clear_refusals("b")
    live = {replica.replica_id for replica in router.live_replicas("model", 1.6)}
    assert "b" in live
