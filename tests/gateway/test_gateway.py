"""Tests of a forwarding host over real connections."""

import asyncio
import http.client
import json
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest

from persimmonwell.gateway._peer_messages import Memory
from standins.platform_config import API_KEY, HOST, config, route
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed, encoded_report


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


def event_ids(body: bytes) -> list[bytes]:
    return [line for line in body.split(b"\n") if line.startswith(b"id:")]


ALL_EVENT_IDS = [b"id: %d" % number for number in range(1, 7)]


def test_request_is_forwarded_unchanged(testbed: GatewayTestbed) -> None:
    """Guards against a replica that runs another request than the caller sent."""
    status, headers, body = testbed.send(
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
    (received,) = testbed.replicas["desk-1"].received
    assert (received.method, received.target) == ("PUT", "/look/a%20b?x=1&y=/book/")
    assert received.body == b"\x00binary\xff"
    assert received.headers["request-id"] == "req-1"
    assert received.headers["prompt-prefix"] == "a:1,b:2"
    assert received.headers["x-custom"] == "kept"
    assert received.headers["tenant"] == "range"
    assert received.headers["expect-instance"] == "desk-1"
    assert "api-key" not in received.headers
    assert 4000 < int(received.headers["deadline-remaining"]) <= 5000


def test_chunked_body_is_forwarded_completely(testbed: GatewayTestbed) -> None:
    """Guards against chunked bodies that are lost or truncated."""
    connection = testbed.connect()
    connection.putrequest("POST", "/look/x", skip_host=True)
    for name, value in (("Host", HOST), ("Api-Key", API_KEY), ("Request-Id", "c")):
        connection.putheader(name, value)
    connection.putheader("Transfer-Encoding", "chunked")
    connection.endheaders()
    connection.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert connection.getresponse().status == 200
    connection.close()
    assert testbed.replicas["desk-1"].received[0].body == b"abcde"


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/none/x", API_KEY, 404),
        ("/look/x", "wrong", 401),
        ("/look/x", "", 401),
        ("/look/x", API_KEY, 200),
    ],
)
def test_unknown_routes_and_keys_are_refused(
    testbed: GatewayTestbed, path: str, key: str, status: int
) -> None:
    """Guards against forwarding for unknown callers, and refusing known ones."""
    assert testbed.send(path, Api_Key=key)[0] == status
    assert testbed.replica_request_count() == (status == 200)


def test_host_without_configuration_is_not_ready() -> None:
    """Guards against 404 answers and readiness before a host knows any route."""
    testbed = GatewayTestbed()
    testbed.start(is_ready=False)
    try:
        assert testbed.readiness_status() == 503
        status, headers, _ = testbed.send("/look/x")
        assert status == 503
        assert float(headers["retry-after"]) > 0
        testbed.store.put_key("keyed.op", "config", config(1))
        testbed.add_replica("desk-1", "desk")
        wait_until(lambda: testbed.readiness_status() == 200)
        assert testbed.send("/look/x")[0] == 200
    finally:
        testbed.close()


def test_only_newer_valid_configurations_are_applied(
    testbed: GatewayTestbed,
) -> None:
    """Guards against a configuration applied late, or replaced by an older one."""
    assert testbed.send("/new/x")[0] == 404
    newer = config(9, routes=[route("new", "safe", "desk")])
    testbed.store.put_key("keyed.op", "config", newer)
    wait_until(lambda: testbed.send("/new/x")[0] == 200, timeout_s=2.0)
    testbed.store.put_key("keyed.op", "config", config(5))
    testbed.store.put_key("keyed.op", "config", {"version": "broken", "routes": 4})
    time.sleep(0.3)
    assert testbed.send("/new/x")[0] == 200
    assert testbed.send("/look/x")[0] == 404


def test_stream_is_forwarded_completely(testbed: GatewayTestbed) -> None:
    """Guards against events that are lost, held back or duplicated."""
    status, headers, body = testbed.send("/talk/x")
    assert status == 200
    assert headers["response-seal"] == "seal-model-1"
    assert event_ids(body) == ALL_EVENT_IDS
    (received,) = testbed.replicas["model-1"].received
    address = testbed.replicas["model-1"].address
    assert received.headers["hop-count"] == f"{address}=0-8"


