"""Tests of the operators' port with real daemons."""

import threading
from typing import Any

import pytest
import urllib3

from persimmonwell._exceptions import BadRequestError
from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core.timeline import EventFilter
from persimmonwell.daemon._host_watch import host_departure_recorder
from persimmonwell.daemon._view_routes import parse_timeline_query
from persimmonwell.observe import Recorder
from tests.fleet import MODEL, SmallFleet, wait_until


def call_operators_port(
    fleet: SmallFleet, path: str, **options: Any
) -> urllib3.BaseHTTPResponse:
    """Call the operators' port of the first host."""
    address = fleet.daemons["host-1"].operator_address
    method = "POST" if "json" in options else "GET"
    return fleet.http.request(method, f"http://{address}{path}", **options)


def test_refusals_and_outages_are_counted(fleet: SmallFleet) -> None:
    """Guards against refusals and log outages that no metric counts."""
    fleet.call("host-1", "/v1/completions", {"model": MODEL})
    fleet.log.faults["down"] = True
    failures = 'persimmonwell_platform_failures_total{service="log"}'
    wait_until(lambda: failures in call_operators_port(fleet, "/metrics").data.decode())
    fleet.log.faults["down"] = False
    text = call_operators_port(fleet, "/metrics").data.decode()
    assert 'persimmonwell_refusals_total{reason="bad_request"} 1' in text


def test_host_drain_is_unready_and_finishes(fleet: SmallFleet) -> None:
    """Guards against a drain that breaks a request in flight or cannot be undone."""
    for engine in fleet.engines.values():
        engine.faults["token_s"] = 0.05
    answers: list[urllib3.BaseHTTPResponse] = []
    caller_thread = threading.Thread(
        target=lambda: answers.append(fleet.complete("host-1", "long answer"))
    )
    caller_thread.start()
    wait_until(lambda: call_operators_port(fleet, "/drain").json()["in_flight"] == 1)
    assert (
        call_operators_port(fleet, "/drain", json={"drained": True}).json()["drained"]
        is True
    )
    ready = call_operators_port(fleet, "/readyz")
    assert (ready.status, ready.json()["status"]) == (503, "draining")
    caller_thread.join()
    assert answers[0].headers["Persimmonwell-Outcome"] == "complete"
    wait_until(lambda: call_operators_port(fleet, "/drain").json()["in_flight"] == 0)
    call_operators_port(fleet, "/drain", json={"drained": False})
    assert call_operators_port(fleet, "/readyz").status == 200
    assert call_operators_port(fleet, "/drain", json={"drained": "yes"}).status == 400


def test_bad_timeline_query_is_refused() -> None:
    """Guards against a mistyped filter that is ignored and widens the answer."""
    for query in "limit=0 limit=x limit= since_s=nan until_s=x user=1".split():
        with pytest.raises(BadRequestError):
            parse_timeline_query(query)


def test_hosts_that_left_are_recorded() -> None:
    """Guards against an empty host list taken as the departure of every host."""
    recorder = Recorder(host_id="host-1", capacity=10)
    apply_host_list = host_departure_recorder(recorder)
    both_hosts = tuple(EntryHost(f"host-{n}", "127.0.0.1:1", "zone-1") for n in (1, 2))
    for hosts in (both_hosts, (), both_hosts[:1], both_hosts[:1]):
        apply_host_list(HostList(as_of_s=0.0, entry_hosts=hosts))
    events = recorder.read(EventFilter(), limit=10).events
    assert [(e.kind.value, e.detail) for e in events] == [("host-left", "host-2")]
