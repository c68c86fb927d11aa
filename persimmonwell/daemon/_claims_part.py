"""Run the claims state in a thread and carry out its decisions."""

import queue
import threading
import time
from collections.abc import Callable
from typing import TypeVar

import attrs

from persimmonwell._exceptions import (
    ClaimsUnavailableError,
    NotReadyError,
    PlatformUnavailableError,
    ResultNotKeptError,
)
from persimmonwell.core import Outcome
from persimmonwell.core.claims import (
    CLAIMS_STREAM,
    ActiveClaim,
    AppendClaims,
    CallFinished,
    CallResult,
    ClaimAnswered,
    ClaimDecision,
    ClaimKey,
    ClaimLimits,
    ClaimRefused,
    ClaimRequested,
    ClaimsAppended,
    ClaimsAppendUncertain,
    ClaimsEvent,
    ClaimsRead,
    ClaimsState,
    ClaimsTick,
    ClaimWon,
)
from persimmonwell.core.timeline import EventKind
from persimmonwell.daemon._stream_follower import follow_stream
from persimmonwell.front import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    ClaimVerdict,
    HttpResponse,
    ParsedServiceCall,
    error_response,
)
from persimmonwell.observe import Metrics, Recorder, part_logger
from persimmonwell.platform import JsonLog
from persimmonwell.settings import PlatformSettings

VERDICT_GRACE_S = 5.0
"""Wait past the deadline for the state's own refusal, seconds."""
INSPECT_S = 2.0
"""Longest wait for a look-up by an operator, seconds."""
FLUSH_POLL_S = 0.01
FLUSH_S = 5.0
"""Longest wait at close until results and withdrawals are appended, seconds."""
LOCAL_HEADERS = frozenset({OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower()})

T = TypeVar("T")
Verdict = ClaimWon | ClaimAnswered | ClaimRefused


@attrs.frozen
class _Submit:
    event: ClaimRequested
    mailbox: "queue.SimpleQueue[Verdict]"


@attrs.frozen
class _Call:
    run: Callable[[], None]


def claim_limits(settings: PlatformSettings, expected_hosts: int) -> ClaimLimits:
    """Return the limits that the settings state.

    The window grows with the number of hosts, so that all of them together stay
    below the number of appends that the log takes.
    """
    share_s = expected_hosts / settings.claim_appends_per_s
    return ClaimLimits(
        window_s=max(settings.claim_window_s, share_s),
        record_timeout_s=settings.claim_timeout_s,
        send_limit_s=settings.claim_send_limit_s,
    )


