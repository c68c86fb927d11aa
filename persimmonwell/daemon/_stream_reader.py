"""Reader of a log stream at the rate that the control state asks for."""

import threading
import time
from collections.abc import Callable

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.core.control import CONFIG_STREAM, PlatformFailed, RecordsRead
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.platform import JsonLog

LONG_POLL_S = 0.5
"""Long-poll time of one read, which also bounds the time to stop."""
PACE_CHECK_INTERVAL_S = 0.2
"""Longest time until a reader notices a change of its read rate."""
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
"""Faster retries by a whole fleet would overload a log that is recovering."""


class StreamReader:
    """Reader of one log stream, which posts the records to the control state."""

    def __init__(
        self,
        *,
        stream: str,
        log: JsonLog,
        control: ControlPort,
        count_failure: Callable[[str], None],
    ) -> None:
        self._stream = stream
        self._log = log
        self._control = control
        self._count_failure = count_failure
        self._last_read_s = float("-inf")
        self._retry_delay_s = MIN_RETRY_DELAY_S

    def run(self, stopping: threading.Event) -> None:
        """Read until the event is set."""
        while not stopping.is_set():
            offset, pause_s = self._control.inspect(
                lambda control: (
                    control.read_offset(self._stream),
                    control.read_pause_s(self._stream, time.monotonic()),
                )
            )
            remaining_s = self._last_read_s + pause_s - time.monotonic()
            if remaining_s > 0:
                stopping.wait(min(remaining_s, PACE_CHECK_INTERVAL_S))
                continue
            try:
                self._read_records(offset)
                self._retry_delay_s = MIN_RETRY_DELAY_S
            except PlatformUnavailableError as error:
                self._count_failure(error.service)
                self._control.post_event(PlatformFailed(self._stream))
                stopping.wait(self._retry_delay_s)
                self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)

    def _read_records(self, offset: int) -> None:
        # Only the config stream is long-polled: its changes must be in force on every
        # host within seconds.
        wait_s = LONG_POLL_S if self._stream == CONFIG_STREAM else 0.0
        stream_slice = self._log.read(self._stream, from_offset=offset, wait_s=wait_s)
        self._last_read_s = time.monotonic()
        self._control.post_event(
            RecordsRead(
                stream=self._stream,
                first_offset=stream_slice.first_offset,
                next_offset=stream_slice.next_offset,
                records=stream_slice.records,
            )
        )
