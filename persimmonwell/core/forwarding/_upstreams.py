"""Selection of upstreams by registry, load and health, with load reservations."""

import random
from collections import defaultdict
from collections.abc import Container

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._events import AttemptFailure
from persimmonwell.core.forwarding._health import ReplicaHealth
from persimmonwell.core.forwarding._kept_room import SeenPriorities, kept_at_home
from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import GenerationSize, Replica, RouteKind
from persimmonwell.core.forwarding._path_candidates import (
    excluded_replicas,
    spare_share,
)
from persimmonwell.core.forwarding._paths import (
    DEFAULT_SIZE,
    PipelinePath,
    Stage,
    StageTable,
    search_path,
)
from persimmonwell.core.forwarding._plain_choice import (
    PlainView,
    least_loaded,
    plain_loads,
    replicas_with_room,
    update_shares,
)
from persimmonwell.core.forwarding._rate_limits import ReplicaRateLimits
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._replica_index import MAX_KEPT_TABLES, ReplicaIndex
from persimmonwell.core.forwarding._room_shortages import RoomShortages
from persimmonwell.core.forwarding._shared_capacity import cost_factor
from persimmonwell.core.forwarding._slot_shares import SlotShares
from persimmonwell.core.forwarding._statements import LeavingReplicas, ReplicaRefusals
from persimmonwell.core.forwarding._zone_choice import (
    CROSS_ZONE_PENALTY_MS,
    SHORTAGE_KEPT_SHARE,
    SPARE_AGE_S,
    ZoneCrossing,
    ZonePath,
    ZoneSpeeds,
    choose_zone,
    kept_share,
    may_be_slow,
)


