"""Exchange of one request: its attempts at upstreams and the answer to the caller."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from persimmonwell.core.forwarding import (
    AnswerState,
    AttemptFailure,
    BodyUse,
    CallerRequest,
    Completion,
    Ending,
    FailedAttempt,
    Finish,
    ReplicaStatement,
    Send,
    StreamPosition,
)
from persimmonwell.gateway._attempt import MAX_BUFFERED_BYTES, Attempt
from persimmonwell.gateway._caller_connection import CallerConnection
from persimmonwell.gateway._caller_requests import RawRequest
from persimmonwell.gateway._connection_pool import ConnectionPool
from persimmonwell.gateway._event_stream import EventStreamParser
from persimmonwell.gateway._http_connection import UpstreamConnection
from persimmonwell.platform import (
    encode_request_head,
    forwarded_answer_headers,
    local_answer_headers,
)

COVERED_ANSWER_BYTES = 16_384
"""Held bytes of an answer that are not charged, so that a small one costs nothing."""
MAX_JOINED_BODY_BYTES = 16_384
"""A request body up to this size is sent together with its head."""
MAX_EVENT_BYTES = 262_144
"""Bytes of a stream without a complete event after which it is broken off."""
MAX_IDLE_S = 60.0
"""Idle time up to which a connection is reused for a request that may be retried."""
MAX_IDLE_UNRETRYABLE_S = 1.0
"""A request that must not run twice cannot be retried after a reset, so it only uses
connections that carried traffic a moment ago."""

STATUS_BY_ENDING = {
    Ending.UNKNOWN_ROUTE: 404,
    Ending.UNKNOWN_KEY: 401,
    Ending.NOT_READY: 503,
    Ending.OVERLOADED: 503,
    Ending.QUARANTINED: 503,
    Ending.UNSENDABLE_TENANT: 503,
    Ending.UPSTREAM_FAILED: 502,
    Ending.TIMED_OUT: 504,
}


class ExchangeOwner(Protocol):
    """Connection pool, clock and event callbacks of an exchange; see Gateway."""

    pool: ConnectionPool

    def now_s(self) -> float:
        """Return the time of the monotonic clock."""

    def attempt_failed(
        self,
        exchange: "Exchange",
        failure: AttemptFailure,
        *,
        fault_address: str | None = None,
        detail: str = "",
    ) -> None:
        """Handle a failed attempt: retry the request or finish it."""

    def limit_stated(self, exchange: "Exchange", rate_per_s: float | None) -> None:
        """Record the rate limit in the head of an answer, None if it states none."""

    def statement_received(
        self, exchange: "Exchange", statement: ReplicaStatement
    ) -> None:
        """Record what the head of an answer says about its replica."""

    def answer_opened(self, exchange: "Exchange") -> None:
        """Record that an upstream sent the head of a success."""

    def answer_began(self, exchange: "Exchange") -> None:
        """Record that the first part of an answer was sent to the caller."""

    def event_forwarded(self, exchange: "Exchange") -> None:
        """Record that events of a stream were forwarded."""

    def answer_completed(self, exchange: "Exchange", status: int) -> None:
        """Record that the caller has a complete answer."""

    def caller_left(self, exchange: "Exchange") -> None:
        """Handle a caller that closed its connection."""

    def exchange_faulted(self, exchange: "Exchange", error: Exception) -> None:
        """Give a request on which an unexpected error was raised its final answer."""


class Exchange:
    """One request from its arrival to the end of its answer.

    Carries out the router's decisions for the request and reports the outcome of each
    attempt to its owner.
    """

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
        self.may_have_run = False
        """Whether an attempt may have run whose outcome is not known."""
        self.first_event_s: float | None = None
        self.max_gap_s = 0.0
        """Longest interval between two parts of a stream sent to the caller."""
        self._last_event_s = 0.0
        self._owner = owner
        self._caller = caller
        self._raw: RawRequest | None = raw
        """None after the end, so that no cycle of references keeps a large body."""
        self._is_stream = is_stream
        self._current_attempt: Attempt | None = None
        self._last_attempt: Attempt | None = None
        self._position = StreamPosition(request.last_event_id)
        self._event_parser = EventStreamParser(self._position)
        self._answer = AnswerState()
        self._failed_attempt: Attempt | None = None
        self._used_connections: list[UpstreamConnection] = []
        """A late second copy of the answer to an attempt bears the same request id as
        the next attempt, which therefore uses another connection."""
        self._is_held_charged = False
        self._connecting: asyncio.Task[None] | None = None

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self._is_stream()

    @property
    def answer_status(self) -> int | None:
        """Return the status that the current attempt has received so far."""
        attempt = self._last_attempt
        return attempt.head.status if attempt is not None and attempt.head else None

    @property
    def resumes_after(self) -> int | None:
        """Return the id of the event after which the next attempt resumes a stream."""
        return self._position.last_id

    @property
    def was_sent(self) -> bool:
        """Return whether any attempt reached a connection."""
        return bool(self._used_connections)

    @property
    def has_partial_answer(self) -> bool:
        """Return whether a part of an answer was sent to the caller."""
        return self._answer.has_begun

    # Decisions

    def send(self, send: Send) -> None:
        """Start an attempt on an idle connection, or else on a new one."""
        self.attempt = send.attempt
        self._answer.begin_attempt(send.attempt)
        self._event_parser.begin_attempt()
        if self._is_held_charged:
            self.hold_answer(0)
        current = self._current_attempt = self._last_attempt = Attempt(self, send)
        max_idle_s = (
            MAX_IDLE_S if send.may_reuse_idle_connection else MAX_IDLE_UNRETRYABLE_S
        )
        idle = self._owner.pool.acquire_idle(
            send.address, max_idle_s=max_idle_s, excluded=self._used_connections
        )
        if idle is not None:
            self._write(current, idle)
            return
        loop = asyncio.get_running_loop()
        self._connecting = loop.create_task(self._connect(current))

    async def _connect(self, attempt: Attempt) -> None:
        try:
            connection = await self._owner.pool.connect(attempt.send.address)
        except (OSError, TimeoutError) as error:
            self._abort_attempt(
                attempt, AttemptFailure.NO_CONNECTION, type(error).__name__
            )
            return
        except Exception as error:
            self.fault(error)
            return
        if not self._is_current(attempt):
            connection.close()
            return
        try:
            self._write(attempt, connection)
        except Exception as error:
            self.fault(error)

    def _write(self, attempt: Attempt, connection: UpstreamConnection) -> None:
        send, raw = attempt.send, self._raw
        assert raw is not None
        remaining_ms = int((send.deadline_s - self._owner.now_s()) * 1000)
        head = encode_request_head(
            raw.method,
            raw.target,
            raw.headers,
            body_bytes=len(raw.body) if raw.has_body else None,
            deadline_ms=remaining_ms,
            replica_id=send.replica_id,
            tenant=send.tenant,
            last_event_id=self.resumes_after,
            path=send.path,
        )
        attempt.connection = connection
        self._used_connections.append(connection)
        body, request_id = raw.body, self.request.request_id
        if len(body) <= MAX_JOINED_BODY_BYTES:
            connection.send(head + body, request_id, attempt)
        else:
            connection.send(head, request_id, attempt, body)

    def cancel(self, attempt: int) -> None:
        """Cancel an attempt by closing its connection."""
        current = self._current_attempt
        if current is not None and current.send.attempt == attempt:
            self._current_attempt = None
            if current.connection is not None:
                current.connection.abort()

    def finish(self, finish: Finish) -> None:
        """Answer without an upstream, or abort an answer that has begun.

        A failed request gets the last server error of an upstream, if there was one.
        """
        if self._answer.is_ended:
            return
        if self._answer.has_begun:
            self.abort()
            return
        if self._failed_attempt is not None and finish.ending is Ending.UPSTREAM_FAILED:
            self._forward_answer(self._failed_attempt)
            return
        status = STATUS_BY_ENDING[finish.ending]
        retry_after_s = finish.retry_after_s if finish.ending.has_not_run else None
        headers = local_answer_headers(self.request.request_id, retry_after_s)
        body = b'{"error":"%b"}' % finish.ending.value.encode()
        self._end_answer()
        self._caller.write_answer(status, headers, body)

    def _end_answer(self) -> None:
        """End the answer and drop the bodies, whose memory is credited back."""
        self._answer.end()
        self._raw = None
        for attempt in (self._current_attempt, self._failed_attempt):
            if attempt is not None:
                attempt.body = b""

    def abort(self) -> None:
        """Close the caller's connection without a complete answer."""
        self._end_answer()
        self._caller.abort_answer()

    def fault(self, error: Exception) -> None:
        """End the request after an unexpected error, which may have left it halfway."""
        self._owner.exchange_faulted(self, error)

    def finish_bare(self, ending: Ending) -> None:
        """Answer with a status alone, or abort an answer that may have begun."""
        if self._answer.is_ended or self._answer.has_begun:
            self.abort()
            return
        self._end_answer()
        self._caller.write_answer(STATUS_BY_ENDING[ending], (), b"")

    # Callers

    def caller_left(self) -> None:
        """Stop all work for the request, since the caller closed its connection."""
        if not self._answer.is_ended:
            self._owner.caller_left(self)
            self._end_answer()

    def set_upstream_paused(self, paused: bool) -> None:
        """Pause or resume reading from the upstream as the caller's buffer fills."""
        if self._current_attempt is None or self._current_attempt.connection is None:
            return
        if paused:
            self._current_attempt.connection.pause_reading()
        else:
            self._current_attempt.connection.resume_reading()

    # Answers

    def hold_answer(self, count: int, *, is_forced: bool = False) -> bool:
        """Charge what an attempt holds back; return False without room for it."""
        if self._failed_attempt is not None:
            count += len(self._failed_attempt.body)
        if count <= COVERED_ANSWER_BYTES:
            if self._is_held_charged:
                self._is_held_charged = False
                self._caller.hold_answer_bytes(0)
            return True
        self._is_held_charged = True
        return self._caller.hold_answer_bytes(count, is_forced=is_forced)

    def _is_current(self, attempt: Attempt) -> bool:
        return attempt is self._current_attempt and not self._answer.is_ended

    def use_body(self, attempt: Attempt) -> BodyUse:
        """Return what to do with the body that follows the head of an answer."""
        assert attempt.head is not None
        return self._answer.body_use(attempt.head.facts, is_stream=self.is_stream)

    def head_received(self, attempt: Attempt) -> None:
        """Report what the head of an answer says."""
        if not self._is_current(attempt):
            return
        assert attempt.head is not None
        facts, rate_per_s = attempt.head.facts, attempt.head.rate_limit_per_s
        # An answer without a seal may come from something else than the replica.
        if facts.has_seal or (rate_per_s is not None and not facts.is_wrong_replica):
            self._owner.limit_stated(self, rate_per_s)
        statement = attempt.head.statement
        if statement is not None:
            self._owner.statement_received(self, statement)
        if attempt.body_use in (BodyUse.FORWARD_EVENTS, BodyUse.FORWARD_PLAIN):
            self._owner.answer_opened(self)

    def forward_events(self, attempt: Attempt, data: bytes) -> None:
        """Forward the events that are complete."""
        if not self._is_current(attempt):
            return
        events = self._event_parser.feed(data)
        held_bytes = self._event_parser.held_bytes
        if held_bytes > COVERED_ANSWER_BYTES or self._is_held_charged:
            # Without room, an answer in progress is not broken off.
            self.hold_answer(held_bytes, is_forced=True)
        if events.data:
            self._write_events(attempt, events.data)
        if not events.is_in_order:
            self._abort_attempt(attempt, AttemptFailure.BROKEN, "events out of order")
        elif held_bytes > MAX_EVENT_BYTES:
            self._abort_attempt(attempt, AttemptFailure.BROKEN, "event without end")

    def _write_events(self, attempt: Attempt, data: bytes) -> None:
        if not self._answer.has_begun:
            self._begin_answer(attempt, data, self._answer.add_events)
        else:
            self._answer.add_events()
            now_s = self._owner.now_s()
            gap_s = now_s - self._last_event_s
            if gap_s > self.max_gap_s:
                self.max_gap_s = gap_s
            self._last_event_s = now_s
            self._caller.write_data(data)
        self._owner.event_forwarded(self)

    def _begin_answer(
        self,
        attempt: Attempt,
        data: bytes | bytearray,
        record_begin: Callable[[], None],
    ) -> None:
        assert attempt.head is not None
        self.first_event_s = self._last_event_s = self._owner.now_s()
        headers = list(forwarded_answer_headers(attempt.headers))
        # An error before this leaves the caller without a byte, so that it can still
        # get another answer.
        record_begin()
        self._caller.begin_answer(attempt.head.status, headers, data)
        self._owner.answer_began(self)

    def forward_large_answer(self, attempt: Attempt) -> None:
        """Forward the buffered part of an answer that is too large to buffer."""
        if not self._is_current(attempt):
            return
        data, attempt.body = attempt.body, b""
        attempt.body_bytes = MAX_BUFFERED_BYTES
        if self._answer.has_begun:
            self._caller.write_data(data)
        else:
            self._begin_answer(attempt, data, self._answer.begin_plain)

    def reject_large_answer(self, attempt: Attempt) -> None:
        """Abort an attempt whose failure has a body that is too large to keep."""
        assert attempt.head is not None
        facts = attempt.head.facts
        verdict = self._judge_end(attempt, is_framed=True)
        failure = AttemptFailure.BROKEN
        if isinstance(verdict, FailedAttempt):
            failure = verdict.failure
        detail = f"status {facts.status} with a body of {attempt.body_bytes} bytes"
        self._abort_attempt(attempt, failure, detail, attempt.head.fault_address)

    def _judge_end(
        self, attempt: Attempt, *, is_framed: bool
    ) -> Completion | FailedAttempt:
        assert attempt.head is not None
        return self._answer.judge_end(
            attempt.head.facts,
            is_stream=self.is_stream,
            ends_within_event=self._event_parser.ends_within_event,
            is_framed=is_framed,
        )

    def answer_ended(self, attempt: Attempt, *, is_framed: bool) -> None:
        """Complete the caller's answer, or report the failure of the attempt."""
        if not self._is_current(attempt):
            return
        head = attempt.head
        assert head is not None
        verdict = self._judge_end(attempt, is_framed=is_framed)
        if isinstance(verdict, FailedAttempt):
            is_answer = (
                verdict.failure is AttemptFailure.ERROR
                and not head.facts.is_false_promise
            )
            if is_answer and not self._answer.has_begun:
                self._failed_attempt = attempt
            self._report_failure(
                attempt, verdict.failure, verdict.detail, head.fault_address
            )
            return
        if verdict is Completion.WHOLE:
            self._forward_answer(attempt)
        else:
            rest = self._event_parser.take_comments() or attempt.body
            self._end_answer()
            if rest:
                self._caller.write_data(rest)
            self._caller.end_answer()
        self._owner.answer_completed(self, head.status)

    def _forward_answer(self, attempt: Attempt) -> None:
        assert attempt.head is not None
        headers = list(forwarded_answer_headers(attempt.headers))
        body = attempt.body
        self._end_answer()
        self._caller.write_answer(attempt.head.status, headers, body)

    def answer_broken(self, attempt: Attempt, detail: str) -> None:
        """Report a truncated or malformed answer."""
        if self._is_current(attempt):
            self._report_failure(attempt, AttemptFailure.BROKEN, detail)

    def _abort_attempt(
        self,
        attempt: Attempt,
        failure: AttemptFailure,
        detail: str,
        fault_address: str | None = None,
    ) -> None:
        if attempt.connection is not None:
            attempt.connection.abort()
        if self._is_current(attempt):
            self._report_failure(attempt, failure, detail, fault_address)

    def _report_failure(
        self,
        attempt: Attempt,
        failure: AttemptFailure,
        detail: str,
        fault_address: str | None = None,
    ) -> None:
        self._current_attempt = None
        if attempt is not self._failed_attempt:
            attempt.body = b""
        self._owner.attempt_failed(
            self, failure, fault_address=fault_address, detail=detail
        )
