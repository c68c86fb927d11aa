"""Replay requests that crash replicas, and faults that only look like it."""

from persimmonwell.core.forwarding import (
    AttemptFailure,
    CheckReplica,
    Decision,
    Ending,
    Finish,
    ForwardingRouter,
    Quarantined,
    Send,
)
from persimmonwell.core.retry import Blame
from tests.core.forwarding.fleets import holder, make_router, plain, request

FAILED = AttemptFailure
DESKS = tuple(plain(f"d-{number}") for number in range(1, 7))


def crash(
    router: ForwardingRouter, key: int, now_s: float, *, digest: str = "bad"
) -> tuple[Decision, ...]:
    """Send a request, let its replica crash and answer the questions that follow."""
    decisions = router.arrived(key, request("book", digest=digest), now_s)
    found: tuple[Decision, ...] = decisions
    for send in [each for each in decisions if isinstance(each, Send)]:
        failed = router.attempt_failed(key, send.attempt, FAILED.BROKEN, now_s + 0.01)
        found += failed
        for check in [each for each in failed if isinstance(each, CheckReplica)]:
            found += router.replica_checked(
                check.replica_id, None, now_s + 0.02, answers=False
            )
    return found


def test_a_request_that_crashes_replicas_is_refused_after_two() -> None:
    """Guards against a fleet taken down by one caller who tries again."""
    router = make_router(*DESKS)
    assert not any(isinstance(e, Quarantined) for e in crash(router, 1, 0.0))
    assert Quarantined("bad") in crash(router, 2, 4.0)
    refused = [e for e in crash(router, 3, 8.0) if isinstance(e, Finish)]
    assert [each.ending for each in refused] == [Ending.QUARANTINED]
    assert refused[0].ending.has_not_run
    (send,) = router.arrived(4, request("book", digest="good"), 8.0)
    assert isinstance(send, Send)


def test_a_lost_answer_is_no_crash() -> None:
    """Guards against refusing a request whose replicas lost their answers."""
    router = make_router(*DESKS)
    for key in range(6):
        now_s = key * 3.0
        (send,) = router.arrived(key, request("book", digest="same"), now_s)
        assert isinstance(send, Send)
        failed = router.attempt_failed(key, 1, FAILED.BROKEN, now_s + 0.1)
        for check in [each for each in failed if isinstance(each, CheckReplica)]:
            router.replica_checked(check.replica_id, None, now_s + 0.2, answers=True)
    assert router.crashes.quarantined == ()


def test_a_request_that_was_answered_is_cleared() -> None:
    """Guards against refusing a popular read that happened to be in two crashes."""
    router = make_router(*DESKS)
    crash(router, 1, 0.0, digest="popular")
    (send,) = router.arrived(2, request("book", digest="popular"), 3.0)
    assert isinstance(send, Send)
    router.finished(2, 1, 3.1)
    crash(router, 3, 6.0, digest="popular")
    assert not router.crashes.refuses("popular")


def test_requests_that_all_ran_at_a_dead_stage_are_not_refused() -> None:
    """Guards against refusing callers because several replicas died by themselves."""
    router = make_router(
        holder("a", "za", 0, 40), holder("b", "za", 40, 80), holder("c", "za", 40, 80)
    )
    for key in range(4):
        router.arrived(key, request("urgent", digest=f"r{key}"), 0.0)
        router.answer_began(key, 1, 0.1)
    for name in ("b", "c"):
        address = router.registry.replicas[name].address
        router.stages_stalled("a", {"r": address}, 0.6)
        router.replica_checked(name, None, 0.7, answers=False)
    assert router.crashes.quarantined == ()


def test_a_crash_that_a_peer_saw_counts() -> None:
    """Guards against two crashes at every host, as callers return to any of them."""
    one, two = make_router(*DESKS), make_router(*DESKS)
    crash(one, 1, 0.0)
    (blame,) = one.crashes.blames(0.5)
    assert two.peer_blamed(blame, 0.5) == ()
    two.health.peer_found_lost(one.health.lost, 9.0)
    assert Quarantined("bad") in crash(two, 2, 4.0)
    other = two.peer_blamed(Blame("worse", "x/0"), 5.0)
    other += two.peer_blamed(Blame("worse", "y/0"), 5.1)
    assert other == (Quarantined("worse"),)
    assert one.crashes.blames(60.0) == ()
