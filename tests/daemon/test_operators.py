"""Check the operators' port over real daemons."""

import json
import threading
from pathlib import Path
from typing import Any

import pytest
import urllib3

from persimmonwell._exceptions import BadRequestError, NotFoundError
from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core.config import LogRecord
from persimmonwell.core.timeline import EventFilter
from persimmonwell.daemon import Daemon
from persimmonwell.daemon._config_history import ConfigHistory
from persimmonwell.daemon._host_watch import host_watch
from persimmonwell.daemon._operator_routes import Route
from persimmonwell.daemon._state_routes import (
    ClaimStatus,
    LimitStatus,
    QuarantineEntry,
    claims_routes,
    limits_routes,
    quarantine_routes,
)
from persimmonwell.daemon._view_routes import read_timeline_query
from persimmonwell.front import HttpRequest
from persimmonwell.observe import Recorder
from persimmonwell.settings import parse_settings
from tests.fleet import MODEL, SmallFleet, wait_until
from tests.tls import write_certificate

OPERATOR_PATHS = (
    *("/config", "/config/history", "/hosts", "/upstreams", "/drain"),
    *("/timeline", "/metrics"),
)


def ask(fleet: SmallFleet, path: str, **options: Any) -> urllib3.BaseHTTPResponse:
    """Call the operators' port of the first host."""
    address = fleet.daemons["host-1"].operator_address
    method = "POST" if "json" in options else "GET"
    return fleet.http.request(method, f"http://{address}{path}", **options)


def test_timeline_and_metrics_tell_a_request(fleet: SmallFleet) -> None:
    """Guards against a request whose course operators cannot see."""
    secret = "a prompt that nobody else may read"
    for engine_id in ("engine-1", "engine-3"):
        fleet.engines[engine_id].faults["fail_at"] = 5
    third = fleet.add_engine("zone-1", (0, 4))
    listed = "/upstreams"
    wait_until(lambda: third in ask(fleet, listed).data.decode())
    answers = [fleet.complete("host-1", secret) for _ in range(6)]
    ids = [answer.headers["Persimmonwell-Request-Id"] for answer in answers]

    def kinds(query: str) -> list[str]:
        events = ask(fleet, f"/timeline?{query}").json()["events"]
        return [event["kind"] for event in events]

    wait_until(lambda: all("finished" in kinds(f"request={i}") for i in ids))
    resumed = [kinds(f"request={i}") for i in ids]
    start = ["received", "admitted", "dispatched", "first-token"]
    again = ["resumed", "dispatched", "first-token"]
    assert [*start, *again, "finished"] in resumed
    assert all(course[:4] == start for course in resumed)
    assert kinds("workspace=range-b") == []
    assert "dispatched" in kinds(f"upstream={third}")
    assert "config-in-force" in kinds("limit=9999")
    assert kinds("until_s=1") == []
    text = ask(fleet, "/metrics").data.decode()
    assert 'outcome="complete",rank="urgent"} 6' in text
    assert 'persimmonwell_first_token_seconds_count{rank="urgent"} 6' in text
    assert 'persimmonwell_inter_token_seconds_count{rank="urgent"} 90' in text
    assert 'persimmonwell_resumes_total{rank="urgent"}' in text
    assert 'persimmonwell_in_flight_requests{rank="urgent"} 0' in text
    assert 'persimmonwell_queued_requests{rank="urgent"} 0' in text
    assert "persimmonwell_config_version 1" in text
    assert secret not in text + ask(fleet, "/timeline").data.decode()


def test_refusals_and_outages_are_counted(fleet: SmallFleet) -> None:
    """Guards against refusals and log outages that no metric shows."""
    fleet.call("host-1", "/v1/completions", {"model": MODEL})
    fleet.log.faults["down"] = True
    failures = 'persimmonwell_platform_failures_total{service="log"}'
    wait_until(lambda: failures in ask(fleet, "/metrics").data.decode())
    fleet.log.faults["down"] = False
    text = ask(fleet, "/metrics").data.decode()
    assert 'persimmonwell_refusals_total{reason="bad_request"} 1' in text


