"""Check when the holder of the duty plans."""

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
from persimmonwell.gateway._http_connection import ConnectionPool
from persimmonwell.gateway._orders import CallAnswer
from persimmonwell.gateway._placement_duty import PlacementDuty
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
            answers_other=lambda *_: False, clock=lambda: 0.0, default_idle_s=1.0
        ),
        log=DecisionLog(host_id="h1"),
        availability_zone="za",
        stands_in=lambda: True,
    )


def test_a_fleet_that_did_not_change_is_not_planned_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a plan of 58 ms five times a second at 1,300 replicas."""
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
    """Guards against a second order that starts a long load again.

    On a drawn day of hinokuni-birdlist two replicas got the same 19 and 29 layers again
    3.2 s after the first order, as the registry did not show them yet.
    """

    async def send(order: PlacementOrder, replica: Replica) -> None:
        return None

    async def give() -> None:
        duty = make_duty(make_router(*CHAIN))
        monkeypatch.setattr(duty, "_send", send)
        order = PlacementOrder("a", CHAIN[0].address, LAYERS, PlacementScope.FILL)
        load_s = attrs.evolve(ENGINE, load_s=14.0).load_time_s(LAYERS)
        assert load_s == 7.0
        duty._give(order, CHAIN[0], load_s, 100.0)
        for now_s, layers in ((103.5, LAYERS), (110.0, LAYERS), (114.0, None)):
            seen = duty._with_pending(attrs.evolve(CHAIN[0], layers=None), now_s)
            assert seen.layers == layers
        duty.close()

    asyncio.run(give())


@pytest.mark.parametrize(("is_busy", "orders"), [(True, 0), (False, 1)])
def test_a_replica_that_carries_out_an_order_gets_no_other_one(
    monkeypatch: pytest.MonkeyPatch, is_busy: bool, orders: int
) -> None:
    """Guards against a new holder of the duty that starts loads of the last one again.

    On the same day the duty moved 1.5 s after the orders, while the store was slow to
    show them; the new holder gave one replica its layers again.
    """
    calls: list[str] = []

    async def ask(pool: ConnectionPool, address: str) -> ReplicaReport:
        return ReplicaReport(1, 0, 1000, is_busy=is_busy)

    async def call(pool: ConnectionPool, address: str, **rest: object) -> CallAnswer:
        calls.append(address)
        return CallAnswer(202)

    monkeypatch.setattr(_placement_duty, "ask_report", ask)
    monkeypatch.setattr(_placement_duty, "call_replica", call)
    duty = make_duty(make_router(*CHAIN))
    order = PlacementOrder("a", CHAIN[0].address, LAYERS, PlacementScope.FILL)
    asyncio.run(duty._send(order, CHAIN[0]))
    assert len(calls) == orders
