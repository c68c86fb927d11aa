"""Fixtures: the command-line tool, and a fleet on the platform's host list."""

import pytest

from tests.cli.tool import Tool, list_entry_host
from tests.fleet import SmallFleet, wait_until


@pytest.fixture
def tool(capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch) -> Tool:
    monkeypatch.delenv("PERSIMMONWELL_HOST", raising=False)
    monkeypatch.delenv("PERSIMMONWELL_TOKEN", raising=False)
    return Tool(capsys)


@pytest.fixture
def listed_fleet(fleet: SmallFleet) -> SmallFleet:
    for host_id, daemon in fleet.daemons.items():
        list_entry_host(fleet, host_id, daemon.operator_address)
    wait_until(lambda: all(count_known_hosts(fleet, h) == 2 for h in fleet.daemons))
    return fleet


def count_known_hosts(fleet: SmallFleet, host_id: str) -> int:
    url = f"http://{fleet.daemons[host_id].operator_address}/hosts"
    return len(fleet.http.request("GET", url).json()["hosts"])
