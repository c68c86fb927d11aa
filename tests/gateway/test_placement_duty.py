"""Tests of planning and ordering by the holder of the placement duty."""

import asyncio

import attrs
import pytest

from persimmonwell.core.forwarding import (
    ForwardingRouter,
    HeldLayers,
    PlacementOrder,
    PlacementScope,
    Replica,
    ReplicaReport,
    plan_placement,
)
from persimmonwell.gateway import _placement_duty
from persimmonwell.gateway._connection_pool import ConnectionPool
from persimmonwell.gateway._http_connection import AnswerMatch
from persimmonwell.gateway._placement_duty import PlacementDuty
from persimmonwell.gateway._replica_calls import CallAnswer
from persimmonwell.observe import DecisionLog
from tests.core.forwarding.fleets import (
    ENGINE,
    list_replicas,
    make_router,
    staged_replica,
)

LAYERS = HeldLayers(10, 50)
CHAIN = (
    staged_replica("a", "za", 0, 30),
    staged_replica("b", "za", 30, 55),
    staged_replica("c", "za", 55, 80),
)


def make_duty(router: ForwardingRouter) -> PlacementDuty:
    return PlacementDuty(
        router=router,
        pool=ConnectionPool(
            match_answer=lambda *_: AnswerMatch.SAME_REQUEST,
            clock=lambda: 0.0,
            default_idle_timeout_s=1.0,
        ),
        log=DecisionLog(host_id="h1"),
        availability_zone="za",
        may_plan_without_store=lambda: True,
    )


def test_unchanged_fleet_is_not_planned_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against planning an unchanged fleet: 58 ms, five times a second.

    The time is that of one plan at 1,300 replicas.
    """
    plans: list[tuple[PlacementOrder, ...]] = []

    def count(*args: object, **kwargs: object) -> tuple[PlacementOrder, ...]:
        plans.append(plan_placement(*args, **kwargs))  # type: ignore[arg-type]
        return plans[-1]

    monkeypatch.setattr(_placement_duty, "plan_placement", count)
    router = make_router(*CHAIN)

    async def check() -> None:
        duty = make_duty(router)
        duty.start()
        await asyncio.sleep(0.7)
        assert plans == [()]
        list_replicas(router, *CHAIN, staged_replica("d", "za", 0, 30))
        await asyncio.sleep(0.5)
        assert len(plans) == 2
        list_replicas(router, *CHAIN[:2])
        await asyncio.sleep(0.5)
        assert len(plans) == 3
        duty.close()

    asyncio.run(check())


def test_layers_are_not_ordered_again_while_they_load(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second order that restarts a long load.

    The registry lags: in one run, two replicas got orders for the same 19 and 29
    layers again 3.2 s after the first order.
    """

    async def send(order: PlacementOrder, replica: Replica) -> None:
        return None

    async def issue_order() -> None:
        duty = make_duty(make_router(*CHAIN))
        monkeypatch.setattr(duty, "_send_order", send)
        order = PlacementOrder("a", CHAIN[0].address, LAYERS, PlacementScope.FILL)
        load_s = attrs.evolve(ENGINE, load_s=14.0).load_time_s(LAYERS)
        assert load_s == 7.0
        duty._issue_order(order, CHAIN[0], load_s, 100.0)
        for now_s, layers in ((103.5, LAYERS), (110.0, LAYERS), (114.0, None)):
            replica = duty._with_pending_order(
                attrs.evolve(CHAIN[0], layers=None), now_s
            )
            assert replica.layers == layers
        duty.close()

    asyncio.run(issue_order())


@pytest.mark.parametrize(("is_busy", "orders"), [(True, 0), (False, 1)])
def test_busy_replica_gets_no_order(
    monkeypatch: pytest.MonkeyPatch, is_busy: bool, orders: int
) -> None:
    """Guards against a new holder of the duty that restarts loads of the previous one.

    In one run the duty moved 1.5 s after the orders, before the store showed them, and
    the new holder ordered one replica's layers again.
    """
    calls: list[str] = []

    async def ask(pool: ConnectionPool, address: str) -> ReplicaReport:
        return ReplicaReport(1, 0, 1000, is_busy=is_busy)

    async def call(pool: ConnectionPool, address: str, **rest: object) -> CallAnswer:
        calls.append(address)
        return CallAnswer(202)

    monkeypatch.setattr(_placement_duty, "fetch_report", ask)
    monkeypatch.setattr(_placement_duty, "call_replica", call)
    duty = make_duty(make_router(*CHAIN))
    order = PlacementOrder("a", CHAIN[0].address, LAYERS, PlacementScope.FILL)
    asyncio.run(duty._send_order(order, CHAIN[0]))
    assert len(calls) == orders
