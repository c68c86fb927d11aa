"""Hold the placement lease, plan placements and send the orders."""

import queue
import threading
import time
from collections.abc import Callable

import attrs

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.core import LayerRange, Upstream, UpstreamRole
from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.leases import (
    LEASES_STREAM,
    AcceleratorKind,
    AppendLease,
    HeldLease,
    LeaseAppendEnded,
    LeaseLimits,
    LeaseLost,
    LeasesEvent,
    LeasesRead,
    LeasesState,
    LeasesTick,
    LeasesWanted,
    LeaseTaken,
    ModelDemand,
    Order,
    OrderBook,
    OrderResult,
    Placement,
    PlanLimits,
    may_send,
    plan_orders,
)
from persimmonwell.core.timeline import EventKind
from persimmonwell.daemon._stream_follower import follow_stream
from persimmonwell.observe import Recorder, part_logger
from persimmonwell.platform import JsonLog
from persimmonwell.settings import OrderSettings, Settings
from persimmonwell.upstream import OrderAnswer, OrderClient

PLACEMENT_LEASE = "placement"
"""Name of the one lease for all managed models. Engines move between models, and
an engine compares the tokens of all orders it gets, so they need one sequence."""
TICKS_PER_TTL = 40
SHOWN_S = 60.0
"""Longest time for which an engine's own report overrides the lagging host list."""


@attrs.frozen
class LeaseView:
    """Hold what operators see of one lease."""

    name: str
    host: str
    fence: int
    ttl_s: float
    held_here: bool
    valid_for_s: float
    """Remaining time on this host's clock; 0 where another host holds it."""


@attrs.frozen
class _Applied:
    incarnation: str
    state: JsonObject
    at_s: float


