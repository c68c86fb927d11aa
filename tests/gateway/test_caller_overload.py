"""Tests of callers' connections beyond the limits, over transports in memory."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    CallerPolicy,
    MemoryBudget,
)
from persimmonwell.gateway._caller_charges import BASE_CHARGE_BYTES
from persimmonwell.gateway._caller_connection import CallerConnection
from persimmonwell.gateway._caller_input import MAX_PARTS_A_TURN, MAX_PIPELINED_REQUESTS
from persimmonwell.gateway._caller_requests import REQUEST_PARTS, RawRequest
from persimmonwell.gateway._http_connection import (
    BODY_SLICE_BYTES,
    WRITE_HIGH_WATER_BYTES,
    AnswerMatch,
    UpstreamConnection,
)
from persimmonwell.gateway._request_body import UploadBuffers

MB = 1024 * 1024
LIMITS = CallerLimits(
    max_header_bytes=16_384,
    max_body_bytes=4 * MB,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
POLICY = CallerPolicy(discard_s=0.05, discard_bytes=100_000)


class MemoryTransport(asyncio.Transport):
    """Transport that records what is written, and takes no byte while it is full."""

    def __init__(self) -> None:
        super().__init__()
        self.protocol: asyncio.BaseProtocol | None = None
        self.written = bytearray()
        self.unsent_bytes = 0
        self.is_full = False
        self.is_reading = True
        self.has_written_eof = False
        self.largest_write = 0
        self._is_closing = False
        self._is_paused = False
        self._high_water = 65_536

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._high_water = high or 65_536

    def write(self, data: bytes | bytearray | memoryview) -> None:
        assert not self._is_closing and not self.has_written_eof
        self.written += data
        self.largest_write = max(self.largest_write, len(data))
        if self.is_full:
            self.unsent_bytes += len(data)
        if self.unsent_bytes > self._high_water and not self._is_paused:
            self._is_paused = True
            assert self.protocol is not None
            self.protocol.pause_writing()

    def drain(self) -> None:
        """Let the peer take all bytes."""
        self.is_full, self.unsent_bytes = False, 0
        if self._is_paused:
            self._is_paused = False
            assert self.protocol is not None
            self.protocol.resume_writing()

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def write_eof(self) -> None:
        self.has_written_eof = True

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        self._is_closing = True

    def abort(self) -> None:
        if not self._is_closing and isinstance(self.protocol, CallerConnection):
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)
        self._is_closing = True


class Caller:
    """One connection of a caller, whose requests the test answers."""

    def __init__(
        self, *, budget: MemoryBudget | None = None, policy: CallerPolicy = POLICY
    ) -> None:
        self.budget = budget or MemoryBudget(16 * MB, policy=policy)
        self.requests: list[RawRequest] = []
        self.answers_at_once = False
        """Whether a request is answered before the next byte is parsed."""
        self.refusals: list[str] = []
        self.transport = MemoryTransport()
        self.connection = CallerConnection(
            limits=lambda: LIMITS,
            on_request=self._take_request,
            is_draining=lambda: False,
            on_open_change=lambda caller, is_open: None,
            budget=self.budget,
            policy=policy,
            on_refused=self.refusals.append,
        )
        self.transport.protocol = self.connection
        self.connection.connection_made(self.transport)

    def _take_request(self, caller: CallerConnection, request: RawRequest) -> None:
        self.requests.append(request)
        if self.answers_at_once:
            caller.write_answer(404, (), b"")

    def receive(self, data: bytes, piece: int = 65_536) -> None:
        """Hand bytes over as a transport does, while it is not paused."""
        for start in range(0, len(data), piece):
            if not self.transport.is_reading or self.transport.is_closing():
                return
            self.connection.data_received(data[start : start + piece])

    @property
    def statuses(self) -> list[int]:
        parts = bytes(self.transport.written).split(b"HTTP/1.1 ")[1:]
        return [int(part[:3]) for part in parts]


def on_loop(test: Callable[[], Awaitable[None]]) -> None:
    async def run() -> None:
        await asyncio.wait_for(test(), 10.0)

    asyncio.run(run())


async def turns(count: int = 3) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def head(*lines: str) -> bytes:
    fields = ("POST /x HTTP/1.1", "Host: h", "Request-Id: r-1", *lines)
    return "\r\n".join(fields).encode() + b"\r\n\r\n"


GET = head("Content-Length: 0")
CHUNKED_LINE = "Transfer-Encoding: chunked"
CHUNKED = head(CHUNKED_LINE)


def test_few_requests_of_a_pipeline_are_parsed() -> None:
    """Guards against a read that becomes thousands of requests at once."""

    async def run() -> None:
        caller = Caller()
        caller.receive(GET * 100)
        assert len(caller.requests) == 1
        assert len(caller.connection._pipelined) == MAX_PIPELINED_REQUESTS
        assert not caller.transport.is_reading
        held = caller.budget.used_by_purpose["pipelines"]
        assert len(GET) * 95 < held < len(GET) * 95 + 8000
        for number in range(2, 101):
            caller.connection.write_answer(200, (), b"")
            await turns()
            assert len(caller.requests) == number
            waiting = len(caller.connection._pipelined)
            assert waiting == min(MAX_PIPELINED_REQUESTS, 100 - number)
            assert caller.transport.is_reading == (number >= 97)
        assert caller.budget.used_bytes == BASE_CHARGE_BYTES

    on_loop(run)


@pytest.mark.parametrize("piece", [1, 3, 50, 10_000])
def test_pipeline_is_parsed_alike_however_it_is_cut(piece: int) -> None:
    """Guards against requests lost or changed between two parts of a read."""
    body = b"5\r\n\r\n\r\na\r\n3\r\nend\r\n0\r\nX-Trailer: 1\r\n\r\n"
    data = head("Content-Length: 4") + b"\r\n\r\n" + CHUNKED + body + GET

    async def run() -> None:
        caller = Caller()
        caller.receive(data, piece)
        for _ in range(2):
            caller.connection.write_answer(200, (), b"")
            await turns()
        bodies = [bytes(request.body) for request in caller.requests]
        assert bodies == [b"\r\n\r\n", b"\r\n\r\naend", b""]
        names = [name for name, _ in caller.requests[1].headers]
        assert names == [b"host", b"request-id", b"transfer-encoding"]

    on_loop(run)


def test_next_request_is_not_started_before_answers_are_taken() -> None:
    """Guards against the answers to a pipeline whose client reads nothing."""

    async def run() -> None:
        caller = Caller()
        caller.transport.is_full = True
        caller.receive(GET * 3)
        caller.connection.write_answer(200, (), b"x" * (WRITE_HIGH_WATER_BYTES + 1))
        await turns()
        assert len(caller.requests) == 1
        assert caller.budget.used_by_purpose["answers"] > WRITE_HIGH_WATER_BYTES
        caller.receive(GET * 20)
        assert not caller.transport.is_reading
        caller.transport.drain()
        await turns()
        assert len(caller.requests) == 2
        assert "answers" not in caller.budget.used_by_purpose

    on_loop(run)


def test_unread_answer_is_ended() -> None:
    """Guards against a client that holds its answer without end."""

    async def run() -> None:
        caller = Caller()
        now_s = asyncio.get_running_loop().time()
        caller.receive(GET)
        caller.connection.check_progress(now_s)
        caller.transport.is_full = True
        caller.connection.begin_answer(200, (), b"x" * 1000)
        caller.connection.check_progress(now_s + 1.0)
        # One byte is progress.
        caller.transport.unsent_bytes -= 1
        caller.connection.check_progress(now_s + 30.0)
        caller.connection.check_progress(now_s + 59.0)
        assert not caller.transport.is_closing()
        caller.connection.check_progress(now_s + 60.0)
        await turns()
        assert caller.transport.is_closing()
        assert caller.refusals == ["unread_answer"]
        assert caller.budget.used_bytes == 0

    on_loop(run)


def test_answer_that_takes_long_to_begin_is_not_unread() -> None:
    """Guards against a request that is ended because its upstream is slow."""

    async def run() -> None:
        caller = Caller()
        now_s = asyncio.get_running_loop().time()
        caller.receive(GET)
        for second in range(100):
            caller.connection.check_progress(now_s + second)
        assert not caller.transport.is_closing()
        assert not caller.connection.may_be_evicted
        caller.connection.write_answer(200, (), b"")
        assert caller.connection.may_be_evicted

    on_loop(run)


def test_announced_body_over_the_limit_is_refused_at_its_head() -> None:
    """Guards against a body that is read although it will be refused."""

    async def run() -> None:
        caller = Caller()
        expecting = ("Content-Length: 4194305", "Expect: 100-continue")
        caller.receive(head(*expecting))
        assert caller.statuses == [413]
        assert b"request-id: r-1" in caller.transport.written
        assert caller.refusals == ["body_too_large"]
        assert caller.requests == []

    on_loop(run)


def test_chunked_body_over_the_limit_is_refused_when_it_exceeds_it() -> None:
    """Guards against a body without an announced length that has no end."""

    async def run() -> None:
        caller = Caller()
        part = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        caller.receive(CHUNKED + part * 64)
        assert caller.statuses == []
        caller.receive(b"1\r\nx\r\n")
        assert caller.statuses == [413]
        assert caller.budget.used_by_purpose == {"connections": BASE_CHARGE_BYTES}

    on_loop(run)


def test_refusal_can_be_read_before_the_connection_is_closed() -> None:
    """Guards against a reset that takes the refusal from a client that sends on."""

    async def run() -> None:
        caller = Caller()
        caller.receive(head("Content-Length: 5000000") + b"x" * 50_000)
        caller.receive(b"x" * 40_000)
        assert caller.transport.has_written_eof
        assert caller.transport.is_reading and not caller.transport.is_closing()
        await asyncio.sleep(0.1)
        assert caller.transport.is_closing()
        assert caller.budget.used_bytes == 0

    on_loop(run)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"POST /x HTTP/1.1\r\nA: " + b"a" * 20_000, 431),
        (head("Content-Length: 4194305"), 413),
    ],
)
def test_discarded_bytes_are_bounded(data: bytes, status: int) -> None:
    """Guards against a client that sends without end after its refusal."""

    async def run() -> None:
        caller = Caller()
        caller.receive(data)
        assert caller.statuses == [status]
        caller.receive(b"x" * 100_000)
        assert not caller.transport.is_closing()
        caller.receive(b"x" * 65_536)
        assert caller.transport.is_closing()

    on_loop(run)


@pytest.mark.parametrize("head_line", ["Content-Length: 4194304", CHUNKED_LINE])
def test_client_may_send_the_rest_of_a_refused_body(head_line: str) -> None:
    """Guards against a client that gets a reset in place of the refusal."""

    async def run() -> None:
        policy = CallerPolicy(discard_bytes=100_000, max_waiting_uploads=0)
        budget = MemoryBudget(8 * MB, policy=policy)
        upload(Caller(budget=budget, policy=policy), 4 * MB)
        refused = Caller(budget=budget, policy=policy)
        refused.receive(head(head_line))
        sent_bytes = 0
        if head_line == CHUNKED_LINE:
            refused.receive(b"400000\r\n")
        while not refused.statuses and sent_bytes < 3 * MB:
            refused.receive(b"x" * 65_536)
            sent_bytes += 65_536
        assert refused.statuses == [503]
        refused.receive(b"x" * (4 * MB - sent_bytes))
        assert not refused.transport.is_closing()
        # No more than the limits allow.
        refused.receive(b"x" * (100_000 + 2 * 65_536))
        assert refused.transport.is_closing()

    on_loop(run)


def test_refusal_waits_for_the_answers_before_it() -> None:
    """Guards against a refusal that takes the place of an earlier answer."""

    async def run() -> None:
        caller = Caller()
        caller.receive(GET + head("Content-Length: 4194305") + b"x" * 100)
        assert caller.statuses == []
        caller.connection.write_answer(200, (), b"")
        await turns()
        assert caller.statuses == [200, 413]

    on_loop(run)


def upload(caller: Caller, size: int) -> None:
    caller.receive(head(f"Content-Length: {size}") + b"x" * size)


def test_upload_waits_with_its_reading_paused_until_there_is_room() -> None:
    """Guards against bodies that exceed the budget together."""

    async def run() -> None:
        budget = MemoryBudget(8 * MB, policy=POLICY)
        first, second = Caller(budget=budget), Caller(budget=budget)
        upload(first, 4 * MB)
        assert len(first.requests) == 1
        body = head("Content-Length: 4194304", "Expect: 100-continue")
        second.receive(body)
        assert not second.transport.is_reading and not second.transport.written
        assert budget.used_by_purpose["bodies"] < 5 * MB
        first.connection.write_answer(200, (), b"")
        budget.tick(asyncio.get_running_loop().time())
        await turns()
        assert second.transport.is_reading
        assert second.transport.written == b"HTTP/1.1 100 Continue\r\n\r\n"
        second.receive(b"y" * 4 * MB)
        assert bytes(second.requests[0].body) == b"y" * 4 * MB
        second.connection.abort_answer()
        await turns()
        assert budget.used_bytes == BASE_CHARGE_BYTES

    on_loop(run)


def test_upload_without_room_in_time_is_refused_as_not_run() -> None:
    """Guards against an upload that waits without end, or is refused as if it ran."""

    async def run() -> None:
        budget = MemoryBudget(8 * MB, policy=POLICY)
        first, second = Caller(budget=budget), Caller(budget=budget)
        upload(first, 4 * MB)
        upload(second, 4 * MB)
        budget.tick(asyncio.get_running_loop().time() + POLICY.upload_wait_s)
        assert second.statuses == [503]
        assert b"request-id: r-1\r\nretry-after: 2.00" in second.transport.written
        assert second.refusals == ["no_memory"] and second.requests == []
        assert budget.waiting_count == 0

    on_loop(run)


def test_stalled_upload_gives_way_to_one_that_waits() -> None:
    """Guards against clients that stop just short of the end of their bodies."""

    async def run() -> None:
        budget = MemoryBudget(8 * MB, policy=POLICY)
        stalled, second = Caller(budget=budget), Caller(budget=budget)
        stalled.receive(head("Content-Length: 4194304") + b"x" * (4 * MB - 1))
        upload(second, 4 * MB)
        assert second.requests == []
        budget.tick(asyncio.get_running_loop().time() + POLICY.stall_s)
        await turns()
        assert stalled.statuses == [408] and stalled.refusals == ["slow_body"]
        assert second.statuses == [] and second.transport.is_reading

    on_loop(run)


def test_small_body_needs_no_charge_of_its_own() -> None:
    """Guards against work of the budget for each ordinary request."""

    async def run() -> None:
        caller = Caller()
        upload(caller, 4000)
        assert caller.requests[0].resources == ()
        assert caller.budget.used_by_purpose == {"connections": BASE_CHARGE_BYTES}

    on_loop(run)


@pytest.mark.parametrize("zeros", [0, 1, 5000])
def test_leading_zeros_of_a_length_are_ignored(zeros: int) -> None:
    """Guards against a length that counts as a fault of the host."""

    async def run() -> None:
        caller = Caller()
        for length in (4, 0):
            caller.receive(head(f"Content-Length: {'0' * zeros}{length}") + b"body")
            assert bytes(caller.requests[-1].body) == b"body"[:length]
            caller.connection.write_answer(200, (), b"")
            await turns()
        assert caller.statuses[:2] == [200, 200]

    on_loop(run)


def test_small_requests_are_served_while_uploads_fill_the_budget() -> None:
    """Guards against ordinary callers that fail because of uploads."""

    async def run() -> None:
        budget = MemoryBudget(8 * MB, policy=POLICY)
        callers = [Caller(budget=budget) for _ in range(20)]
        for caller in callers:
            upload(caller, 4 * MB)
        ordinary = Caller(budget=budget)
        upload(ordinary, 2000)
        upload_of_medium_size = Caller(budget=budget)
        upload(upload_of_medium_size, 60_000)
        assert len(ordinary.requests) == len(upload_of_medium_size.requests) == 1

    on_loop(run)


@pytest.mark.parametrize(
    ("bytes_per_s", "is_ended"), [(50, True), (100, False)], ids=["slow", "ordinary"]
)
def test_body_below_the_least_rate_is_ended(bytes_per_s: int, is_ended: bool) -> None:
    """Guards against a body that is sent without end, byte by byte."""

    async def run() -> None:
        caller = Caller()
        caller.receive(head("Content-Length: 1000000"))
        start_s = asyncio.get_running_loop().time()
        clock_s = start_s
        assert caller.connection._body is not None
        caller.connection._body._clock = lambda: clock_s
        for second in range(65):
            clock_s = start_s + second
            caller.connection.check_progress(clock_s)
            caller.receive(b"x" * bytes_per_s)
        assert (caller.statuses == [408]) == is_ended
        assert (caller.refusals == ["slow_body"]) == is_ended

    on_loop(run)


def test_tiny_chunks_give_others_their_turn() -> None:
    """Guards against 120 clients with chunks of one byte; no ordinary request ended."""

    async def run() -> None:
        caller = Caller()
        caller.receive(CHUNKED + b"1\r\nx\r\n" * 5000)
        assert caller.connection._body is not None
        # The parser is fed slices of 4 KB, some 700 chunks.
        assert caller.connection._body.received_bytes <= MAX_PARTS_A_TURN + 700
        assert not caller.transport.is_reading
        await asyncio.sleep(0.07)
        assert caller.connection._body.received_bytes > MAX_PARTS_A_TURN + 700

    on_loop(run)


@pytest.mark.parametrize(
    "request_bytes",
    [GET, b"\r\n" * 2048 + GET, CHUNKED + b"0\r\n\r\n", CHUNKED + b"0\r\na:b\r\n\r\n"],
    ids=["plain", "empty lines", "empty body", "trailer"],
)
def test_requests_that_are_answered_at_once_give_others_their_turn(
    request_bytes: bytes,
) -> None:
    """Guards against pipelined requests for unknown routes; no ordinary one ended."""

    async def run() -> None:
        caller = Caller()
        caller.answers_at_once = True
        count = 65_536 // len(request_bytes) + 1
        caller.receive(request_bytes * count, len(request_bytes) * count)
        most = MAX_PARTS_A_TURN // REQUEST_PARTS + 1
        assert len(caller.requests) <= most
        # Answers that are completed do not start further requests early.
        await turns()
        assert len(caller.requests) <= 4 * most
        while len(caller.requests) < count:
            await asyncio.sleep(0.001)
        await turns()
        assert caller.transport.is_reading
        assert caller.statuses == [404] * count
        assert caller.budget.used_bytes == BASE_CHARGE_BYTES

    on_loop(run)


def test_tiny_chunks_of_one_client_are_not_delayed_much() -> None:
    """Guards against a body that took five minutes without any load."""

    async def run() -> None:
        caller = Caller()
        body = b"1\r\nx\r\n" * 100_000 + b"0\r\n\r\n"
        start_s = asyncio.get_running_loop().time()
        for start in range(0, len(CHUNKED + body), 65_536):
            while not caller.transport.is_reading:
                await asyncio.sleep(0.001)
            caller.receive((CHUNKED + body)[start : start + 65_536])
        while not caller.requests:
            await asyncio.sleep(0.001)
        assert len(caller.requests[0].body) == 100_000
        # With a fixed delay of 50 ms a turn it took 7 s.
        assert asyncio.get_running_loop().time() - start_s < 5.0

    on_loop(run)


def test_many_headers_are_charged() -> None:
    """Guards against heads whose objects take far more memory than their bytes."""

    async def run() -> None:
        caller = Caller()
        caller.receive(b"POST /x HTTP/1.1\r\n" + b"a:\r\n" * 4000)
        assert caller.budget.used_by_purpose["heads"] > 500_000
        caller.connection.connection_lost(None)
        assert caller.budget.used_bytes == 0

    on_loop(run)


def test_refusal_at_accept_tells_when_to_come_back() -> None:
    """Guards against callers that are refused without a word at the bound."""

    async def run() -> None:
        caller = Caller()
        caller.connection.refuse_at_accept()
        assert caller.statuses == [503]
        assert b"retry-after: 2.00" in caller.transport.written
        assert caller.transport.is_closing()

    on_loop(run)


class _Handler:
    def on_head(self, status: int, headers: object) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_end(self, *, is_framed: bool) -> None: ...

    def on_broken(self, detail: str) -> None: ...


def upstream_over(transport: MemoryTransport) -> tuple[UpstreamConnection, list[str]]:
    events: list[str] = []
    upstream = UpstreamConnection(
        match_answer=lambda status, headers, request_id: AnswerMatch.SAME_REQUEST,
        on_idle=lambda connection: events.append("idle"),
        on_lost=lambda connection: events.append("lost"),
    )
    transport.protocol = upstream
    upstream.connection_made(transport)
    return upstream, events


def test_body_is_written_in_slices_as_the_upstream_takes_them() -> None:
    """Guards against a second copy of a whole body in the write buffer."""
    transport = MemoryTransport()
    upstream, _ = upstream_over(transport)
    transport.is_full = True
    body = bytes(range(256)) * 4096
    upstream.send(b"head", "r", _Handler(), body)
    assert transport.unsent_bytes <= 2 * BODY_SLICE_BYTES
    while len(transport.written) < len(body) + 4:
        before = len(transport.written)
        transport.drain()
        transport.is_full = True
        assert len(transport.written) > before
    assert transport.written == b"head" + body
    assert transport.largest_write <= BODY_SLICE_BYTES


def test_cancelled_attempt_stops_sending() -> None:
    """Guards against a body that is sent on for nobody."""
    transport = MemoryTransport()
    upstream, _ = upstream_over(transport)
    transport.is_full = True
    upstream.send(b"head", "r", _Handler(), b"x" * MB)
    upstream.abort()
    sent_bytes = len(transport.written)
    transport.drain()
    assert len(transport.written) == sent_bytes


@pytest.mark.parametrize(("is_read", "event"), [(True, "idle"), (False, "closed")])
def test_connection_with_an_unsent_body_is_not_reused(
    is_read: bool, event: str
) -> None:
    """Guards against the rest of a body that is read as the next request."""

    async def run() -> None:
        transport = MemoryTransport()
        upstream, events = upstream_over(transport)
        transport.is_full = not is_read
        upstream.send(b"head", "r", _Handler(), b"x" * MB)
        # Between two slices nothing is left in the write buffer.
        transport.unsent_bytes = 0
        upstream.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await turns()
        assert events == (["idle"] if is_read else [])
        assert transport.is_closing() == (event == "closed")

    on_loop(run)


def test_buffer_of_an_upload_is_reused_only_when_nothing_refers_to_it() -> None:
    """Guards against the bytes of one caller in the request of another."""
    buffers = UploadBuffers()
    first = buffers.take(MB)
    view = memoryview(first)[:10]
    buffers.give_back(first)
    assert buffers.take(MB) is not first
    view.release()
    buffers.give_back(first)
    assert buffers.take(MB) is first
    buffers.give_back(first)
    assert len(buffers.take(2 * MB)) == 2 * MB


def test_content_of_an_earlier_upload_is_not_visible() -> None:
    """Guards against the rest of a larger body behind a smaller one."""

    async def run() -> None:
        caller = Caller()
        for fill, size in ((b"a", 2 * MB), (b"b", MB)):
            body = fill * size
            caller.receive(head(f"Content-Length: {size}") + body[:100])
            caller.receive(body[100:])
            assert caller.requests.pop().body == body
            caller.connection.write_answer(200, (), b"")
            await turns()
        assert caller.budget.used_bytes == BASE_CHARGE_BYTES

    on_loop(run)


UPGRADES = {
    "GET": b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n",
    "POST": b"POST /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
    b"Content-Length: 1\r\n\r\nb",
}


@pytest.mark.parametrize("method", UPGRADES)
def test_an_offered_upgrade_is_ignored(method: str) -> None:
    """Guards against a second answer to a request, which a client takes for its next.

    Clients that prefer HTTP/2 offer it with each first request.
    """

    async def run() -> None:
        caller = Caller()
        caller.receive(UPGRADES[method])
        caller.connection.write_answer(200, (), b"")
        caller.receive(UPGRADES[method] + GET)
        for _ in range(2):
            caller.connection.write_answer(200, (), b"")
            await turns()
        paths = [(request.method, request.target) for request in caller.requests]
        assert paths == [(method, "/x"), (method, "/x"), ("POST", "/x")]
        body = b"b" if method == "POST" else b""
        assert [request.body for request in caller.requests] == [body, body, b""]
        connection = dict(caller.requests[0].headers)[b"connection"]
        assert b"upgrade" not in connection.lower()
        assert caller.statuses == [200, 200, 200]
        assert not caller.transport.has_written_eof

    on_loop(run)


def test_a_tunnel_is_refused_before_it_runs() -> None:
    """Guards against CONNECT requests that are forwarded and then refused."""

    async def run() -> None:
        caller = Caller()
        caller.receive(b"CONNECT /x HTTP/1.1\r\nHost: h\r\n\r\n" + GET)
        assert (caller.requests, caller.statuses) == ([], [501])

    on_loop(run)


def test_bytes_that_the_kernel_holds_are_charged() -> None:
    """Guards against paused connections whose socket buffers nothing accounts for.

    Without room the requests behind the current one are refused, and what follows is
    read and discarded.
    """

    async def run() -> None:
        caller = Caller()
        caller.receive(GET * 20)
        assert caller.budget.used_by_purpose["unread"] == RECEIVE_BUFFER_BYTES
        for _ in range(20):
            caller.connection.write_answer(200, (), b"")
            await turns()
        assert caller.budget.used_bytes == BASE_CHARGE_BYTES

        budget = MemoryBudget(100_000, policy=POLICY)
        caller = Caller(budget=budget)
        caller.receive(GET * 20)
        assert caller.transport.is_reading
        caller.connection.write_answer(200, (), b"")
        await turns()
        assert caller.statuses == [200, 503]
        assert budget.used_bytes == BASE_CHARGE_BYTES

    on_loop(run)
