"""Serve callers' requests: admit, relay tokens, and state the outcome."""

import math
import time
from collections.abc import Callable, Iterable, Iterator

import attrs

from persimmonwell._exceptions import (
    DeadlineExceededError,
    NotReadyError,
    UpstreamFailedError,
)
from persimmonwell.core._types import Outcome, Rank
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.retry import (
    Dropped,
)
from persimmonwell.core.router import (
    DispatchService,
    Refuse,
    RequestCancelled,
    ServiceCallArrived,
    ServiceCallFailed,
    ServiceCallFinished,
)
from persimmonwell.front._parsing import (
    HttpRequest,
    ParsedModelRequest,
    ParsedServiceCall,
    parse_request,
)
from persimmonwell.front._ports import ClaimPort, RouterPort, next_decision
from persimmonwell.front._relay import Relay
from persimmonwell.front._responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    HttpResponse,
    error_response,
)
from persimmonwell.front._thread_gate import ThreadGate
from persimmonwell.observe import TokenTimer
from persimmonwell.upstream import (
    EngineClient,
    ServiceCallError,
    ServiceClient,
)

MIN_CALL_TIMEOUT_S = 0.05
"""Least time for a replica to answer, when the queue used up the deadline."""


@attrs.frozen
class CallerService:
    """Answer callers' requests with the router's decisions."""

    router: RouterPort
    engines: EngineClient
    services: ServiceClient
    current_config: Callable[[], FleetConfig | None]
    threads: ThreadGate
    claims: ClaimPort | None = None
    count_dropped: Callable[[Dropped], None] = lambda dropped: None
    token_timer: Callable[[Rank], TokenTimer] | None = None
    """Makes the timer of a request that arrives now."""

    def handle(self, http: HttpRequest) -> HttpResponse:
        """Answer one HTTP request."""
        config = self.current_config()
        if config is None:
            raise NotReadyError("no configuration is known")
        parsed = parse_request(http, config, time.monotonic())
        if isinstance(parsed, ParsedServiceCall):
            with self.threads.admit(parsed.call.rank):
                return self._serve_call(http, parsed)
        self.threads.enter(parsed.request.rank)
        try:
            response = self._serve_model_request(http, parsed, config)
        except BaseException:
            self.threads.leave()
            raise
        return attrs.evolve(
            response, body=_ClosingBody(response.body, self.threads.leave)
        )

    def _serve_model_request(
        self, http: HttpRequest, parsed: ParsedModelRequest, config: FleetConfig
    ) -> HttpResponse:
        layers = config.models[parsed.request.model].layers
        new_timer = self.token_timer
        relay = Relay(
            router=self.router,
            engines=self.engines,
            parsed=parsed,
            total_layers=layers,
            caller_is_open=http.caller_is_open,
            count_dropped=self.count_dropped,
            timer=new_timer(parsed.request.rank) if new_timer else None,
        )
        return relay.respond()

    def _serve_call(self, http: HttpRequest, parsed: ParsedServiceCall) -> HttpResponse:
        call = parsed.call
        claim_id, send_before_s = None, math.inf
        if not call.repeatable and call.idempotency_key and self.claims is not None:
            verdict = self.claims.settle(parsed)
            if verdict.response is not None:
                return verdict.response
            claim_id, send_before_s = verdict.claim_id, verdict.send_before_s
        unknown = UpstreamFailedError(call.service, "call ended without an answer")
        response = error_response(unknown, Outcome.MAY_HAVE_RUN, call.request_id)
        sent = True
        try:
            response, sent = self._dispatch_call(http, parsed, send_before_s)
        finally:
            # Without a result the claim would block its key until retention.
            if claim_id is not None and self.claims is not None:
                self.claims.finish(claim_id, response if sent else None)
        return response

    def _dispatch_call(
        self, http: HttpRequest, parsed: ParsedServiceCall, send_before_s: float
    ) -> tuple[HttpResponse, bool]:
        """Return the answer and whether the call may have reached a replica."""
        call = parsed.call
        mailbox = self.router.submit(call.request_id, ServiceCallArrived(call))
        try:
            while True:
                decision = next_decision(mailbox, call)
                if isinstance(decision, Refuse):
                    sent = decision.outcome is not Outcome.NOT_RUN
                    response = error_response(
                        decision.error, decision.outcome, call.request_id
                    )
                    return response, sent
                if not isinstance(decision, DispatchService):
                    continue
                if decision.delay_s:
                    time.sleep(decision.delay_s)
                if time.monotonic() >= send_before_s:
                    # The process may have been paused since the claim was won.
                    self.router.tell(RequestCancelled(call.request_id))
                    late = DeadlineExceededError(0.0)
                    response = error_response(late, Outcome.NOT_RUN, call.request_id)
                    return response, False
                answer = self._call_replica(http, parsed, decision)
                if answer is not None:
                    return answer, True
        finally:
            self.router.forget(call.request_id)

    def _call_replica(
        self, http: HttpRequest, parsed: ParsedServiceCall, decision: DispatchService
    ) -> HttpResponse | None:
        call = parsed.call
        headers = {
            "Content-Type": http.headers.get("content-type") or "application/json",
            "Persimmonwell-Workspace": call.workspace,
            REQUEST_ID_HEADER: call.request_id,
        }
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        try:
            answer = self.services.call(
                address=decision.replica.address,
                method=parsed.method,
                path=parsed.path,
                headers=headers,
                body=parsed.body,
                timeout_s=max(
                    MIN_CALL_TIMEOUT_S,
                    min(parsed.timeout_s, call.deadline_s - time.monotonic()),
                ),
            )
        except ServiceCallError as error:
            failed = ServiceCallFailed(
                call.request_id,
                decision.attempt,
                decision.replica.replica_id,
                error.failure,
            )
            self.router.tell(failed)
            return None
        self.router.tell(ServiceCallFinished(call.request_id, decision.attempt))
        own = (
            (OUTCOME_HEADER, Outcome.COMPLETE.value),
            (REQUEST_ID_HEADER, call.request_id),
            ("Content-Length", str(len(answer.body))),
        )
        return HttpResponse(answer.status, (*answer.headers, *own), (answer.body,))


class _ClosingBody:
    """Run an action once when an answer was sent or its sending failed."""

    def __init__(self, body: Iterable[bytes], action: Callable[[], None]) -> None:
        self._body = body
        self._action: Callable[[], None] | None = action

    def __iter__(self) -> Iterator[bytes]:
        yield from self._body

    def close(self) -> None:
        """Close the body and run the action."""
        close_body = getattr(self._body, "close", None)
        if close_body is not None:
            close_body()
        action, self._action = self._action, None
        if action is not None:
            action()
