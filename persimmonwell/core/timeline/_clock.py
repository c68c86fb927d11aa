"""Hybrid logical clock: wall time that never runs backwards, with a counter."""

import attrs

MICROSECONDS_PER_S = 1_000_000


@attrs.frozen(order=True)
class HybridTimestamp:
    """Timestamp, ordered by wall time, then by the logical counter."""

    wall_us: int
    """Microseconds since the Unix epoch."""
    logical: int = 0
    """Counter that orders events with the same wall time."""


class HybridClock:
    """Hybrid logical clock of one host."""

    def __init__(self, *, max_drift_s: float) -> None:
        self._max_drift_us = round(max_drift_s * MICROSECONDS_PER_S)
        self._wall_us = 0
        self._logical = 0
        self._rejected_count = 0

    @property
    def rejected_stamps(self) -> int:
        """Return how many remote timestamps were too far ahead to be adopted."""
        return self._rejected_count

    def tick(self, wall_s: float) -> HybridTimestamp:
        """Return a timestamp after every one issued or adopted before."""
        wall_us = int(wall_s * MICROSECONDS_PER_S)
        if wall_us > self._wall_us:
            self._wall_us = wall_us
            self._logical = 0
        else:
            self._logical += 1
        return HybridTimestamp(self._wall_us, self._logical)

    def observe(self, remote: HybridTimestamp, wall_s: float) -> bool:
        """Adopt a remote timestamp, so that later local ones follow it.

        Return False when it is further ahead of the local wall time than the
        maximum drift. Adopting it would spread one host's wrong clock to all hosts.
        """
        if remote.wall_us - int(wall_s * MICROSECONDS_PER_S) > self._max_drift_us:
            self._rejected_count += 1
            return False
        if (remote.wall_us, remote.logical) > (self._wall_us, self._logical):
            self._wall_us, self._logical = remote.wall_us, remote.logical
        return True
