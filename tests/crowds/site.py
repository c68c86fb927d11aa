"""Gateway processes with their stand-ins, and what is checked of them under a crowd."""

import http.client
import os
import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import closing, contextmanager
from pathlib import Path

import attrs

from standins.gateway_process import GatewayProcess
from standins.log import Log
from standins.platform_config import (
    API_KEY,
    HOST,
    config,
    free_port,
    free_ports,
    route,
)
from standins.processes import HostProcess
from standins.replica import PlatformReplica

DEPLOYED_FDS = 4100
"""Descriptors of the newest deployments, where a test sets no smaller bound."""
CALLER_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 60_000,
}
"""The defaults, but for an idle time above all retries of an ordinary request, so that
it is answered while the stalled connections are still open."""
ORDINARY_ATTEMPTS = 60
ORDINARY_PAUSE_S = 0.5
ORDINARY_TIMEOUT_S = 10.0
"""Attempts of an ordinary caller, which a loaded host may refuse or answer late."""
SAMPLE_INTERVAL_S = 0.02
QUIET_S = 1.0
"""Time without a change after which a host has taken all that it takes of a crowd."""
SETTLE_TIMEOUT_S = 6.0
REPLICA_SLOTS = 96
"""Slots that let 40 concurrent uploads through to the replica at once."""


@attrs.define
class Watch:
    """Process of a host, with its largest resource use so far."""

    host: GatewayProcess | HostProcess
    pid: int
    peak_mb: float = 0.0
    descriptors: int = 0

    def sample(self) -> None:
        """Read the peak of resident memory and the open descriptors of the process."""
        folder = Path(f"/proc/{self.pid}")
        try:
            status = (folder / "status").read_text(encoding="ascii")
            self.descriptors = max(self.descriptors, len(os.listdir(folder / "fd")))
        except OSError:
            # The process has ended, which is a finding of its own.
            return
        fields = dict(line.split(":", 1) for line in status.splitlines())
        # A process that has ended and is not waited for has no memory.
        if "VmHWM" in fields:
            peak_kb = int(fields["VmHWM"].split()[0])
            self.peak_mb = max(self.peak_mb, peak_kb / 1024)

    @property
    def is_alive(self) -> bool:
        """Return whether the watched process still runs."""
        process = self.host.process
        return (
            process is not None and process.pid == self.pid and process.poll() is None
        )