def test_broken_stream_resumes_at_the_next_event(testbed: GatewayTestbed) -> None:
    """Guards against a missing, partial or repeated event after a crash."""
    second = testbed.add_replica("model-2", "model")
    for replica in (testbed.replicas["model-1"], second):
        replica.faults["reset_at"] = 4
    wait_until(lambda: len(_registered_replicas(testbed)) == 3)

    def clear_faults_of_other() -> bool:
        ran = testbed.replicas["model-1"].received or second.received
        if ran:
            other = second if testbed.replicas["model-1"].received else None
            (other or testbed.replicas["model-1"]).faults.clear()
        return bool(ran)

    connection = testbed.connect()
    headers = {"Host": HOST, "Request-Id": "s", "Api-Key": API_KEY}
    connection.request("POST", "/talk/x", headers=headers)
    wait_until(clear_faults_of_other)
    answer = connection.getresponse()
    body = answer.read()
    connection.close()
    assert event_ids(body) == ALL_EVENT_IDS
    last = [
        r.headers.get("last-event-id") for r in _received_requests(testbed, "model")
    ]
    assert None in last and "3" in last


def _registered_replicas(testbed: GatewayTestbed) -> dict[str, Any]:
    assert testbed.host is not None
    return dict(testbed.host._router.registry.replicas)


def _received_requests(testbed: GatewayTestbed, service: str) -> list[Any]:
    replicas = [each for each in testbed.replicas.values() if each.service == service]
    return [request for each in replicas for request in each.received]


def test_truncated_unresumable_stream_never_looks_complete(
    testbed: GatewayTestbed,
) -> None:
    """Guards against a truncated answer with a valid end of its framing."""
    testbed.replicas["model-1"].faults["reset_at"] = 4
    with pytest.raises((http.client.IncompleteRead, ConnectionResetError)):
        testbed.send("/fixed/x")
    assert len(_received_requests(testbed, "model")) == 1


@pytest.mark.parametrize(
    "faults", [{"garbage": True}, {"reset": True}, {"cut_body": True}]
)
def test_unsafe_request_with_a_lost_answer_is_not_retried(
    testbed: GatewayTestbed, faults: dict[str, Any]
) -> None:
    """Guards against a booking made twice, or reported as not run."""
    testbed.add_replica("desk-2", "desk")
    wait_until(lambda: len(_registered_replicas(testbed)) == 3)
    for name in ("desk-1", "desk-2"):
        testbed.replicas[name].faults.update(faults)
    assert testbed.send("/book/x")[0] == 502
    assert len(_received_requests(testbed, "desk")) == 1


@pytest.mark.parametrize(
    "faults", [{"garbage": True}, {"reset": True}, {"cut_body": True}, {"error": True}]
)
def test_safe_request_is_retried_at_another_replica(
    testbed: GatewayTestbed, faults: dict[str, Any]
) -> None:
    """Guards against requests that fail although only one replica is faulty."""
    testbed.replicas["desk-1"].faults.update(faults)
    testbed.add_replica("desk-2", "desk")
    wait_until(lambda: len(_registered_replicas(testbed)) == 3)
    for _ in range(6):
        status, _, body = testbed.send("/look/x", method="GET", body=None)
        assert (status, body) == (200, b"desk-2 GET /look/x")


def test_server_error_of_a_replica_is_forwarded_unchanged(
    testbed: GatewayTestbed,
) -> None:
    """Guards against changed answers, whose seal no longer matches the content."""
    testbed.replicas["desk-1"].faults["error"] = True
    status, headers, body = testbed.send("/book/x")
    assert (status, headers["response-seal"]) == (500, "seal-desk-1")
    assert body == b"desk-1 POST /book/x"


