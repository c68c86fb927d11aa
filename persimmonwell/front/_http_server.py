"""Serve HTTP with cheroot on one address."""

import logging
import math
import select
import socket
import ssl
import threading
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any
from urllib.parse import unquote_to_bytes

import attrs
from cheroot import wsgi
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.ssl.builtin import BuiltinSSLAdapter

from persimmonwell._exceptions import PersimmonwellError, UnframedBodyError
from persimmonwell.core._types import Outcome
from persimmonwell.front._parsing import HttpRequest, read_body
from persimmonwell.front._responses import HttpResponse, error_response
from persimmonwell.observe import part_logger
from persimmonwell.settings import TlsSettings

Handler = Callable[[HttpRequest], HttpResponse]

ACCEPT_BACKLOG = 1024
CONNECTION_KEY = "persimmonwell.connection"
STOP_POLL_S = 0.1
"""Longest time until the server notices that it was closed, seconds."""


class _TlsAdapter(BuiltinSSLAdapter):
    """Leave the TLS handshake to the thread that reads the request.

    cheroot would run it in the accepting thread, where one silent client keeps
    every other one waiting until the timeout.
    """

    def wrap(self, sock: Any) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Return the wrapped socket and what the request's environment gets."""
        wrapped = self.context.wrap_socket(
            sock, do_handshake_on_connect=False, server_side=True
        )
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}


class _HeaderReader(HeaderReader):
    """Drop headers with underscores, which WSGI cannot tell from hyphens.

    cheroot's own reader of this kind fails on the bytes that it is given.
    """

    def _allow_header(self, key_name: bytes) -> bool:
        return b"_" not in key_name


class _Request(HTTPRequest):
    """Read headers with the stricter reader."""

    header_reader = _HeaderReader()


class _Connection(HTTPConnection):
    """Remember whether the caller has sent anything."""

    RequestHandlerClass = _Request
    awaited = False


class _Server(wsgi.Server):
    """Hand only connections with data to threads; log cheroot's messages."""

    ConnectionClass = _Connection

    def process_conn(self, conn: Any) -> None:
        """Queue a connection, or wait for its first bytes without a thread.

        cheroot gives a thread to each new connection, so that callers who send
        nothing would hold all threads until the timeout.
        """
        if conn.awaited or _is_readable(conn.socket):
            super().process_conn(conn)
            return
        conn.awaited = True
        connections: Any = vars(self)["_connections"]
        connections.put(conn)

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log a fault here as error, and a broken connection for debugging only.

        A message with a traceback holds the exception's value, which may contain
        request text, and is replaced.
        """
        failed = level >= logging.ERROR
        log = part_logger("http").opt(exception=traceback and failed)
        sentence = "exception in a request thread" if traceback else str(msg)[:200]
        log.log("ERROR" if failed else "DEBUG", "{}", sentence)


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
        self._server = _Server(
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
            self._server.ssl_adapter = _TlsAdapter(tls.certificate, tls.key)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def address(self) -> str:
        """Return the bound address, numeric IP and port."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    @property
    def threads_in_use(self) -> int:
        """Return the number of threads that serve a connection."""
        pool = self._server.requests
        return len(pool._threads) - int(pool.idle)

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


def _is_readable(connection: socket.socket) -> bool:
    """Return whether bytes or the end of the stream can be read."""
    try:
        return bool(select.select([connection], [], [], 0)[0])
    except (OSError, ValueError):
        return True


def _is_open(connection: socket.socket) -> bool:
    """Return whether the caller still holds its side of the connection."""
    if isinstance(connection, ssl.SSLSocket):
        # TLS sockets cannot be peeked; a failed write reveals a closed one.
        return True
    try:
        return not _is_readable(connection) or bool(connection.recv(1, socket.MSG_PEEK))
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
    except UnframedBodyError as error:
        response = error_response(error, Outcome.NOT_RUN)
        headers = (*response.headers, ("Connection", "close"))
        return attrs.evolve(response, headers=headers)
    except PersimmonwellError as error:
        return error_response(error, Outcome.NOT_RUN)


def _read_request(environ: dict[str, Any], max_body_bytes: int) -> HttpRequest:
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    headers["content-type"] = environ.get("CONTENT_TYPE", "")
    if "transfer-encoding" in headers:
        # The unread chunks would be taken for the next request.
        raise UnframedBodyError("Transfer-Encoding")
    body = read_body(
        environ["wsgi.input"].read,
        environ.get("CONTENT_LENGTH", ""),
        limit_bytes=max_body_bytes,
    )
    return HttpRequest(
        method=environ["REQUEST_METHOD"].upper(),
        path=_path_of(environ),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
        caller_is_open=partial(_is_open, environ[CONNECTION_KEY]),
    )


def _path_of(environ: dict[str, Any]) -> str:
    """Return the path, unquoted once.

    PATH_INFO is unquoted already but for %2F, so that unquoting it again would
    change a path that contains a quoted percent sign.
    """
    raw = environ.get("REQUEST_URI", "").partition("?")[0]
    if not raw.startswith("/"):
        raw = environ.get("PATH_INFO", "")
    return unquote_to_bytes(raw.encode("latin-1")).decode("latin-1")
