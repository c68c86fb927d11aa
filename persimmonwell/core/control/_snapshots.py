"""Schedule by which hosts write snapshot records to the config stream."""

from persimmonwell.core.config import ConfigFold

SNAPSHOT_INTERVAL_RECORDS = 64
"""Records after which a snapshot is due. It bounds the records that a starting host
folds; at 2,800 changes a day it causes about 45 snapshots."""
SNAPSHOT_MAX_AGE_S = 3600.0
"""Time after which a snapshot is due, before retention removes the last one."""
HOST_INDEX_DELAY_S = 30.0
"""Delay per host index, so that the next live host writes if the first does not."""
MAX_HOST_INDEX = 10


class SnapshotSchedule:
    """Time and coverage of the latest snapshot, and whether a new one is due."""

    def __init__(self) -> None:
        self._covered_offset = 0
        self._last_snapshot_s: float | None = None
        self._due_since_s: float | None = None

    def record_snapshot(self, offset: int, now_s: float) -> None:
        """Record a valid snapshot of the state before an offset."""
        self._covered_offset = max(self._covered_offset, offset)
        self._last_snapshot_s = now_s
        self._due_since_s = None

    def should_write(
        self, fold: ConfigFold, *, first_offset: int, host_index: int, now_s: float
    ) -> bool:
        """Return whether this host, by its index among the live ones, writes now."""
        if self._last_snapshot_s is None:
            self._last_snapshot_s = now_s
        is_old = now_s - self._last_snapshot_s > SNAPSHOT_MAX_AGE_S
        is_long = fold.next_offset - self._covered_offset > SNAPSHOT_INTERVAL_RECORDS
        is_truncated = self._covered_offset < first_offset
        if fold.next_offset == 0 or not (is_old or is_long or is_truncated):
            self._due_since_s = None
            return False
        if self._due_since_s is None:
            self._due_since_s = now_s
        if (
            now_s - self._due_since_s
            < min(host_index, MAX_HOST_INDEX) * HOST_INDEX_DELAY_S
        ):
            return False
        # Wait until this host has read its own record before writing another one.
        self._due_since_s = now_s + HOST_INDEX_DELAY_S
        return True
