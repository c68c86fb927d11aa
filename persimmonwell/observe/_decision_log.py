"""Structured log with one line per decision, written without blocking callers."""

import sys
import threading
import time
from collections import deque
from typing import BinaryIO

import msgspec

MAX_QUEUED_LINES = 4_000
"""About 1 MB of text, and more than a second of lines at a host's peak load."""
WRITE_INTERVAL_S = 0.1
MAX_TEXT_CHARACTERS = 512
"""Text of one field; callers choose request ids of up to the size of a head, with which
a full queue would take more than 64 MB."""
MAX_TRACE_CHARACTERS = 4000
"""Text of the field `trace`, of which few lines are written."""
MAX_BATCH_LINES = 500
"""Lines that are encoded and written at once."""


class DecisionLog:
    """Bounded queue of log lines and the thread that writes them.

    If the reader of the stream stalls, only the writing thread blocks. Lines beyond
    the bound are dropped and counted.
    """

    def __init__(self, *, host_id: str, stream: BinaryIO | None = None) -> None:
        self._host_id = host_id
        self._stream = stream if stream is not None else sys.stdout.buffer
        self._lines: deque[dict[str, object]] = deque()
        self._dropped = 0
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="decision-log", daemon=True
        )

    def start(self) -> None:
        """Start the writing thread."""
        self._thread.start()

    def close(self) -> None:
        """Write the queued lines and stop the thread."""
        self._stop.set()
        self._wake.set()
        self._thread.join(timeout=1.0)

    def write(
        self, part: str, event: str, *, is_urgent: bool = False, **fields: object
    ) -> None:
        """Queue one line; part names the component, by which logs are filtered.

        An urgent line is written at once rather than with the next batch, without
        waiting for it.
        """
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        for name, value in fields.items():
            if type(value) is str and len(value) > MAX_TEXT_CHARACTERS:
                is_trace = name == "trace"
                limit = MAX_TRACE_CHARACTERS if is_trace else MAX_TEXT_CHARACTERS
                fields[name] = value[:limit]
        self._lines.append(
            {
                "time": round(time.time(), 4),
                "host": self._host_id,
                "part": part,
                "event": event,
                **fields,
            }
        )
        if is_urgent:
            self._wake.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            self._wake.wait(WRITE_INTERVAL_S)
            self._wake.clear()
            self._flush()
        self._flush()

    def _flush(self) -> None:
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.write("log", "lines_dropped", count=dropped)
        while self._lines:
            self._write_batch()

    def _write_batch(self) -> None:
        chunks: list[bytes] = []
        while self._lines and len(chunks) < MAX_BATCH_LINES:
            line = self._lines.popleft()
            try:
                chunks.append(msgspec.json.encode(line, enc_hook=str))
            except (ValueError, TypeError, RecursionError):
                # Text that is not valid Unicode; the thread must go on.
                chunks.append(msgspec.json.encode({"unreadable": ascii(line)}))
        try:
            self._stream.write(b"\n".join(chunks) + b"\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The stream is closed at the other end, so the loss can only be counted.
            self._dropped += len(chunks)
