"""Hosts, stand-ins and proxies of one run."""

import json
import re
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from fuzz.hosts._changes import Change, Side, place
from fuzz.hosts._proxies import (
    ChangeTable,
    DatagramProxy,
    Deliveries,
    open_store_filter,
)
from standins.gateway_process import GatewayProcess
from standins.log import Log
from standins.platform_config import config, free_ports, route
from standins.proxy import FaultyProxy
from standins.replica import PlatformReplica, ReceivedRequest

HOSTS = 2
"""The proxy of datagrams stands between two hosts."""
PEER_PROXY_IP = "127.0.0.9"
REPLICAS = ("desk-1", "desk-2", "desk-3", "model-1", "model-2", "model-3")
SPARES = ("model-4", "spare-1")
"""Replicas that are registered after the changes; before, no host knows them."""
RECORD_PAUSE_S = 0.1
"""Time for which a changed record is in force before a sound one follows."""
CONFIG_INTERVAL = 3
"""One of so many changed records is a configuration."""
FAULT_INTERVAL = 10
"""One of so many requests lets a replica refuse the next one, and one lets a replica
answer with 500 until the next request that ends this. A changed byte may make another
answer of these."""
MAX_VERSION = 1 << 62
"""Higher versions are invalid, so that none follows them."""
_VERSION = re.compile(rb'"version": *(\d{1,4000})')


class FuzzSite:
    """Store, replicas and hosts, with a proxy on each side."""

    def __init__(
        self, *, folder: Path, changes: tuple[Change, ...], request_ids: Sequence[str]
    ) -> None:
        self.table = ChangeTable(changes)
        self.requests = Deliveries(self.table, Side.CALLERS, request_ids)
        self.responses = Deliveries(self.table, Side.REPLICAS, request_ids)
        self.store = Log()
        self.replicas = [
            PlatformReplica(name, service=name.partition("-")[0], zone="za")
            for name in (*REPLICAS, *SPARES)
        ]
        self._proxies = {
            replica.replica_id: FaultyProxy(replica.address)
            for replica in self.replicas
        }
        ports = free_ports()
        self.hosts = [
            GatewayProcess(folder, number, ports) for number in range(1, HOSTS + 1)
        ]
        self.fronts = [
            FaultyProxy(f"{host.ip}:{ports['front']}") for host in self.hosts
        ]
        """Proxies between the callers and the hosts."""
        self._datagrams = DatagramProxy(
            PEER_PROXY_IP,
            ports["peers"],
            [host.ip for host in self.hosts],
            self.table,
        )
        self._version = 0

    def start(self) -> None:
        """Start the stand-ins, the proxies and the hosts."""
        self.table.is_active = False
        self.store.start()
        self._write_config()
        for replica in self.replicas:
            replica.serves_reports = replica.service == "model"
            if replica.serves_reports:
                replica.layers = {"from": 0, "to": 8, "version": 1}
            replica.start()
            proxy = self._proxies[replica.replica_id]
            proxy.open_filter = self.responses.open_response_filter
            proxy.start()
            if replica.replica_id in REPLICAS:
                self._register(replica)
        self._datagrams.start()
        for host, front in zip(self.hosts, self.fronts, strict=True):
            front.open_filter = self.requests.open_request_filter
            front.start()
            host.configure(self.store.server.address, seeds=f"{PEER_PROXY_IP}:1")
            assert host.proxy is not None
            host.proxy.open_filter = lambda: open_store_filter(self.table)
            host.start()

    def close(self) -> None:
        """End all processes and close the proxies and stand-ins."""
        for host in self.hosts:
            host.close()
        for proxy in (*self.fronts, *self._proxies.values()):
            proxy.close()
        self._datagrams.close()
        for replica in self.replicas:
            replica.close()
        self.store.close()

    def write_changed_records(self) -> None:
        """Write changed configurations and entries of the registry.

        A sound record follows, except after an entry under a key of its own, which
        stays to the end of the run.
        """
        replicas = self.replicas[: len(REPLICAS)]
        for change in self.table.of_side(Side.RECORDS):
            if change.number % CONFIG_INTERVAL == 0:
                self._write_changed_config(change)
                continue
            replica = replicas[change.number % len(replicas)]
            value = json.dumps(self._entry(replica)).encode()
            altered = self.table.alter(change, value, place(change, value))
            stays = change.number % 2 == 1
            key = f"odd-{change.number}" if stays else replica.replica_id
            self.store.put("keyed.servers", (key, altered))
            if not stays:
                time.sleep(RECORD_PAUSE_S)
                self._register(replica)

    def _write_changed_config(self, change: Change) -> None:
        self._version += 1
        value = json.dumps(config(self._version)).encode()
        altered = self.table.alter(change, value, place(change, value))
        self.store.put("keyed.op", ("config", altered))
        time.sleep(RECORD_PAUSE_S)
        # A version that the change made higher hides all below it.
        versions = [int(text) for text in _VERSION.findall(altered)]
        valid_versions = [each for each in versions if each <= MAX_VERSION]
        self._version = max([self._version, *valid_versions])
        self._write_config()

    def set_replica_fault(self, number: int) -> None:
        """Let a replica refuse a request, or fail for a while, from a request on."""
        replica = self.replicas[number % len(REPLICAS)]
        match number % FAULT_INTERVAL:
            case 0:
                replica.faults["shed_once"] = True
            case 1:
                replica.faults["status"] = 500
            case 2:
                for each in self.replicas:
                    each.faults.pop("status", None)

    def restore(self) -> None:
        """End all changes, and write a sound configuration and sound entries.

        The configuration has the route "after" to a service that is new to all hosts.
        """
        self.table.is_active = False
        for replica in self.replicas:
            replica.faults.clear()
        self._version += 1
        document = config(self._version)
        document["routes"].append(route("after", "safe", "spare"))
        document["services"].append({"name": "spare", "health_path": "/health"})
        self.store.put_key("keyed.op", "config", document)
        for replica in self.replicas:
            self._register(replica)

    def runs(self, request_id: str) -> list[ReceivedRequest]:
        """Return what replicas ran that bears the id in a header, target or body."""
        return [
            received
            for replica in self.replicas
            for received in list(replica.received)
            if request_id in received.target
            or request_id in received.headers.get("request-id", "")
            or request_id.encode() in received.body
        ]

    def _write_config(self) -> None:
        self._version += 1
        self.store.put_key("keyed.op", "config", config(self._version))

    def _entry(self, replica: PlatformReplica) -> dict[str, Any]:
        address = self._proxies[replica.replica_id].address
        born = replica.started_at_ms
        return replica.entry(sequence=2, born=born, address=address)

    def _register(self, replica: PlatformReplica) -> None:
        self.store.put_key("keyed.servers", replica.replica_id, self._entry(replica))
