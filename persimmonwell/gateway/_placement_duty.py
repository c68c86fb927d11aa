"""Give the placement orders while this host holds the duty."""

import asyncio
import time
from collections.abc import Callable

import attrs

from persimmonwell.core.forwarding import (
    ForwardingRouter,
    HeldLayers,
    PlacementOrder,
    PlacementScope,
    Replica,
    plan_placement,
)
from persimmonwell.gateway._http_connection import ConnectionPool
from persimmonwell.gateway._orders import ask_report, call_replica
from persimmonwell.observe import DecisionLog
from persimmonwell.platform import (
    ORDER_PATH,
    encode_place_order,
    order_headers,
)

CHECK_INTERVAL_S = 0.2
SETTLE_S = 1.5
"""A registry that still grows is not planned on: replicas register within some 4 s of
their start, and a plan on a part of them is changed soon after."""
ORDER_MEMORY_S = 3.0
"""Beyond its load, an accepted order counts as done for this long, until the registry
shows it."""
LOAD_FACTOR = 1.5
"""Replicas that load at once share the store of weights, so that loads take longer."""
RETRY_ORDER_S = 0.5
CONFIRM_S = {
    PlacementScope.FILL: 0.2,
    PlacementScope.MOVE: 0.5,
    PlacementScope.REPARTITION: 2.5,
}
"""Time for which a plan has to stay the same before it is carried out. Replicas that a
partition hides come back together; sharing a zone's layers anew takes it out of service
for some 3 s."""


@attrs.frozen
class _Pending:
    incarnation: tuple[str, int]
    layers: HeldLayers
    until_s: float


class PlacementDuty:
    """Hold the duty's lease and the orders that are under way."""

    def __init__(
        self,
        *,
        router: ForwardingRouter,
        pool: ConnectionPool,
        log: DecisionLog,
        availability_zone: str,
        stands_in: Callable[[], bool],
    ) -> None:
        self._zone = availability_zone
        self._stands_in = stands_in
        self._router = router
        self._pool = pool
        self._log = log
        self._until_s = float("-inf")
        self._pending: dict[str, _Pending] = {}
        self._planned: dict[str, dict[tuple[str, PlacementScope], float]] = {}
        self._settled: dict[str, list[Replica]] = {}
        """Replicas of each service for which the last plan had no orders."""
        self._known: set[str] = set()
        self._grown_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_held(self) -> bool:
        """Return whether this host gives orders now."""
        return time.monotonic() < self._until_s

    def _may_order(self) -> bool:
        # Two hosts with orders at once cost loads only: each order names the count
        # of orders that it was decided on, and no replica gets more than it holds.
        return self.is_held or self._stands_in()

    def start(self) -> None:
        """Start checking the placement."""
        self._check()

    def close(self) -> None:
        """Stop."""
        if self._timer is not None:
            self._timer.cancel()

    def set_lease(self, until_s: float | None) -> None:
        """Take the moment at which the duty ends; None when another has it."""
        held = self.is_held
        self._until_s = until_s if until_s is not None else float("-inf")
        if held != self.is_held:
            self._log.write("placement", "duty_held" if self.is_held else "duty_lost")

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)
        now_s = time.monotonic()
        replicas = self._router.registry.replicas
        if replicas.keys() - self._known:
            self._grown_s = now_s
        self._known = set(replicas)
        config = self._router.config
        if config is None or not self._may_order():
            return
        for service in config.services:
            if service.engine is None or service.engine.layers == 0:
                continue
            members = [
                self._with_pending(replica, now_s)
                for replica in self._router.live_replicas(service.name, now_s)
            ]
            if not self.is_held:
                members = [m for m in members if m.availability_zone == self._zone]
            is_first = all(replica.layers is None for replica in members)
            if is_first and now_s - self._grown_s < SETTLE_S:
                continue
            if members == self._settled.get(service.name):
                # A plan takes 58 ms at 1,300 replicas and would be the same.
                continue
            orders = plan_placement(
                members,
                service.engine,
                requests_at=lambda name: self._router.loads.total(name).requests,
            )
            self._settled[service.name] = [] if orders else members
            for order in self._confirmed(service.name, orders, now_s):
                if order.replica_id not in self._pending:
                    load_s = service.engine.load_time_s(order.layers)
                    self._give(order, replicas[order.replica_id], load_s, now_s)

    def _confirmed(
        self, service: str, orders: tuple[PlacementOrder, ...], now_s: float
    ) -> list[PlacementOrder]:
        """Return the orders of steps that the last plans had for the zone as well.

        The replica itself may change from plan to plan, with the load.
        """
        replicas = self._router.registry.replicas
        steps = {
            order: (replicas[order.replica_id].availability_zone, order.scope)
            for order in orders
        }
        known = self._planned.get(service, {})
        planned = {step: known.get(step, now_s) for step in steps.values()}
        self._planned[service] = planned
        return [
            order
            for order, step in steps.items()
            if now_s - planned[step] >= CONFIRM_S[order.scope]
        ]

    def _with_pending(self, replica: Replica, now_s: float) -> Replica:
        pending = self._pending.get(replica.replica_id)
        if pending is None:
            return replica
        done = replica.layers == pending.layers
        if (
            done
            or now_s > pending.until_s
            or pending.incarnation != (replica.incarnation)
        ):
            del self._pending[replica.replica_id]
            return replica
        return attrs.evolve(replica, layers=pending.layers, is_busy=True)

    def _give(
        self, order: PlacementOrder, replica: Replica, load_s: float, now_s: float
    ) -> None:
        # A second order for the same layers would start their load again.
        until_s = now_s + ORDER_MEMORY_S + LOAD_FACTOR * load_s
        self._pending[order.replica_id] = _Pending(
            replica.incarnation, order.layers, until_s
        )
        task = asyncio.get_running_loop().create_task(self._send(order, replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, order: PlacementOrder, replica: Replica) -> None:
        report = await ask_report(self._pool, order.address)
        if report is None or report.is_busy or not self._may_order():
            # A busy one still carries out an order, perhaps of the former holder.
            self._forget_soon(order, replica)
            return
        body = encode_place_order(
            start=order.layers.start,
            stop=order.layers.stop,
            expected_orders=report.orders_accepted,
        )
        answer = await call_replica(
            self._pool,
            order.address,
            method="POST",
            path=ORDER_PATH,
            body=body,
            headers=order_headers(order.replica_id),
        )
        self._log.write(
            "placement",
            "ordered",
            replica=order.replica_id,
            layers=f"{order.layers.start}-{order.layers.stop}",
            was=str(replica.layers),
            expected=report.orders_accepted,
            status=answer.status,
            detail=answer.detail or answer.body[:80].decode("latin-1"),
        )
        if answer.status not in (200, 202):
            self._forget_soon(order, replica)

    def _forget_soon(self, order: PlacementOrder, replica: Replica) -> None:
        """Let the next plan ask the replica again after a short pause."""
        self._pending[order.replica_id] = _Pending(
            replica.incarnation, order.layers, time.monotonic() + RETRY_ORDER_S
        )