def test_host_drain_is_unready_and_finishes(fleet: SmallFleet) -> None:
    """Guards against a drain that breaks a request in flight or cannot be undone."""
    for engine in fleet.engines.values():
        engine.faults["token_s"] = 0.05
    answers: list[urllib3.BaseHTTPResponse] = []
    call = threading.Thread(
        target=lambda: answers.append(fleet.complete("host-1", "long answer"))
    )
    call.start()
    wait_until(lambda: ask(fleet, "/drain").json()["in_flight"] == 1)
    assert ask(fleet, "/drain", json={"drained": True}).json()["drained"] is True
    ready = ask(fleet, "/readyz")
    assert (ready.status, ready.json()["status"]) == (503, "draining")
    call.join()
    assert answers[0].headers["Persimmonwell-Outcome"] == "complete"
    wait_until(lambda: ask(fleet, "/drain").json()["in_flight"] == 0)
    ask(fleet, "/drain", json={"drained": False})
    assert ask(fleet, "/readyz").status == 200
    assert ask(fleet, "/drain", json={"drained": "yes"}).status == 400


def test_drained_replica_gets_no_calls(fleet: SmallFleet) -> None:
    """Guards against a drain that takes no effect on plain services."""
    merge = {"upstreams": {"booking-1": {"drained": True}}}
    assert ask(fleet, "/config", json={"base_version": 1, "merge": merge}).status == 200
    for lane in range(8):
        assert fleet.call("host-1", "/services/booking/lanes", {"lane": lane}).status
    assert len(fleet.services["booking-1"].bookings) == 0
    assert len(fleet.services["booking-2"].bookings) == 8
    listed = ask(fleet, "/upstreams").json()["replicas"]
    assert {r["replica_id"]: r["drained"] for r in listed} == {
        "booking-1": True,
        "booking-2": False,
    }


def test_history_names_changes_without_values(fleet: SmallFleet) -> None:
    """Guards against a history that hides a conflict or shows a workspace key."""
    merge = {"workspaces": {"range-c": {"key": "secret-key"}}}
    for author in ("first", "second"):
        document = {"base_version": 1, "merge": merge, "author": author}
        ask(fleet, "/config", json=document)
    answer = ask(fleet, "/config/history")
    patches = answer.json()["patches"]
    assert [(p["author"], p["result"], p["version"]) for p in patches] == [
        ("test", "accepted", 1),
        ("first", "accepted", 2),
        ("second", "conflict with version 2", None),
    ]
    assert patches[1]["changed"] == ["/workspaces/range-c/key"]
    assert "secret-key" not in answer.data.decode()


def test_operator_routes_need_the_token_and_their_port(tmp_path: Path) -> None:
    """Guards against open operator routes, also with TLS on both ports."""
    certificate, key = write_certificate(tmp_path)
    fleet = SmallFleet()
    fleet.log.start()
    fleet.hosts.start()
    document = fleet.settings_document("zone-1", "host-1")
    tls = {"certificate": certificate, "key": key}
    document["operators"].update(token="token-1", tls=tls)
    document["callers"].update(tls=tls)
    daemon = Daemon(parse_settings(document), seed=1)
    daemon.start()
    trusting = urllib3.PoolManager(ca_certs=certificate, retries=False)

    def status(address: str, path: str, token: str) -> int:
        headers = {"Authorization": f"Bearer {token}"}
        url = f"https://{address}{path}"
        return trusting.request("GET", url, headers=headers).status

    try:
        for path in OPERATOR_PATHS:
            assert status(daemon.operator_address, path, "token-1") == 200, path
            assert status(daemon.operator_address, path, "token-2") == 401, path
            assert status(daemon.caller_address, path, "token-1") in (404, 503), path
        assert status(daemon.operator_address, "/healthz", "") == 200
        assert status(daemon.operator_address, "/limits", "token-1") == 404
    finally:
        daemon.close()
        fleet.close()


