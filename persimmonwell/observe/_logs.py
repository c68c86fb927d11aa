"""Logging setup: text or JSON lines, with a rate limit on repeated messages."""

import json
import sys
import threading
import time
import traceback
from collections.abc import Callable
from datetime import UTC
from pathlib import Path
from typing import TYPE_CHECKING, Any, TextIO

from loguru import logger

from persimmonwell.settings import LogSettings

if TYPE_CHECKING:
    from loguru import Logger


class RepeatLimiter:
    """Rate limiter of log messages, by the place in the code that logs them."""

    def __init__(
        self, *, limit: int, interval_s: float, clock: Callable[[], float]
    ) -> None:
        self._limit = limit
        self._interval_s = interval_s
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[tuple[str, int], tuple[float, int]] = {}

    def admit(self, key: tuple[str, int]) -> int | None:
        """Count a message; return None if it is to be suppressed.

        Otherwise return how many repeats the previous interval suppressed.
        """
        now_s = self._clock()
        with self._lock:
            start_s, count = self._windows.get(key, (now_s, 0))
            suppressed = 0
            if now_s - start_s >= self._interval_s:
                suppressed = max(0, count - self._limit)
                start_s, count = now_s, 0
            self._windows[key] = (start_s, count + 1)
            return suppressed if count < self._limit else None

    def pop_suppressed_counts(self) -> dict[tuple[str, int], int]:
        """Return and reset the counts of suppressed repeats not yet reported."""
        with self._lock:
            windows, self._windows = self._windows, {}
        counts = {key: count - self._limit for key, (_, count) in windows.items()}
        return {key: count for key, count in counts.items() if count > 0}


def configure_logs(
    settings: LogSettings,
    *,
    host_id: str,
    stream: TextIO | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> RepeatLimiter:
    """Send logs to a stream, standard error by default, as text or JSON lines.

    Messages from the same place in the code count as repeats, also if their values
    differ.
    """
    limiter = RepeatLimiter(
        limit=settings.repeat_limit, interval_s=settings.repeat_interval_s, clock=clock
    )
    format_record = format_json if settings.json else format_text

    def is_admitted(record: Any) -> bool:
        suppressed = limiter.admit((str(record["name"]), record["line"]))
        if suppressed:
            record["extra"]["suppressed"] = suppressed
        return suppressed is not None

    def write(message: Any) -> None:
        out = stream if stream is not None else sys.stderr
        out.write(format_record(message.record) + "\n")
        out.flush()

    logger.remove()
    logger.configure(extra={"host": host_id})
    logger.add(write, level=settings.level, filter=is_admitted, format="{message}")
    return limiter


def log_suppressed(limiter: RepeatLimiter) -> None:
    """Log the counts of suppressed repeats that no later message has reported."""
    for (module, line), count in limiter.pop_suppressed_counts().items():
        log = part_logger("logs").bind(suppressed=count)
        log.info("repeats of the message at {}:{} suppressed", module, line)


def part_logger(part: str) -> "Logger":
    """Return a logger that prefixes messages with the name of a component."""

    def add_prefix(record: "dict[str, object]") -> None:
        record["message"] = f"{part}: {record['message']}"

    return logger.patch(add_prefix)  # type: ignore[arg-type]


def format_text(record: Any) -> str:
    """Return a record as one line: time, level, message and fields."""
    fields = " ".join(f"{name}={value}" for name, value in record["extra"].items())
    line = f"{_format_time(record)} {record['level'].name} {record['message']} {fields}"
    return _escape_unprintable(line + _format_exception(record))


def format_json(record: Any) -> str:
    """Return a record as one JSON object: its fields, time, level and message."""
    fields = {
        **record["extra"],
        "time": _format_time(record),
        "level": record["level"].name,
        "message": record["message"] + _format_exception(record),
    }
    return json.dumps(fields, default=str)


def _format_time(record: Any) -> str:
    time_utc: str = record["time"].astimezone(UTC).isoformat(timespec="milliseconds")
    return time_utc


def _format_exception(record: Any) -> str:
    # Only the type and the locations, since the value may contain request text.
    exception = record["exception"]
    if exception is None:
        return ""
    frames = traceback.extract_tb(exception.traceback)
    locations = " > ".join(f"{Path(f.filename).name}:{f.lineno}" for f in frames)
    return f" ({exception.type.__name__} at {locations})"


def _escape_unprintable(text: str) -> str:
    # A line break in a value would allow callers to forge log lines.
    return "".join(
        c if c.isprintable() else c.encode("unicode_escape").decode() for c in text
    )