class ClaimsPart:
    """Hold the claims of one host, its stream reader and its appends."""

    def __init__(
        self,
        *,
        log: JsonLog,
        host_id: str,
        incarnation: str,
        limits: ClaimLimits,
        recorder: Recorder,
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._recorder = recorder
        self._metrics = metrics
        self._state = ClaimsState(
            host_id=host_id, incarnation=incarnation, limits=limits
        )
        self._inbox: queue.SimpleQueue[ClaimsEvent | _Submit | _Call] = (
            queue.SimpleQueue()
        )
        self._appends: queue.SimpleQueue[AppendClaims | None] = queue.SimpleQueue()
        self._mailboxes: dict[str, queue.SimpleQueue[Verdict]] = {}
        self._stopping = threading.Event()
        self._threads = tuple(
            threading.Thread(target=loop, daemon=True, name=f"claims-{name}")
            for name, loop in (
                ("state", self._state_loop),
                ("read", self._read_loop),
                ("append", self._append_loop),
            )
        )

    def start(self) -> None:
        """Start folding the stream."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Append what is owed, within a limit, and stop."""
        if not self._flush():
            part_logger("claims").warning("closed with records that were not appended")
        self._stopping.set()
        self._appends.put(None)
        self._inbox.put(ClaimsTick())
        for thread in self._threads:
            thread.join()

    def _flush(self) -> bool:
        limit_s = time.monotonic() + FLUSH_S
        while time.monotonic() < limit_s:
            try:
                if self.inspect(lambda state: state.is_idle):
                    return True
            except NotReadyError:
                return False
            time.sleep(FLUSH_POLL_S)
        return False

    def claim_key(self, parsed: ParsedServiceCall) -> ClaimVerdict:
        """Claim the call's key and wait until it is settled."""
        call = parsed.call
        key = ClaimKey(call.workspace, call.service, call.idempotency_key or "")
        mailbox: queue.SimpleQueue[Verdict] = queue.SimpleQueue()
        event = ClaimRequested(
            request_id=call.request_id,
            key=key,
            digest=call.digest,
            deadline_s=call.deadline_s,
            first_attempt=parsed.first_attempt,
        )
        self._inbox.put(_Submit(event, mailbox))
        wait_s = max(0.0, call.deadline_s - time.monotonic()) + VERDICT_GRACE_S
        try:
            verdict = mailbox.get(timeout=wait_s)
        except queue.Empty:
            self._inbox.put(_Call(lambda: self._abandon(call.request_id, mailbox)))
            error = ClaimsUnavailableError(key.key)
            verdict = ClaimRefused(call.request_id, error, Outcome.MAY_HAVE_RUN)
        self._observe(verdict, call.workspace)
        return _as_verdict(call.request_id, verdict)

    def _observe(self, verdict: Verdict, workspace: str) -> None:
        """Record who may dispatch a call, and count a refusal."""
        kind, detail = EventKind.CLAIM_LOST, "answered from the recorded result"
        if isinstance(verdict, ClaimWon):
            kind, detail = EventKind.CLAIM_WON, f"claim {verdict.claim_id}"
        elif isinstance(verdict, ClaimRefused):
            self._metrics.count_refusal(verdict.error.code)
            detail = f"{verdict.error.code}, {verdict.outcome.value}"
        self._recorder.record(
            kind, request_id=verdict.request_id, workspace=workspace, detail=detail
        )

    def record_answer(self, claim_id: str, answer: HttpResponse | None) -> None:
        """Record the answer of a won claim; None when surely not sent."""
        result = None if answer is None else _as_result(answer)
        self._inbox.put(CallFinished(claim_id, result))

    def find(self, key: ClaimKey) -> ActiveClaim | None:
        """Return the winning claim of a key as this host knows it."""
        return self.inspect(lambda state: state.fold.winner(key))

    def inspect(self, read: Callable[[ClaimsState], T]) -> T:
        """Return what a function reads; raise NotReadyError without an answer."""
        answers: queue.SimpleQueue[T] = queue.SimpleQueue()
        self._inbox.put(_Call(lambda: answers.put(read(self._state))))
        try:
            return answers.get(timeout=INSPECT_S)
        except queue.Empty as error:
            raise NotReadyError("claims do not answer") from error

    def _abandon(self, request_id: str, mailbox: "queue.SimpleQueue[Verdict]") -> None:
        """Withdraw the claim of a request whose thread has left."""
        self._mailboxes.pop(request_id, None)
        if not mailbox.empty():
            self._withdraw_unused(mailbox.get())

    def _withdraw_unused(self, verdict: Verdict) -> None:
        if isinstance(verdict, ClaimWon):
            self._inbox.put(CallFinished(verdict.claim_id, None))

    def _state_loop(self) -> None:
        while not self._stopping.is_set():
            wake_s = self._state.next_wake_s
            wait_s = None if wake_s is None else max(0.0, wake_s - time.monotonic())
            message: ClaimsEvent | _Submit | _Call
            try:
                message = self._inbox.get(timeout=wait_s)
            except queue.Empty:
                message = ClaimsTick()
            if isinstance(message, _Call):
                message.run()
                continue
            if isinstance(message, _Submit):
                self._mailboxes[message.event.request_id] = message.mailbox
            event = message.event if isinstance(message, _Submit) else message
            for decision in self._state.handle(event, time.monotonic()):
                self._carry_out(decision)

    def _carry_out(self, decision: ClaimDecision) -> None:
        if isinstance(decision, AppendClaims):
            self._appends.put(decision)
            return
        mailbox = self._mailboxes.pop(decision.request_id, None)
        if mailbox is not None:
            mailbox.put(decision)
        else:
            self._withdraw_unused(decision)

    def _append_loop(self) -> None:
        while (batch := self._appends.get()) is not None:
            try:
                self._log.append(CLAIMS_STREAM, batch.records)
            except PlatformUnavailableError as error:
                part_logger("claims").warning("append without answer, {}", error)
                self._inbox.put(ClaimsAppendUncertain(batch.batch_id))
            else:
                self._inbox.put(ClaimsAppended(batch.batch_id))

    def _read_loop(self) -> None:
        follow_stream(
            self._log,
            CLAIMS_STREAM,
            stopping=self._stopping,
            deliver=lambda part, read_s: self._inbox.put(
                ClaimsRead(part.first_offset, part.records, read_s)
            ),
        )


def _as_verdict(request_id: str, verdict: Verdict) -> ClaimVerdict:
    match verdict:
        case ClaimWon(_, claim_id, send_before_s):
            return ClaimVerdict(claim_id=claim_id, send_before_s=send_before_s)
        case ClaimAnswered(_, key, result):
            return ClaimVerdict(response=_as_response(request_id, key, result))
        case ClaimRefused(_, error, outcome):
            return ClaimVerdict(response=error_response(error, outcome, request_id))


def _as_result(answer: HttpResponse) -> CallResult:
    headers = {name.lower(): value for name, value in answer.headers}
    kept = tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() not in LOCAL_HEADERS and name.lower() != "content-length"
    )
    outcome = headers.get(OUTCOME_HEADER.lower(), Outcome.MAY_HAVE_RUN.value)
    return CallResult(
        status=answer.status,
        outcome=Outcome(outcome),
        headers=kept,
        body=b"".join(answer.body),
    )


def _as_response(request_id: str, key: str, result: CallResult) -> HttpResponse:
    if result.body is None:
        error = ResultNotKeptError(key, result.status)
        return error_response(error, result.outcome, request_id)
    own = (
        (OUTCOME_HEADER, result.outcome.value),
        (REQUEST_ID_HEADER, request_id),
        ("Content-Length", str(len(result.body))),
    )
    return HttpResponse(result.status, (*result.headers, *own), (result.body,))
