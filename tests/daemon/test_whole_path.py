"""End-to-end tests of requests and patches with real daemons and stand-ins."""

import pytest

from standins.engine import expected_tokens
from tests.fleet import LAYERS, MODEL, SmallFleet, parse_streamed_answer, wait_until


@pytest.mark.parametrize("stream", [False, True])
def test_answer_is_complete(fleet: SmallFleet, stream: bool) -> None:
    """Guards against lost, repeated or reordered tokens without any failure."""
    response = fleet.complete("host-1", "release timing", stream=stream)
    expected = "".join(expected_tokens("release timing", 16))
    assert response.status == 200
    if stream:
        assert parse_streamed_answer(response.data) == (expected, "complete")
    else:
        assert response.json()["choices"][0]["text"] == expected
        assert response.headers["Persimmonwell-Outcome"] == "complete"


def test_failed_stage_resumes_without_gap(fleet: SmallFleet) -> None:
    """Guards against lost or repeated tokens when a stage fails during an answer."""
    for engine_id in ("engine-1", "engine-3"):
        fleet.engines[engine_id].faults["fail_at"] = 5
    new_engine = fleet.add_engine("zone-1", (0, LAYERS // 2))
    wait_until(lambda: _lists_upstream(fleet, new_engine))
    for _ in range(6):
        response = fleet.complete("host-1", "bow hand", stream=True)
        text, outcome = parse_streamed_answer(response.data)
        assert (text, outcome) == ("".join(expected_tokens("bow hand", 16)), "complete")


def _lists_upstream(fleet: SmallFleet, engine_id: str) -> bool:
    address = fleet.daemons["host-1"].operator_address
    listed = fleet.http.request("GET", f"http://{address}/upstreams").json()
    return engine_id in {u["upstream_id"] for u in listed["upstreams"]}


def test_booking_is_dispatched_once(fleet: SmallFleet) -> None:
    """Guards against a booking that is dispatched more than once."""
    response = fleet.call("host-1", "/services/booking/lanes", {"lane": 3})
    assert response.status == 200
    booking_count = sum(len(service.bookings) for service in fleet.services.values())
    assert booking_count == 1


def test_call_with_a_lost_answer_is_not_retried(fleet: SmallFleet) -> None:
    """Guards against a retry of a call whose effect may have taken place."""
    for service in fleet.services.values():
        service.faults["lose_answers"] = 1
    response = fleet.call("host-1", "/services/booking/lanes", {"lane": 3})
    assert response.status == 502
    assert response.headers["Persimmonwell-Outcome"] == "may-have-run"
    booking_count = sum(len(service.bookings) for service in fleet.services.values())
    assert booking_count == 1


@pytest.mark.parametrize(
    ("path", "document", "headers", "status"),
    [
        ("/v1/completions", {"model": MODEL}, {}, 400),
        ("/v1/completions", {"model": "none", "prompt": "x"}, {}, 404),
        (
            "/v1/completions",
            {"model": MODEL, "prompt": "x"},
            {"Persimmonwell-Rank": "?"},
            400,
        ),
        ("/services/none/x", {}, {}, 404),
        ("/nowhere", {}, {}, 404),
    ],
)
def test_bad_input_is_rejected_before_dispatch(
    fleet: SmallFleet,
    path: str,
    document: dict[str, object],
    headers: dict[str, str],
    status: int,
) -> None:
    """Guards against bad input that reaches an upstream."""
    response = fleet.call("host-1", path, document, headers=headers)
    assert response.status == status
    assert response.json()["error"]["outcome"] == "not-run"
    assert not any(engine.received for engine in fleet.engines.values())


def test_first_patch_is_in_force_everywhere_and_second_conflicts(
    fleet: SmallFleet,
) -> None:
    """Guards against two patches on one base version both taking effect."""
    address = fleet.daemons["host-1"].operator_address
    patch = {"base_version": 1, "merge": {"workspaces": {"range-c": {}}}}
    url = f"http://{address}/config"
    first = fleet.http.request("POST", url, json=patch)
    second = fleet.http.request("POST", url, json=patch)
    assert (first.status, first.json()["version"]) == (200, 2)
    assert (second.status, second.json()["error"]["current_version"]) == (409, 2)
    wait_until(lambda: fleet.config_version("host-2") == 2)
