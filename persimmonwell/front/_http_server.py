"""HTTP server on one address, based on cheroot."""

import logging
import math
import resource
import select
import socket
import ssl
import threading
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any
from urllib.parse import unquote_to_bytes

import attrs
from cheroot import wsgi
from cheroot.ssl.builtin import BuiltinSSLAdapter

from persimmonwell._exceptions import PersimmonwellError, UnframedBodyError
from persimmonwell.core._types import Outcome
from persimmonwell.core.resources import caller_connection_bound
from persimmonwell.front._caller_connections import CallerConnection, CallerConnections
from persimmonwell.front._caller_memory import DEFAULT_MEMORY_MB, CallerMemory
from persimmonwell.front._parsing import HttpRequest, read_body
from persimmonwell.front._responses import HttpResponse, error_response
from persimmonwell.observe import part_logger
from persimmonwell.settings import TlsSettings

Handler = Callable[[HttpRequest], HttpResponse]

ACCEPT_BACKLOG = 1024
CONNECTION_KEY = "persimmonwell.connection"
ACCEPT_FAILURE = "Error in HTTPServer.serve"
"""Message with which cheroot reports that a connection could not be accepted."""
ACCEPT_PAUSE_S = 0.1
MAX_DESCRIPTORS = 65_536
"""Descriptors that are counted on where the system sets no limit."""
SOCKET_BUFFER_BYTES = 98_304
"""Bytes in the kernel for each direction of a connection, which count as memory of the
process; by default they grow to megabytes. Over a round trip of 6 ms 75 KB sustain 100
Mbit/s."""
WATCH_INTERVAL_S = 0.25
"""Time between two looks at slow requests and at bodies that wait for memory."""
STOP_POLL_S = 0.1
"""Maximum time until the serving loop notices a stop, seconds."""
MAX_HEADER_BYTES = 32_768
"""Default bound on a request line and its headers."""


class _TlsAdapter(BuiltinSSLAdapter):
    """TLS adapter that defers the handshake to the thread that reads the request.

    cheroot runs the handshake in the accepting thread, where one client that sends
    nothing blocks all others until the timeout.
    """

    def wrap(self, sock: Any) -> tuple[ssl.SSLSocket, dict[str, str]]:
        """Return the wrapped socket and its additions to the WSGI environment."""
        wrapped = self.context.wrap_socket(
            sock, do_handshake_on_connect=False, server_side=True
        )
        return wrapped, {"wsgi.url_scheme": "https", "HTTPS": "on"}


