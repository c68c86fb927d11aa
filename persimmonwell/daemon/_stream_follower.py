"""Follower that reads a log stream for a single consumer."""

import threading
import time
from collections.abc import Callable

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.platform import JsonLog, StreamSlice

LONG_POLL_S = 0.5
"""Long-poll time of one read, which also bounds the time to stop."""
RETRY_DELAY_S = 0.2


def follow_stream(
    log: JsonLog,
    stream: str,
    *,
    stopping: threading.Event,
    deliver: Callable[[StreamSlice, float], None],
) -> None:
    """Deliver each read and the time it was sent, until the event is set.

    Starts at offset 0 and skips records that are past the log's retention.
    """
    next_offset = 0
    while not stopping.is_set():
        read_s = time.monotonic()
        try:
            stream_slice = log.read(stream, from_offset=next_offset, wait_s=LONG_POLL_S)
        except PlatformUnavailableError:
            stopping.wait(RETRY_DELAY_S)
            continue
        if stream_slice.records:
            next_offset = stream_slice.records[-1].offset + 1
        next_offset = max(next_offset, stream_slice.first_offset)
        deliver(stream_slice, read_s)
