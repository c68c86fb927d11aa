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
def document() -> Iterator[dict[str, Any]]:
    handlers = {s: signal.getsignal(s) for s in (signal.SIGTERM, signal.SIGINT)}
    found = SmallFleet().settings_document("zone-1", "host-1")
    found["platform"] = {"log_url": NOWHERE, "host_list_url": NOWHERE}
    yield {**found, "log": {"level": "INFO", "json": True}}
    logger.remove()
    for number, handler in handlers.items():
        signal.signal(number, handler)


@pytest.mark.parametrize(
    ("fault", "status", "reason"),
    [
        ("port", 1, "cannot start: "),
        ("certificate", 1, "cannot start: "),
        ("settings", 2, "/operators/address: is required"),
    ],
)
def test_failed_start_is_a_sentence(
    document: dict[str, Any],
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    fault: str,
    status: int,
    reason: str,
) -> None:
    """Guards against a traceback where an operator needs the reason."""
    path = tmp_path / "settings.json"
    with socket.create_server(("127.0.0.1", 0)) as listener:
        faults: dict[str, dict[str, Any]] = {
            "port": {"address": f"127.0.0.1:{listener.getsockname()[1]}"},
            "certificate": {
                "address": "127.0.0.1:0",
                "tls": {"certificate": "/none", "key": "/none"},
            },
            "settings": {},
        }
        document["operators"] = faults[fault]
        path.write_text(json.dumps(document), encoding="utf-8")
        assert main(["--settings", str(path)]) == status
    error = capsys.readouterr().err
    assert reason in error and "Traceback" not in error


def test_phases_are_logged_and_sigterm_ends_with_0(
    document: dict[str, Any], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a stop that operators cannot follow, or with a bad status."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    before = signal.getsignal(signal.SIGTERM)

    def end() -> None:
        wait_until(lambda: signal.getsignal(signal.SIGTERM) is not before)
        os.kill(os.getpid(), signal.SIGTERM)

    thread = threading.Thread(target=end)
    thread.start()
    assert main(["--settings", str(path)]) == 0
    thread.join()
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    messages = [line["message"] for line in lines]
    phases = [text for text in messages if text.startswith("daemon:")]
    expected = [
        *("starting", "operators' port open", "callers' port open", "draining, 0"),
        *("callers' port closed", "operators' port closed", "stopped"),
    ]
    assert len(phases) == len(expected)
    for phase, start in zip(phases, expected, strict=True):
        assert phase.startswith(f"daemon: {start}")
    assert all(line["host"] == "host-1" for line in lines)
