"""Tests of the state that a host takes from a peer when the store does not have it."""

import http.client
import time
from collections.abc import Callable, Iterator

import pytest

from persimmonwell.core.forwarding import RegistryChanges
from persimmonwell.gateway import GatewayHost, _state_handover
from persimmonwell.gateway._state_handover import (
    HandoverCallbacks,
    StateFetcher,
    encode_state,
)
from persimmonwell.platform import parse_node_file
from standins.http import StandinServer
from standins.platform_config import config, node_file, route
from standins.proxy import FaultyProxy
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed

SECOND_IP = "127.0.0.2"


@pytest.fixture
def store_proxy(testbed: GatewayTestbed) -> Iterator[FaultyProxy]:
    """Return the proxy through which the second host reaches the store."""
    proxy = FaultyProxy(testbed.store.server.address)
    proxy.start()
    yield proxy
    proxy.close()


@pytest.fixture
def second_host(
    testbed: GatewayTestbed, store_proxy: FaultyProxy
) -> Iterator[GatewayHost]:
    """Return a host that is not started yet and has the testbed's host as its seed."""
    text = node_file(
        ip=SECOND_IP,
        ports=testbed.ports,
        store=store_proxy.address,
        node="host-2",
        seeds="127.0.0.1:1",
    )
    host = GatewayHost(parse_node_file(text), seed=5)
    yield host
    testbed.run(close_host(host))


async def close_host(host: GatewayHost) -> None:
    host.close()


def send_to_second(testbed: GatewayTestbed, path: str) -> int:
    """Return the status of a request to the second host."""
    connection = http.client.HTTPConnection(
        SECOND_IP, testbed.ports["front"], timeout=5.0
    )
    try:
        connection.request("GET", path, headers=testbed.caller_headers())
        return connection.getresponse().status
    finally:
        connection.close()


def config_with_route(version: int, name: str) -> dict[str, object]:
    document = config(version)
    document["routes"].append(route(name, "safe", "desk"))
    return document


def test_host_that_starts_while_the_store_is_away_serves(
    testbed: GatewayTestbed, second_host: GatewayHost
) -> None:
    """Guards against a host that refuses all requests until the store is back."""
    testbed.store.faults["down"] = True
    testbed.run(second_host.start())
    wait_until(lambda: send_to_second(testbed, "/look/1") == 200, timeout_s=5.0)
    assert send_to_second(testbed, "/none/1") == 404
    testbed.store.faults["down"] = False
    document = config_with_route(4, "added")
    testbed.store.put_key("keyed.op", "config", document)
    wait_until(lambda: send_to_second(testbed, "/added/1") == 200, timeout_s=5.0)


def test_host_that_starts_on_an_older_copy_has_the_accepted_configuration(
    testbed: GatewayTestbed, second_host: GatewayHost
) -> None:
    """Guards against a host that reverts an accepted configuration by its start."""
    copy = testbed.store.copy()
    testbed.store.put_key("keyed.op", "config", config_with_route(4, "added"))
    wait_until(lambda: testbed.send("/added/1")[0] == 200, timeout_s=5.0)
    testbed.store.restore(copy)
    testbed.run(second_host.start())
    wait_until(lambda: send_to_second(testbed, "/added/1") == 200, timeout_s=5.0)


def test_host_that_the_store_refuses_takes_the_newer_configuration(
    testbed: GatewayTestbed, second_host: GatewayHost, store_proxy: FaultyProxy
) -> None:
    """Guards against a host that is behind although its peers can reach it."""
    testbed.run(second_host.start())
    wait_until(lambda: send_to_second(testbed, "/look/1") == 200, timeout_s=5.0)
    store_proxy.mode = "reset"
    time.sleep(0.2)
    testbed.store.put_key("keyed.op", "config", config_with_route(4, "added"))
    wait_until(lambda: send_to_second(testbed, "/added/1") == 200, timeout_s=5.0)


def fetch_twice(answer: Callable[[], object]) -> list[str]:
    """Return the peers of two fetches that failed, one after the other."""
    server = StandinServer()
    server.route("GET", "/state", lambda _body, _query: answer())
    server.start()
    failures: list[str] = []
    fetcher = StateFetcher(
        port=int(server.address.partition(":")[2]),
        callbacks=HandoverCallbacks(
            on_state=lambda peer, state: failures.append("accepted"),
            on_failure=lambda peer, reason: failures.append(peer),
        ),
    )
    try:
        for count in (1, 2):
            wait_until(lambda: not fetcher._is_fetching.locked())
            fetcher.fetch("127.0.0.1")
            wait_until(lambda count=count: len(failures) == count)
        return failures
    finally:
        server.close()


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"# TYPE persimmonwell_gateway_state gauge",
        encode_state(b"{}", None)[:-1],
        encode_state(b"not a document", None),
        encode_state(b'{"version": "x"}', RegistryChanges(-1, 3, (), 1)),
    ],
)
def test_malformed_state_is_reported_and_another_fetch_follows(answer: bytes) -> None:
    """Guards against a build, or a damaged answer, that ends the hand-over for good."""
    assert fetch_twice(lambda: (200, answer)) == ["127.0.0.1", "127.0.0.1"]


def test_state_that_trickles_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a peer whose single bytes hold the only fetch without end."""
    monkeypatch.setattr(_state_handover, "MAX_TRANSFER_S", 0.1)

    def trickle() -> Iterator[bytes]:
        for _ in range(400):
            time.sleep(0.05)
            yield b"x"

    assert fetch_twice(trickle) == ["127.0.0.1", "127.0.0.1"]
