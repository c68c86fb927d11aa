"""Log lines about events that others cause at any rate: one per cause and minute."""

from collections.abc import Callable

import attrs

from persimmonwell.observe._decision_log import DecisionLog

INTERVAL_S = 60.0
"""Time between two lines of one cause."""
MAX_CAUSES = 256
"""Causes whose last line is remembered; the program names a few dozen."""


@attrs.define
class _LastLine:
    written_s: float
    suppressed: int = 0


class RateLimitedLog:
    """Writer of the first line of each cause in an interval; it counts the others."""

    def __init__(self, log: DecisionLog, *, clock: Callable[[], float]) -> None:
        self._log = log
        self._clock = clock
        self._last_lines: dict[tuple[str, str, str], _LastLine] = {}

    def write(self, part: str, event: str, *, cause: str, **fields: object) -> None:
        """Write a line, unless one of the same cause was written in the interval."""
        now_s = self._clock()
        key = (part, event, cause)
        last = self._last_lines.get(key)
        if last is not None and now_s - last.written_s < INTERVAL_S:
            last.suppressed += 1
            return
        suppressed = last.suppressed if last is not None else 0
        if last is None and len(self._last_lines) >= MAX_CAUSES:
            del self._last_lines[next(iter(self._last_lines))]
        self._last_lines[key] = _LastLine(now_s)
        self._log.write(
            part, event, is_urgent=False, cause=cause, suppressed=suppressed, **fields
        )

    def flush(self) -> None:
        """Write the number of suppressed lines of intervals that have ended."""
        now_s = self._clock()
        for (part, event, cause), last in list(self._last_lines.items()):
            if last.suppressed and now_s - last.written_s >= INTERVAL_S:
                self.write(part, event, cause=cause)
