"""Test the trace of one request from decision lines."""

import json
from typing import Any

import pytest

from persimmonwell.core.timeline import (
    read_decision_lines,
    summarize_trace,
    trace_request,
)


def line(time: float, event: str, part: str = "request", **fields: Any) -> str:
    document = {"time": time, "host": "h1", "part": part, "event": event, **fields}
    return f"  12.5 h1 {json.dumps(document, separators=(',', ':'))}"


SENT = line(10.0, "sent", id="r", attempt=1, to="i-1")
FAILED = line(10.2, "attempt_failed", id="r", failure="broken", detail="closed")
LOGS = [
    "starting",
    '{"time": broken',
    line(8.0, "gone", "registry", replica="i-0"),
    line(10.1, "silent", "upstream", replica="i-1"),
    line(10.1, "alive", "upstream", replica="i-2"),
    line(10.1, "sent", id="other"),
    FAILED,
    SENT,
]


def test_trace_has_context_lines_in_time_order() -> None:
    """Guards against a trace without the logged cause of a failed attempt."""
    trace = trace_request(read_decision_lines(LOGS), "r", margin_s=0.5)
    assert [(entry.event, entry.is_context) for entry in trace] == [
        ("sent", False),
        ("silent", True),
        ("attempt_failed", False),
    ]
    assert trace_request(read_decision_lines(LOGS), "missing", margin_s=1.0) == ()


@pytest.mark.parametrize(
    ("last", "expected"),
    [
        (
            line(11.0, "answered", id="r", status=200),
            "answered with status 200 after 1 send(s), failed: broken (closed)",
        ),
        (
            line(11.0, "ended", id="r", ending="overloaded", detail="queue", ms=4.0),
            "ended as overloaded (queue) after 4.0 ms and 1 send(s), "
            "failed: broken (closed)",
        ),
        (
            line(11.0, "caller_left", id="r", ms=900.0),
            "the caller left after 900.0 ms and 1 send(s), failed: broken (closed)",
        ),
    ],
)
def test_summary_states_how_the_request_ended(last: str, expected: str) -> None:
    """Guards against a summary that omits or misstates how the request ended."""
    lines = read_decision_lines([*LOGS, last])
    assert summarize_trace(trace_request(lines, "r", margin_s=0.0)) == expected


def test_summary_of_an_unknown_request() -> None:
    """Guards against an empty trace that is summarized as a finished request."""
    assert summarize_trace(()) == "no log has a line about this request"
