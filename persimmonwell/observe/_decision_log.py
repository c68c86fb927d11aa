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
        chunks: list[bytes] = []
        while self._lines:
            line = self._lines.popleft()
            try:
                chunks.append(msgspec.json.encode(line, enc_hook=str))
            except (ValueError, TypeError, RecursionError):
                # Text that is not valid Unicode; the thread must go on.
                chunks.append(msgspec.json.encode({"unreadable": ascii(line)}))
        if not chunks:
            return
        try:
            self._stream.write(b"\n".join(chunks) + b"\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The stream is closed at the other end, so the loss can only be counted.
            self._dropped += len(chunks)
