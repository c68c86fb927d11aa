"""Check how the daemon's command starts and stops."""

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

NOWHERE = "http://127.0.0.1:1"


@pytest.fixture
def run(tmp_path: Path) -> Iterator[Any]:
    """Return a function that runs the command on settings with some replaced."""
    handlers = {s: signal.getsignal(s) for s in (signal.SIGTERM, signal.SIGINT)}
    document = SmallFleet().settings_document("zone-1", "host-1")
    document["platform"] = {"log_url": NOWHERE, "host_list_url": NOWHERE}
    document["log"] = {"level": "INFO", "json": True}
    path = tmp_path / "settings.json"

    def run_main(**replaced: Any) -> int:
        path.write_text(json.dumps({**document, **replaced}), encoding="utf-8")
        return main(["--settings", str(path)])

    yield run_main
    logger.remove()
    for number, handler in handlers.items():
        signal.signal(number, handler)


def test_failed_start_is_a_sentence(run: Any, capsys: Any) -> None:
    """Guards against a traceback where an operator needs the reason."""
    before = {thread.name for thread in threading.enumerate()}
    tls = {"certificate": "/none", "key": "/none"}
    with socket.create_server(("127.0.0.1", 0)) as listener:
        taken = f"127.0.0.1:{listener.getsockname()[1]}"
        statuses = (
            run(operators={"address": taken}),
            run(callers={"address": taken}),
            run(operators={"address": "127.0.0.1:0", "tls": tls}),
            run(operators={}),
        )
    error = capsys.readouterr().err
    assert statuses == (1, 1, 1, 2) and error.count("cannot start: ") == 3
    running = {thread.name for thread in threading.enumerate()} - before
    assert not [name for name in running if "loop" in name]
    assert "/operators/address: is required" in error and "Traceback" not in error


def test_phases_are_logged_and_sigterm_ends_with_0(run: Any, capsys: Any) -> None:
    """Guards against a stop that operators cannot follow, or with a bad status."""
    before = signal.getsignal(signal.SIGTERM)

    def end() -> None:
        wait_until(lambda: signal.getsignal(signal.SIGTERM) is not before)
        os.kill(os.getpid(), signal.SIGTERM)

    thread = threading.Thread(target=end)
    thread.start()
    assert run() == 0
    thread.join()
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    assert all(line["host"] == "host-1" for line in lines)
    phases = [line["message"] for line in lines if "daemon: " in line["message"]]
    starts = ["starting", "operators' port open", "callers' port open", "draining, 0"]
    starts += ["callers' port closed", "operators' port closed", "stopped"]
    assert len(phases) == len(starts)
    for phase, start in zip(phases, starts, strict=True):
        assert phase.startswith(f"daemon: {start}")
