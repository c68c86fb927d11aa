"""A small deployment on loopback: configuration, hosts as processes, clients."""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-1"
TENANT = "range"


def free_port(addresses: list[str]) -> int:
    """Return a port that is free with the next one, for TCP and UDP.

    It lies below the ephemeral range.
    """
    while True:
        port = random.randrange(20_000, 30_000, 2)
        try:
            for address in addresses:
                for number in (port, port + 1):
                    socket.create_server((address, number)).close()
                    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                        datagrams.bind((address, number))
        except OSError:
            continue
        return port


def route(name: str, kind: str, service: str, **values: object) -> dict:
    """Return a route of the configuration."""
    base = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 20_000,
        "target_latency_ms": 1000,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "auth_exempt": False,
        "sticky": kind == "stream",
        "stream_resume": kind == "stream",
    }
    return {**base, **values}


def config(version: int, routes: list, services: list) -> dict:
    """Return a configuration with the limits of the small site files."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


class Host:
    """Entry host that runs as a process with the command of the deploy file."""

    def __init__(self, name: str, ip: str, ports: dict, **fields: str) -> None:
        self.name = name
        self.ip = ip
        self.port = ports["front"]
        self.ready_port = ports["ready"]
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        path = Path(self._folder.name) / "node.conf"
        fields = {
            "node": name,
            "ip": ip,
            "zone": "muscat-a",
            "region": "muscat",
            "listen.front": f"{ip}:{ports['front']}",
            "listen.ready_addr": f"{ip}:{ports['ready']}",
            "listen.control": f"{ip}:{ports['control']}",
            "internal_ports": f"{ports['peers']},{ports['peers'] + 1}",
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4200",
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.retry_budget_slack": "196",
            "platform.form": "log",
            **fields,
        }
        path.write_text("\n".join(f"{k}={v}" for k, v in fields.items()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = deploy["roles"]["gateway"]["run"].split()
        self._environment = environment = {
            variable: os.environ[variable]
            for variable in ("PATH", "HOME", "LANG")
            if variable in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PERSIMMONWELL_NODE_FILE"] = str(path)
        self.log = open(Path(self._folder.name) / "log", "ab")  # noqa: SIM115
        self.start()

    def start(self) -> None:
        """Start the process, at first or again."""
        self.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=self._environment,
            stdout=self.log,
            stderr=self.log,
        )

    def is_ready(self) -> bool:
        """Return whether the host answers the platform's question with 200."""
        try:
            with socket.create_connection((self.ip, self.ready_port), 1.0) as sock:
                sock.sendall(b"GET /persimmonwell/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_until_ready(self, timeout_s: float = 30.0) -> None:
        """Raise TimeoutError if the host does not become ready."""
        end = time.monotonic() + timeout_s
        while not self.is_ready():
            if self.process.poll() is not None or time.monotonic() > end:
                raise TimeoutError("the host is not ready")
            time.sleep(0.1)

    def log_lines(self) -> list[dict]:
        """Return the lines of the host's log so far."""
        lines = []
        for line in Path(self.log.name).read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def close(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()
        self._folder.cleanup()


def start_hosts(
    count: int, store: str, *, zone: str = "muscat-a", **fields: str
) -> list[Host]:
    """Start hosts of a zone on loopback addresses of their own, with the same ports."""
    addresses = [f"127.0.0.{n + 1}" for n in range(1, count + 1)]
    ports: dict[str, int] = {}
    for name in ("front", "ready", "control", "peers"):
        while (port := free_port(addresses)) in ports.values():
            pass
        ports[name] = port
    seeds = ",".join(f"127.0.0.{n}:{ports['control']}" for n in (2, 3, 4)[:count])
    return [
        Host(
            f"front-{zone}-{n}",
            addresses[n - 1],
            ports,
            **{"zone": zone, "seeds": seeds, "platform.address": store, **fields},
        )
        for n in range(1, count + 1)
    ]
