"""Claims state of one host: claims keys for calls and answers their repeats."""

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
from persimmonwell.core.claims._fold import ActiveClaim, ClaimFold
from persimmonwell.core.claims._records import (
    CallResult,
    ClaimKey,
    ClaimRecord,
    Record,
    ResultRecord,
    WithdrawalRecord,
    limit_result,
)

CLAIMS_STREAM = "claims"


@attrs.frozen
class ClaimLimits:
    """Time limits of claims, in seconds."""

    window_s: float = 0.02
    """Batching window: shortest time between two appends of one host."""
    retry_delay_s: float = 0.2
    """Delay after an append with an unknown outcome."""
    record_timeout_s: float = 5.0
    """Longest wait until a claim of this host is recorded and read back."""
    send_limit_s: float = 30.0
    """Longest time from the append of a claim to the send of its call.

    Must be below the retention of the log.
    """
    settle_s: float = 2.0
    """Time without a new winner after the log came back from an older copy, in which
    hosts state again what the copy lacks."""


@attrs.define
class _Waiter:
    """Request that waits for the outcome of its key."""

    request: ev.ClaimRequested
    arrived_s: float
    record_by_s: float
    claim_id: str | None = None


@attrs.define
class _OwnClaim:
    """Claim of this host under which a call may still be sent."""

    key: ClaimKey
    append_started_s: float | None = None
    """Time just before the first append that carried the claim."""


