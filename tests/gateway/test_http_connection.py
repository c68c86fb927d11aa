"""Tests of upstream connections against a replica in trouble, over real sockets."""

import time
from collections.abc import Iterator

import pytest

from standins.platform_config import config
from standins.replica import FLOODS
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed

MAX_FLOOD_BYTES = 16 * 1024 * 1024
"""More than both socket buffers hold, and far less than a flood sends in a second."""
STREAM_FLOODS = ("event", "comments")


@pytest.fixture
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host with one desk replica and one model replica."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    testbed.add_replica("desk-1", "desk")
    testbed.add_replica("model-1", "model")
    testbed.start()
    yield testbed
    testbed.close()


@pytest.mark.parametrize("flood", FLOODS)
def test_bytes_without_end_are_cut_off(testbed: GatewayTestbed, flood: str) -> None:
    """Guards against memory and time spent on bytes that are no answer."""
    name, path = ("desk-1", "/book/x")
    if flood in STREAM_FLOODS:
        name, path = ("model-1", "/fixed/x")
    replica = testbed.replicas[name]
    replica.faults["flood"] = flood
    start_s = time.monotonic()
    status, headers, _ = testbed.send(path)
    # The replica began to answer, so the request may have run.
    assert status == 502 and "response-seal" not in headers
    assert time.monotonic() - start_s < 2.0
    wait_until(lambda: not replica.is_flooding, timeout_s=1.0)
    assert replica.flooded_bytes < MAX_FLOOD_BYTES
    replica.faults.clear()
    assert testbed.send(path)[0] == 200


def test_report_without_end_is_cut_off(testbed: GatewayTestbed) -> None:
    """Guards against a report that exhausts the memory of a host."""
    replica = testbed.replicas["model-1"]
    replica.faults.update(stall_at=2, report_flood=True)
    status, _, _ = testbed.send("/fixed/x")
    assert status == 200
    wait_until(lambda: not replica.is_flooding, timeout_s=1.0)
    assert 0 < replica.flooded_bytes < MAX_FLOOD_BYTES


@pytest.mark.parametrize("delay_s", [0.0001, 0.05, 5.0])
def test_late_copy_of_an_answer_reaches_no_other_caller(
    testbed: GatewayTestbed, delay_s: float
) -> None:
    """Guards against the second copy of an answer on a connection in use again."""
    replica = testbed.replicas["desk-1"]
    replica.faults["copy_late_s"] = delay_s
    deadline_s = time.monotonic() + delay_s + 0.2
    number = 0
    while time.monotonic() < deadline_s:
        number += 1
        path = f"/look/{number}"
        status, headers, body = testbed.send(path, Request_Id=f"id-{number}")
        assert (status, headers["request-id"]) == (200, f"id-{number}")
        assert body == f"desk-1 POST {path}".encode()
        time.sleep(0.02)


def test_late_copy_of_a_refusal_is_not_the_answer_to_the_next_attempt(
    testbed: GatewayTestbed,
) -> None:
    """Guards against "not run" for an attempt that runs: both have one request id."""
    replica = testbed.replicas["desk-1"]
    replica.faults.update(shed_once=True, copy_late_s=0.1, delay_s=0.3)
    status, _, body = testbed.send("/book/x")
    assert (status, body) == (200, b"desk-1 POST /book/x")
    assert len(replica.received) == 1
