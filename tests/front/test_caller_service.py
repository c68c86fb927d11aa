"""Check the calls that must not be repeated at the callers' front."""

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
from persimmonwell.front._thread_gate import ThreadGate
from persimmonwell.upstream import ServiceAnswer

REPLICA = ServiceReplica("r-1", "127.0.0.1:9", "za", "booking")
BACKOFF_S = 0.2


class _Router:
    """Dispatch each call once, after a pause."""

    def __init__(self) -> None:
        self.told: list[RouterEvent] = []

    def submit(self, request_id: str, event: RouterEvent) -> Mailbox:
        mailbox: Mailbox = queue.SimpleQueue()
        mailbox.put(DispatchService(request_id, 1, REPLICA, delay_s=BACKOFF_S))
        return mailbox

    def tell(self, event: RouterEvent) -> None:
        self.told.append(event)

    def forget(self, request_id: str) -> None:
        return None


class _Claims:
    """Win every claim, which allows the send for a given time."""

    def __init__(self, send_within_s: float) -> None:
        self.send_within_s = send_within_s
        self.finished: list[tuple[str, HttpResponse | None]] = []

    def settle(self, parsed: ParsedServiceCall) -> ClaimVerdict:
        limit_s = time.monotonic() + self.send_within_s
        return ClaimVerdict(claim_id="claim-1", send_before_s=limit_s)

    def finish(self, claim_id: str, answer: HttpResponse | None) -> None:
        self.finished.append((claim_id, answer))


class _Services:
    def __init__(self) -> None:
        self.calls = 0

    def call(self, **values: Any) -> ServiceAnswer:
        self.calls += 1
        return ServiceAnswer(200, (), b"booked")


@pytest.mark.parametrize(("send_within_s", "calls"), [(0.05, 0), (5.0, 1)])
def test_a_claim_won_too_long_ago_is_not_sent(send_within_s: float, calls: int) -> None:
    """Guards against a booking sent after a pause, when another host may have it."""
    router, claims, services = _Router(), _Claims(send_within_s), _Services()
    service = CallerService(
        router=router,
        engines=cast(Any, None),
        services=cast(Any, services),
        current_config=lambda: None,
        threads=ThreadGate(threads=4),
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
    response = service._serve_call(http, parsed)
    assert services.calls == calls
    ((claim_id, answer),) = claims.finished
    assert claim_id == "claim-1"
    if calls:
        assert response.status == 200 and answer is response
    else:
        outcome = dict(response.headers)[OUTCOME_HEADER]
        assert outcome == Outcome.NOT_RUN.value
        assert answer is None  # The key is free for the caller's next try.
        assert any(isinstance(each, RequestCancelled) for each in router.told)
