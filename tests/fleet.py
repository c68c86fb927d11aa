"""Test fleet: daemons and stand-ins in one process, on loopback."""

import json
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3

from persimmonwell.daemon import Daemon
from persimmonwell.settings import parse_settings
from standins.engine import Engine
from standins.hosts import HostDirectory
from standins.log import Log
from standins.service import Service

MODEL = "coach"
LAYERS = 8
BASE_DOCUMENT: dict[str, Any] = {
    "models": {MODEL: {"layers": LAYERS}},
    "services": {"booking": {}},
    "workspaces": {"range-a": {}, "range-b": {}},
}


def wait_until(check: Callable[[], bool], *, timeout_s: float = 15.0) -> None:
    """Poll a condition; raise AssertionError if it does not hold within timeout_s."""
    deadline_s = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > deadline_s:
            raise AssertionError("condition does not hold within the timeout")
        time.sleep(0.01)


class SmallFleet:
    """Fleet on loopback, by default with two availability zones.

    Each zone has two engines that form a chain, a booking service and an entry host.
    """

    def __init__(self, *, zones: int = 2, token_s: float = 0.001) -> None:
        self.http = urllib3.PoolManager(maxsize=32, retries=False)
        self.log = Log()
        self.hosts = HostDirectory()
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, Service] = {}
        self.daemons: dict[str, Daemon] = {}
        self._zones = tuple(f"zone-{number}" for number in range(1, zones + 1))
        self._token_s = token_s

    def start(self) -> None:
        """Start everything and wait until every host has the configuration.

        If that fails, stop what was started.
        """
        try:
            self.start_standins()
            for zone in self._zones:
                self.add_daemon(zone)
            self.publish_base()
            wait_until(lambda: all(self.config_version(h) >= 1 for h in self.daemons))
        except BaseException:
            self.close()
            raise

    def start_standins(self) -> None:
        """Start the platform stand-ins, the engines and the services."""
        self.log.start()
        self.hosts.start()
        for zone in self._zones:
            self.add_engine(zone, (0, LAYERS // 2))
            self.add_engine(zone, (LAYERS // 2, LAYERS))
            self.add_service(zone)

    def publish_base(self) -> None:
        """Publish the first version of the configuration."""
        self.publish(BASE_DOCUMENT, base_version=0)

    def list_entry_host(
        self, host_id: str, zone: str, address: str, operator_address: str
    ) -> None:
        """Add an entry host to the host list."""
        self.hosts.put(
            {
                "id": host_id,
                "kind": "entry",
                "address": address,
                "operator_address": operator_address,
                "availability_zone": zone,
            }
        )

    def close(self) -> None:
        """Stop all daemons and stand-ins."""
        with ThreadPoolExecutor(32) as pool:
            list(pool.map(lambda daemon: daemon.close(), self.daemons.values()))
            standins = (
                *self.engines.values(),
                *self.services.values(),
                self.hosts,
                self.log,
            )
            list(pool.map(lambda standin: standin.close(), standins))

    def add_engine(self, zone: str, layers: tuple[int, int]) -> str:
        """Start an engine and add it to the host list; return its id."""
        engine = Engine(layers=layers, token_s=self._token_s)
        engine.start()
        engine_id = f"engine-{len(self.engines) + 1}"
        self.engines[engine_id] = engine
        self.hosts.put(
            {
                "id": engine_id,
                "kind": "engine",
                "address": engine.server.address,
                "availability_zone": zone,
                "model": MODEL,
                "layers": {"start": layers[0], "stop": layers[1]},
            }
        )
        return engine_id

    def add_service(self, zone: str) -> str:
        """Start a booking replica and add it to the host list; return its id."""
        service = Service()
        service.start()
        replica_id = f"booking-{len(self.services) + 1}"
        self.services[replica_id] = service
        self.hosts.put(
            {
                "id": replica_id,
                "kind": "service",
                "address": service.server.address,
                "availability_zone": zone,
                "service": "booking",
            }
        )
        return replica_id

    def settings_document(
        self, zone: str, host_id: str, **platform: Any
    ) -> dict[str, Any]:
        """Return the settings of one entry host."""
        return {
            "host_id": host_id,
            "availability_zone": zone,
            "callers": {"address": "127.0.0.1:0", "threads": 32},
            "operators": {"address": "127.0.0.1:0"},
            "peers": {"address": "127.0.0.1:0"},
            "platform": {
                "log_url": self.log.server.url,
                "host_list_url": self.hosts.server.url,
                "host_list_interval_s": 0.1,
                **platform,
            },
            "log": {"level": "ERROR"},
            "expected_hosts": len(self._zones),
            "drain_notice_s": 0,
            "drain_timeout_s": 10,
        }

    def add_daemon(self, zone: str, *, listed: bool = True, **platform: Any) -> str:
        """Start an entry host and, if listed, add it to the host list; return its id.

        Keyword arguments override the platform settings of the fleet.
        """
        host_id = f"host-{len(self.daemons) + 1}"
        document = self.settings_document(zone, host_id, **platform)
        settings = parse_settings(document)
        daemon = Daemon(settings, seed=len(self.daemons))
        daemon.start()
        self.daemons[host_id] = daemon
        if listed:
            entry = {"id": host_id, "kind": "entry", "availability_zone": zone}
            addresses = {
                "address": daemon.peer_address,
                "operator_address": daemon.operator_address,
            }
            self.hosts.put({**entry, **addresses})
        return host_id

    def publish(self, merge: dict[str, Any], *, base_version: int) -> None:
        """Append a patch to the config stream."""
        record = {
            "type": "patch",
            "schema": 1,
            "id": f"test-{base_version}",
            "base_version": base_version,
            "merge": merge,
            "author": "test",
        }
        self.log.put("config", record)

    def config_version(self, host_id: str) -> int:
        """Return the configuration version in force on one entry host."""
        url = f"http://{self.daemons[host_id].operator_address}/config"
        version = self.http.request("GET", url).json()["version"]
        return int(version)

    def call(
        self,
        host_id: str,
        path: str,
        document: dict[str, Any],
        *,
        method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the callers' port of one entry host."""
        address = self.daemons[host_id].caller_address
        all_headers = {
            "Content-Type": "application/json",
            "Persimmonwell-Workspace": "range-a",
            **(headers or {}),
        }
        body = json.dumps(document).encode()
        return self.http.request(
            method,
            f"http://{address}{path}",
            body=body,
            headers=all_headers,
            timeout=60.0,
        )

    def complete(
        self, host_id: str, prompt: str, *, max_tokens: int = 16, stream: bool = False
    ) -> urllib3.BaseHTTPResponse:
        """Send a completion request with rank urgent."""
        document = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        }
        headers = {"Persimmonwell-Rank": "urgent"}
        return self.call(host_id, "/v1/completions", document, headers=headers)


def parse_streamed_answer(body: bytes) -> tuple[str, str]:
    """Return the text and the outcome of a streamed answer."""
    text, outcome = "", ""
    for line in body.decode().split("\n"):
        if not line.startswith("data: ") or line == "data: [DONE]":
            continue
        event = json.loads(line[6:])
        if "choices" in event:
            text += event["choices"][0].get("text", "")
        else:
            outcome = event.get("persimmonwell", event.get("error"))["outcome"]
    return text, outcome
