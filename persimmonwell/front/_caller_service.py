"""Serve callers' requests: admit, relay tokens, and state the outcome."""

import queue
import time
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from persimmonwell._exceptions import (
    DeadlineExceededError,
    NotReadyError,
    PersimmonwellError,
)
from persimmonwell.core._types import (
    Chain,
    ModelRequest,
    Outcome,
    Rank,
    ServiceCall,
)
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.retry import (
    AcceptedEnd,
    AcceptedToken,
    Dropped,
    TokenAssembler,
)
from persimmonwell.core.router import (
    AttemptFinished,
    Dispatch,
    DispatchService,
    FailureKind,
    FirstToken,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RouterEvent,
    ServiceCallArrived,
    ServiceCallFailed,
    ServiceCallFinished,
    StageFailed,
)
from persimmonwell.front._parsing import (
    HttpRequest,
    ParsedModelRequest,
    ParsedServiceCall,
    parse_request,
)
from persimmonwell.front._responses import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    SSE_DONE,
    HttpResponse,
    completion_chunk,
    completion_document,
    error_document,
    error_response,
    json_response,
    sse_event,
)
from persimmonwell.observe import TokenTimer
from persimmonwell.upstream import (
    Attempt,
    AttemptFailedError,
    EngineClient,
    ServiceCallError,
    ServiceClient,
)

DECISION_POLL_S = 1.0
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
    """Hold the verdict on a claim: exactly one field is set."""

    claim_id: str | None = None
    """Set when this call won and must be dispatched by this host."""
    response: HttpResponse | None = None
    """Set when the call must not be dispatched; the answer to give."""


class _RefusedError(Exception):
    """Carry a refusal out of the relay loop."""

    def __init__(self, refuse: Refuse) -> None:
        super().__init__(refuse.request_id)
        self.refuse = refuse


@attrs.frozen
class CallerService:
    """Answer callers' requests with the router's decisions."""

    router: RouterPort
    engines: EngineClient
    services: ServiceClient
    current_config: Callable[[], FleetConfig | None]
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
            return self._serve_call(http, parsed)
        layers = config.models[parsed.request.model].layers
        relay = _Relay(self, parsed, layers)
        return relay.respond()

    def _serve_call(self, http: HttpRequest, parsed: ParsedServiceCall) -> HttpResponse:
        call = parsed.call
        claim_id = None
        if not call.repeatable and call.idempotency_key and self.claims is not None:
            verdict = self.claims.settle(parsed)
            if verdict.response is not None:
                return verdict.response
            claim_id = verdict.claim_id
        response, sent = self._dispatch_call(http, parsed)
        if claim_id is not None and self.claims is not None:
            self.claims.finish(claim_id, response if sent else None)
        return response

    def _dispatch_call(
        self, http: HttpRequest, parsed: ParsedServiceCall
    ) -> tuple[HttpResponse, bool]:
        """Return the answer and whether the call may have reached a replica."""
        call = parsed.call
        mailbox = self.router.submit(call.request_id, ServiceCallArrived(call))
        try:
            while True:
                decision = self._next_decision(mailbox, call)
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
                timeout_s=parsed.timeout_s,
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

    def _next_decision(
        self, mailbox: Mailbox, request: ModelRequest | ServiceCall
    ) -> RequestDecision:
        """Wait for a decision; refuse when the router gives none in time."""
        last_s = request.deadline_s + DECISION_GRACE_S
        while True:
            try:
                return mailbox.get(timeout=DECISION_POLL_S)
            except queue.Empty:
                if time.monotonic() > last_s:
                    error = NotReadyError("router gave no decision")
                    return Refuse(request.request_id, error, Outcome.MAY_HAVE_RUN)


