"""Decide when this host writes a snapshot record."""

from persimmonwell.core.config import ConfigFold

SNAPSHOT_RECORDS = 64
"""Records after which a snapshot is due; a starting host folds at most about so
many records, and the log takes some 45 snapshots at 2,800 changes a day."""
SNAPSHOT_AGE_S = 3600.0
"""A quiet stream gets a snapshot this often, before retention cuts the last."""
RANK_DELAY_S = 30.0
"""Added wait of each host after the lowest live one, if that one does not write."""
MAX_RANK = 10


class SnapshotSchedule:
    """Hold what is known of the snapshots in the stream."""

    def __init__(self) -> None:
        self._covered = 0
        self._seen_s: float | None = None
        self._due_since_s: float | None = None

    def seen(self, offset: int, now_s: float) -> None:
        """Report a valid snapshot record of the state before an offset."""
        self._covered = max(self._covered, offset)
        self._seen_s = now_s
        self._due_since_s = None

    def is_turn(
        self, fold: ConfigFold, *, first_offset: int, rank: int, now_s: float
    ) -> bool:
        """Return whether this host, by its rank among the live ones, writes now."""
        if self._seen_s is None:
            self._seen_s = now_s
        old = now_s - self._seen_s > SNAPSHOT_AGE_S
        long = fold.next_offset - self._covered > SNAPSHOT_RECORDS
        cut = self._covered < first_offset
        if fold.next_offset == 0 or not (old or long or cut):
            self._due_since_s = None
            return False
        if self._due_since_s is None:
            self._due_since_s = now_s
        if now_s - self._due_since_s < min(rank, MAX_RANK) * RANK_DELAY_S:
            return False
        # Wait for the own record to come back before writing another one.
        self._due_since_s = now_s + RANK_DELAY_S
        return True
