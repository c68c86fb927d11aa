"""Tests of leases, plans and orders with real daemons, the log and engines."""

import time
from collections.abc import Iterator
from typing import Any

import attrs
import pytest

from persimmonwell.core import LayerRange, Upstream, UpstreamRole
from persimmonwell.core.leases import Order, OrderKind, OrderResult
from persimmonwell.daemon._placement_controller import apply_reported_state
from persimmonwell.upstream import OrderClient
from standins.engine import Engine
from tests.fleet import LAYERS, MODEL, SmallFleet, wait_until

PLACEMENT = {"layer_bytes": 1, "tokens_per_s": 1.0}
ACCELERATORS = {"generic": {"memory_bytes": LAYERS, "layer_tokens_per_s": 8000.0}}


class OrderFleet(SmallFleet):
    """Small fleet with a short lease TTL."""

    def settings_document(self, zone: str, host_id: str) -> dict[str, Any]:
        document = super().settings_document(zone, host_id)
        document["orders"] = {
            "lease_ttl_s": 1.0,
            "order_timeout_s": 0.3,
            "load_interval_s": 0.0,
            "plan_interval_s": 0.1,
        }
        return document

    def publish_placement(
        self, version: str, base_version: int, **placement: Any
    ) -> None:
        model = {"version": version, "placement": {**PLACEMENT, **placement}}
        merge = {"models": {MODEL: model}, "accelerators": ACCELERATORS}
        self.publish(merge, base_version=base_version)

    def engine_versions(self) -> set[str]:
        return {engine.state["version"] for engine in self.engines.values()}

    def get_from_operators_port(self, host_id: str, path: str) -> Any:
        address = self.daemons[host_id].operator_address
        return self.http.request("GET", f"http://{address}{path}").json()


@pytest.fixture
def orders_fleet() -> Iterator[OrderFleet]:
    fleet = OrderFleet()
    fleet.start()
    yield fleet
    fleet.close()


def test_version_rollout_is_ordered_once_and_survives_the_holder(
    orders_fleet: OrderFleet,
) -> None:
    """Guards against repeated orders, two senders, and orders lost with the holder."""
    fleet = orders_fleet
    fleet.engines["engine-1"].faults["lose_orders"] = 1
    started_s = time.monotonic()
    fleet.publish_placement("2", base_version=1)
    wait_until(lambda: fleet.engine_versions() == {"2"})
    assert time.monotonic() - started_s >= 1.3, "the new holder did not wait"
    sent = [order for engine in fleet.engines.values() for order in engine.orders]
    assert (
        len(sent) == len(fleet.engines) and len({order["fence"] for order in sent}) == 1
    )
    leases = {
        host_id: fleet.get_from_operators_port(host_id, "/leases")["leases"][0]
        for host_id in fleet.daemons
    }
    (holder,) = [host_id for host_id, lease in leases.items() if lease["held_here"]]
    assert {lease["host"] for lease in leases.values()} == {holder}
    recent = fleet.get_from_operators_port(holder, "/orders")["recent"]
    assert [attempt["result"] for attempt in recent] == ["applied"] * 4
    fleet.daemons.pop(holder).close()
    fleet.publish_placement("3", base_version=2)
    wait_until(lambda: fleet.engine_versions() == {"3"})
    fences = {engine.orders[-1]["fence"] for engine in fleet.engines.values()}
    assert len(fences) == 1 and fences.pop() > sent[0]["fence"]


def test_idle_engine_completes_a_zone_and_gets_adapters(
    orders_fleet: OrderFleet,
) -> None:
    """Guards against a zone left incomplete although an idle engine could be used."""
    fleet = orders_fleet
    idle = Engine(layers=(0, 1))
    idle.state["model"] = "idle"
    idle.start()
    fleet.engines["idle"] = idle
    entry = dict(fleet.hosts._entries["engine-2"])
    fleet.hosts.remove("engine-2")
    entry.update(id="idle", address=idle.server.address, model="idle")
    entry["layers"] = {"start": 0, "stop": 1}
    fleet.hosts.put(entry)
    fleet.publish_placement("1", base_version=1, adapters=["tone"])
    wait_until(lambda: idle.state["layers"] == [LAYERS // 2, LAYERS])
    assert idle.state["model"] == MODEL
    listed = [e for engine_id, e in fleet.engines.items() if engine_id != "engine-2"]
    wait_until(lambda: all(e.state["adapters"] == ["tone"] for e in listed))


@pytest.mark.parametrize(
    ("faults", "fence", "expected", "allowed", "result", "version"),
    [
        ({}, 7, "1", True, OrderResult.APPLIED, "2"),
        ({"lose_orders": 1}, 7, "1", True, OrderResult.APPLIED, "2"),
        ({}, 4, "1", True, OrderResult.STALE_FENCE, "1"),
        ({}, 7, "0", True, OrderResult.UNEXPECTED_STATE, "1"),
        ({}, 7, "1", False, OrderResult.NOT_SENT, "1"),
        ({"close": True}, 7, "1", True, OrderResult.UNKNOWN, "1"),
    ],
)
def test_result_of_one_order(
    faults: dict[str, Any],
    fence: int,
    expected: str,
    allowed: bool,
    result: OrderResult,
    version: str,
) -> None:
    """Guards against a wrong result of an order, or a different one on a retry."""
    engine = Engine(layers=(0, 4), checks_fencing=True)
    engine.start()
    engine._highest_fence = 5
    engine.faults.update(faults)
    client = OrderClient(connect_timeout_s=0.3)
    order = Order(
        "o",
        OrderKind.LOAD_VERSION,
        MODEL,
        "e",
        engine.server.address,
        {"version": expected},
        {"version": "2"},
    )
    if faults.get("close"):
        engine.close()
    answer = client.send(order, fence, timeout_s=1.0, may_send=lambda: allowed)
    assert (answer.result, engine.state["version"]) == (result, version)
    again = client.send(order, fence, timeout_s=1.0, may_send=lambda: allowed)
    assert (again.result, engine.state["version"]) == (result, version)
    client.close()
    engine.close()


VALID_STATE = {"model": "b", "version": "2", "layers": [4, 8], "role": "decode"}
MALFORMED_STATE = {"model": "", "version": 3, "layers": [4, 4], "role": "x"}


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        (VALID_STATE, Upstream("e", "1:80", "z", "b", LayerRange(4, 8))),
        (MALFORMED_STATE, Upstream("e", "1:80", "z", "a", LayerRange(0, 4))),
    ],
)
def test_malformed_fields_of_a_reported_state_are_ignored(
    state: Any, expected: Upstream
) -> None:
    """Guards against a malformed report of one engine that stops all orders."""
    if state is VALID_STATE:
        expected = attrs.evolve(expected, version="2", role=UpstreamRole.DECODE)
    upstream = Upstream("e", "1:80", "z", "a", LayerRange(0, 4))
    assert apply_reported_state(upstream, state) == expected
