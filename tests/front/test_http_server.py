"""Check the HTTP server itself: paths, TLS and its log."""

import io
import socket
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


def start_server(tls: TlsSettings | None = None) -> HttpServer:
    options = {"threads": 4, "max_body_bytes": 1000, "io_timeout_s": 5.0}
    server = HttpServer(address="127.0.0.1:0", handler=_answer, tls=tls, **options)
    server.start()
    return server


def test_path_is_unquoted_once_and_faults_hide_request_text() -> None:
    """Guards against a key changed by unquoting twice, and text in a logged fault."""
    server, stream = start_server(), io.StringIO()
    configure_logs(LogSettings(), host_id="host-1", stream=stream)
    sent = ("/a%2Fb", "/a%2541", "/a%252Fb?q=%41", "/claims/x/k%20%3F", "/fault")
    try:
        pool = urllib3.HTTPConnectionPool(server.address)
        *answers, fault = (pool.request("GET", path) for path in sent)
    finally:
        server.close()
        logger.remove()
    paths = [answer.json()["path"] for answer in answers]
    assert paths == ["/a/b", "/a%41", "/a%2Fb", "/claims/x/k ?"]
    assert (fault.status, "prompt" in stream.getvalue()) == (500, False)
    assert "ValueError at" in stream.getvalue()


def test_silent_client_does_not_block_tls(tmp_path: Path) -> None:
    """Guards against one client that connects, sends nothing and stops all others."""
    certificate, key = write_certificate(tmp_path)
    server = start_server(TlsSettings(certificate, key))
    host, _, port = server.address.rpartition(":")
    url = f"https://{server.address}/x"
    trusting = urllib3.PoolManager(ca_certs=certificate, retries=False)
    try:
        with socket.create_connection((host, int(port))) as silent:
            assert trusting.request("GET", url, timeout=2.0).json()["path"] == "/x"
            silent.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert not silent.recv(100).startswith(b"HTTP/1.1 200")
        with pytest.raises(urllib3.exceptions.SSLError):
            urllib3.PoolManager(retries=False).request("GET", url, timeout=2.0)
        assert trusting.request("GET", url, timeout=2.0).status == 200
    finally:
        server.close()
