"""Runs stand-ins and entry hosts as child processes on loopback."""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import urllib3

STOP_TIMEOUT_S = 20.0
START_TIMEOUT_S = 30.0


@attrs.frozen
class HostProcess:
    """Process of one entry host and its listening addresses."""

    process: subprocess.Popen[str]
    callers: str
    operators: str
    peers: str


class ProcessGroup:
    """Child processes that are terminated together."""

    def __init__(self) -> None:
        self._processes: list[subprocess.Popen[str]] = []

    def _start(self, *arguments: str) -> tuple[subprocess.Popen[str], str]:
        """Run a Python module; return the process and its first line of output."""
        command = [sys.executable, "-m", *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._processes.append(process)
        assert process.stdout is not None
        return process, process.stdout.readline().strip()

    def start_standin(self, kind: str, *arguments: str) -> str:
        """Start a stand-in of a kind; return its address."""
        return self._start("standins", kind, *arguments)[1]

    def start_host(self, settings: dict[str, Any], folder: Path) -> HostProcess:
        """Start an entry host with a settings document, which is written to folder."""
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
        """Terminate the running processes, killing those that do not stop in time.

        Returns the exit statuses of all processes.
        """
        statuses = []
        for process in reversed(self._processes):
            if process.poll() is None:
                process.terminate()
            try:
                statuses.append(process.wait(timeout=STOP_TIMEOUT_S))
            except subprocess.TimeoutExpired:
                process.kill()
                statuses.append(process.wait())
            if process.stdout is not None:
                process.stdout.close()
        return statuses


def wait_for(condition: Callable[[], bool], description: str) -> None:
    """Poll until a condition holds; HTTP errors count as false.

    Raises TimeoutError after START_TIMEOUT_S.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            if condition():
                return
        except urllib3.exceptions.HTTPError:
            pass
        if time.monotonic() > deadline_s:
            raise TimeoutError(
                f"{description} not reached within {START_TIMEOUT_S:.0f} s"
            )
        time.sleep(0.05)
