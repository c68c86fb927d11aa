"""Tests of failing hosts, log, host list and upstreams with real daemons."""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import psutil
import pytest
import urllib3

from persimmonwell.core._types import Outcome
from standins.engine import expected_tokens
from tests.daemon.test_agreement_over_daemons import (
    LogView,
    get_json,
    is_ready,
    log_view,
    post_patch,
)
from tests.daemon.test_claims import book, count_bookings, status_and_outcome
from tests.daemon.test_processes import ProcessFleet, process_fleet
from tests.fleet import MODEL, SmallFleet, parse_streamed_answer, wait_until

__all__ = ["log_view", "process_fleet"]
HTTP = urllib3.PoolManager(maxsize=32, retries=False)


def post_booking(address: str, key: str, attempt: int, deadline_ms: int) -> Any:
    return HTTP.request(
        "POST",
        f"http://{address}/services/booking/lanes",
        body=json.dumps({"lane": 3}),
        headers={
            "Content-Type": "application/json",
            "Persimmonwell-Workspace": "range-a",
            "Idempotency-Key": key,
            "Idempotency-Attempt": str(attempt),
            "Persimmonwell-Deadline-Ms": str(deadline_ms),
        },
        timeout=30.0,
    )


def call_or_none(call: Any, *arguments: Any) -> Any:
    """Return the result of a call, or None if its connection broke."""
    try:
        return call(*arguments)
    except urllib3.exceptions.HTTPError:
        return None


def is_stopped(pid: int) -> bool:
    return psutil.Process(pid).status() == psutil.STATUS_STOPPED


def claim_record_types(fleet: SmallFleet) -> list[str]:
    return [record["type"] for record in fleet.log.records("claims")]


def complete_answer(prompt: str, count: int = 16) -> tuple[str, str]:
    return "".join(expected_tokens(prompt, count)), "complete"


@pytest.mark.parametrize("sent", [True, False], ids=["sent", "unsent"])
def test_killed_holder_never_books_twice(
    process_fleet: ProcessFleet, sent: bool
) -> None:
    """Guards against a second booking after the claim's holder is killed."""
    standins, (first, second) = process_fleet.standins, process_fleet.hosts
    if sent:
        for service in standins.services.values():
            service.faults["answer_delay_s"] = 1.0
    else:
        standins.log.faults["delay_s"] = 0.5
    with ThreadPoolExecutor(1) as pool:
        first_answer = pool.submit(
            call_or_none, post_booking, first.callers, "k", 1, 8000
        )
        wait_until(lambda: claim_record_types(standins) == ["claim"])
        if sent:
            wait_until(lambda: count_bookings(standins, "k") == 1)
        first.process.send_signal(signal.SIGKILL)
        assert first_answer.result() is None
    standins.log.faults["delay_s"] = 0.0
    repeat = post_booking(second.callers, "k", 2, 1500)
    assert status_and_outcome(repeat) == (409, Outcome.MAY_HAVE_RUN)
    assert count_bookings(standins, "k") == (1 if sent else 0)


def test_paused_holder_books_at_most_once(process_fleet: ProcessFleet) -> None:
    """Guards against a holder that sends its call after a pause past the deadline."""
    standins, (first, second) = process_fleet.standins, process_fleet.hosts
    # The holder learns of its claim only after it was stopped and has woken up again.
    standins.log.faults["hold"] = "claims"
    with ThreadPoolExecutor(1) as pool:
        paused = pool.submit(call_or_none, post_booking, first.callers, "k", 1, 1200)
        wait_until(lambda: claim_record_types(standins) == ["claim"])
        first.process.send_signal(signal.SIGSTOP)
        try:
            wait_until(lambda: is_stopped(first.process.pid))
            standins.log.release_answers()
            repeat = post_booking(second.callers, "k", 2, 1500)
        finally:
            first.process.send_signal(signal.SIGCONT)
        late = paused.result()
    assert status_and_outcome(repeat) == (409, Outcome.MAY_HAVE_RUN)
    # The deadline passed while the holder was paused, so it must not send the call.
    assert count_bookings(standins, "k") == 0 and late.status >= 400
    again = post_booking(second.callers, "k", 3, 4000)
    assert count_bookings(standins, "k") == (1 if again.status == 200 else 0)


def test_log_outage_stops_claims_only(fleet: SmallFleet) -> None:
    """Guards against a log outage that affects models or reverts the configuration."""
    fleet.log.faults["down"] = True
    for host_id in fleet.daemons:
        answer = fleet.complete(host_id, "anchor", stream=True)
        assert parse_streamed_answer(answer.data) == complete_answer("anchor")
        assert fleet.config_version(host_id) == 1
    rejected = [book(fleet, "host-1", f"k{n}", n, deadline_ms=500) for n in (1, 2)]
    assert [status_and_outcome(r) for r in rejected] == [
        (503, "not-run"),
        (503, "may-have-run"),
    ]
    assert not any(service.bookings for service in fleet.services.values())
    fleet.log.faults["down"] = False
    wait_until(lambda: status_and_outcome(book(fleet, "host-2", "k1", 2))[0] == 200)
    assert count_bookings(fleet, "k1") == 1
    assert post_patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}).status == 200
    wait_until(lambda: fleet.config_version("host-2") == 2, timeout_s=5.0)


