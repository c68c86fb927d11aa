"""Tests of the quarantine of requests that crash replicas."""

import pytest

from persimmonwell.core.forwarding import (
    AttemptFailure,
    CrashResolved,
    CrashSuspected,
    Decision,
    Ending,
    Finish,
    ForwardingRouter,
    ProbeReplica,
    Quarantined,
    RegistryRecord,
    Send,
)
from persimmonwell.core.retry import CauseEvidence
from persimmonwell.core.retry._crash_causes import MAX_ANSWERED
from tests.core.forwarding.fleets import (
    desk_replica,
    make_router,
    request,
    staged_replica,
)

FAILED = AttemptFailure
DESKS = tuple(desk_replica(f"d-{number}") for number in range(1, 7))


def crash(
    router: ForwardingRouter, key: int, now_s: float, *, digest: str = "bad"
) -> tuple[Decision, ...]:
    """Send a request, break it and let the probe of its replica fail."""
    decisions = router.request_arrived(key, request("book", digest=digest), now_s)
    found: tuple[Decision, ...] = decisions
    for send in [decision for decision in decisions if isinstance(decision, Send)]:
        failed = router.attempt_failed(key, send.attempt, FAILED.BROKEN, now_s + 0.01)
        found += failed
        for probe in [
            decision for decision in failed if isinstance(decision, ProbeReplica)
        ]:
            found += router.replica_probed(
                probe.replica_id, None, now_s + 0.02, is_alive=False
            )
    return found


def tell(
    sender: ForwardingRouter, receiver: ForwardingRouter, now_s: float
) -> tuple[Decision, ...]:
    """Give the evidence of one host to another and return what that decides."""
    found: tuple[Decision, ...] = ()
    crashes = sender.crashes
    for evidence in (
        *crashes.changed_evidence(now_s),
        *crashes.unchanged_evidence(now_s),
    ):
        found += receiver.record_peer_evidence(evidence, now_s)
    return found


def test_a_request_is_quarantined_after_two_crashes() -> None:
    """Guards against a fleet taken down by one caller's retries."""
    router = make_router(*DESKS)
    assert not any(isinstance(e, Quarantined) for e in crash(router, 1, 0.0))
    assert Quarantined("bad") in crash(router, 2, 4.0)
    refused = [e for e in crash(router, 3, 8.0) if isinstance(e, Finish)]
    assert [decision.ending for decision in refused] == [Ending.QUARANTINED]
    assert refused[0].ending.has_not_run
    (send,) = router.request_arrived(4, request("book", digest="good"), 8.0)
    assert isinstance(send, Send)


def test_a_lost_answer_of_a_live_replica_is_not_a_crash() -> None:
    """Guards against refusing a request whose replicas lost their answers."""
    router = make_router(*DESKS)
    for key in range(6):
        now_s = key * 3.0
        (send,) = router.request_arrived(key, request("book", digest="same"), now_s)
        assert isinstance(send, Send)
        failed = router.attempt_failed(key, 1, FAILED.BROKEN, now_s + 0.1)
        for probe in [
            decision for decision in failed if isinstance(decision, ProbeReplica)
        ]:
            router.replica_probed(probe.replica_id, None, now_s + 0.2, is_alive=True)
    assert router.crashes.quarantined == ()


def test_a_completed_request_is_cleared_of_earlier_crashes() -> None:
    """Guards against refusing a frequent read that was in flight in two crashes."""
    router = make_router(*DESKS)
    crash(router, 1, 0.0, digest="popular")
    (send,) = router.request_arrived(2, request("book", digest="popular"), 3.0)
    assert isinstance(send, Send)
    router.answer_completed(2, 1, 3.1)
    crash(router, 3, 6.0, digest="popular")
    assert "popular" not in router.crashes.quarantined


