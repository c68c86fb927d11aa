"""Start stand-ins and entry hosts as plain processes on loopback."""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import urllib3

STOP_LIMIT_S = 20.0
START_LIMIT_S = 30.0


@attrs.frozen
class HostProcess:
    """Hold one entry host and its addresses."""

    process: subprocess.Popen[str]
    callers: str
    operators: str
    peers: str


class ProcessGroup:
    """Hold the processes that were started, to end them together."""

    def __init__(self) -> None:
        self._processes: list[subprocess.Popen[str]] = []

    def _start(self, *arguments: str) -> tuple[subprocess.Popen[str], str]:
        """Start a Python module and return it with its first line of output."""
        command = [sys.executable, "-m", *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._processes.append(process)
        assert process.stdout is not None
        return process, process.stdout.readline().strip()

    def start_standin(self, kind: str, *arguments: str) -> str:
        """Start a stand-in and return its address."""
        return self._start("standins", kind, *arguments)[1]

    def start_host(self, settings: dict[str, Any], folder: Path) -> HostProcess:
        """Start an entry host from a settings document."""
        path = folder / f"{settings['host_id']}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process, line = self._start("persimmonwell.daemon", "--settings", str(path))
        addresses = json.loads(line)
        return HostProcess(
            process=process,
            callers=addresses["callers"],
            operators=addresses["operators"],
            peers=addresses.get("peers", ""),
        )

    def close(self) -> list[int]:
        """End every process that still runs; return all exit statuses."""
        statuses = []
        for process in reversed(self._processes):
            if process.poll() is None:
                process.terminate()
            try:
                statuses.append(process.wait(timeout=STOP_LIMIT_S))
            except subprocess.TimeoutExpired:
                process.kill()
                statuses.append(process.wait())
            if process.stdout is not None:
                process.stdout.close()
        return statuses


def wait_for(check: Callable[[], bool], what: str) -> None:
    """Poll a condition; raise when it does not hold in time."""
    limit_s = time.monotonic() + START_LIMIT_S
    while True:
        try:
            if check():
                return
        except urllib3.exceptions.HTTPError:
            pass
        if time.monotonic() > limit_s:
            raise TimeoutError(f"{what} not reached in {START_LIMIT_S:.0f} s")
        time.sleep(0.05)
