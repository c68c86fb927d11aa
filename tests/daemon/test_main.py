"""Tests of the daemon's command line: start, log messages and exit status."""

import json
import os
import signal
import socket
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from persimmonwell.daemon import main
from tests.fleet import SmallFleet, wait_until

UNREACHABLE_URL = "http://127.0.0.1:1"


@pytest.fixture
def run_daemon(tmp_path: Path) -> Iterator[Any]:
    """Provide a function that runs the command with some settings replaced."""
    handlers = {s: signal.getsignal(s) for s in (signal.SIGTERM, signal.SIGINT)}
    document = SmallFleet().settings_document("zone-1", "host-1")
    document["platform"] = {
        "log_url": UNREACHABLE_URL,
        "host_list_url": UNREACHABLE_URL,
    }
    document["log"] = {"level": "INFO", "json": True}
    path = tmp_path / "settings.json"

    def run_main(**replaced: Any) -> int:
        path.write_text(json.dumps({**document, **replaced}), encoding="utf-8")
        return main(["--settings", str(path)])

    yield run_main
    logger.remove()
    for signal_number, handler in handlers.items():
        signal.signal(signal_number, handler)


def test_failed_start_prints_the_reason(run_daemon: Any, capsys: Any) -> None:
    """Guards against a traceback, or threads left running, after a failed start."""
    threads_before = {thread.name for thread in threading.enumerate()}
    tls = {"certificate": "/none", "key": "/none"}
    with socket.create_server(("127.0.0.1", 0)) as listener:
        used_address = f"127.0.0.1:{listener.getsockname()[1]}"
        statuses = (
            run_daemon(operators={"address": used_address}),
            run_daemon(callers={"address": used_address}),
            run_daemon(operators={"address": "127.0.0.1:0", "tls": tls}),
            run_daemon(operators={}),
        )
    error = capsys.readouterr().err
    assert statuses == (1, 1, 1, 2) and error.count("cannot start: ") == 3
    running = {thread.name for thread in threading.enumerate()} - threads_before
    assert not [name for name in running if "loop" in name]
    assert "/operators/address: is required" in error and "Traceback" not in error


def test_phases_are_logged_and_sigterm_exits_with_0(
    run_daemon: Any, capsys: Any
) -> None:
    """Guards against a shutdown without log messages or with a non-zero status."""
    old_handler = signal.getsignal(signal.SIGTERM)

    def send_sigterm() -> None:
        wait_until(lambda: signal.getsignal(signal.SIGTERM) is not old_handler)
        os.kill(os.getpid(), signal.SIGTERM)

    thread = threading.Thread(target=send_sigterm)
    thread.start()
    assert run_daemon() == 0
    thread.join()
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert all(line["host"] == "host-1" for line in lines)
    phases = [line["message"] for line in lines if "daemon: " in line["message"]]
    expected_starts = [
        "starting",
        "operators' port open",
        "callers' port open",
        "draining, 0",
    ]
    expected_starts += ["callers' port closed", "operators' port closed", "stopped"]
    assert len(phases) == len(expected_starts)
    for phase, start in zip(phases, expected_starts, strict=True):
        assert phase.startswith(f"daemon: {start}")
