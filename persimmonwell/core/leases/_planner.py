"""Placement planner: which engine holds which layers, version, adapters and role."""

from collections.abc import Iterable, Mapping

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import LayerRange, LinkCapacity, Upstream, UpstreamRole
from persimmonwell.core.leases._orders import Order, OrderKind, order_id_of

IDLE_MODEL = "idle"
"""Model name under which the host list shows an engine without weights."""
MIN_ENGINES_PER_ROLE = 2
"""Fewest engines of each role in a layer range with separate roles. A single engine
could never be taken out of service for an order."""
SAME_ZONE_TOKENS_PER_S = 1e12
"""Capacity assumed within an availability zone; above that of any link."""


@attrs.frozen
class ModelDemand:
    """Placement that one managed model needs."""

    model: str
    layers: int
    version: str
    tokens_per_s: float
    layer_bytes: int
    """Memory that one layer takes, with its share of the KV cache."""
    adapters: tuple[str, ...] = ()
    prefill_share: float = 0.0
    """Fraction of the engines of a layer range that serve prefill only; 0 for none."""


@attrs.frozen
class AcceleratorKind:
    """Memory and speed of one kind of accelerator."""

    name: str
    memory_bytes: int
    layer_tokens_per_s: float
    """Tokens per second through a single layer."""


@attrs.frozen
class Placement:
    """Current state of one engine."""

    upstream: Upstream
    adapters: tuple[str, ...] | None = None
    """Loaded adapters; None while they are unknown."""


@attrs.frozen
class PlanLimits:
    """Limits on the changes of one plan."""

    max_changes: int = 2
    """Most engines that may be under an order at once."""
    headroom: float = 1.1
    """Throughput relative to the demand that a model must keep when one of its
    engines is reassigned."""


def has_chain(ranges: Iterable[LayerRange], layers: int) -> bool:
    """Return whether ranges joined end to end, without overlap, cover 0..layers."""
    return _chain_end(tuple(ranges), layers) == layers


def _chain_end(ranges: tuple[LayerRange, ...], layers: int) -> int:
    """Return the last layer boundary that ranges joined end to end reach from 0."""
    reached = {0}
    for layer_range in sorted(ranges):
        if layer_range.start in reached and layer_range.stop <= layers:
            reached.add(layer_range.stop)
    return max(reached)


def throughput(upstreams: Iterable[Upstream], layers: int) -> float:
    """Return the tokens per second of the layer with the least throughput."""
    return min(_layer_rates(upstreams, layers), default=0.0)


def _layer_rates(upstreams: Iterable[Upstream], layers: int) -> list[float]:
    rates = [0.0] * layers
    for upstream in upstreams:
        for layer in range(upstream.layers.start, min(upstream.layers.stop, layers)):
            rates[layer] += upstream.tokens_per_s
    return rates


def plan_orders(
    demand: tuple[ModelDemand, ...],
    accelerators: tuple[AcceleratorKind, ...],
    links: tuple[LinkCapacity, ...],
    current: tuple[Placement, ...],
    limits: PlanLimits,
    busy_upstreams: frozenset[str] = frozenset(),
) -> tuple[Order, ...]:
    """Return the next few orders towards the demand; none when it is met.

    Engines in busy_upstreams have an earlier order of unknown effect. They count as
    out of service and get no order.
    An engine under an order counts as out of service, and no order takes the last
    engine chain of a model out of service. The orders of one plan may therefore
    run at the same time. Engines of models without demand stay unchanged.
    """
    builder = _PlanBuilder(demand, accelerators, links, current, limits, busy_upstreams)
    for model in sorted(demand, key=lambda d: d.model):
        builder.complete_coverage(model)
    for model in sorted(demand, key=lambda d: d.model):
        builder.roll_version(model)
        builder.add_throughput(model)
        builder.assign_roles(model)
        builder.load_adapters(model)
    return tuple(builder.orders)


@attrs.define
class _PlanCache:
    """Values derived since the last order was added.

    Without the cache, the cost of a plan grows with the square of the number of
    engines.
    """

    serving_engines: dict[tuple[str, str | None], list[Upstream]] = attrs.field(
        factory=dict
    )
    planned_engines: dict[tuple[str, str | None], list[Upstream]] = attrs.field(
        factory=dict
    )
    served: dict[tuple[str, str | None], bool] = attrs.field(factory=dict)
    rates: dict[str, list[float]] = attrs.field(factory=dict)
    reassignable: dict[str, bool] = attrs.field(factory=dict)


