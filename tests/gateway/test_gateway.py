"""Check a forwarding host over real connections."""

import asyncio
import http.client
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.platform_config import HOST, KEY, config, route
from tests.fleet import wait_until
from tests.gateway.harness import GatewayBed


@pytest.fixture
def bed() -> Iterator[GatewayBed]:
    """Provide a host with two desks and one model replica."""
    bed = GatewayBed()
    bed.store.put_key("keyed.op", "config", config(3))
    bed.add_replica("desk-1", "desk")
    bed.add_replica("model-1", "model")
    bed.start()
    yield bed
    bed.close()


def events(body: bytes) -> list[bytes]:
    return [line for line in body.split(b"\n") if line.startswith(b"id:")]


WHOLE = [b"id: %d" % number for number in range(1, 7)]


def test_a_request_is_forwarded_unchanged(bed: GatewayBed) -> None:
    """Guards against a replica that runs another request than the caller sent."""
    status, headers, body = bed.send(
        "/look/a%20b?x=1&y=/book/",
        method="PUT",
        body=b"\x00binary\xff",
        Prompt_Prefix="a:1,b:2",
        Tenant="forged",
        X_Custom="kept",
    )
    assert (status, body) == (200, b"desk-1 PUT /look/a%20b?x=1&y=/book/")
    assert headers["response-seal"] == "seal-desk-1"
    assert headers["request-id"] == "req-1"
    (received,) = bed.replicas["desk-1"].received
    assert (received.method, received.target) == ("PUT", "/look/a%20b?x=1&y=/book/")
    assert received.body == b"\x00binary\xff"
    assert received.headers["request-id"] == "req-1"
    assert received.headers["prompt-prefix"] == "a:1,b:2"
    assert received.headers["x-custom"] == "kept"
    assert received.headers["tenant"] == "range"
    assert received.headers["expect-instance"] == "desk-1"
    assert "api-key" not in received.headers
    assert 4000 < int(received.headers["deadline-remaining"]) <= 5000


def test_a_chunked_body_arrives_whole(bed: GatewayBed) -> None:
    """Guards against bodies without a length that are lost or cut."""
    connection = bed.connect()
    connection.putrequest("POST", "/look/x", skip_host=True)
    for name, value in (("Host", HOST), ("Api-Key", KEY), ("Request-Id", "c")):
        connection.putheader(name, value)
    connection.putheader("Transfer-Encoding", "chunked")
    connection.endheaders()
    connection.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert connection.getresponse().status == 200
    connection.close()
    assert bed.replicas["desk-1"].received[0].body == b"abcde"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/none/x", KEY, 404),
        ("/look/x", "wrong", 401),
        ("/look/x", "", 401),
        ("/look/x", KEY, 200),
    ],
)
def test_routes_and_keys_are_checked(
    bed: GatewayBed, path: str, key: str, status: int
) -> None:
    """Guards against work for unknown callers, and against denying known ones."""
    assert bed.send(path, Api_Key=key)[0] == status
    assert bed.exhausted() == (status == 200)


def test_before_the_configuration_nothing_is_denied() -> None:
    """Guards against 404 and readiness before a host knows any route."""
    bed = GatewayBed()
    bed.start(is_ready=False)
    try:
        assert bed.ready() == 503
        status, headers, _ = bed.send("/look/x")
        assert status == 503
        assert float(headers["retry-after"]) > 0
        bed.store.put_key("keyed.op", "config", config(1))
        bed.add_replica("desk-1", "desk")
        wait_until(lambda: bed.ready() == 200)
        assert bed.send("/look/x")[0] == 200
    finally:
        bed.close()


def test_a_newer_version_is_in_force_soon_and_an_older_one_never(
    bed: GatewayBed,
) -> None:
    """Guards against a configuration that comes late or reverts."""
    assert bed.send("/new/x")[0] == 404
    newer = config(9, routes=[route("new", "safe", "desk")])
    bed.store.put_key("keyed.op", "config", newer)
    wait_until(lambda: bed.send("/new/x")[0] == 200, timeout_s=2.0)
    bed.store.put_key("keyed.op", "config", config(5))
    bed.store.put_key("keyed.op", "config", {"version": "broken", "routes": 4})
    time.sleep(0.3)
    assert bed.send("/new/x")[0] == 200
    assert bed.send("/look/x")[0] == 404


