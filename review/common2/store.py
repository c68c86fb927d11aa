"""Stand-in for the platform's metadata store: two keyed topics and one group."""

import base64
import json
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Store:
    """Keyed topics as logs, with long polls, and a group with one owner."""

    def __init__(self) -> None:
        self._topics = {"keyed.op": [], "keyed.servers": []}
        self._members = {}
        self._generation = 0
        self._changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments) -> None:
                """Write no access log."""

            def do_GET(self) -> None:
                """Serve the reads."""
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                if parts.path == "/persimmonwell/log-newest":
                    self._send(200, store.newest(query))
                elif parts.path == "/persimmonwell/log-read":
                    self._send(*store.read(query))
                else:
                    self._send(404, b"{}")

            def do_POST(self) -> None:
                """Serve the calls of the group."""
                size = int(self.headers.get("Content-Length", "0"))
                body = json.loads(self.rfile.read(size) or b"{}")
                if self.path.startswith("/persimmonwell/log-join"):
                    self._send(200, store.join(body))
                elif self.path.startswith("/persimmonwell/log-leave"):
                    self._send(200, store.leave(body))
                else:
                    self._send(404, b"{}")

            def _send(self, status: int, data: bytes) -> None:
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        # A host that is ended leaves its last calls without a reader.
        self._server.handle_error = lambda request, address: None
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, topic: str, key: str, document: object) -> None:
        """Write a record; None removes the key."""
        value = b"" if document is None else json.dumps(document).encode()
        with self._changed:
            self._topics[topic].append((key, value))
            self._changed.notify_all()

    def newest(self, query: dict) -> bytes:
        """Return the newest record of each key."""
        with self._changed:
            log = self._topics.get(query["topic"], [])
            last = {key: n for n, (key, _) in enumerate(log)}
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(log[n][1]).decode(),
                    "offset": n,
                }
                for key, n in sorted(last.items())
                if log[n][1] and key > query.get("after", "")
            ]
            page = items[:500]
            answer = {"items": page, "has_more": len(items) > 500, "end": len(log)}
            return json.dumps(answer).encode()

    def read(self, query: dict) -> tuple[int, bytes]:
        """Return the records from an offset on."""
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self._changed:
            log = self._topics.get(query["topic"], [])
            while len(log) <= start and (rest := until - time.monotonic()) > 0:
                self._changed.wait(rest)
            data = struct.pack(">QQ", len(log), 0)
            for key, value in log[start : start + 500]:
                name = key.encode()
                content = bytes((len(name),)) + name + value
                data += struct.pack(">I", len(content)) + content
            return 200, data

    def join(self, body: dict) -> bytes:
        """Keep a member in the group; the first live one holds all partitions."""
        with self._changed:
            now = time.monotonic()
            for member, until in list(self._members.items()):
                if until < now:
                    del self._members[member]
                    self._generation += 1
            if body["member"] not in self._members:
                self._generation += 1
            self._members[body["member"]] = now + body["ttl_ms"] / 1000
            owner = next(iter(self._members)) == body["member"]
            parts = [[topic, 0, 0] for topic in body["topics"] if owner]
            answer = {"generation": self._generation, "parts": parts}
            return json.dumps({**answer, "ttl_ms": body["ttl_ms"]}).encode()

    def leave(self, body: dict) -> bytes:
        """Remove a member."""
        with self._changed:
            if self._members.pop(body["member"], None) is not None:
                self._generation += 1
            return json.dumps({"generation": self._generation}).encode()
