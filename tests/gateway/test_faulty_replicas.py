"""Tests of what callers get when a replica answers against the protocol."""

from collections.abc import Iterator

import pytest

from standins.platform_config import config
from tests.gateway.harness import GatewayTestbed


@pytest.fixture
def testbed() -> Iterator[GatewayTestbed]:
    """Return a host before two replicas of a plain service and two model replicas."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(1))
    for name, service in (
        ("desk-1", "desk"),
        ("model-1", "model"),
        ("model-2", "model"),
    ):
        testbed.add_replica(name, service)
    testbed.start()
    yield testbed
    testbed.close()


@pytest.mark.parametrize("repeat", ["named", "unnamed"])
def test_repeated_refusal_is_no_refusal_of_the_next_request(
    testbed: GatewayTestbed, repeat: str
) -> None:
    """Guards against "not run" for a booking that its replica runs."""
    replica = testbed.replicas["desk-1"]
    replica.faults.update(shed=True, repeat_refusal=repeat)
    status, *_ = testbed.send("/book/first", Request_Id="req-1")
    assert status == 503
    replica.faults.pop("shed")
    for number in range(2, 5):
        request_id = f"req-{number}"
        status, *_ = testbed.send(f"/book/{number}", Request_Id=request_id)
        runs = [
            each
            for each in replica.received
            if each.headers["request-id"] == request_id
        ]
        assert len(runs) <= 1
        assert not runs or status in (200, 502, 504), (status, len(runs))
