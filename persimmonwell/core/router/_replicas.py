"""Replicas of plain services: health, concurrency limits and choice."""

import random

import attrs

from persimmonwell.core._types import ServiceReplica
from persimmonwell.core.routing import NoRoute

INITIAL_CONCURRENCY_LIMIT = 32
MAX_CONCURRENCY_LIMIT = 256
"""Initial and maximum concurrency limit of one host at one replica. Replicas publish
no capacity, so the limit adapts: halved on each refusal for lack of capacity, raised
by 1/limit on each success."""
EJECT_AFTER_FAILURES = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


@attrs.define
class _ReplicaHealth:
    running: int = 0
    limit: float = INITIAL_CONCURRENCY_LIMIT
    failures: int = 0
    ejected_until_s: float = 0.0
    ejections: int = 0


class ReplicaPool:
    """Replicas of all services with the health observed on their calls."""

    def __init__(self, *, availability_zone: str, seed: int) -> None:
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._by_service: dict[str, tuple[ServiceReplica, ...]] = {}
        self._health: dict[str, _ReplicaHealth] = {}

    def set_replicas(self, replicas: tuple[ServiceReplica, ...]) -> None:
        """Replace the set of replicas; leaving ones get no new calls."""
        by_service: dict[str, list[ServiceReplica]] = {}
        for replica in replicas:
            if not replica.leaving:
                by_service.setdefault(replica.service, []).append(replica)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}
        listed_ids = {replica.replica_id for replica in replicas}
        for replica_id in tuple(self._health):
            if replica_id not in listed_ids and not self._health[replica_id].running:
                del self._health[replica_id]

    def choose(
        self,
        service: str,
        now_s: float,
        *,
        excluded: frozenset[str] = frozenset(),
        prefer_failure_free: bool = False,
    ) -> ServiceReplica | NoRoute:
        """Return a replica with a free slot, preferably in the own zone.

        If no replica is healthy, ejected ones are used. A replica whose ejection has
        ended takes one call at a time until one succeeds. prefer_failure_free avoids
        replicas with recent failures, for calls that must not be repeated.
        """
        live = [r for r in self._by_service.get(service, ())]
        usable = [r for r in live if r.replica_id not in excluded]
        if not usable:
            return NoRoute(reason="no live replica", covered=False)
        healthy = [r for r in usable if self._is_healthy(r, now_s)]
        if prefer_failure_free:
            failure_free = [r for r in healthy if not self._health_of(r).failures]
            healthy = failure_free or healthy
        free = [r for r in healthy or usable if self._has_free_slot(r)]
        if not free:
            return NoRoute(reason="every replica is busy", covered=True)
        same_zone = [r for r in free if r.availability_zone == self._availability_zone]
        sampled = self._random.sample(
            same_zone or free, k=min(2, len(same_zone or free))
        )
        return min(sampled, key=lambda replica: self._health_of(replica).running)

    def _health_of(self, replica: ServiceReplica) -> _ReplicaHealth:
        return self._health.setdefault(replica.replica_id, _ReplicaHealth())

    def _is_healthy(self, replica: ServiceReplica, now_s: float) -> bool:
        return self._health_of(replica).ejected_until_s <= now_s

    def _has_free_slot(self, replica: ServiceReplica) -> bool:
        health = self._health_of(replica)
        limit = 1.0 if health.ejections and health.failures else health.limit
        return health.running < limit

    def record_start(self, replica: ServiceReplica) -> None:
        """Count a call as in flight."""
        self._health_of(replica).running += 1

    def record_end(self, replica: ServiceReplica) -> None:
        """Stop counting a call in flight, whether it succeeded or failed."""
        self._health_of(replica).running -= 1

    def record_success(self, replica: ServiceReplica) -> None:
        """Clear failures and ejections after an answered call and raise the limit."""
        health = self._health_of(replica)
        health.failures = health.ejections = 0
        health.ejected_until_s = 0.0
        health.limit = min(MAX_CONCURRENCY_LIMIT, health.limit + 1.0 / health.limit)

    def record_busy(self, replica: ServiceReplica) -> None:
        """Halve the concurrency limit of a replica that refused a call as busy."""
        health = self._health_of(replica)
        health.limit = max(1.0, health.limit / 2)

    def record_failure(
        self, replica: ServiceReplica, *, refused: bool, now_s: float
    ) -> None:
        """Count a failed call; a refused connection ejects the replica at once."""
        health = self._health_of(replica)
        health.failures += 1
        if refused or health.failures >= EJECT_AFTER_FAILURES or health.ejections:
            ejection_s = INITIAL_EJECTION_S * 2 ** min(health.ejections, 8)
            health.ejected_until_s = now_s + min(MAX_EJECTION_S, ejection_s)
            health.ejections += 1

    def is_ejected(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica is ejected and gets no calls."""
        health = self._health.get(replica_id)
        return health is not None and health.ejected_until_s > now_s
