"""HTTP server with JSON routes on loopback, shared by the stand-ins."""

import json
import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import parse_qs

from cheroot import errors, wsgi

Body = dict[str, Any]
Answer = tuple[int, Body | bytes] | Iterator[bytes]
Route = Callable[[Body, dict[str, str]], Answer]
"""Handler of one route.

It takes the JSON body and the query parameters. The latter also hold the path as
"path" and the request headers under their WSGI names, such as HTTP_IDEMPOTENCY_KEY.
"""
THREADS = 64


class ConnectionDropped(errors.FatalSSLAlert):
    """Drops the connection without a response.

    A FatalSSLAlert because cheroot closes the connection silently on this error
    only; any other exception makes it answer with status 500.
    """


class StandinServer:
    """Threaded HTTP server that dispatches requests to JSON or stream handlers."""

    def __init__(
        self, *, port: int = 0, address: str = "127.0.0.1", threads: int = THREADS
    ) -> None:
        self._server = wsgi.Server(
            (address, port),
            self._application,
            numthreads=threads,
            request_queue_size=512,
            shutdown_timeout=1,
        )
        self._server.expiration_interval = 0.02
        self._server.error_log = lambda *_, **__: None
        self._routes: dict[tuple[str, str], Route] = {}
        self.answer_headers: dict[str, str] = {}
        """Headers of all answers but streams."""
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    @property
    def address(self) -> str:
        """Bound address as numeric IP and port."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self.address}"

    def route(self, method: str, prefix: str, handler: Route) -> None:
        """Register a handler for a path prefix; the longest matching prefix wins."""
        self._routes[(method, prefix)] = handler

    def start(self) -> None:
        """Bind the address and serve in a background thread."""
        self._server.prepare()
        self._thread.start()

    def close(self) -> None:
        """Stop serving and release the address."""
        self._server.stop()
        self._thread.join(timeout=2.0)

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        query["path"] = path
        for name, value in environ.items():
            if name.startswith("HTTP_"):
                query[name] = value
        length = int(environ.get("CONTENT_LENGTH") or 0)
        raw = environ["wsgi.input"].read(length)
        try:
            body = json.loads(raw) if raw else {}
            if not isinstance(body, dict):
                raise ValueError
        except ValueError:
            body = {"raw": raw.decode("latin-1")}
        matches = [
            (len(prefix), handler)
            for (verb, prefix), handler in self._routes.items()
            if verb in (method, "*") and path.startswith(prefix)
        ]
        if not matches:
            status, answer = 404, {"error": "no route"}
        else:
            result = max(matches, key=lambda m: m[0])[1](body, query)
            if not isinstance(result, tuple):
                start_response("200 OK", [("Content-Type", "text/event-stream")])
                return result
            status, answer = result
        kind, data = "application/octet-stream", answer
        if not isinstance(data, bytes):
            kind, data = "application/json", json.dumps(answer).encode()
        headers = [
            ("Content-Type", kind),
            ("Content-Length", str(len(data))),
            *self.answer_headers.items(),
        ]
        start_response(f"{status} Status", headers)
        return [data]


def drop_connection() -> Iterator[bytes]:
    """Return a response body that drops the connection when it is iterated."""
    raise ConnectionDropped
    yield b""
