"""Rate limits that replicas state in their answers, shared among the hosts.

A replica in trouble states how many requests a second it takes from all hosts
together. Hosts keep to a share of it each, without a message between them: most of it
is for the hosts of the replica's zone, which use it most.
"""

import random
from collections.abc import Callable, Mapping

import attrs

from persimmonwell.core.forwarding._model import Replica

LIMIT_TTL_S = 30.0
"""Time after which a limit that no answer repeated is dropped."""
ZONE_SHARE = 0.9
"""Part of a limit that the hosts of the replica's availability zone divide; the hosts
of the other zones divide the rest."""
BURST_S = 0.25
"""Time for which an unused share is kept, beyond the one request that always is."""


@attrs.define
class _Limit:
    started_at_ms: int
    rate_per_s: float
    stated_s: float
    tokens: float
    """Requests that may be sent now."""
    filled_s: float

    def fill(self, share: float, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        rate_per_s = share * self.rate_per_s
        burst = max(1.0, BURST_S * rate_per_s)
        elapsed_s = now_s - self.filled_s
        self.tokens = min(burst, self.tokens + rate_per_s * elapsed_s)
        self.filled_s = now_s


class ReplicaRateLimits:
    """Newest stated limit of each replica, with this host's share as a token bucket."""

    def __init__(self, *, availability_zone: str, rng: random.Random) -> None:
        self._zone = availability_zone
        self._random = rng
        self._limits: dict[str, _Limit] = {}
        self._hosts_by_zone: dict[str, int] = {availability_zone: 1}

    def rate_per_s(self, replica_id: str) -> float | None:
        """Return the limit that is in force at a replica, None for none."""
        limit = self._limits.get(replica_id)
        return limit.rate_per_s if limit is not None else None

    def set_hosts(self, hosts_by_zone: Mapping[str, int]) -> None:
        """Set how many hosts divide the limits, this host included."""
        self._hosts_by_zone = dict(hosts_by_zone)

    def record(self, replica: Replica, rate_per_s: float | None, now_s: float) -> bool:
        """Record the limit in an answer, None for none; return whether it changed."""
        current = self._limits.get(replica.replica_id)
        if rate_per_s is None:
            return self._limits.pop(replica.replica_id, None) is not None
        if current is None or current.started_at_ms != replica.started_at_ms:
            self._limits[replica.replica_id] = _Limit(
                started_at_ms=replica.started_at_ms,
                rate_per_s=rate_per_s,
                stated_s=now_s,
                # All hosts learn of a limit at about the same time; with equal
                # tokens they would send at the same moments from then on.
                tokens=self._random.random(),
                filled_s=now_s,
            )
            return True
        is_changed = current.rate_per_s != rate_per_s
        current.rate_per_s = rate_per_s
        current.stated_s = now_s
        return is_changed

    def may_send(self, replica: Replica, now_s: float) -> bool:
        """Return whether a replica's limit leaves room for a request of this host."""
        limit = self._limits.get(replica.replica_id)
        if limit is None:
            return True
        limit.fill(self._share(replica.availability_zone), now_s)
        return limit.tokens >= 1.0

    def record_send(self, replica_id: str) -> None:
        """Count a request that was sent to a replica."""
        limit = self._limits.get(replica_id)
        if limit is not None:
            limit.tokens -= 1.0

    def expire(
        self, now_s: float, is_registered: Callable[[str, int], bool]
    ) -> tuple[str, ...]:
        """Drop the limits that are old or belong to another incarnation.

        Returns the replicas whose limit was dropped.
        """
        dropped = tuple(
            replica_id
            for replica_id, limit in self._limits.items()
            if now_s - limit.stated_s >= LIMIT_TTL_S
            or not is_registered(replica_id, limit.started_at_ms)
        )
        for replica_id in dropped:
            del self._limits[replica_id]
        return dropped

    def _share(self, zone: str) -> float:
        """Return this host's part of the limit of a replica in a zone."""
        in_zone = self._hosts_by_zone.get(zone, 0)
        elsewhere = sum(self._hosts_by_zone.values()) - in_zone
        if not in_zone or not elsewhere:
            return 1.0 / max(1, in_zone + elsewhere)
        if zone == self._zone:
            return ZONE_SHARE / in_zone
        return (1.0 - ZONE_SHARE) / elsewhere