def test_a_stream_is_passed_on_as_it_comes(bed: GatewayBed) -> None:
    """Guards against events that are lost, held back or doubled."""
    status, headers, body = bed.send("/talk/x")
    assert status == 200
    assert headers["response-seal"] == "seal-model-1"
    assert events(body) == WHOLE
    (received,) = bed.replicas["model-1"].received
    address = bed.replicas["model-1"].address
    assert received.headers["hop-count"] == f"{address}=0-8"


def test_a_broken_stream_goes_on_at_the_next_event(bed: GatewayBed) -> None:
    """Guards against a missing, partial or repeated event after a crash."""
    second = bed.add_replica("model-2", "model")
    for replica in (bed.replicas["model-1"], second):
        replica.faults["reset_at"] = 4
    wait_until(lambda: len(_registry(bed)) == 3)

    def mend() -> bool:
        ran = bed.replicas["model-1"].received or second.received
        if ran:
            other = second if bed.replicas["model-1"].received else None
            (other or bed.replicas["model-1"]).faults.clear()
        return bool(ran)

    connection = bed.connect()
    headers = {"Host": HOST, "Request-Id": "s", "Api-Key": KEY}
    connection.request("POST", "/talk/x", headers=headers)
    wait_until(mend)
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    assert events(body) == WHOLE
    last = [r.headers.get("last-event-id") for r in _received(bed, "model")]
    assert None in last and "3" in last


def _registry(bed: GatewayBed) -> dict[str, Any]:
    assert bed.host is not None
    return dict(bed.host._router.registry.replicas)


def _received(bed: GatewayBed, service: str) -> list[Any]:
    replicas = [each for each in bed.replicas.values() if each.service == service]
    return [request for each in replicas for request in each.received]


def test_a_stream_that_may_not_be_resumed_never_looks_whole(bed: GatewayBed) -> None:
    """Guards against an answer that ends early with a proper end."""
    bed.replicas["model-1"].faults["reset_at"] = 4
    with pytest.raises((http.client.IncompleteRead, ConnectionResetError)):
        bed.send("/fixed/x")
    assert len(_received(bed, "model")) == 1


@pytest.mark.parametrize(
    "faults", [{"garbage": True}, {"reset": True}, {"cut_body": True}]
)
def test_an_unrepeatable_call_with_a_lost_answer_is_not_repeated(
    bed: GatewayBed, faults: dict[str, Any]
) -> None:
    """Guards against a booking that is made twice or said not to have run."""
    bed.add_replica("desk-2", "desk")
    wait_until(lambda: len(_registry(bed)) == 3)
    for name in ("desk-1", "desk-2"):
        bed.replicas[name].faults.update(faults)
    assert bed.send("/book/x")[0] == 502
    assert len(_received(bed, "desk")) == 1


@pytest.mark.parametrize(
    "faults", [{"garbage": True}, {"reset": True}, {"cut_body": True}, {"error": True}]
)
def test_a_repeatable_call_goes_to_another_replica(
    bed: GatewayBed, faults: dict[str, Any]
) -> None:
    """Guards against callers who pay for one faulty replica."""
    bed.replicas["desk-1"].faults.update(faults)
    bed.add_replica("desk-2", "desk")
    wait_until(lambda: len(_registry(bed)) == 3)
    for _ in range(6):
        status, _, body = bed.send("/look/x", method="GET", body=None)
        assert (status, body) == (200, b"desk-2 GET /look/x")


def test_a_replicas_own_failure_is_passed_on_unchanged(bed: GatewayBed) -> None:
    """Guards against an answer of ours that bears a replica's seal."""
    bed.replicas["desk-1"].faults["error"] = True
    status, headers, body = bed.send("/book/x")
    assert (status, headers["response-seal"]) == (500, "seal-desk-1")
    assert body == b"desk-1 POST /book/x"


