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
from persimmonwell.core.router import (
    AttemptFinished,
    Dispatch,
    DispatchService,
    FailureKind,
    RecordEvent,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RouterDecision,
    RouterEvent,
    ServiceCallArrived,
    ServiceCallFailed,
    ServiceCallFinished,
    StageFailed,
)
from persimmonwell.core.timeline import EventFilter
from persimmonwell.daemon._request_observer import RequestObserver
from persimmonwell.observe import Metrics, Recorder

CHAIN = Chain((Stage("e1", "127.0.0.1:1", LayerRange(0, 4)),))
REQUEST = ModelRequest("r", "range-a", Rank.URGENT, "coach", "d", 5, 5, 0.0)
CALL = ServiceCall("r", "range-a", Rank.BATCH, "booking", "d", 0.0, True)
REPLICA = ServiceReplica("b1", "127.0.0.1:1", "zone-1", "booking")
FULL = OverloadedError("urgent", "queue full")
Step = tuple[RouterEvent, tuple[RouterDecision, ...]]


def dispatch(attempt: int) -> Dispatch:
    return Dispatch("r", attempt, CHAIN, 0, Rank.URGENT)


def lost(tokens: int) -> StageFailed:
    return StageFailed("r", 1, "e1", FailureKind.LOST, tokens)


ARRIVED: Step = (RequestArrived(REQUEST), (dispatch(1),))
CALLED: Step = (ServiceCallArrived(CALL), (DispatchService("r", 1, REPLICA),))
START = ["received", "admitted", "dispatched"]


@pytest.mark.parametrize(
    ("steps", "kinds", "ended"),
    [
        ([ARRIVED], START, None),
        (
            [ARRIVED, (AttemptFinished("r", 1, 5), ())],
            [*START, "finished"],
            Outcome.COMPLETE,
        ),
        ([ARRIVED, (lost(0), (dispatch(2),))], [*START, "retried", "dispatched"], None),
        ([ARRIVED, (lost(3), (dispatch(2),))], [*START, "resumed", "dispatched"], None),
        (
            [ARRIVED, (lost(3), (RecordEvent("retried", "r"), dispatch(2)))],
            [*START, "retried", "dispatched"],
            None,
        ),
        (
            [ARRIVED, (AttemptFinished("r", 1, 5), (RecordEvent("finished", "r"),))],
            [*START, "finished"],
            Outcome.COMPLETE,
        ),
        (
            [(RequestArrived(REQUEST), (Refuse("r", FULL, Outcome.NOT_RUN),))],
            ["received", "refused"],
            Outcome.NOT_RUN,
        ),
        (
            [ARRIVED, (RequestCancelled("r"), ())],
            [*START, "finished"],
            Outcome.MAY_HAVE_RUN,
        ),
        (
            [(RequestArrived(REQUEST), ()), (RequestCancelled("r"), ())],
            ["received", "finished"],
            Outcome.NOT_RUN,
        ),
        (
            [
                CALLED,
                (
                    ServiceCallFailed("r", 1, "b1", FailureKind.NOT_SENT),
                    (DispatchService("r", 2, REPLICA),),
                ),
                (ServiceCallFinished("r", 2), ()),
            ],
            [*START, "retried", "dispatched", "finished"],
            Outcome.COMPLETE,
        ),
    ],
)
def test_each_step_is_recorded_once(
    steps: list[Step], kinds: list[str], ended: Outcome | None
) -> None:
    """Guards against steps missing or listed twice, and gauges that drift."""
    recorder = Recorder(host_id="host-1", capacity=50)
    metrics = Metrics()
    observer = RequestObserver(recorder, metrics)
    for event, decisions in steps:
        observer.observe(event, decisions)
    found = recorder.read(EventFilter(workspace="range-a"), limit=50).events
    assert [event.kind.value for event in found] == kinds
    open_now = sum(observer.queued.values()) + sum(observer.in_flight.values())
    assert open_now == (1 if ended is None else 0)
    counted = metrics._counts["requests_total"]
    assert [labels[2] for labels in counted] == ([] if ended is None else [ended])
