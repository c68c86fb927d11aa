"""Router of one entry host: applies events and returns decisions."""

import random
from collections.abc import Mapping

import attrs

from persimmonwell.core._types import InflightCount, ModelRequest, Rank
from persimmonwell.core.admission import LimitShare
from persimmonwell.core.retry import Blame
from persimmonwell.core.router import _events as ev
from persimmonwell.core.router._active import ActiveRequest
from persimmonwell.core.router._admit import admit_request, enforce_waiting_limit
from persimmonwell.core.router._decisions import RouterDecision
from persimmonwell.core.router._dispatch import dispatch_waiting, refuse_uncovered
from persimmonwell.core.router._endings import (
    cancel_request,
    end_request,
    refuse_expired,
)
from persimmonwell.core.router._failures import (
    handle_call_failure,
    handle_stage_failure,
)
from persimmonwell.core.router._fleet_events import apply_fleet_event
from persimmonwell.core.router._replicas import ReplicaPool
from persimmonwell.core.router._state import RouterState
from persimmonwell.core.routing import ChainRouter


@attrs.frozen
class QueueLength:
    """Number of waiting requests of one target and rank."""

    target: str
    """"model:NAME" or "service:NAME"."""
    rank: Rank
    waiting: int


class Router:
    """Event-driven router of one entry host.

    Combines admission, chain choice, retries and quarantine. It does no I/O: the
    caller feeds events to handle() and carries out the decisions it returns.
    """

    def __init__(
        self,
        *,
        host_id: str,
        availability_zone: str,
        seed: int,
        expected_hosts: int = 1,
    ) -> None:
        self._host_id = host_id
        self._state = RouterState(
            chains=ChainRouter(seed=seed, availability_zone=availability_zone),
            pool=ReplicaPool(availability_zone=availability_zone, seed=seed),
            random=random.Random(seed),
            expected_hosts=expected_hosts,
        )

    @property
    def host_id(self) -> str:
        """Return the id of this entry host."""
        return self._host_id

    @property
    def in_flight(self) -> int:
        """Return the number of requests queued or running."""
        return len(self._state.active_requests)

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait for an attempt."""
        return self._state.active_requests.waiting_count

    @property
    def queue_lengths(self) -> tuple[QueueLength, ...]:
        """Return the queue length of every target and rank."""
        return tuple(
            QueueLength(target_state.target, rank, target_state.count_waiting(rank))
            for target_state in self._state.target_states.values()
            for rank in Rank
        )

    @property
    def refusals(self) -> Mapping[str, int]:
        """Return the number of refusals since start-up by error code."""
        return dict(self._state.refusals)

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the quarantined digests."""
        return self._state.quarantine.digests

    @property
    def suspects(self) -> tuple[Blame, ...]:
        """Return the digests suspected of crashing upstreams."""
        return self._state.quarantine.suspects

    @property
    def retry_budget(self) -> float:
        """Return how many retries all workspaces together may make now."""
        return self._state.budget.host_tokens

    @property
    def inflight_counts(self) -> tuple[InflightCount, ...]:
        """Return this host's requests in flight by upstream, largest count first."""
        return self._state.chains.inflight_counts()

    def limits_in_force(self, now_s: float) -> tuple[LimitShare, ...]:
        """Return this host's share of the limits of each limited workspace."""
        return self._state.limits.limit_shares(now_s)

    def handle(self, event: ev.RouterEvent, now_s: float) -> tuple[RouterDecision, ...]:
        """Apply one event and return the resulting decisions in order."""
        state = self._state
        state.decisions = []
        arrival = self._apply_event(event, now_s)
        refuse_expired(state, now_s)
        self._dispatch(now_s)
        if arrival is not None:
            enforce_waiting_limit(state, arrival, now_s)
            self._dispatch(now_s)
        return tuple(state.decisions)

    def _dispatch(self, now_s: float) -> None:
        state = self._state
        while state.dirty_targets:
            targets = sorted(state.dirty_targets)
            state.dirty_targets.clear()
            # The first target rotates. In a fixed order, a workspace at its limit
            # would get every slot for the model whose name sorts first.
            state.rotation += 1
            first = state.rotation % len(targets)
            for target in targets[first:] + targets[:first]:
                target_state = state.target_states.get(target)
                if target_state is not None:
                    dispatch_waiting(state, target_state, now_s)
                    refuse_uncovered(state, target_state, now_s)

    def _apply_event(self, event: ev.RouterEvent, now_s: float) -> ActiveRequest | None:
        """Apply one event; return the request if the event admitted one."""
        state = self._state
        match event:
            case ev.RequestArrived(request):
                return admit_request(state, request, now_s)
            case ev.ServiceCallArrived(call):
                return admit_request(state, call, now_s)
            case ev.RequestCancelled(request_id):
                active = state.active_requests.get(request_id)
                if active is not None:
                    cancel_request(state, active, now_s)
            case ev.FirstToken():
                self._on_first_token(event, now_s)
            case ev.TokensProgressed():
                self._on_tokens_progressed(event, now_s)
            case ev.AttemptFinished():
                self._on_attempt_finished(event, now_s)
            case ev.StageFailed():
                handle_stage_failure(state, event, now_s)
            case ev.ServiceCallFinished():
                self._on_call_finished(event, now_s)
            case ev.ServiceCallFailed():
                handle_call_failure(state, event, now_s)
            case _:
                apply_fleet_event(state, event, now_s)
        return None

    def _on_first_token(self, event: ev.FirstToken, now_s: float) -> None:
        state = self._state
        active = state.active_requests.get_running(event.request_id, event.attempt)
        if active is None or active.chain is None or active.first_token_s is not None:
            return
        active.first_token_s = now_s
        latency_s = max(0.0, now_s - active.sent_s)
        # Requests of lower ranks may queue inside a busy engine, so their latency
        # does not show whether the upstream is slow.
        if isinstance(active.work, ModelRequest) and active.rank is Rank.URGENT:
            state.chains.record_first_token(
                active.chain,
                latency_s=latency_s,
                prompt_tokens=active.work.prompt_tokens + active.accepted_tokens,
                now_s=now_s,
            )
        state.quarantine.record_progress(
            active.request_id, active.work.digest, active.upstream_ids
        )
        if state.quarantine.is_suspect(active.work.digest):
            state.dirty_targets.add(active.target)
        detail = f"attempt {active.attempt}"
        state.record("first-token", active, detail=detail)

    def _on_tokens_progressed(self, event: ev.TokensProgressed, now_s: float) -> None:
        active = self._state.active_requests.get_running(
            event.request_id, event.attempt
        )
        if active is not None and active.chain is not None:
            active.generated_tokens += event.tokens
            self._state.chains.record_progress(
                active.chain, tokens=event.tokens, now_s=now_s
            )

    def _on_attempt_finished(self, event: ev.AttemptFinished, now_s: float) -> None:
        state = self._state
        active = state.active_requests.get_running(event.request_id, event.attempt)
        if active is None or not isinstance(active.work, ModelRequest):
            return
        self._record_latencies(active, active.work, event.tokens, now_s)
        for upstream_id in active.upstream_ids:
            state.chains.record_upstream_success(upstream_id, now_s=now_s)
        end_request(state, active, active.work.prompt_tokens + event.tokens, now_s)
        state.quarantine.record_completed(active.work.digest)
        state.record("finished", active, detail="complete")

    def _record_latencies(
        self, active: ActiveRequest, request: ModelRequest, tokens: int, now_s: float
    ) -> None:
        if active.chain is None or active.first_token_s is None:
            return
        gaps = tokens - active.accepted_tokens - 1
        running_s = max(0.0, now_s - active.first_token_s)
        gap_s = running_s / gaps if gaps > 0 else 0.0
        if gaps > 0:
            self._state.chains.record_token_gap(active.chain, gap_s=gap_s, now_s=now_s)
            self._state.target_states[
                active.target
            ].queue.service_times.record_finished(
                first_token_s=max(0.0, active.first_token_s - active.sent_s),
                gap_s=gap_s,
                output_ratio=min(1.0, tokens / max(1, request.max_tokens)),
                now_s=now_s,
            )

    def _on_call_finished(self, event: ev.ServiceCallFinished, now_s: float) -> None:
        state = self._state
        active = state.active_requests.get_running(event.request_id, event.attempt)
        if active is None or active.replica is None:
            return
        state.pool.record_success(active.replica)
        state.target_states[active.target].queue.service_times.record_finished(
            first_token_s=max(0.0, now_s - active.sent_s),
            gap_s=0.0,
            output_ratio=1.0,
            now_s=now_s,
        )
        end_request(state, active, active.entry.cost_tokens, now_s)
        state.record("finished", active, detail="complete")
