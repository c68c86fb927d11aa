"""Control calls to replicas: orders and reports."""

import asyncio
from collections.abc import Callable, Sequence

import attrs

from persimmonwell.core.forwarding import ReplicaReport, ReplicaStatement
from persimmonwell.gateway._connection_pool import ConnectionPool
from persimmonwell.gateway._http_connection import RawHeaders
from persimmonwell.platform import REPORT_PATH, decode_answer_head, decode_report

CALL_TIMEOUT_S = 0.6
"""A live replica answers reports and orders without delay."""

MAX_ANSWER_BYTES = 1_048_576
"""Far above the size of a report that lists every request of a full replica."""


@attrs.frozen
class CallAnswer:
    """Answer to a call, with status 0 if none arrived in time."""

    status: int
    body: bytes = b""
    detail: str = ""
    statement: ReplicaStatement | None = None
    """What the replica says about itself; None if it did not answer."""


class _AnswerCollector:
    def __init__(
        self, future: asyncio.Future[CallAnswer], on_arrival: Callable[[], object]
    ) -> None:
        self._future = future
        self._on_arrival = on_arrival
        self._status = 0
        self._statement: ReplicaStatement | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_head(self, status: int, headers: RawHeaders) -> None:
        self._status = status
        self._statement = decode_answer_head(status, headers).statement

    def on_data(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > MAX_ANSWER_BYTES:
            self._body.clear()
            self._set_answer(CallAnswer(0, detail="answer too large"))
            return
        self._body.append(data)

    def on_end(self, *, is_framed: bool) -> None:
        body = b"".join(self._body)
        self._set_answer(CallAnswer(self._status, body, statement=self._statement))

    def on_broken(self, detail: str) -> None:
        self._set_answer(CallAnswer(0, detail=detail))

    def _set_answer(self, answer: CallAnswer) -> None:
        if not self._future.done():
            self._on_arrival()
            self._future.set_result(answer)


async def call_replica(
    pool: ConnectionPool,
    address: str,
    *,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Sequence[tuple[str, str]] = (),
    on_arrival: Callable[[], object] = lambda: None,
) -> CallAnswer:
    """Call a replica once, without retries.

    The answer has status 0 if the connection failed or no answer arrived in time.
    on_arrival is called as soon as the answer, or the end of the connection, is read.
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    connection = pool.acquire_idle(address, max_idle_s=1.0)
    try:
        if connection is None:
            connection = await pool.connect(address)
    except (OSError, TimeoutError) as error:
        return CallAnswer(0, detail=type(error).__name__)
    future: asyncio.Future[CallAnswer] = asyncio.get_running_loop().create_future()
    connection.send(data, "", _AnswerCollector(future, on_arrival))
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            answer = await future
    except TimeoutError:
        answer = CallAnswer(0, detail="no answer")
    if answer.status == 0:
        connection.abort()
    return answer


async def fetch_report(pool: ConnectionPool, address: str) -> ReplicaReport | None:
    """Return a replica's report, None if the call fails or the report is invalid."""
    answer = await call_replica(pool, address, method="GET", path=REPORT_PATH)
    return decode_report(answer.body) if answer.status == 200 else None
