"""Check the story of one request from decision lines."""

import json
from typing import Any

import pytest

from persimmonwell.core.timeline import conclude, read_decision_lines, tell_story


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


def test_the_story_is_in_order_with_what_the_host_learned() -> None:
    """Guards against a failure whose cause is in the log but not in the story."""
    story = tell_story(read_decision_lines(LOGS), "r", margin_s=0.5)
    assert [(each.event, each.is_context) for each in story] == [
        ("sent", False),
        ("silent", True),
        ("attempt_failed", False),
    ]
    assert tell_story(read_decision_lines(LOGS), "missing", margin_s=1.0) == ()


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
def test_the_end_is_told_in_one_sentence(last: str, expected: str) -> None:
    """Guards against operators who have to read every line to learn the end."""
    lines = read_decision_lines([*LOGS, last])
    assert conclude(tell_story(lines, "r", margin_s=0.0)) == expected


def test_an_unknown_request_is_said_so() -> None:
    """Guards against an empty answer that looks like a story."""
    assert conclude(()) == "no log has a line about this request"
