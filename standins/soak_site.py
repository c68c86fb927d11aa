"""Store, replicas and hosts of a soak run."""

import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from standins.gateway_process import GatewayProcess
from standins.log import Log, LogCopy
from standins.platform_config import API_KEY, config, free_ports, route
from standins.replica import PlatformReplica

HEAVY_KEY = "key-heavy"
STEADY_KEY = "key-steady"
TENANTS: list[dict[str, Any]] = [
    {"name": "range", "api_keys": [API_KEY]},
    {"name": "heavy", "api_keys": [HEAVY_KEY]},
    {"name": "steady", "api_keys": [STEADY_KEY]},
]
SURGE_SLOTS = 2
"""Slots of a replica in runs with load surges."""
SURGE_WORK_S = 0.1
"""Time that such a replica takes for a request. Two plain replicas serve 40 requests a
second, a fraction of what the callers of a surge send."""


class SoakSite:
    """Processes and stand-ins of one run, with what was done to them so far."""

    def __init__(self, *, folder: Path, host_count: int, has_surges: bool) -> None:
        self.store = Log()
        self.replicas = [
            PlatformReplica("desk-1", service="desk", zone="za"),
            PlatformReplica("desk-2", service="desk", zone="za"),
            PlatformReplica("model-1", service="model", zone="za"),
            PlatformReplica("model-2", service="model", zone="za"),
        ]
        ports = free_ports()
        self.hosts = [
            GatewayProcess(folder, number, ports) for number in range(1, host_count + 1)
        ]
        self.incarnations: Counter[str] = Counter()
        """Number of starts by host IP; versions are compared within one incarnation."""
        self.disrupted_s: dict[str, list[float]] = defaultdict(list)
        """Times at which a host was started or paused, by its IP."""
        self.restarted_s: dict[str, list[float]] = defaultdict(list)
        """Times of the starts of replicas that had stated that they leave, by id."""
        self.version = 1
        """Newest configuration version that the operator wrote."""
        self.copies: list[LogCopy] = []
        """Copies of the store from which it may be restored."""
        self._heartbeats: Counter[str] = Counter()
        """Number of the entries that each replica has written, by its id."""
        self._config_values: dict[str, Any] = {}
        self._entry_values: dict[str, Any] = {}
        if has_surges:
            self._config_values["tenants"] = TENANTS
            self._entry_values["slots"] = SURGE_SLOTS
            for replica in self.replicas:
                replica.work_s = SURGE_WORK_S

    def start(self) -> None:
        """Start the store, the replicas and the hosts."""
        self.store.start()
        self.write_config()
        for replica in self.replicas:
            replica.serves_reports = replica.service == "model"
            if replica.serves_reports:
                replica.layers = {"from": 0, "to": 8, "version": 1}
            replica.start()
            self.register(replica)
        for host in self.hosts:
            host.configure(self.store.server.address)
            self.start_host(host)

    def start_host(self, host: GatewayProcess) -> None:
        """Start a host that does not run."""
        self.incarnations[host.ip] += 1
        self.disrupted_s[host.ip].append(time.monotonic())
        host.start()

    def close(self) -> None:
        """End all processes and close the stand-ins."""
        for host in self.hosts:
            host.close()
        for replica in self.replicas:
            replica.close()
        self.store.close()

    def append_config_version(self) -> int:
        """Write a configuration with one more route; return its version."""
        self.version += 1
        self.write_config()
        return self.version

    def write_config(self) -> None:
        """Write the newest configuration."""
        document = config(self.version, **self._config_values)
        document["routes"] += [
            route(f"v{added_version}", "safe", "desk")
            for added_version in range(2, self.version + 1)
        ]
        self.store.put_key("keyed.op", "config", document)

    def register(self, replica: PlatformReplica, **values: Any) -> None:
        """Write the registry entry of a replica."""
        self.write_entry(replica, self.next_entry(replica, **values))

    def next_entry(self, replica: PlatformReplica, **values: Any) -> dict[str, Any]:
        """Return the entry of a replica's next heartbeat."""
        self._heartbeats[replica.replica_id] += 1
        return replica.entry(
            sequence=self._heartbeats[replica.replica_id],
            born=replica.started_at_ms,
            **{**self._entry_values, **values},
        )

    def write_entry(self, replica: PlatformReplica, entry: dict[str, Any]) -> None:
        """Let the store carry out the write of an entry."""
        self.store.put_key("keyed.servers", replica.replica_id, entry)

    def execution_counts(self) -> Counter[str]:
        """Return how often replicas ran a request, by its id."""
        return Counter(
            received.headers.get("request-id", "")
            for replica in self.replicas
            for received in replica.received
        )
