"""Time-outs of one caller's connection, and checks that it makes progress."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.core.resources import CallerPolicy, RefusalReason
from persimmonwell.gateway._caller_answers import AnswerWriter
from persimmonwell.gateway._caller_charges import CallerCharges
from persimmonwell.gateway._caller_refusals import Discard
from persimmonwell.gateway._caller_requests import RequestParser


class TimedConnection(Protocol):
    """Connection that is ended or refused when its caller is too slow."""

    is_answering: bool
    """Whether a request is answered, or waits for the ones before it."""

    def reject(self, status: HTTPStatus, reason: RefusalReason | None = None) -> None:
        """Refuse the current message and those after it."""

    def report_progress(self) -> None:
        """Report that the caller sends or takes bytes."""

    def end_unread(self) -> None:
        """Abort a connection whose caller takes no bytes."""

    def close(self) -> None:
        """Close the connection after what was written."""

    def abort(self) -> None:
        """Close the connection at once."""


class CallerTimeOuts:
    """The timer of one connection, and what follows from its end.

    One timer serves for the idle time, the head, the body and the discarded rest.
    """

    __slots__ = (
        "_charges",
        "_connection",
        "_discard",
        "_due_s",
        "_limits",
        "_parser",
        "_policy",
        "_timer",
        "_writer",
        "last_data_s",
    )

    def __init__(
        self,
        connection: TimedConnection,
        *,
        limits: Callable[[], CallerLimits],
        policy: CallerPolicy,
        parser: RequestParser,
        writer: AnswerWriter,
        charges: CallerCharges,
        discard: Discard,
    ) -> None:
        self._connection = connection
        self._limits = limits
        self._policy = policy
        self._parser = parser
        self._writer = writer
        self._charges = charges
        self._discard = discard
        self._timer: asyncio.TimerHandle | None = None
        """Timer that is kept while requests come and go, which ends when the time-out
        is due or earlier. Two new timers were 4% of the instructions of a request."""
        self._due_s: float | None = None
        """When the time-out that is running ends, None without one."""
        self.last_data_s = 0.0
        """When the caller last sent bytes, or the host began to read them again."""

    @property
    def is_set(self) -> bool:
        """Return whether a time-out is running."""
        return self._due_s is not None

    def await_request(self) -> None:
        """Set the time-out of an idle connection, or of a body that comes in."""
        self._set(self._limits().idle_timeout_s)

    def await_head(self) -> None:
        """Set the time-out of a head that is being received."""
        self._set(self._limits().header_timeout_s)

    def await_rest(self) -> None:
        """Set the time-out of what is discarded after a refusal."""
        self._set(self._policy.discard_s)

    def _set(self, delay_s: float) -> None:
        """Replace the time-out that is running."""
        loop = asyncio.get_running_loop()
        self._due_s = due_s = loop.time() + delay_s
        timer = self._timer
        if timer is None or timer.when() > due_s:
            self.close()
            self._due_s = due_s
            self._timer = loop.call_at(due_s, self._on_timer)

    def cancel(self) -> None:
        """Cancel the time-out that is running, if any."""
        self._due_s = None

    def close(self) -> None:
        """Stop the timer, since the connection has ended."""
        self._due_s = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timer(self) -> None:
        timer, self._timer = self._timer, None
        if self._due_s is None or timer is None:
            return
        if self._due_s > timer.when():
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._due_s, self._on_timer)
            return
        self._due_s = None
        self._on_timeout()

    def _on_timeout(self) -> None:
        if self._discard.is_active:
            self._connection.abort()
            return
        if self._connection.is_answering:
            return
        parser = self._parser
        if parser.is_receiving and not parser.in_body:
            self._connection.reject(HTTPStatus.REQUEST_TIMEOUT)
        elif parser.is_receiving:
            limit_s = self._limits().idle_timeout_s
            silent_s = asyncio.get_running_loop().time() - self.last_data_s
            if parser.body is not None and parser.body.is_waiting:
                # The host itself does not read; see BodyCharge for the limit.
                self._set(limit_s)
            elif silent_s >= limit_s:
                self._connection.reject(
                    HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY
                )
            else:
                self._set(limit_s - silent_s)
        else:
            self._connection.close()

    def check_progress(self, now_s: float) -> None:
        """End answers that nobody reads and bodies that come in too slowly."""
        taken_bytes = self._writer.take_progress(now_s)
        if taken_bytes is not None:
            if self._writer.unsent_bytes:
                self._connection.report_progress()
            self._charges.add_taken(taken_bytes, now_s)
        elif self._writer.is_unread(self._policy.unread_answer_s, now_s):
            self._connection.end_unread()
            return
        self._charges.resize_unread(self._writer.unsent_bytes)
        body = self._parser.body
        if body is not None and body.is_too_slow(self._policy, now_s):
            self._connection.reject(HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY)
