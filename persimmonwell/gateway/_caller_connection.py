"""HTTP/1.1 server connection of one caller: order of requests, answers, refusals."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from http import HTTPStatus

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    BodyCharge,
    CallerPolicy,
    MemoryBudget,
    Pacer,
    RefusalReason,
    SocketBuffers,
)
from persimmonwell.gateway._caller_answers import (
    CONTINUE,
    AnswerWriter,
    encode_answer_head,
    encode_chunk,
)
from persimmonwell.gateway._caller_charges import CallerCharges, close_all
from persimmonwell.gateway._caller_input import CallerInput
from persimmonwell.gateway._caller_refusals import (
    Discard,
    Rejection,
    build_rejection,
)
from persimmonwell.gateway._caller_requests import (
    RawRequest,
    RequestHandler,
    RequestParser,
)
from persimmonwell.gateway._caller_time_outs import CallerTimeOuts
from persimmonwell.gateway._request_body import RequestBody, UploadBuffers
from persimmonwell.gateway._socket_options import set_buffer_sizes, set_socket_options

_TOO_LARGE = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class CallerConnection(asyncio.Protocol):
    """Connection of one caller, which answers pipelined requests in order.

    CallerInput reads and parses, and CallerTimeOuts ends what takes too long.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], CallerLimits],
        on_request: Callable[["CallerConnection", RawRequest], RequestHandler | None],
        is_draining: Callable[[], bool],
        on_open_change: Callable[["CallerConnection", bool], None],
        budget: MemoryBudget | None = None,
        policy: CallerPolicy | None = None,
        buffers: UploadBuffers | None = None,
        socket_buffers: SocketBuffers | None = None,
        pacer: Pacer | None = None,
        on_progress: Callable[["CallerConnection"], None] = lambda caller: None,
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._limits = limits
        self._on_request = on_request
        self._is_draining = is_draining
        self._on_open_change = on_open_change
        self._budget = budget or MemoryBudget()
        self._policy = policy or CallerPolicy()
        self._socket_buffers = socket_buffers or SocketBuffers()
        self._on_progress = on_progress
        self._on_refused = on_refused
        self.address = ""
        self._transport: asyncio.Transport | None = None
        self._charges = CallerCharges(self._budget)
        self._writer = AnswerWriter()
        self._discard = Discard(self._policy)
        self._parser = RequestParser(
            self,
            limits=limits,
            budget=self._budget,
            buffers=buffers or UploadBuffers(),
            open_body_charge=self._open_body_charge,
        )
        self._pipelined: deque[RawRequest] = deque()
        self._time_outs = CallerTimeOuts(
            self,
            limits=limits,
            policy=self._policy,
            parser=self._parser,
            writer=self._writer,
            charges=self._charges,
            discard=self._discard,
        )
        self._input = CallerInput(
            self,
            parser=self._parser,
            pipelined=self._pipelined,
            writer=self._writer,
            charges=self._charges,
            discard=self._discard,
            time_outs=self._time_outs,
            pacer=pacer or Pacer(),
        )
        self._handler: RequestHandler | None = None
        self.is_answering = False
        """Whether a request is answered, or waits for the ones before it."""
        self._has_open_request = False
        self._is_refused_at_accept = False
        self._accepted_s = 0.0
        self._has_answered = False
        self._is_close_announced = False
        self._rejection: Rejection | None = None
        """Answer owed to a malformed request behind the ones that are answered."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received, queued or answered."""
        return not (
            self.is_answering or self._has_more_requests or self._discard.is_active
        )

    @property
    def may_be_evicted(self) -> bool:
        """Return whether no answer is in progress that the caller reads."""
        if not self.is_answering:
            return True
        now_s = asyncio.get_running_loop().time()
        return self._writer.is_unread(self._policy.stall_s, now_s)

    @property
    def is_refusing(self) -> bool:
        """Return whether the message that is parsed is refused already."""
        return self._discard.is_active or self._rejection is not None

    @property
    def accepts_requests(self) -> bool:
        """Return whether further bytes of the caller can still be a request."""
        return not (
            self._is_close_announced or self._parser.is_last_request or self.is_refusing
        )

    @property
    def _body(self) -> RequestBody | None:
        """Return the body that is being received."""
        return self._parser.body

    @property
    def _has_more_requests(self) -> bool:
        """Return whether another request, or a part of one, follows the current one."""
        return bool(
            self._pipelined
            or self._parser.is_receiving
            or self._rejection is not None
            or (self._input.unparsed and not self._parser.is_last_request)
        )

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up and start the idle time-out."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = self._writer.transport = self._input.transport = transport
        set_socket_options(transport)
        sizes = self._socket_buffers
        set_buffer_sizes(
            transport.get_extra_info("socket"),
            receive_bytes=RECEIVE_BUFFER_BYTES,
            send_bytes=sizes.send_bytes,
        )
        transport.set_write_buffer_limits(high=sizes.unsent_bytes)
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if isinstance(peer, tuple) else ""
        self._charges.open()
        self._on_open_change(self, True)
        self._accepted_s = asyncio.get_running_loop().time()
        self._writer.taken_s = self._accepted_s
        if self._is_refused_at_accept:
            self._write_refusal_at_accept()
            return
        self._time_outs.await_request()

    def data_received(self, data: bytes) -> None:
        """Parse what is received, as far as requests may be read."""
        if self._discard.is_active:
            if not self._discard.add(len(data)):
                self.abort()
            return
        if not self.accepts_requests:
            return
        self._on_progress(self)
        self._input.add(data)

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait and the one that is received, as not run."""
        self._drop_waiting()
        self.refuse_for_memory()

    def _drop_waiting(self) -> None:
        for request in self._pipelined:
            close_all(request.resources)
        self._pipelined.clear()

    def fail(self, error: Exception) -> None:
        """Report a fault of the host and abort the connection."""
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a caller's request failed", "exception": error}
        )
        self._input.drop()
        self.abort()

    def pause_writing(self) -> None:
        """Pause the upstream of the current request: the write buffer is full."""
        self._writer.is_paused = True
        if self._transport is not None:
            self._charges.open_unread(
                self._writer.unsent_bytes,
                asyncio.get_running_loop().time(),
                on_ended=lambda is_stalled: self.end_unread(),
            )
        if self._handler is not None:
            self._handler.set_upstream_paused(True)

    def resume_writing(self) -> None:
        """Resume the upstream of the current request, or start the next one."""
        self._writer.is_paused = False
        self._charges.close_unread()
        self._on_progress(self)
        if self._handler is not None:
            self._handler.set_upstream_paused(False)
        asyncio.get_running_loop().call_soon(self.proceed)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request and drop the pipelined ones."""
        self._time_outs.close()
        handler, self._handler = self._handler, None
        self._has_open_request = False
        self._drop_waiting()
        self._input.drop()
        self._parser.drop_message()
        self._on_open_change(self, False)
        try:
            if handler is not None:
                handler.caller_left()
        finally:
            self._charges.close()

    # Requests

    def body_admitted(self) -> None:
        """Answer `Expect: 100-continue`, if the body may be sent now."""
        if self._parser.expects_continue and not self.is_answering:
            self._parser.expects_continue = False
            self._writer.write(CONTINUE)

    def _open_body_charge(self) -> BodyCharge:
        loop = asyncio.get_running_loop()
        return self._budget.open_body(
            self.address,
            loop.time(),
            on_granted=self._input.schedule_body,
            on_refused=self.refuse_for_memory,
            on_ended=self._end_body,
        )

    def _end_body(self, is_stalled: bool) -> None:
        """End a body whose room others wait for."""
        if is_stalled:
            self.reject(HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY)
        else:
            self.refuse_for_memory()

    def request_parsed(self, request: RawRequest) -> None:
        """Start a request, or queue it behind the current one."""
        self._input.end_upload()
        if self.is_answering or self._pipelined or self._writer.is_paused:
            self.is_answering = True
            self._pipelined.append(request)
            return
        self._start_request(request)

    def _start_request(self, request: RawRequest) -> None:
        if not self._writer.is_open:
            close_all(request.resources)
            return
        self._time_outs.cancel()
        self.is_answering = True
        self._has_open_request = True
        self._charges.begin_request(request.resources)
        handler = self._on_request(self, request)
        if self._has_open_request:
            self._handler = handler

    # Answers

    def write_answer(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes | bytearray,
    ) -> None:
        """Write a complete answer."""
        self._writer.write(self._encode_head(status, headers, len(body)) + body)
        self._finish_answer()

    def begin_answer(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        data: bytes | bytearray,
    ) -> None:
        """Write the head of a chunked answer and its first chunk."""
        head = self._encode_head(status, headers, None)
        self._writer.write(head + encode_chunk(data))

    def write_data(self, data: bytes | bytearray) -> None:
        """Write another chunk of the answer that was begun."""
        self._writer.write(encode_chunk(data))

    def end_answer(self) -> None:
        """Write the last chunk of the answer that was begun."""
        self._writer.write(b"0\r\n\r\n")
        self._finish_answer()

    def hold_answer_bytes(self, count: int, *, is_forced: bool = False) -> bool:
        """Charge the bytes of the answer that are held back in total.

        Without room, False is returned and the charge stays as it is, unless it is
        forced.
        """
        if not self._has_open_request:
            # The request has ended, and with it what its answer held back.
            return True
        return self._charges.hold_answer(count, is_forced=is_forced)

    def abort_answer(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        self._has_open_request = self.is_answering = False
        self._handler = None
        self._charges.end_request()
        if self._transport is not None:
            self._transport.abort()

    def close_idle(self, *, min_idle_s: float) -> None:
        """Close the connection if it is idle.

        The first request of a connection that was just accepted may be on its way, so
        such a connection has to be idle for min_idle_s.
        """
        idle_s = asyncio.get_running_loop().time() - self._accepted_s
        is_new = not self._has_answered and idle_s < min_idle_s
        if self.is_idle and not is_new and self._transport is not None:
            self._transport.close()

    def _encode_head(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], size: int | None
    ) -> bytes:
        may_close = self._parser.is_last_request or self._is_draining()
        is_last = may_close and not self._has_more_requests
        if is_last:
            self._is_close_announced = True
        return encode_answer_head(status, headers, size, is_last=is_last)

    def _finish_answer(self) -> None:
        self._handler = None
        self._has_open_request = self.is_answering = False
        self._charges.end_request()
        if not self._writer.is_open:
            return
        self._has_answered = True
        if self._pipelined or self._rejection is not None or self._input.unparsed:
            # Scheduled rather than called, so that a long pipeline does not recurse.
            self.is_answering = bool(self._pipelined)
            asyncio.get_running_loop().call_soon(self.proceed)
            return
        self._await_request()

    def proceed(self) -> None:
        """Go on with what waits behind the answers that the caller has taken."""
        if not self._writer.is_open:
            return
        if not self._has_open_request:
            if self._pipelined:
                if not self._writer.is_paused:
                    self._start_request(self._pipelined.popleft())
            elif self._rejection is not None:
                self._write_rejection(self._rejection)
                return
        if self.accepts_requests:
            self._input.parse()
        if (
            not self.is_answering
            and not self._input.unparsed
            and not self._discard.is_active
            and not self._time_outs.is_set
        ):
            self._await_request()

    def _await_request(self) -> None:
        """Set the time-out of the next request; close after the last one."""
        if self._transport is None:
            return
        if self._parser.is_receiving:
            self._time_outs.await_head()
        elif (
            self._is_close_announced
            or self._parser.is_last_request
            or self._is_draining()
        ):
            # The head of a long answer may have been sent before the host began to
            # stop; a further request on the connection would be broken off.
            self._transport.close()
        else:
            self._time_outs.await_request()

    # Refusals

    def refuse_for_memory(self) -> None:
        """Refuse the message that is being received, as not run."""
        self.reject(HTTPStatus.SERVICE_UNAVAILABLE, RefusalReason.NO_MEMORY)

    def reject(self, status: HTTPStatus, reason: RefusalReason | None = None) -> None:
        """Answer an unacceptable request with an error status and close.

        The requests before it are answered first.
        """
        if self.is_refusing:
            return
        if reason is not None:
            self._on_refused(reason.value)
        self._input.drop()
        rejection = build_rejection(status, self._parser.request_id, self._policy)
        if self._body is not None and status is not _TOO_LARGE:
            self._discard.rest_bytes = self._body.max_rest_bytes
        self._parser.drop_message()
        if self.is_answering:
            self._rejection = rejection
            return
        self._write_rejection(rejection)

    def _write_rejection(self, rejection: Rejection) -> None:
        self._rejection = None
        self._write_last_answer(rejection)
        self._input.discard_rest()

    def _write_last_answer(self, rejection: Rejection) -> None:
        self._parser.is_last_request = True
        body = rejection.body
        head = self._encode_head(rejection.status, rejection.headers, len(body))
        self._writer.write(head + body)

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def refuse_at_accept(self) -> None:
        """Answer a new connection with a refusal, and close it."""
        self._is_refused_at_accept = True
        if self._transport is not None:
            self._write_refusal_at_accept()

    def _write_refusal_at_accept(self) -> None:
        self._time_outs.cancel()
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._write_last_answer(build_rejection(status, "", self._policy))
        self.close()

    def evict(self) -> None:
        """Close the connection for the sake of others; nothing is promised."""
        if self.is_idle and not self._writer.unsent_bytes:
            self.close()
        else:
            self.abort()

    # Progress

    def report_progress(self) -> None:
        """Report that the caller sends or takes bytes."""
        self._on_progress(self)

    def check_progress(self, now_s: float) -> None:
        """End answers that nobody reads and bodies that come in too slowly.

        Called about once a second.
        """
        if self._transport is not None:
            self._time_outs.check_progress(now_s)

    def end_unread(self) -> None:
        """Abort a connection whose caller takes no bytes."""
        self._on_refused(RefusalReason.UNREAD_ANSWER.value)
        self._charges.close_unread()
        self.abort()
