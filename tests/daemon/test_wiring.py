"""Tests that components report to the timeline, metrics, peers and membership."""

import attrs
import pytest

from persimmonwell.core._types import Chain, LayerRange, Rank, Stage
from persimmonwell.core.control import UpstreamOutcomeObserved
from persimmonwell.core.router import (
    AttemptFinished,
    Dispatch,
    FailureKind,
    StageFailed,
)
from persimmonwell.core.timeline import EventFilter, HybridTimestamp
from persimmonwell.daemon._outcome_reporter import UpstreamOutcomeReporter
from tests.cli.tool import Tool
from tests.daemon.test_claims import book
from tests.daemon.test_orders import OrderFleet, orders_fleet
from tests.fleet import SmallFleet, wait_until

__all__ = ["orders_fleet"]


def recorded_kinds(fleet: SmallFleet, host_id: str) -> set[str]:
    events = fleet.daemons[host_id].recorder.read(EventFilter(), limit=1000).events
    return {event.kind.value for event in events}


def test_claims_are_recorded_and_their_refusals_counted(fleet: SmallFleet) -> None:
    """Guards against a refused call that neither the timeline nor a metric shows."""
    book(fleet, "host-1", "k")
    book(fleet, "host-2", "k", 2)
    assert "claim-won" in recorded_kinds(fleet, "host-1")
    assert "claim-lost" in recorded_kinds(fleet, "host-2")
    book(fleet, "host-2", "k", 2, lane=9)
    address = fleet.daemons["host-2"].operator_address
    text = fleet.http.request("GET", f"http://{address}/metrics").data.decode()
    assert 'refusals_total{reason="idempotency_key_reused"} 1' in text


def test_leases_and_orders_are_recorded_and_shown(
    orders_fleet: OrderFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against orders to engines that operators cannot trace."""
    fleet, tool = orders_fleet, Tool(capsys)
    fleet.publish_placement("2", base_version=1)
    wait_until(lambda: fleet.engine_versions() == {"2"})
    found = [recorded_kinds(fleet, host_id) for host_id in fleet.daemons]
    assert sum({"lease-taken", "order-sent"} <= kind for kind in found) == 1
    addresses = [d.operator_address for d in fleet.daemons.values()]
    hosts = [part for address in addresses for part in ("--host", address)]
    leases, orders = tool("leases", *hosts), tool("orders", *hosts)
    assert leases.code == orders.code == 0
    assert leases.out.count("placement") == 2
    assert all(engine in orders.out for engine in fleet.engines)


def test_peers_share_one_hybrid_clock(fleet: SmallFleet) -> None:
    """Guards against events stamped before their causes when wall clocks differ."""
    first, second = (fleet.daemons[h].recorder for h in ("host-1", "host-2"))
    future_stamp = attrs.evolve(first.next_stamp(), logical=0)
    future_stamp = HybridTimestamp(future_stamp.wall_us + 4_000_000)
    assert first.merge_remote_stamp(future_stamp)
    wait_until(lambda: second.next_stamp() > future_stamp, timeout_s=3.0)


def test_upstream_results_are_reported_at_a_bounded_rate() -> None:
    """Guards against membership that misses results, or gets one for each attempt."""
    reported: list[UpstreamOutcomeObserved] = []
    reporter = UpstreamOutcomeReporter(reported.append)
    stages = (
        Stage("a", "127.0.0.1:1", LayerRange(0, 4)),
        Stage("b", "127.0.0.1:2", LayerRange(4, 8)),
    )
    for request_id in ("r1", "r2"):
        dispatch = Dispatch(request_id, 1, Chain(stages), 0, Rank.URGENT, 0.0)
        busy = StageFailed(request_id, 1, "a", FailureKind.BUSY, 0)
        reporter.observe(busy, (dispatch,), 0.0)
        lost = StageFailed(request_id, 1, "b", FailureKind.LOST, 0)
        reporter.observe(lost, (), 0.1)
        reporter.observe(AttemptFinished(request_id, 1, 3), (), 0.2)
    reporter.observe(StageFailed("r3", 1, "b", FailureKind.LOST, 0), (), 0.7)
    reported_results = [
        (outcome.upstream_id, outcome.succeeded) for outcome in reported
    ]
    assert reported_results == [("b", False), ("a", True), ("b", True), ("b", False)]