def test_refused_request_gets_retry_after_and_has_not_run(
    testbed: GatewayTestbed,
) -> None:
    """Guards against a refusal that does not tell the caller to retry."""
    testbed.replicas["desk-1"].faults["shed"] = True
    status, headers, _ = testbed.send("/book/x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert "response-seal" not in headers
    assert _received_requests(testbed, "desk") == []


def test_log_of_a_refusal_names_the_tenant_and_its_share(
    testbed: GatewayTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against operators who cannot see why a workspace is refused."""
    assert testbed.host is not None
    ended: list[dict[str, Any]] = []

    def record(part: str, event: str, **fields: Any) -> None:
        if event == "ended":
            ended.append(fields)

    monkeypatch.setattr(testbed.host._log, "write", record)
    testbed.replicas["desk-1"].faults["shed"] = True
    assert testbed.send("/book/x")[0] == 503
    (fields,) = ended
    assert fields["tenant"] and fields["share"] == 1.0
    assert fields["class"] == "0/0" and fields["retry"] is False
    assert fields["allowed_ms"] > 0


@pytest.mark.parametrize("extra", ["now", "late"])
def test_unsolicited_answer_is_discarded(testbed: GatewayTestbed, extra: str) -> None:
    """Guards against bytes of one answer in the answer to another request."""
    testbed.replicas["desk-1"].faults["extra"] = extra
    for number in range(4):
        path = f"/look/{number}"
        status, headers, body = testbed.send(path, Request_Id=f"id-{number}")
        assert (status, headers["request-id"]) == (200, f"id-{number}")
        assert body == f"desk-1 POST {path}".encode()
        time.sleep(0.1)


def test_answer_without_a_length_is_forwarded_completely(
    testbed: GatewayTestbed,
) -> None:
    """Guards against an unframed answer that is truncated or hangs."""
    testbed.replicas["desk-1"].faults["unframed"] = True
    for _ in range(2):
        status, _, body = testbed.send("/look/x")
        assert (status, body) == (200, b"desk-1 POST /look/x")


def test_replica_that_reuses_an_address_runs_no_request_of_another(
    testbed: GatewayTestbed,
) -> None:
    """Guards against requests run by a replica that took over another's address."""
    testbed.register("desk-1", state="draining")
    testbed.add_replica("desk-2", "desk")
    wrong = testbed.replicas["desk-2"].entry()
    testbed.store.put_key("keyed.servers", "desk-2", None)
    testbed.store.put_key("keyed.servers", "desk-9", wrong)
    wait_until(
        lambda: (
            "desk-9" in _registered_replicas(testbed)
            and "desk-2" not in _registered_replicas(testbed)
        )
    )
    assert testbed.send("/look/x")[0] == 503
    assert testbed.replicas["desk-2"].received == []


@pytest.mark.parametrize(
    "entry",
    [
        {"state": "unknown"},
        {"service": 4},
        {"address": "desk-2"},
        {"slots": "many"},
        {"born": 1.5},
        {"layers": "all"},
        {"layers": {"from": 0, "to": 10**400}},
        {"address": "127.0.0.1:8\u00b2"},
        {"address": "127.0.0.1:70000"},
        {"born": 10**30},
    ],
)
def test_malformed_registry_entry_is_ignored(
    testbed: GatewayTestbed, entry: dict[str, Any]
) -> None:
    """Guards against requests to an address from a malformed registry entry."""
    testbed.add_replica("desk-2", "desk", **entry)
    testbed.store.put("keyed.servers", ("odd", b"\xff not json"))
    testbed.store.put("keyed.servers", ("deep", b"[" * 100_000))
    testbed.add_replica("desk-3", "desk")
    wait_until(lambda: "desk-3" in _registered_replicas(testbed))
    assert set(_registered_replicas(testbed)) == {"desk-1", "desk-3", "model-1"}


def test_request_of_a_disconnected_caller_is_cancelled(testbed: GatewayTestbed) -> None:
    """Guards against replicas that work on after the caller disconnected."""
    testbed.replicas["model-1"].faults["stall_at"] = 2
    connection = testbed.connect()
    headers = {"Host": HOST, "Request-Id": "s", "Api-Key": API_KEY}
    connection.request("POST", "/talk/x", headers=headers)
    wait_until(lambda: len(_received_requests(testbed, "model")) == 1)
    connection.close()
    assert testbed.host is not None
    host = testbed.host
    wait_until(lambda: host._router.open_request_count == 0, timeout_s=0.5)
    assert host._router.loads.local == {}


def test_route_timeout_ends_a_request(testbed: GatewayTestbed) -> None:
    """Guards against a request that exceeds its route's timeout."""
    testbed.replicas["desk-1"].faults["delay_s"] = 1.5
    start_s = time.monotonic()
    assert testbed.send("/short/x")[0] == 504
    assert 0.35 < time.monotonic() - start_s < 0.8


def test_no_request_fails_when_a_replica_crashes(testbed: GatewayTestbed) -> None:
    """Guards against requests that fail because a replica has just crashed."""
    testbed.add_replica("desk-2", "desk")
    wait_until(lambda: len(_registered_replicas(testbed)) == 3)
    for _ in range(4):
        assert testbed.send("/look/x")[0] == 200
    testbed.replicas["desk-1"].close()
    for _ in range(6):
        assert testbed.send("/look/x")[0] == 200


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
def test_malformed_and_oversized_requests_are_rejected(
    testbed: GatewayTestbed, data: bytes, status: bytes
) -> None:
    """Guards against request smuggling and callers that exhaust memory."""
    assert testbed.send_raw(data).split(b" ")[1] == status
    assert testbed.replica_request_count() == 0


@pytest.mark.parametrize(
    "tenants", [[], [{"name": "range", "api_keys": []}], [{"name": "range"}]]
)
def test_nobody_is_let_in_once_the_last_key_is_taken_away(
    testbed: GatewayTestbed, tenants: list[Any]
) -> None:
    """Guards against requests of anybody that run without a valid key."""
    assert testbed.send("/look/x")[0] == 200
    testbed.store.put_key("keyed.op", "config", config(5, tenants=tenants))
    wait_until(lambda: testbed.send("/look/x")[0] == 401)
    for path in ("/look/x", "/book/x", "/fixed/x"):
        for key in (API_KEY, "never-held", ""):
            assert testbed.send(path, Api_Key=key)[0] == 401


@pytest.mark.parametrize("path", ["/look/x", "/book/x", "/fixed/x"])
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Length-Hint", "inf"),
        ("Length-Hint", "1e999"),
        ("Deadline-Remaining", "nan"),
        ("Deadline-Remaining", "9" * 300),
        ("Token-Count", "9" * 300 + ",5"),
        ("Token-Count", "5," + "9" * 300),
    ],
)
def test_request_with_an_odd_number_is_answered_at_once(
    testbed: GatewayTestbed, path: str, name: str, value: str
) -> None:
    """Guards against a closed connection, or a wait, for a number out of range."""
    connection = testbed.connect()
    headers = {"Token-Count": "5,5", name: value}
    start_s = time.monotonic()
    status, answer_headers, body = testbed.send(path, connection=connection, **headers)
    assert status == 400 and time.monotonic() - start_s < 0.5
    assert answer_headers["request-id"] == "req-1"
    assert json.loads(body)["field"] == name.lower()
    assert testbed.replica_request_count() == 0
    # The connection goes on with the next request.
    assert testbed.send(path, connection=connection)[0] == 200
    connection.close()


