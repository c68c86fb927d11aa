"""Check that each step of a request is recorded once and counted."""

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
from persimmonwell.core import router as r
from persimmonwell.core.timeline import EventFilter
from persimmonwell.daemon._request_observer import RequestObserver
from persimmonwell.daemon._router_actor import ActorRouterPort, RouterActor
from persimmonwell.observe import Metrics, Recorder

CHAIN = Chain((Stage("e1", "127.0.0.1:1", LayerRange(0, 4)),))
REQUEST = ModelRequest("id", "range-a", Rank.URGENT, "coach", "d", 5, 5, 0.0)
CALL = ServiceCall("id", "range-a", Rank.BATCH, "booking", "d", 0.0, True)
REPLICA = ServiceReplica("b1", "127.0.0.1:1", "zone-1", "booking")
FULL = OverloadedError("urgent", "queue full")
LOST = r.FailureKind.LOST
SEND = r.Dispatch("id", 1, CHAIN, 0, Rank.URGENT)
CALL_REPLICA = r.DispatchService("id", 1, REPLICA)
STEPS: dict[str, tuple[r.RouterEvent, tuple[r.RouterDecision, ...]]] = {
    "arrives": (r.RequestArrived(REQUEST), (SEND,)),
    "waits": (r.RequestArrived(REQUEST), ()),
    "full": (
        r.RequestArrived(REQUEST),
        (r.Refuse("id", FULL, Outcome.NOT_RUN),),
    ),
    "lost": (r.StageFailed("id", 1, "e1", LOST, 0), (SEND,)),
    "lost-at-3": (r.StageFailed("id", 1, "e1", LOST, 3), (SEND,)),
    "lost-stated": (
        r.StageFailed("id", 1, "e1", LOST, 3),
        (r.RecordEvent("retried", "id"), SEND),
    ),
    "ends": (r.AttemptFinished("id", 1, 5), ()),
    "ends-stated": (
        r.AttemptFinished("id", 1, 5),
        (r.RecordEvent("finished", "id"),),
    ),
    "token": (r.FirstToken("id", 1), ()),
    "leaves": (r.RequestCancelled("id"), ()),
    "calls": (r.ServiceCallArrived(CALL), (CALL_REPLICA,)),
    "call-lost": (r.ServiceCallFailed("id", 1, "b1", LOST), (CALL_REPLICA,)),
    "call-ends": (r.ServiceCallFinished("id", 2), ()),
}
START = "received admitted dispatched"


def test_fault_in_recording_does_not_stop_a_request() -> None:
    """Guards against a request that hangs because its event was not recorded."""
    router = r.Router(host_id="host-1", availability_zone="zone-1", seed=1)

    def fail(event: object, decisions: object) -> None:
        raise ValueError("fault")

    ref = RouterActor.start(router, carry_out=lambda decision: None, observe=fail)
    port = ActorRouterPort(ref)
    mailbox = port.submit("id", r.RequestArrived(REQUEST))
    assert isinstance(mailbox.get(timeout=5), r.Refuse)
    port.close()


@pytest.mark.parametrize(
    ("steps", "kinds", "outcome"),
    [
        ("arrives", START, None),
        ("arrives token ends", f"{START} first-token finished", Outcome.COMPLETE),
        ("arrives lost", f"{START} retried dispatched", None),
        ("arrives lost-at-3", f"{START} resumed dispatched", None),
        ("arrives lost-stated", f"{START} retried dispatched", None),
        ("arrives ends-stated", f"{START} finished", Outcome.COMPLETE),
        ("full", "received refused", Outcome.NOT_RUN),
        ("arrives leaves", f"{START} finished", Outcome.MAY_HAVE_RUN),
        ("waits leaves", "received finished", Outcome.NOT_RUN),
        (
            "calls call-lost call-ends",
            f"{START} retried dispatched finished",
            Outcome.COMPLETE,
        ),
    ],
)
def test_each_step_is_recorded_once(
    steps: str, kinds: str, outcome: Outcome | None
) -> None:
    """Guards against steps missing or listed twice, and gauges that drift."""
    recorder, metrics = Recorder(host_id="host-1", capacity=50), Metrics()
    observer = RequestObserver(recorder, metrics)
    for step in steps.split():
        observer.observe(*STEPS[step])
    found = recorder.read(EventFilter(workspace="range-a"), limit=50).events
    assert [event.kind.value for event in found] == kinds.split()
    at_upstream = recorder.read(EventFilter(upstream_id="e1"), limit=50).events
    assert ("first-token" in kinds) <= ("first-token" in [e.kind for e in at_upstream])
    open_now = sum(observer.queued.values()) + sum(observer.in_flight.values())
    assert open_now == (1 if outcome is None else 0)
    counted = [labels[2] for labels in metrics._counts["requests_total"]]
    assert counted == ([] if outcome is None else [outcome])
