"""Client of the engine protocol: attempts, token frames, load and cache events."""

from collections.abc import Iterator
from typing import Any

import attrs
import msgspec
import urllib3

from persimmonwell.core._types import Chain, Rank
from persimmonwell.core.retry import EndFrame, TokenFrame
from persimmonwell.core.router import FailureKind
from persimmonwell.upstream._whole_head import create_pool_manager

CONTROL_TIMEOUT_S = 1.0
MAX_FRAME_BYTES = 256 * 1024
READ_CHUNK_BYTES = 64 * 1024


class _Frame(msgspec.Struct):
    request_id: str = ""
    attempt: int = -1
    index: int = -1
    text: str = ""
    layers: list[tuple[int, int]] = []
    done: bool = False
    count: int = -1
    finish_reason: str = "stop"
    error: str | None = None
    stage: str = ""


class _Load(msgspec.Struct):
    running: int
    queued: int
    age_s: float = 0.0


class _CacheEvent(msgspec.Struct):
    sequence: int
    stored: list[int] = []
    evicted: list[int] = []


class _CacheEvents(msgspec.Struct):
    events: list[_CacheEvent]


@attrs.frozen
class AttemptFailedError(Exception):
    """Raised when an attempt ends before its end frame."""

    failure: FailureKind
    address: str
    """Address of the failed stage, or of the first stage if it is not known."""
    reason: str


@attrs.frozen
class EngineLoad:
    """Load that an engine reports."""

    running: int
    queued: int
    age_s: float


@attrs.frozen
class EngineCacheEvent:
    """Prefix-cache event of an engine: blocks stored and evicted."""

    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@attrs.frozen
class Attempt:
    """Parameters of one attempt to run a model request on a chain of engines."""

    request_id: str
    attempt: int
    model: str
    prompt: str
    tokens: tuple[str, ...]
    """Tokens accepted from earlier attempts, which this attempt continues."""
    max_tokens: int
    rank: Rank
    chain: Chain
    parameters: dict[str, Any] = attrs.field(factory=dict)
    """Sampling parameters, forwarded unchanged."""

    def encode(self) -> bytes:
        """Return the JSON body of the /v1/generate request."""
        return msgspec.json.encode(
            {
                "request_id": self.request_id,
                "attempt": self.attempt,
                "model": self.model,
                "prompt": self.prompt,
                "tokens": self.tokens,
                "first_index": len(self.tokens),
                "max_tokens": self.max_tokens,
                "priority": int(self.rank),
                "parameters": self.parameters,
                "chain": _encode_stages(self.chain.stages),
                "prefill_chain": _encode_stages(self.chain.prefill_stages),
            }
        )


def _encode_stages(stages: tuple[Any, ...]) -> list[dict[str, object]]:
    return [
        {"address": s.address, "layers": [s.layers.start, s.layers.stop]}
        for s in stages
    ]