class _PlanBuilder:
    """Builder of the orders of one plan."""

    def __init__(
        self,
        demand: tuple[ModelDemand, ...],
        accelerators: tuple[AcceleratorKind, ...],
        links: tuple[LinkCapacity, ...],
        current: tuple[Placement, ...],
        limits: PlanLimits,
        busy_upstreams: frozenset[str],
    ) -> None:
        self.orders: list[Order] = []
        self._demand = {d.model: d for d in demand}
        self._kinds: Mapping[str, AcceleratorKind] = {k.name: k for k in accelerators}
        self._links = {(x.from_zone, x.to_zone): x.tokens_per_s for x in links}
        self._limits = limits
        self._current = {
            p.upstream.upstream_id: p
            for p in sorted(current, key=lambda p: p.upstream.upstream_id)
            if not p.upstream.leaving
        }
        self._planned = {i: p.upstream for i, p in self._current.items()}
        self._changing = set(busy_upstreams) & set(self._current)
        self._cache = _PlanCache()

    @property
    def _is_full(self) -> bool:
        return len(self._changing) >= self._limits.max_changes

    def _serving_engines(self, model: str, zone: str | None = None) -> list[Upstream]:
        """Return the engines that serve a model while the planned orders run."""
        cached = self._cache.serving_engines.get((model, zone))
        if cached is None:
            upstreams = (
                [p.upstream for p in self._current.values()]
                if zone is None
                else self._serving_engines(model)
            )
            cached = [
                u
                for u in upstreams
                if u.model == model
                and u.upstream_id not in self._changing
                and zone in (None, u.availability_zone)
            ]
            self._cache.serving_engines[model, zone] = cached
        return cached

    def _planned_engines(self, model: str, zone: str | None = None) -> list[Upstream]:
        """Return the engines that hold a model once the planned orders are done."""
        cached = self._cache.planned_engines.get((model, zone))
        if cached is None:
            upstreams = (
                self._planned.values() if zone is None else self._planned_engines(model)
            )
            cached = [
                u
                for u in upstreams
                if u.model == model and zone in (None, u.availability_zone)
            ]
            self._cache.planned_engines[model, zone] = cached
        return cached

    def _is_served(self, model: str, zone: str | None, layers: int) -> bool:
        cached = self._cache.served.get((model, zone))
        if cached is None:
            cached = self._covers_both_phases(
                self._serving_engines(model, zone), layers
            )
            self._cache.served[model, zone] = cached
        return cached

    def _covers_both_phases(self, upstreams: list[Upstream], layers: int) -> bool:
        """Return whether the engines cover all layers for prefill and for decode."""
        return all(
            has_chain((u.layers for u in upstreams if u.role is not other), layers)
            for other in (UpstreamRole.PREFILL, UpstreamRole.DECODE)
        )

    def _can_take_out_of_service(self, upstream: Upstream, *, keep_zone: bool) -> bool:
        """Return whether the model of this engine stays served without it.

        With keep_zone, a model that is fully served in the zone must stay so there.
        """
        if upstream.upstream_id in self._changing:
            return False
        demand = self._demand.get(upstream.model)
        if demand is None:
            return upstream.model == IDLE_MODEL
        if not self._is_served_without(upstream, None, demand.layers):
            return False
        zone = upstream.availability_zone
        return not (
            keep_zone
            and self._is_served(upstream.model, zone, demand.layers)
            and not self._is_served_without(upstream, zone, demand.layers)
        )

    def _is_served_without(
        self, upstream: Upstream, zone: str | None, layers: int
    ) -> bool:
        rest = self._serving_engines(upstream.model, zone)
        rest = [u for u in rest if u.upstream_id != upstream.upstream_id]
        return self._covers_both_phases(rest, layers)

    def _can_reassign(self, upstream: Upstream) -> bool:
        """Return whether the engine can be loaded with another model."""
        cached = self._cache.reassignable.get(upstream.upstream_id)
        if cached is None:
            cached = self._is_surplus(upstream)
            self._cache.reassignable[upstream.upstream_id] = cached
        return cached

    def _is_surplus(self, upstream: Upstream) -> bool:
        if upstream.upstream_id in self._changing:
            return False
        if upstream.model == IDLE_MODEL:
            return True
        demand = self._demand.get(upstream.model)
        if demand is None:
            return False
        rates = self._cache.rates.get(upstream.model)
        if rates is None:
            rates = _layer_rates(self._serving_engines(upstream.model), demand.layers)
            self._cache.rates[upstream.model] = rates
        needed = demand.tokens_per_s * self._limits.headroom
        held_layers = _layers_of(upstream)
        rest = (
            rate - upstream.tokens_per_s if layer in held_layers else rate
            for layer, rate in enumerate(rates)
        )
        return min(rest) >= needed and self._can_take_out_of_service(
            upstream, keep_zone=True
        )

    def _add_order(
        self,
        kind: OrderKind,
        model: str,
        planned: Upstream,
        states: tuple[JsonObject, JsonObject],
    ) -> None:
        expected, target = states
        upstream_id = planned.upstream_id
        self._cache = _PlanCache()
        self._planned[upstream_id] = planned
        self._changing.add(upstream_id)
        self.orders.append(
            Order(
                order_id=order_id_of(kind, upstream_id, expected, target),
                kind=kind,
                model=model,
                upstream_id=upstream_id,
                address=planned.address,
                expected=expected,
                target=target,
                checks_fencing=planned.checks_fencing,
            )
        )

    def _add_load_order(
        self, demand: ModelDemand, upstream: Upstream, layer_range: LayerRange
    ) -> None:
        kind = self._kinds[upstream.accelerator]
        planned = attrs.evolve(
            upstream,
            model=demand.model,
            version=demand.version,
            layers=layer_range,
            role=UpstreamRole.ANY,
            tokens_per_s=kind.layer_tokens_per_s / layer_range.size,
        )
        states = (_engine_state(upstream), _engine_state(planned))
        self._add_order(OrderKind.LOAD_MODEL, demand.model, planned, states)

    def _layer_capacity(self, upstream: Upstream, demand: ModelDemand) -> int:
        """Return how many layers of a model fit into the engine's memory."""
        kind = self._kinds.get(upstream.accelerator)
        if kind is None or demand.layer_bytes <= 0:
            return 0
        return kind.memory_bytes // demand.layer_bytes

    def _spare_engines(self, demand: ModelDemand, zone: str | None) -> list[Upstream]:
        """Return engines that can be loaded with the model, the best first.

        Idle engines precede those that serve another model. Among equals, engines
        with faster links to the model's zones come first, then those with more memory.
        """
        model_zones = {u.availability_zone for u in self._planned_engines(demand.model)}

        def preference(upstream: Upstream) -> tuple[bool, float, int, str]:
            link_capacity = sum(
                SAME_ZONE_TOKENS_PER_S
                if model_zone == upstream.availability_zone
                else self._links.get((upstream.availability_zone, model_zone), 0.0)
                for model_zone in model_zones
            )
            size = self._layer_capacity(upstream, demand)
            return (
                upstream.model != IDLE_MODEL,
                -link_capacity,
                -size,
                upstream.upstream_id,
            )

        candidates = [
            u
            for u in self._planned.values()
            if u.model != demand.model
            and zone in (None, u.availability_zone)
            and self._layer_capacity(u, demand) > 0
            and self._can_reassign(u)
            and (zone is None or self._zone_can_spare(u))
        ]
        return sorted(candidates, key=preference)

    def _zone_can_spare(self, upstream: Upstream) -> bool:
        """Return whether the engine's model stays served in its zone without it.

        Without this check, two models that are both incomplete in a zone would keep
        taking each other's engines there.
        """
        demand = self._demand.get(upstream.model)
        if demand is None:
            return True
        zone = upstream.availability_zone
        return self._is_served_without(upstream, zone, demand.layers)

    def complete_coverage(self, demand: ModelDemand) -> None:
        """Complete the model in the fleet, then in each zone with enough engines."""
        zones = sorted({u.availability_zone for u in self._planned.values()})
        for zone in (None, *zones):
            if self._is_full:
                return
            if not self._covers_both_phases(
                self._planned_engines(demand.model, zone), demand.layers
            ):
                self._complete_chain(demand, zone)

    def _complete_chain(self, demand: ModelDemand, zone: str | None) -> None:
        """Extend the longest chain of layers to the last layer with spare engines.

        No order is added unless the spare engines can complete the model.
        """
        planned_engines = self._planned_engines(demand.model, zone)
        held_ranges = tuple(
            u.layers for u in planned_engines if u.role is UpstreamRole.ANY
        )
        loads: list[tuple[Upstream, LayerRange]] = []
        for spare in self._spare_engines(demand, zone):
            ranges = (*held_ranges, *(layer_range for _, layer_range in loads))
            start = _chain_end(ranges, demand.layers)
            if start == demand.layers:
                break
            next_starts = [r.start for r in held_ranges if r.start > start]
            size = self._layer_capacity(spare, demand)
            stop = min([start + size, demand.layers, *next_starts])
            loads.append((spare, LayerRange(start, stop)))
        ranges = (*held_ranges, *(layer_range for _, layer_range in loads))
        if not has_chain(ranges, demand.layers):
            return
        for spare, layer_range in loads:
            # An added load may leave the next engine's model without surplus engines.
            if not self._is_full and self._can_reassign(spare):
                self._add_load_order(demand, spare, layer_range)

    def roll_version(self, demand: ModelDemand) -> None:
        """Load the wanted version on engines that can be out of service meanwhile."""
        outdated = [
            u
            for u in self._serving_engines(demand.model)
            if u.version != demand.version
        ]
        for keep_zone in (True, False):
            for upstream in outdated:
                if self._is_full:
                    return
                if not self._can_take_out_of_service(upstream, keep_zone=keep_zone):
                    continue
                planned = attrs.evolve(upstream, version=demand.version)
                states: tuple[JsonObject, JsonObject] = (
                    {"version": upstream.version},
                    {"version": demand.version},
                )
                self._add_order(OrderKind.LOAD_VERSION, demand.model, planned, states)

    def add_throughput(self, demand: ModelDemand) -> None:
        """Load more copies of the layers with the least throughput up to the demand."""
        while not self._is_full:
            planned_engines = self._planned_engines(demand.model)
            rates = _layer_rates(planned_engines, demand.layers)
            lowest_rate = min(rates)
            if lowest_rate <= 0.0 or lowest_rate >= demand.tokens_per_s:
                return
            layer = rates.index(lowest_rate)
            layer_ranges = {u.layers for u in planned_engines if layer in _layers_of(u)}
            load = self._first_fit(demand, layer_ranges)
            if load is None:
                return
            self._add_load_order(demand, *load)

    def _first_fit(
        self, demand: ModelDemand, layer_ranges: set[LayerRange]
    ) -> tuple[Upstream, LayerRange] | None:
        by_size = sorted(
            layer_ranges, key=lambda layer_range: (layer_range.size, layer_range.start)
        )
        for spare in self._spare_engines(demand, None):
            for layer_range in by_size:
                if layer_range.size <= self._layer_capacity(spare, demand):
                    return spare, layer_range
        return None

    def assign_roles(self, demand: ModelDemand) -> None:
        """Divide the engines of each layer range into prefill and decode engines."""
        if demand.prefill_share <= 0.0:
            return
        groups: dict[LayerRange, list[Upstream]] = {}
        for upstream in self._planned_engines(demand.model):
            groups.setdefault(upstream.layers, []).append(upstream)
        for _, group in sorted(groups.items()):
            if len(group) >= 2 * MIN_ENGINES_PER_ROLE:
                self._assign_group_roles(demand, group)

    def _assign_group_roles(self, demand: ModelDemand, group: list[Upstream]) -> None:
        prefill_count = round(demand.prefill_share * len(group))
        prefill_count = max(prefill_count, MIN_ENGINES_PER_ROLE)
        prefill_count = min(prefill_count, len(group) - MIN_ENGINES_PER_ROLE)
        # Engines that already serve prefill come first, so that few roles change.
        ranked = sorted(
            group, key=lambda u: (u.role is not UpstreamRole.PREFILL, u.upstream_id)
        )
        for number, upstream in enumerate(ranked):
            prefill = number < prefill_count
            role = UpstreamRole.PREFILL if prefill else UpstreamRole.DECODE
            if upstream.role is role or self._is_full:
                continue
            if self._can_take_out_of_service(upstream, keep_zone=False):
                planned = attrs.evolve(upstream, role=role)
                states: tuple[JsonObject, JsonObject] = (
                    {"role": upstream.role.value},
                    {"role": role.value},
                )
                self._add_order(OrderKind.CHANGE_ROLE, demand.model, planned, states)

    def load_adapters(self, demand: ModelDemand) -> None:
        """Load missing adapters on engines whose loaded adapters are known."""
        for upstream in self._serving_engines(demand.model):
            loaded = self._current[upstream.upstream_id].adapters
            if loaded is None or self._is_full:
                continue
            missing = [name for name in demand.adapters if name not in loaded]
            if missing and self._can_take_out_of_service(upstream, keep_zone=False):
                states: tuple[JsonObject, JsonObject] = (
                    {"adapters": list(loaded)},
                    {"adapters": [*loaded, *missing]},
                )
                self._add_order(OrderKind.LOAD_ADAPTER, demand.model, upstream, states)


def _layers_of(upstream: Upstream) -> range:
    return range(upstream.layers.start, upstream.layers.stop)


def _engine_state(upstream: Upstream) -> JsonObject:
    return {
        "model": upstream.model,
        "version": upstream.version,
        "layers": [upstream.layers.start, upstream.layers.stop],
        "role": upstream.role.value,
    }