class _Relay:
    """Hold the progress of one model request."""

    def __init__(
        self, service: CallerService, parsed: ParsedModelRequest, total_layers: int
    ) -> None:
        self._service = service
        self._parsed = parsed
        self._request = parsed.request
        self._assembler = TokenAssembler(
            request_id=self._request.request_id, total_layers=total_layers
        )
        new_timer = service.token_timer
        self._timer = None if new_timer is None else new_timer(self._request.rank)
        self._mailbox: Mailbox | None = None
        self._finish_reason = "stop"
        self._dispatched = False
        self._settled = False

    def respond(self) -> HttpResponse:
        """Return the whole answer, or a stream once its first token is here."""
        tokens = self._tokens()
        try:
            first = next(tokens, None)
            if self._parsed.stream:
                headers = (
                    ("Content-Type", "text/event-stream"),
                    ("Cache-Control", "no-store"),
                    (REQUEST_ID_HEADER, self._request.request_id),
                )
                return HttpResponse(200, headers, self._events(first, tokens))
            for _ in tokens:
                pass
        except _RefusedError as error:
            refuse = error.refuse
            return error_response(refuse.error, refuse.outcome, refuse.request_id)
        return self._whole_answer()

    def _whole_answer(self) -> HttpResponse:
        texts = self._assembler.texts
        document = completion_document(
            request_id=self._request.request_id,
            model=self._request.model,
            chat=self._parsed.chat,
            text="".join(texts),
            finish_reason=self._finish_reason,
            prompt_tokens=self._request.prompt_tokens,
            completion_tokens=len(texts),
        )
        headers = (
            (OUTCOME_HEADER, Outcome.COMPLETE.value),
            (REQUEST_ID_HEADER, self._request.request_id),
        )
        return json_response(document, headers=headers)

    def _events(
        self, first: AcceptedToken | None, tokens: Iterator[AcceptedToken]
    ) -> Iterator[bytes]:
        try:
            if first is not None:
                yield self._chunk(first.text, None)
            for token in tokens:
                yield self._chunk(token.text, None)
            yield self._chunk("", self._finish_reason)
            yield sse_event({"persimmonwell": {"outcome": Outcome.COMPLETE.value}})
            yield SSE_DONE
        except _RefusedError as error:
            refuse = error.refuse
            yield sse_event(error_document(refuse.error, refuse.outcome))
            yield SSE_DONE
        finally:
            self._settle()

    def _chunk(self, text: str, finish_reason: str | None) -> bytes:
        chunk = completion_chunk(
            request_id=self._request.request_id,
            model=self._request.model,
            chat=self._parsed.chat,
            text=text,
            finish_reason=finish_reason,
        )
        return sse_event(chunk)

    def _tokens(self) -> Iterator[AcceptedToken]:
        """Yield each token once; raise _RefusedError when the answer breaks off."""
        router = self._service.router
        request = self._request
        self._mailbox = router.submit(request.request_id, RequestArrived(request))
        try:
            while not self._assembler.ended:
                decision = self._service._next_decision(self._mailbox, request)
                if isinstance(decision, Refuse):
                    self._settled = True
                    raise _RefusedError(decision)
                if isinstance(decision, Dispatch):
                    yield from self._run_attempt(decision)
        finally:
            self._settle()

    def _run_attempt(self, dispatch: Dispatch) -> Iterator[AcceptedToken]:
        if dispatch.delay_s:
            time.sleep(dispatch.delay_s)
        self._assembler.start_attempt(dispatch.attempt)
        self._dispatched = True
        try:
            yield from self._relay_attempt(dispatch)
        except AttemptFailedError as error:
            self._service.router.tell(
                StageFailed(
                    request_id=self._request.request_id,
                    attempt=dispatch.attempt,
                    upstream_id=_upstream_at(dispatch.chain, error.address),
                    failure=error.failure,
                    tokens_so_far=self._assembler.resume_index,
                )
            )

    def _relay_attempt(self, dispatch: Dispatch) -> Iterator[AcceptedToken]:
        request = self._request
        attempt = Attempt(
            request_id=request.request_id,
            attempt=dispatch.attempt,
            model=request.model,
            prompt=self._parsed.prompt,
            tokens=self._assembler.texts,
            max_tokens=request.max_tokens,
            rank=request.rank,
            chain=dispatch.chain,
            parameters=self._parsed.parameters,
        )
        head = dispatch.chain.stages[0].address
        first = True
        for frame in self._service.engines.stream(attempt):
            accepted = self._assembler.accept(frame)
            if isinstance(accepted, Dropped):
                self._service.count_dropped(accepted)
                if accepted.breaks_attempt:
                    kind = FailureKind.INVALID_ANSWER
                    raise AttemptFailedError(kind, head, accepted.reason.value)
                continue
            if isinstance(accepted, AcceptedEnd):
                self._finished(dispatch, accepted)
                return
            if first:
                first = False
                self._service.router.tell(
                    FirstToken(request.request_id, dispatch.attempt)
                )
            if self._timer is not None:
                self._timer.token(time.monotonic())
            yield accepted
            if time.monotonic() > request.deadline_s:
                self._expire()

    def _finished(self, dispatch: Dispatch, end: AcceptedEnd) -> None:
        self._finish_reason = end.finish_reason
        self._settled = True
        request_id = self._request.request_id
        self._service.router.tell(
            AttemptFinished(request_id, dispatch.attempt, end.count)
        )
        self._service.router.forget(request_id)

    def _expire(self) -> None:
        error: PersimmonwellError = DeadlineExceededError(0.0)
        refuse = Refuse(self._request.request_id, error, Outcome.MAY_HAVE_RUN)
        self._settle()
        raise _RefusedError(refuse)

    def _settle(self) -> None:
        """Tell the router that the request is over unless it knows."""
        if self._timer is not None:
            self._timer.close()
        request_id = self._request.request_id
        if not self._settled:
            self._settled = True
            self._service.router.tell(RequestCancelled(request_id))
        self._service.router.forget(request_id)


def _upstream_at(chain: Chain, address: str) -> str:
    for stage in (*chain.stages, *chain.prefill_stages):
        if stage.address == address:
            return stage.upstream_id
    return chain.stages[0].upstream_id
