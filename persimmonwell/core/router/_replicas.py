"""Choose the replica of a plain service for a call."""

import random

import attrs

from persimmonwell.core._types import ServiceReplica
from persimmonwell.core.routing import NoRoute

FIRST_LIMIT = 32
MAX_LIMIT = 256
"""Bounds of the calls one host sends to one replica at a time. Replicas publish
no capacity, so the limit follows their refusals: halved on each, grown slowly."""
EJECT_FAILURES = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0


@attrs.define
class _Health:
    running: int = 0
    limit: float = FIRST_LIMIT
    failures: int = 0
    ejected_until_s: float = 0.0
    ejections: int = 0


class ReplicaPool:
    """Hold the replicas of all services and what their calls showed."""

    def __init__(self, *, availability_zone: str, seed: int) -> None:
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._by_service: dict[str, tuple[ServiceReplica, ...]] = {}
        self._health: dict[str, _Health] = {}

    def update(self, replicas: tuple[ServiceReplica, ...]) -> None:
        """Replace the set of replicas; those that are leaving get no new calls."""
        by_service: dict[str, list[ServiceReplica]] = {}
        for replica in replicas:
            if not replica.leaving:
                by_service.setdefault(replica.service, []).append(replica)
        self._by_service = {name: tuple(found) for name, found in by_service.items()}
        known = {replica.replica_id for replica in replicas}
        for replica_id in tuple(self._health):
            if replica_id not in known and not self._health[replica_id].running:
                del self._health[replica_id]

    def choose(
        self,
        service: str,
        now_s: float,
        *,
        excluded: frozenset[str] = frozenset(),
        sound_only: bool = False,
    ) -> ServiceReplica | NoRoute:
        """Return a replica with a free slot, own availability zone first.

        Without a healthy replica the ejected ones are used. A replica whose
        ejection ended takes one call at a time until one succeeds; sound_only
        passes it over for calls that must not be lost.
        """
        live = [r for r in self._by_service.get(service, ())]
        usable = [r for r in live if r.replica_id not in excluded]
        if not usable:
            return NoRoute(reason="no live replica", covered=False)
        healthy = [r for r in usable if self._is_healthy(r, now_s)]
        if sound_only:
            sound = [r for r in healthy if not self._of(r).failures]
            healthy = sound or healthy
        free = [r for r in healthy or usable if self._has_slot(r)]
        if not free:
            return NoRoute(reason="every replica is busy", covered=True)
        own = [r for r in free if r.availability_zone == self._availability_zone]
        sampled = self._random.sample(own or free, k=min(2, len(own or free)))
        return min(sampled, key=lambda replica: self._of(replica).running)

    def _of(self, replica: ServiceReplica) -> _Health:
        return self._health.setdefault(replica.replica_id, _Health())

    def _is_healthy(self, replica: ServiceReplica, now_s: float) -> bool:
        return self._of(replica).ejected_until_s <= now_s

    def _has_slot(self, replica: ServiceReplica) -> bool:
        health = self._of(replica)
        limit = 1.0 if health.ejections and health.failures else health.limit
        return health.running < limit

    def started(self, replica: ServiceReplica) -> None:
        """Count a call in flight."""
        self._of(replica).running += 1

    def ended(self, replica: ServiceReplica) -> None:
        """Stop counting a call, however it ended."""
        self._of(replica).running -= 1

    def succeeded(self, replica: ServiceReplica) -> None:
        """Take an answered call as a sign of health."""
        health = self._of(replica)
        health.failures = health.ejections = 0
        health.ejected_until_s = 0.0
        health.limit = min(MAX_LIMIT, health.limit + 1.0 / health.limit)

    def busy(self, replica: ServiceReplica) -> None:
        """Lower the calls in flight at a replica that refused one."""
        health = self._of(replica)
        health.limit = max(1.0, health.limit / 2)

    def failed(self, replica: ServiceReplica, *, refused: bool, now_s: float) -> None:
        """Count a failed call; eject at once when the connection was refused."""
        health = self._of(replica)
        health.failures += 1
        if refused or health.failures >= EJECT_FAILURES or health.ejections:
            ejection_s = FIRST_EJECTION_S * 2 ** min(health.ejections, 8)
            health.ejected_until_s = now_s + min(LONGEST_EJECTION_S, ejection_s)
            health.ejections += 1

    def is_ejected(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica gets no calls at present."""
        health = self._health.get(replica_id)
        return health is not None and health.ejected_until_s > now_s