class Site:
    """Running hosts behind one store, with one replica of a plain service."""

    def __init__(
        self,
        folder: Path,
        *,
        host_count: int,
        memory_mb: int,
        max_fds: int,
        settings: Mapping[str, str],
    ) -> None:
        self.store = Log()
        self.replica = PlatformReplica("desk-1", service="desk", zone="za")
        self.replica.serves_reports = False
        ports = free_ports()
        while (control := free_port()) in ports.values():
            pass
        ports["control"] = control
        self.hosts = [
            GatewayProcess(folder, number, ports) for number in range(1, host_count + 1)
        ]
        self.watches: dict[str, Watch] = {}
        """Watch of the newest process by host IP."""
        self._memory_mb = memory_mb
        self._max_fds = max_fds
        self._settings = settings
        self._version = 0
        self._is_closing = threading.Event()
        self._sampler = threading.Thread(target=self._sample, daemon=True)

    def start(self) -> None:
        """Start everything and wait until each host serves an ordinary request."""
        self.store.start()
        self.replica.start()
        entry = self.replica.entry(slots=REPLICA_SLOTS)
        self.store.put_key("keyed.servers", self.replica.replica_id, entry)
        self.add_config_version()
        for host in self.hosts:
            values = {
                "listen.control": f"{host.ip}:{host.ports['control']}",
                "limits.memory_mb": str(self._memory_mb),
                "limits.max_fds": str(self._max_fds),
                **self._settings,
            }
            host.configure(self.store.server.address, **values)
            self.start_host(host)
        self._sampler.start()
        for host in self.hosts:
            assert new_caller_status(host) == 200, "a host was not ready"

    def start_host(self, host: GatewayProcess) -> None:
        """Start the process of a host and watch it from now on."""
        host.start()
        assert host.process is not None
        self.watches[host.ip] = Watch(host, host.process.pid)

    def add_config_version(self) -> str:
        """Write a configuration with one more route; return the route's name."""
        self._version += 1
        document = config(self._version, limits=CALLER_LIMITS)
        names = [f"v{version}" for version in range(1, self._version + 1)]
        document["routes"] += [route(name, "safe", "desk") for name in names]
        # Requests for a service without replicas wait in its queue.
        document["routes"].append(route("wait", "safe", "absent", timeout_ms=30_000))
        document["services"].append({"name": "absent", "health_path": "/health"})
        self.store.put_key("keyed.op", "config", document)
        return names[-1]

    def close(self) -> None:
        """Stop everything."""
        self._is_closing.set()
        for host in self.hosts:
            host.close()
        self.replica.close()
        self.store.close()
        if self._sampler.ident is not None:
            self._sampler.join()

    def _sample(self) -> None:
        while not self._is_closing.wait(SAMPLE_INTERVAL_S):
            for watch in list(self.watches.values()):
                watch.sample()

    def wait_settled(self) -> None:
        """Wait until the hosts have handled what the kernel holds of a crowd's bytes.

        Bytes that a host does not read and requests that it does not forward stay; the
        wait is bounded.
        """
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        seen: tuple[int, ...] = ()
        seen_s = 0.0
        while (now_s := time.monotonic()) < end_s:
            current = (self._unread_bytes(), len(self.replica.received))
            if current != seen:
                seen, seen_s = current, now_s
            elif now_s - seen_s > QUIET_S:
                return
            time.sleep(SAMPLE_INTERVAL_S)

    def kernel_bytes(self) -> int:
        """Return how many bytes the kernel keeps for the hosts, read or written."""
        lines = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
        front = {host.ports["front"] for host in self.hosts}
        replica = int(self.replica.address.rpartition(":")[2])
        total = 0
        for line in lines:
            fields = line.split()
            local, remote = (int(field.partition(":")[2], 16) for field in fields[1:3])
            if local in front or remote == replica:
                total += sum(int(count, 16) for count in fields[4].split(":"))
        return total

    def _unread_bytes(self) -> int:
        """Return how many bytes wait in the kernel for the hosts to read them."""
        lines = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
        ports = set(self.hosts[0].ports.values())
        ports.add(self.hosts[0].ports["peers"] + 1)
        total = 0
        for line in lines:
            fields = line.split()
            if int(fields[1].partition(":")[2], 16) in ports:
                total += int(fields[4].partition(":")[2], 16)
        return total

    def faults(self, max_mb: int, name: str = "look") -> list[str]:
        """Return in which respects the hosts did not withstand a crowd."""
        self.wait_settled()
        faults = []
        for watch in self.watches.values():
            status = new_caller_status(watch.host, name)
            watch.sample()
            seen = (
                f"{watch.host.ip}: peak {watch.peak_mb:.0f} of {max_mb} MB, "
                f"{watch.descriptors} of {self._max_fds} descriptors, "
                f"ordinary request {status}"
            )
            print(seen)
            is_within = watch.peak_mb <= max_mb and watch.descriptors <= self._max_fds
            if not watch.is_alive:
                faults.append(f"{watch.host.ip}: the process has ended")
            elif not is_within or status != 200:
                faults.append(seen)
        return faults


class Caller:
    """Ordinary caller, which keeps its connection and opens a new one if that fails."""

    def __init__(self, host: GatewayProcess) -> None:
        self._connection = http.client.HTTPConnection(
            host.ip, host.ports["front"], timeout=ORDINARY_TIMEOUT_S
        )
        self._count = 0

    @property
    def local_port(self) -> int | None:
        """Return the port of the current connection, which is new after a failure."""
        sock = self._connection.sock
        return None if sock is None else int(sock.getsockname()[1])

    def send(self, name: str, body: bytes = b"x") -> int:
        """Send one request; return the status of the answer, 0 for none."""
        self._count += 1
        request_id = f"ordinary-{id(self)}-{self._count}"
        headers = {"Host": HOST, "Api-Key": API_KEY, "Request-Id": request_id}
        path = f"/{name}/{request_id}"
        try:
            self._connection.request("POST", path, body=body, headers=headers)
            answer = self._connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            self._connection.close()
            return 0
        return answer.status

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def ordinary_status(caller: Caller, name: str = "look") -> int:
    """Return 200 if one of the attempts of an ordinary request got it."""
    status = 0
    for _ in range(ORDINARY_ATTEMPTS):
        status = caller.send(name)
        if status == 200:
            break
        time.sleep(ORDINARY_PAUSE_S)
    return status


def new_caller_status(host: GatewayProcess, name: str = "look") -> int:
    """Return 200 if an ordinary caller without a connection got it."""
    with closing(Caller(host)) as caller:
        return ordinary_status(caller, name)


@contextmanager
def running_site(
    folder: Path,
    *,
    host_count: int = 1,
    memory_mb: int,
    max_fds: int = DEPLOYED_FDS,
    settings: Mapping[str, str] = {},
) -> Iterator[Site]:
    """Provide a running site whose hosts have these limits."""
    site = Site(
        folder,
        host_count=host_count,
        memory_mb=memory_mb,
        max_fds=max_fds,
        settings=settings,
    )
    try:
        site.start()
        yield site
    finally:
        site.close()
