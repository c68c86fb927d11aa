"""Relay of one model request's tokens from its attempts to the caller."""

import time
from collections.abc import Callable, Iterator

from persimmonwell._exceptions import DeadlineExceededError
from persimmonwell.core import Chain, Outcome
from persimmonwell.core.retry import (
    AcceptedEnd,
    AcceptedToken,
    Dropped,
    TokenAssembler,
)
from persimmonwell.core.router import (
    AttemptFinished,
    Dispatch,
    FailureKind,
    FirstToken,
    Refuse,
    RequestArrived,
    RequestCancelled,
    StageFailed,
    TokensProgressed,
)
from persimmonwell.front._parsing import ParsedModelRequest
from persimmonwell.front._ports import RouterPort, next_decision
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
    token_encoder,
)
from persimmonwell.observe import TokenTimer
from persimmonwell.upstream import Attempt, AttemptFailedError, EngineClient

PROGRESS_INTERVAL_S = 0.5
"""Interval of progress reports to the router and of connection checks, seconds."""


class RefusedError(Exception):
    """Raised when the router refuses the request, also after the first token."""

    def __init__(self, refusal: Refuse) -> None:
        super().__init__(refusal.request_id)
        self.refusal = refusal


class CallerLeftError(Exception):
    """Raised when the caller has closed the connection."""


