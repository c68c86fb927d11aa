"""Coordinator of idempotency-key claims: runs the claims state in its own thread."""

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
"""Extra wait after a call's deadline, in which the state refuses the claim itself."""
INSPECT_TIMEOUT_S = 2.0
"""Timeout of a read of the claims state."""
MIN_SETTLE_S = 2.0
"""Time in which hosts notice that the log came back from a copy, and read what the
others write again; their append windows come on top."""
FLUSH_POLL_INTERVAL_S = 0.01
FLUSH_TIMEOUT_S = 5.0
"""Longest wait at shutdown until results and withdrawals are appended."""
UNSTORED_HEADERS = frozenset({OUTCOME_HEADER.lower(), REQUEST_ID_HEADER.lower()})
"""Headers not stored with a result, because each answer gets its own values."""

T = TypeVar("T")
Verdict = ClaimWon | ClaimAnswered | ClaimRefused


@attrs.frozen
class _SubmitClaim:
    event: ClaimRequested
    mailbox: "queue.SimpleQueue[Verdict]"


@attrs.frozen
class _StateTask:
    run: Callable[[], None]


def claim_limits(settings: PlatformSettings, expected_hosts: int) -> ClaimLimits:
    """Return the limits of the claims state from the settings.

    The append window grows with the number of hosts, so that all of them together
    stay within the number of appends per second that the log accepts.
    """
    min_window_s = expected_hosts / settings.claim_appends_per_s
    window_s = max(settings.claim_window_s, min_window_s)
    return ClaimLimits(
        window_s=window_s,
        record_timeout_s=settings.claim_timeout_s,
        send_limit_s=settings.claim_send_limit_s,
        settle_s=2 * window_s + MIN_SETTLE_S,
    )