class OrdersPart:
    """Hold the lease state, the order book and their threads."""

    def __init__(
        self,
        *,
        log: JsonLog,
        settings: Settings,
        incarnation: str,
        current_config: Callable[[], FleetConfig | None],
        current_upstreams: Callable[[], tuple[Upstream, ...]],
        recorder: Recorder,
    ) -> None:
        self._log = log
        self._recorder = recorder
        self._settings: OrderSettings = settings.orders
        self._current_config = current_config
        self._current_upstreams = current_upstreams
        self._client = OrderClient(connect_timeout_s=settings.engines.connect_timeout_s)
        self._state = LeasesState(
            host_id=settings.host_id,
            incarnation=incarnation,
            limits=lease_limits(settings.orders),
        )
        self._book = OrderBook(load_interval_s=settings.orders.load_interval_s)
        self._applied: dict[str, _Applied] = {}
        self._adapters: dict[tuple[str, str], tuple[str, ...]] = {}
        self._wanted: frozenset[str] = frozenset()
        self._inbox: queue.SimpleQueue[LeasesEvent] = queue.SimpleQueue()
        self._appends: queue.SimpleQueue[AppendLease | None] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._threads = tuple(
            threading.Thread(target=loop, daemon=True, name=f"orders-{name}")
            for name, loop in (
                ("state", self._state_loop),
                ("read", self._read_loop),
                ("append", self._append_loop),
                ("work", self._work_loop),
            )
        )

    @property
    def book(self) -> OrderBook:
        """Return the open and the recent orders of this host."""
        return self._book

    def start(self) -> None:
        """Start folding leases and, as their holder, sending orders."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop; the lease lapses by itself."""
        self._stopping.set()
        self._appends.put(None)
        self._inbox.put(LeasesTick())
        for thread in self._threads:
            thread.join()
        self._client.close()

    def leases(self) -> tuple[LeaseView, ...]:
        """Return the leases as this host knows them."""
        views = []
        for name in self._state.fold.names:
            holder, holding = (
                self._state.fold.holder(name),
                self._state.held_lease(name),
            )
            if holder is None:
                continue
            until_s = holding.until_s if holding is not None else float("-inf")
            views.append(
                LeaseView(
                    name=name,
                    host=holder.host,
                    fence=holder.fence,
                    ttl_s=holder.ttl_s,
                    held_here=holding is not None,
                    valid_for_s=max(0.0, until_s - time.monotonic()),
                )
            )
        return tuple(views)

    def _state_loop(self) -> None:
        tick_s = self._settings.lease_ttl_s / TICKS_PER_TTL
        while not self._stopping.is_set():
            event: LeasesEvent
            try:
                event = self._inbox.get(timeout=tick_s if self._wanted else None)
            except queue.Empty:
                event = LeasesTick()
            for decision in self._state.handle(event, time.monotonic()):
                if isinstance(decision, AppendLease):
                    self._appends.put(decision)
                else:
                    self._lease_changed(decision)

    def _lease_changed(self, change: LeaseTaken | LeaseLost) -> None:
        part_logger("orders").info("{} {}", type(change).__name__, change.fence)
        if isinstance(change, LeaseTaken):
            detail = f"{change.name}, fence {change.fence}"
            self._recorder.record(EventKind.LEASE_TAKEN, detail=detail)

    def _append_loop(self) -> None:
        while (append := self._appends.get()) is not None:
            try:
                self._log.append(LEASES_STREAM, (append.record,))
            except PlatformUnavailableError as error:
                part_logger("orders").warning("append without answer, {}", error)
            self._inbox.put(LeaseAppendEnded(append.name))

    def _read_loop(self) -> None:
        follow_stream(
            self._log,
            LEASES_STREAM,
            stopping=self._stopping,
            deliver=lambda part, read_s: self._inbox.put(
                LeasesRead(part.first_offset, part.next_offset, part.records, read_s)
            ),
        )

    def _work_loop(self) -> None:
        next_plan_s = 0.0
        pause_s = min(0.1, self._settings.plan_interval_s)
        while not self._stopping.wait(pause_s):
            config = self._current_config()
            if config is None:
                continue
            self._want(config)
            holding = self._state.held_lease(PLACEMENT_LEASE)
            now_s = time.monotonic()
            if holding is None or not self._wanted or now_s >= holding.until_s:
                self._book.clear()
                continue
            if now_s >= next_plan_s:
                next_plan_s = now_s + self._settings.plan_interval_s
                self._plan(config, now_s)
            self._send_next(holding)

    def _want(self, config: FleetConfig) -> None:
        managed = any(model.placement for model in config.models.values())
        wanted = frozenset({PLACEMENT_LEASE} if managed else ())
        if wanted != self._wanted:
            self._wanted = wanted
            self._inbox.put(LeasesWanted(wanted))

    def _plan(self, config: FleetConfig, now_s: float) -> None:
        demand = demand_of(config)
        placements = tuple(
            self._placement(upstream, config, now_s)
            for upstream in self._current_upstreams()
        )
        kinds = tuple(
            AcceleratorKind(a.name, a.memory_bytes, a.layer_tokens_per_s)
            for a in config.accelerators
        )
        orders = plan_orders(
            demand,
            kinds,
            config.links,
            placements,
            PlanLimits(),
            self._book.busy_upstreams,
        )
        self._book.replace_open_orders(orders)

    def _placement(
        self, upstream: Upstream, config: FleetConfig, now_s: float
    ) -> Placement:
        """Return an engine with what is known beyond the lagging host list."""
        shown = upstream
        applied = self._applied.get(upstream.upstream_id)
        if applied is not None:
            shown = apply_state(upstream, applied.state)
            restarted = applied.incarnation != upstream.incarnation
            if restarted or now_s - applied.at_s > SHOWN_S or shown == upstream:
                del self._applied[upstream.upstream_id]
                shown = upstream
        model = config.models.get(shown.model)
        override = config.upstreams.get(upstream.upstream_id)
        checks = model is not None and model.checks_fencing
        if override is not None and override.checks_fencing is not None:
            checks = override.checks_fencing
        shown = attrs.evolve(shown, checks_fencing=checks)
        placement = None if model is None else model.placement
        if placement is not None and placement.adapters:
            return Placement(shown, self._adapters_of(upstream))
        return Placement(shown)

    def _adapters_of(self, upstream: Upstream) -> tuple[str, ...] | None:
        """Return the adapters that this incarnation of an engine holds."""
        known = self._adapters.get((upstream.upstream_id, upstream.incarnation))
        if known is not None:
            return known
        state = self._client.fetch_state(upstream.address)
        return None if state is None else self._learn_adapters(upstream, state)

    def _learn_adapters(self, upstream: Upstream, state: JsonObject) -> tuple[str, ...]:
        names = state.get("adapters", [])
        loaded = tuple(str(n) for n in names) if isinstance(names, list) else ()
        self._adapters[upstream.upstream_id, upstream.incarnation] = loaded
        return loaded

    def _send_next(self, holding: HeldLease) -> None:
        order = self._book.next_order(time.monotonic())
        if order is None or not self._may_send(holding.fence, order):
            return
        answer = self._client.send(
            order,
            holding.fence,
            timeout_s=self._settings.order_timeout_s,
            may_send=lambda: self._may_send(holding.fence, order),
        )
        now_s = time.monotonic()
        part_logger("orders").info(
            "{} of {} at {}: {}",
            order.kind.value,
            order.model,
            order.upstream_id,
            answer.result.value,
        )
        self._recorder.record(
            EventKind.ORDER_SENT,
            upstream_ids=(order.upstream_id,),
            detail=f"{order.kind.value} of {order.model}, {answer.result.value}",
        )
        self._remember(order, answer, now_s)
        self._book.record_result(order, holding.fence, answer.result, now_s)

    def _may_send(self, fence: int, order: Order) -> bool:
        """Compare the clock with the lease as it is at this moment."""
        holding = self._state.held_lease(PLACEMENT_LEASE)
        return (
            holding is not None
            and holding.fence == fence
            and may_send(
                holding,
                checks_fencing=order.checks_fencing,
                timeout_s=self._settings.order_timeout_s,
                now_s=time.monotonic(),
            )
        )

    def _remember(self, order: Order, answer: OrderAnswer, now_s: float) -> None:
        """Keep what the engine reported until the host list shows it."""
        for upstream in self._current_upstreams():
            if upstream.upstream_id != order.upstream_id:
                continue
            if answer.state is not None:
                self._learn_adapters(upstream, answer.state)
            applied = answer.result is OrderResult.APPLIED
            reported = answer.state if not applied else order.target
            if reported is not None:
                self._applied[order.upstream_id] = _Applied(
                    upstream.incarnation, reported, now_s
                )


