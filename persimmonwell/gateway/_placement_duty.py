"""Placement duty: one elected host plans the placement and sends the orders."""

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
from persimmonwell.gateway._connection_pool import ConnectionPool
from persimmonwell.gateway._replica_calls import call_replica, fetch_report
from persimmonwell.observe import DecisionLog
from persimmonwell.platform import (
    ORDER_PATH,
    encode_placement_order,
    expected_replica_headers,
)

PLAN_INTERVAL_S = 0.2
REGISTRY_SETTLE_S = 1.5
"""Time without new replicas before the initial plan. Replicas register within some 4 s
of their start, and a plan for only a part of them would soon be changed."""
REGISTRY_LAG_S = 3.0
"""Time after the load in which an accepted order counts as carried out, until the
registry shows its layers."""
LOAD_TIME_FACTOR = 1.5
"""Loads take longer when several replicas read from the store of weights at once."""
ORDER_RETRY_S = 0.5
CONFIRMATION_S = {
    PlacementScope.FILL: 0.2,
    PlacementScope.MOVE: 0.5,
    PlacementScope.REPARTITION: 2.5,
}
"""Time for which a plan has to stay the same before its orders are sent. Replicas that
a network partition hides reappear together, and repartitioning a zone takes it out of
service for some 3 s."""


@attrs.frozen
class _PendingOrder:
    incarnation: tuple[str, int]
    layers: HeldLayers
    until_s: float


class PlacementDuty:
    """Plans the placement while this host holds the duty's lease.

    It tracks the orders in progress, which count as carried out in the next plans.
    While the store is unavailable, one host of each availability zone plans for it.
    """

    def __init__(
        self,
        *,
        router: ForwardingRouter,
        pool: ConnectionPool,
        log: DecisionLog,
        availability_zone: str,
        may_plan_without_store: Callable[[], bool],
    ) -> None:
        self._availability_zone = availability_zone
        self._may_plan_without_store = may_plan_without_store
        self._router = router
        self._pool = pool
        self._log = log
        self._lease_end_s = float("-inf")
        self._pending_orders: dict[str, _PendingOrder] = {}
        self._planned_since_s: dict[str, dict[tuple[str, PlacementScope], float]] = {}
        self._members_without_orders: dict[str, list[Replica]] = {}
        """Replicas of each service for which the last plan needed no orders."""
        self._known_replica_ids: set[str] = set()
        self._last_growth_s = float("-inf")
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_held(self) -> bool:
        """Return whether this host holds the duty's lease."""
        return time.monotonic() < self._lease_end_s

    def _may_order(self) -> bool:
        # If two hosts order at once, only redundant loads result: each order carries
        # the count of accepted orders that it is based on, and no replica gets more
        # layers than fit.
        return self.is_held or self._may_plan_without_store()

    def start(self) -> None:
        """Start planning at regular intervals."""
        self._plan()

    def close(self) -> None:
        """Stop planning."""
        if self._timer is not None:
            self._timer.cancel()

    def set_lease(self, until_s: float | None) -> None:
        """Set the time at which the lease ends; None if another host holds the duty."""
        was_held = self.is_held
        self._lease_end_s = until_s if until_s is not None else float("-inf")
        if was_held != self.is_held:
            self._log.write("placement", "duty_held" if self.is_held else "duty_lost")

    def _plan(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(PLAN_INTERVAL_S, self._plan)
        now_s = time.monotonic()
        replicas = self._router.registry.replicas
        if replicas.keys() - self._known_replica_ids:
            self._last_growth_s = now_s
        self._known_replica_ids = set(replicas)
        config = self._router.config
        if config is None or not self._may_order():
            return
        for service in config.services:
            if service.engine is None or service.engine.layers == 0:
                continue
            members = [
                self._with_pending_order(replica, now_s)
                for replica in self._router.live_replicas(service.name, now_s)
            ]
            if not self.is_held:
                members = [
                    replica
                    for replica in members
                    if replica.availability_zone == self._availability_zone
                ]
            is_initial_placement = all(replica.layers is None for replica in members)
            if is_initial_placement and now_s - self._last_growth_s < REGISTRY_SETTLE_S:
                continue
            if members == self._members_without_orders.get(service.name):
                # The plan would be the same, and takes 58 ms at 1,300 replicas.
                continue
            orders = plan_placement(
                members,
                service.engine,
                requests_at=lambda name: self._router.loads.total(name).requests,
            )
            self._members_without_orders[service.name] = [] if orders else members
            for order in self._confirmed_orders(service.name, orders, now_s):
                if order.replica_id not in self._pending_orders:
                    load_s = service.engine.load_time_s(order.layers)
                    self._issue_order(order, replicas[order.replica_id], load_s, now_s)

    def _confirmed_orders(
        self, service: str, orders: tuple[PlacementOrder, ...], now_s: float
    ) -> list[PlacementOrder]:
        """Return the orders whose zone and scope were planned for long enough.

        The chosen replica may differ from plan to plan, as the load changes.
        """
        replicas = self._router.registry.replicas
        steps = {
            order: (replicas[order.replica_id].availability_zone, order.scope)
            for order in orders
        }
        previous = self._planned_since_s.get(service, {})
        planned_since_s = {step: previous.get(step, now_s) for step in steps.values()}
        self._planned_since_s[service] = planned_since_s
        return [
            order
            for order, step in steps.items()
            if now_s - planned_since_s[step] >= CONFIRMATION_S[order.scope]
        ]

    def _with_pending_order(self, replica: Replica, now_s: float) -> Replica:
        pending = self._pending_orders.get(replica.replica_id)
        if pending is None:
            return replica
        is_done = replica.layers == pending.layers
        if (
            is_done
            or now_s > pending.until_s
            or pending.incarnation != (replica.incarnation)
        ):
            del self._pending_orders[replica.replica_id]
            return replica
        return attrs.evolve(replica, layers=pending.layers, is_busy=True)

    def _issue_order(
        self, order: PlacementOrder, replica: Replica, load_s: float, now_s: float
    ) -> None:
        # A second order for the same layers would restart their load.
        until_s = now_s + REGISTRY_LAG_S + LOAD_TIME_FACTOR * load_s
        self._pending_orders[order.replica_id] = _PendingOrder(
            replica.incarnation, order.layers, until_s
        )
        task = asyncio.get_running_loop().create_task(self._send_order(order, replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_order(self, order: PlacementOrder, replica: Replica) -> None:
        report = await fetch_report(self._pool, order.address)
        if report is None or report.is_busy or not self._may_order():
            # A busy replica still carries out an order, perhaps of the previous holder.
            self._retry_soon(order, replica)
            return
        body = encode_placement_order(
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
            headers=expected_replica_headers(order.replica_id),
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
            self._retry_soon(order, replica)

    def _retry_soon(self, order: PlacementOrder, replica: Replica) -> None:
        """Expire the pending order soon, so that a later plan may repeat it."""
        self._pending_orders[order.replica_id] = _PendingOrder(
            replica.incarnation, order.layers, time.monotonic() + ORDER_RETRY_S
        )
