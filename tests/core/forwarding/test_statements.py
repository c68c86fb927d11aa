"""Tests of what replicas state: that they leave, and when to come back."""

import attrs
import pytest

from persimmonwell.core.forwarding import (
    AttemptFailure,
    Decision,
    Ending,
    Finish,
    ForwardingRouter,
    LeavingChanged,
    ProbeReplica,
    ReplicaStatement,
    Send,
)
from persimmonwell.core.forwarding._statements import MAX_HOLD_OFF_S
from tests.core.forwarding.fleets import (
    desk_replica,
    list_replicas,
    make_router,
    request,
    staged_replica,
)

LEAVING = ReplicaStatement(is_leaving=True)
DESKS = tuple(
    attrs.evolve(desk_replica(f"d-{number}"), started_at_ms=5) for number in (1, 2)
)


def send_look(router: ForwardingRouter, key: int, now_s: float) -> Decision:
    """Return the decision on one safe request."""
    (decision,) = router.request_arrived(key, request("look", digest=f"r{key}"), now_s)
    return decision


def targets(router: ForwardingRouter, now_s: float, count: int = 8) -> set[str]:
    """Return the replicas that a number of requests are sent to, one after another."""
    found = set()
    for key in range(1000, 1000 + count):
        send = send_look(router, key, now_s)
        assert isinstance(send, Send)
        found.add(send.replica_id)
        router.caller_left(key, now_s)
    return found


def test_leaving_replica_gets_no_request_until_it_starts_anew() -> None:
    """Guards against requests cut by a replica whose entry still says ready."""
    router = make_router(*DESKS)
    send = send_look(router, 1, 0.0)
    assert isinstance(send, Send)
    decisions = router.statement_received(1, send.attempt, LEAVING, 0.1)
    assert decisions == (LeavingChanged(send.replica_id, True),)
    assert router.route_of(1) is not None
    others = {replica.replica_id for replica in DESKS} - {send.replica_id}
    assert targets(router, 0.2) == others
    # A heartbeat that says ready, and an entry that lapses and comes back.
    list_replicas(router, *DESKS)
    assert targets(router, 5.0) == others
    router.answer_completed(1, send.attempt, 5.5)
    restarted = [
        attrs.evolve(replica, started_at_ms=9)
        if replica.replica_id == send.replica_id
        else replica
        for replica in DESKS
    ]
    list_replicas(router, *restarted)
    assert targets(router, 6.0) == others | {send.replica_id}


def test_peers_learn_of_a_leaving_replica() -> None:
    """Guards against hosts that wait for the registry while the store is away."""
    one, two = make_router(*DESKS), make_router(*DESKS)
    one.replica_stated("d-1", LEAVING, 10.0)
    for notice in one.leaving.notices(10.2):
        heard = LeavingChanged("d-1", True, is_from_peer=True)
        assert two.record_peer_notice(notice, 20.2) == (heard,)
        assert two.record_peer_notice(notice, 20.3) == ()
    assert targets(two, 20.3) == {"d-2"}
    assert two.leaving.notices(20.3) == ()


def test_paths_are_planned_around_a_leaving_stage() -> None:
    """Guards against a pipeline through a replica that leaves."""
    router = make_router(
        staged_replica("a", "za", 0, 40),
        staged_replica("b", "za", 40, 80),
        staged_replica("c", "za", 40, 80),
    )
    router.replica_stated("b", LEAVING, 0.0)
    (send,) = router.request_arrived(1, request("urgent"), 0.1)
    assert isinstance(send, Send) and send.path is not None
    assert "b" not in {stage.replica_id for stage in send.path.stages}


