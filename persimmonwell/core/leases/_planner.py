"""Plan which engine holds which layers, version, adapters and role."""

from collections.abc import Iterable, Mapping

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import LayerRange, LinkCapacity, Upstream, UpstreamRole
from persimmonwell.core.leases._orders import Order, OrderKind, order_id_of

IDLE_MODEL = "idle"
"""Model name under which the host list shows an engine without weights."""
MIN_ROLE_ENGINES = 2
"""Engines of each role in a split layer range; with one, no order could ever
take it out of service."""
OWN_ZONE_TOKENS_PER_S = 1e12
"""Capacity assumed within an availability zone, above that of any link."""


@attrs.frozen
class ModelDemand:
    """State what one managed model needs."""

    model: str
    layers: int
    version: str
    tokens_per_s: float
    layer_bytes: int
    """Memory that one layer takes with its share of the KV cache."""
    adapters: tuple[str, ...] = ()
    prefill_share: float = 0.0
    """Part of the engines of a layer range that serve prefill only; 0 for none."""


@attrs.frozen
class AcceleratorKind:
    """Describe one kind of accelerator."""

    name: str
    memory_bytes: int
    layer_tokens_per_s: float
    """Tokens per second through a single layer."""


@attrs.frozen
class Placement:
    """Hold one engine as it is now."""

    upstream: Upstream
    adapters: tuple[str, ...] | None = None
    """Loaded adapters; None while they are unknown."""


@attrs.frozen
class PlanLimits:
    """Bound how much one plan moves."""

    max_changes: int = 2
    """Orders open at once per plan."""
    headroom: float = 1.1
    """Throughput that a model keeps, relative to its demand, before it gives an
    engine away."""


def has_chain(ranges: Iterable[LayerRange], layers: int) -> bool:
    """Return whether ranges can be chained to cover 0..layers without overlap."""
    return _reach(tuple(ranges), layers) == layers


def _reach(ranges: tuple[LayerRange, ...], layers: int) -> int:
    """Return the last boundary that chained ranges reach from 0."""
    reached = {0}
    for part in sorted(ranges):
        if part.start in reached and part.stop <= layers:
            reached.add(part.stop)
    return max(reached)


def throughput(upstreams: Iterable[Upstream], layers: int) -> float:
    """Return the tokens per second that the scarcest layer allows."""
    return min(_layer_rates(upstreams, layers), default=0.0)


def _layer_rates(upstreams: Iterable[Upstream], layers: int) -> list[float]:
    rates = [0.0] * layers
    for upstream in upstreams:
        for layer in range(upstream.layers.start, min(upstream.layers.stop, layers)):
            rates[layer] += upstream.tokens_per_s
    return rates


def plan(
    demand: tuple[ModelDemand, ...],
    accelerators: tuple[AcceleratorKind, ...],
    links: tuple[LinkCapacity, ...],
    current: tuple[Placement, ...],
    limits: PlanLimits,
    busy: frozenset[str] = frozenset(),
) -> tuple[Order, ...]:
    """Return the next few orders towards the demand; none when it is met.

    Engines that are busy with an earlier order of unknown effect count as out of
    service and get no order.
    An engine under an order counts as out of service, and no order is given
    that would take the last chain of a model, so the orders of one plan may be
    carried out at the same time. Models without demand are left alone.
    """
    draft = _Draft(demand, accelerators, links, current, limits, busy)
    for model in sorted(demand, key=lambda d: d.model):
        draft.close_gaps(model)
    for model in sorted(demand, key=lambda d: d.model):
        draft.roll_version(model)
        draft.add_throughput(model)
        draft.set_roles(model)
        draft.load_adapters(model)
    return tuple(draft.orders)


@attrs.define
class _Memo:
    """Keep what was derived since the last order; without it the cost of a plan
    grows with the square of the number of engines."""

    serving: dict[tuple[str, str | None], list[Upstream]] = attrs.field(factory=dict)
    holding: dict[tuple[str, str | None], list[Upstream]] = attrs.field(factory=dict)
    chained: dict[tuple[str, str | None], bool] = attrs.field(factory=dict)
    rates: dict[str, list[float]] = attrs.field(factory=dict)
    movable: dict[str, bool] = attrs.field(factory=dict)


