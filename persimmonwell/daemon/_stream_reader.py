"""Read a log stream at the pace that the control state asks for."""

import threading
import time
from collections.abc import Callable

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.core.control import CONFIG_STREAM, PlatformFailed, RecordsRead
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.platform import JsonLog

LOG_WAIT_S = 0.5
"""Long-poll time of one read; also bounds the time to stop."""
PACE_CHECK_S = 0.2
"""Time within which a reader notices that it has to read often."""
FIRST_RETRY_S = 0.2
LAST_RETRY_S = 2.0
"""A fleet that retries faster would load a log that is coming back."""


class StreamReader:
    """Hold the pace of reading one stream."""

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
        self._read_s = float("-inf")
        self._retry_s = FIRST_RETRY_S

    def run(self, stopping: threading.Event) -> None:
        """Read until the event is set."""
        while not stopping.is_set():
            offset, pause_s = self._control.inspect(
                lambda control: (
                    control.read_offset(self._stream),
                    control.read_pause_s(self._stream, time.monotonic()),
                )
            )
            left_s = self._read_s + pause_s - time.monotonic()
            if left_s > 0:
                stopping.wait(min(left_s, PACE_CHECK_S))
                continue
            try:
                self._read(offset)
                self._retry_s = FIRST_RETRY_S
            except PlatformUnavailableError as error:
                self._count_failure(error.service)
                self._control.tell(PlatformFailed(self._stream))
                stopping.wait(self._retry_s)
                self._retry_s = min(2 * self._retry_s, LAST_RETRY_S)

    def _read(self, offset: int) -> None:
        # Only the config stream is long-polled: its changes have to be in force
        # everywhere within seconds.
        wait_s = LOG_WAIT_S if self._stream == CONFIG_STREAM else 0.0
        part = self._log.read(self._stream, from_offset=offset, wait_s=wait_s)
        self._read_s = time.monotonic()
        self._control.tell(
            RecordsRead(
                stream=self._stream,
                first_offset=part.first_offset,
                next_offset=part.next_offset,
                records=part.records,
            )
        )
