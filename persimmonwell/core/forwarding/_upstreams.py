"""Hold what one host knows of the upstreams, and choose among them."""

import random

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._events import AttemptFailure
from persimmonwell.core.forwarding._health import HealthTable
from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import Replica
from persimmonwell.core.forwarding._paths import (
    UNKNOWN_SIZE,
    Part,
    Path,
    find_path,
)
from persimmonwell.core.forwarding._registry import ReplicaRegistry

CROSS_ZONE_STEP_MS = 4.0
"""Added to the step of a path in another zone when paths are compared."""
SLOW_STEP_SHARE = 0.2
"""Other zones are considered when a step takes this part of the gap objective."""


class Upstreams:
    """Hold the registry, the loads and the evidence about every replica."""

    def __init__(self, *, availability_zone: str, randomness: random.Random) -> None:
        self._zone = availability_zone
        self._random = randomness
        self.registry = ReplicaRegistry()
        self.loads = LoadTable()
        self.health = HealthTable()

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that have not announced their end."""
        return [
            replica
            for replica in self.registry.replicas.values()
            if replica.service == service and not replica.is_draining
        ]

    def living(self, service: str, now_s: float) -> tuple[Replica, ...]:
        """Return the replicas of a service that are not known to be dead."""
        return tuple(
            replica
            for replica in self.usable(service)
            if not self.health.is_lost(replica.replica_id, now_s)
        )

    # Choice

    def choose_path(self, active: ActiveRequest, now_s: float) -> Path | None:
        """Return a path in the own zone, or in a faster one when it is slow or full."""
        own = self.path_in(active, self._zone, now_s)
        gap_s = active.route.gap_objective_s
        slow_ms = SLOW_STEP_SHARE * gap_s * 1000 if gap_s else float("inf")
        best = own
        if own is None or own.step_ms > slow_ms:
            for zone in self._zones(active.service.name):
                if zone == self._zone:
                    continue
                path = self.path_in(active, zone, now_s)
                if path is None:
                    continue
                path = attrs.evolve(path, step_ms=path.step_ms + CROSS_ZONE_STEP_MS)
                if best is None or path.step_ms < best.step_ms:
                    best = path
        return best

    def path_in(
        self, active: ActiveRequest, zone: str, now_s: float, first: Part | None = None
    ) -> Path | None:
        """Return the fastest path of a zone with room, None without one.

        A first part that is given stays as it is.
        """
        engine = active.service.engine
        assert engine is not None
        usable = [
            replica
            for replica in self.usable(active.service.name)
            if replica.availability_zone == zone
            and not self.health.is_excluded(replica.replica_id, now_s)
            and (
                replica.layers is None
                or replica.layers.start > 0
                or first is not None
                or active.may_use(replica.replica_id)
            )
        ]
        return find_path(
            usable,
            engine,
            active.request.size or UNKNOWN_SIZE,
            loads=self.loads,
            now_s=now_s,
            first=first,
            slowness=lambda replica_id: self.health.slowness(replica_id, now_s),
        )

    def _zones(self, service: str) -> set[str]:
        return {replica.availability_zone for replica in self.usable(service)}

    def choose_plain(self, active: ActiveRequest, now_s: float) -> Replica | None:
        """Return the replica of a plain service that answers soonest, if one has room.

        Load pattern: few slots. Requests wait at the host instead of at a replica that
        turns them away, and go to a replica that failed them only as a last resort.
        """
        usable = [
            replica
            for replica in self.usable(active.service.name)
            if active.may_use(replica.replica_id)
            and self.loads.of(replica.replica_id).requests < max(1, replica.slots)
        ]
        fresh = [each for each in usable if each.replica_id not in active.replicas]
        usable = fresh or usable
        healthy = [
            each
            for each in usable
            if not self.health.is_excluded(each.replica_id, now_s)
        ]
        usable = healthy or usable
        if not usable:
            return None
        known = [self.health.latency_s(each.replica_id) for each in usable]
        usual_s = min((each for each in known if each is not None), default=0.0)

        def score(replica: Replica) -> tuple[float, bool, float]:
            load = self.loads.of(replica.replica_id).requests + 1
            factor = self.health.penalty(replica.replica_id, usual_s)
            far = replica.availability_zone != self._zone
            return (load * factor, far, self._random.random())

        return min(usable, key=score)

    # Reservations

    def reserve(self, active: ActiveRequest) -> None:
        """Count a request at the replicas that it is sent to."""
        size = active.request.size or UNKNOWN_SIZE
        if active.path is None:
            assert active.replica_id is not None
            active.reserved = {active.replica_id: 0}
        else:
            engine = active.service.engine
            assert engine is not None
            tokens = size.expected_tokens(engine.usual_answer)
            active.reserved = {
                part.replica_id: (part.stop - part.start) * tokens
                for part in active.path.parts
            }
        for replica_id, layer_tokens in active.reserved.items():
            self.loads.add(replica_id, layer_tokens)

    def release(self, active: ActiveRequest) -> None:
        """Give back what a request had reserved."""
        for replica_id, layer_tokens in active.reserved.items():
            self.loads.remove(replica_id, layer_tokens)
        active.reserved = {}

    # Evidence

    def served(self, active: ActiveRequest, now_s: float) -> None:
        """Note a complete answer of the replicas that a request passed through."""
        if active.path is None:
            used = [active.replica_id] if active.replica_id is not None else []
            latency_s = now_s - active.sent_s
        else:
            used = [part.replica_id for part in active.path.parts]
            latency_s = 0.0
        for replica_id in used:
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                self.health.succeeded(replica_id, replica.incarnation, latency_s)

    def blame(
        self,
        active: ActiveRequest,
        failure: AttemptFailure,
        fault_address: str | None,
        now_s: float,
    ) -> None:
        """Note a failed attempt at the replica that is at fault."""
        if active.path is not None and fault_address is not None:
            for part in active.path.parts:
                if part.address != fault_address:
                    continue
                if failure is AttemptFailure.WRONG_REPLICA:
                    # It lives, but holds other layers than the registry says.
                    self.exclude(part.replica_id, now_s)
                else:
                    self.suspect_address(fault_address, now_s)
            return
        if active.replica_id is None or failure is AttemptFailure.NOT_RUN:
            return
        replica = self.registry.replicas.get(active.replica_id)
        if replica is None:
            return
        self.health.failed(replica.replica_id, replica.incarnation)
        if failure is AttemptFailure.NO_CONNECTION:
            self.suspect(replica.replica_id, now_s)
        elif failure is not AttemptFailure.ERROR:
            self.exclude(replica.replica_id, now_s)

    def exclude(self, replica_id: str, now_s: float) -> None:
        """Leave a replica out for a while."""
        replica = self.registry.replicas.get(replica_id)
        if replica is not None:
            self.health.exclude(replica_id, replica.incarnation, now_s)

    def suspect(self, replica_id: str, now_s: float) -> None:
        """Leave a replica out until it answers a question."""
        replica = self.registry.replicas.get(replica_id)
        if replica is not None:
            self.health.suspect(replica_id, replica.incarnation, now_s)

    def suspect_address(self, address: str, now_s: float) -> list[Replica]:
        """Suspect the replica at an address and return it."""
        found = [
            replica
            for replica in self.registry.replicas.values()
            if replica.address == address
        ]
        for replica in found:
            self.suspect(replica.replica_id, now_s)
        return found