class ClaimsState:
    """Claims known from the log, and the requests that wait for them."""

    def __init__(
        self, *, host_id: str, incarnation: str, limits: ClaimLimits | None = None
    ) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._limits = limits or ClaimLimits()
        self._fold = ClaimFold()
        self._queue = AppendQueue(
            window_s=self._limits.window_s, retry_delay_s=self._limits.retry_delay_s
        )
        self._waiters: dict[str, _Waiter] = {}
        self._waiter_ids_by_key: dict[ClaimKey, list[str]] = {}
        self._own_claims: dict[str, _OwnClaim] = {}
        self._withdrawing: set[str] = set()
        self._unappended_results: dict[str, CallResult] = {}
        self._timers: list[tuple[float, str]] = []
        self._keys_to_advance: list[ClaimKey] = []
        self._mismatched_keys: set[ClaimKey] = set()
        self._last_read_s = float("-inf")
        self._claim_count = 0
        self._era: int | None = None
        self._settled_s = float("-inf")
        self._unsettled_keys: set[ClaimKey] = set()

    @property
    def fold(self) -> ClaimFold:
        """Return the view of the claims stream."""
        return self._fold

    @property
    def is_idle(self) -> bool:
        """Return whether all records of this host are appended."""
        return self._queue.is_idle

    @property
    def next_wake_s(self) -> float | None:
        """Return the time at which the next tick is due, or None."""
        times = [self._timers[0][0]] if self._timers else []
        if self._queue.next_batch_s is not None:
            times.append(self._queue.next_batch_s)
        if self._unsettled_keys:
            times.append(self._settled_s)
        return min(times) if times else None

    def handle(self, event: ev.ClaimsEvent, now_s: float) -> tuple[ClaimDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        match event:
            case ev.ClaimRequested():
                self._add_waiter(event, now_s)
            case ev.CallFinished(claim_id, result):
                self._call_finished(claim_id, result)
            case ev.ClaimsRead():
                self._apply_read(event, now_s)
            case ev.ClaimsAppended(batch_id):
                for record in self._queue.confirm_batch(batch_id):
                    if isinstance(record, ResultRecord):
                        self._unappended_results.pop(record.claim_id, None)
            case ev.ClaimsAppendUncertain(batch_id):
                self._queue.requeue_batch(batch_id, now_s)
            case ev.ClaimsTick():
                pass
        if now_s >= self._settled_s:
            self._keys_to_advance.extend(self._unsettled_keys)
            self._unsettled_keys.clear()
        decisions = [*self._advance_waiters(now_s), *self._expire_waiters(now_s)]
        decisions.extend(self._advance_waiters(now_s))
        decisions.extend(self._append_batch(now_s))
        return tuple(decisions)

    def _add_waiter(self, request: ev.ClaimRequested, now_s: float) -> None:
        record_by_s = now_s + self._limits.record_timeout_s
        self._waiters[request.request_id] = _Waiter(request, now_s, record_by_s)
        self._waiter_ids_by_key.setdefault(request.key, []).append(request.request_id)
        self._set_timer(min(record_by_s, request.deadline_s), request.request_id)
        self._keys_to_advance.append(request.key)

    def _set_timer(self, at_s: float, request_id: str) -> None:
        heapq.heappush(self._timers, (at_s, request_id))

    def _call_finished(self, claim_id: str, result: CallResult | None) -> None:
        if result is None:
            self._withdraw(claim_id)
            return
        own_claim = self._own_claims.pop(claim_id, None)
        if own_claim is None:
            return
        limited = limit_result(result)
        self._unappended_results[claim_id] = limited
        self._queue.put(ResultRecord(claim_id, limited))
        self._keys_to_advance.append(own_claim.key)

    def _withdraw(self, claim_id: str) -> None:
        """Withdraw a claim whose call was not sent and never will be."""
        own_claim = self._own_claims.pop(claim_id, None)
        if own_claim is None:
            return
        self._keys_to_advance.append(own_claim.key)
        if own_claim.append_started_s is not None:
            self._withdrawing.add(claim_id)
            self._queue.put(WithdrawalRecord(claim_id))

    def _apply_read(self, event: ev.ClaimsRead, now_s: float) -> None:
        if event.era is not None and event.era != self._era:
            if self._era is not None:
                self._settled_s = now_s + self._limits.settle_s
                self._restate_claims()
            self._era = event.era
        self._last_read_s = max(self._last_read_s, event.read_s)
        self._keys_to_advance.extend(self._mismatched_keys)
        self._mismatched_keys.clear()
        change = self._fold.apply_records(event.first_offset, event.records)
        self._keys_to_advance.extend(change.keys)
        if self._withdrawing:
            self._withdrawing -= {
                c for c in self._withdrawing if self._fold.is_withdrawn(c)
            }
        for claim_id in change.recorded_after_withdrawal:
            # A host that starts reading after the first withdrawal does not see it, so
            # the claim is withdrawn again.
            if claim_id.startswith(f"{self._incarnation}-"):
                self._queue.put(WithdrawalRecord(claim_id))

    def _restate_claims(self) -> None:
        """Append what this host won again, since the copy of the log may lack it."""
        for claim in self._fold.winners_of(self._incarnation):
            self._queue.put(
                ClaimRecord(
                    claim_id=claim.claim_id,
                    key=claim.key,
                    digest=claim.digest,
                    host=claim.host,
                    incarnation=claim.incarnation,
                    is_restated=True,
                )
            )
            if claim.result is not None:
                self._queue.put(
                    ResultRecord(claim.claim_id, claim.result, is_restated=True)
                )

    def _advance_waiters(self, now_s: float) -> list[ClaimDecision]:
        decisions: list[ClaimDecision] = []
        while self._keys_to_advance:
            key = self._keys_to_advance.pop()
            for request_id in tuple(self._waiter_ids_by_key.get(key, ())):
                waiter = self._waiters[request_id]
                decision = self._advance_waiter(waiter, now_s)
                if decision is not None:
                    decisions.append(decision)
        return decisions

    def _winner(self, key: ClaimKey) -> ActiveClaim | None:
        """Return the winning claim, ignoring claims that this host is withdrawing."""
        for claim in self._fold.claims_of(key):
            if claim.claim_id not in self._withdrawing:
                return claim
        return None

    def _advance_waiter(self, waiter: _Waiter, now_s: float) -> ClaimDecision | None:
        """Decide a waiter by the winner of its key; queue a claim if there is none."""
        request = waiter.request
        winner = self._winner(request.key)
        if winner is None:
            self._queue_claim(waiter, now_s)
            return None
        if winner.digest != request.digest:
            return self._refuse_reuse(waiter, now_s)
        result = winner.result or self._unappended_results.get(winner.claim_id)
        if result is not None:
            self._remove_waiter(waiter)
            return ClaimAnswered(request.request_id, request.key.key, result)
        if winner.claim_id == waiter.claim_id:
            if now_s < self._settled_s:
                self._unsettled_keys.add(request.key)
                return None
            return self._grant(waiter, winner.claim_id, now_s)
        return None

    def _refuse_reuse(self, waiter: _Waiter, now_s: float) -> ClaimDecision | None:
        """Refuse a request whose body differs from the winner's.

        Without a recent read, this host may not know that the winner is past
        retention and that a claim with this body has won since. Only a read sent
        after the request arrived can rule out that the call ran.
        """
        request = waiter.request
        read_is_current = self._last_read_s >= waiter.arrived_s
        if not read_is_current and now_s < min(waiter.record_by_s, request.deadline_s):
            self._mismatched_keys.add(request.key)
            return None
        same_body = any(
            claim.digest == request.digest and claim.claim_id != waiter.claim_id
            for claim in self._fold.claims_of(request.key)
        )
        is_settled = now_s >= self._settled_s
        may_have_run = same_body or not read_is_current or not is_settled
        outcome = Outcome.MAY_HAVE_RUN if may_have_run else Outcome.NOT_RUN
        return self._refuse(waiter, KeyReusedError(request.key.key), outcome)

    def _grant(self, waiter: _Waiter, claim_id: str, now_s: float) -> ClaimDecision:
        request, own_claim = waiter.request, self._own_claims[claim_id]
        append_started_s = (
            now_s if own_claim.append_started_s is None else own_claim.append_started_s
        )
        send_before_s = min(
            request.deadline_s, append_started_s + self._limits.send_limit_s
        )
        if now_s >= send_before_s:
            return self._refuse(waiter, DeadlineExceededError(0.0), Outcome.NOT_RUN)
        waiter.claim_id = None
        self._remove_waiter(waiter)
        return ClaimWon(request.request_id, claim_id, send_before_s)

    def _queue_claim(self, waiter: _Waiter, now_s: float) -> None:
        key = waiter.request.key
        waiter_ids = self._waiter_ids_by_key[key]
        if any(self._waiters[waiter_id].claim_id for waiter_id in waiter_ids):
            return
        self._claim_count += 1
        waiter.claim_id = f"{self._incarnation}-{self._claim_count}"
        waiter.record_by_s = now_s + self._limits.record_timeout_s
        expires_s = min(waiter.record_by_s, waiter.request.deadline_s)
        self._set_timer(expires_s, waiter.request.request_id)
        self._own_claims[waiter.claim_id] = _OwnClaim(key)
        self._queue.put(
            ClaimRecord(
                claim_id=waiter.claim_id,
                key=key,
                digest=waiter.request.digest,
                host=self._host_id,
                incarnation=self._incarnation,
            )
        )

    def _remove_waiter(self, waiter: _Waiter) -> None:
        """Remove a waiter and withdraw its claim, if it has one."""
        request = waiter.request
        if waiter.claim_id is not None:
            self._withdraw(waiter.claim_id)
        del self._waiters[request.request_id]
        waiter_ids = self._waiter_ids_by_key[request.key]
        waiter_ids.remove(request.request_id)
        if not waiter_ids:
            del self._waiter_ids_by_key[request.key]
        self._keys_to_advance.append(request.key)

    def _refuse(
        self, waiter: _Waiter, error: PersimmonwellError, outcome: Outcome
    ) -> ClaimRefused:
        self._remove_waiter(waiter)
        return ClaimRefused(waiter.request.request_id, error, outcome)

    def _expire_waiters(self, now_s: float) -> list[ClaimDecision]:
        decisions: list[ClaimDecision] = []
        while self._timers and self._timers[0][0] <= now_s:
            waiter = self._waiters.get(heapq.heappop(self._timers)[1])
            if waiter is not None:
                decision = self._time_out(waiter, now_s)
                if decision is not None:
                    decisions.append(decision)
        return decisions

    def _time_out(self, waiter: _Waiter, now_s: float) -> ClaimDecision | None:
        """Refuse a waiter that timed out, with the outcome that its key allows."""
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
        is_only_waiter = len(self._waiter_ids_by_key[request.key]) == 1
        certainly_not_run = request.first_attempt and is_only_waiter
        outcome = Outcome.NOT_RUN if certainly_not_run else Outcome.MAY_HAVE_RUN
        return self._refuse(waiter, ClaimsUnavailableError(request.key.key), outcome)

    def _append_batch(self, now_s: float) -> tuple[ClaimDecision, ...]:
        batch = self._queue.take_batch(now_s, self._is_needed)
        if batch is None:
            return ()
        for claim_id in self._queue.in_flight_claim_ids():
            own_claim = self._own_claims.get(claim_id)
            if own_claim is not None and own_claim.append_started_s is None:
                own_claim.append_started_s = now_s
        return (batch,)

    def _is_needed(self, record: Record) -> bool:
        """Return whether a queued record still has to be appended."""
        match record:
            case ClaimRecord(is_restated=True) | ResultRecord(is_restated=True):
                return self._fold.claim(record.claim_id) is not None
            case ClaimRecord(claim_id):
                return (
                    claim_id in self._own_claims and self._fold.claim(claim_id) is None
                )
            case ResultRecord(claim_id):
                claim = self._fold.claim(claim_id)
                return claim is None or claim.result is None
            case WithdrawalRecord():
                return True
