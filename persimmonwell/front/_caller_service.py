"""Handler of callers' requests: admission, dispatch to upstreams, and the answer."""

import math
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import nullcontext

import attrs

from persimmonwell._exceptions import (
    DeadlineExceededError,
    NotReadyError,
    UpstreamFailedError,
)
from persimmonwell.core._types import Outcome, Rank
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.resources import SMALL_BODY_BYTES
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
from persimmonwell.front._thread_limiter import ThreadLimiter
from persimmonwell.observe import TokenTimer
from persimmonwell.upstream import (
    EngineClient,
    ServiceCallError,
    ServiceClient,
)

_large_body_turn = threading.Lock()
"""Held while a large body is parsed, which takes up to fourteen times its length for a
moment: the digest escapes each byte of a body that is not ASCII."""
MIN_CALL_TIMEOUT_S = 0.05
"""Minimum timeout of a call, also when queueing has used up the deadline."""


@attrs.frozen
class CallerService:
    """HTTP handler of the callers' port, which carries out the router's decisions."""

    router: RouterPort
    engines: EngineClient
    services: ServiceClient
    current_config: Callable[[], FleetConfig | None]
    thread_limiter: ThreadLimiter
    claims: ClaimPort | None = None
    count_dropped_frame: Callable[[Dropped], None] = lambda dropped: None
    new_token_timer: Callable[[Rank], TokenTimer] | None = None
    """Factory of the latency timer of a request that arrives now."""

    def handle(self, http: HttpRequest) -> HttpResponse:
        """Return the answer to one HTTP request.

        A streamed body holds its thread slot until the server closes the body.
        """
        config = self.current_config()
        if config is None:
            raise NotReadyError("no configuration received yet")
        with _large_body_turn if len(http.body) > SMALL_BODY_BYTES else nullcontext():
            parsed = parse_request(http, config, time.monotonic())
        if isinstance(parsed, ParsedServiceCall):
            with self.thread_limiter.admit(parsed.call.rank):
                return self._serve_service_call(http, parsed)
        self.thread_limiter.acquire(parsed.request.rank)
        try:
            response = self._serve_model_request(http, parsed, config)
        except BaseException:
            self.thread_limiter.release()
            raise
        return attrs.evolve(
            response, body=_BodyWithCallback(response.body, self.thread_limiter.release)
        )

    def _serve_model_request(
        self, http: HttpRequest, parsed: ParsedModelRequest, config: FleetConfig
    ) -> HttpResponse:
        layers = config.models[parsed.request.model].layers
        new_timer = self.new_token_timer
        relay = Relay(
            router=self.router,
            engines=self.engines,
            parsed=parsed,
            total_layers=layers,
            is_caller_connected=http.is_caller_connected,
            count_dropped_frame=self.count_dropped_frame,
            token_timer=new_timer(parsed.request.rank) if new_timer else None,
        )
        return relay.respond()

    def _serve_service_call(
        self, http: HttpRequest, parsed: ParsedServiceCall
    ) -> HttpResponse:
        call = parsed.call
        claim_id, send_before_s = None, math.inf
        if not call.repeatable and call.idempotency_key and self.claims is not None:
            verdict = self.claims.claim_key(parsed)
            if verdict.response is not None:
                return verdict.response
            claim_id, send_before_s = verdict.claim_id, verdict.send_before_s
        no_answer = UpstreamFailedError(call.service, "call ended without an answer")
        response = error_response(no_answer, Outcome.MAY_HAVE_RUN, call.request_id)
        may_have_run = True
        try:
            response, may_have_run = self._dispatch_call(http, parsed, send_before_s)
        finally:
            # A claim without a result blocks its key until the log's retention ends.
            if claim_id is not None and self.claims is not None:
                self.claims.record_answer(claim_id, response if may_have_run else None)
        return response

    def _dispatch_call(
        self, http: HttpRequest, parsed: ParsedServiceCall, send_before_s: float
    ) -> tuple[HttpResponse, bool]:
        """Return the answer, and whether the call may have reached a replica."""
        call = parsed.call
        mailbox = self.router.submit(call.request_id, ServiceCallArrived(call))
        try:
            while True:
                decision = next_decision(mailbox, call)
                if isinstance(decision, Refuse):
                    may_have_run = decision.outcome is not Outcome.NOT_RUN
                    response = error_response(
                        decision.error, decision.outcome, call.request_id
                    )
                    return response, may_have_run
                if not isinstance(decision, DispatchService):
                    continue
                if decision.delay_s:
                    time.sleep(decision.delay_s)
                if time.monotonic() >= send_before_s:
                    # The process may have been paused since it won the claim, and
                    # another host may hold the key by now.
                    self.router.post_event(RequestCancelled(call.request_id))
                    expired = DeadlineExceededError(0.0)
                    response = error_response(expired, Outcome.NOT_RUN, call.request_id)
                    return response, False
                answer = self._call_replica(http, parsed, decision)
                if answer is not None:
                    return answer, True
        finally:
            self.router.stop_delivery(call.request_id)

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
            self.router.post_event(failed)
            return None
        self.router.post_event(ServiceCallFinished(call.request_id, decision.attempt))
        router_headers = (
            (OUTCOME_HEADER, Outcome.COMPLETE.value),
            (REQUEST_ID_HEADER, call.request_id),
            ("Content-Length", str(len(answer.body))),
        )
        return HttpResponse(
            answer.status, (*answer.headers, *router_headers), (answer.body,)
        )


class _BodyWithCallback:
    """Response body that runs a callback once when the server closes it.

    WSGI servers close the body after sending it and also when sending failed.
    """

    def __init__(self, body: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self._body = body
        self._on_close: Callable[[], None] | None = on_close

    def __iter__(self) -> Iterator[bytes]:
        yield from self._body

    def close(self) -> None:
        """Close the body and run the callback."""
        close_body = getattr(self._body, "close", None)
        if close_body is not None:
            close_body()
        on_close, self._on_close = self._on_close, None
        if on_close is not None:
            on_close()