def test_slow_log_does_not_delay_model_requests(fleet: SmallFleet) -> None:
    """Guards against a slow log that delays models or duplicates a booking."""
    fleet.log.faults["delay_s"] = 1.5
    with ThreadPoolExecutor(1) as pool:
        slow = pool.submit(book, fleet, "host-1", "k", 1)
        started_s = time.monotonic()
        answer = fleet.complete("host-1", "aim", stream=True)
        assert parse_streamed_answer(answer.data) == complete_answer("aim")
        assert time.monotonic() - started_s < 1.0
        booking = slow.result()
    fleet.log.faults["delay_s"] = 0.0
    assert status_and_outcome(booking) in (
        (200, "complete"),
        (503, "not-run"),
        (503, "may-have-run"),
    )
    assert count_bookings(fleet, "k") == (booking.status == 200)


@pytest.mark.parametrize("fault", ["empty", "down", "lag_s"])
def test_host_list_fault_keeps_known_upstreams(fleet: SmallFleet, fault: str) -> None:
    """Guards against an empty, unreachable or old host list that removes upstreams."""
    fleet.hosts.faults[fault] = 3600.0
    expected_reads = fleet.hosts.reads + 3 * len(fleet.daemons)
    wait_until(lambda: fleet.hosts.reads >= expected_reads)
    for host_id in fleet.daemons:
        assert len(get_json(fleet, host_id, "/upstreams")["upstreams"]) == 4
        answer = fleet.complete(host_id, "nock", stream=True)
        assert parse_streamed_answer(answer.data) == complete_answer("nock")


def test_leaving_upstream_gets_no_new_work_and_finishes(fleet: SmallFleet) -> None:
    """Guards against new work after 3 s, and work in flight that is interrupted."""
    for engine in fleet.engines.values():
        engine.faults["token_s"] = 0.15
    with ThreadPoolExecutor(4) as pool:
        running = [
            pool.submit(fleet.complete, h, "long", max_tokens=40, stream=True)
            for h in ("host-1", "host-2") * 2
        ]
        wait_until(lambda: sum(len(e.received) for e in fleet.engines.values()) >= 8)
        leaving_id = "engine-1" if fleet.engines["engine-1"].received else "engine-3"
        engine = fleet.engines[leaving_id]
        for other in fleet.engines.values():
            other.faults["token_s"] = 0.05
        fleet.hosts.put({**fleet.hosts._entries[leaving_id], "state": "leaving"})

        def is_marked_leaving(host_id: str) -> bool:
            shown = get_json(fleet, host_id, "/upstreams")["upstreams"]
            return leaving_id in {u["upstream_id"] for u in shown if u["leaving"]}

        wait_until(lambda: all(map(is_marked_leaving, fleet.daemons)), timeout_s=3.0)
        received_before = len(engine.received)
        for number in range(10):
            for host_id in fleet.daemons:
                answer = fleet.complete(host_id, f"new {number}", max_tokens=1)
                assert answer.status == 200
        assert len(engine.received) == received_before
        for answer in running:
            assert parse_streamed_answer(answer.result().data) == complete_answer(
                "long", 40
            )


@pytest.mark.parametrize("faulty_path", ["log", "peers"])
def test_partitioned_host_stays_current_and_recovers(
    fleet: SmallFleet, log_view: LogView, faulty_path: str
) -> None:
    """Guards against a host that lags without the log, or without its peers."""
    options = {"log_url": log_view.server.url}
    if faulty_path == "peers":
        options["host_list_url"] = "http://127.0.0.1:9"
    third_host = fleet.add_daemon("zone-2", listed=faulty_path == "log", **options)
    wait_until(lambda: fleet.config_version(third_host) == 1)
    log_view.faults["down"] = faulty_path == "log"
    assert post_patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}).status == 200
    wait_until(lambda: fleet.config_version(third_host) == 2, timeout_s=5.0)
    log_view.faults["down"] = False
    assert post_patch(fleet, third_host, 2, {"workspaces": {"x": {}}}).status == 200
    for host_id in fleet.daemons:
        wait_until(lambda h=host_id: fleet.config_version(h) == 3, timeout_s=5.0)


def test_restarted_host_serves_the_current_version(fleet: SmallFleet) -> None:
    """Guards against a restarted host that is not ready or has an older version."""
    assert post_patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}).status == 200
    fleet.daemons["host-2"].close()
    del fleet.daemons["host-2"]
    host_id = fleet.add_daemon("zone-2")
    assert host_id == "host-2"
    wait_until(lambda: is_ready(fleet, host_id), timeout_s=5.0)
    assert fleet.config_version(host_id) == 2
    wait_until(lambda: fleet.complete(host_id, "rest").status == 200)


