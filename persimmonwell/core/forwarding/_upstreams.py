"""Selection of upstreams by registry, load and health, with load reservations."""

import random
from collections import defaultdict
from collections.abc import Hashable
from statistics import fmean

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._events import AttemptFailure
from persimmonwell.core.forwarding._health import ReplicaHealth
from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import EngineSpec, GenerationSize, Replica
from persimmonwell.core.forwarding._paths import (
    DEFAULT_SIZE,
    PipelinePath,
    Stage,
    StageTable,
    search_path,
)
from persimmonwell.core.forwarding._rate_limits import ReplicaRateLimits
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._statements import LeavingReplicas, ReplicaRefusals

CROSS_ZONE_PENALTY_MS = 4.0
"""Added to the step time of a path in another zone when paths are compared."""
SLOW_STEP_SHARE = 0.2
"""Share of the gap objective; slower steps make other zones candidates."""
MAX_KEPT_TABLES = 64
"""Tables of stages that are kept, one for each zone and set of excluded replicas."""


@attrs.define
class _Index:
    """Replicas that neither drain nor leave, by service and by zone."""

    version: Hashable
    by_service: dict[str, tuple[Replica, ...]]
    by_zone: dict[tuple[str, str], tuple[Replica, ...]]
    tables: dict[Hashable, StageTable] = attrs.field(factory=dict)
    """By service, zone and the ids of the excluded replicas."""
    joined: tuple[str, ...] = ()
    """Replicas that were not in the index before, or with other layers."""


