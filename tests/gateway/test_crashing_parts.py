"""Tests of prompt parts under which replicas crash."""

import http.client
import time
from collections.abc import Iterator

import pytest

from standins.platform_config import config
from tests.gateway.harness import GatewayTestbed

REPLICAS = 12
REQUESTS = 10
MAX_CRASHES = 5
"""Crashes after which such requests may not reach replicas any more."""


@pytest.fixture(params=[None, 1, 3], ids=["head", "one event", "three events"])
def testbed(request: pytest.FixtureRequest) -> Iterator[GatewayTestbed]:
    """Return a running host with replicas that crash under one part."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    for number in range(REPLICAS):
        replica = testbed.add_replica(f"model-{number}", "model")
        replica.faults |= {"deadly_part": "dead", "deadly_after": request.param}
    testbed.start()
    yield testbed
    testbed.close()


def send(testbed: GatewayTestbed, path: str, number: int, part: str) -> int:
    """Send a request unlike all others and return its status, 0 if it is broken off."""
    prefix = f"root:40,{part}:100,{number:x}:600"
    try:
        status, _, _ = testbed.send(
            f"{path}{number}",
            body=f"{part} {number}".encode(),
            Request_Id=f"{part}-{number}",
            Prompt_Prefix=prefix,
        )
    except (http.client.HTTPException, OSError):
        return 0
    return status


@pytest.mark.parametrize("path", ["/fixed/", "/talk/"])
def test_requests_of_one_kind_do_not_crash_one_replica_after_the_other(
    testbed: GatewayTestbed, path: str
) -> None:
    """Guards against a quarantine of single requests where a shared part crashes.

    A crash after the first event was no evidence, and that event cleared the part.
    """
    for number in range(REQUESTS):
        send(testbed, path, number, "dead")
        assert send(testbed, path, number, f"sound{number % 3}") == 200
        time.sleep(0.25)
    crashed = [
        request
        for replica in testbed.replicas.values()
        for request in replica.received
        if "dead:" in request.headers["prompt-prefix"]
    ]
    assert len(crashed) <= MAX_CRASHES
    assert send(testbed, path, REQUESTS, "dead") == 503
