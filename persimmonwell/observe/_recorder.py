"""Thread-safe recorder of timeline events."""

import threading
import time
from collections.abc import Callable

from persimmonwell.core.timeline import (
    EventFilter,
    EventKind,
    HybridClock,
    HybridTimestamp,
    RingSnapshot,
    TimelineRing,
)

MAX_DRIFT_S = 5.0
"""Hosts are synchronised by NTP, so a clock further ahead than this is faulty."""
MAX_DETAIL_CHARS = 160


class Recorder:
    """Timeline ring buffer and hybrid logical clock of one process."""

    def __init__(
        self,
        *,
        host_id: str,
        capacity: int,
        wall_clock: Callable[[], float] = time.time,
        max_drift_s: float = MAX_DRIFT_S,
    ) -> None:
        self._wall_clock = wall_clock
        self._clock = HybridClock(max_drift_s=max_drift_s)
        self._ring = TimelineRing(host=host_id, capacity=capacity)
        self._lock = threading.Lock()

    @property
    def overwritten(self) -> int:
        """Return the number of events overwritten by newer ones."""
        return self._ring.overwritten

    @property
    def rejected_stamps(self) -> int:
        """Return the number of remote timestamps rejected as too far ahead."""
        return self._clock.rejected_stamps

    def record(
        self,
        kind: EventKind | str,
        *,
        request_id: str = "",
        workspace: str = "",
        upstream_ids: tuple[str, ...] = (),
        detail: str = "",
    ) -> None:
        """Record an event; the detail must not contain request text."""
        if not isinstance(kind, EventKind):
            name, kind = kind, EventKind.parse(kind)
            if kind is EventKind.OTHER:
                detail = f"{name}: {detail}" if detail else name
        if len(detail) > MAX_DETAIL_CHARS:
            detail = detail[:MAX_DETAIL_CHARS]
        with self._lock:
            self._ring.append(
                self._clock.tick(self._wall_clock()),
                kind,
                request_id=request_id,
                workspace=workspace,
                upstream_ids=upstream_ids,
                detail=detail,
            )

    def next_stamp(self) -> HybridTimestamp:
        """Advance the clock and return its timestamp, for a message to a peer."""
        with self._lock:
            return self._clock.tick(self._wall_clock())

    def merge_remote_stamp(self, remote: HybridTimestamp) -> bool:
        """Advance the clock past the timestamp of a received message.

        Return False if the timestamp is too far ahead and was rejected.
        """
        with self._lock:
            return self._clock.observe(remote, self._wall_clock())

    def read(self, event_filter: EventFilter, *, limit: int) -> RingSnapshot:
        """Return the newest matching events, at most limit."""
        with self._lock:
            ring = self._ring.copy()
        return ring.select(event_filter, limit=limit)
