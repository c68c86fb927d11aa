"""Send orders and questions to replicas."""

import asyncio
from collections.abc import Sequence

import attrs

from persimmonwell.core.forwarding import ReplicaReport
from persimmonwell.gateway._http_connection import ConnectionPool, RawHeaders
from persimmonwell.platform import REPORT_PATH, decode_report

CALL_TIMEOUT_S = 0.6
"""Reports and orders are answered at once by a replica that is alive."""


@attrs.frozen
class CallAnswer:
    """Hold the answer to a call; status 0 when none came."""

    status: int
    body: bytes = b""
    detail: str = ""


class _Collector:
    def __init__(self, future: asyncio.Future[CallAnswer]) -> None:
        self._future = future
        self._status = 0
        self._body: list[bytes] = []

    def on_head(self, status: int, headers: RawHeaders) -> None:
        self._status = status

    def on_data(self, data: bytes) -> None:
        self._body.append(data)

    def on_end(self, *, is_framed: bool) -> None:
        self._settle(CallAnswer(self._status, b"".join(self._body)))

    def on_broken(self, detail: str) -> None:
        self._settle(CallAnswer(0, detail=detail))

    def _settle(self, answer: CallAnswer) -> None:
        if not self._future.done():
            self._future.set_result(answer)


async def call_replica(
    pool: ConnectionPool,
    address: str,
    *,
    method: str,
    path: str,
    body: bytes = b"",
    headers: Sequence[tuple[str, str]] = (),
) -> CallAnswer:
    """Call a replica once; the answer's status is 0 when none came in time."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    connection = pool.take_idle(address, max_idle_s=1.0)
    try:
        if connection is None:
            connection = await pool.connect(address)
    except (OSError, TimeoutError) as error:
        return CallAnswer(0, detail=type(error).__name__)
    future: asyncio.Future[CallAnswer] = asyncio.get_running_loop().create_future()
    connection.send(data, "", _Collector(future))
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await future
    except TimeoutError:
        connection.abort()
        return CallAnswer(0, detail="no answer")


async def ask_report(pool: ConnectionPool, address: str) -> ReplicaReport | None:
    """Return a replica's report, None when it does not answer with one."""
    answer = await call_replica(pool, address, method="GET", path=REPORT_PATH)
    return decode_report(answer.body) if answer.status == 200 else None
