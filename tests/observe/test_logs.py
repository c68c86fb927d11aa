"""Check log lines, their fields and the limit on repeats."""

import io
import json
from collections.abc import Iterator

import pytest
from loguru import logger

from persimmonwell.observe import (
    RepeatLimiter,
    configure_logs,
    log_suppressed,
    part_logger,
)
from persimmonwell.settings import LogSettings


@pytest.fixture(autouse=True)
def restore_logs() -> Iterator[None]:
    yield
    logger.remove()


def test_json_lines_have_the_fields() -> None:
    """Guards against lines that a log pipeline cannot join with the timeline."""
    stream = io.StringIO()
    configure_logs(LogSettings(json=True), host_id="host-1", stream=stream)
    part_logger("router").bind(request="r1").warning("refused, {}", "overloaded")
    line = json.loads(stream.getvalue())
    assert line.pop("time").endswith("+00:00")
    assert line == {
        "host": "host-1",
        "request": "r1",
        "level": "WARNING",
        "message": "router: refused, overloaded",
    }


def test_text_stays_on_one_line_without_values_of_exceptions() -> None:
    """Guards against forged lines and request text in a traceback."""
    stream = io.StringIO()
    configure_logs(LogSettings(), host_id="host-1", stream=stream)
    try:
        raise ValueError("prompt of a caller")
    except ValueError:
        part_logger("http").exception("failed\n2026 INFO forged")
    text = stream.getvalue()
    assert text.count("\n") == 1 and "\\n2026 INFO forged" in text
    assert "ValueError at test_logs.py:" in text and "prompt" not in text


def test_repeats_are_limited_and_counted() -> None:
    """Guards against a fault that floods the log, and against hiding how often."""
    stream, now_s = io.StringIO(), [0.0]
    settings = LogSettings(json=True, repeat_limit=2, repeat_interval_s=10.0)
    limiter = configure_logs(
        settings, host_id="host-1", stream=stream, clock=lambda: now_s[0]
    )

    def fail(number: int) -> None:
        part_logger("platform").warning("append failed, {}", number)

    for number in range(7):
        fail(number)
    part_logger("config").info("version {} in force", 1)
    now_s[0] = 10.0
    fail(7)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["message"] for line in lines] == [
        "platform: append failed, 0",
        "platform: append failed, 1",
        "config: version 1 in force",
        "platform: append failed, 7",
    ]
    assert [line.get("suppressed") for line in lines] == [None, None, None, 5]
    for number in range(3):
        fail(number)
    log_suppressed(limiter)
    assert json.loads(stream.getvalue().splitlines()[-1])["suppressed"] == 2


def test_limit_is_per_interval() -> None:
    """Guards against a message that stays silent for ever."""
    now_s = [0.0]
    limiter = RepeatLimiter(limit=1, interval_s=5.0, clock=lambda: now_s[0])
    seen = []
    for second in range(12):
        now_s[0] = float(second)
        seen.append(limiter.admit(("module", 1)))
    assert seen == [0, *[None] * 4, 4, *[None] * 4, 4, None]