def test_service_whose_replicas_all_leave_asks_them_again() -> None:
    """Guards against a service that stays empty after a mistake of its replicas."""
    router = make_router(*DESKS)
    for replica in DESKS:
        router.replica_stated(replica.replica_id, LEAVING, 0.0)
    refused = send_look(router, 1, 0.1)
    assert isinstance(refused, Finish) and refused.ending is Ending.NOT_READY
    probes = [each for each in router.tick(0.2) if isinstance(each, ProbeReplica)]
    assert {probe.replica_id for probe in probes} == {"d-1", "d-2"}
    assert not [each for each in router.tick(0.3) if isinstance(each, ProbeReplica)]
    router.replica_stated("d-1", LEAVING, 0.4)
    assert isinstance(send_look(router, 2, 0.5), Finish)
    decisions = router.replica_stated("d-2", ReplicaStatement(), 0.6)
    assert decisions == (LeavingChanged("d-2", False),)
    assert targets(router, 0.7) == {"d-2"}


def test_replica_gets_nothing_for_the_time_that_it_states() -> None:
    """Guards against requests sent to a replica that asked for a pause."""
    router = make_router(*DESKS)
    router.replica_stated("d-1", ReplicaStatement(hold_off_s=3.0), 0.0)
    assert targets(router, 2.9) == {"d-2"}
    assert targets(router, 3.1, count=20) == {"d-1", "d-2"}
    router.replica_stated("d-1", ReplicaStatement(hold_off_s=1e300), 4.0)
    assert targets(router, 3.9 + MAX_HOLD_OFF_S) == {"d-2"}
    assert targets(router, 4.1 + MAX_HOLD_OFF_S, count=20) == {"d-1", "d-2"}


def test_request_that_no_replica_wants_is_refused_at_once() -> None:
    """Guards against a request that waits although it cannot be served in time."""
    router = make_router(*DESKS)
    for replica in DESKS:
        statement = ReplicaStatement(hold_off_s=4.0)
        router.replica_stated(replica.replica_id, statement, 0.0)
    refused = send_look(router, 1, 0.5)
    assert isinstance(refused, Finish) and refused.ending is Ending.OVERLOADED
    assert refused.retry_after_s >= 3.5


def test_stage_that_holds_off_is_no_part_of_a_path() -> None:
    """Guards against a path through a replica that asked for a pause."""
    router = make_router(
        staged_replica("a", "za", 0, 40),
        staged_replica("b", "za", 40, 80),
        staged_replica("c", "za", 40, 80),
    )
    router.replica_stated("b", ReplicaStatement(hold_off_s=2.0), 0.0)
    (send,) = router.request_arrived(1, request("urgent"), 0.1)
    assert isinstance(send, Send) and send.path is not None
    assert "b" not in {stage.replica_id for stage in send.path.stages}


@pytest.mark.parametrize("sound_count", [1, 5])
def test_replica_that_turns_away_at_once_is_not_the_least_loaded_one(
    sound_count: int,
) -> None:
    """Guards against callers refused by one replica while others are free."""
    router = make_router(*(desk_replica(f"d-{n}") for n in range(sound_count + 1)))
    refusals = 0
    for key in range(400):
        now_s = key * 0.01
        decision: Decision | None = send_look(router, key, now_s)
        if isinstance(decision, Send) and decision.replica_id == "d-0":
            refusals += 1
            decisions = router.attempt_failed(
                key, decision.attempt, AttemptFailure.NOT_RUN, now_s + 0.001
            )
            (decision,) = [each for each in decisions if isinstance(each, Send)]
        assert isinstance(decision, Send) and decision.replica_id != "d-0"
        # Answers take longer than the time between two requests.
        if key >= 3:
            router.answer_completed(key - 3, _attempt_of(router, key - 3), now_s)
    assert refusals <= 10


def test_replica_that_refuses_is_preferred_to_a_lost_one() -> None:
    """Guards against requests sent to a dead replica while the others are full."""
    router = make_router(*DESKS)
    router.replica_probed("d-2", None, 0.0, is_alive=False)
    send = send_look(router, 1, 0.1)
    assert isinstance(send, Send) and send.replica_id == "d-1"
    router.attempt_failed(1, send.attempt, AttemptFailure.NOT_RUN, 0.11)
    router.caller_left(1, 0.11)
    assert targets(router, 0.12) == {"d-1"}


def _attempt_of(router: ForwardingRouter, key: int) -> int:
    return router._active[key].attempt