def test_crashing_request_is_quarantined_on_both_hosts(
    process_fleet: ProcessFleet,
) -> None:
    """Guards against a request that crashes a third engine, through either host."""
    standins, addresses = (
        process_fleet.standins,
        [h.operators for h in process_fleet.hosts],
    )
    for engine_id in ("engine-1", "engine-3"):
        standins.hosts.remove(engine_id)
    for number in range(4):
        address = process_fleet.group.start_standin("engine", "--layers", "0", "4")
        faults = {"crash_on": "poison"}
        HTTP.request("POST", f"http://{address}/faults", json=faults)
        entry = {"id": f"fragile-{number}", "kind": "engine", "address": address}
        layers = {"start": 0, "stop": 4}
        zone = {"availability_zone": "zone-1", "model": MODEL, "layers": layers}
        standins.hosts.put({**entry, **zone})
    engines = process_fleet.group._processes[-4:]

    def shown(address: str, path: str) -> list[Any]:
        found = HTTP.request("GET", f"http://{address}{path}").json()[path[1:]]
        assert isinstance(found, list)
        return found

    def digests(address: str) -> list[str]:
        entries = shown(address, "/quarantine")
        return [e["digest"] for e in entries if e["state"] == "quarantined"]

    def send(host: Any) -> Any:
        return json.loads(_send_completion(host.callers, "poison pill").data)["error"]

    fragile = {f"fragile-{number}" for number in range(4)}
    for address in addresses:
        wait_until(
            lambda a=address: (
                {u["upstream_id"] for u in shown(a, "/upstreams")} >= fragile
            )
        )
    first, second = process_fleet.hosts
    assert send(first)["code"] == "quarantined"
    wait_until(lambda: all(len(digests(a)) == 1 for a in addresses), timeout_s=5.0)
    assert (send(second)["code"], send(first)["code"]) == ("quarantined",) * 2
    assert sum(engine.poll() is not None for engine in engines) == 2
    (digest,) = digests(addresses[0])
    HTTP.request("POST", f"http://{addresses[1]}/quarantine", json={"clear": digest})
    wait_until(lambda: not any(map(digests, addresses)), timeout_s=5.0)


def _send_completion(address: str, prompt: str) -> urllib3.BaseHTTPResponse:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 16}
    headers = {"Persimmonwell-Workspace": "range-a", "Persimmonwell-Rank": "urgent"}
    url = f"http://{address}/v1/completions"
    return HTTP.request("POST", url, json=body, headers=headers)


@pytest.mark.parametrize(
    "faults",
    [
        {"engine-1": {"other_request": True}},
        {"engine-1": {"garbage": True}},
        {"engine-2": {"stall_at": 5, "stall_s": 3.0}},
        {"engine-1": {"other_request": True}, "engine-4": {"stall_at": 3}},
    ],
    ids=["other-request", "garbage", "stall", "both"],
)
def test_faulty_stages_leave_answers_complete(
    fleet: SmallFleet, faults: dict[str, dict[str, Any]]
) -> None:
    """Guards against foreign, missing or repeated tokens in an answer."""
    for engine_id, fault in faults.items():
        fleet.engines[engine_id].faults.update(fault)
    prompts = [f"shot {number}" for number in range(6)]
    with ThreadPoolExecutor(6) as pool:
        answers = list(
            pool.map(lambda p: fleet.complete("host-1", p, stream=True), prompts)
        )
    for prompt, answer in zip(prompts, answers, strict=True):
        assert parse_streamed_answer(answer.data) == complete_answer(prompt)


def test_caller_disconnect_cancels_its_attempt(fleet: SmallFleet) -> None:
    """Guards against engines that keep generating after the caller disconnected."""
    for engine in fleet.engines.values():
        engine.faults["token_s"] = 0.02
    address = fleet.daemons["host-1"].caller_address
    body = {"model": MODEL, "prompt": "x", "max_tokens": 2000, "stream": True}
    headers = {"Persimmonwell-Workspace": "range-a"}
    answer = HTTP.request(
        "POST",
        f"http://{address}/v1/completions",
        json=body,
        headers=headers,
        preload_content=False,
    )
    answer.read(64)
    answer.close()
    wait_until(lambda: any(e.cancelled for e in fleet.engines.values()))
    wait_until(lambda: not any(e._running for e in fleet.engines.values()))


def test_batch_flood_leaves_threads_for_urgent(fleet: SmallFleet) -> None:
    """Guards against batch requests that occupy every thread of a host."""
    for engine in fleet.engines.values():
        engine.faults["token_s"] = 0.05

    def batch(number: int) -> int:
        body = {"model": MODEL, "prompt": f"b{number}", "max_tokens": 60}
        headers = {"Persimmonwell-Rank": "batch"}
        return fleet.call("host-1", "/v1/completions", body, headers=headers).status

    with ThreadPoolExecutor(64) as pool:
        flood = [pool.submit(batch, number) for number in range(64)]
        wait_until(lambda: any(e.received for e in fleet.engines.values()))
        answer = fleet.complete("host-1", "urgent", max_tokens=4, stream=True)
        unfinished = sum(not request.done() for request in flood)
        statuses = {request.result() for request in flood}
    assert parse_streamed_answer(answer.data) == complete_answer("urgent", 4)
    assert unfinished and statuses == {200, 429}
