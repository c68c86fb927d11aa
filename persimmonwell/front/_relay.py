"""Relay the tokens of one model request from its attempts to the caller."""

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
"""Time between reports of received tokens and checks of the caller, seconds."""


class RefusedError(Exception):
    """Carry a refusal out of the token loop."""

    def __init__(self, refuse: Refuse) -> None:
        super().__init__(refuse.request_id)
        self.refuse = refuse


class CallerLeftError(Exception):
    """Report that the caller closed the connection."""


class Relay:
    """Hold the progress of one model request."""

    def __init__(
        self,
        *,
        router: RouterPort,
        engines: EngineClient,
        parsed: ParsedModelRequest,
        total_layers: int,
        caller_is_open: Callable[[], bool],
        count_dropped: Callable[[Dropped], None],
        timer: TokenTimer | None = None,
    ) -> None:
        self._router = router
        self._engines = engines
        self._parsed = parsed
        self._request = parsed.request
        self._caller_is_open = caller_is_open
        self._count_dropped = count_dropped
        self._timer = timer
        self._assembler = TokenAssembler(
            request_id=parsed.request.request_id,
            total_layers=total_layers,
            max_tokens=parsed.request.max_tokens,
        )
        self._finish_reason = "stop"
        self._settled = False
        self._unreported_tokens = 0
        self._reported_s = 0.0

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
        except RefusedError as error:
            refuse = error.refuse
            return error_response(refuse.error, refuse.outcome, refuse.request_id)
        except CallerLeftError:
            return HttpResponse(200, (), ())
        return self._whole_answer()

    def _whole_answer(self) -> HttpResponse:
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

    def _events(
        self, first: AcceptedToken | None, tokens: Iterator[AcceptedToken]
    ) -> Iterator[bytes]:
        encode = token_encoder(
            request_id=self._request.request_id,
            model=self._request.model,
            chat=self._parsed.chat,
        )
        try:
            if first is not None:
                yield encode(first.text)
            for token in tokens:
                yield encode(token.text)
            yield self._last_chunk()
            yield sse_event({"persimmonwell": {"outcome": Outcome.COMPLETE.value}})
            yield SSE_DONE
        except RefusedError as error:
            refuse = error.refuse
            yield sse_event(error_document(refuse.error, refuse.outcome))
            yield SSE_DONE
        except CallerLeftError:
            return
        finally:
            self._settle()

    def _last_chunk(self) -> bytes:
        chunk = completion_chunk(
            request_id=self._request.request_id,
            model=self._request.model,
            chat=self._parsed.chat,
            text="",
            finish_reason=self._finish_reason,
        )
        return sse_event(chunk)

    def _tokens(self) -> Iterator[AcceptedToken]:
        """Yield each token once; raise RefusedError when the answer breaks off."""
        request = self._request
        mailbox = self._router.submit(request.request_id, RequestArrived(request))
        try:
            while not self._assembler.is_complete:
                decision = next_decision(mailbox, request, self._caller_is_open)
                if decision is None:
                    raise CallerLeftError
                if isinstance(decision, Refuse):
                    self._settled = True
                    raise RefusedError(decision)
                if isinstance(decision, Dispatch):
                    yield from self._run_attempt(decision)
        finally:
            self._settle()

    def _run_attempt(self, dispatch: Dispatch) -> Iterator[AcceptedToken]:
        if dispatch.delay_s:
            time.sleep(dispatch.delay_s)
        self._assembler.start_attempt(dispatch.attempt)
        try:
            yield from self._relay_attempt(dispatch)
        except AttemptFailedError as error:
            self._router.tell(
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
        head = dispatch.chain.stages[0].address
        first = True
        for frame in self._engines.stream(attempt):
            accepted = self._assembler.accept(frame)
            if isinstance(accepted, Dropped):
                self._count_dropped(accepted)
                if accepted.breaks_attempt:
                    kind = FailureKind.INVALID_ANSWER
                    raise AttemptFailedError(kind, head, accepted.reason.value)
                continue
            if isinstance(accepted, AcceptedEnd):
                self._finished(dispatch, accepted)
                return
            if first:
                first = False
                self._router.tell(FirstToken(request.request_id, dispatch.attempt))
            yield accepted
            self._after_token(dispatch.attempt)

    def _after_token(self, attempt: int) -> None:
        """Report progress now and then; stop when late or the caller left."""
        now_s = time.monotonic()
        if self._timer is not None:
            self._timer.token(now_s)
        if now_s > self._request.deadline_s:
            self._expire()
        self._unreported_tokens += 1
        if now_s - self._reported_s < PROGRESS_INTERVAL_S:
            return
        self._reported_s = now_s
        request_id = self._request.request_id
        self._router.tell(
            TokensProgressed(request_id, attempt, self._unreported_tokens)
        )
        self._unreported_tokens = 0
        if not self._caller_is_open():
            raise CallerLeftError

    def _finished(self, dispatch: Dispatch, end: AcceptedEnd) -> None:
        self._finish_reason = end.finish_reason
        self._settled = True
        request_id = self._request.request_id
        self._router.tell(AttemptFinished(request_id, dispatch.attempt, end.count))
        self._router.forget(request_id)

    def _expire(self) -> None:
        error = DeadlineExceededError(self._parsed.deadline_ms)
        refuse = Refuse(self._request.request_id, error, Outcome.MAY_HAVE_RUN)
        self._settle()
        raise RefusedError(refuse)

    def _settle(self) -> None:
        """Tell the router that the request is over unless it knows."""
        if self._timer is not None:
            self._timer.close()
        request_id = self._request.request_id
        if not self._settled:
            self._settled = True
            self._router.tell(RequestCancelled(request_id))
        self._router.forget(request_id)


def _upstream_at(chain: Chain, address: str) -> str:
    for stage in (*chain.stages, *chain.prefill_stages):
        if stage.address == address:
            return stage.upstream_id
    return chain.stages[0].upstream_id
