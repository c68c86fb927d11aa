"""Follow a log stream whose records are all folded by one part."""

import threading
import time
from collections.abc import Callable

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.platform import JsonLog, StreamSlice

LOG_WAIT_S = 0.5
"""Long-poll time of one read; also bounds the time to stop."""
READ_RETRY_S = 0.2


def follow_stream(
    log: JsonLog,
    stream: str,
    *,
    stopping: threading.Event,
    deliver: Callable[[StreamSlice, float], None],
) -> None:
    """Deliver each answer and the time its read was sent, until the event is set.

    Reading begins at the start of the stream and goes on after a retention cut.
    """
    next_offset = 0
    while not stopping.is_set():
        read_s = time.monotonic()
        try:
            part = log.read(stream, from_offset=next_offset, wait_s=LOG_WAIT_S)
        except PlatformUnavailableError:
            stopping.wait(READ_RETRY_S)
            continue
        if part.records:
            next_offset = part.records[-1].offset + 1
        next_offset = max(next_offset, part.first_offset)
        deliver(part, read_s)