def test_pipelined_requests_are_answered_in_order(testbed: GatewayTestbed) -> None:
    """Guards against answers out of order on one connection."""
    head = f"Host: {HOST}\r\nApi-Key: {API_KEY}\r\n".encode()
    data = b"".join(
        b"GET /look/%d HTTP/1.1\r\n%bRequest-Id: p%d\r\n\r\n" % (n, head, n)
        for n in range(3)
    )
    received = testbed.send_raw(data, until=b"GET /look/2")
    order = [received.index(b"GET /look/%d" % n) for n in range(3)]
    assert order == sorted(order)


def test_idle_connection_is_closed_only_after_its_timeout() -> None:
    """Guards against closing a connection that its caller still uses.

    Callers use a connection again that was idle for four fifths of the limit.
    """
    limit_s = 5.0
    document = config(3)
    document["limits"]["idle_timeout_ms"] = int(limit_s * 1000)
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", document)
    testbed.add_replica("desk-1", "desk")
    testbed.start()
    connection = testbed.connect()
    try:
        assert testbed.send("/look/1", connection=connection)[0] == 200
        time.sleep(0.8 * limit_s)
        assert testbed.send("/look/2", connection=connection)[0] == 200
        assert connection.sock is not None
        connection.sock.settimeout(limit_s + 1.0)
        assert connection.sock.recv(1) == b""
    finally:
        connection.close()
        testbed.close()


