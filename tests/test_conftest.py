"""Tests of the set-up that all tests share."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from standins import platform_config
from tests.conftest import remaining_threads
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed

CONFTEST = Path(__file__).parent / "conftest.py"
STRAY_THREAD_TEST = """
import threading
import time


def test_leaves_a_thread():
    threading.Thread(target=time.sleep, args=(60.0,), name="stray").start()
"""


def test_run_with_a_thread_that_a_test_left_fails(tmp_path: Path) -> None:
    """Guards against a run that never ends after its last test."""
    code = CONFTEST.read_text(encoding="utf-8")
    code = code.replace("THREADS_END_S = 10.0", "THREADS_END_S = 0.1")
    (tmp_path / "conftest.py").write_text(code, encoding="utf-8")
    (tmp_path / "test_stray.py").write_text(STRAY_THREAD_TEST, encoding="utf-8")
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-c", "/dev/null", str(tmp_path)],
        cwd=CONFTEST.parent.parent,
        capture_output=True,
        text=True,
        timeout=30.0,
    )
    assert run.returncode == 1
    assert "1 passed" in run.stdout and "stray" in run.stderr


def test_failed_start_of_a_testbed_leaves_no_thread() -> None:
    """Guards against a failed set-up that keeps the run from ending."""
    before = set(remaining_threads())
    testbed = GatewayTestbed()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", testbed.ports["peers"]))
        with pytest.raises(OSError, match="in use"):
            testbed.start()
    wait_until(lambda: set(remaining_threads()) <= before, timeout_s=5.0)


def test_free_port_is_free_for_datagrams_too(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a set-up that fails because a port is taken for UDP."""
    numbers = iter([20_000, 20_000, 20_002])
    monkeypatch.setattr(platform_config.random, "randrange", lambda *_: next(numbers))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
        other.bind(("127.0.0.1", 20_000))
        assert platform_config.free_port() == 20_002
