"""Rate limits that replicas state in their answers.

A replica in trouble states how many requests a second it takes from all hosts
together. The newest statement holds, whichever host received it.
"""

from collections.abc import Callable

import attrs

LIMIT_TTL_S = 30.0
"""Time after which a limit that no answer repeated is dropped."""


@attrs.frozen
class StatedLimit:
    """Limit of one replica's incarnation, as hosts send it to each other.

    The time is an age, since the clocks of two hosts differ.
    """

    replica_id: str
    started_at_ms: int
    rate_per_s: float | None
    """Requests a second from all hosts, None if the newest answer stated none."""
    age_s: float


@attrs.define
class _Limit:
    started_at_ms: int
    rate_per_s: float | None
    stated_s: float


class ReplicaRateLimits:
    """Newest stated limit of each replica."""

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

    def rate_per_s(self, replica_id: str) -> float | None:
        """Return the limit that is in force at a replica, None for none."""
        limit = self._limits.get(replica_id)
        return limit.rate_per_s if limit is not None else None

    def record(self, stated: StatedLimit, now_s: float) -> bool:
        """Record a statement; return whether the limit in force changed."""
        current = self._limits.get(stated.replica_id)
        if current is None and stated.rate_per_s is None:
            return False
        stated_s = now_s - stated.age_s
        if current is not None and (stated.started_at_ms, stated_s) < (
            current.started_at_ms,
            current.stated_s,
        ):
            return False
        before = self.rate_per_s(stated.replica_id)
        self._limits[stated.replica_id] = _Limit(
            stated.started_at_ms, stated.rate_per_s, stated_s
        )
        return before != stated.rate_per_s

    def expire(self, now_s: float, is_registered: Callable[[str, int], bool]) -> None:
        """Drop the limits that are old or belong to another incarnation."""
        for replica_id, limit in list(self._limits.items()):
            if now_s - limit.stated_s >= LIMIT_TTL_S or not is_registered(
                replica_id, limit.started_at_ms
            ):
                del self._limits[replica_id]
