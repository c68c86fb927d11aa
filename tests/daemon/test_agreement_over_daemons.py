"""Tests of configuration and membership with real daemons and stand-ins."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
import urllib3

from standins.hosts import HostDirectory
from standins.log import Log
from tests.fleet import SmallFleet, wait_until


class LogView(Log):
    """Server of another log's records, with its own address and faults."""

    def __init__(self, log: Log) -> None:
        super().__init__()
        self._topics, self._first_offsets = log._topics, log._first_offsets
        self._changed = log._changed


@pytest.fixture
def log_view(fleet: SmallFleet) -> Iterator[LogView]:
    """Provide a second address of the fleet's log, which can fail separately."""
    second_log = LogView(fleet.log)
    second_log.start()
    yield second_log
    second_log.close()


def post_patch(
    fleet: SmallFleet,
    host_id: str,
    base_version: int,
    merge: dict[str, Any],
    patch_id: str = "",
) -> urllib3.BaseHTTPResponse:
    url = f"http://{fleet.daemons[host_id].operator_address}/config"
    document = {"base_version": base_version, "merge": merge}
    return fleet.http.request(
        "POST", url, json={**document, "id": patch_id} if patch_id else document
    )


def get_json(fleet: SmallFleet, host_id: str, path: str) -> Any:
    address = fleet.daemons[host_id].operator_address
    return fleet.http.request("GET", f"http://{address}{path}").json()


def is_ready(fleet: SmallFleet, host_id: str) -> bool:
    address = fleet.daemons[host_id].operator_address
    return fleet.http.request("GET", f"http://{address}/readyz").status == 200


def test_host_cut_off_from_the_log_follows_its_peers(
    fleet: SmallFleet, log_view: LogView
) -> None:
    """Guards against a host that lags behind the fleet while it cannot read the log."""
    log_view.faults["down"] = True
    third_host = fleet.add_daemon("zone-2", log_url=log_view.server.url)
    wait_until(lambda: is_ready(fleet, third_host))
    assert fleet.config_version(third_host) == 1
    assert post_patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}).status == 200
    wait_until(lambda: fleet.config_version(third_host) == 2)
    expected_versions = {"host-1": 2, "host-2": 2, third_host: 2}
    wait_until(
        lambda: get_json(fleet, third_host, "/config")["in_force"] == expected_versions
    )
    rejected = post_patch(fleet, third_host, 2, {"workspaces": {"x": {}}})
    assert rejected.status == 503
    assert rejected.headers["Persimmonwell-Outcome"] == "may-have-run"


def test_log_outage_for_all_hosts_leaves_control_running(fleet: SmallFleet) -> None:
    """Guards against control that stops, or a host that is ready unconfigured."""
    fleet.log.faults["down"] = True
    unlisted_host = fleet.add_daemon(
        "zone-1", listed=False, host_list_url="http://127.0.0.1:9"
    )
    assert not is_ready(fleet, unlisted_host)
    assert fleet.complete("host-1", "stance").status == 200
    fleet.hosts.remove("engine-1")
    wait_until(lambda: len(get_json(fleet, "host-1", "/upstreams")["upstreams"]) == 3)
    assert is_ready(fleet, "host-1") and not is_ready(fleet, unlisted_host)
    fleet.log.faults["down"] = False
    wait_until(lambda: is_ready(fleet, unlisted_host))


def test_only_one_of_two_concurrent_patches_is_accepted(fleet: SmallFleet) -> None:
    """Guards against two patches on one base version that both succeed."""
    with ThreadPoolExecutor(2) as pool:
        for base_version in range(1, 6):
            futures = [
                pool.submit(
                    post_patch, fleet, host, base_version, {"services": {host: {}}}
                )
                for host in ("host-1", "host-2")
            ]
            answers = [future.result() for future in futures]
            assert sorted(a.status for a in answers) == [200, 409]
    wait_until(lambda: fleet.config_version("host-2") == 6)
    documents = [
        get_json(fleet, h, "/config")["document"] for h in ("host-1", "host-2")
    ]
    assert documents[0] == documents[1]


def test_patch_whose_append_answer_is_lost_is_applied_once(fleet: SmallFleet) -> None:
    """Guards against a patch applied twice because its answer was lost."""
    fleet.log.faults["lose_answers"] = 2
    answer = post_patch(fleet, "host-1", 1, {"workspaces": {"w": {}}}, patch_id="once")
    assert (answer.status, answer.json()["version"]) == (200, 2)
    repeated = post_patch(
        fleet, "host-2", 1, {"workspaces": {"w": {}}}, patch_id="once"
    )
    assert (repeated.status, repeated.json()["version"]) == (200, 2)


def test_host_starts_from_a_snapshot_after_retention(fleet: SmallFleet) -> None:
    """Guards against a late host that cannot start, or that folds past a gap."""

    def snapshots() -> list[int]:
        records = fleet.log.records("config")
        return [n for n, r in enumerate(records) if r["type"] == "snapshot"]

    for base_version in (1, 2):
        post_patch(
            fleet, "host-1", base_version, {"workspaces": {f"w{base_version}": {}}}
        )
    fleet.log.truncate("config", 1)
    wait_until(lambda: len(snapshots()) == 1)
    fleet.log.truncate("config", snapshots()[0])
    post_patch(fleet, "host-2", 3, {"workspaces": {"w3": {}}})
    late_host = fleet.add_daemon(
        "zone-1", listed=False, host_list_url="http://127.0.0.1:9"
    )
    wait_until(lambda: is_ready(fleet, late_host))
    assert get_json(fleet, late_host, "/hosts")["hosts"][0]["host_id"] == late_host
    wait_until(lambda: fleet.config_version(late_host) == 4)
    documents = [
        get_json(fleet, h, "/config")["document"] for h in ("host-1", late_host)
    ]
    assert documents[0] == documents[1]
    assert len(snapshots()) == 1


def test_leaving_upstream_reaches_a_host_with_a_stale_list(fleet: SmallFleet) -> None:
    """Guards against new work sent by a host whose host list is out of date."""
    stale_list = HostDirectory()
    stale_list.start()
    for entry in list(fleet.hosts._entries.values()):
        stale_list.put(entry)
    third_host = fleet.add_daemon("zone-2", host_list_url=stale_list.server.url)
    wait_until(lambda: is_ready(fleet, third_host))
    wait_until(lambda: len(get_json(fleet, third_host, "/upstreams")["upstreams"]) == 4)
    leaving_entry = {**fleet.hosts._entries["engine-1"], "state": "leaving"}
    fleet.hosts.put(leaving_entry)

    def is_marked_leaving() -> bool:
        listed = get_json(fleet, third_host, "/upstreams")["upstreams"]
        return [u["upstream_id"] for u in listed if u["leaving"]] == ["engine-1"]

    wait_until(is_marked_leaving, timeout_s=3.0)
    stale_list.close()


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
def test_patch_with_invalid_json_is_rejected(fleet: SmallFleet, body: str) -> None:
    """Guards against a patch that the log would store with a different meaning."""
    url = f"http://{fleet.daemons['host-1'].operator_address}/config"
    answer = fleet.http.request("POST", url, body=body)
    assert answer.status == 400
    assert len(fleet.log.records("config")) == 1
