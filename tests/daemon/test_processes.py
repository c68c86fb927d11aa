"""Check entry hosts as processes under SIGTERM and SIGKILL."""

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
from tests.fleet import MODEL, SmallFleet, stream_text

TOKENS = 60
HTTP = urllib3.PoolManager(maxsize=32, retries=False)


class ProcessFleet:
    """Hold stand-ins in this process and entry hosts as processes."""

    def __init__(self, folder: Path) -> None:
        self.parts = SmallFleet(token_s=0.01)
        self.group = ProcessGroup()
        self.hosts: list[HostProcess] = []
        self._folder = folder

    def start(self) -> None:
        """Start the stand-ins and one entry host for each zone."""
        self.parts.start_standins()
        for number, zone in enumerate(("zone-1", "zone-2"), start=1):
            settings = self.parts.settings_document(zone, f"host-{number}")
            host = self.group.start_host(settings, self._folder)
            self.hosts.append(host)
            self.parts.list_entry_host(
                f"host-{number}", zone, host.peers or host.operators, host.operators
            )
        self.parts.publish_base()
        for host in self.hosts:
            url = f"http://{host.operators}/readyz"
            wait_for(lambda u=url: HTTP.request("GET", u).status == 200, "ready")
            url = f"http://{host.operators}/config"
            wait_for(lambda u=url: HTTP.request("GET", u).json()["version"], "version")

    def close(self) -> None:
        """Stop everything."""
        self.group.close()
        self.parts.close()


@pytest.fixture
def processes(tmp_path: Path) -> Iterator[ProcessFleet]:
    fleet = ProcessFleet(tmp_path)
    fleet.start()
    yield fleet
    fleet.close()


def _complete(address: str, prompt: str) -> urllib3.BaseHTTPResponse:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    return HTTP.request(
        "POST",
        f"http://{address}/v1/completions",
        body=json.dumps(body),
        headers={"Persimmonwell-Workspace": "range-a", "Persimmonwell-Rank": "urgent"},
    )


def _all_running(engines: dict[str, Engine], count: int) -> bool:
    return sum(len(engine.received) for engine in engines.values()) >= 2 * count


def test_sigterm_under_load_cuts_nothing(processes: ProcessFleet) -> None:
    """Guards against a graceful shutdown that cuts a request in flight."""
    host = processes.hosts[0]
    answers: dict[str, Any] = {}

    def call(prompt: str) -> None:
        answers[prompt] = _complete(host.callers, prompt)

    prompts = [f"prompt {number}" for number in range(12)]
    threads = [threading.Thread(target=call, args=(p,)) for p in prompts]
    for thread in threads:
        thread.start()
    wait_for(lambda: _all_running(processes.parts.engines, 12), "requests running")
    host.process.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    for prompt in prompts:
        whole = "".join(expected_tokens(prompt, TOKENS))
        assert stream_text(answers[prompt].data) == (whole, "complete")
    assert host.process.wait(timeout=15) == 0
    with pytest.raises(urllib3.exceptions.HTTPError):
        _complete(host.callers, "late")


def test_killed_host_leaves_the_other_serving(processes: ProcessFleet) -> None:
    """Guards against a host that depends on another one being alive."""
    first, second = processes.hosts
    first.process.kill()
    first.process.wait()
    answer = _complete(second.callers, "after the loss")
    whole = "".join(expected_tokens("after the loss", TOKENS))
    assert stream_text(answer.data) == (whole, "complete")
