"""Tests of the clients of the platform's store and host list."""

import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.platform import (
    HostListClient,
    JsonLog,
    StoreClient,
    _store_client,
)
from persimmonwell.platform._store_client import MAX_RESPONSE_BYTES
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


def test_malformed_records_do_not_block_later_ones(log: Log) -> None:
    """Guards against one malformed record that makes every read of a stream fail."""
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    client = JsonLog(store)
    malformed: list[Any] = [
        ["list"],
        "text",
        None,
        {"n": "\ud800"},
        {"n": float("inf")},
        {"big": 10**400},
    ]
    log._topics["config"].extend([*malformed, {"type": "patch"}])
    first_read = client.read("config", from_offset=0, wait_s=0.0)
    assert [r.offset for r in first_read.records] == list(range(7))
    assert all(r.data == {"type": "malformed"} for r in first_read.records[:5])
    assert first_read.records[-1].data == {"type": "patch"}
    log._topics["config"][:] = [["list"], {"type": "patch"}]
    second_read = client.read("config", from_offset=0, wait_s=0.0)
    assert [r.data["type"] for r in second_read.records] == ["malformed", "patch"]
    store.close()


def test_list_with_pages_of_two_eras_is_no_answer(log: Log) -> None:
    """Guards against a list that mixes entries from before and after a restore."""
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    for number in range(600):
        log.put_key("keyed.servers", f"i-{number:03}", {"slots": 1})
    assert len(store.read_latest("keyed.servers").records) == 600
    log.faults["restore_between_pages"] = True
    with pytest.raises(PlatformUnavailableError):
        store.read_latest("keyed.servers")
    assert store.read_latest("keyed.servers").era == 2
    store.close()


@pytest.mark.parametrize("key", ["i#1", "i&after=a", "i 1%41", "i+1", "\u00b2"])
def test_list_goes_on_after_a_page_that_ends_with_any_key(log: Log, key: str) -> None:
    """Guards against a page that is read again and again because of an odd key."""
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    # The key sorts between the others, at the end of the first page.
    for number in range(499):
        log.put_key("keyed.servers", f"a-{number:03}", {"slots": 1})
    log.put_key("keyed.servers", key, {"slots": 1})
    for number in range(3):
        log.put_key("keyed.servers", f"\u00ff-{number}", {"slots": 1})
    keys = [record.key for record in store.read_latest("keyed.servers").records]
    assert len(keys) == len(set(keys)) == 503 and key in keys
    store.close()


@pytest.mark.parametrize("body", [b"", b"{}", b'{"offset": null}'])
def test_append_without_an_offset_is_not_acknowledged(log: Log, body: bytes) -> None:
    """Guards against an untyped error when the answer was cut within its head."""
    log.server.route("POST", "/persimmonwell/log-append", lambda *_: (200, body))
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    with pytest.raises(PlatformUnavailableError):
        store.append("config", (b"{}",))
    store.close()


@pytest.mark.parametrize("call", ["log-read", "log-newest", "log-append", "log-join"])
def test_response_without_end_is_cut_off(log: Log, call: str) -> None:
    """Guards against a store whose responses take all memory of the host."""
    sent = 0

    def endless() -> Iterator[bytes]:
        nonlocal sent
        for _ in range(1000):
            sent += 1_000_000
            yield bytes(1_000_000)

    for method in ("GET", "POST"):
        log.server.route(method, f"/persimmonwell/{call}", lambda *_: endless())
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    calls: dict[str, Callable[[], object]] = {
        "log-read": lambda: store.read("config", from_offset=0),
        "log-newest": lambda: store.read_latest("keyed.op"),
        "log-append": lambda: store.append("config", (b"{}",)),
        "log-join": lambda: store.join_group(
            "g", member="m", topic="t", ttl_ms=1000, generation=0
        ),
    }
    with pytest.raises(PlatformUnavailableError, match="too long"):
        calls[call]()
    # What is in the buffers of both sockets comes on top.
    assert sent < 4 * MAX_RESPONSE_BYTES
    store.close()