@pytest.mark.parametrize("answers_between", [False, True])
def test_popular_request_outlasts_crashes_that_every_host_sees(
    answers_between: bool,
) -> None:
    """Guards against a read that all hosts refuse for a day after two crashes.

    Peers repeated the first crash after it was cleared, and it counted again; review/8.
    """
    hosts = [make_router(*DESKS) for _ in range(4)]
    key = 0

    def answer(at_s: float) -> None:
        nonlocal key
        for host in hosts:
            key += 1
            host.request_arrived(key, request("book", digest="popular"), at_s)
            host.answer_completed(key, 1, at_s + 0.05)

    def exchange(from_s: float, to_s: float) -> None:
        now_s = from_s
        while now_s < to_s:
            for sender in hosts:
                for receiver in hosts:
                    if receiver is not sender:
                        tell(sender, receiver, now_s)
            now_s += 0.25

    answer(0.0)
    for crash_s in (1.0, 3.5):
        for host in hosts:
            key += 1
            crash(host, key, crash_s, digest="popular")
        exchange(crash_s + 0.1, crash_s + 1.0)
        if answers_between:
            answer(crash_s + 1.0)
        exchange(crash_s + 1.2, crash_s + 2.0)
    exchange(5.5, 15.0)
    for host in hosts:
        assert host.crashes.quarantined == ()


def test_answer_long_ago_does_not_protect_a_request_that_crashes_replicas() -> None:
    """Guards against a request that crashes replicas since they were updated."""
    router = make_router(*DESKS)
    router.request_arrived(1, request("book", digest="bad"), 0.0)
    router.answer_completed(1, 1, 0.1)
    crash(router, 2, 601.0)
    assert Quarantined("bad") in crash(router, 3, 605.0)


def test_answered_requests_that_are_kept_are_bounded() -> None:
    """Guards against memory that grows with each request."""
    router = make_router(*DESKS)
    for key in range(MAX_ANSWERED + 100):
        router.request_arrived(key, request("book", digest=f"r{key}"), key * 0.01)
        router.answer_completed(key, 1, key * 0.01 + 0.001)
    assert len(router.crashes._causes._answered_requests) == MAX_ANSWERED


def test_requests_in_flight_at_a_dead_stage_are_not_quarantined() -> None:
    """Guards against refusing requests because several replicas died on their own."""
    router = make_router(
        staged_replica("a", "za", 0, 40),
        staged_replica("b", "za", 40, 80),
        staged_replica("c", "za", 40, 80),
    )
    for key in range(4):
        router.request_arrived(key, request("urgent", digest=f"r{key}"), 0.0)
        router.answer_began(key, 1, 0.1)
    for name in ("b", "c"):
        address = router.registry.replicas[name].address
        router.stall_report_received("a", {"r": address}, 0.6)
        router.replica_probed(name, None, 0.7, is_alive=False)
    assert router.crashes.quarantined == ()


def test_crashes_attributed_by_a_peer_count() -> None:
    """Guards against two crashes at every host, since callers retry at any host."""
    one, two = make_router(*DESKS), make_router(*DESKS)
    crash(one, 1, 0.0)
    assert tell(one, two, 0.5) == ()
    two.health.record_peer_lost(one.health.lost, 9.0)
    assert Quarantined("bad") in crash(two, 2, 4.0)
    three = make_router(*DESKS)
    assert tell(two, three, 5.0) == (Quarantined("bad"),)
    assert tell(one, make_router(*DESKS), 60.0) == ()


def test_a_suspected_crash_names_the_requests_that_were_starting() -> None:
    """Guards against crashes whose cause the logs cannot tell."""
    router = make_router(
        staged_replica("a", "za", 0, 40), staged_replica("b", "za", 40, 80)
    )
    router.request_arrived(1, request("urgent", digest="r1"), 0.0)
    router.answer_began(1, 1, 0.1)
    for key in (2, 3):
        router.request_arrived(key, request("urgent", digest=f"r{key}"), 0.1)
    router.answer_opened(2, 1)
    found = router.attempt_failed(2, 1, FAILED.BROKEN, 0.2)
    (suspected,) = [e for e in found if isinstance(e, CrashSuspected)]
    assert suspected.replica_id == "a" and suspected.running_count == 3
    assert [request.digest for request in suspected.starting] == ["r2"]


def crash_part(
    router: ForwardingRouter, key: int, now_s: float
) -> tuple[Decision, ...]:
    """Crash the replica of a request with the part, before its first event."""
    parts = ("root", "dead")
    found = router.request_arrived(
        key, request("fixed", digest=f"r{key}", shared_parts=parts), now_s
    )
    router.answer_opened(key, 1)
    found += router.attempt_failed(key, 1, FAILED.BROKEN, now_s + 0.01)
    for probe in [each for each in found if isinstance(each, ProbeReplica)]:
        found += router.replica_probed(
            probe.replica_id, None, now_s + 0.02, is_alive=False
        )
    return found


