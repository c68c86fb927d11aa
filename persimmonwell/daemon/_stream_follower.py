"""Follower that reads a log stream for a single consumer."""

import threading
import time
from collections.abc import Callable

import attrs

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.core.claims import ContinuedOffsets
from persimmonwell.observe import part_logger
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
    ends_with_era: bool = False,
) -> None:
    """Deliver each read and the time it was sent, until the event is set.

    Starts at offset 0 and skips records that are past the log's retention. When the
    log came back from an older copy, it is read from its start again, and the
    delivered offsets count on; or, if records refer to offsets, nothing more is read.
    """
    offsets = ContinuedOffsets()
    while not stopping.is_set():
        read_s = time.monotonic()
        try:
            stream_slice = log.read(
                stream, from_offset=offsets.next_offset, wait_s=LONG_POLL_S
            )
        except PlatformUnavailableError:
            stopping.wait(RETRY_DELAY_S)
            continue
        read = offsets.accept(
            stream_slice.first_offset,
            stream_slice.next_offset,
            stream_slice.records,
            stream_slice.era,
        )
        if read is None:
            if ends_with_era:
                part_logger("log").error(
                    "stream {} is of another era and is not read until a restart",
                    stream,
                )
                return
            stopping.wait(RETRY_DELAY_S)
            continue
        deliver(
            attrs.evolve(
                stream_slice, first_offset=read.first_offset, records=read.records
            ),
            read_s,
        )
