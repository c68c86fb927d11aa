"""Check the HTTP server itself: paths, TLS and its log."""

import io
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3
from loguru import logger

from persimmonwell.front import HttpRequest, HttpResponse, HttpServer, json_response
from persimmonwell.observe import configure_logs
from persimmonwell.settings import LogSettings, TlsSettings
from tests.tls import write_certificate


def _answer(http: HttpRequest) -> HttpResponse:
    if http.path == "/fault":
        raise ValueError("prompt of a caller")
    return json_response({"path": http.path, "query": http.query})


def _server(tls: TlsSettings | None = None) -> HttpServer:
    return HttpServer(
        address="127.0.0.1:0",
        threads=4,
        max_body_bytes=1000,
        io_timeout_s=5.0,
        handler=_answer,
        tls=tls,
    )


@pytest.fixture
def plain() -> Iterator[HttpServer]:
    server = _server()
    server.start()
    yield server
    server.close()


@pytest.mark.parametrize(
    ("sent", "path"),
    [
        ("/a%2Fb", "/a/b"),
        ("/a%2541", "/a%41"),
        ("/a%252Fb?q=%41", "/a%2Fb"),
        ("/claims/range-a/x/k%20%3F", "/claims/range-a/x/k ?"),
    ],
)
def test_path_is_unquoted_once(plain: HttpServer, sent: str, path: str) -> None:
    """Guards against a path or key that is changed by unquoting it twice."""
    connection = urllib3.HTTPConnectionPool(plain.address)
    assert connection.request("GET", sent).json()["path"] == path


def test_fault_is_logged_without_request_text(plain: HttpServer) -> None:
    """Guards against request text in a logged exception."""
    stream = io.StringIO()
    configure_logs(LogSettings(), host_id="host-1", stream=stream)
    try:
        response = urllib3.request("GET", f"http://{plain.address}/fault")
    finally:
        logger.remove()
    assert response.status == 500
    assert "ValueError at" in stream.getvalue() and "prompt" not in stream.getvalue()


def test_silent_client_does_not_block_tls(tmp_path: Path) -> None:
    """Guards against one client that connects, sends nothing and stops all others."""
    certificate, key = write_certificate(tmp_path)
    server = _server(TlsSettings(certificate, key))
    server.start()
    host, _, port = server.address.rpartition(":")
    try:
        with socket.create_connection((host, int(port))) as silent:
            trusting = urllib3.PoolManager(ca_certs=certificate, retries=False)
            url = f"https://{server.address}/x"
            answer = trusting.request("GET", url, timeout=2.0)
            assert answer.json()["path"] == "/x"
            silent.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert not silent.recv(100).startswith(b"HTTP/1.1 200")
        with pytest.raises(urllib3.exceptions.SSLError):
            urllib3.PoolManager(retries=False).request("GET", url, timeout=2.0)
        assert trusting.request("GET", url, timeout=2.0).status == 200
    finally:
        server.close()