class _Draft:
    """Hold one plan while it is made."""

    def __init__(
        self,
        demand: tuple[ModelDemand, ...],
        accelerators: tuple[AcceleratorKind, ...],
        links: tuple[LinkCapacity, ...],
        current: tuple[Placement, ...],
        limits: PlanLimits,
        busy: frozenset[str],
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
        self._changing = set(busy) & set(self._current)
        self._memo = _Memo()

    @property
    def _full(self) -> bool:
        return len(self._changing) >= self._limits.max_changes

    def _serving(self, model: str, zone: str | None = None) -> list[Upstream]:
        """Return the engines that serve a model while the orders run."""
        known = self._memo.serving.get((model, zone))
        if known is None:
            upstreams = (
                [p.upstream for p in self._current.values()]
                if zone is None
                else self._serving(model)
            )
            known = [
                u
                for u in upstreams
                if u.model == model
                and u.upstream_id not in self._changing
                and zone in (None, u.availability_zone)
            ]
            self._memo.serving[model, zone] = known
        return known

    def _holding(self, model: str, zone: str | None = None) -> list[Upstream]:
        """Return the engines that hold a model once the orders are done."""
        known = self._memo.holding.get((model, zone))
        if known is None:
            upstreams = self._planned.values() if zone is None else self._holding(model)
            known = [
                u
                for u in upstreams
                if u.model == model and zone in (None, u.availability_zone)
            ]
            self._memo.holding[model, zone] = known
        return known

    def _serves(self, model: str, zone: str | None, layers: int) -> bool:
        known = self._memo.chained.get((model, zone))
        if known is None:
            known = self._chained(self._serving(model, zone), layers)
            self._memo.chained[model, zone] = known
        return known

    def _chained(self, upstreams: list[Upstream], layers: int) -> bool:
        """Return whether both phases of generation are served."""
        return all(
            has_chain((u.layers for u in upstreams if u.role is not other), layers)
            for other in (UpstreamRole.PREFILL, UpstreamRole.DECODE)
        )

    def _may_pause(self, upstream: Upstream, *, keep_zone: bool) -> bool:
        """Return whether the rest still serves the model of this engine."""
        if upstream.upstream_id in self._changing:
            return False
        demand = self._demand.get(upstream.model)
        if demand is None:
            return upstream.model == IDLE_MODEL
        if not self._rest_is_chained(upstream, None, demand.layers):
            return False
        zone = upstream.availability_zone
        return not (
            keep_zone
            and self._serves(upstream.model, zone, demand.layers)
            and not self._rest_is_chained(upstream, zone, demand.layers)
        )

    def _rest_is_chained(
        self, upstream: Upstream, zone: str | None, layers: int
    ) -> bool:
        rest = self._serving(upstream.model, zone)
        rest = [u for u in rest if u.upstream_id != upstream.upstream_id]
        return self._chained(rest, layers)

    def _may_move(self, upstream: Upstream) -> bool:
        """Return whether the engine can serve another model instead."""
        known = self._memo.movable.get(upstream.upstream_id)
        if known is None:
            known = self._is_surplus(upstream)
            self._memo.movable[upstream.upstream_id] = known
        return known

    def _is_surplus(self, upstream: Upstream) -> bool:
        if upstream.upstream_id in self._changing:
            return False
        if upstream.model == IDLE_MODEL:
            return True
        demand = self._demand.get(upstream.model)
        if demand is None:
            return False
        rates = self._memo.rates.get(upstream.model)
        if rates is None:
            rates = _layer_rates(self._serving(upstream.model), demand.layers)
            self._memo.rates[upstream.model] = rates
        needed = demand.tokens_per_s * self._limits.headroom
        held = _layers_of(upstream)
        rest = (
            rate - upstream.tokens_per_s if layer in held else rate
            for layer, rate in enumerate(rates)
        )
        return min(rest) >= needed and self._may_pause(upstream, keep_zone=True)

    def _give(
        self,
        kind: OrderKind,
        model: str,
        planned: Upstream,
        states: tuple[JsonObject, JsonObject],
    ) -> None:
        expected, target = states
        upstream_id = planned.upstream_id
        self._memo = _Memo()
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

    def _load(self, demand: ModelDemand, upstream: Upstream, part: LayerRange) -> None:
        kind = self._kinds[upstream.accelerator]
        planned = attrs.evolve(
            upstream,
            model=demand.model,
            version=demand.version,
            layers=part,
            role=UpstreamRole.ANY,
            tokens_per_s=kind.layer_tokens_per_s / part.size,
        )
        states = (_weights_of(upstream), _weights_of(planned))
        self._give(OrderKind.LOAD_MODEL, demand.model, planned, states)

    def _capacity(self, upstream: Upstream, demand: ModelDemand) -> int:
        """Return how many layers of a model fit into the engine's memory."""
        kind = self._kinds.get(upstream.accelerator)
        if kind is None or demand.layer_bytes <= 0:
            return 0
        return kind.memory_bytes // demand.layer_bytes

    def _spares(self, demand: ModelDemand, zone: str | None) -> list[Upstream]:
        """Return engines that can be loaded, the best first.

        Idle engines come before those that serve another model, then engines
        with fast links to the model's zones, then large ones.
        """
        homes = {u.availability_zone for u in self._holding(demand.model)}

        def preference(upstream: Upstream) -> tuple[bool, float, int, str]:
            reach = sum(
                OWN_ZONE_TOKENS_PER_S
                if home == upstream.availability_zone
                else self._links.get((upstream.availability_zone, home), 0.0)
                for home in homes
            )
            size = self._capacity(upstream, demand)
            return upstream.model != IDLE_MODEL, -reach, -size, upstream.upstream_id

        candidates = [
            u
            for u in self._planned.values()
            if u.model != demand.model
            and zone in (None, u.availability_zone)
            and self._capacity(u, demand) > 0
            and self._may_move(u)
            and (zone is None or self._zone_can_spare(u))
        ]
        return sorted(candidates, key=preference)

    def _zone_can_spare(self, upstream: Upstream) -> bool:
        """Return whether the engine's model stays complete in the engine's zone.

        Two models that are both incomplete in a zone would otherwise take each
        other's engines there in turn.
        """
        demand = self._demand.get(upstream.model)
        if demand is None:
            return True
        zone = upstream.availability_zone
        return self._rest_is_chained(upstream, zone, demand.layers)

    def close_gaps(self, demand: ModelDemand) -> None:
        """Complete the model once overall, then in each zone that can."""
        zones = sorted({u.availability_zone for u in self._planned.values()})
        for zone in (None, *zones):
            if self._full:
                return
            if not self._chained(self._holding(demand.model, zone), demand.layers):
                self._fill(demand, zone)

    def _fill(self, demand: ModelDemand, zone: str | None) -> None:
        """Load spare engines from the end of the longest chain to the last layer.

        Nothing is loaded unless the spare engines can complete the model.
        """
        holding = self._holding(demand.model, zone)
        held = tuple(u.layers for u in holding if u.role is UpstreamRole.ANY)
        loads: list[tuple[Upstream, LayerRange]] = []
        for spare in self._spares(demand, zone):
            ranges = (*held, *(part for _, part in loads))
            start = _reach(ranges, demand.layers)
            if start == demand.layers:
                break
            ends = [r.start for r in held if r.start > start]
            size = self._capacity(spare, demand)
            stop = min([start + size, demand.layers, *ends])
            loads.append((spare, LayerRange(start, stop)))
        ranges = (*held, *(part for _, part in loads))
        if not has_chain(ranges, demand.layers):
            return
        for spare, part in loads:
            # Each load may change what the next engine's model can give away.
            if not self._full and self._may_move(spare):
                self._load(demand, spare, part)

    def roll_version(self, demand: ModelDemand) -> None:
        """Change the version where the rest keeps serving."""
        old = [u for u in self._serving(demand.model) if u.version != demand.version]
        for keep_zone in (True, False):
            for upstream in old:
                if self._full:
                    return
                if not self._may_pause(upstream, keep_zone=keep_zone):
                    continue
                planned = attrs.evolve(upstream, version=demand.version)
                states: tuple[JsonObject, JsonObject] = (
                    {"version": upstream.version},
                    {"version": demand.version},
                )
                self._give(OrderKind.LOAD_VERSION, demand.model, planned, states)

    def add_throughput(self, demand: ModelDemand) -> None:
        """Load more copies of the scarcest layers until the demand is met."""
        while not self._full:
            holding = self._holding(demand.model)
            rates = _layer_rates(holding, demand.layers)
            scarce = min(rates)
            if scarce <= 0.0 or scarce >= demand.tokens_per_s:
                return
            layer = rates.index(scarce)
            parts = {u.layers for u in holding if layer in _layers_of(u)}
            load = self._first_fit(demand, parts)
            if load is None:
                return
            self._load(demand, *load)

    def _first_fit(
        self, demand: ModelDemand, parts: set[LayerRange]
    ) -> tuple[Upstream, LayerRange] | None:
        by_size = sorted(parts, key=lambda part: (part.size, part.start))
        for spare in self._spares(demand, None):
            for part in by_size:
                if part.size <= self._capacity(spare, demand):
                    return spare, part
        return None

    def set_roles(self, demand: ModelDemand) -> None:
        """Split the engines of each layer range into prefill and decode."""
        if demand.prefill_share <= 0.0:
            return
        groups: dict[LayerRange, list[Upstream]] = {}
        for upstream in self._holding(demand.model):
            groups.setdefault(upstream.layers, []).append(upstream)
        for _, group in sorted(groups.items()):
            if len(group) >= 2 * MIN_ROLE_ENGINES:
                self._split(demand, group)

    def _split(self, demand: ModelDemand, group: list[Upstream]) -> None:
        wanted = round(demand.prefill_share * len(group))
        wanted = max(wanted, MIN_ROLE_ENGINES)
        wanted = min(wanted, len(group) - MIN_ROLE_ENGINES)
        # Engines that already have the role come first, so few of them change.
        ranked = sorted(
            group, key=lambda u: (u.role is not UpstreamRole.PREFILL, u.upstream_id)
        )
        for number, upstream in enumerate(ranked):
            prefill = number < wanted
            role = UpstreamRole.PREFILL if prefill else UpstreamRole.DECODE
            if upstream.role is role or self._full:
                continue
            if self._may_pause(upstream, keep_zone=False):
                planned = attrs.evolve(upstream, role=role)
                states: tuple[JsonObject, JsonObject] = (
                    {"role": upstream.role.value},
                    {"role": role.value},
                )
                self._give(OrderKind.CHANGE_ROLE, demand.model, planned, states)

    def load_adapters(self, demand: ModelDemand) -> None:
        """Load missing adapters where the loaded ones are known."""
        for upstream in self._serving(demand.model):
            loaded = self._current[upstream.upstream_id].adapters
            if loaded is None or self._full:
                continue
            missing = [name for name in demand.adapters if name not in loaded]
            if missing and self._may_pause(upstream, keep_zone=False):
                states: tuple[JsonObject, JsonObject] = (
                    {"adapters": list(loaded)},
                    {"adapters": [*loaded, *missing]},
                )
                self._give(OrderKind.LOAD_ADAPTER, demand.model, upstream, states)


def _layers_of(upstream: Upstream) -> range:
    return range(upstream.layers.start, upstream.layers.stop)


def _weights_of(upstream: Upstream) -> JsonObject:
    return {
        "model": upstream.model,
        "version": upstream.version,
        "layers": [upstream.layers.start, upstream.layers.stop],
        "role": upstream.role.value,
    }
