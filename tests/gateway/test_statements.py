"""Tests of what replicas state in their answers, over real sockets."""

import time
from collections.abc import Iterator

import pytest

from standins.platform_config import config
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed


@pytest.fixture
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host with three desk replicas."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    for number in (1, 2, 3):
        testbed.add_replica(f"desk-{number}", "desk", born=number)
    testbed.start()
    host = testbed.host
    assert host is not None
    wait_until(lambda: len(host._router.registry.replicas) == 3)
    yield testbed
    testbed.close()


def send_many(testbed: GatewayTestbed, count: int = 30) -> list[int]:
    """Send safe requests one after another; return their statuses."""
    return [testbed.send(f"/look/{number}")[0] for number in range(count)]


@pytest.mark.parametrize("shed", [False, True])
def test_no_request_follows_the_statement_that_a_replica_leaves(
    testbed: GatewayTestbed, shed: bool
) -> None:
    """Guards against requests to a replica that ends although its entry says ready."""
    leaving = testbed.replicas["desk-1"]
    leaving.faults.update(leaving=True, shed=shed)
    wait_until(lambda: send_many(testbed, 1) == [200] and _arrivals(testbed) > 0)
    testbed.store.faults["down"] = True
    before = _arrivals(testbed)
    assert send_many(testbed) == [200] * 30
    assert _arrivals(testbed) == before
    testbed.store.faults["down"] = False
    leaving.faults.clear()
    testbed.register("desk-1", born=1, sequence=7)
    time.sleep(1.0)
    assert send_many(testbed) == [200] * 30
    assert _arrivals(testbed) == before
    testbed.register("desk-1", born=9)
    wait_until(lambda: send_many(testbed, 3) and _arrivals(testbed) > before)


def _arrivals(testbed: GatewayTestbed) -> int:
    return len(testbed.replicas["desk-1"].arrivals)


def test_service_comes_back_after_its_replicas_left_by_mistake(
    testbed: GatewayTestbed,
) -> None:
    """Guards against a service that stays empty after a mistake of its replicas."""
    for replica in testbed.replicas.values():
        replica.faults["leaving"] = True
    wait_until(lambda: send_many(testbed, 1) == [503])
    for replica in testbed.replicas.values():
        replica.faults.clear()
    wait_until(lambda: send_many(testbed, 1) == [200], timeout_s=3.0)


@pytest.mark.parametrize("hold_off", ["1.5", "1e3"])
def test_replica_that_states_when_to_come_back_gets_nothing_before(
    testbed: GatewayTestbed, hold_off: str
) -> None:
    """Guards against requests to a replica that asked for a pause, and copies of it."""
    replica = testbed.replicas["desk-1"]
    replica.faults.update(shed=True, hold_off=hold_off)
    wait_until(lambda: send_many(testbed, 1) and _arrivals(testbed) > 0)
    stated_s = time.monotonic()
    before = _arrivals(testbed)
    while time.monotonic() < stated_s + 1.2:
        assert send_many(testbed, 5) == [200] * 5
    assert _arrivals(testbed) == before
    if hold_off == "1.5":
        wait_until(lambda: send_many(testbed, 1) and _arrivals(testbed) > before)


@pytest.mark.parametrize("hold_off", ["-1", "nan", "inf", "soon", "", "1" * 400])
def test_malformed_time_to_come_back_changes_nothing(
    testbed: GatewayTestbed, hold_off: str
) -> None:
    """Guards against a replica that is left alone because of bad input."""
    replica = testbed.replicas["desk-1"]
    replica.faults.update(shed=True, hold_off=hold_off)
    wait_until(lambda: send_many(testbed, 1) == [200] and _arrivals(testbed) > 0)
    replica.faults.clear()
    wait_until(lambda: send_many(testbed, 1) == [200] and len(replica.received) > 0)


def test_time_to_come_back_to_a_host_is_not_that_of_a_replica(
    testbed: GatewayTestbed,
) -> None:
    """Guards against callers that stay away for as long as one replica wants."""
    for replica in testbed.replicas.values():
        replica.faults.update(shed=True, hold_off="50")
    status, headers, _ = testbed.send("/look/x")
    assert status == 503
    assert 0 < float(headers["retry-after"]) <= 10
