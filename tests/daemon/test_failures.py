"""Check failures of hosts, log, list and upstreams over real daemons."""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
import urllib3

from persimmonwell.core._types import Outcome
from standins.engine import expected_tokens
from tests.daemon.test_agreement_over_daemons import LogView, get, patch, ready, view
from tests.daemon.test_claims import book, booked, outcome
from tests.daemon.test_processes import ProcessFleet, processes
from tests.fleet import MODEL, SmallFleet, stream_text, wait_until

__all__ = ["processes", "view"]
HTTP = urllib3.PoolManager(maxsize=32, retries=False)


def post(address: str, key: str, attempt: int, deadline_ms: int) -> Any:
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


def swallow(call: Any, *arguments: Any) -> Any:
    """Return the answer of a call, or None when its connection broke."""
    try:
        return call(*arguments)
    except urllib3.exceptions.HTTPError:
        return None


def claims(fleet: SmallFleet) -> list[str]:
    return [record["type"] for record in fleet.log.records("claims")]


def whole(prompt: str, count: int = 16) -> tuple[str, str]:
    return "".join(expected_tokens(prompt, count)), "complete"


@pytest.mark.parametrize("sent", [True, False], ids=["sent", "unsent"])
def test_killed_holder_never_books_twice(processes: ProcessFleet, sent: bool) -> None:
    """Guards against a second booking after the claim's holder was killed."""
    parts, (first, second) = processes.parts, processes.hosts
    if sent:
        for service in parts.services.values():
            service.faults["answer_delay_s"] = 1.0
    else:
        parts.log.faults["delay_s"] = 0.5
    with ThreadPoolExecutor(1) as pool:
        broken = pool.submit(swallow, post, first.callers, "k", 1, 8000)
        wait_until(lambda: claims(parts) == ["claim"])
        if sent:
            wait_until(lambda: booked(parts, "k") == 1)
        first.process.send_signal(signal.SIGKILL)
        assert broken.result() is None
    parts.log.faults["delay_s"] = 0.0
    repeat = post(second.callers, "k", 2, 1500)
    assert outcome(repeat) == (409, Outcome.MAY_HAVE_RUN)
    assert booked(parts, "k") == (1 if sent else 0)


def test_paused_holder_books_at_most_once(processes: ProcessFleet) -> None:
    """Guards against a holder that sends after a pause although others answered."""
    parts, (first, second) = processes.parts, processes.hosts
    parts.log.faults["delay_s"] = 0.3
    with ThreadPoolExecutor(1) as pool:
        paused = pool.submit(swallow, post, first.callers, "k", 1, 1200)
        wait_until(lambda: claims(parts) == ["claim"])
        first.process.send_signal(signal.SIGSTOP)
        try:
            parts.log.faults["delay_s"] = 0.0
            repeat = post(second.callers, "k", 2, 1500)
        finally:
            first.process.send_signal(signal.SIGCONT)
        late = paused.result()
    assert outcome(repeat) == (409, Outcome.MAY_HAVE_RUN)
    # The holder's deadline passed during the pause, so it must not send.
    assert booked(parts, "k") == 0 and late.status >= 400
    again = post(second.callers, "k", 3, 4000)
    assert booked(parts, "k") == (1 if again.status == 200 else 0)


def test_log_outage_stops_claims_only(fleet: SmallFleet) -> None:
    """Guards against an outage that reaches models or reverts the configuration."""
    fleet.log.faults["down"] = True
    for host_id in fleet.daemons:
        answer = fleet.complete(host_id, "anchor", stream=True)
        assert stream_text(answer.data) == whole("anchor")
        assert fleet.config_version(host_id) == 1
    refused = [book(fleet, "host-1", f"k{n}", n, deadline_ms=500) for n in (1, 2)]
    assert [outcome(r) for r in refused] == [(503, "not-run"), (503, "may-have-run")]
    assert not any(service.bookings for service in fleet.services.values())
    fleet.log.faults["down"] = False
    wait_until(lambda: outcome(book(fleet, "host-2", "k1", 2))[0] == 200)
    assert booked(fleet, "k1") == 1
    assert patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}).status == 200
    wait_until(lambda: fleet.config_version("host-2") == 2, timeout_s=5.0)


def test_slow_log_delays_claims_but_no_model(fleet: SmallFleet) -> None:
    """Guards against a slow log that slows models or doubles a booking."""
    fleet.log.faults["delay_s"] = 1.5
    with ThreadPoolExecutor(1) as pool:
        slow = pool.submit(book, fleet, "host-1", "k", 1)
        began_s = time.monotonic()
        answer = fleet.complete("host-1", "aim", stream=True)
        assert stream_text(answer.data) == whole("aim")
        assert time.monotonic() - began_s < 1.0
        told = slow.result()
    fleet.log.faults["delay_s"] = 0.0
    assert outcome(told) in ((200, "complete"), (503, "not-run"), (503, "may-have-run"))
    assert booked(fleet, "k") == (told.status == 200)


@pytest.mark.parametrize("fault", ["empty", "down", "lag_s"])
def test_host_list_fault_keeps_the_fleet(fleet: SmallFleet, fault: str) -> None:
    """Guards against an empty, unreachable or old list that empties the fleet."""
    fleet.hosts.faults[fault] = 3600.0
    seen = fleet.hosts.reads + 3 * len(fleet.daemons)
    wait_until(lambda: fleet.hosts.reads >= seen)
    for host_id in fleet.daemons:
        assert len(get(fleet, host_id, "/upstreams")["upstreams"]) == 4
        answer = fleet.complete(host_id, "nock", stream=True)
        assert stream_text(answer.data) == whole("nock")