def test_a_refusal_says_that_nothing_ran(bed: GatewayBed) -> None:
    """Guards against "not run" for a request that ran, or silence about one."""
    bed.replicas["desk-1"].faults["shed"] = True
    status, headers, _ = bed.send("/book/x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert "response-seal" not in headers
    assert _received(bed, "desk") == []


@pytest.mark.parametrize("extra", ["now", "late"])
def test_an_answer_too_many_reaches_nobody(bed: GatewayBed, extra: str) -> None:
    """Guards against bytes of one request in another one's answer."""
    bed.replicas["desk-1"].faults["extra"] = extra
    for number in range(4):
        path = f"/look/{number}"
        status, headers, body = bed.send(path, Request_Id=f"id-{number}")
        assert (status, headers["request-id"]) == (200, f"id-{number}")
        assert body == f"desk-1 POST {path}".encode()
        time.sleep(0.1)


def test_an_answer_without_a_length_is_passed_on_whole(bed: GatewayBed) -> None:
    """Guards against an unframed answer that is cut or hangs."""
    bed.replicas["desk-1"].faults["unframed"] = True
    for _ in range(2):
        status, _, body = bed.send("/look/x")
        assert (status, body) == (200, b"desk-1 POST /look/x")


def test_another_replica_at_the_address_runs_nothing(bed: GatewayBed) -> None:
    """Guards against requests at a service that took over a replica's address."""
    bed.register("desk-1", state="draining")
    bed.add_replica("desk-2", "desk")
    wrong = bed.replicas["desk-2"].entry()
    bed.store.put_key("keyed.servers", "desk-2", None)
    bed.store.put_key("keyed.servers", "desk-9", wrong)
    wait_until(lambda: "desk-9" in _registry(bed) and "desk-2" not in _registry(bed))
    assert bed.send("/look/x")[0] == 503
    assert bed.replicas["desk-2"].received == []


@pytest.mark.parametrize(
    "entry",
    [
        {"state": "unknown"},
        {"service": 4},
        {"address": "desk-2"},
        {"slots": "many"},
        {"born": 1.5},
        {"layers": "all"},
    ],
)
def test_an_entry_of_another_writer_names_no_replica(
    bed: GatewayBed, entry: dict[str, Any]
) -> None:
    """Guards against requests to what a broken entry names."""
    bed.add_replica("desk-2", "desk", **entry)
    bed.store.put("keyed.servers", ("odd", b"\xff not json"))
    bed.add_replica("desk-3", "desk")
    wait_until(lambda: "desk-3" in _registry(bed))
    assert set(_registry(bed)) == {"desk-1", "desk-3", "model-1"}


def test_a_caller_that_leaves_stops_the_work(bed: GatewayBed) -> None:
    """Guards against replicas at work for nobody."""
    bed.replicas["model-1"].faults["stall_at"] = 2
    connection = bed.connect()
    headers = {"Host": HOST, "Request-Id": "s", "Api-Key": KEY}
    connection.request("POST", "/talk/x", headers=headers)
    wait_until(lambda: len(_received(bed, "model")) == 1)
    connection.close()
    assert bed.host is not None
    host = bed.host
    wait_until(lambda: host._router.open_request_count == 0, timeout_s=0.5)
    assert host._router.loads.local == {}


def test_the_routes_timeout_ends_the_wait(bed: GatewayBed) -> None:
    """Guards against a caller kept waiting beyond what the operator allows."""
    bed.replicas["desk-1"].faults["delay_s"] = 1.5
    began_s = time.monotonic()
    assert bed.send("/short/x")[0] == 504
    assert 0.35 < time.monotonic() - began_s < 0.8


def test_a_dead_replica_costs_no_caller_an_answer(bed: GatewayBed) -> None:
    """Guards against requests that fail because a replica has just crashed."""
    bed.add_replica("desk-2", "desk")
    wait_until(lambda: len(_registry(bed)) == 3)
    for _ in range(4):
        assert bed.send("/look/x")[0] == 200
    bed.replicas["desk-1"].close()
    for _ in range(6):
        assert bed.send("/look/x")[0] == 200


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 5000, b"431"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /x HTTP/1.1\r\n\r\n", b"400"),
        (b"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", b"400"),
        (
            b"POST /look/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (
            b"POST /look/x HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
            + b"x" * 200_000,
            b"413",
        ),
        (b"GET /x HTT", b"408"),
    ],
    ids=["header", "garbage", "no-host", "two-hosts", "smuggled", "body", "slow"],
)
def test_what_a_caller_may_not_send_is_refused(
    bed: GatewayBed, data: bytes, status: bytes
) -> None:
    """Guards against smuggled requests and callers that hold memory."""
    assert bed.raw(data).split(b" ")[1] == status
    assert bed.exhausted() == 0


