"""Tests that each step of a request is recorded and counted exactly once."""

import pytest

from persimmonwell._exceptions import OverloadedError
from persimmonwell.core import (
    Chain,
    LayerRange,
    ModelRequest,
    Outcome,
    Rank,
    ServiceCall,
    ServiceReplica,
    Stage,
)
from persimmonwell.core import router as core_router
from persimmonwell.core.timeline import EventFilter
from persimmonwell.daemon._request_observer import RequestObserver
from persimmonwell.daemon._router_actor import ActorRouterPort, RouterActor
from persimmonwell.observe import Metrics, Recorder

CHAIN = Chain((Stage("e1", "127.0.0.1:1", LayerRange(0, 4)),))
REQUEST = ModelRequest("id", "range-a", Rank.URGENT, "coach", "d", 5, 5, 0.0)
CALL = ServiceCall("id", "range-a", Rank.BATCH, "booking", "d", 0.0, True)
REPLICA = ServiceReplica("b1", "127.0.0.1:1", "zone-1", "booking")
QUEUE_FULL = OverloadedError("urgent", "queue full")
LOST = core_router.FailureKind.LOST
DISPATCH = core_router.Dispatch("id", 1, CHAIN, 0, Rank.URGENT)
DISPATCH_CALL = core_router.DispatchService("id", 1, REPLICA)
STEPS: dict[
    str, tuple[core_router.RouterEvent, tuple[core_router.RouterDecision, ...]]
] = {
    "arrives": (core_router.RequestArrived(REQUEST), (DISPATCH,)),
    "waits": (core_router.RequestArrived(REQUEST), ()),
    "full": (
        core_router.RequestArrived(REQUEST),
        (core_router.Refuse("id", QUEUE_FULL, Outcome.NOT_RUN),),
    ),
    "lost": (core_router.StageFailed("id", 1, "e1", LOST, 0), (DISPATCH,)),
    "lost-at-3": (core_router.StageFailed("id", 1, "e1", LOST, 3), (DISPATCH,)),
    "lost-stated": (
        core_router.StageFailed("id", 1, "e1", LOST, 3),
        (core_router.RecordEvent("retried", "id"), DISPATCH),
    ),
    "ends": (core_router.AttemptFinished("id", 1, 5), ()),
    "ends-stated": (
        core_router.AttemptFinished("id", 1, 5),
        (core_router.RecordEvent("finished", "id"),),
    ),
    "token": (core_router.FirstToken("id", 1), ()),
    "leaves": (core_router.RequestCancelled("id"), ()),
    "calls": (core_router.ServiceCallArrived(CALL), (DISPATCH_CALL,)),
    "call-lost": (core_router.ServiceCallFailed("id", 1, "b1", LOST), (DISPATCH_CALL,)),
    "call-ends": (core_router.ServiceCallFinished("id", 2), ()),
}
DISPATCHED_KINDS = "received admitted dispatched"


def test_failing_observer_does_not_block_a_request() -> None:
    """Guards against a request that hangs because the observer raised."""
    router = core_router.Router(host_id="host-1", availability_zone="zone-1", seed=1)

    def failing_observer(event: object, decisions: object) -> None:
        raise ValueError("fault")

    ref = RouterActor.start(
        router, execute_decision=lambda decision: None, observe=failing_observer
    )
    port = ActorRouterPort(ref)
    mailbox = port.submit("id", core_router.RequestArrived(REQUEST))
    assert isinstance(mailbox.get(timeout=5), core_router.Refuse)
    port.close()


@pytest.mark.parametrize(
    ("steps", "kinds", "outcome"),
    [
        ("arrives", DISPATCHED_KINDS, None),
        (
            "arrives token ends",
            f"{DISPATCHED_KINDS} first-token finished",
            Outcome.COMPLETE,
        ),
        ("arrives lost", f"{DISPATCHED_KINDS} retried dispatched", None),
        ("arrives lost-at-3", f"{DISPATCHED_KINDS} resumed dispatched", None),
        ("arrives lost-stated", f"{DISPATCHED_KINDS} retried dispatched", None),
        ("arrives ends-stated", f"{DISPATCHED_KINDS} finished", Outcome.COMPLETE),
        ("full", "received refused", Outcome.NOT_RUN),
        ("arrives leaves", f"{DISPATCHED_KINDS} finished", Outcome.MAY_HAVE_RUN),
        ("waits leaves", "received finished", Outcome.NOT_RUN),
        (
            "calls call-lost call-ends",
            f"{DISPATCHED_KINDS} retried dispatched finished",
            Outcome.COMPLETE,
        ),
    ],
)
def test_each_step_is_recorded_once(
    steps: str, kinds: str, outcome: Outcome | None
) -> None:
    """Guards against steps recorded twice or not at all, and gauges that drift."""
    recorder, metrics = Recorder(host_id="host-1", capacity=50), Metrics()
    observer = RequestObserver(recorder, metrics)
    for step in steps.split():
        observer.observe(*STEPS[step])
    events = recorder.read(EventFilter(workspace="range-a"), limit=50).events
    assert [event.kind.value for event in events] == kinds.split()
    at_upstream = recorder.read(EventFilter(upstream_id="e1"), limit=50).events
    assert ("first-token" in kinds) <= ("first-token" in [e.kind for e in at_upstream])
    open_count = sum(observer.queued.values()) + sum(observer.in_flight.values())
    assert open_count == (1 if outcome is None else 0)
    counted_outcomes = [labels[2] for labels in metrics._counts["requests_total"]]
    assert counted_outcomes == ([] if outcome is None else [outcome])