def test_leaving_upstream_gets_nothing_new_and_finishes(fleet: SmallFleet) -> None:
    """Guards against new work after 3 s, and against cutting work in flight."""
    for engine in fleet.engines.values():
        engine.faults["token_s"] = 0.15
    with ThreadPoolExecutor(4) as pool:
        running = [
            pool.submit(fleet.complete, h, "long", max_tokens=40, stream=True)
            for h in ("host-1", "host-2") * 2
        ]
        wait_until(lambda: sum(len(e.received) for e in fleet.engines.values()) >= 8)
        gone = "engine-1" if fleet.engines["engine-1"].received else "engine-3"
        engine = fleet.engines[gone]
        for other in fleet.engines.values():
            other.faults["token_s"] = 0.05
        fleet.hosts.put({**fleet.hosts._entries[gone], "state": "leaving"})

        def marked(host_id: str) -> bool:
            shown = get(fleet, host_id, "/upstreams")["upstreams"]
            return gone in {u["upstream_id"] for u in shown if u["leaving"]}

        wait_until(lambda: all(map(marked, fleet.daemons)), timeout_s=3.0)
        before = len(engine.received)
        for number in range(10):
            for host_id in fleet.daemons:
                answer = fleet.complete(host_id, f"new {number}", max_tokens=1)
                assert answer.status == 200
        assert len(engine.received) == before
        for answer in running:
            assert stream_text(answer.result().data) == whole("long", 40)


@pytest.mark.parametrize("cut", ["log", "peers"])
def test_partitioned_host_follows_and_heals(
    fleet: SmallFleet, view: LogView, cut: str
) -> None:
    """Guards against a host that stays behind when one of its two ways is cut."""
    options = {"log_url": view.server.url}
    if cut == "peers":
        options["host_list_url"] = "http://127.0.0.1:9"
    third = fleet.add_daemon("zone-2", listed=cut == "log", **options)
    wait_until(lambda: fleet.config_version(third) == 1)
    view.faults["down"] = cut == "log"
    assert patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}).status == 200
    wait_until(lambda: fleet.config_version(third) == 2, timeout_s=5.0)
    view.faults["down"] = False
    assert patch(fleet, third, 2, {"workspaces": {"x": {}}}).status == 200
    for host_id in fleet.daemons:
        wait_until(lambda h=host_id: fleet.config_version(h) == 3, timeout_s=5.0)


def test_restarted_host_serves_the_current_version(fleet: SmallFleet) -> None:
    """Guards against a restart that is stuck or serves an older version."""
    assert patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}).status == 200
    fleet.daemons["host-2"].close()
    del fleet.daemons["host-2"]
    host_id = fleet.add_daemon("zone-2")
    assert host_id == "host-2"
    wait_until(lambda: ready(fleet, host_id), timeout_s=5.0)
    assert fleet.config_version(host_id) == 2
    wait_until(lambda: fleet.complete(host_id, "rest").status == 200)


def test_crashing_request_is_quarantined_on_both_hosts(
    processes: ProcessFleet,
) -> None:
    """Guards against a third victim, by the same host or by another one."""
    parts, addresses = processes.parts, [h.operators for h in processes.hosts]
    for engine_id in ("engine-1", "engine-3"):
        parts.hosts.remove(engine_id)
    for number in range(4):
        address = processes.group.start_standin("engine", "--layers", "0", "4")
        faults = {"crash_on": "poison"}
        HTTP.request("POST", f"http://{address}/faults", json=faults)
        entry = {"id": f"fragile-{number}", "kind": "engine", "address": address}
        layers = {"start": 0, "stop": 4}
        zone = {"availability_zone": "zone-1", "model": MODEL, "layers": layers}
        parts.hosts.put({**entry, **zone})
    engines = processes.group._processes[-4:]

    def shown(address: str, path: str) -> list[Any]:
        found = HTTP.request("GET", f"http://{address}{path}").json()[path[1:]]
        assert isinstance(found, list)
        return found

    def digests(address: str) -> list[str]:
        entries = shown(address, "/quarantine")
        return [e["digest"] for e in entries if e["state"] == "quarantined"]

    def send(host: Any) -> Any:
        return json.loads(_send(host.callers, "poison pill").data)["error"]

    fragile = {f"fragile-{number}" for number in range(4)}
    for address in addresses:
        wait_until(
            lambda a=address: (
                {u["upstream_id"] for u in shown(a, "/upstreams")} >= fragile
            )
        )
    first, second = processes.hosts
    assert send(first)["code"] == "quarantined"
    wait_until(lambda: all(len(digests(a)) == 1 for a in addresses), timeout_s=5.0)
    assert (send(second)["code"], send(first)["code"]) == ("quarantined",) * 2
    assert sum(engine.poll() is not None for engine in engines) == 2
    (digest,) = digests(addresses[0])
    HTTP.request("POST", f"http://{addresses[1]}/quarantine", json={"clear": digest})
    wait_until(lambda: not any(map(digests, addresses)), timeout_s=5.0)


def _send(address: str, prompt: str) -> urllib3.BaseHTTPResponse:
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
def test_faulty_stages_leave_answers_whole(
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
        assert stream_text(answer.data) == whole(prompt)


def test_caller_that_leaves_cancels_its_attempt(fleet: SmallFleet) -> None:
    """Guards against engines that generate for a caller who is gone."""
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
    """Guards against least urgent requests that hold every thread of a host."""
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
        unfinished = sum(not each.done() for each in flood)
        statuses = {each.result() for each in flood}
    assert stream_text(answer.data) == whole("urgent", 4)
    assert unfinished and statuses == {200, 429}