class UpstreamPool:
    """Registry, loads and health of all replicas, as one host knows them."""

    def __init__(self, *, availability_zone: str, rng: random.Random) -> None:
        self._zone = availability_zone
        self._random = rng
        self.registry = ReplicaRegistry()
        self.loads = LoadTable()
        self.health = ReplicaHealth()
        self.leaving = LeavingReplicas()
        self.refusals = ReplicaRefusals()
        self.rate_limits = ReplicaRateLimits(
            availability_zone=availability_zone, rng=rng
        )
        self._index = _Index(None, {}, {})

    def available(self, service: str) -> tuple[Replica, ...]:
        """Return the registered replicas of a service that do not leave."""
        return self._current_index().by_service.get(service, ())

    def _current_index(self) -> _Index:
        """Return the index, built anew if the registry or the leaving ones changed."""
        leaving = frozenset(self.leaving.incarnations)
        version = (self.registry.version, leaving)
        if self._index.version == version:
            return self._index
        before = {
            replica.replica_id: (replica.incarnation, replica.layers)
            for replicas in self._index.by_service.values()
            for replica in replicas
        }
        joined = list(self._index.joined)
        by_service: dict[str, list[Replica]] = defaultdict(list)
        by_zone: dict[tuple[str, str], list[Replica]] = defaultdict(list)
        for replica in self.registry.replicas.values():
            if replica.is_draining or (leaving and replica.incarnation in leaving):
                continue
            by_service[replica.service].append(replica)
            by_zone[replica.service, replica.availability_zone].append(replica)
            known = before.get(replica.replica_id)
            # When a host starts, all replicas are new to it alone.
            if before and known != (replica.incarnation, replica.layers):
                joined.append(replica.replica_id)
        self._index = _Index(
            version,
            {name: tuple(replicas) for name, replicas in by_service.items()},
            {zone: tuple(replicas) for zone, replicas in by_zone.items()},
            joined=tuple(joined),
        )
        return self._index

    def _record_joins(self, now_s: float) -> None:
        index = self._current_index()
        for replica_id in index.joined:
            self.loads.shared.record_join(replica_id, now_s)
            # It lost its layers, and with them the requests in its memory.
            self.loads.full_stages.record(replica_id, 0, now_s)
        index.joined = ()

    def _stage_table(
        self, service: str, zone: str, excluded: frozenset[str], spec: EngineSpec
    ) -> StageTable:
        index = self._current_index()
        key = (service, zone, excluded)
        table = index.tables.get(key)
        if table is not None and table.spec == spec:
            return table
        replicas = index.by_zone.get((service, zone), ())
        table = StageTable((r for r in replicas if r.replica_id not in excluded), spec)
        if len(index.tables) >= MAX_KEPT_TABLES:
            del index.tables[next(iter(index.tables))]
        index.tables[key] = table
        return table

    def due_leaving_checks(self, service: str, now_s: float) -> tuple[Replica, ...]:
        """Return the leaving replicas to ask again, if a service has no other ones."""
        if not self.leaving.incarnations or self.available(service):
            return ()
        replicas = (
            replica
            for replica in self.registry.replicas.values()
            if replica.service == service and not replica.is_draining
        )
        return self.leaving.due_checks(replicas, now_s)

    def hold_off_s(self, service: str, now_s: float) -> float:
        """Return for how long every replica of a service wants no request."""
        if not self.refusals.replica_ids:
            return 0.0
        return min(
            (
                self.refusals.hold_off_s(replica, now_s)
                for replica in self.available(service)
            ),
            default=0.0,
        )

    def live(self, service: str, now_s: float) -> tuple[Replica, ...]:
        """Return the available replicas of a service that are not lost."""
        return tuple(
            replica
            for replica in self.available(service)
            if not self.health.is_lost(replica.replica_id, now_s)
        )

    # Selection

    def choose_path(self, active: ActiveRequest, now_s: float) -> PipelinePath | None:
        """Return a path in the host's zone, or a faster one if it is slow or full."""
        local_path = self.find_path_in_zone(active, self._zone, now_s)
        gap_s = active.route.gap_objective_s
        slow_step_ms = SLOW_STEP_SHARE * gap_s * 1000 if gap_s else float("inf")
        best = local_path
        if local_path is None or local_path.step_ms > slow_step_ms:
            for zone in self._zones(active.service.name):
                if zone == self._zone:
                    continue
                path = self.find_path_in_zone(active, zone, now_s)
                if path is None:
                    continue
                path = attrs.evolve(path, step_ms=path.step_ms + CROSS_ZONE_PENALTY_MS)
                if best is None or path.step_ms < best.step_ms:
                    best = path
        return best

    def find_path_in_zone(
        self,
        active: ActiveRequest,
        zone: str,
        now_s: float,
        first_stage: Stage | None = None,
    ) -> PipelinePath | None:
        """Return the fastest path of a zone with memory for the request, or None.

        A given first_stage is kept.
        """
        engine = active.service.engine
        assert engine is not None
        self._record_joins(now_s)
        excluded = self._excluded(active, zone, now_s, first_stage)
        table = self._stage_table(active.service.name, zone, excluded, engine)
        size = active.request.size or DEFAULT_SIZE
        return self._search(table, size, now_s, first_stage)

    def _search(
        self,
        table: StageTable,
        size: GenerationSize,
        now_s: float,
        first_stage: Stage | None,
    ) -> PipelinePath | None:
        spread = self.loads.shared.cost_spread(now_s)
        self.loads.full_stages.draw_phases(self._random.random)

        def factor(replica_id: str) -> float:
            slowness = self.health.slowness(replica_id, now_s)
            return slowness * self._draw_factor(spread)

        return search_path(
            table,
            size,
            loads=self.loads,
            now_s=now_s,
            first_stage=first_stage,
            slowness=factor,
        )

    def _draw_factor(self, spread: float) -> float:
        if not spread:
            return 1.0
        return 1.0 + spread * (self._random.random() - 0.5)

    def _excluded(
        self,
        active: ActiveRequest,
        zone: str,
        now_s: float,
        first_stage: Stage | None,
    ) -> frozenset[str]:
        """Return the replicas of a zone that a request may not use now."""
        replicas = self._current_index().by_zone.get((active.service.name, zone), ())
        refusing = self.refusals.replica_ids
        excluded = set()
        for replica in replicas:
            replica_id = replica.replica_id
            if (
                self.health.is_ejected(replica_id, now_s)
                or (replica_id in refusing and self.refusals.hold_off_s(replica, now_s))
                or (
                    first_stage is None
                    and replica.layers is not None
                    and replica.layers.start <= 0
                    and not (
                        active.may_send_to(replica_id)
                        and self.rate_limits.may_send(replica, now_s)
                    )
                )
            ):
                excluded.add(replica_id)
        if first_stage is not None:
            excluded.add(first_stage.replica_id)
        return frozenset(excluded)

    def _zones(self, service: str) -> set[str]:
        return {replica.availability_zone for replica in self.available(service)}

    def choose_replica(self, active: ActiveRequest, now_s: float) -> Replica | None:
        """Return the least loaded replica of a service without a pipeline, or None.

        Replicas have few slots, so requests queue at the host instead of being refused
        by a full replica. One that was tried before or is ejected is a last resort.
        """
        available = [
            replica
            for replica in self.available(active.service.name)
            if active.may_send_to(replica.replica_id)
            and self.loads.requests(replica.replica_id) < max(1, replica.slots)
            and not self.refusals.hold_off_s(replica, now_s)
            and self.rate_limits.may_send(replica, now_s)
        ]
        untried = [
            replica
            for replica in available
            if replica.replica_id not in active.tried_replica_ids
        ]
        available = untried or available
        healthy = [
            replica
            for replica in available
            if not self.health.is_ejected(replica.replica_id, now_s)
        ]
        available = healthy or available
        # A replica that refuses may take a request; an ejected one may be dead.
        taking = [
            replica
            for replica in available
            if not self.refusals.is_paused(replica, now_s)
        ]
        available = taking or available
        if not available:
            return None
        latencies_s = [
            self.health.mean_latency_s(replica.replica_id) for replica in available
        ]
        reference_s = min(
            (latency_s for latency_s in latencies_s if latency_s is not None),
            default=0.0,
        )

        self._record_joins(now_s)
        self.loads.update_expected(now_s)
        shared = self.loads.shared
        spread = shared.cost_spread(now_s)
        mean_load = sum(
            self.loads.requests(replica.replica_id) for replica in available
        ) / len(available)
        known_s = [latency_s for latency_s in latencies_s if latency_s is not None]
        valid_share = shared.valid_share(fmean(known_s) if known_s else None, now_s)
        mean_others = fmean(map(self._requests_of_others, available))

        def score(replica: Replica) -> tuple[float, bool, float]:
            load = self.loads.requests(replica.replica_id) + 1.0
            others = self._requests_of_others(replica)
            load += (1.0 - valid_share) * (mean_others - others)
            if (more := shared.expected.get(replica.replica_id)) is not None:
                load += more.requests
            load += mean_load * shared.ramp_share(replica.replica_id, now_s)
            load *= self._draw_factor(spread)
            factor = self.health.load_penalty(replica.replica_id, reference_s)
            is_remote = replica.availability_zone != self._zone
            return (load * factor, is_remote, self._random.random())

        return min(available, key=score)

    def _requests_of_others(self, replica: Replica) -> int:
        own = self.loads.local.get(replica.replica_id)
        total = self.loads.requests(replica.replica_id)
        return total - own.requests if own is not None else total

    # Reservations

    def reserve(self, active: ActiveRequest) -> None:
        """Add a request's load to the replicas that it is sent to."""
        size = active.request.size or DEFAULT_SIZE
        if active.path is None:
            assert active.replica_id is not None
            active.reserved = {active.replica_id: 0}
        else:
            engine = active.service.engine
            assert engine is not None
            tokens = size.expected_tokens(engine.typical_output_tokens)
            active.reserved = {
                stage.replica_id: (stage.stop - stage.start) * tokens
                for stage in active.path.stages
            }
        for replica_id, layer_tokens in active.reserved.items():
            self.loads.add(replica_id, layer_tokens)
        self.loads.shared.count_request(1)

    def release(self, active: ActiveRequest) -> None:
        """Remove a request's load from its replicas."""
        if active.reserved:
            self.loads.shared.count_request(-1)
        for replica_id, layer_tokens in active.reserved.items():
            self.loads.remove(replica_id, layer_tokens)
        active.reserved = {}

    # Outcomes

    def record_success(self, active: ActiveRequest, now_s: float) -> None:
        """Record a complete answer for the replicas that a request passed through."""
        if active.path is None:
            used = [active.replica_id] if active.replica_id is not None else []
            latency_s = now_s - active.sent_s
        else:
            used = [stage.replica_id for stage in active.path.stages]
            latency_s = 0.0
        for replica_id in used:
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                self.health.record_success(replica_id, replica.incarnation, latency_s)
                self.refusals.record_answer(replica, now_s)

    def record_failure(
        self,
        active: ActiveRequest,
        failure: AttemptFailure,
        fault_address: str | None,
        now_s: float,
    ) -> None:
        """Record a failed attempt for the replica at fault, fault_address if known."""
        if active.path is not None and fault_address is not None:
            for stage in active.path.stages:
                if stage.address != fault_address:
                    continue
                if failure is AttemptFailure.WRONG_REPLICA:
                    # It is alive, but holds other layers than its registry entry says.
                    self.eject(stage.replica_id, now_s)
                else:
                    self.suspect_address(fault_address, now_s)
                if failure is AttemptFailure.NOT_RUN:
                    self.loads.shared.record_refusal(now_s)
            return
        if active.replica_id is None:
            return
        replica = self.registry.replicas.get(active.replica_id)
        if replica is None:
            return
        if failure is AttemptFailure.NOT_RUN:
            self.refusals.record_refusal(replica, now_s)
            return
        self.health.record_error(replica.replica_id, replica.incarnation)
        if failure is AttemptFailure.NO_CONNECTION:
            self.suspect(replica.replica_id, now_s)
        elif failure is not AttemptFailure.ERROR:
            self.eject(replica.replica_id, now_s)

    def eject(self, replica_id: str, now_s: float) -> None:
        """Eject a replica for a limited time."""
        replica = self.registry.replicas.get(replica_id)
        if replica is not None:
            self.health.eject(replica_id, replica.incarnation, now_s)

    def suspect(self, replica_id: str, now_s: float) -> None:
        """Exclude a replica until it answers a probe or the suspicion times out."""
        replica = self.registry.replicas.get(replica_id)
        if replica is not None:
            self.health.suspect(replica_id, replica.incarnation, now_s)

    def suspect_address(self, address: str, now_s: float) -> list[Replica]:
        """Suspect the replicas registered with an address and return them."""
        suspects = [
            replica
            for replica in self.registry.replicas.values()
            if replica.address == address
        ]
        for replica in suspects:
            self.suspect(replica.replica_id, now_s)
        return suspects