class ClaimCoordinator:
    """Claims component of one host: state, log reader and log appender threads."""

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
        self._inbox: queue.SimpleQueue[ClaimsEvent | _SubmitClaim | _StateTask] = (
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
        """Start reading the claims stream and serving claims."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Append pending records for up to FLUSH_TIMEOUT_S, then stop."""
        if not self._flush():
            part_logger("claims").warning(
                "stopped with records that were not appended to the claims stream"
            )
        self._stopping.set()
        self._appends.put(None)
        self._inbox.put(ClaimsTick())
        for thread in self._threads:
            thread.join()

    def _flush(self) -> bool:
        flush_deadline_s = time.monotonic() + FLUSH_TIMEOUT_S
        while time.monotonic() < flush_deadline_s:
            try:
                if self.inspect(lambda state: state.is_idle):
                    return True
            except NotReadyError:
                return False
            time.sleep(FLUSH_POLL_INTERVAL_S)
        return False

    def claim_key(self, parsed: ParsedServiceCall) -> ClaimVerdict:
        """Claim the call's idempotency key and wait for the verdict.

        Without a verdict in time, the call is refused as one that may have run.
        """
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
        self._inbox.put(_SubmitClaim(event, mailbox))
        wait_s = max(0.0, call.deadline_s - time.monotonic()) + VERDICT_GRACE_S
        try:
            verdict = mailbox.get(timeout=wait_s)
        except queue.Empty:
            self._inbox.put(
                _StateTask(lambda: self._abandon_request(call.request_id, mailbox))
            )
            error = ClaimsUnavailableError(key.key)
            verdict = ClaimRefused(call.request_id, error, Outcome.MAY_HAVE_RUN)
        self._record_verdict(verdict, call.workspace)
        return _to_claim_verdict(call.request_id, verdict)

    def _record_verdict(self, verdict: Verdict, workspace: str) -> None:
        """Record the verdict in the timeline, and count a refusal."""
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
        """Record the answer to a claimed call, or None if the call was not sent."""
        result = None if answer is None else _to_call_result(answer)
        self._inbox.put(CallFinished(claim_id, result))

    def find_claim(self, key: ClaimKey) -> ActiveClaim | None:
        """Return the winning claim on a key known to this host, or None."""
        return self.inspect(lambda state: state.fold.winner(key))

    def inspect(self, read: Callable[[ClaimsState], T]) -> T:
        """Return what a function reads from the claims state.

        Raise NotReadyError after INSPECT_TIMEOUT_S without an answer.
        """
        answers: queue.SimpleQueue[T] = queue.SimpleQueue()
        self._inbox.put(_StateTask(lambda: answers.put(read(self._state))))
        try:
            return answers.get(timeout=INSPECT_TIMEOUT_S)
        except queue.Empty as error:
            raise NotReadyError("the claims state did not answer in time") from error

    def _abandon_request(
        self, request_id: str, mailbox: "queue.SimpleQueue[Verdict]"
    ) -> None:
        """Withdraw the claim of a request whose thread has stopped waiting for it."""
        self._mailboxes.pop(request_id, None)
        if not mailbox.empty():
            self._withdraw_unused_claim(mailbox.get())

    def _withdraw_unused_claim(self, verdict: Verdict) -> None:
        if isinstance(verdict, ClaimWon):
            self._inbox.put(CallFinished(verdict.claim_id, None))

    def _state_loop(self) -> None:
        while not self._stopping.is_set():
            wake_s = self._state.next_wake_s
            wait_s = None if wake_s is None else max(0.0, wake_s - time.monotonic())
            message: ClaimsEvent | _SubmitClaim | _StateTask
            try:
                message = self._inbox.get(timeout=wait_s)
            except queue.Empty:
                message = ClaimsTick()
            if isinstance(message, _StateTask):
                message.run()
                continue
            if isinstance(message, _SubmitClaim):
                self._mailboxes[message.event.request_id] = message.mailbox
            event = message.event if isinstance(message, _SubmitClaim) else message
            for decision in self._state.handle(event, time.monotonic()):
                self._execute_decision(decision)

    def _execute_decision(self, decision: ClaimDecision) -> None:
        if isinstance(decision, AppendClaims):
            self._appends.put(decision)
            return
        mailbox = self._mailboxes.pop(decision.request_id, None)
        if mailbox is not None:
            mailbox.put(decision)
        else:
            self._withdraw_unused_claim(decision)

    def _append_loop(self) -> None:
        while (batch := self._appends.get()) is not None:
            try:
                self._log.append(CLAIMS_STREAM, batch.records)
            except PlatformUnavailableError as error:
                part_logger("claims").warning(
                    "append to the claims stream got no answer, {}", error
                )
                self._inbox.put(ClaimsAppendUncertain(batch.batch_id))
            else:
                self._inbox.put(ClaimsAppended(batch.batch_id))

    def _read_loop(self) -> None:
        follow_stream(
            self._log,
            CLAIMS_STREAM,
            stopping=self._stopping,
            deliver=lambda stream_slice, read_s: self._inbox.put(
                ClaimsRead(
                    stream_slice.first_offset,
                    stream_slice.records,
                    read_s,
                    stream_slice.era,
                )
            ),
        )


def _to_claim_verdict(request_id: str, verdict: Verdict) -> ClaimVerdict:
    match verdict:
        case ClaimWon(_, claim_id, send_before_s):
            return ClaimVerdict(claim_id=claim_id, send_before_s=send_before_s)
        case ClaimAnswered(_, key, result):
            return ClaimVerdict(response=_to_response(request_id, key, result))
        case ClaimRefused(_, error, outcome):
            return ClaimVerdict(response=error_response(error, outcome, request_id))


def _to_call_result(answer: HttpResponse) -> CallResult:
    headers = {name.lower(): value for name, value in answer.headers}
    stored_headers = tuple(
        (name, value)
        for name, value in answer.headers
        if name.lower() not in UNSTORED_HEADERS and name.lower() != "content-length"
    )
    outcome = headers.get(OUTCOME_HEADER.lower(), Outcome.MAY_HAVE_RUN.value)
    return CallResult(
        status=answer.status,
        outcome=Outcome(outcome),
        headers=stored_headers,
        body=b"".join(answer.body),
    )


def _to_response(request_id: str, key: str, result: CallResult) -> HttpResponse:
    if result.body is None:
        error = ResultNotKeptError(key, result.status)
        return error_response(error, result.outcome, request_id)
    own_headers = (
        (OUTCOME_HEADER, result.outcome.value),
        (REQUEST_ID_HEADER, request_id),
        ("Content-Length", str(len(result.body))),
    )
    return HttpResponse(result.status, (*result.headers, *own_headers), (result.body,))
