"""Tests of entry hosts as separate processes under SIGTERM and SIGKILL."""

import json
import signal
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3

from standins.engine import Engine, expected_tokens
from standins.processes import HostProcess, ProcessGroup, wait_for
from tests.fleet import MODEL, SmallFleet, parse_streamed_answer

TOKENS = 60
HTTP = urllib3.PoolManager(maxsize=32, retries=False)


class ProcessFleet:
    """Fleet with stand-ins in this process and entry hosts as child processes."""

    def __init__(self, folder: Path) -> None:
        self.standins = SmallFleet(token_s=0.01)
        self.group = ProcessGroup()
        self.hosts: list[HostProcess] = []
        self._folder = folder

    def start(self) -> None:
        """Start the stand-ins and a host in each zone; wait until hosts are ready."""
        self.standins.start_standins()
        for number, zone in enumerate(("zone-1", "zone-2"), start=1):
            settings = self.standins.settings_document(zone, f"host-{number}")
            host = self.group.start_host(settings, self._folder)
            self.hosts.append(host)
            self.standins.list_entry_host(
                f"host-{number}", zone, host.peers or host.operators, host.operators
            )
        self.standins.publish_base()
        for host in self.hosts:
            url = f"http://{host.operators}/readyz"
            wait_for(lambda url=url: HTTP.request("GET", url).status == 200, "ready")
            url = f"http://{host.operators}/config"
            wait_for(
                lambda url=url: HTTP.request("GET", url).json()["version"], "version"
            )

    def close(self) -> None:
        """Stop everything."""
        self.group.close()
        self.standins.close()


@pytest.fixture
def process_fleet(tmp_path: Path) -> Iterator[ProcessFleet]:
    fleet = ProcessFleet(tmp_path)
    fleet.start()
    yield fleet
    fleet.close()


def _stream_completion(address: str, prompt: str) -> urllib3.BaseHTTPResponse:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    return HTTP.request(
        "POST",
        f"http://{address}/v1/completions",
        body=json.dumps(body),
        headers={"Persimmonwell-Workspace": "range-a", "Persimmonwell-Rank": "urgent"},
    )


def _are_running(engines: dict[str, Engine], count: int) -> bool:
    return sum(len(engine.received) for engine in engines.values()) >= 2 * count


def test_sigterm_under_load_finishes_requests_in_flight(
    process_fleet: ProcessFleet,
) -> None:
    """Guards against a graceful shutdown that interrupts a request in flight."""
    host = process_fleet.hosts[0]
    answers: dict[str, Any] = {}

    def call(prompt: str) -> None:
        answers[prompt] = _stream_completion(host.callers, prompt)

    prompts = [f"prompt {number}" for number in range(12)]
    threads = [threading.Thread(target=call, args=(p,)) for p in prompts]
    for thread in threads:
        thread.start()
    wait_for(
        lambda: _are_running(process_fleet.standins.engines, 12), "requests running"
    )
    host.process.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    for prompt in prompts:
        expected_text = "".join(expected_tokens(prompt, TOKENS))
        assert parse_streamed_answer(answers[prompt].data) == (
            expected_text,
            "complete",
        )
    assert host.process.wait(timeout=15) == 0
    with pytest.raises(urllib3.exceptions.HTTPError):
        _stream_completion(host.callers, "late")


def test_killed_host_leaves_the_other_serving(process_fleet: ProcessFleet) -> None:
    """Guards against a host that cannot serve after another host has died."""
    first, second = process_fleet.hosts
    first.process.kill()
    first.process.wait()
    answer = _stream_completion(second.callers, "after the loss")
    expected_text = "".join(expected_tokens("after the loss", TOKENS))
    assert parse_streamed_answer(answer.data) == (expected_text, "complete")