def test_pipelined_requests_are_answered_in_order(bed: GatewayBed) -> None:
    """Guards against answers that change places on one connection."""
    head = f"Host: {HOST}\r\nApi-Key: {KEY}\r\n".encode()
    data = b"".join(
        b"GET /look/%d HTTP/1.1\r\n%bRequest-Id: p%d\r\n\r\n" % (n, head, n)
        for n in range(3)
    )
    received = bed.raw(data, wait_s=1.0)
    order = [received.index(b"GET /look/%d" % n) for n in range(3)]
    assert order == sorted(order)


def test_an_idle_connection_is_closed_only_after_its_limit(bed: GatewayBed) -> None:
    """Guards against closing a connection that its caller still uses."""
    connection = bed.connect()
    assert bed.send("/look/1", connection=connection)[0] == 200
    time.sleep(1.6)
    assert bed.send("/look/2", connection=connection)[0] == 200
    assert connection.sock is not None
    connection.sock.settimeout(3.0)
    assert connection.sock.recv(1) == b""
    connection.close()


def test_stopping_finishes_what_runs(bed: GatewayBed) -> None:
    """Guards against requests cut off by planned work."""
    bed.replicas["desk-1"].faults["delay_s"] = 1.0
    connection = bed.connect()
    headers = {"Host": HOST, "Request-Id": "d", "Api-Key": KEY}
    connection.request("POST", "/book/x", body=b"", headers=headers)
    wait_until(lambda: len(_received(bed, "desk")) == 1)
    host = bed.host
    assert host is not None
    drain = asyncio.run_coroutine_threadsafe(host.drain(), bed._loop)
    wait_until(lambda: bed.ready() == 503, timeout_s=0.5)
    bed.replicas["desk-1"].faults.clear()
    assert bed.send("/look/late")[0] == 200
    answer = connection.getresponse()
    assert (answer.status, answer.getheader("connection")) == (200, "close")
    drain.result(5.0)
    bed.host = None
    with pytest.raises(OSError):
        socket.create_connection(("127.0.0.1", bed.ports["front"]), timeout=1.0)


def test_empty_replicas_get_layers_and_then_requests(bed: GatewayBed) -> None:
    """Guards against a model that nobody loads after a full restart."""
    replica = bed.replicas["model-1"]
    replica.layers = None
    bed.register("model-1", kind="big")
    wait_until(lambda: len(replica.orders) == 1)
    (order,) = replica.orders
    assert order == {
        "op": "place",
        "from": 0,
        "to": 8,
        "strategy": "cancel",
        "expect": 0,
    }
    replica.layers = {"from": 0, "to": 8, "version": 1}
    bed.register("model-1")
    wait_until(lambda: bed.send("/talk/x")[0] == 200)


def test_metrics_are_served(bed: GatewayBed) -> None:
    """Guards against a host whose state operators cannot see."""
    bed.send("/look/x")
    bed.send("/talk/x")
    port = bed.ports["peers"] + 1
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    assert 'persimmonwell_gateway_events_total{event="requests"} 2' in text
    assert 'persimmonwell_gateway_state{name="config_version"} 3' in text
    assert "persimmonwell_gateway_first_event_seconds_count" in text