def lease_limits(settings: OrderSettings) -> LeaseLimits:
    """Return the limits that the settings state."""
    return LeaseLimits(
        ttl_s=settings.lease_ttl_s,
        margin_s=settings.lease_ttl_s * 0.05,
        order_timeout_s=settings.order_timeout_s,
        takeover_jitter_s=settings.lease_ttl_s * 0.1,
    )


def demand_of(config: FleetConfig) -> tuple[ModelDemand, ...]:
    """Return the demand of the models whose placement is managed."""
    return tuple(
        ModelDemand(
            model=model.name,
            layers=model.layers,
            version=model.version,
            tokens_per_s=model.placement.tokens_per_s,
            layer_bytes=model.placement.layer_bytes,
            adapters=model.placement.adapters,
            prefill_share=model.placement.prefill_share,
        )
        for model in config.models.values()
        if model.placement is not None
    )


def apply_state(upstream: Upstream, state: JsonObject) -> Upstream:
    """Return the engine as its own report describes it; bad fields are ignored."""
    match state.get("layers"):
        case [int(start), int(stop)] if 0 <= start < stop:
            upstream = attrs.evolve(upstream, layers=LayerRange(start, stop))
    match state.get("model"):
        case str(model) if model:
            upstream = attrs.evolve(upstream, model=model)
    match state.get("version"):
        case str(version) if version:
            upstream = attrs.evolve(upstream, version=version)
    role = state.get("role")
    if role in tuple(UpstreamRole):
        upstream = attrs.evolve(upstream, role=UpstreamRole(str(role)))
    return upstream
