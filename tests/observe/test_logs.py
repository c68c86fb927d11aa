"""Tests of log formats and of the rate limit on repeated messages."""

import io
import json
from collections.abc import Iterator

import pytest
from loguru import logger

from persimmonwell.observe import configure_logs, log_suppressed, part_logger
from persimmonwell.settings import LogSettings


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    yield io.StringIO()
    logger.remove()


def test_json_line_has_host_and_bound_fields(stream: io.StringIO) -> None:
    """Guards against JSON lines that cannot be joined with the timeline."""
    configure_logs(LogSettings(json=True), host_id="host-1", stream=stream)
    part_logger("router").bind(request="r1").warning("refused, {}", "overloaded")
    line = json.loads(stream.getvalue())
    assert line.pop("time").endswith("+00:00")
    message = {"level": "WARNING", "message": "router: refused, overloaded"}
    assert line == {"host": "host-1", "request": "r1", **message}


def test_text_line_has_no_line_breaks_or_exception_values(
    stream: io.StringIO,
) -> None:
    """Guards against forged log lines, and request text in a logged exception."""
    configure_logs(LogSettings(), host_id="host-1", stream=stream)
    try:
        raise ValueError("prompt of a caller")
    except ValueError:
        part_logger("http").exception("failed\n2026 INFO forged")
    text = stream.getvalue()
    assert text.count("\n") == 1 and "\\n2026 INFO forged" in text
    assert "ValueError at test_logs.py:" in text and "prompt" not in text


def test_repeats_are_limited_and_counted(stream: io.StringIO) -> None:
    """Guards against a fault that floods the log, or whose repeats are not counted."""
    now_s = [0.0]
    settings = LogSettings(json=True, repeat_limit=2, repeat_interval_s=10.0)
    limiter = configure_logs(
        settings, host_id="host-1", stream=stream, clock=lambda: now_s[0]
    )
    for second in range(25):
        now_s[0] = float(second)
        part_logger("platform").warning("append failed, {}", second)
        if second == 5:
            part_logger("config").info("version {} in force", 1)
    log_suppressed(limiter)
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    shown = [(li["message"].split(", ")[-1], li.get("suppressed")) for li in lines]
    assert shown[:3] == [("0", None), ("1", None), ("config: version 1 in force", None)]
    assert shown[3:7] == [("10", 8), ("11", None), ("20", 8), ("21", None)]
    assert [suppressed for _, suppressed in shown[7:]] == [3]
