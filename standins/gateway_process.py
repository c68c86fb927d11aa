"""Process of one gateway host, with its settings file and its proxy to the store."""

import http.client
import os
import signal
import subprocess
import sys
from pathlib import Path

from standins.platform_config import node_file
from standins.proxy import FaultyProxy

GRACE_S = 3


class GatewayProcess:
    """Gateway host that runs as a child process on its own loopback address."""

    def __init__(self, folder: Path, number: int, ports: dict[str, int]) -> None:
        self.ip = f"127.0.0.{number}"
        self.ports = ports
        self.path = folder / f"host-{number}.conf"
        self.log = folder / f"host-{number}.log"
        self.proxy: FaultyProxy | None = None
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, store: str, **values: str) -> None:
        """Write the settings file, with a proxy of its own in front of the store."""
        self.proxy = FaultyProxy(store)
        self.proxy.start()
        defaults = {
            "node": f"host-{self.ip}",
            "seeds": f"127.0.0.1:{self.ports['ready']}",
            "bounds.grace_s": str(GRACE_S),
        }
        text = node_file(
            ip=self.ip,
            ports=self.ports,
            store=self.proxy.address,
            **{**defaults, **values},
        )
        self.path.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process; its output is appended to the log."""
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "persimmonwell.gateway_process"],
                env={**os.environ, "PERSIMMONWELL_NODE_FILE": str(self.path)},
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self, number: int) -> None:
        """Send a signal that ends the process, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(number)
        if self.process is not None:
            self.process.wait(timeout=10.0)

    def close(self) -> None:
        """Kill the process and close its proxy."""
        self.stop(signal.SIGKILL)
        if self.proxy is not None:
            self.proxy.close()

    def is_ready(self) -> bool:
        """Return whether the host answers a readiness probe with 200."""
        port = self.ports["ready"]
        connection = http.client.HTTPConnection(self.ip, port, timeout=1.0)
        try:
            connection.request("GET", "/persimmonwell/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
