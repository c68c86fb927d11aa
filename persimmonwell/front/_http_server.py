"""Serve HTTP with cheroot on one address."""

import math
import select
import socket
import ssl
import threading
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any
from urllib.parse import unquote_to_bytes

from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from persimmonwell._exceptions import PersimmonwellError
from persimmonwell.core._types import Outcome
from persimmonwell.front._parsing import HttpRequest, read_body
from persimmonwell.front._responses import HttpResponse, error_response
from persimmonwell.settings import TlsSettings

Handler = Callable[[HttpRequest], HttpResponse]

ACCEPT_BACKLOG = 1024
CONNECTION_KEY = "persimmonwell.connection"
STOP_POLL_S = 0.1
"""Longest time until the server notices that it was closed, seconds."""


class HttpServer:
    """Hold one listening cheroot server and its thread."""

    def __init__(
        self,
        *,
        address: str,
        threads: int,
        max_body_bytes: int,
        io_timeout_s: float,
        handler: Handler,
        tls: TlsSettings | None = None,
        drain_timeout_s: float = 5.0,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._server = wsgi.Server(
            (host.strip("[]"), int(port)),
            _wsgi_application(handler, max_body_bytes),
            numthreads=threads,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=math.ceil(io_timeout_s),
            shutdown_timeout=math.ceil(drain_timeout_s),
            server_name="persimmonwell",
        )
        self._server.gateway = _Gateway
        self._server.expiration_interval = STOP_POLL_S
        if tls is not None:
            self._server.ssl_adapter = BuiltinSSLAdapter(tls.certificate, tls.key)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def address(self) -> str:
        """Return the bound address, numeric IP and port."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Bind the address and serve in a thread."""
        self._server.prepare()
        self._thread.start()

    def close(self) -> None:
        """Stop accepting, finish requests in flight, and release the address."""
        self._server.stop()
        self._thread.join(timeout=5.0)


class _Gateway(wsgi.Gateway_10):
    """Add a check of the caller's connection to the WSGI environment."""

    def get_environ(self) -> Any:
        """Return the WSGI environment of the request."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn.socket
        return environ


def _is_open(connection: socket.socket) -> bool:
    """Return whether the caller still holds its side of the connection."""
    if isinstance(connection, ssl.SSLSocket):
        # TLS sockets cannot be peeked; a failed write reveals a closed one.
        return True
    try:
        readable, _, _ = select.select([connection], [], [], 0)
        return not readable or bool(connection.recv(1, socket.MSG_PEEK))
    except (OSError, ValueError):
        return False


def _wsgi_application(handler: Handler, max_body_bytes: int) -> Callable[..., Any]:
    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = _respond(handler, environ, max_body_bytes)
        start_response(response.status_line, list(response.headers))
        return response.body

    return application


def _respond(
    handler: Handler, environ: dict[str, Any], max_body_bytes: int
) -> HttpResponse:
    try:
        return handler(_read_request(environ, max_body_bytes))
    except PersimmonwellError as error:
        return error_response(error, Outcome.NOT_RUN)


def _read_request(environ: dict[str, Any], max_body_bytes: int) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE", "")
    body = read_body(
        environ["wsgi.input"].read,
        environ.get("CONTENT_LENGTH", ""),
        limit_bytes=max_body_bytes,
    )
    raw_path = environ.get("PATH_INFO", "")
    return HttpRequest(
        method=environ["REQUEST_METHOD"].upper(),
        path=unquote_to_bytes(raw_path.encode("latin-1")).decode("latin-1"),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
        caller_is_open=partial(_is_open, environ[CONNECTION_KEY]),
    )
