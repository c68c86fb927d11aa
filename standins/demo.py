"""Run two availability zones as plain processes and show the whole path."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import urllib3

from standins.engine import expected_tokens

HTTP = urllib3.PoolManager(retries=False)
ZONES = ("zone-1", "zone-2")
LAYERS = 32
PROMPT = "Shots 1 to 3 drift left; what changes first?"
START_LIMIT_S = 30.0


class ProcessGroup:
    """Hold the processes that the demo started."""

    def __init__(self) -> None:
        self._processes: list[subprocess.Popen[str]] = []

    def start_standin(self, kind: str, *arguments: str) -> str:
        """Start a stand-in and return its address."""
        command = [sys.executable, "-m", "standins", kind, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self._processes.append(process)
        assert process.stdout is not None
        return process.stdout.readline().strip()

    def start_daemon(self, settings: Path) -> subprocess.Popen[str]:
        """Start an entry host."""
        command = [sys.executable, "-m", "persimmonwell.daemon"]
        process = subprocess.Popen([*command, "--settings", str(settings)], text=True)
        self._processes.append(process)
        return process

    def close(self) -> list[int]:
        """End every process and return the exit statuses, newest first."""
        statuses = []
        for process in reversed(self._processes):
            process.terminate()
            try:
                statuses.append(process.wait(timeout=20))
            except subprocess.TimeoutExpired:
                process.kill()
                statuses.append(process.wait())
        return statuses


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(s.getsockname()[1]) for s in sockets]
    for s in sockets:
        s.close()
    return ports


def wait_for(check: Callable[[], bool], what: str) -> None:
    """Poll a condition; end the demo when it does not hold in time."""
    limit_s = time.monotonic() + START_LIMIT_S
    while True:
        try:
            if check():
                return
        except urllib3.exceptions.HTTPError:
            pass
        if time.monotonic() > limit_s:
            raise SystemExit(f"demo: {what} not reached in {START_LIMIT_S:.0f} s")
        time.sleep(0.05)


def read_stream(address: str, body: dict[str, Any]) -> tuple[str, str]:
    """Send an urgent streamed request; return its text and outcome."""
    response = HTTP.request(
        "POST",
        f"http://{address}/v1/completions",
        body=json.dumps(body),
        headers={
            "Content-Type": "application/json",
            "Persimmonwell-Workspace": "range-a",
            "Persimmonwell-Rank": "urgent",
            "Persimmonwell-Deadline-Ms": "20000",
        },
    )
    text, outcome = "", ""
    for line in response.data.decode().splitlines():
        if not line.startswith("data: {"):
            continue
        event = json.loads(line[6:])
        if "choices" in event:
            text += event["choices"][0]["text"]
        else:
            outcome = event.get("persimmonwell", event.get("error"))["outcome"]
    return text, outcome


def book(address: str, key: str) -> urllib3.BaseHTTPResponse:
    """Send a booking with an idempotency key."""
    return HTTP.request(
        "POST",
        f"http://{address}/services/booking/lanes",
        body=json.dumps({"lane": 4}),
        headers={
            "Content-Type": "application/json",
            "Persimmonwell-Workspace": "range-a",
            "Idempotency-Key": key,
            "Idempotency-Attempt": "1",
        },
    )


def host_entry(kind: str, host_id: str, address: str, zone: str, **rest: Any) -> Any:
    """Build one entry of the host list."""
    entry = {"id": host_id, "kind": kind, "address": address}
    return {**entry, "availability_zone": zone, **rest}


def start_fleet(group: ProcessGroup, folder: Path) -> tuple[list[str], list[str]]:
    """Start all processes; return callers' and operators' addresses."""
    log = group.start_standin("log")
    hosts = group.start_standin("hosts")
    for number, zone in enumerate(ZONES, start=1):
        halves = ((0, LAYERS // 2), (LAYERS // 2, LAYERS))
        for part, (start, stop) in enumerate(halves, start=1):
            address = group.start_standin("engine", "--layers", str(start), str(stop))
            layers = {"start": start, "stop": stop}
            entry = host_entry(
                "engine",
                f"engine-{number}-{part}",
                address,
                zone,
                model="coach",
                layers=layers,
            )
            HTTP.request("POST", f"http://{hosts}/hosts", json=entry)
        address = group.start_standin("service")
        entry = host_entry(
            "service", f"book-{number}", address, zone, service="booking"
        )
        HTTP.request("POST", f"http://{hosts}/hosts", json=entry)
    callers: list[str] = []
    operators: list[str] = []
    for number, zone in enumerate(ZONES, start=1):
        caller, operator, peer = (f"127.0.0.1:{port}" for port in free_ports(3))
        entry = host_entry(
            "entry", f"host-{number}", peer, zone, operator_address=operator
        )
        HTTP.request("POST", f"http://{hosts}/hosts", json=entry)
        settings = {
            "host_id": f"host-{number}",
            "availability_zone": zone,
            "callers": {"address": caller},
            "operators": {"address": operator},
            "peers": {"address": peer},
            "platform": {
                "log_url": f"http://{log}",
                "host_list_url": f"http://{hosts}",
            },
            "expected_hosts": len(ZONES),
            "log": {"level": "WARNING"},
        }
        path = folder / f"host-{number}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        group.start_daemon(path)
        callers.append(caller)
        operators.append(operator)
    return callers, operators


def tool(folder: Path, *arguments: str) -> int:
    """Run the command-line tool."""
    command = [sys.executable, "-m", "persimmonwell.cli", *arguments]
    return subprocess.run(command, cwd=os.getcwd(), check=False).returncode


def run(group: ProcessGroup, folder: Path) -> None:
    """Run every step of the demo; end with a message when one fails."""
    callers, operators = start_fleet(group, folder)
    for operator in operators:
        url = f"http://{operator}/readyz"
        wait_for(lambda u=url: HTTP.request("GET", u).status == 200, "readiness")
    patch = folder / "patch.json"
    document = {
        "models": {"coach": {"layers": LAYERS}},
        "services": {"booking": {}},
        "workspaces": {"range-a": {"weight": 1}, "range-b": {"weight": 3}},
    }
    patch.write_text(json.dumps(document), encoding="utf-8")
    print("== configuration patch on version 0, then again on version 0")
    apply = ("config", "apply", str(patch), "--base-version", "0", "--json")
    first = tool(folder, *apply, "--host", operators[0])
    second = tool(folder, *apply, "--host", operators[1])
    if (first, second) != (0, 3):
        raise SystemExit(f"demo: patch exits {first} and {second}, expected 0 and 3")
    for operator in operators:
        url = f"http://{operator}/config"
        wait_for(lambda u=url: HTTP.request("GET", u).json()["version"] == 1, "version")

    print("== urgent streamed request through each host")
    body = {"model": "coach", "prompt": PROMPT, "max_tokens": 24, "stream": True}
    for caller in callers:
        text, outcome = read_stream(caller, body)
        whole = text == "".join(expected_tokens(PROMPT, 24))
        print(f"{outcome}, whole: {whole}: {text}")
        if not whole or outcome != "complete":
            raise SystemExit("demo: streamed answer is not whole")

    print("== booking with one key, sent to both hosts")
    answers = [book(caller, "demo-key-1") for caller in callers]
    for answer in answers:
        outcome = answer.headers["Persimmonwell-Outcome"]
        print(f"{answer.status} {outcome}: {answer.data.decode()}")


def main() -> None:
    """Run the demo and end every process it started."""
    group = ProcessGroup()
    with tempfile.TemporaryDirectory() as folder:
        try:
            run(group, Path(folder))
        finally:
            statuses = group.close()
    if any(statuses):
        raise SystemExit(f"demo: exit statuses {statuses}")
    print("== every process ended with status 0")


if __name__ == "__main__":
    main()
