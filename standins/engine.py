"""Stand-in for a model engine that serves a range of layers."""

import hashlib
import json
import os
import threading
import time
from collections import deque
from collections.abc import Iterator
from typing import Any

import urllib3

from standins.http import (
    Answer,
    Body,
    ConnectionDropped,
    StandinServer,
    drop_connection,
)

WORDS = ("draw", "anchor", "aim", "hold", "loose", "follow", "rest", "nock")
VOCABULARY = tuple(f"{word} " for word in WORDS)
MAX_CACHE_EVENTS = 64


def expected_tokens(prompt: str, max_tokens: int) -> tuple[str, ...]:
    """Return the tokens that any engine chain generates for a prompt."""
    return tuple(_token(prompt, index) for index in range(max_tokens))


def _token(prompt: str, index: int) -> str:
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=2).digest()
    return VOCABULARY[digest[0] % len(VOCABULARY)]


class Engine:
    """HTTP server with the engine protocol and injectable faults.

    Generates deterministic tokens, or relays those of the next stage in the chain.
    Faults are set in faults or over POST /faults: crash_on (a prompt with this text
    ends the process or server), fail_at (token index at which the connection drops),
    stall_at (token index) and stall_s, other_request (frames carry another request
    id), garbage (frames are not JSON), refuse (status), token_s (seconds per token),
    lose_orders (number of orders that are applied but whose answer is dropped).
    """

    def __init__(
        self,
        *,
        layers: tuple[int, int],
        port: int = 0,
        token_s: float = 0.001,
        exit_on_crash: bool = False,
        checks_fencing: bool = False,
        address: str = "127.0.0.1",
    ) -> None:
        self.server = StandinServer(port=port, address=address)
        self.layers = layers
        self.faults: Body = {"token_s": token_s}
        self.received: list[str] = []
        self.orders: list[Body] = []
        self.cancelled: set[tuple[str, int]] = set()
        self.state: Body = {"model": "", "version": "1", "role": "any"}
        self.state.update(layers=list(layers), adapters=[])
        self._running = 0
        self._lock = threading.Lock()
        self._exit_on_crash = exit_on_crash
        self._checks_fencing = checks_fencing
        self._highest_fence = -1
        self._events: deque[Body] = deque(maxlen=MAX_CACHE_EVENTS)
        self._sequence = 0
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=64, retries=False)
        route = self.server.route
        route("POST", "/v1/generate", self._handle_generate)
        route("POST", "/v1/cancel", self._handle_cancel)
        route("GET", "/v1/load", self._handle_load)
        route("GET", "/v1/cache_events", self._handle_cache_events)
        route("GET", "/v1/state", lambda body, query: (200, self.state))
        route("POST", "/v1/orders", self._handle_order)
        route("POST", "/faults", self._set_faults)
        route("GET", "/received", lambda b, q: (200, {"ids": self.received}))

    def start(self) -> None:
        """Start serving in a background thread."""
        self.server.start()

    def close(self) -> None:
        """Stop serving and release the address."""
        self.server.close()
        self._pool.clear()

    def _set_faults(self, body: Body, query: dict[str, str]) -> Answer:
        self.faults.update(body)
        return 200, self.faults

    def _handle_load(self, body: Body, query: dict[str, str]) -> Answer:
        return 200, {"running": self._running, "queued": 0, "age_s": 0.2}

    def _handle_cache_events(self, body: Body, query: dict[str, str]) -> Answer:
        since = int(query.get("since", "0"))
        return 200, {"events": [e for e in self._events if e["sequence"] > since]}

    def _handle_cancel(self, body: Body, query: dict[str, str]) -> Answer:
        self.cancelled.add((body["request_id"], body["attempt"]))
        return 200, {}

    def _handle_order(self, body: Body, query: dict[str, str]) -> Answer:
        fence = int(body.get("fence", -1))
        if self._checks_fencing and fence < self._highest_fence:
            return 409, {"error": "stale fencing token", "state": self.state}
        expected = body.get("expected")
        target = body.get("state", {})
        current = {name: self.state.get(name) for name in target}
        if expected is not None and current not in (expected, target):
            return 412, {"error": "unexpected state", "state": self.state}
        self._highest_fence = max(self._highest_fence, fence)
        self.orders.append(body)
        self.state.update(target)
        self.layers = (self.state["layers"][0], self.state["layers"][1])
        if self.faults.get("lose_orders"):
            self.faults["lose_orders"] -= 1
            return drop_connection()
        return 200, {"state": self.state}

    def _handle_generate(self, body: Body, query: dict[str, str]) -> Answer:
        self.received.append(body["request_id"])
        if "refuse" in self.faults:
            return int(self.faults["refuse"]), {"error": "refused"}
        crash_on = self.faults.get("crash_on")
        if crash_on and crash_on in body["prompt"]:
            if self._exit_on_crash:
                os._exit(1)
            threading.Thread(target=self.close, daemon=True).start()
            return drop_connection()
        return self._stream_frames(body)

    def _stream_frames(self, body: Body) -> Iterator[bytes]:
        with self._lock:
            self._running += 1
            self._sequence += 1
            stored = [hash(body["prompt"][:64]) & 0xFFFFFFFF]
            event = {"sequence": self._sequence, "stored": stored, "evicted": []}
            self._events.append(event)
        try:
            rest = body["chain"][1:]
            frames = (
                self._relay_next_stage(body, rest)
                if rest
                else self._generate_tokens(body)
            )
            for frame in frames:
                if "index" in frame:
                    frame["layers"] = [list(self.layers), *frame["layers"]]
                    self._apply_faults(frame)
                if self.faults.get("garbage"):
                    yield b"data: {not json\n\n"
                    continue
                yield b"data: " + json.dumps(frame).encode() + b"\n\n"
        finally:
            with self._lock:
                self._running -= 1

    def _apply_faults(self, frame: Body) -> None:
        if frame["index"] == self.faults.get("stall_at"):
            time.sleep(self.faults.get("stall_s", 5.0))
        if frame["index"] == self.faults.get("fail_at"):
            raise ConnectionDropped
        if self.faults.get("other_request"):
            frame["request_id"] = "other"

    def _generate_tokens(self, body: Body) -> Iterator[Body]:
        ids = {"request_id": body["request_id"], "attempt": body["attempt"]}
        for index in range(body["first_index"], body["max_tokens"]):
            if (body["request_id"], body["attempt"]) in self.cancelled:
                return
            time.sleep(self.faults["token_s"])
            text = _token(body["prompt"], index)
            yield {**ids, "index": index, "text": text, "layers": []}
        count = body["max_tokens"]
        yield {**ids, "done": True, "count": count, "finish_reason": "length"}

    def _relay_next_stage(self, body: Body, rest: list[Any]) -> Iterator[Body]:
        address = rest[0]["address"]
        error = {"error": "next stage failed", "stage": address}
        try:
            response = self._pool.request(
                "POST",
                f"http://{address}/v1/generate",
                body=json.dumps({**body, "chain": rest}).encode(),
                preload_content=False,
                timeout=urllib3.Timeout(connect=0.5, read=30.0),
            )
            if response.status != 200:
                yield error
                return
            done = False
            for line in response:
                if line.startswith(b"data: "):
                    frame = json.loads(line[6:])
                    done = done or "done" in frame or "error" in frame
                    yield frame
            if not done:
                yield error
        except (urllib3.exceptions.HTTPError, OSError):
            yield error
