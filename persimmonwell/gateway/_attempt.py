"""Attempt of an exchange at one upstream, which collects its answer."""

from collections.abc import Callable
from typing import Protocol

from persimmonwell.core.forwarding import BodyUse, Send
from persimmonwell.gateway._http_connection import RawHeaders, UpstreamConnection
from persimmonwell.platform import AnswerHead, decode_answer_head

MAX_BUFFERED_BYTES = 262_144
"""A plain answer up to this size is buffered until it is complete, so that a truncated
one can be retried; larger ones are forwarded as they arrive."""


class AttemptOwner(Protocol):
    """Exchange that an attempt belongs to; see Exchange."""

    def fault(self, error: Exception) -> None:
        """End the request after an unexpected error."""

    def hold_answer(self, count: int, *, is_forced: bool = False) -> bool:
        """Charge what an attempt holds back; return False without room for it."""

    def use_body(self, attempt: "Attempt") -> BodyUse:
        """Return what to do with the body that follows the head of an answer."""
        raise NotImplementedError

    def head_received(self, attempt: "Attempt") -> None:
        """Report what the head of an answer says."""

    def forward_events(self, attempt: "Attempt", data: bytes) -> None:
        """Forward the events that are complete."""

    def forward_large_answer(self, attempt: "Attempt") -> None:
        """Forward the buffered part of an answer that is too large to buffer."""

    def reject_large_answer(self, attempt: "Attempt") -> None:
        """Abort an attempt whose failure has a body that is too large to keep."""

    def answer_ended(self, attempt: "Attempt", *, is_framed: bool) -> None:
        """Complete the caller's answer, or report the failure of the attempt."""

    def answer_broken(self, attempt: "Attempt", detail: str) -> None:
        """Report a truncated or malformed answer."""


class Attempt:
    """Attempt at one upstream, which collects its answer.

    The exchange ignores events of attempts other than the current one. An unexpected
    error ends the exchange, and does not count as a fault of the upstream.
    """

    def __init__(self, exchange: AttemptOwner, send: Send) -> None:
        self.exchange = exchange
        self.send = send
        self.connection: UpstreamConnection | None = None
        self.head: AnswerHead | None = None
        self.headers: RawHeaders = ()
        self.body_use = BodyUse.DISCARD
        self.body: bytes | bytearray = b""
        self.body_bytes = 0

    def on_head(self, status: int, headers: RawHeaders) -> None:
        """Decode the head of the answer and the keep-alive time it advertises."""
        self._contain(lambda: self._receive_head(status, headers))

    def on_data(self, data: bytes) -> None:
        """Forward a part of a stream, or buffer a part of a plain answer."""
        # Written out, since it is called for each event of a stream.
        try:
            if self.body_use is BodyUse.FORWARD_EVENTS:
                self.exchange.forward_events(self, data)
            else:
                self._receive_data(data)
        except Exception as error:
            self.exchange.fault(error)

    def on_end(self, *, is_framed: bool) -> None:
        """End the attempt with a complete answer."""
        self.connection = None
        self._contain(lambda: self.exchange.answer_ended(self, is_framed=is_framed))

    def on_broken(self, detail: str) -> None:
        """End the attempt with a truncated or malformed answer."""
        self.connection = None
        self._contain(lambda: self.exchange.answer_broken(self, detail))

    def _contain(self, handle: Callable[[], None]) -> None:
        try:
            handle()
        except Exception as error:
            self.exchange.fault(error)

    def _receive_head(self, status: int, headers: RawHeaders) -> None:
        self.head = decode_answer_head(status, headers)
        self.headers = list(headers)
        if self.connection is not None:
            self.connection.keep_alive_s = self.head.keep_alive_s
        self.body_use = self.exchange.use_body(self)
        self.exchange.head_received(self)

    def _receive_data(self, data: bytes) -> None:
        self.body_bytes += len(data)
        if self.body_use is not BodyUse.DISCARD:
            self._append(data)
            has_room = self.exchange.hold_answer(len(self.body))
            if has_room and self.body_bytes <= MAX_BUFFERED_BYTES:
                return
        elif self.body_bytes <= MAX_BUFFERED_BYTES:
            return
        if self.body_use is BodyUse.FORWARD_PLAIN:
            self.exchange.forward_large_answer(self)
        else:
            self.exchange.reject_large_answer(self)

    def _append(self, data: bytes) -> None:
        if not self.body:
            self.body = data
            return
        if not isinstance(self.body, bytearray):
            self.body = bytearray(self.body)
        self.body += data
