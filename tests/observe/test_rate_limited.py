"""Tests of the lines of which one per cause and minute is written."""

from typing import Any

from persimmonwell.observe import RateLimitedLog
from persimmonwell.observe._rate_limited import INTERVAL_S, MAX_CAUSES


class _Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, str, int]] = []

    def write(self, part: str, event: str, **fields: Any) -> None:
        self.lines.append((event, fields["cause"], fields["suppressed"]))


def test_one_line_per_cause_and_minute_counts_the_others() -> None:
    """Guards against clients that fill the log, and against events lost from it."""
    now_s = 0.0
    log = _Log()
    limited = RateLimitedLog(log, clock=lambda: now_s)  # type: ignore[arg-type]
    for _ in range(1000):
        limited.write("clients", "refused", cause="full", callers=3)
    limited.write("clients", "terminated", cause="full")
    limited.write("clients", "refused", cause="slow")
    limited.flush()
    expected = [("refused", "full", 0), ("terminated", "full", 0)]
    expected += [("refused", "slow", 0)]
    assert log.lines == expected
    now_s = INTERVAL_S
    limited.flush()
    assert log.lines[3:] == [("refused", "full", 999)]
    now_s = 2 * INTERVAL_S
    limited.flush()
    limited.write("clients", "refused", cause="full")
    assert log.lines[4:] == [("refused", "full", 0)]


def test_causes_are_bounded() -> None:
    """Guards against a table that grows with each value in a cause."""
    limited = RateLimitedLog(_Log(), clock=lambda: 0.0)  # type: ignore[arg-type]
    for number in range(2 * MAX_CAUSES):
        limited.write("clients", "refused", cause=str(number))
    assert len(limited._last_lines) == MAX_CAUSES
