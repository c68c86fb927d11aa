"""Selection of upstreams by registry, load and health, with load reservations."""

import math
import random
from collections import defaultdict
from collections.abc import Hashable

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._events import AttemptFailure
from persimmonwell.core.forwarding._health import ReplicaHealth
from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import (
    EngineSpec,
    GenerationSize,
    Replica,
    RouteKind,
)
from persimmonwell.core.forwarding._paths import (
    DEFAULT_SIZE,
    PipelinePath,
    Stage,
    StageTable,
    search_path,
)
from persimmonwell.core.forwarding._rate_limits import ReplicaRateLimits
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._room_shortages import RoomShortages
from persimmonwell.core.forwarding._slot_shares import (
    OTHER_ZONE_AGE_S,
    ServiceLoad,
    SlotShares,
)
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


@attrs.define(eq=False)
class _PlainLoad:
    """Requests in flight at a replica of a service without a pipeline."""

    replica: Replica
    own: int
    others: int
    is_ejected: bool


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
        self,
        service: str,
        zone: str,
        excluded: frozenset[str],
        spec: EngineSpec,
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
        """Return a path in the host's zone, or in another if it is slow or full there.

        _zone_choice tells which one.
        """
        is_preceded = self._shortages.precedes(
            active.service.name, active.priority_class[0], now_s
        )
        kept = SHORTAGE_KEPT_SHARE if is_preceded else 0.0
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
        table = self._stage_table(service, zone, frozenset(), engine)
        expected = self.loads.shared.expected
        capacity = free = 0.0
        for replica, tokens in zip(table.replicas, table.capacities, strict=True):
            used = self.loads.used_layer_tokens(replica.replica_id, now_s)
            more = expected.get(replica.replica_id)
            capacity += tokens
            free += max(0.0, tokens - used - (more.layer_tokens if more else 0.0))
        share = free / capacity if capacity > 0.0 else 0.0
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
        excluded = self._excluded(active, zone, now_s, first_stage)
        table = self._stage_table(active.service.name, zone, excluded, engine)
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
        by_zone = self._current_index().by_zone
        return {zone for name, zone in by_zone if name == service}

    def choose_replica(self, active: ActiveRequest, now_s: float) -> Replica | None:
        """Return the least loaded replica of a service without a pipeline, or None.

        Replicas have few slots, so requests queue at the host instead of at a full
        replica. One that was tried before or is ejected is a last resort.
        """
        self._record_joins(now_s)
        shares = self.slot_shares(active.service.name)
        is_unsafe = active.route.kind is RouteKind.UNSAFE
        rows = self._plain_loads(active.service.name, now_s)
        if is_unsafe:
            shares.record_unsafe(now_s)
        self._update_shares(shares, rows, now_s)
        if not shares.may_send(is_unsafe=is_unsafe, now_s=now_s):
            return None
        available = self._replicas_with_room(
            rows, active, self._known_share(shares, now_s), now_s
        )
        if len(available) <= 1:
            return available[0].replica if available else None
        return self._least_loaded(available, now_s)

    def _plain_loads(self, service: str, now_s: float) -> list[_PlainLoad]:
        """Return the loads of the replicas that take requests of a service."""
        local, totals = self.loads.local, self.loads
        rows = []
        for replica in self.available(service):
            replica_id = replica.replica_id
            mine = local.get(replica_id)
            own = mine.requests if mine is not None else 0
            others = totals.requests(replica_id) - own
            is_ejected = self.health.is_ejected(replica_id, now_s)
            rows.append(_PlainLoad(replica, own, others, is_ejected))
        return rows

    def _replicas_with_room(
        self,
        rows: list[_PlainLoad],
        active: ActiveRequest,
        known_share: float,
        now_s: float,
    ) -> list[_PlainLoad]:
        """Return the replicas with a slot for a request, but for the last resorts."""
        shares = self.slot_shares(active.service.name)
        is_unsafe = active.route.kind is RouteKind.UNSAFE
        allowed = [
            row
            for row in rows
            if active.may_send_to(row.replica.replica_id)
            and not self.refusals.hold_off_s(row.replica, now_s)
            and self.rate_limits.may_send(row.replica, now_s)
        ]
        # While the healthy ones are full, a request waits: a dead replica has no load.
        allowed = [row for row in allowed if not row.is_ejected] or allowed
        available = []
        for row in allowed:
            slots = row.replica.slots
            if not is_unsafe:
                slots -= shares.kept_slots(row.replica.replica_id, now_s)
            # One with a single slot serves both kinds in the order of the queue.
            if row.own + known_share * row.others < max(1, slots):
                available.append(row)
        if active.tried_replica_ids:
            available = [
                row
                for row in available
                if row.replica.replica_id not in active.tried_replica_ids
            ] or available
        # A replica that refuses may take a request; an ejected one may be dead.
        return [
            row for row in available if not self.refusals.is_paused(row.replica, now_s)
        ] or available

    def _least_loaded(self, available: list[_PlainLoad], now_s: float) -> Replica:
        latencies_s = [
            self.health.mean_latency_s(row.replica.replica_id) for row in available
        ]
        known_s = [latency_s for latency_s in latencies_s if latency_s is not None]
        reference_s = min(known_s, default=0.0)

        self.loads.update_expected(now_s)
        shared = self.loads.shared
        spread = shared.cost_spread(now_s)
        mean_load = sum(row.own + row.others for row in available) / len(available)
        mean_known_s = sum(known_s) / len(known_s) if known_s else None
        valid_share = shared.valid_share(mean_known_s, now_s)
        mean_others = sum(row.others for row in available) / len(available)

        def score(row: _PlainLoad) -> tuple[float, bool, float]:
            replica_id = row.replica.replica_id
            load = row.own + row.others + 1.0
            load += (1.0 - valid_share) * (mean_others - row.others)
            if (more := shared.expected.get(replica_id)) is not None:
                load += more.requests
            load += mean_load * shared.ramp_share(replica_id, now_s)
            load *= self._draw_factor(spread)
            factor = self.health.load_penalty(replica_id, reference_s)
            is_remote = row.replica.availability_zone != self._zone
            return (load * factor, is_remote, self._random.random())

        return min(available, key=score).replica

    def slot_shares(self, service: str) -> SlotShares:
        """Return the sends that this host may make to a service without a pipeline."""
        return self._slot_shares[service]

    def _update_shares(
        self, shares: SlotShares, rows: list[_PlainLoad], now_s: float
    ) -> None:
        """Save up sends at the rate of the replicas that take requests."""
        slots = replicas = own = others = 0
        for row in rows:
            if row.is_ejected:
                continue
            replicas += 1
            slots += max(1, row.replica.slots)
            own += row.own
            others += row.others
        load = ServiceLoad(
            slots=slots,
            replicas=replicas,
            own=own,
            others=others,
            hosts=self.loads.host_count,
            report_age_s=self.loads.shared.report_age_s(now_s) or OTHER_ZONE_AGE_S,
        )
        shares.update(load, now_s)

    def _known_share(self, shares: SlotShares, now_s: float) -> float:
        """Return the part of the reported requests that is still in flight."""
        if shares.answer_s is None:
            return 1.0
        if self.loads.shared.report_age_s(now_s) is None:
            return math.exp(-OTHER_ZONE_AGE_S / shares.answer_s)
        return self.loads.shared.valid_share(shares.answer_s, now_s)

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