class _Quarantine:
    def __init__(self) -> None:
        self.digests = {"d1"}

    def entries(self) -> tuple[QuarantineEntry, ...]:
        return tuple(QuarantineEntry(d, "quarantined", ()) for d in self.digests)

    def clear(self, digest: str) -> bool:
        known = digest in self.digests
        self.digests.discard(digest)
        return known


def _find(workspace: str, service: str, key: str) -> ClaimStatus | None:
    known = (workspace, service, key) == ("räume", "booking", "a/b")
    return ClaimStatus("answered", "host-2", 7, 200) if known else None


def _call(routes: tuple[Route, ...], method: str, path: str, body: Any = None) -> Any:
    data = json.dumps(body).encode()
    wire_path = path.encode().decode("latin-1")
    http = HttpRequest(method, wire_path, "", {}, data)
    (route,) = [route for route in routes if route.matches(http)]
    return json.loads(b"".join(route.handler(http).body))


def test_state_routes_pass_on_what_their_ports_say() -> None:
    """Guards against a claim, limit or quarantine shown for another name."""
    quarantine = quarantine_routes(host_id="h", quarantine=_Quarantine())
    assert _call(quarantine, "GET", "/quarantine")["quarantine"][0]["digest"] == "d1"
    cleared = _call(quarantine, "POST", "/quarantine", {"clear": "d1"})
    assert cleared["cleared"] == "d1"
    for body, error in (({"clear": "d1"}, NotFoundError), ({}, BadRequestError)):
        with pytest.raises(error):
            _call(quarantine, "POST", "/quarantine", body)
    claims = claims_routes(host_id="h", find=_find)
    found = _call(claims, "GET", "/claims/räume/booking/a/b")
    assert (found["key"], found["offset"]) == ("a/b", 7)
    for path, error in (
        ("/claims/x/booking/k", NotFoundError),
        ("/claims/x/booking", BadRequestError),
        ("/claims/x//k", BadRequestError),
    ):
        with pytest.raises(error):
            _call(claims, "GET", path)
    status = LimitStatus("range-a", 100.0, 25.0, None, None, 3)
    limits = limits_routes(host_id="h", read=lambda: (status,))
    assert _call(limits, "GET", "/limits")["limits"][0]["host_tokens_per_s"] == 25.0


@pytest.mark.parametrize(
    "query", ["limit=0", "limit=x", "limit=", "since_s=nan", "until_s=x", "user=1"]
)
def test_bad_timeline_query_is_refused(query: str) -> None:
    """Guards against a typing error that silently widens the answer."""
    with pytest.raises(BadRequestError):
        read_timeline_query(query)


def test_hosts_that_left_are_recorded() -> None:
    """Guards against an empty host list that is taken for every host leaving."""
    recorder = Recorder(host_id="host-1", capacity=10)
    read = host_watch(recorder)
    two = tuple(EntryHost(f"host-{n}", "127.0.0.1:1", "zone-1") for n in (1, 2))
    for hosts in (two, (), two[:1], two[:1]):
        read(HostList(as_of_s=0.0, entry_hosts=hosts))
    events = recorder.read(EventFilter(), limit=10).events
    assert [(e.kind.value, e.detail) for e in events] == [("host-left", "host-2")]


def test_history_is_bounded_and_passes_over_other_records() -> None:
    """Guards against unbounded memory and a crash on a malformed record."""
    history = ConfigHistory()
    good = {"id": "p", "base_version": 0, "merge": {"a/b": {"c": {"d": {"e": 1}}}}}
    records = [{"type": "snapshot"}, {"id": 1, "base_version": "x"}, good, good]
    many = [{"id": f"p{n}", "base_version": 0, "merge": None} for n in range(600)]
    history.note(tuple(LogRecord(n, data) for n, data in enumerate(records)))
    (patch,) = history.patches()
    assert (patch.offset, patch.changed) == (2, ("/a~1b/c/d",))
    history.note(tuple(LogRecord(n, data) for n, data in enumerate(many)))
    assert len(history.patches()) == 500
