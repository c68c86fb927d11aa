"""Compose admission, routing and retries into one event-driven router."""

import random
from collections.abc import Mapping

import attrs

from persimmonwell.core._types import InflightCount, ModelRequest, Rank
from persimmonwell.core.admission import LimitShare
from persimmonwell.core.retry import Blame
from persimmonwell.core.router import _events as ev
from persimmonwell.core.router._active import Active
from persimmonwell.core.router._admit import arrive, bound_waiting
from persimmonwell.core.router._decisions import RouterDecision
from persimmonwell.core.router._dispatch import dispatch_waiting, refuse_uncovered
from persimmonwell.core.router._endings import cancel, end_request, expire
from persimmonwell.core.router._evidence import apply_evidence
from persimmonwell.core.router._failures import call_failed, stage_failed
from persimmonwell.core.router._replicas import ReplicaPool
from persimmonwell.core.router._state import RouterState
from persimmonwell.core.routing import ChainRouter


@attrs.frozen
class QueueLength:
    """Count the waiting requests of one target and rank."""

    target: str
    """"model:NAME" or "service:NAME"."""
    rank: Rank
    waiting: int


class Router:
    """Hold the state of one entry host's routing decisions."""

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
        return len(self._state.table)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for an attempt."""
        return self._state.table.waiting_total

    @property
    def queue_lengths(self) -> tuple[QueueLength, ...]:
        """Return the waiting requests of every target and rank."""
        return tuple(
            QueueLength(lane.target, rank, lane.waiting(rank))
            for lane in self._state.lanes.values()
            for rank in Rank
        )

    @property
    def refusals(self) -> Mapping[str, int]:
        """Return the refusals since the start by error code."""
        return dict(self._state.refusals)

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the quarantined digests."""
        return self._state.quarantine.digests

    @property
    def suspects(self) -> tuple[Blame, ...]:
        """Return the digests suspected of losing upstreams."""
        return self._state.quarantine.suspects

    @property
    def retry_budget(self) -> float:
        """Return the repeats that all workspaces together may make now."""
        return self._state.budget.host_tokens

    @property
    def inflight_counts(self) -> tuple[InflightCount, ...]:
        """Return what this host has in flight at each upstream, largest first."""
        return self._state.chains.inflight()

    def limits_in_force(self, now_s: float) -> tuple[LimitShare, ...]:
        """Return this host's share of each limited workspace's limits."""
        return self._state.limits.limit_shares(now_s)

    def handle(self, event: ev.RouterEvent, now_s: float) -> tuple[RouterDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        state = self._state
        state.decisions = []
        arrival = self._apply(event, now_s)
        expire(state, now_s)
        self._dispatch(now_s)
        if arrival is not None:
            bound_waiting(state, arrival, now_s)
            self._dispatch(now_s)
        return tuple(state.decisions)

    def _dispatch(self, now_s: float) -> None:
        state = self._state
        while state.unsettled:
            targets = sorted(state.unsettled)
            state.unsettled.clear()
            # Without turns, a workspace at its limit would get every slot for the
            # model whose name sorts first.
            state.turn += 1
            first = state.turn % len(targets)
            for target in targets[first:] + targets[:first]:
                lane = state.lanes.get(target)
                if lane is not None:
                    dispatch_waiting(state, lane, now_s)
                    refuse_uncovered(state, lane, now_s)

    def _apply(self, event: ev.RouterEvent, now_s: float) -> Active | None:
        """Apply one event; return the request when it is a new one."""
        state = self._state
        match event:
            case ev.RequestArrived(request):
                return arrive(state, request, now_s)
            case ev.ServiceCallArrived(call):
                return arrive(state, call, now_s)
            case ev.RequestCancelled(request_id):
                active = state.table.get(request_id)
                if active is not None:
                    cancel(state, active, now_s)
            case ev.FirstToken():
                self._first_token(event, now_s)
            case ev.TokensProgressed():
                self._tokens_progressed(event, now_s)
            case ev.AttemptFinished():
                self._attempt_finished(event, now_s)
            case ev.StageFailed():
                stage_failed(state, event, now_s)
            case ev.ServiceCallFinished():
                self._call_finished(event, now_s)
            case ev.ServiceCallFailed():
                call_failed(state, event, now_s)
            case _:
                apply_evidence(state, event, now_s)
        return None

    def _first_token(self, event: ev.FirstToken, now_s: float) -> None:
        state = self._state
        active = state.table.running(event.request_id, event.attempt)
        if active is None or active.chain is None or active.first_token_s is not None:
            return
        active.first_token_s = now_s
        latency_s = max(0.0, now_s - active.sent_s)
        # Less urgent requests may wait inside a busy engine, which is no slowness.
        if isinstance(active.work, ModelRequest) and active.rank is Rank.URGENT:
            state.chains.first_token(
                active.chain,
                latency_s=latency_s,
                prompt_tokens=active.work.prompt_tokens + active.tokens,
                now_s=now_s,
            )
        state.quarantine.record_progress(
            active.request_id, active.work.digest, active.upstream_ids
        )
        if state.quarantine.is_suspect(active.work.digest):
            state.unsettled.add(active.target)
        detail = f"attempt {active.attempt}"
        state.record("first-token", active, detail=detail)

    def _tokens_progressed(self, event: ev.TokensProgressed, now_s: float) -> None:
        active = self._state.table.running(event.request_id, event.attempt)
        if active is not None and active.chain is not None:
            active.generated += event.tokens
            self._state.chains.progressed(
                active.chain, tokens=event.tokens, now_s=now_s
            )

    def _attempt_finished(self, event: ev.AttemptFinished, now_s: float) -> None:
        state = self._state
        active = state.table.running(event.request_id, event.attempt)
        if active is None or not isinstance(active.work, ModelRequest):
            return
        self._take_latencies(active, active.work, event.tokens, now_s)
        for upstream_id in active.upstream_ids:
            state.chains.upstream_succeeded(upstream_id, now_s=now_s)
        end_request(state, active, active.work.prompt_tokens + event.tokens, now_s)
        state.quarantine.record_completed(active.work.digest)
        state.record("finished", active, detail="complete")

    def _take_latencies(
        self, active: Active, request: ModelRequest, tokens: int, now_s: float
    ) -> None:
        if active.chain is None or active.first_token_s is None:
            return
        gaps = tokens - active.tokens - 1
        running_s = max(0.0, now_s - active.first_token_s)
        gap_s = running_s / gaps if gaps > 0 else 0.0
        if gaps > 0:
            self._state.chains.token_gap(active.chain, gap_s=gap_s, now_s=now_s)
            self._state.lanes[active.target].queue.service_times.record_finished(
                first_token_s=max(0.0, active.first_token_s - active.sent_s),
                gap_s=gap_s,
                output_ratio=min(1.0, tokens / max(1, request.max_tokens)),
                now_s=now_s,
            )

    def _call_finished(self, event: ev.ServiceCallFinished, now_s: float) -> None:
        state = self._state
        active = state.table.running(event.request_id, event.attempt)
        if active is None or active.replica is None:
            return
        state.pool.succeeded(active.replica)
        state.lanes[active.target].queue.service_times.record_finished(
            first_token_s=max(0.0, now_s - active.sent_s),
            gap_s=0.0,
            output_ratio=1.0,
            now_s=now_s,
        )
        end_request(state, active, active.entry.cost_tokens, now_s)
        state.record("finished", active, detail="complete")
