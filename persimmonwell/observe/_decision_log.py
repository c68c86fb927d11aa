"""Write one structured line for each decision, without ever blocking."""

import sys
import threading
import time
from collections import deque
from typing import BinaryIO

import msgspec

MAX_QUEUED_LINES = 4_000
"""About 1 MB of text; more than a second of lines at the peak of one host."""
WRITE_INTERVAL_S = 0.1


class DecisionLog:
    """Hold lines until a thread of its own has written them.

    A reader that stops taking lines delays that thread only: further lines are
    counted and dropped.
    """

    def __init__(self, *, host_id: str, stream: BinaryIO | None = None) -> None:
        self._host_id = host_id
        self._stream = stream if stream is not None else sys.stdout.buffer
        self._lines: deque[dict[str, object]] = deque()
        self._dropped = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="decision-log", daemon=True
        )

    def start(self) -> None:
        """Start writing."""
        self._thread.start()

    def close(self) -> None:
        """Write what is left and stop."""
        self._stop.set()
        self._thread.join(timeout=1.0)

    def write(self, part: str, event: str, **fields: object) -> None:
        """Queue one line; the part is the prefix that logs are filtered by."""
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

    def _run(self) -> None:
        while not self._stop.wait(WRITE_INTERVAL_S):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.write("log", "lines_dropped", count=dropped)
        chunks: list[bytes] = []
        while self._lines:
            chunks.append(msgspec.json.encode(self._lines.popleft(), enc_hook=str))
        if not chunks:
            return
        try:
            self._stream.write(b"\n".join(chunks) + b"\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader of standard output is gone; there is no place to say so.
            self._dropped += len(chunks)
