"""Tests of the outcomes of requests that must not be repeated."""

from typing import Any

import pytest

from persimmonwell.core.timeline import LandedOutcome, OutcomeFilter, list_outcomes

SENT = {"event": "sent", "route": "book", "kind": "unsafe", "to": "i-1", "born": 7}
ANSWERED = {"event": "answered", "status": 200}
ENDED = {"event": "ended", "route": "book", "kind": "unsafe"}


def failed(failure: str, attempt: int = 1, **fields: Any) -> dict[str, Any]:
    return {"event": "attempt_failed", "failure": failure, "attempt": attempt, **fields}


def history(*events: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the log lines of one request, a second apart."""
    return [
        {"time": 10.0 + n, "host": "h1", "part": "request", "id": "r", "attempt": 1}
        | event
        for n, event in enumerate(events)
    ]


@pytest.mark.parametrize(
    ("events", "outcome", "replica"),
    [
        ([ENDED], LandedOutcome.NOT_RUN, None),
        ([SENT, failed("not_run"), ENDED], LandedOutcome.NOT_RUN, None),
        ([SENT, failed("no_connection"), ENDED], LandedOutcome.NOT_RUN, None),
        ([SENT, ANSWERED], LandedOutcome.ANSWERED, "i-1"),
        ([SENT, failed("error", answer=500), ENDED], LandedOutcome.ANSWERED, "i-1"),
        ([SENT, failed("broken"), ENDED], LandedOutcome.MAY_HAVE_RUN, "i-1"),
        ([SENT, failed("broken", answer=200), ENDED], LandedOutcome.ANSWER_LOST, "i-1"),
        ([SENT, {"event": "caller_left"}], LandedOutcome.MAY_HAVE_RUN, "i-1"),
        ([SENT, ENDED], LandedOutcome.MAY_HAVE_RUN, "i-1"),
        ([SENT], LandedOutcome.MAY_HAVE_RUN, "i-1"),
        # The host dropped lines, or the file begins after the send.
        ([ENDED | {"ending": "overloaded"}], LandedOutcome.NOT_RUN, None),
        ([ENDED | {"ending": "upstream_failed"}], LandedOutcome.MAY_HAVE_RUN, None),
        ([ENDED | {"ending": "timed_out"}], LandedOutcome.MAY_HAVE_RUN, None),
        ([failed("broken"), ENDED], LandedOutcome.MAY_HAVE_RUN, None),
        ([failed("broken", answer=200), ENDED], LandedOutcome.ANSWER_LOST, None),
        (
            [SENT, failed("not_run"), failed("broken", 2), ENDED],
            LandedOutcome.MAY_HAVE_RUN,
            None,
        ),
        (
            [SENT, failed("not_run"), ANSWERED | {"attempt": 2}],
            LandedOutcome.ANSWERED,
            None,
        ),
        (
            [
                SENT,
                failed("wrong_replica"),
                SENT | {"to": "i-2", "attempt": 2},
                ANSWERED | {"attempt": 2},
            ],
            LandedOutcome.ANSWERED,
            "i-2",
        ),
    ],
)
def test_outcome_follows_from_the_lines_of_a_request(
    events: list[dict[str, Any]], outcome: LandedOutcome, replica: str | None
) -> None:
    """Guards against "not run" for a request that may have run."""
    (found,) = list_outcomes(history(*events), OutcomeFilter())
    assert (found.outcome, found.replica, found.route) == (outcome, replica, "book")


def test_repeatable_requests_are_left_out() -> None:
    """Guards against a list in which the bookings to check are hard to find."""
    lines = history(SENT | {"kind": "safe"}, ANSWERED)
    assert list_outcomes(lines, OutcomeFilter()) == ()


@pytest.mark.parametrize(
    ("selection", "count"),
    [
        (OutcomeFilter(since_s=9.0, until_s=11.0), 1),
        (OutcomeFilter(since_s=10.5), 0),
        (OutcomeFilter(until_s=9.5), 0),
        (OutcomeFilter(route="look"), 0),
        (OutcomeFilter(replica="i-1"), 1),
        (OutcomeFilter(replica="i-2"), 0),
    ],
)
def test_filters_select_span_route_and_replica(
    selection: OutcomeFilter, count: int
) -> None:
    """Guards against a selection that hides a request, or shows another span."""
    assert len(list_outcomes(history(SENT, ANSWERED), selection)) == count
