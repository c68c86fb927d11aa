"""Define what the callers' front needs of the router and the claims part."""

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
"""Wait past the deadline for the router's own refusal, seconds."""

RequestDecision = Dispatch | DispatchService | Refuse
Mailbox = queue.SimpleQueue[RequestDecision]


class RouterPort(Protocol):
    """Describe what the caller service needs of the router."""

    def submit(self, request_id: str, event: RouterEvent) -> Mailbox:
        """Hand in a new request and return where its decisions arrive."""
        ...

    def tell(self, event: RouterEvent) -> None:
        """Hand in an event without waiting."""
        ...

    def forget(self, request_id: str) -> None:
        """Stop delivering decisions for a request."""
        ...


class ClaimPort(Protocol):
    """Describe what the caller service needs of the claims part."""

    def settle(self, parsed: ParsedServiceCall) -> "ClaimVerdict":
        """Record a claim for a call that must not be repeated."""
        ...

    def finish(self, claim_id: str, answer: HttpResponse | None) -> None:
        """Record the answer of a won claim; None when surely not sent."""
        ...


@attrs.frozen
class ClaimVerdict:
    """Hold the verdict on a claim: either claim_id or response is set."""

    claim_id: str | None = None
    """Set when this call won and must be dispatched by this host."""
    send_before_s: float = math.inf
    """Time on the host's monotonic clock after which the call must not be sent."""
    response: HttpResponse | None = None
    """Set when the call must not be dispatched; the answer to give."""


def next_decision(
    mailbox: Mailbox,
    request: ModelRequest | ServiceCall,
    caller_is_open: Callable[[], bool] = lambda: True,
) -> RequestDecision | None:
    """Wait for a decision; return None when the caller left meanwhile.

    Refuse the request when the router gives no decision in time.
    """
    last_s = request.deadline_s + DECISION_GRACE_S
    while True:
        try:
            return mailbox.get(timeout=DECISION_POLL_S)
        except queue.Empty:
            if time.monotonic() > last_s:
                error = NotReadyError("router gave no decision")
                return Refuse(request.request_id, error, Outcome.MAY_HAVE_RUN)
            if not caller_is_open():
                return None
