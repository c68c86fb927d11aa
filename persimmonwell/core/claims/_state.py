"""Claim keys for the calls of one host and settle repeats of them."""

import heapq

import attrs

from persimmonwell._exceptions import (
    ClaimLostError,
    ClaimsUnavailableError,
    DeadlineExceededError,
    KeyReusedError,
    PersimmonwellError,
)
from persimmonwell.core._types import Outcome
from persimmonwell.core.claims import _events as ev
from persimmonwell.core.claims._append_queue import AppendQueue
from persimmonwell.core.claims._decisions import (
    ClaimAnswered,
    ClaimDecision,
    ClaimRefused,
    ClaimWon,
)
from persimmonwell.core.claims._fold import ClaimFold, KnownClaim
from persimmonwell.core.claims._records import (
    CallResult,
    ClaimKey,
    ClaimRecord,
    Record,
    ReleaseRecord,
    ResultRecord,
    limit_result,
)

CLAIMS_STREAM = "claims"


@attrs.frozen
class ClaimLimits:
    """Hold the times that govern claims, seconds."""

    window_s: float = 0.02
    """Shortest time between two appends of one host."""
    retry_s: float = 0.2
    """Pause after an append without an answer."""
    record_timeout_s: float = 5.0
    """Longest wait until an own claim is recorded and read back."""
    send_limit_s: float = 30.0
    """Longest time from a claim's append to its send; below the log's retention."""


@attrs.define
class _Waiter:
    """Track one request that waits for its key to be settled."""

    request: ev.ClaimRequested
    arrived_s: float
    record_by_s: float
    claim_id: str | None = None


@attrs.define
class _OwnClaim:
    """Track one claim of this host that may still lead to a send."""

    key: ClaimKey
    sent_s: float | None = None
    """Time just before the first append that carried it."""


