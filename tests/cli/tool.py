"""Helpers to run the command-line tool in-process and to simulate faulty hosts."""

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import attrs
import pytest

from persimmonwell.cli import main
from tests.fleet import SmallFleet

UNREACHABLE_ADDRESS = "127.0.0.1:1"


@attrs.frozen
class ToolResult:
    """Exit status and output of one run of the tool."""

    code: int
    out: str
    err: str

    @property
    def document(self) -> Any:
        return json.loads(self.out)


class Tool:
    """Command-line tool, run in-process with its output captured."""

    def __init__(self, capsys: pytest.CaptureFixture[str]) -> None:
        self._capsys = capsys

    def __call__(self, *arguments: str) -> ToolResult:
        self._capsys.readouterr()
        code = main(list(arguments))
        captured = self._capsys.readouterr()
        return ToolResult(code, captured.out, captured.err)


@contextmanager
def raw_host(answer: bytes, *, close: bool = True) -> Iterator[str]:
    """Send fixed bytes to every connection and close it, or keep it open."""
    listener = socket.create_server(("127.0.0.1", 0))
    kept: list[socket.socket] = []

    def serve() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.recv(65536)
            connection.sendall(answer)
            connection.close() if close else kept.append(connection)

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join()
    for connection in kept:
        connection.close()


def json_answer(document: Any) -> bytes:
    """Return an HTTP response with a JSON body."""
    body = json.dumps(document).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"Connection: close\r\n\r\n" + body


def list_entry_host(fleet: SmallFleet, host_id: str, operator_address: str) -> None:
    """Add an entry host to the platform's host list."""
    entry = {"id": host_id, "kind": "entry", "address": "127.0.0.1:9"}
    entry["availability_zone"] = "zone-1"
    if operator_address:
        entry["operator_address"] = operator_address
    fleet.hosts.put(entry)
