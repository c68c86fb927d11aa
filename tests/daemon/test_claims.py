"""Tests of at-most-once calls with real daemons, the log and a booking service."""

import math
import queue
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from unittest.mock import Mock

import pytest

from persimmonwell.core import ServiceReplica
from persimmonwell.core.config import parse_config
from persimmonwell.core.router import DispatchService
from persimmonwell.front import (
    CallerService,
    ClaimVerdict,
    HttpRequest,
    ThreadLimiter,
)
from tests.fleet import BASE_DOCUMENT, SmallFleet, wait_until

PATH = "/services/booking/lanes"


def book(
    fleet: SmallFleet,
    host: str,
    key: str,
    attempt: int = 1,
    *,
    deadline_ms: int = 8000,
    **body: Any,
) -> Any:
    headers = {
        "Idempotency-Key": key,
        "Idempotency-Attempt": str(attempt),
        "Persimmonwell-Deadline-Ms": str(deadline_ms),
    }
    return fleet.call(host, PATH, {"lane": 3, **body}, headers=headers)


def count_bookings(fleet: SmallFleet, key: str) -> int:
    bookings = [b for s in fleet.services.values() for b in s.bookings]
    return sum(b["key"] == key for b in bookings)


def status_and_outcome(response: Any) -> tuple[int, str]:
    return response.status, response.headers["Persimmonwell-Outcome"]


def test_one_booking_for_concurrent_and_later_repeats(fleet: SmallFleet) -> None:
    """Guards against a second booking, and repeats with different answers."""
    for service in fleet.services.values():
        service.faults["delay_s"] = 0.3
    with ThreadPoolExecutor(8) as pool:
        hosts = ["host-1", "host-2"] * 4
        answers = list(pool.map(lambda host: book(fleet, host, "k"), hosts))
    answers += [book(fleet, host, "k", 2) for host in ("host-1", "host-2")]
    assert count_bookings(fleet, "k") == 1
    assert {status_and_outcome(a) for a in answers} == {(200, "complete")}
    assert len({a.data for a in answers}) == 1
    assert len({a.headers["Persimmonwell-Request-Id"] for a in answers}) == 10
    reused = book(fleet, "host-2", "k", 2, lane=9)
    assert (
        status_and_outcome(reused) == (422, "not-run")
        and count_bookings(fleet, "k") == 1
    )
    address = fleet.daemons["host-2"].operator_address
    url = f"http://{address}/claims/range-a/booking/k"
    claim = fleet.http.request("GET", url).json()
    assert (claim["state"], claim["status"]) == ("answered", 200)
    assert fleet.http.request("GET", url + "-none").status == 404


@pytest.mark.parametrize(
    ("attempt", "expected_outcome"), [(1, "not-run"), (2, "may-have-run")]
)
def test_log_outage_refuses_and_frees_the_key(
    fleet: SmallFleet, attempt: int, expected_outcome: str
) -> None:
    """Guards against a call sent without a claim, and a key that stays blocked."""
    fleet.log.faults["lose_answers"] = 1
    fleet.log.faults["down_after"] = 1
    refused = book(fleet, "host-1", "k", attempt, deadline_ms=1000)
    assert (
        status_and_outcome(refused) == (503, expected_outcome)
        and count_bookings(fleet, "k") == 0
    )
    claims = [r["type"] for r in fleet.log.records("claims")]
    assert claims == ["claim"], "the append took effect and its answer was lost"
    fleet.log.faults["down"] = False
    assert status_and_outcome(book(fleet, "host-2", "k", 2)) == (200, "complete")
    assert count_bookings(fleet, "k") == 1


def test_lost_append_answer_is_retried(fleet: SmallFleet) -> None:
    """Guards against a claim that loses to its own retried append."""
    fleet.log.faults["lose_answers"] = 1
    assert status_and_outcome(book(fleet, "host-1", "k")) == (200, "complete")
    assert count_bookings(fleet, "k") == 1


