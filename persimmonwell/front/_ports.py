"""Interfaces of the front end to the router and the claims component."""

import math
import queue
import time
from collections.abc import Callable
from typing import Protocol

import attrs

from persimmonwell._exceptions import NotReadyError
from persimmonwell.core import ModelRequest, Outcome, ServiceCall
from persimmonwell.core.router import Dispatch, DispatchService, Refuse, RouterEvent
from persimmonwell.front._parsing import ParsedServiceCall
from persimmonwell.front._responses import HttpResponse

DECISION_POLL_S = 0.5
DECISION_GRACE_S = 10.0
"""Extra wait after the deadline for the router's own refusal, seconds."""

RequestDecision = Dispatch | DispatchService | Refuse
Mailbox = queue.SimpleQueue[RequestDecision]


class RouterPort(Protocol):
    """Interface of the router to request threads."""

    def submit(self, request_id: str, event: RouterEvent) -> Mailbox:
        """Submit a new request and return the queue that receives its decisions."""
        ...

    def post_event(self, event: RouterEvent) -> None:
        """Post an event to the router without waiting."""
        ...

    def stop_delivery(self, request_id: str) -> None:
        """Stop delivering decisions for a request that has ended."""
        ...


class ClaimPort(Protocol):
    """Interface of the claims component, for calls that must not be repeated."""

    def claim_key(self, parsed: ParsedServiceCall) -> "ClaimVerdict":
        """Claim the call's idempotency key and return whether the call may be sent."""
        ...

    def record_answer(self, claim_id: str, answer: HttpResponse | None) -> None:
        """Record the answer to a claimed call, or None if the call was not sent."""
        ...


@attrs.frozen
class ClaimVerdict:
    """Result of claiming an idempotency key; either claim_id or response is set."""

    claim_id: str | None = None
    """Set when this host won the claim and must dispatch the call."""
    send_before_s: float = math.inf
    """Monotonic time after which the call must not be sent, seconds."""
    response: HttpResponse | None = None
    """Answer to return instead, when the call must not be dispatched."""


def next_decision(
    mailbox: Mailbox,
    request: ModelRequest | ServiceCall,
    is_caller_connected: Callable[[], bool] = lambda: True,
) -> RequestDecision | None:
    """Wait for the next decision; return None when the caller has disconnected.

    Without a decision until the deadline plus DECISION_GRACE_S, return a refusal.
    """
    give_up_s = request.deadline_s + DECISION_GRACE_S
    while True:
        try:
            return mailbox.get(timeout=DECISION_POLL_S)
        except queue.Empty:
            if time.monotonic() > give_up_s:
                error = NotReadyError("router gave no decision")
                return Refuse(request.request_id, error, Outcome.MAY_HAVE_RUN)
            if not is_caller_connected():
                return None