def test_drain_finishes_requests_in_flight(testbed: GatewayTestbed) -> None:
    """Guards against requests that are aborted when a host is stopped."""
    testbed.replicas["desk-1"].faults["delay_s"] = 1.0
    connection = testbed.connect()
    headers = {"Host": HOST, "Request-Id": "d", "Api-Key": API_KEY}
    connection.request("POST", "/book/x", body=b"", headers=headers)
    wait_until(lambda: len(_received_requests(testbed, "desk")) == 1)
    host = testbed.host
    assert host is not None
    drain = asyncio.run_coroutine_threadsafe(host.drain(), testbed._loop)
    wait_until(lambda: testbed.readiness_status() == 503, timeout_s=0.5)
    testbed.replicas["desk-1"].faults.clear()
    assert testbed.send("/look/late")[0] == 200
    answer = connection.getresponse()
    assert (answer.status, answer.getheader("connection")) == (200, "close")
    drain.result(5.0)
    testbed.host = None
    with pytest.raises(OSError):
        socket.create_connection(("127.0.0.1", testbed.ports["front"]), timeout=1.0)


def test_replicas_without_layers_are_loaded_and_then_used(
    testbed: GatewayTestbed,
) -> None:
    """Guards against a model that no host places after a full restart."""
    replica = testbed.replicas["model-1"]
    replica.layers = None
    testbed.register("model-1", kind="big")
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
    testbed.register("model-1")
    wait_until(lambda: testbed.send("/talk/x")[0] == 200)


def read_metrics(testbed: GatewayTestbed) -> str:
    port = testbed.ports["peers"] + 1
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    return text


def test_metrics_are_served(testbed: GatewayTestbed) -> None:
    """Guards against a host without metrics for its operators."""
    testbed.send("/look/x")
    testbed.send("/talk/x")
    text = read_metrics(testbed)
    assert 'persimmonwell_gateway_events_total{event="requests"} 2' in text
    assert 'persimmonwell_gateway_state{name="config_version"} 3' in text
    assert "persimmonwell_gateway_first_event_seconds_count" in text
    assert 'persimmonwell_gateway_state{name="waiting_requests_priority_' in text


def test_refusals_that_name_a_replica_are_counted(testbed: GatewayTestbed) -> None:
    """Guards against overcommitted KV memory that operators don't see."""
    testbed.replicas["model-1"].faults["raw_answer"] = (
        b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: %s\r\n"
        b"At-Server: 127.0.0.1:9\r\nContent-Length: 0\r\n\r\n"
    )
    testbed.send("/talk/x")
    counter = 'persimmonwell_gateway_events_total{event="refused_by_named_replica"}'
    assert counter in read_metrics(testbed)


def test_only_hosts_of_the_zone_count_as_competitors(testbed: GatewayTestbed) -> None:
    """Guards against a choice that leaves room for hosts which use other replicas."""
    with socket.socket(type=socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.9", 0))
        for host_id, zone in (("h2", "za"), ("h3", "zb")):
            data = encoded_report(
                host_id, config_version=3, is_reader=False, interval_s=4.0, zone=zone
            )
            peer.sendto(data, ("127.0.0.1", testbed.ports["peers"]))
        gauge = 'persimmonwell_gateway_state{name="zone_peers"}'
        wait_until(lambda: f"{gauge} 1" in read_metrics(testbed), timeout_s=2.0)
    assert testbed.host is not None
    loads = testbed.host._router.loads
    assert set(loads._peers) == {"h2", "h3"}
    assert loads.zone_reports._zones == {"h3": "zb"}


def test_full_replicas_that_peers_report_are_known_and_passed_on(
    testbed: GatewayTestbed,
) -> None:
    """Guards against a host that learns of a full replica from own refusals alone."""
    with socket.socket(type=socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.9", 0))
        data = encoded_report(
            "h2",
            config_version=3,
            is_reader=False,
            interval_s=4.0,
            memory=(Memory("i-6", 5000, 0.1),),
        )
        peer.sendto(data, ("127.0.0.1", testbed.ports["peers"]))
        gauge = 'persimmonwell_gateway_state{name="replicas_probed_lately"}'
        wait_until(lambda: f"{gauge} 1" in read_metrics(testbed), timeout_s=2.0)
    assert "zone_report_age_seconds" in read_metrics(testbed)
    assert testbed.host is not None
    (row,) = testbed.host._exchange._local_state().memory
    assert (row.replica_id, row.layer_tokens) == ("i-6", 5000)
    assert row.age_s >= 0.1