class UpstreamPool:
    """Registry, loads and health of all replicas, as one host knows them."""

    def __init__(self, *, availability_zone: str, rng: random.Random) -> None:
        self._zone = availability_zone
        self._random = rng
        self.zone_speeds = ZoneSpeeds()
        self.registry = ReplicaRegistry()
        self.loads = LoadTable()
        self.health = ReplicaHealth()
        self.leaving = LeavingReplicas()
        self.refusals = ReplicaRefusals()
        self.rate_limits = ReplicaRateLimits(
            availability_zone=availability_zone, rng=rng
        )
        self._slot_shares: dict[str, SlotShares] = defaultdict(SlotShares)
        """Shares by service without a pipeline."""
        self._spare_shares: dict[tuple[str, str], tuple[float, float]] = {}
        """Time and free share of the memory by service and zone."""
        self._shortages = RoomShortages()
        self._priorities = SeenPriorities()
        self._index = ReplicaIndex(self.registry, self.leaving)

    def retain_services(self, services: Container[str]) -> None:
        """Discard what is kept of services that the configuration does not name."""
        self._shortages.retain(services)

    def available(self, service: str) -> tuple[Replica, ...]:
        """Return the registered replicas of a service that do not leave."""
        return self._index.available(service)

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

    def _record_joins(self, now_s: float) -> None:
        for replica_id in self._index.pop_joined():
            self.loads.shared.record_join(replica_id, now_s)
            # It lost its layers, and with them the requests in its memory.
            self.loads.full_stages.record(replica_id, 0, now_s)

    # Selection

    def choose_path(self, active: ActiveRequest, now_s: float) -> PipelinePath | None:
        """Return a path in the host's zone, or in another if it is slow or full there.

        _zone_choice tells which one.
        """
        is_preceded = self._shortages.precedes(
            active.service.name, active.priority_class[0], now_s
        )
        kept = SHORTAGE_KEPT_SHARE if is_preceded else 0.0
        has_more_urgent = self._priorities.record(
            active.service.name, active.priority_class[0], now_s
        )
        if active.is_late_retry or has_more_urgent:
            spare = self._spare_share(active, self._zone, now_s)
            for_others = kept_at_home(active, spare, has_more_urgent=has_more_urgent)
            is_preceded |= active.is_late_retry and for_others > 0.0
            kept = max(kept, for_others)
        local_path = self.find_path_in_zone(active, self._zone, now_s, kept_share=kept)
        active.home_step_ms = local_path.step_ms if local_path is not None else None
        gap_s = active.route.gap_objective_s
        if local_path is not None and not may_be_slow(local_path.step_ms, gap_s):
            return local_path
        chosen = choose_zone(
            local_path,
            self._spare_share(active, self._zone, now_s),
            self._paths_elsewhere(active, now_s, is_preceded=is_preceded),
            gap_objective_s=gap_s,
            draw=self._random.random,
        )
        path = local_path if chosen is None else chosen.path
        # One that may use only the upstreams it tried says nothing about the others.
        if path is None and active.may_use_another_upstream:
            self._shortages.record(active.service.name, active.priority_class[0], now_s)
        return path

    def crossing(self, active: ActiveRequest) -> ZoneCrossing | None:
        """Return the zones of the current attempt, None if they are the same."""
        replica = self.registry.replicas.get(active.replica_id or "")
        if replica is None or replica.availability_zone == self._zone:
            return None
        path = active.path
        return ZoneCrossing(
            source=self._zone,
            target=replica.availability_zone,
            home_step_ms=active.home_step_ms if path is not None else None,
            step_ms=path.step_ms if path is not None else None,
        )

    def _paths_elsewhere(
        self, active: ActiveRequest, now_s: float, *, is_preceded: bool
    ) -> list[ZonePath]:
        """Return the fastest path of each other zone that leaves room to its own."""
        found = []
        priority, reports = active.priority_class[0], self.loads.zone_reports
        for zone in sorted(self._zones(active.service.name)):
            if zone == self._zone:
                continue
            age_s = reports.mean_age_s(zone, now_s)
            kept = kept_share(priority, age_s, is_preceded=is_preceded)
            path = self.find_path_in_zone(active, zone, now_s, kept_share=kept)
            if path is None:
                continue
            factor = self.zone_speeds.factor(zone, self._zone)
            found.append(
                ZonePath(
                    zone,
                    attrs.evolve(path, step_ms=path.step_ms + CROSS_ZONE_PENALTY_MS),
                    step_ms=path.step_ms * factor + CROSS_ZONE_PENALTY_MS,
                    spare_share=self._spare_share(active, zone, now_s) - kept,
                )
            )
        return found

    def _spare_share(self, active: ActiveRequest, zone: str, now_s: float) -> float:
        """Return the share of a zone's memory that is free, at most SPARE_AGE_S old."""
        service, engine = active.service.name, active.service.engine
        assert engine is not None
        known = self._spare_shares.get((service, zone))
        if known is not None and 0.0 <= now_s - known[0] < SPARE_AGE_S:
            return known[1]
        table = self._index.stage_table(service, zone, frozenset(), engine)
        share = spare_share(table, self.loads, now_s)
        if len(self._spare_shares) >= MAX_KEPT_TABLES:
            self._spare_shares.clear()
        self._spare_shares[service, zone] = (now_s, share)
        return share

    def find_path_in_zone(
        self,
        active: ActiveRequest,
        zone: str,
        now_s: float,
        first_stage: Stage | None = None,
        *,
        kept_share: float = 0.0,
    ) -> PipelinePath | None:
        """Return the fastest path of a zone with memory for the request, or None.

        A given first_stage is kept. kept_share of the memory is left free.
        """
        engine = active.service.engine
        assert engine is not None
        self._record_joins(now_s)
        service = active.service.name
        excluded = excluded_replicas(
            self._index.in_zone(service, zone),
            active,
            first_stage,
            health=self.health,
            refusals=self.refusals,
            rate_limits=self.rate_limits,
            now_s=now_s,
        )
        table = self._index.stage_table(service, zone, excluded, engine)
        if kept_share:
            table = table.with_kept_share(kept_share)
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
            return slowness * cost_factor(spread, self._random.random)

        return search_path(
            table,
            size,
            loads=self.loads,
            now_s=now_s,
            first_stage=first_stage,
            slowness=factor,
        )

    def _zones(self, service: str) -> set[str]:
        return self._index.zones(service)

    def choose_replica(self, active: ActiveRequest, now_s: float) -> Replica | None:
        """Return the least loaded replica of a service without a pipeline, or None.

        Replicas have few slots, so requests queue at the host instead of at a full
        replica. One that was tried before or is ejected is a last resort.
        """
        self._record_joins(now_s)
        shares = self.slot_shares(active.service.name)
        is_unsafe = active.route.kind is RouteKind.UNSAFE
        view = PlainView(
            zone=self._zone,
            loads=self.loads,
            health=self.health,
            refusals=self.refusals,
            rate_limits=self.rate_limits,
            draw=self._random.random,
        )
        rows = plain_loads(self.available(active.service.name), view, now_s)
        if is_unsafe:
            shares.record_unsafe(now_s)
        update_shares(shares, rows, view, now_s)
        if not shares.may_send(is_unsafe=is_unsafe, now_s=now_s):
            return None
        available = replicas_with_room(rows, active, shares, view, now_s)
        if len(available) <= 1:
            return available[0].replica if available else None
        return least_loaded(available, view, now_s)

    def slot_shares(self, service: str) -> SlotShares:
        """Return the sends that this host may make to a service without a pipeline."""
        return self._slot_shares[service]

    # Reservations

    def reserve(self, active: ActiveRequest) -> None:
        """Add a request's load to the replicas that it is sent to."""
        size = active.request.size or DEFAULT_SIZE
        if active.path is None:
            assert active.replica_id is not None
            active.reserved = {active.replica_id: 0}
            self.slot_shares(active.service.name).record_send(
                active.replica_id, is_unsafe=active.route.kind is RouteKind.UNSAFE
            )
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
            if active.path is None:
                self.slot_shares(active.service.name).record_end(
                    replica_id, is_unsafe=active.route.kind is RouteKind.UNSAFE
                )
        active.reserved = {}

    # Outcomes

    def record_success(self, active: ActiveRequest, now_s: float) -> None:
        """Record a complete answer for the replicas that a request passed through."""
        if active.path is None:
            used = [active.replica_id] if active.replica_id is not None else []
            latency_s = now_s - active.sent_s
            self.slot_shares(active.service.name).record_answer(latency_s, now_s)
        else:
            used = [stage.replica_id for stage in active.path.stages]
            latency_s = 0.0
            self._record_speed(active, active.path, now_s)
        for replica_id in used:
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                self.health.record_success(replica_id, replica.incarnation, latency_s)
                self.refusals.record_answer(replica, now_s)

    def _record_speed(
        self, active: ActiveRequest, path: PipelinePath, now_s: float
    ) -> None:
        """Record how long the answer took beside what its path promised."""
        replica = self.registry.replicas.get(path.first_stage.replica_id)
        engine = active.service.engine
        if replica is None or engine is None:
            return
        size = active.request.size or DEFAULT_SIZE
        output = size.expected_output_tokens or engine.typical_output_tokens
        predicted_s = min(size.max_output_tokens, output) * path.step_ms / 1000
        zone = replica.availability_zone
        self.zone_speeds.record(zone, predicted_s, now_s - active.sent_s)

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
                elif failure is AttemptFailure.NOT_RUN:
                    self.record_refusal_at(fault_address, now_s)
                else:
                    self.suspect_address(fault_address, now_s)
            return
        if active.replica_id is None:
            return
        replica = self.registry.replicas.get(active.replica_id)
        if replica is None:
            return
        if failure is AttemptFailure.NOT_RUN:
            self.refusals.record_refusal(replica, now_s)
            self.slot_shares(replica.service).record_refusal(now_s)
            return
        self.health.record_error(replica.replica_id, replica.incarnation)
        if failure is AttemptFailure.NO_CONNECTION:
            self.suspect(replica.replica_id, now_s)
        elif failure is not AttemptFailure.ERROR:
            self.eject(replica.replica_id, now_s)

    def record_refusal_at(self, address: str, now_s: float) -> None:
        """Record that a stage at an address took no request, often for want of memory.

        It is excluded until a probe shows what it has left.
        """
        self.suspect_address(address, now_s)
        self.loads.shared.record_refusal(now_s)

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
