"""Placement controller: holds the lease, plans placements and sends orders."""

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
"""Name of the single lease for all managed models.

Engines move between models, and an engine compares the fencing tokens of all orders
that it receives, so all orders need one sequence of tokens.
"""
TICKS_PER_TTL = 40
REPORT_MAX_AGE_S = 60.0
"""Longest time for which an engine's own report overrides the host list, which lags."""


@attrs.frozen
class LeaseView:
    """One lease as operators see it."""

    name: str
    host: str
    fence: int
    ttl_s: float
    held_here: bool
    valid_for_s: float
    """Remaining time on this host's clock, or 0 if another host holds the lease."""


@attrs.frozen
class _EngineReport:
    incarnation: str
    state: JsonObject
    received_s: float


class PlacementController:
    """Controller of placements; sends orders only while this host holds the lease."""

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
        self._order_client = OrderClient(
            connect_timeout_s=settings.engines.connect_timeout_s
        )
        self._state = LeasesState(
            host_id=settings.host_id,
            incarnation=incarnation,
            limits=lease_limits(settings.orders),
        )
        self._book = OrderBook(load_interval_s=settings.orders.load_interval_s)
        self._engine_reports: dict[str, _EngineReport] = {}
        self._adapters: dict[tuple[str, str], tuple[str, ...]] = {}
        self._wanted_leases: frozenset[str] = frozenset()
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
        """Return the open orders and recent attempts of this host."""
        return self._book

    def start(self) -> None:
        """Start reading the leases stream; orders are sent once the lease is held."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Stop all threads; a held lease is not released but expires."""
        self._stopping.set()
        self._appends.put(None)
        self._inbox.put(LeasesTick())
        for thread in self._threads:
            thread.join()
        self._order_client.close()

    def leases(self) -> tuple[LeaseView, ...]:
        """Return every lease that has a holder, as known to this host."""
        views = []
        for name in self._state.fold.names:
            holder, held_lease = (
                self._state.fold.holder(name),
                self._state.held_lease(name),
            )
            if holder is None:
                continue
            until_s = held_lease.until_s if held_lease is not None else float("-inf")
            views.append(
                LeaseView(
                    name=name,
                    host=holder.host,
                    fence=holder.fence,
                    ttl_s=holder.ttl_s,
                    held_here=held_lease is not None,
                    valid_for_s=max(0.0, until_s - time.monotonic()),
                )
            )
        return tuple(views)

    def _state_loop(self) -> None:
        tick_s = self._settings.lease_ttl_s / TICKS_PER_TTL
        while not self._stopping.is_set():
            event: LeasesEvent
            try:
                event = self._inbox.get(timeout=tick_s if self._wanted_leases else None)
            except queue.Empty:
                event = LeasesTick()
            for decision in self._state.handle(event, time.monotonic()):
                if isinstance(decision, AppendLease):
                    self._appends.put(decision)
                else:
                    self._record_lease_change(decision)

    def _record_lease_change(self, change: LeaseTaken | LeaseLost) -> None:
        part_logger("orders").info("{} {}", type(change).__name__, change.fence)
        if isinstance(change, LeaseTaken):
            detail = f"{change.name}, fence {change.fence}"
            self._recorder.record(EventKind.LEASE_TAKEN, detail=detail)

    def _append_loop(self) -> None:
        while (append := self._appends.get()) is not None:
            try:
                self._log.append(LEASES_STREAM, (append.record,))
            except PlatformUnavailableError as error:
                part_logger("orders").warning(
                    "append to the leases stream got no answer, {}", error
                )
            self._inbox.put(LeaseAppendEnded(append.name))

    def _read_loop(self) -> None:
        follow_stream(
            self._log,
            LEASES_STREAM,
            stopping=self._stopping,
            ends_with_era=True,
            deliver=lambda stream_slice, read_s: self._inbox.put(
                LeasesRead(
                    stream_slice.first_offset,
                    stream_slice.next_offset,
                    stream_slice.records,
                    read_s,
                )
            ),
        )

    def _work_loop(self) -> None:
        next_plan_s = 0.0
        pause_s = min(0.1, self._settings.plan_interval_s)
        while not self._stopping.wait(pause_s):
            config = self._current_config()
            if config is None:
                continue
            self._update_wanted_leases(config)
            held_lease = self._state.held_lease(PLACEMENT_LEASE)
            now_s = time.monotonic()
            if (
                held_lease is None
                or not self._wanted_leases
                or now_s >= held_lease.until_s
            ):
                self._book.clear()
                continue
            if now_s >= next_plan_s:
                next_plan_s = now_s + self._settings.plan_interval_s
                self._plan_orders(config, now_s)
            self._send_next_order(held_lease)

    def _update_wanted_leases(self, config: FleetConfig) -> None:
        managed = any(model.placement for model in config.models.values())
        wanted = frozenset({PLACEMENT_LEASE} if managed else ())
        if wanted != self._wanted_leases:
            self._wanted_leases = wanted
            self._inbox.put(LeasesWanted(wanted))

    def _plan_orders(self, config: FleetConfig, now_s: float) -> None:
        demand = managed_demand(config)
        placements = tuple(
            self._placement_of(upstream, config, now_s)
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

    def _placement_of(
        self, upstream: Upstream, config: FleetConfig, now_s: float
    ) -> Placement:
        """Return an engine's state, with its own report where the host list lags."""
        current = upstream
        report = self._engine_reports.get(upstream.upstream_id)
        if report is not None:
            current = apply_reported_state(upstream, report.state)
            restarted = report.incarnation != upstream.incarnation
            if (
                restarted
                or now_s - report.received_s > REPORT_MAX_AGE_S
                or current == upstream
            ):
                del self._engine_reports[upstream.upstream_id]
                current = upstream
        model = config.models.get(current.model)
        override = config.upstreams.get(upstream.upstream_id)
        checks_fencing = model is not None and model.checks_fencing
        if override is not None and override.checks_fencing is not None:
            checks_fencing = override.checks_fencing
        current = attrs.evolve(current, checks_fencing=checks_fencing)
        placement = None if model is None else model.placement
        if placement is not None and placement.adapters:
            return Placement(current, self._adapters_of(upstream))
        return Placement(current)

    def _adapters_of(self, upstream: Upstream) -> tuple[str, ...] | None:
        """Return the adapters on this incarnation of an engine, or None if unknown."""
        recorded = self._adapters.get((upstream.upstream_id, upstream.incarnation))
        if recorded is not None:
            return recorded
        state = self._order_client.fetch_state(upstream.address)
        return None if state is None else self._record_adapters(upstream, state)

    def _record_adapters(
        self, upstream: Upstream, state: JsonObject
    ) -> tuple[str, ...]:
        names = state.get("adapters", [])
        loaded = tuple(str(n) for n in names) if isinstance(names, list) else ()
        self._adapters[upstream.upstream_id, upstream.incarnation] = loaded
        return loaded

    def _send_next_order(self, held_lease: HeldLease) -> None:
        order = self._book.next_order(time.monotonic())
        if order is None or not self._may_send(held_lease.fence, order):
            return
        answer = self._order_client.send(
            order,
            held_lease.fence,
            timeout_s=self._settings.order_timeout_s,
            may_send=lambda: self._may_send(held_lease.fence, order),
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
        self._record_report(order, answer, now_s)
        self._book.record_result(order, held_lease.fence, answer.result, now_s)

    def _may_send(self, fence: int, order: Order) -> bool:
        """Return whether the lease, read anew, still permits this order."""
        held_lease = self._state.held_lease(PLACEMENT_LEASE)
        return (
            held_lease is not None
            and held_lease.fence == fence
            and may_send(
                held_lease,
                checks_fencing=order.checks_fencing,
                timeout_s=self._settings.order_timeout_s,
                now_s=time.monotonic(),
            )
        )

    def _record_report(self, order: Order, answer: OrderAnswer, now_s: float) -> None:
        """Store the state reported by the engine until the host list shows it."""
        for upstream in self._current_upstreams():
            if upstream.upstream_id != order.upstream_id:
                continue
            if answer.state is not None:
                self._record_adapters(upstream, answer.state)
            is_applied = answer.result is OrderResult.APPLIED
            reported_state = answer.state if not is_applied else order.target
            if reported_state is not None:
                self._engine_reports[order.upstream_id] = _EngineReport(
                    upstream.incarnation, reported_state, now_s
                )


def lease_limits(settings: OrderSettings) -> LeaseLimits:
    """Return the timing parameters of leases from the settings."""
    return LeaseLimits(
        ttl_s=settings.lease_ttl_s,
        margin_s=settings.lease_ttl_s * 0.05,
        order_timeout_s=settings.order_timeout_s,
        takeover_jitter_s=settings.lease_ttl_s * 0.1,
    )


def managed_demand(config: FleetConfig) -> tuple[ModelDemand, ...]:
    """Return the demand of each model with a managed placement."""
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


def apply_reported_state(upstream: Upstream, state: JsonObject) -> Upstream:
    """Return the engine with the state it reported; malformed fields are ignored."""
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
