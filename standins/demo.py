"""End-to-end demo: two availability zones as local processes.

Applies a configuration patch, streams a model request through each entry host and
repeats an idempotent booking. Run with python -m standins.demo.
"""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import urllib3

from standins.engine import expected_tokens
from standins.processes import HostProcess, ProcessGroup, wait_for

HTTP = urllib3.PoolManager(retries=False)
ZONES = ("zone-1", "zone-2")
LAYERS = 32
PROMPT = "Shots 1 to 3 drift left; what changes first?"


def read_stream(address: str, body: dict[str, Any]) -> tuple[str, str]:
    """Send an urgent streaming request; return its text and outcome."""
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


def send_booking(address: str, key: str) -> urllib3.BaseHTTPResponse:
    """Send a booking request with an idempotency key."""
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


def build_entry(kind: str, host_id: str, address: str, zone: str, **rest: Any) -> Any:
    """Build one entry of the host list."""
    entry = {"id": host_id, "kind": kind, "address": address}
    return {**entry, "availability_zone": zone, **rest}


def start_fleet(group: ProcessGroup, folder: Path) -> list[HostProcess]:
    """Start the stand-ins and one entry host per zone; return the entry hosts."""
    log = group.start_standin("log")
    hosts = group.start_standin("hosts")
    url = f"http://{hosts}/hosts"
    for number, zone in enumerate(ZONES, start=1):
        halves = ((0, LAYERS // 2), (LAYERS // 2, LAYERS))
        for part, (start, stop) in enumerate(halves, start=1):
            address = group.start_standin("engine", "--layers", str(start), str(stop))
            entry = build_entry(
                "engine",
                f"engine-{number}-{part}",
                address,
                zone,
                model="coach",
                layers={"start": start, "stop": stop},
            )
            HTTP.request("POST", url, json=entry)
        address = group.start_standin("service")
        entry = build_entry(
            "service", f"book-{number}", address, zone, service="booking"
        )
        HTTP.request("POST", url, json=entry)
    entry_hosts = []
    for number, zone in enumerate(ZONES, start=1):
        settings = {
            "host_id": f"host-{number}",
            "availability_zone": zone,
            "callers": {"address": "127.0.0.1:0"},
            "operators": {"address": "127.0.0.1:0"},
            "peers": {"address": "127.0.0.1:0"},
            "platform": {
                "log_url": f"http://{log}",
                "host_list_url": f"http://{hosts}",
            },
            "expected_hosts": len(ZONES),
            "drain_notice_s": 0.2,
            "log": {"level": "WARNING"},
        }
        host = group.start_host(settings, folder)
        entry = build_entry(
            "entry",
            f"host-{number}",
            host.peers or host.operators,
            zone,
            operator_address=host.operators,
        )
        HTTP.request("POST", url, json=entry)
        entry_hosts.append(host)
    return entry_hosts


def run_cli(folder: Path, *arguments: str) -> int:
    """Run the persimmonwell command-line tool; return its exit status."""
    command = [sys.executable, "-m", "persimmonwell.cli", *arguments]
    return subprocess.run(command, cwd=os.getcwd(), check=False).returncode


def run(group: ProcessGroup, folder: Path) -> None:
    """Run the steps of the demo in order.

    Raises SystemExit with a message at the first step that fails.
    """
    entry_hosts = start_fleet(group, folder)
    callers = [host.callers for host in entry_hosts]
    operators = [host.operators for host in entry_hosts]
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
    print("== apply a configuration patch on version 0 twice: the second conflicts")
    apply = ("config", "apply", str(patch), "--base-version", "0", "--json")
    first = run_cli(folder, *apply, "--host", operators[0])
    second = run_cli(folder, *apply, "--host", operators[1])
    if (first, second) != (0, 3):
        raise SystemExit(
            f"demo: config apply exited {first} and {second}, expected 0, 3"
        )
    for operator in operators:
        url = f"http://{operator}/config"
        wait_for(lambda u=url: HTTP.request("GET", u).json()["version"] == 1, "version")

    print("== urgent streaming request through each entry host")
    body = {"model": "coach", "prompt": PROMPT, "max_tokens": 24, "stream": True}
    for caller in callers:
        text, outcome = read_stream(caller, body)
        is_complete = text == "".join(expected_tokens(PROMPT, 24))
        print(f"{outcome}, complete: {is_complete}: {text}")
        if not is_complete or outcome != "complete":
            raise SystemExit("demo: streamed answer or its outcome is incomplete")

    print("== booking with one idempotency key, sent to both entry hosts")
    answers = [send_booking(caller, "demo-key-1") for caller in callers]
    for answer in answers:
        outcome = answer.headers["Persimmonwell-Outcome"]
        print(f"{answer.status} {outcome}: {answer.data.decode()}")
    if len({answer.data for answer in answers}) != 1:
        raise SystemExit("demo: entry hosts returned different results for one key")


def main() -> None:
    """Run the demo and terminate the processes that it started."""
    group = ProcessGroup()
    with tempfile.TemporaryDirectory() as folder:
        try:
            run(group, Path(folder))
        finally:
            statuses = group.close()
    if any(statuses):
        raise SystemExit(f"demo: processes exited with {statuses}, expected only 0")
    print("== all processes exited with status 0")


if __name__ == "__main__":
    main()