class _Server(wsgi.Server):
    """cheroot server that gives threads only to connections with data to read."""

    ConnectionClass = CallerConnection
    caller_connections: CallerConnections

    def process_conn(self, conn: Any) -> None:
        """Queue a readable connection, or wait for its first bytes without a thread.

        cheroot assigns a thread to each new connection, so idle connections could
        occupy all threads until the timeout.
        """
        if not conn.is_counted:
            conn.is_counted = True
            if not self.caller_connections.admit(conn):
                return
        if conn.is_evicted:
            conn.close()
        elif not conn.has_waited_for_data and not _is_readable(conn.socket):
            conn.has_waited_for_data = True
            connections: Any = vars(self)["_connections"]
            connections.put(conn)
        elif self.caller_connections.queue(conn):
            super().process_conn(conn)
        else:
            conn.close()

    @property
    def waiting_requests(self) -> int:
        """Return how many requests wait for a thread."""
        pool: Any = self.requests
        return 0 if pool.idle else int(pool.qsize)

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log server faults at ERROR and connection errors at DEBUG.

        A message with a traceback is replaced, because it holds the exception's
        value, which may contain request text.
        """
        is_error = level >= logging.ERROR
        if traceback and msg == ACCEPT_FAILURE:
            # Without a free descriptor, cheroot tries to accept again at once.
            time.sleep(ACCEPT_PAUSE_S)
        log = part_logger("http").opt(exception=traceback and is_error)
        message = "exception in a request thread" if traceback else str(msg)[:200]
        log.log("ERROR" if is_error else "DEBUG", "{}", message)


class HttpServer:
    """HTTP server that listens on one address and serves in its own threads."""

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
        max_header_bytes: int = MAX_HEADER_BYTES,
        max_connections: int | None = None,
        memory: CallerMemory | None = None,
        count_ended: Callable[[str], None] = lambda reason: None,
    ) -> None:
        """Prepare the server.

        `max_connections` defaults to what the descriptors of the process allow. The
        ports of a process share one `memory`.
        `count_ended` gets the reason for which a connection was refused or ended.
        """
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
        self._server.max_request_header_size = max_header_bytes
        self._server.expiration_interval = STOP_POLL_S
        self._connections = CallerConnections(
            bound=max_connections or process_connection_bound(),
            memory=memory or CallerMemory(DEFAULT_MEMORY_MB),
            count_ended=count_ended,
        )
        self._server.caller_connections = self._connections
        if tls is not None:
            self._server.ssl_adapter = _TlsAdapter(tls.certificate, tls.key)
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._stopping = threading.Event()
        self._watch = threading.Thread(target=self._watch_requests, daemon=True)

    @property
    def address(self) -> str:
        """Return the bound address as IP:PORT."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    @property
    def threads_in_use(self) -> int:
        """Return the number of threads that currently serve a connection."""
        pool = self._server.requests
        return len(pool._threads) - int(pool.idle)

    def start(self) -> None:
        """Bind the address and start serving in a background thread."""
        self._server.prepare()
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            # Accepted connections inherit it.
            self._server.socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
        self._thread.start()
        self._watch.start()

    def close(self) -> None:
        """Stop accepting, finish requests in flight, and release the address."""
        self._server.stop()
        self._thread.join(timeout=5.0)
        self._stopping.set()
        if self._watch.ident is not None:
            self._watch.join()

    def _watch_requests(self) -> None:
        while not self._stopping.wait(WATCH_INTERVAL_S):
            self._connections.memory.tick()
            self._connections.end_slow(waiting=self._server.waiting_requests)


def process_connection_bound() -> int:
    """Return how many connections the descriptors of the process allow."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = MAX_DESCRIPTORS
    return caller_connection_bound(limit, None)


class _Gateway(wsgi.Gateway_10):
    """WSGI gateway that adds the caller's connection to the environment."""

    def get_environ(self) -> Any:
        """Return the WSGI environment with the caller's connection."""
        environ: Any = super().get_environ()  # type: ignore[no-untyped-call]
        environ[CONNECTION_KEY] = self.req.conn
        return environ


def _is_readable(connection: socket.socket) -> bool:
    """Return whether a read would return bytes or the end of the stream at once."""
    try:
        return bool(select.select([connection], [], [], 0)[0])
    except (OSError, ValueError):
        return True


def _is_connected(connection: socket.socket) -> bool:
    """Return whether the caller has not closed its side of the connection."""
    if isinstance(connection, ssl.SSLSocket):
        # TLS sockets do not support MSG_PEEK; a failed write shows the close.
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
        # The server would parse the unread chunks as the next request.
        raise UnframedBodyError("Transfer-Encoding")
    connection: CallerConnection = environ[CONNECTION_KEY]
    body = read_body(
        partial(connection.read_body, environ["wsgi.input"].read),
        environ.get("CONTENT_LENGTH", ""),
        limit_bytes=max_body_bytes,
    )
    connection.run_request()
    return HttpRequest(
        method=environ["REQUEST_METHOD"].upper(),
        path=_decode_path(environ),
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=body,
        is_caller_connected=partial(_is_connected, connection.socket),
    )


def _decode_path(environ: dict[str, Any]) -> str:
    """Return the path, percent-decoded once.

    PATH_INFO is already decoded except for %2F, and decoding it again would change
    a path that contains an encoded percent sign.
    """
    raw = environ.get("REQUEST_URI", "").partition("?")[0]
    if not raw.startswith("/"):
        raw = environ.get("PATH_INFO", "")
    return unquote_to_bytes(raw.encode("latin-1")).decode("latin-1")
