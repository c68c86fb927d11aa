"""Check the start of a forwarding host's process."""

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from standins.platform_config import free_port


@pytest.mark.parametrize("delay_s", [0.15, 0.4])
def test_a_reload_during_the_start_does_not_end_the_process(
    tmp_path: Path, delay_s: float
) -> None:
    """Guards against a host that a SIGHUP ends while its modules are imported.

    Seed 4 of the soak: a host that had just been restarted got SIGHUP and was gone.
    """
    ports = {name: free_port() for name in ("front", "ready", "peers")}
    settings = tmp_path / "node.conf"
    settings.write_text(
        f"node=host-1\nip=127.0.0.1\nzone=za\nlisten.front=127.0.0.1:{ports['front']}\n"
        f"listen.ready_addr=127.0.0.1:{ports['ready']}\n"
        f"internal_ports={ports['peers']},{ports['peers'] + 1}\n"
        "platform.address=127.0.0.1:9\n",
        encoding="utf-8",
    )
    arguments = ["--settings", str(settings)]
    process = subprocess.Popen(
        [sys.executable, "-m", "persimmonwell.gateway_process", *arguments],
        stdout=subprocess.DEVNULL,
    )
    try:
        time.sleep(delay_s)
        process.send_signal(signal.SIGHUP)
        time.sleep(1.0)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10.0) in (0, -signal.SIGTERM)
    finally:
        process.kill()
        process.wait()