class Relay:
    """Relay of one model request over all its attempts."""

    def __init__(
        self,
        *,
        router: RouterPort,
        engines: EngineClient,
        parsed: ParsedModelRequest,
        total_layers: int,
        is_caller_connected: Callable[[], bool],
        count_dropped_frame: Callable[[Dropped], None],
        token_timer: TokenTimer | None = None,
    ) -> None:
        self._router = router
        self._engines = engines
        self._parsed = parsed
        self._request = parsed.request
        self._is_caller_connected = is_caller_connected
        self._count_dropped_frame = count_dropped_frame
        self._token_timer = token_timer
        self._assembler = TokenAssembler(
            request_id=parsed.request.request_id,
            total_layers=total_layers,
            max_tokens=parsed.request.max_tokens,
        )
        self._finish_reason = "stop"
        self._router_notified = False
        self._unreported_tokens = 0
        self._reported_s = 0.0

    def respond(self) -> HttpResponse:
        """Return the complete answer, or a stream once the first token has arrived."""
        tokens = self._accepted_tokens()
        try:
            first_token = next(tokens, None)
            if self._parsed.stream:
                headers = (
                    ("Content-Type", "text/event-stream"),
                    ("Cache-Control", "no-store"),
                    (REQUEST_ID_HEADER, self._request.request_id),
                )
                return HttpResponse(200, headers, self._sse_events(first_token, tokens))
            for _ in tokens:
                pass
        except RefusedError as error:
            refusal = error.refusal
            return error_response(refusal.error, refusal.outcome, refusal.request_id)
        except CallerLeftError:
            return HttpResponse(200, (), ())
        return self._completion_response()

    def _completion_response(self) -> HttpResponse:
        texts = self._assembler.token_texts
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

    def _sse_events(
        self, first_token: AcceptedToken | None, tokens: Iterator[AcceptedToken]
    ) -> Iterator[bytes]:
        encode = token_encoder(
            request_id=self._request.request_id,
            model=self._request.model,
            chat=self._parsed.chat,
        )
        try:
            if first_token is not None:
                yield encode(first_token.text)
            for token in tokens:
                yield encode(token.text)
            yield self._last_chunk()
            yield sse_event({"persimmonwell": {"outcome": Outcome.COMPLETE.value}})
            yield SSE_DONE
        except RefusedError as error:
            refusal = error.refusal
            yield sse_event(error_document(refusal.error, refusal.outcome))
            yield SSE_DONE
        except CallerLeftError:
            return
        finally:
            self._end_request()

    def _last_chunk(self) -> bytes:
        chunk = completion_chunk(
            request_id=self._request.request_id,
            model=self._request.model,
            chat=self._parsed.chat,
            text="",
            finish_reason=self._finish_reason,
        )
        return sse_event(chunk)

    def _accepted_tokens(self) -> Iterator[AcceptedToken]:
        """Yield each token once, over all attempts.

        Raise RefusedError when the request is refused or the answer breaks off, and
        CallerLeftError when the caller has disconnected.
        """
        request = self._request
        mailbox = self._router.submit(request.request_id, RequestArrived(request))
        try:
            while not self._assembler.is_complete:
                decision = next_decision(mailbox, request, self._is_caller_connected)
                if decision is None:
                    raise CallerLeftError
                if isinstance(decision, Refuse):
                    self._router_notified = True
                    raise RefusedError(decision)
                if isinstance(decision, Dispatch):
                    yield from self._run_attempt(decision)
        finally:
            self._end_request()

    def _run_attempt(self, dispatch: Dispatch) -> Iterator[AcceptedToken]:
        if dispatch.delay_s:
            time.sleep(dispatch.delay_s)
        self._assembler.start_attempt(dispatch.attempt)
        try:
            yield from self._relay_attempt(dispatch)
        except AttemptFailedError as error:
            self._router.post_event(
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
            tokens=self._assembler.token_texts,
            max_tokens=request.max_tokens,
            rank=request.rank,
            chain=dispatch.chain,
            parameters=self._parsed.parameters,
        )
        head_address = dispatch.chain.stages[0].address
        is_first = True
        for frame in self._engines.stream(attempt):
            accepted = self._assembler.accept(frame)
            if isinstance(accepted, Dropped):
                self._count_dropped_frame(accepted)
                if accepted.breaks_attempt:
                    kind = FailureKind.INVALID_ANSWER
                    raise AttemptFailedError(kind, head_address, accepted.reason.value)
                continue
            if isinstance(accepted, AcceptedEnd):
                self._report_finished(dispatch, accepted)
                return
            if is_first:
                is_first = False
                self._router.post_event(
                    FirstToken(request.request_id, dispatch.attempt)
                )
            yield accepted
            self._after_token(dispatch.attempt)

    def _after_token(self, attempt: int) -> None:
        """Report progress at intervals; raise after the deadline or a disconnect."""
        now_s = time.monotonic()
        if self._token_timer is not None:
            self._token_timer.record_token(now_s)
        if now_s > self._request.deadline_s:
            self._refuse_expired()
        self._unreported_tokens += 1
        if now_s - self._reported_s < PROGRESS_INTERVAL_S:
            return
        self._reported_s = now_s
        request_id = self._request.request_id
        self._router.post_event(
            TokensProgressed(request_id, attempt, self._unreported_tokens)
        )
        self._unreported_tokens = 0
        if not self._is_caller_connected():
            raise CallerLeftError

    def _report_finished(self, dispatch: Dispatch, end: AcceptedEnd) -> None:
        self._finish_reason = end.finish_reason
        self._router_notified = True
        request_id = self._request.request_id
        self._router.post_event(
            AttemptFinished(request_id, dispatch.attempt, end.count)
        )
        self._router.stop_delivery(request_id)

    def _refuse_expired(self) -> None:
        error = DeadlineExceededError(self._parsed.deadline_ms)
        refusal = Refuse(self._request.request_id, error, Outcome.MAY_HAVE_RUN)
        self._end_request()
        raise RefusedError(refusal)

    def _end_request(self) -> None:
        """Cancel the request at the router unless the router already ended it."""
        if self._token_timer is not None:
            self._token_timer.flush()
        request_id = self._request.request_id
        if not self._router_notified:
            self._router_notified = True
            self._router.post_event(RequestCancelled(request_id))
        self._router.stop_delivery(request_id)


def _upstream_at(chain: Chain, address: str) -> str:
    for stage in (*chain.stages, *chain.prefill_stages):
        if stage.address == address:
            return stage.upstream_id
    return chain.stages[0].upstream_id
