"""Tests of the tenants' names that replicas get."""

import http.client
from collections.abc import Iterator

import pytest

from standins.platform_config import config
from tests.gateway.harness import GatewayTestbed

SENT = {
    "key-1": "\u0645\u0633\u0642\u0637",
    "key-2": "\u0635\u0644\u0627\u0644",
    "key-3": "other",
    "key-4": "alpha",
    "cl\u00e9": "caf\u00e9",
}
"""Names by key that replicas get as they are in the configuration."""
REFUSED = {"key-5": "a\r\nTenant: other", "key-6": "alpha ", "key-7": "\u2003"}


@pytest.fixture
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host whose configuration has all these tenants."""
    testbed = GatewayTestbed()
    tenants = [
        {"name": name, "api_keys": [key]} for key, name in (SENT | REFUSED).items()
    ]
    testbed.store.put_key("keyed.op", "config", config(3, tenants=tenants))
    testbed.add_replica("desk", "desk")
    testbed.start()
    yield testbed
    testbed.close()


def send(testbed: GatewayTestbed, key: str) -> http.client.HTTPResponse:
    """Send a request with a key in UTF-8."""
    connection = testbed.connect()
    headers = testbed.caller_headers() | {"Api-Key": key.encode()}
    connection.request("GET", "/look/1", headers=headers)
    return connection.getresponse()


def test_replicas_get_each_tenants_own_name(testbed: GatewayTestbed) -> None:
    """Guards against tenants that replicas cannot tell apart, or that pose as others.

    A name with a line break had added a header, and those beyond Latin-1 were sent as
    question marks.
    """
    assert {key: send(testbed, key).status for key in SENT} == dict.fromkeys(SENT, 200)
    received = [r.headers["tenant"] for r in testbed.replicas["desk"].received]
    names = [name.encode("latin-1").decode() for name in received]
    assert names == list(SENT.values())
    for key in REFUSED:
        answer = send(testbed, key)
        assert answer.status == 503
        assert b"unsendable_tenant" in answer.read()
        assert float(answer.headers["retry-after"]) > 0
    assert len(testbed.replicas["desk"].received) == len(SENT)
