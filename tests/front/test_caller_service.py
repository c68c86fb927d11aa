"""Tests of the caller service: service calls that must not be repeated."""

import queue
import time
from typing import Any, cast

import pytest

from persimmonwell.core import Outcome, Rank, ServiceCall, ServiceReplica
from persimmonwell.core.router import DispatchService, RequestCancelled, RouterEvent
from persimmonwell.front._caller_service import CallerService
from persimmonwell.front._parsing import HttpRequest, ParsedServiceCall
from persimmonwell.front._ports import ClaimVerdict, Mailbox
from persimmonwell.front._responses import OUTCOME_HEADER, HttpResponse
from persimmonwell.front._thread_limiter import ThreadLimiter
from persimmonwell.upstream import ServiceAnswer

REPLICA = ServiceReplica("r-1", "127.0.0.1:9", "za", "booking")
BACKOFF_S = 0.2


class _Router:
    """Router that dispatches each call once, after a back-off."""

    def __init__(self) -> None:
        self.posted_events: list[RouterEvent] = []

    def submit(self, request_id: str, event: RouterEvent) -> Mailbox:
        mailbox: Mailbox = queue.SimpleQueue()
        mailbox.put(DispatchService(request_id, 1, REPLICA, delay_s=BACKOFF_S))
        return mailbox

    def post_event(self, event: RouterEvent) -> None:
        self.posted_events.append(event)

    def stop_delivery(self, request_id: str) -> None:
        return None


class _Claims:
    """Claims component that grants every claim, with a limited time to send."""

    def __init__(self, send_within_s: float) -> None:
        self.send_within_s = send_within_s
        self.finished: list[tuple[str, HttpResponse | None]] = []

    def claim_key(self, parsed: ParsedServiceCall) -> ClaimVerdict:
        limit_s = time.monotonic() + self.send_within_s
        return ClaimVerdict(claim_id="claim-1", send_before_s=limit_s)

    def record_answer(self, claim_id: str, answer: HttpResponse | None) -> None:
        self.finished.append((claim_id, answer))


class _Services:
    def __init__(self) -> None:
        self.calls = 0

    def call(self, **values: Any) -> ServiceAnswer:
        self.calls += 1
        return ServiceAnswer(200, (), b"booked")


@pytest.mark.parametrize(("send_within_s", "calls"), [(0.05, 0), (5.0, 1)])
def test_call_is_not_sent_after_its_claim_expired(
    send_within_s: float, calls: int
) -> None:
    """Guards against a booking that runs twice.

    A host that was paused after it won the claim must not send the call, since
    another host may hold the key by then.
    """
    router, claims, services = _Router(), _Claims(send_within_s), _Services()
    service = CallerService(
        router=router,
        engines=cast(Any, None),
        services=cast(Any, services),
        current_config=lambda: None,
        thread_limiter=ThreadLimiter(threads=4),
        claims=claims,
    )
    call = ServiceCall(
        request_id="q-1",
        workspace="w",
        rank=Rank.URGENT,
        service="booking",
        digest="d",
        deadline_s=time.monotonic() + 10.0,
        repeatable=False,
        idempotency_key="key-1",
    )
    parsed = ParsedServiceCall(
        call, "POST", "/book", b"x", first_attempt=True, timeout_s=5.0
    )
    http = HttpRequest("POST", "/book", "", {}, b"x")
    response = service._serve_service_call(http, parsed)
    assert services.calls == calls
    ((claim_id, answer),) = claims.finished
    assert claim_id == "claim-1"
    if calls:
        assert response.status == 200 and answer is response
    else:
        outcome = dict(response.headers)[OUTCOME_HEADER]
        assert outcome == Outcome.NOT_RUN.value
        assert answer is None  # The caller may retry with the same key.
        assert any(
            isinstance(event, RequestCancelled) for event in router.posted_events
        )