class ClaimsState:
    """Hold the folded claims and the requests that wait for them."""

    def __init__(
        self, *, host_id: str, incarnation: str, limits: ClaimLimits | None = None
    ) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._limits = limits or ClaimLimits()
        self._fold = ClaimFold()
        self._queue = AppendQueue(
            window_s=self._limits.window_s, retry_s=self._limits.retry_s
        )
        self._waiters: dict[str, _Waiter] = {}
        self._waiting_on: dict[ClaimKey, list[str]] = {}
        self._own: dict[str, _OwnClaim] = {}
        self._releasing: set[str] = set()
        self._results: dict[str, CallResult] = {}
        self._timers: list[tuple[float, str]] = []
        self._touched: list[ClaimKey] = []
        self._reused: set[ClaimKey] = set()
        self._read_s = float("-inf")
        self._claims_made = 0

    @property
    def fold(self) -> ClaimFold:
        """Return the fold of the claims stream."""
        return self._fold

    @property
    def idle(self) -> bool:
        """Return whether every record of this host was appended."""
        return self._queue.idle

    @property
    def next_wake_s(self) -> float | None:
        """Return when a tick has work to do, or None."""
        times = [self._timers[0][0]] if self._timers else []
        if self._queue.due_s is not None:
            times.append(self._queue.due_s)
        return min(times) if times else None

    def handle(self, event: ev.ClaimsEvent, now_s: float) -> tuple[ClaimDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        match event:
            case ev.ClaimRequested():
                self._add_waiter(event, now_s)
            case ev.CallFinished(claim_id, result):
                self._call_finished(claim_id, result)
            case ev.ClaimsRead():
                self._stream_read(event)
            case ev.ClaimsAppended(batch_id):
                for record in self._queue.confirmed(batch_id):
                    if isinstance(record, ResultRecord):
                        self._results.pop(record.claim_id, None)
            case ev.ClaimsAppendUncertain(batch_id):
                self._queue.uncertain(batch_id, now_s)
            case ev.ClaimsTick():
                pass
        decisions = [*self._advance_touched(now_s), *self._expire(now_s)]
        decisions.extend(self._advance_touched(now_s))
        decisions.extend(self._append(now_s))
        return tuple(decisions)

    def _add_waiter(self, request: ev.ClaimRequested, now_s: float) -> None:
        record_by_s = now_s + self._limits.record_timeout_s
        self._waiters[request.request_id] = _Waiter(request, now_s, record_by_s)
        self._waiting_on.setdefault(request.key, []).append(request.request_id)
        self._set_timer(min(record_by_s, request.deadline_s), request.request_id)
        self._touched.append(request.key)

    def _set_timer(self, at_s: float, request_id: str) -> None:
        heapq.heappush(self._timers, (at_s, request_id))

    def _call_finished(self, claim_id: str, result: CallResult | None) -> None:
        if result is None:
            self._withdraw(claim_id)
            return
        own = self._own.pop(claim_id, None)
        if own is None:
            return
        limited = limit_result(result)
        self._results[claim_id] = limited
        self._queue.put(ResultRecord(claim_id, limited))
        self._touched.append(own.key)

    def _withdraw(self, claim_id: str) -> None:
        """Give up a claim that led to no send and never will."""
        own = self._own.pop(claim_id, None)
        if own is None:
            return
        self._touched.append(own.key)
        if own.sent_s is not None:
            self._releasing.add(claim_id)
            self._queue.put(ReleaseRecord(claim_id))

    def _stream_read(self, event: ev.ClaimsRead) -> None:
        self._read_s = max(self._read_s, event.read_s)
        self._touched.extend(self._reused)
        self._reused.clear()
        change = self._fold.read(event.first_offset, event.records)
        self._touched.extend(change.keys)
        if self._releasing:
            self._releasing -= {
                c for c in self._releasing if self._fold.is_withdrawn(c)
            }
        for claim_id in change.relanded:
            # A host that starts behind the first withdrawal does not know it.
            if claim_id.startswith(f"{self._incarnation}-"):
                self._queue.put(ReleaseRecord(claim_id))

    def _advance_touched(self, now_s: float) -> list[ClaimDecision]:
        decisions: list[ClaimDecision] = []
        while self._touched:
            key = self._touched.pop()
            for request_id in tuple(self._waiting_on.get(key, ())):
                waiter = self._waiters[request_id]
                decision = self._advance(waiter, now_s)
                if decision is not None:
                    decisions.append(decision)
        return decisions

    def _winner(self, key: ClaimKey) -> KnownClaim | None:
        """Return the winner, without own claims that are being withdrawn."""
        for claim in self._fold.claims_of(key):
            if claim.claim_id not in self._releasing:
                return claim
        return None

    def _advance(self, waiter: _Waiter, now_s: float) -> ClaimDecision | None:
        """Settle a waiter if its key allows it; else place its claim."""
        request = waiter.request
        winner = self._winner(request.key)
        if winner is None:
            self._place_claim(waiter, now_s)
            return None
        if winner.digest != request.digest:
            return self._refuse_reuse(waiter, now_s)
        result = winner.result or self._results.get(winner.claim_id)
        if result is not None:
            self._end(waiter)
            return ClaimAnswered(request.request_id, request.key.key, result)
        if winner.claim_id == waiter.claim_id:
            return self._win(waiter, winner.claim_id, now_s)
        return None

    def _refuse_reuse(self, waiter: _Waiter, now_s: float) -> ClaimDecision | None:
        """Refuse a body that differs from the winner's.

        A fold that lags behind retention may miss that this body won the key
        later, so only a read sent after the arrival can rule out that it ran.
        """
        request = waiter.request
        current = self._read_s >= waiter.arrived_s
        if not current and now_s < min(waiter.record_by_s, request.deadline_s):
            self._reused.add(request.key)
            return None
        same_body = any(
            claim.digest == request.digest and claim.claim_id != waiter.claim_id
            for claim in self._fold.claims_of(request.key)
        )
        unsure = same_body or not current
        outcome = Outcome.MAY_HAVE_RUN if unsure else Outcome.NOT_RUN
        return self._refuse(waiter, KeyReusedError(request.key.key), outcome)

    def _win(self, waiter: _Waiter, claim_id: str, now_s: float) -> ClaimDecision:
        request, own = waiter.request, self._own[claim_id]
        sent_s = now_s if own.sent_s is None else own.sent_s
        send_before_s = min(request.deadline_s, sent_s + self._limits.send_limit_s)
        if now_s >= send_before_s:
            return self._refuse(waiter, DeadlineExceededError(0.0), Outcome.NOT_RUN)
        waiter.claim_id = None
        self._end(waiter)
        return ClaimWon(request.request_id, claim_id, send_before_s)

    def _place_claim(self, waiter: _Waiter, now_s: float) -> None:
        key = waiter.request.key
        siblings = self._waiting_on[key]
        if any(self._waiters[sibling].claim_id for sibling in siblings):
            return
        self._claims_made += 1
        waiter.claim_id = f"{self._incarnation}-{self._claims_made}"
        waiter.record_by_s = now_s + self._limits.record_timeout_s
        give_up_s = min(waiter.record_by_s, waiter.request.deadline_s)
        self._set_timer(give_up_s, waiter.request.request_id)
        self._own[waiter.claim_id] = _OwnClaim(key)
        self._queue.put(
            ClaimRecord(
                claim_id=waiter.claim_id,
                key=key,
                digest=waiter.request.digest,
                host=self._host_id,
                incarnation=self._incarnation,
            )
        )

    def _end(self, waiter: _Waiter) -> None:
        """Stop tracking a waiter and withdraw its claim, if it has one."""
        request = waiter.request
        if waiter.claim_id is not None:
            self._withdraw(waiter.claim_id)
        del self._waiters[request.request_id]
        siblings = self._waiting_on[request.key]
        siblings.remove(request.request_id)
        if not siblings:
            del self._waiting_on[request.key]
        self._touched.append(request.key)

    def _refuse(
        self, waiter: _Waiter, error: PersimmonwellError, outcome: Outcome
    ) -> ClaimRefused:
        self._end(waiter)
        return ClaimRefused(waiter.request.request_id, error, outcome)

    def _expire(self, now_s: float) -> list[ClaimDecision]:
        decisions: list[ClaimDecision] = []
        while self._timers and self._timers[0][0] <= now_s:
            waiter = self._waiters.get(heapq.heappop(self._timers)[1])
            if waiter is not None:
                decision = self._give_up(waiter, now_s)
                if decision is not None:
                    decisions.append(decision)
        return decisions

    def _give_up(self, waiter: _Waiter, now_s: float) -> ClaimDecision | None:
        """Refuse a waiter whose time is over, with what is known of its key."""
        request = waiter.request
        winner = self._winner(request.key)
        if winner is not None:
            if winner.digest != request.digest:
                return self._refuse_reuse(waiter, now_s)
            if now_s < request.deadline_s:
                self._set_timer(request.deadline_s, request.request_id)
                return None
            error = ClaimLostError(key=request.key.key, holder=winner.host)
            return self._refuse(waiter, error, Outcome.MAY_HAVE_RUN)
        if now_s < min(waiter.record_by_s, request.deadline_s):
            return None
        alone = len(self._waiting_on[request.key]) == 1
        surely_not_run = request.first_attempt and alone
        outcome = Outcome.NOT_RUN if surely_not_run else Outcome.MAY_HAVE_RUN
        return self._refuse(waiter, ClaimsUnavailableError(request.key.key), outcome)

    def _append(self, now_s: float) -> tuple[ClaimDecision, ...]:
        batch = self._queue.take(now_s, self._is_needed)
        if batch is None:
            return ()
        for claim_id in self._queue.taken_claims():
            own = self._own[claim_id]
            if own.sent_s is None:
                own.sent_s = now_s
        return (batch,)

    def _is_needed(self, record: Record) -> bool:
        """Return whether a queued record still has to be appended."""
        match record:
            case ClaimRecord(claim_id):
                return claim_id in self._own and self._fold.claim(claim_id) is None
            case ResultRecord(claim_id):
                known = self._fold.claim(claim_id)
                return known is None or known.result is None
            case ReleaseRecord():
                return True
