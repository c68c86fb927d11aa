"""Check configuration and membership over real daemons and stand-ins."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
import urllib3

from standins.hosts import HostDirectory
from standins.log import Log
from tests.fleet import SmallFleet, wait_until


class LogView(Log):
    """Serve another log's records on an address with faults of its own."""

    def __init__(self, log: Log) -> None:
        super().__init__()
        self._topics, self._first_offsets = log._topics, log._first_offsets
        self._changed = log._changed


@pytest.fixture
def view(fleet: SmallFleet) -> Iterator[LogView]:
    """Provide a second way to the fleet's log."""
    log_view = LogView(fleet.log)
    log_view.start()
    yield log_view
    log_view.close()


def patch(
    fleet: SmallFleet, host_id: str, base: int, merge: dict[str, Any], name: str = ""
) -> urllib3.BaseHTTPResponse:
    url = f"http://{fleet.daemons[host_id].operator_address}/config"
    document = {"base_version": base, "merge": merge}
    return fleet.http.request(
        "POST", url, json={**document, "id": name} if name else document
    )


def get(fleet: SmallFleet, host_id: str, path: str) -> Any:
    address = fleet.daemons[host_id].operator_address
    return fleet.http.request("GET", f"http://{address}{path}").json()


def ready(fleet: SmallFleet, host_id: str) -> bool:
    address = fleet.daemons[host_id].operator_address
    return fleet.http.request("GET", f"http://{address}/readyz").status == 200


def test_host_cut_off_from_the_log_follows_its_peers(
    fleet: SmallFleet, view: LogView
) -> None:
    """Guards against a host that starts or stays behind during a log outage."""
    view.faults["down"] = True
    third = fleet.add_daemon("zone-2", log_url=view.server.url)
    wait_until(lambda: ready(fleet, third))
    assert fleet.config_version(third) == 1
    assert patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}).status == 200
    wait_until(lambda: fleet.config_version(third) == 2)
    everywhere = {"host-1": 2, "host-2": 2, third: 2}
    wait_until(lambda: get(fleet, third, "/config")["in_force"] == everywhere)
    refused = patch(fleet, third, 2, {"workspaces": {"x": {}}})
    assert refused.status == 503
    assert refused.headers["Persimmonwell-Outcome"] == "may-have-run"


def test_outage_for_all_leaves_control_running(fleet: SmallFleet) -> None:
    """Guards against control that stops, or readiness without a configuration."""
    fleet.log.faults["down"] = True
    alone = fleet.add_daemon("zone-1", listed=False, host_list_url="http://127.0.0.1:9")
    assert not ready(fleet, alone)
    assert fleet.complete("host-1", "stance").status == 200
    fleet.hosts.remove("engine-1")
    wait_until(lambda: len(get(fleet, "host-1", "/upstreams")["upstreams"]) == 3)
    assert ready(fleet, "host-1") and not ready(fleet, alone)
    fleet.log.faults["down"] = False
    wait_until(lambda: ready(fleet, alone))


def test_two_operators_race_and_one_wins(fleet: SmallFleet) -> None:
    """Guards against two patches on one base version that both succeed."""
    with ThreadPoolExecutor(2) as pool:
        for base in range(1, 6):
            futures = [
                pool.submit(patch, fleet, host, base, {"services": {host: {}}})
                for host in ("host-1", "host-2")
            ]
            answers = [future.result() for future in futures]
            assert sorted(a.status for a in answers) == [200, 409]
    wait_until(lambda: fleet.config_version("host-2") == 6)
    documents = [get(fleet, h, "/config")["document"] for h in ("host-1", "host-2")]
    assert documents[0] == documents[1]


def test_lost_append_answer_counts_once(fleet: SmallFleet) -> None:
    """Guards against a patch applied twice because its answer was lost."""
    fleet.log.faults["lose_answers"] = 2
    answer = patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}, name="once")
    assert (answer.status, answer.json()["version"]) == (200, 2)
    repeated = patch(fleet, "host-2", 1, {"workspaces": {"w": {}}}, name="once")
    assert (repeated.status, repeated.json()["version"]) == (200, 2)


def test_late_start_from_a_snapshot_after_retention(fleet: SmallFleet) -> None:
    """Guards against a late host that cannot start or folds over a gap."""

    def snapshots() -> list[int]:
        records = fleet.log.records("config")
        return [n for n, r in enumerate(records) if r["type"] == "snapshot"]

    for base in (1, 2):
        patch(fleet, "host-1", base, {"workspaces": {f"w{base}": {}}})
    fleet.log.truncate("config", 1)
    wait_until(lambda: len(snapshots()) == 1)
    fleet.log.truncate("config", snapshots()[0])
    patch(fleet, "host-2", 3, {"workspaces": {"w3": {}}})
    late = fleet.add_daemon("zone-1", listed=False, host_list_url="http://127.0.0.1:9")
    wait_until(lambda: ready(fleet, late))
    assert get(fleet, late, "/hosts")["hosts"][0]["host_id"] == late
    wait_until(lambda: fleet.config_version(late) == 4)
    shown = [get(fleet, h, "/config")["document"] for h in ("host-1", late)]
    assert shown[0] == shown[1]
    assert len(snapshots()) == 1


def test_leaving_upstream_seen_by_one_host_only(fleet: SmallFleet) -> None:
    """Guards against new work on a host whose list lags behind a peer's."""
    lagging = HostDirectory()
    lagging.start()
    for entry in list(fleet.hosts._entries.values()):
        lagging.put(entry)
    third = fleet.add_daemon("zone-2", host_list_url=lagging.server.url)
    wait_until(lambda: ready(fleet, third))
    wait_until(lambda: len(get(fleet, third, "/upstreams")["upstreams"]) == 4)
    gone = {**fleet.hosts._entries["engine-1"], "state": "leaving"}
    fleet.hosts.put(gone)

    def leaving() -> bool:
        shown = get(fleet, third, "/upstreams")["upstreams"]
        return [u["upstream_id"] for u in shown if u["leaving"]] == ["engine-1"]

    wait_until(leaving, timeout_s=3.0)
    lagging.close()


@pytest.mark.parametrize(
    "body",
    [
        "{",
        "[]",
        '{"base_version": 1, "merge": {"x": 1e999}}',
        '{"base_version": 1, "merge": {"x": "\\ud800"}}',
        "[" * 100_000,
    ],
)
def test_patch_that_is_no_json_is_refused(fleet: SmallFleet, body: str) -> None:
    """Guards against a patch that the log would store with another meaning."""
    url = f"http://{fleet.daemons['host-1'].operator_address}/config"
    answer = fleet.http.request("POST", url, body=body)
    assert answer.status == 400
    assert len(fleet.log.records("config")) == 1
