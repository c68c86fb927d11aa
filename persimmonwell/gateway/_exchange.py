"""Carry one request to its upstreams and the answer back."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from persimmonwell.core.forwarding import (
    AttemptFailure,
    CallerRequest,
    Ending,
    Finish,
    Send,
)
from persimmonwell.gateway._caller_connection import CallerConnection, RawRequest
from persimmonwell.gateway._event_stream import EventCutter
from persimmonwell.gateway._http_connection import (
    ConnectionPool,
    RawHeaders,
    UpstreamConnection,
)
from persimmonwell.platform import (
    AnswerHead,
    answer_headers,
    decode_answer_head,
    encode_request_head,
    own_answer_headers,
)

MAX_HELD_BYTES = 262_144
"""A plain answer up to this size is held until it is whole, so that one that breaks
off can be replaced; larger ones are passed on as they come."""
MAX_IDLE_S = 60.0
MAX_IDLE_UNREPEATABLE_S = 1.0
"""A request that must not run twice cannot be sent again after a reset, so it gets
only connections that carried traffic a moment ago."""

ENDING_STATUS = {
    Ending.UNKNOWN_ROUTE: 404,
    Ending.UNKNOWN_KEY: 401,
    Ending.NOT_READY: 503,
    Ending.OVERLOADED: 503,
    Ending.QUARANTINED: 503,
    Ending.UPSTREAM_FAILED: 502,
    Ending.TIMED_OUT: 504,
}


class ExchangeOwner(Protocol):
    """Take what an exchange learns; implemented by the gateway."""

    pool: ConnectionPool

    def now_s(self) -> float:
        """Return the steady clock."""

    def attempt_failed(
        self,
        exchange: "Exchange",
        failure: AttemptFailure,
        *,
        fault_address: str | None = None,
        detail: str = "",
    ) -> None:
        """Decide what follows."""

    def answer_began(self, exchange: "Exchange") -> None:
        """Note that the caller gets a part of an answer."""

    def progressed(self, exchange: "Exchange") -> None:
        """Note an event."""

    def finished(self, exchange: "Exchange", status: int) -> None:
        """Note a complete answer."""

    def caller_left(self, exchange: "Exchange") -> None:
        """Note that the caller is gone."""


class _Attempt:
    """Hold one attempt; answers of an older one are ignored."""

    def __init__(self, exchange: "Exchange", send: Send) -> None:
        self.exchange = exchange
        self.send = send
        self.connection: UpstreamConnection | None = None
        self.head: AnswerHead | None = None
        self.headers: RawHeaders = ()
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.is_dropped = False

    def on_head(self, status: int, headers: RawHeaders) -> None:
        """Decode the head of the answer."""
        self.head = decode_answer_head(status, headers)
        self.headers = list(headers)
        if self.connection is not None:
            self.connection.keep_alive_s = self.head.keep_alive_s

    def on_data(self, data: bytes) -> None:
        """Pass a stream on, or hold the piece of a plain answer."""
        assert self.head is not None
        if self.exchange.is_stream and self.head.status == 200 and self.head.has_seal:
            self.exchange.stream_data(self, data)
            return
        self.body_bytes += len(data)
        self.body.append(data)
        if self.body_bytes > MAX_HELD_BYTES:
            self.exchange.pass_large(self)

    def on_end(self, *, is_framed: bool) -> None:
        """End the attempt with a whole answer."""
        self.connection = None
        self.exchange.answer_ended(self, is_framed=is_framed)

    def on_broken(self, detail: str) -> None:
        """End the attempt without a whole answer."""
        self.connection = None
        self.exchange.answer_broke(self, detail)


class Exchange:
    """Hold one request from its arrival to the end of its answer."""

    def __init__(
        self,
        *,
        key: int,
        owner: ExchangeOwner,
        caller: CallerConnection,
        raw: RawRequest,
        request: CallerRequest,
        is_stream: Callable[[], bool],
    ) -> None:
        self.key = key
        self.request = request
        self.attempt = 0
        self.arrived_s = owner.now_s()
        self.first_event_s: float | None = None
        self.max_gap_s = 0.0
        """Longest pause between two pieces that went to the caller."""
        self._last_event_s = 0.0
        self._owner = owner
        self._caller = caller
        self._raw = raw
        self._is_stream = is_stream
        self._current: _Attempt | None = None
        self._cutter = EventCutter()
        self._began = False
        self._over = False
        self._failure: _Attempt | None = None
        self._connecting: asyncio.Task[None] | None = None

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self._is_stream()

    @property
    def began(self) -> bool:
        """Return whether a part of an answer went to the caller."""
        return self._began

    # Decisions

    def send(self, send: Send) -> None:
        """Start an attempt."""
        self.attempt = send.attempt
        self._cutter.restart()
        current = self._current = _Attempt(self, send)
        max_idle_s = (
            MAX_IDLE_S if send.may_reuse_idle_connection else MAX_IDLE_UNREPEATABLE_S
        )
        idle = self._owner.pool.take_idle(send.address, max_idle_s=max_idle_s)
        if idle is not None:
            self._write(current, idle)
            return
        loop = asyncio.get_running_loop()
        self._connecting = loop.create_task(self._connect(current))

    async def _connect(self, attempt: _Attempt) -> None:
        try:
            connection = await self._owner.pool.connect(attempt.send.address)
        except (OSError, TimeoutError) as error:
            self._drop(attempt, AttemptFailure.NO_CONNECTION, type(error).__name__)
            return
        if attempt is not self._current or self._over:
            connection.close()
            return
        self._write(attempt, connection)

    def _write(self, attempt: _Attempt, connection: UpstreamConnection) -> None:
        send = attempt.send
        left_ms = int((send.deadline_s - self._owner.now_s()) * 1000)
        last_id = self._cutter.last_id
        head = encode_request_head(
            self._raw.method,
            self._raw.target,
            self._raw.headers,
            body_bytes=len(self._raw.body) if self._raw.has_body else None,
            deadline_ms=left_ms,
            replica_id=send.replica_id,
            tenant=send.tenant,
            last_event_id=(
                last_id.decode("latin-1")
                if last_id is not None
                else self.request.last_event_id
            ),
            path=send.path,
        )
        attempt.connection = connection
        connection.send(head + self._raw.body, self.request.request_id, attempt)

    def cancel(self, attempt: int) -> None:
        """Stop an attempt at its replica."""
        current = self._current
        if current is not None and current.send.attempt == attempt:
            self._current = None
            if current.connection is not None:
                current.connection.abort()

    def finish(self, finish: Finish) -> None:
        """Answer without an upstream, or break an answer that has begun."""
        if self._over:
            return
        self._over = True
        if self._began:
            self._caller.break_answer()
            return
        if self._failure is not None and finish.ending is Ending.UPSTREAM_FAILED:
            self._deliver(self._failure)
            return
        status = ENDING_STATUS[finish.ending]
        retry_after_s = finish.retry_after_s if finish.ending.has_not_run else None
        headers = own_answer_headers(self.request.request_id, retry_after_s)
        body = b'{"error":"%b"}' % finish.ending.value.encode()
        self._caller.write_answer(status, headers, body)

    # Callers

    def caller_left(self) -> None:
        """Stop all work for the request."""
        if not self._over:
            self._over = True
            self._owner.caller_left(self)

    def caller_paused(self, paused: bool) -> None:
        """Hold the upstream while the caller reads too slowly."""
        if self._current is None or self._current.connection is None:
            return
        if paused:
            self._current.connection.pause_reading()
        else:
            self._current.connection.resume_reading()

    # Answers

    def stream_data(self, attempt: _Attempt, data: bytes) -> None:
        """Pass whole events on."""
        if attempt is not self._current or self._over:
            return
        events = self._cutter.feed(data)
        if not events.is_in_order:
            self._drop(attempt, AttemptFailure.BROKEN, "events out of order")
            return
        if not events.data:
            return
        if self._began:
            now_s = self._owner.now_s()
            self.max_gap_s = max(self.max_gap_s, now_s - self._last_event_s)
            self._last_event_s = now_s
            self._caller.write_data(events.data)
        else:
            self._begin(attempt, events.data)
        self._owner.progressed(self)

    def _begin(self, attempt: _Attempt, data: bytes) -> None:
        assert attempt.head is not None
        self._began = True
        self.first_event_s = self._last_event_s = self._owner.now_s()
        headers = answer_headers(attempt.headers)
        self._caller.begin_answer(attempt.head.status, headers, data)
        self._owner.answer_began(self)

    def pass_large(self, attempt: _Attempt) -> None:
        """Pass the pieces of a large plain answer on as they come."""
        if attempt is not self._current or self._over:
            return
        data, attempt.body = b"".join(attempt.body), []
        attempt.body_bytes = MAX_HELD_BYTES
        if self._began:
            self._caller.write_data(data)
        else:
            self._begin(attempt, data)

    def answer_ended(self, attempt: _Attempt, *, is_framed: bool) -> None:
        """Deliver a whole answer, or decide on one that reports a failure."""
        if attempt is not self._current or self._over:
            return
        head = attempt.head
        assert head is not None
        if head.not_run:
            failure = AttemptFailure.NOT_RUN
            if head.is_wrong_replica:
                failure = AttemptFailure.WRONG_REPLICA
            self._fail(attempt, failure, f"status {head.status}", head.fault_address)
            return
        if not head.has_seal and head.status < 300:
            self._fail(attempt, AttemptFailure.BROKEN, "answer without a seal")
            return
        if self.is_stream and head.status == 200:
            self._end_stream(attempt)
            return
        if self._began:
            self._over = True
            if attempt.body:
                self._caller.write_data(b"".join(attempt.body))
            self._caller.end_answer()
            self._owner.finished(self, head.status)
            return
        if head.status >= 500:
            self._failure = attempt
            self._fail(attempt, AttemptFailure.ERROR, f"status {head.status}")
            return
        self._over = True
        self._deliver(attempt)
        self._owner.finished(self, head.status)

    def _end_stream(self, attempt: _Attempt) -> None:
        if self._cutter.has_rest or not self._began:
            self._fail(attempt, AttemptFailure.BROKEN, "stream ended within an event")
            return
        self._over = True
        self._caller.end_answer()
        self._owner.finished(self, 200)

    def _deliver(self, attempt: _Attempt) -> None:
        assert attempt.head is not None
        self._caller.write_answer(
            attempt.head.status, answer_headers(attempt.headers), b"".join(attempt.body)
        )

    def answer_broke(self, attempt: _Attempt, detail: str) -> None:
        """Decide on an answer that broke off."""
        if attempt is self._current and not self._over:
            self._fail(attempt, AttemptFailure.BROKEN, detail)

    def _drop(self, attempt: _Attempt, failure: AttemptFailure, detail: str) -> None:
        if attempt.connection is not None:
            attempt.connection.abort()
        if attempt is self._current and not self._over:
            self._fail(attempt, failure, detail)

    def _fail(
        self,
        attempt: _Attempt,
        failure: AttemptFailure,
        detail: str,
        fault_address: str | None = None,
    ) -> None:
        self._current = None
        self._owner.attempt_failed(
            self, failure, fault_address=fault_address, detail=detail
        )