def test_response_of_the_largest_size_is_read(log: Log) -> None:
    """Guards against a bound below what the store may send, with or without chunks."""
    body = bytes(16) + b"\0\0\0\1x" * 400_000
    for answer in ((200, body), iter([body[:99], body[99:]])):
        log.server.route(
            "GET", "/persimmonwell/log-read", lambda *_, answer=answer: answer
        )
        store = StoreClient(url=log.server.url, timeout_s=2.0)
        assert len(store.read("config", from_offset=0).records) == 400_000
        store.close()


def test_connection_to_the_store_is_used_again(log: Log) -> None:
    """Guards against a descriptor and a handshake for each call."""
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    for _ in range(5):
        store.read_latest("keyed.op")
        store.read("config", from_offset=0)
    (pool,) = (store._pool.pools.get(key) for key in store._pool.pools.keys())
    assert pool.num_connections == 1
    store.close()


def test_response_that_trickles_is_given_up(
    log: Log, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a thread that a response of single bytes holds without end."""
    monkeypatch.setattr(_store_client, "MAX_TRANSFER_S", 0.0)

    def trickle() -> Iterator[bytes]:
        for _ in range(100):
            time.sleep(0.05)
            yield b"x"

    log.server.route("GET", "/persimmonwell/log-read", lambda *_: trickle())
    store = StoreClient(url=log.server.url, timeout_s=0.2)
    with pytest.raises(PlatformUnavailableError, match="does not end"):
        store.read("config", from_offset=0)
    store.close()


def test_list_without_end_is_cut_off(log: Log, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a store that always has another page."""
    monkeypatch.setattr(_store_client, "MAX_LIST_BYTES", 100_000)
    item = {"offset": 1, "key": "a", "value": "eHh4"}
    page = {"end": 2, "has_more": True, "items": [item] * 100}
    log.server.route("GET", "/persimmonwell/log-newest", lambda *_: (200, page))
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    with pytest.raises(PlatformUnavailableError, match="too long"):
        store.read_latest("keyed.op")
    store.close()


@pytest.mark.parametrize(
    ("status", "body"),
    [
        *((412, b'{"end": "x"}'), (412, b'{"end": null}'), (412, b'{"end": 1e999}')),
        *((200, b"[" * 100_000), (200, b'{"offset": 1e999}'), (200, b"\xff")),
    ],
)
def test_malformed_answer_to_an_append_is_none(
    log: Log, status: int, body: bytes
) -> None:
    """Guards against an untyped error that ends the caller of the client."""
    log.server.route("POST", "/persimmonwell/log-append", lambda *_: (status, body))
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    with pytest.raises(PlatformUnavailableError):
        store.append("config", (b"{}",), expected_end_offset=3)
    store.close()


@pytest.mark.parametrize(
    "answer",
    [
        {"items": [], "end": 10**20},
        {"items": [], "end": -1},
        {"items": [{"key": "i-1", "value": "e30=", "offset": 10**20}], "end": 1},
        (1 << 63).to_bytes(8) + (0).to_bytes(8),
        (1).to_bytes(8) + (1 << 63).to_bytes(8),
    ],
)
def test_read_with_an_odd_offset_is_none(log: Log, answer: Any) -> None:
    """Guards against an offset that no datagram to another host can carry."""
    for call in ("log-newest", "log-read"):
        log.server.route("GET", f"/persimmonwell/{call}", lambda *_: (200, answer))
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    with pytest.raises(PlatformUnavailableError):
        if isinstance(answer, bytes):
            store.read("keyed.op", from_offset=0)
        else:
            store.read_latest("keyed.op")
    store.close()


@pytest.mark.parametrize("era", ["9" * 5000, "9" * 20, "-1", "1e3", "x"])
def test_odd_era_of_the_store_is_none(log: Log, era: str) -> None:
    """Guards against a header of the store that stops all reads."""
    log.server.answer_headers["Store-Era"] = era
    store = StoreClient(url=log.server.url, timeout_s=2.0)
    assert store.read_latest("keyed.op").era is None
    store.close()


def test_changed_and_invalid_host_lists_are_detected(hosts: HostDirectory) -> None:
    """Guards against a stale list after a change, and the use of an invalid one."""
    client = HostListClient(url=hosts.server.url, timeout_s=2.0)
    hosts.put(engine("a"))
    first, second_read = client.read(), client.read()
    assert (
        first.upstreams == second_read.upstreams and second_read.as_of_s > first.as_of_s
    )
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
