"""Tests of replicas that state how many requests they take."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from persimmonwell.core.timeline import read_decision_lines
from standins.platform_config import config
from standins.replica import PlatformReplica
from tests.gateway.harness import GatewayTestbed

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that a replica may get within the window."""
REQUESTS_PER_S = 20
DURATION_S = 6.0
MAX_CALLERS = 40


@pytest.fixture
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host with two replicas of each service."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    for service in ("model", "desk"):
        for number in (1, 2):
            testbed.add_replica(f"{service}-{number}", service)
    testbed.start()
    yield testbed
    testbed.close()


def assert_within_limit(replica: PlatformReplica) -> None:
    times_s = replica.received_at_s
    for first_s in times_s:
        in_window = [at_s for at_s in times_s if 0 <= at_s - first_s < WINDOW_S]
        assert len(in_window) <= MAX_IN_WINDOW
    assert len(times_s) >= LIMIT_PER_S * DURATION_S / 2


def send_at(testbed: GatewayTestbed, path: str, at_s: float) -> int:
    """Send one request at a moment and return its status."""
    time.sleep(max(0.0, at_s - time.monotonic()))
    status, _, _ = testbed.send(f"{path}{at_s}", body=str(at_s).encode())
    return status


def send_steadily(testbed: GatewayTestbed, path: str) -> list[int]:
    """Send requests at the rate of the test and return their statuses."""
    start_s = time.monotonic()
    times_s = [
        start_s + number / REQUESTS_PER_S
        for number in range(int(DURATION_S * REQUESTS_PER_S))
    ]
    with ThreadPoolExecutor(max_workers=MAX_CALLERS) as callers:
        return list(callers.map(lambda at_s: send_at(testbed, path, at_s), times_s))


def test_replica_gets_no_more_requests_than_its_stated_limit(
    testbed: GatewayTestbed, capfdbinary: pytest.CaptureFixture[bytes]
) -> None:
    """Guards against a replica in trouble that gets more work than it can take."""
    testbed.replicas["model-1"].faults["limit"] = str(LIMIT_PER_S)
    statuses = set(send_steadily(testbed, "/talk/"))
    lines = read_decision_lines(capfdbinary.readouterr().out.decode().splitlines())
    unexpected = [line for line in lines if line["event"] not in ("sent", "answered")]
    assert statuses == {200}, unexpected
    assert_within_limit(testbed.replicas["model-1"])


def test_requests_beyond_the_limits_of_all_replicas_are_refused(
    testbed: GatewayTestbed,
) -> None:
    """Guards against a flood that is sent on when every replica states a limit."""
    for number in (1, 2):
        testbed.replicas[f"desk-{number}"].faults["limit"] = str(LIMIT_PER_S)
    statuses = send_steadily(testbed, "/look/")
    assert set(statuses) == {200, 503}
    for number in (1, 2):
        assert_within_limit(testbed.replicas[f"desk-{number}"])
