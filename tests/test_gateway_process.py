"""Test of the start of a forwarding host's process."""

import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from standins.platform_config import free_ports, node_file


@pytest.mark.parametrize("delay_s", [0.15, 0.4])
def test_sighup_during_the_start_does_not_end_the_process(
    tmp_path: Path, delay_s: float
) -> None:
    """Guards against SIGHUP ending a host while its modules are imported.

    Seed 4 of the soak sends SIGHUP to a host that was restarted just before.
    """
    settings = tmp_path / "node.conf"
    text = node_file(ip="127.0.0.1", ports=free_ports(), store="127.0.0.1:9")
    settings.write_text(text, encoding="utf-8")
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