def staged_router(count: int = 6) -> ForwardingRouter:
    """Return a router with as many paths of two stages."""
    return make_router(
        *(staged_replica(f"a{number}", "za", 0, 40) for number in range(count)),
        *(staged_replica(f"b{number}", "za", 40, 80) for number in range(count)),
    )


def test_a_counted_crash_names_the_evidence_against_each_part() -> None:
    """Guards against crashes that the logs show but that count for nothing."""
    router = staged_router()
    parts = ("root", "dead")
    second = request("fixed", digest="r2", shared_parts=parts)
    (send,) = router.request_arrived(2, second, 0.9)
    assert isinstance(send, Send)
    router.answer_opened(2, 1)
    crash_part(router, 1, 1.0)
    router.attempt_failed(2, 1, FAILED.BROKEN, 1.1)
    found = router.replica_probed(send.replica_id, None, 1.11, is_alive=False)
    (resolved,) = [each for each in found if isinstance(each, CrashResolved)]
    counts = {count.cause_id: count for count in resolved.cause_counts}
    assert counts.keys() == {"root", "dead"}
    assert counts["dead"].crashes == 2 and counts["dead"].separate_crashes == 1
    assert counts["dead"].needed == 2 and not resolved.is_dismissed


def test_unlike_requests_that_share_a_crashing_part_are_refused() -> None:
    """Guards against a crash by each request of a kind, since no two are alike."""
    router = staged_router()
    crash_part(router, 1, 1.0)
    assert Quarantined("dead") in crash_part(router, 2, 2.0)
    (refused,) = crash_part(router, 3, 3.0)
    assert isinstance(refused, Finish)
    assert refused.ending is Ending.QUARANTINED and refused.detail == "dead"
    sound = request("fixed", digest="sound", shared_parts=("root", "other"))
    (send,) = router.request_arrived(4, sound, 3.0)
    assert isinstance(send, Send)


def test_waiting_requests_with_a_quarantined_part_are_refused() -> None:
    """Guards against a queue that crashes replicas after its part is quarantined."""
    router = staged_router(2)
    crash_part(router, 1, 1.0)
    crash_part(router, 2, 2.0)
    other = staged_router(0)
    other.registry.apply(
        (RegistryRecord("x", 0, staged_replica("x", "za", 0, 40)),), 0.0
    )
    assert (
        other.request_arrived(
            1, request("fixed", digest="q", shared_parts=("root", "dead")), 2.0
        )
        == ()
    )
    tell(router, other, 2.1)
    ends = [each for each in other.tick(2.2) if isinstance(each, Finish)]
    assert [(end.ending, end.detail) for end in ends] == [(Ending.QUARANTINED, "dead")]


def test_one_request_tries_a_quarantined_part_after_a_while() -> None:
    """Guards against a sound part that is refused until it is no longer asked for."""
    router = staged_router()
    crash_part(router, 1, 1.0)
    crash_part(router, 2, 2.0)
    parts = ("root", "dead")
    trial = request("fixed", digest="trial", shared_parts=parts)
    (send,) = router.request_arrived(3, trial, 60.0)
    assert isinstance(send, Send)
    router.answer_opened(3, 1)
    router.answer_began(3, 1, 60.1)
    assert router.crashes.quarantined_parts == {"dead"}
    router.answer_completed(3, 1, 60.15)
    assert router.crashes.quarantined_parts == frozenset()
    (send,) = router.request_arrived(
        4, request("fixed", digest="next", shared_parts=parts), 60.2
    )
    assert isinstance(send, Send)


