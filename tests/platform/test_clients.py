"""Check the clients of the platform's log and host list."""

from collections.abc import Iterator
from typing import Any

import pytest

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.platform import HostListClient, JsonLog, StoreClient
from standins.hosts import HostDirectory
from standins.log import Log


@pytest.fixture
def log() -> Iterator[Log]:
    log = Log()
    log.start()
    yield log
    log.close()


@pytest.fixture
def hosts() -> Iterator[HostDirectory]:
    hosts = HostDirectory()
    hosts.start()
    yield hosts
    hosts.close()


def engine(name: str, **rest: Any) -> dict[str, Any]:
    layers = {"start": 0, "stop": 8}
    entry = {"id": name, "kind": "engine", "address": "10.0.0.1:1", "model": "m"}
    return {**entry, "availability_zone": "z", "layers": layers, **rest}


def test_unusable_records_do_not_hide_those_after_them(log: Log) -> None:
    """Guards against one odd record that makes every read of the stream fail."""
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    client = JsonLog(store)
    odd: list[Any] = [
        ["list"],
        "text",
        None,
        {"n": "\ud800"},
        {"n": float("inf")},
        {"big": 10**400},
    ]
    log._topics["config"].extend([*odd, {"type": "patch"}])
    part = client.read("config", from_offset=0, wait_s=0.0)
    assert [r.offset for r in part.records] == list(range(7))
    assert all(r.data == {"type": "malformed"} for r in part.records[:5])
    assert part.records[-1].data == {"type": "patch"}
    log._topics["config"][:] = [["list"], {"type": "patch"}]
    again = client.read("config", from_offset=0, wait_s=0.0)
    assert [r.data["type"] for r in again.records] == ["malformed", "patch"]
    store.close()


def test_changed_and_faulty_host_lists_are_noticed(hosts: HostDirectory) -> None:
    """Guards against a list taken for unchanged, or a fault taken for a list."""
    client = HostListClient(url=hosts.server.url, timeout_s=2.0)
    hosts.put(engine("a"))
    first, again = client.read(), client.read()
    assert first.upstreams == again.upstreams and again.as_of_s > first.as_of_s
    hosts.put(engine("a", state="leaving"))
    assert client.read().upstreams[0].leaving
    hosts.faults["empty"] = True
    assert client.read().upstreams == ()
    hosts.faults["empty"] = False
    hosts.put(engine("b", kind="unknown"))
    with pytest.raises(PlatformUnavailableError):
        client.read()
    with pytest.raises(PlatformUnavailableError):
        client.read()
    hosts.remove("b")
    assert len(client.read().upstreams) == 1
    client.close()
