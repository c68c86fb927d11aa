"""Tests of the quarantine of requests that crash replicas."""

from persimmonwell.core.forwarding import (
    AttemptFailure,
    CrashSuspected,
    Decision,
    Ending,
    Finish,
    ForwardingRouter,
    ProbeReplica,
    Quarantined,
    Send,
)
from persimmonwell.core.retry import Blame
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
    assert not router.crashes.is_quarantined("popular")


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
    (blame,) = one.crashes.blames(0.5)
    assert two.record_peer_blame(blame, 0.5) == ()
    two.health.record_peer_lost(one.health.lost, 9.0)
    assert Quarantined("bad") in crash(two, 2, 4.0)
    other = two.record_peer_blame(Blame("worse", "x/0"), 5.0)
    other += two.record_peer_blame(Blame("worse", "y/0"), 5.1)
    assert other == (Quarantined("worse"),)
    assert one.crashes.blames(60.0) == ()


def test_a_suspected_crash_names_the_requests_that_were_starting() -> None:
    """Guards against crashes whose cause the logs cannot tell."""
    router = make_router(
        staged_replica("a", "za", 0, 40), staged_replica("b", "za", 40, 80)
    )
    router.request_arrived(1, request("urgent", digest="r1"), 0.0)
    router.answer_began(1, 1, 0.1)
    router.request_arrived(2, request("urgent", digest="r2"), 0.1)
    found = router.attempt_failed(2, 1, FAILED.BROKEN, 0.2)
    (suspected,) = [e for e in found if isinstance(e, CrashSuspected)]
    assert suspected.replica_id == "a" and suspected.running_count == 2
    assert [request.digest for request in suspected.starting] == ["r2"]