class EngineClient:
    """HTTP client with a connection pool for all engines."""

    def __init__(
        self,
        *,
        connect_timeout_s: float,
        first_frame_timeout_s: float,
        stall_timeout_s: float,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._first_frame_timeout_s = first_frame_timeout_s
        self._stall_timeout_s = stall_timeout_s
        self._pool = create_pool_manager(num_pools=2048, maxsize=64)
        self._control_timeout = urllib3.Timeout(total=CONTROL_TIMEOUT_S)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def stream(self, attempt: Attempt) -> Iterator[TokenFrame | EndFrame]:
        """Run an attempt and yield its frames up to the end frame.

        Raise AttemptFailedError when the stream ends early or stalls.
        """
        head_address = attempt.chain.stages[0].address
        response = self._send_attempt(head_address, attempt.encode())
        try:
            yield from self._read_frames(head_address, response)
        finally:
            # Closed first, since a connection with unread frames must not be reused.
            response.close()
            response.release_conn()

    def _send_attempt(self, address: str, body: bytes) -> urllib3.BaseHTTPResponse:
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_s, read=self._first_frame_timeout_s
        )
        try:
            response = self._pool.request(
                "POST",
                f"http://{address}/v1/generate",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=timeout,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            kind = FailureKind.NOT_SENT
            raise AttemptFailedError(kind, address, type(error).__name__) from error
        except urllib3.exceptions.ReadTimeoutError as error:
            kind = FailureKind.TIMEOUT
            raise AttemptFailedError(kind, address, "no first frame") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            kind = FailureKind.LOST
            raise AttemptFailedError(kind, address, type(error).__name__) from error
        if response.status != 200:
            response.close()
            busy = response.status in (429, 503)
            kind = FailureKind.BUSY if busy else FailureKind.INVALID_ANSWER
            raise AttemptFailedError(kind, address, f"status {response.status}")
        return response

    def _read_frames(
        self, head_address: str, response: urllib3.BaseHTTPResponse
    ) -> Iterator[TokenFrame | EndFrame]:
        started = False
        try:
            for line in _read_lines(response):
                if not line.startswith(b"data: "):
                    continue
                frame = _decode_frame(head_address, line[6:])
                if not started:
                    started = True
                    self._set_read_timeout(response, self._stall_timeout_s)
                yield frame
                if isinstance(frame, EndFrame):
                    return
        except TimeoutError as error:
            kind = FailureKind.TIMEOUT
            raise AttemptFailedError(kind, head_address, "no frame in time") from error
        except urllib3.exceptions.ReadTimeoutError as error:
            kind = FailureKind.TIMEOUT
            raise AttemptFailedError(kind, head_address, "no frame in time") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            kind = FailureKind.LOST
            raise AttemptFailedError(
                kind, head_address, type(error).__name__
            ) from error
        raise AttemptFailedError(FailureKind.LOST, head_address, "answer ended early")

    @staticmethod
    def _set_read_timeout(response: urllib3.BaseHTTPResponse, timeout_s: float) -> None:
        connection = getattr(response, "connection", None)
        sock = getattr(connection, "sock", None)
        if sock is not None:
            sock.settimeout(timeout_s)

    def cancel(self, address: str, request_id: str, attempt: int) -> None:
        """Ask an engine to cancel an attempt; ignore failures."""
        body = msgspec.json.encode({"request_id": request_id, "attempt": attempt})
        try:
            self._pool.request(
                "POST",
                f"http://{address}/v1/cancel",
                body=body,
                timeout=self._control_timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return

    def fetch_load(self, address: str) -> EngineLoad | None:
        """Return the load that an engine reports, or None without a valid answer."""
        data = self._get(address, "/v1/load")
        if data is None:
            return None
        try:
            load = msgspec.json.decode(data, type=_Load)
        except msgspec.MsgspecError:
            return None
        return EngineLoad(load.running, load.queued, load.age_s)

    def fetch_cache_events(
        self, address: str, since: int
    ) -> tuple[EngineCacheEvent, ...]:
        """Return the cache events after a sequence number; empty without an answer."""
        data = self._get(address, f"/v1/cache_events?since={since}")
        if data is None:
            return ()
        try:
            answer = msgspec.json.decode(data, type=_CacheEvents)
        except msgspec.MsgspecError:
            return ()
        return tuple(
            EngineCacheEvent(e.sequence, tuple(e.stored), tuple(e.evicted))
            for e in answer.events
        )

    def _get(self, address: str, path: str) -> bytes | None:
        try:
            response = self._pool.request(
                "GET", f"http://{address}{path}", timeout=self._control_timeout
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return response.data if response.status == 200 else None


def _read_lines(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b""
    # read1() returns the bytes that have arrived. stream() would block until the end
    # of an answer that is delimited by closing the connection.
    while chunk := response.read1(READ_CHUNK_BYTES):
        pending += chunk
        *lines, pending = pending.split(b"\n")
        yield from lines
        if len(pending) > MAX_FRAME_BYTES:
            raise urllib3.exceptions.ProtocolError("frame too large")


def _decode_frame(head_address: str, data: bytes) -> TokenFrame | EndFrame:
    try:
        frame = msgspec.json.decode(data, type=_Frame)
    except msgspec.MsgspecError as error:
        kind = FailureKind.INVALID_ANSWER
        raise AttemptFailedError(kind, head_address, "malformed frame") from error
    if frame.error is not None:
        failed_address = frame.stage or head_address
        raise AttemptFailedError(FailureKind.LOST, failed_address, frame.error[:200])
    if frame.done:
        return EndFrame(
            frame.request_id, frame.attempt, frame.count, frame.finish_reason
        )
    layers = tuple((start, stop) for start, stop in frame.layers)
    return TokenFrame(frame.request_id, frame.attempt, frame.index, frame.text, layers)