def test_a_request_with_a_quarantined_part_is_not_moved_to_another_replica() -> None:
    """Guards against a dead stage that spreads a request which crashes replicas."""
    router = make_router(
        *(staged_replica(f"a{number}", "za", 0, 40) for number in range(3)),
        staged_replica("b", "za", 40, 80),
        *(
            staged_replica(f"c{number}", "zb", 40 * number, 40 * number + 40)
            for number in range(2)
        ),
    )
    parts = ("root", "dead")
    waiting = request("urgent", digest="w", shared_parts=parts)
    (send,) = router.request_arrived(9, waiting, 0.9)
    assert isinstance(send, Send)
    evidence = CauseEvidence("dead", 1, 0, None, ((1, 1.0), (2, 0.5)))
    router.record_peer_evidence(evidence, 2.0)
    found = router.replica_probed("b", None, 2.1, is_alive=False)
    assert not [each for each in found if isinstance(each, Send)]


def play_crashes(
    router: ForwardingRouter, key: int, route: str, begin_s: float, events: int
) -> Ending | None:
    """Send a request that crashes each replica after some events; return its end."""
    decisions = router.request_arrived(key, request(route, digest="bad"), begin_s)
    for tick in range(1, 40):
        now_s = begin_s + tick / 10
        for send in [each for each in decisions if isinstance(each, Send)]:
            router.answer_opened(key, send.attempt)
            for _ in range(events):
                router.answer_began(key, send.attempt, now_s)
            router.attempt_failed(key, send.attempt, FAILED.BROKEN, now_s + 0.05)
            router.replica_probed(send.replica_id, None, now_s + 0.06, is_alive=False)
        ends = [each.ending for each in decisions if isinstance(each, Finish)]
        if ends or key not in router._active:
            return ends[0] if ends else None
        decisions = router.tick(now_s + 0.08)
    return None


@pytest.mark.parametrize("events", [0, 1, 40])
@pytest.mark.parametrize("route", ["urgent", "fixed", "look"])
def test_crash_after_any_part_of_an_answer_counts(route: str, events: int) -> None:
    """Guards against a request that is never refused once its answer has begun."""
    router = make_router(*DESKS) if route == "look" else staged_router(10)
    ends = [play_crashes(router, key, route, 6.0 * key, events) for key in range(6)]
    assert ends[-3:] == [Ending.QUARANTINED] * 3
    sound = request("book" if route == "look" else "urgent", digest="sound")
    (send,) = router.request_arrived(99, sound, 40.0)
    assert isinstance(send, Send)


@pytest.mark.parametrize("found_by", ["probe", "report"])
def test_stream_that_crashes_stage_after_stage_is_ended(found_by: str) -> None:
    """Guards against path changes that bring a request to ever more replicas.

    A change of path did not look at the quarantine.
    """
    count = 12
    router = make_router(
        staged_replica("a", "za", 0, 40),
        *(staged_replica(f"b{number}", "za", 40, 80) for number in range(count)),
    )
    (send,) = router.request_arrived(1, request("urgent", digest="bad"), 0.0)
    assert isinstance(send, Send) and send.path is not None
    router.answer_opened(1, 1)
    router.answer_began(1, 1, 0.1)
    now_s, crashed = 0.1, []
    while 1 in router._active and now_s < 20.0:
        active = router._active[1]
        assert active.path is not None
        _, stage = active.path.stages
        now_s += 0.4
        if found_by == "report":
            router.stall_report_received("a", {"r": stage.address}, now_s)
        if stage.replica_id not in crashed:
            crashed.append(stage.replica_id)
            router.replica_probed(stage.replica_id, None, now_s + 0.01, is_alive=False)
        router.tick(now_s + 0.1)
    assert 1 not in router._active
    assert len(crashed) == 3
    (finish,) = router.request_arrived(2, request("urgent", digest="bad"), now_s)
    assert isinstance(finish, Finish) and finish.ending is Ending.QUARANTINED


def test_replica_that_stays_dead_counts_as_one_crash() -> None:
    """Guards against a stream that is refused as its stage is found dead repeatedly."""
    router = make_router(
        staged_replica("a", "za", 0, 40), staged_replica("b", "za", 40, 80)
    )
    router.request_arrived(1, request("urgent", digest="r1"), 0.0)
    router.answer_opened(1, 1)
    router.answer_began(1, 1, 0.1)
    for tick in range(20):
        now_s = 0.5 * tick + 0.5
        router.stall_report_received("a", {"r": "b"}, now_s)
        router.replica_probed("b", None, now_s + 0.01, is_alive=False)
        router.tick(now_s + 0.02)
    assert router.crashes.quarantined == ()
    assert 1 in router._active
