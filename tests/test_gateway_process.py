"""Test of the start of a forwarding host's process."""

import signal
import subprocess
import sys
import time
from pathlib import Path

from standins.platform_config import free_ports, node_file

IGNORED_TIMEOUT_S = 30.0
"""Time for the interpreter to reach the entry point on a busy machine."""
SIGNALS = 100
SIGNAL_INTERVAL_S = 0.02
"""Signals through the import of the gateway and its start, which take some tenths of a
second."""


def test_entry_point_ignores_sighup_before_it_imports_the_gateway() -> None:
    """Guards against an import of the gateway that precedes the signal's disposition.

    SIGHUP would end a host during that import, which is most of its start.
    """
    code = "import sys, persimmonwell.gateway_process as entry\n"
    code += "assert 'persimmonwell.gateway' not in sys.modules, 'imported too early'"
    subprocess.run([sys.executable, "-c", code], check=True, timeout=60.0)


def test_sighup_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """Guards against SIGHUP ending a host while its modules are imported.

    Seed 4 of the soak sends SIGHUP to a host that was restarted just before. What comes
    before the entry point is the interpreter's own start, in which no program can
    change the signal's disposition.
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
        end_s = time.monotonic() + IGNORED_TIMEOUT_S
        while not _ignores(process.pid, signal.SIGHUP):
            assert process.poll() is None
            assert time.monotonic() < end_s, "SIGHUP is not ignored"
            time.sleep(0.001)
        for _ in range(SIGNALS):
            process.send_signal(signal.SIGHUP)
            time.sleep(SIGNAL_INTERVAL_S)
            assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=10.0) in (0, -signal.SIGTERM)
    finally:
        process.kill()
        process.wait()


def _ignores(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores a signal, by the mask that the kernel shows."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return bool(int(fields["SigIgn"], 16) >> (number - 1) & 1)
