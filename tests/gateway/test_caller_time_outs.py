"""Tests of the time-outs of callers' connections, in simulated time."""

import asyncio

import pytest

from tests.gateway.test_caller_overload import LIMITS, Caller

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
HALF = b"GET / HTTP/1.1\r\n"
IDLE_S, HEAD_S = LIMITS.idle_timeout_s, LIMITS.header_timeout_s


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances to the next timer instead of passing."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0
        select = self._selector.select  # type: ignore[attr-defined]

        def advance(timeout_s: float | None) -> object:
            self._now_s += timeout_s or 0.0
            return select(0)

        self._selector.select = advance  # type: ignore[attr-defined]

    def time(self) -> float:
        return self._now_s


@pytest.mark.parametrize(
    ("steps", "end_s", "statuses"),
    [
        ([], IDLE_S, []),
        ([(10, REQUEST), (10, None)], 10 + IDLE_S, [200]),
        ([(n, part) for n in range(40) for part in (REQUEST, None)], 39 + IDLE_S, None),
        ([(1, REQUEST), (50, None)], 50 + IDLE_S, [200]),
        ([(14, HALF)], 14 + HEAD_S, [408]),
        ([(1, REQUEST), (1, None), (5, HALF)], 5 + HEAD_S, [200, 408]),
        ([(1, REQUEST), (2, HALF), (9, None)], 9 + HEAD_S, [200, 408]),
    ],
    ids=["idle", "kept", "often", "long answer", "head", "later head", "behind"],
)
def test_connection_ends_when_its_last_time_out_is_due(
    steps: list[tuple[float, bytes | None]], end_s: float, statuses: list[int] | None
) -> None:
    """Guards against a time-out that ends with an earlier or a later one."""

    async def run() -> None:
        caller = Caller()
        for at_s, data in steps:
            await asyncio.sleep(at_s - loop.time())
            if data is None:
                caller.connection.write_answer(200, (), b"")
            else:
                caller.receive(data)
        await asyncio.sleep(end_s - 0.01 - loop.time())
        assert not caller.transport.is_closing()
        assert 408 not in caller.statuses
        await asyncio.sleep(0.02)
        assert caller.transport.is_closing() or caller.transport.has_written_eof
        assert statuses is None or caller.statuses == statuses
        caller.connection.connection_lost(None)
        assert all(handle.cancelled() for handle in loop._scheduled)  # type: ignore[attr-defined]

    loop = SimulatedLoop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