def test_lost_upstream_answer_is_recorded(fleet: SmallFleet) -> None:
    """Guards against a repeat that runs a call again after its answer was lost."""
    for service in fleet.services.values():
        service.faults["lose_answers"] = 1
    answers = [book(fleet, host, "k") for host in ("host-1", "host-2", "host-1")]
    assert {status_and_outcome(a) for a in answers} == {(502, "may-have-run")}
    assert count_bookings(fleet, "k") == 1


def test_unsent_call_frees_the_key(fleet: SmallFleet) -> None:
    """Guards against a key that stays blocked by a call that found no replica."""
    entries = [fleet.hosts._entries[replica] for replica in fleet.services]
    for entry in entries:
        fleet.hosts.put({**entry, "state": "leaving"})
    keys = (f"probe-{number}" for number in range(1000))
    wait_until(lambda: status_and_outcome(book(fleet, "host-1", next(keys)))[0] == 503)
    assert status_and_outcome(book(fleet, "host-1", "k"))[1] == "not-run"
    for entry in entries:
        fleet.hosts.put({**entry, "incarnation": "restarted"})
    wait_until(
        lambda: status_and_outcome(book(fleet, "host-2", "k", 2)) == (200, "complete")
    )
    assert count_bookings(fleet, "k") == 1


def test_claim_without_a_result_blocks_until_the_deadline(fleet: SmallFleet) -> None:
    """Guards against a dispatch while the claim's holder may have sent the call."""
    assert book(fleet, "host-1", "other").status == 200
    claim = fleet.log.records("claims")[0]
    record = {**claim, "claim_id": "lost-1", "key": "k", "incarnation": "lost"}
    fleet.log.put("claims", record)
    rejected = book(fleet, "host-1", "k", 2, deadline_ms=800)
    assert (
        status_and_outcome(rejected) == (409, "may-have-run")
        and count_bookings(fleet, "k") == 0
    )


def test_close_appends_pending_results(fleet: SmallFleet) -> None:
    """Guards against results lost at a graceful shutdown."""
    book(fleet, "host-1", "k")
    daemon = fleet.daemons.pop("host-1")
    daemon.close()
    kinds = [r["type"] for r in fleet.log.records("claims")]
    assert kinds == ["claim", "result"]


@pytest.mark.parametrize(
    ("send_before_s", "expected_outcome"),
    [(0.0, None), (math.inf, "may-have-run")],
)
def test_call_that_ends_without_an_answer(
    send_before_s: float, expected_outcome: str | None
) -> None:
    """Guards against a send after the claim's send limit, and a claim left open."""
    replica = ServiceReplica("r", "127.0.0.1:1", "z", "booking")
    mailbox: Any = queue.SimpleQueue()
    mailbox.put(DispatchService("", 1, replica))
    router, claims, services = Mock(), Mock(), Mock()
    router.submit.return_value = mailbox
    claims.claim_key.return_value = ClaimVerdict("c", send_before_s)
    services.call.side_effect = RuntimeError
    config = parse_config(BASE_DOCUMENT, 1)
    service = CallerService(
        router=router,
        engines=Mock(),
        services=services,
        current_config=lambda: config,
        thread_limiter=ThreadLimiter(threads=4),
        claims=claims,
    )
    headers = {"idempotency-key": "k", "persimmonwell-workspace": "range-a"}
    http = HttpRequest("POST", PATH, "", headers, b"{}")
    if expected_outcome is None:
        response = service.handle(http)
        assert dict(response.headers)["Persimmonwell-Outcome"] == "not-run"
        assert not services.call.called
    else:
        with pytest.raises(RuntimeError):
            service.handle(http)
    ((claim_id, answer),) = [call.args for call in claims.record_answer.call_args_list]
    recorded_outcome = (
        None if answer is None else dict(answer.headers)["Persimmonwell-Outcome"]
    )
    assert (claim_id, recorded_outcome) == ("c", expected_outcome)
