"""Tests of unexpected errors at each step of a request's life."""

import http.client
import itertools
import re
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from persimmonwell.core.forwarding import CallerRequest, ForwardingRouter
from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._open_requests import OpenRequests
from persimmonwell.core.forwarding._sends import RequestSender
from persimmonwell.gateway._connection_pool import ConnectionPool
from persimmonwell.gateway._exchange import Exchange
from persimmonwell.platform import decode_request
from standins.platform_config import config
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed

PATHS = ("/look/x", "/book/x", "/talk/x", "/fixed/x")
STEPS = [
    *(
        (ForwardingRouter, name)
        for name in (
            *("request_arrived", "limit_stated", "statement_received"),
            *("answer_opened", "answer_began", "event_received", "answer_completed"),
            "attempt_failed",
        )
    ),
    *((RequestSender, name) for name in ("try_send", "expire_request", "enqueue")),
    (OpenRequests, "finish"),
    *(
        (Exchange, name)
        for name in (
            *("send", "_write", "head_received", "forward_events", "answer_ended"),
            *("_begin_answer", "_forward_answer", "finish", "cancel"),
        )
    ),
]


_numbers = itertools.count(1)


class OddError(Exception):
    """Error that no code expects."""


@pytest.fixture(scope="module")
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host with two replicas of each service."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    for number in (1, 2):
        testbed.add_replica(f"desk-{number}", "desk")
        testbed.add_replica(f"model-{number}", "model")
    testbed.start()
    yield testbed
    testbed.close()


def request_id_of(owner: Any, arguments: tuple[Any, ...]) -> str:
    """Return the id of the request that a call is about."""
    if isinstance(owner, Exchange):
        return owner.request.request_id
    for each in arguments:
        if isinstance(each, CallerRequest):
            return each.request_id
        if isinstance(each, ActiveRequest):
            return each.request.request_id
    active = owner._active.get(arguments[0])
    return active.request.request_id if active is not None else ""


def raising(
    original: Callable[..., Any], odd_id: str, raised: list[str]
) -> Callable[..., Any]:
    def step(owner: Any, *arguments: Any, **options: Any) -> Any:
        if request_id_of(owner, arguments) == odd_id:
            raised.append(original.__name__)
            raise OddError(original.__name__)
        return original(owner, *arguments, **options)

    return step


def status_of(testbed: GatewayTestbed, path: str, request_id: str) -> int:
    """Return the status of an answer, 0 for one that is broken off."""
    try:
        return testbed.send(path, Request_Id=request_id, Deadline_Remaining="2000")[0]
    except (http.client.IncompleteRead, http.client.RemoteDisconnected):
        return 0
    except ConnectionError:
        return 0


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(("owner", "name"), STEPS, ids=[name for _, name in STEPS])
@pytest.mark.parametrize("fault", ["none", "reset", "shed"])
def test_error_at_any_step_of_a_request_ends_that_request_alone(
    testbed: GatewayTestbed,
    monkeypatch: pytest.MonkeyPatch,
    path: str,
    owner: type,
    name: str,
    fault: str,
) -> None:
    """Guards against requests without an answer, and places that are never freed."""
    host = testbed.host
    assert host is not None
    odd_id, raised = f"odd-{next(_numbers)}", []
    step = raising(getattr(owner, name), odd_id, raised)
    monkeypatch.setattr(owner, name, step)
    for replica in testbed.replicas.values():
        if fault != "none":
            replica.faults[fault] = True
    start_s = time.monotonic()
    status = status_of(testbed, path, odd_id)
    elapsed_s = time.monotonic() - start_s
    ran = [
        each
        for replica in testbed.replicas.values()
        for each in replica.received
        if each.headers["request-id"] == odd_id
    ]
    # Before the deadline of 2 s; one that waits for a replica is given up at 0.7 of it.
    assert elapsed_s < 1.8
    assert status in (0, 200, 502, 503, 504)
    assert not (ran and status == 503), "not run was not true"
    if path in ("/book/x", "/fixed/x"):
        assert len(ran) <= 1
    if status == 0:
        assert raised and path in ("/talk/x", "/fixed/x")
    for replica in testbed.replicas.values():
        replica.faults.clear()
    wait_until(lambda: status_of(testbed, path, "sound-1") == 200, timeout_s=6.0)
    router = host._router
    wait_until(lambda: router.open_request_count == 0)
    assert host._gateway.open_request_count == 0
    assert router.queued_request_count == 0
    for replica_id in testbed.replicas:
        assert router.loads.total(replica_id).requests == 0


def test_error_while_a_request_is_decoded_gives_an_answer(
    testbed: GatewayTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a pipelined request without an answer, and those behind it."""

    def fail(method: str, target: str, *arguments: Any, **options: Any) -> Any:
        if target == "/look/odd":
            raise OddError(target)
        return decode_request(method, target, *arguments, **options)

    monkeypatch.setattr("persimmonwell.gateway._gateway.decode_request", fail)
    head = b"Host: desk.example\r\nApi-Key: key-1\r\nRequest-Id: r\r\n"
    paths = (b"/look/odd", b"/look/1", b"/look/odd", b"/look/2")
    data = b"".join(b"GET %b HTTP/1.1\r\n%b\r\n" % (path, head) for path in paths)
    answers = testbed.send_raw(data, wait_s=1.0)
    statuses = re.findall(rb"HTTP/1\.1 (\d+)", answers)
    assert statuses == [b"503", b"200", b"503", b"200"]


def test_error_while_a_connection_is_made_ends_its_request(
    testbed: GatewayTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wait up to the deadline for a port such as 99999."""

    async def connect(pool: ConnectionPool, address: str) -> Any:
        raise OverflowError("port must be 0-65535")

    monkeypatch.setattr(ConnectionPool, "connect", connect)
    monkeypatch.setattr(ConnectionPool, "acquire_idle", lambda *_, **options: None)
    start_s = time.monotonic()
    for path in PATHS:
        assert status_of(testbed, path, "odd") == 503
    assert time.monotonic() - start_s < 1.0


def test_trace_of_a_cause_is_logged_once(
    testbed: GatewayTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a log that grows by a trace for each request of a caller."""
    assert testbed.host is not None
    traces: list[str | None] = []

    def record(part: str, event: str, **fields: Any) -> None:
        if event == "unexpected_error":
            traces.append(fields["trace"])

    def fail(*arguments: Any) -> Any:
        raise OddError("always the same cause")

    monkeypatch.setattr(testbed.host._log, "write", record)
    monkeypatch.setattr(ForwardingRouter, "request_arrived", fail)
    for _ in range(3):
        assert status_of(testbed, "/look/x", "odd") == 503
    assert [bool(trace) for trace in traces] == [True, False, False]
    assert "always the same cause" in str(traces[0])


def test_error_in_the_timer_of_the_router_leaves_that_of_the_callers(
    testbed: GatewayTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against uploads that wait for memory without end."""
    assert testbed.host is not None
    ticks: list[None] = []

    def fail(*arguments: Any) -> Any:
        raise OddError("tick")

    monkeypatch.setattr(
        testbed.host._gateway.admission, "tick", lambda: ticks.append(None)
    )
    monkeypatch.setattr(ForwardingRouter, "tick", fail)
    time.sleep(0.1)
    ticks.clear()
    wait_until(lambda: len(ticks) >= 2, timeout_s=2.0)
