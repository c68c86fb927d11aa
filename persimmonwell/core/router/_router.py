"""Compose admission, routing and retries into one event-driven router."""

import random
from collections import deque

import attrs

from persimmonwell._exceptions import (
    DeadlineExceededError,
    NoRouteError,
    NotReadyError,
    OverloadedError,
    UpstreamFailedError,
)
from persimmonwell.core._types import (
    Chain,
    ModelRequest,
    Outcome,
    ServiceCall,
    ServiceReplica,
    Upstream,
)
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.router import _events as ev
from persimmonwell.core.router._decisions import (
    CancelAttempt,
    Dispatch,
    DispatchService,
    RecordEvent,
    Refuse,
    RouterDecision,
)
from persimmonwell.core.routing import ChainRouter, NoRoute


@attrs.define
class _Active:
    """Track one admitted model request."""

    request: ModelRequest
    attempt: int = 0
    chain: Chain | None = None
    excluded: frozenset[str] = frozenset()
    may_have_run: bool = False
    tokens: int = 0


@attrs.define
class _ActiveCall:
    """Track one admitted service call."""

    call: ServiceCall
    attempt: int = 0
    excluded: frozenset[str] = frozenset()


class Router:
    """Hold the state of one entry host's routing decisions."""

    def __init__(self, *, host_id: str, availability_zone: str, seed: int) -> None:
        self._host_id = host_id
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._chains = ChainRouter(seed=seed, availability_zone=availability_zone)
        self._upstreams: tuple[Upstream, ...] = ()
        self._now_s = 0.0
        self._config = FleetConfig()
        self._replicas: dict[str, list[ServiceReplica]] = {}
        self._active: dict[str, _Active] = {}
        self._calls: dict[str, _ActiveCall] = {}
        self._waiting: deque[str] = deque()

    @property
    def in_flight(self) -> int:
        """Return the number of requests queued or running."""
        return len(self._active) + len(self._calls)

    def handle(self, event: ev.RouterEvent, now_s: float) -> tuple[RouterDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        self._now_s = now_s
        match event:
            case ev.RequestArrived(request):
                return self._arrived(request, now_s)
            case ev.ServiceCallArrived(call):
                return self._call_arrived(call)
            case ev.RequestCancelled(request_id):
                return self._cancelled(request_id)
            case ev.AttemptFinished(request_id, attempt, _):
                return self._attempt_finished(request_id, attempt)
            case ev.StageFailed():
                return self._stage_failed(event)
            case ev.ServiceCallFinished(request_id, _):
                self._calls.pop(request_id, None)
                return ()
            case ev.ServiceCallFailed():
                return self._call_failed(event)
            case ev.FleetChanged(upstreams, replicas, _):
                self._fleet_changed(upstreams, replicas)
                return self._dispatch_waiting()
            case ev.ConfigChanged(config):
                self._config = config
                self._update_chains()
                return self._dispatch_waiting()
            case ev.Tick():
                return self._expire(now_s)
            case _:
                return ()

    def _arrived(
        self, request: ModelRequest, now_s: float
    ) -> tuple[RouterDecision, ...]:
        if request.model not in self._config.models:
            error = NotReadyError(reason=f"model {request.model!r} not configured")
            return (Refuse(request.request_id, error, Outcome.NOT_RUN),)
        rank = self._config.ranks[request.rank]
        if len(self._waiting) >= rank.queue_entries:
            full = OverloadedError(rank=request.rank.name.lower(), reason="queue full")
            return (Refuse(request.request_id, full, Outcome.NOT_RUN),)
        self._active[request.request_id] = _Active(request)
        self._waiting.append(request.request_id)
        return self._dispatch_waiting()

    def _dispatch_waiting(self) -> tuple[RouterDecision, ...]:
        decisions: list[RouterDecision] = []
        while self._waiting:
            active = self._active[self._waiting[0]]
            dispatch = self._try_dispatch(active)
            if dispatch is None:
                break
            self._waiting.popleft()
            decisions.append(dispatch)
        return tuple(decisions)

    def _try_dispatch(self, active: _Active) -> Dispatch | None:
        request = active.request
        chain = self._chains.choose(request, self._now_s, excluded=active.excluded)
        if isinstance(chain, NoRoute):
            return None
        active.chain = chain
        active.attempt += 1
        tokens = request.max_tokens - active.tokens
        self._chains.started(chain, tokens=tokens, now_s=self._now_s)
        return Dispatch(
            request_id=request.request_id,
            attempt=active.attempt,
            chain=chain,
            resume_index=active.tokens,
            rank=request.rank,
        )

    def _attempt_finished(
        self, request_id: str, attempt: int
    ) -> tuple[RouterDecision, ...]:
        active = self._active.get(request_id)
        if active is None or active.attempt != attempt:
            return ()
        self._release(active)
        del self._active[request_id]
        return self._dispatch_waiting()

    def _stage_failed(self, event: ev.StageFailed) -> tuple[RouterDecision, ...]:
        active = self._active.get(event.request_id)
        if active is None or active.attempt != event.attempt:
            return ()
        self._release(active)
        active.tokens = event.tokens_so_far
        active.may_have_run |= event.failure is not ev.FailureKind.NOT_SENT
        active.excluded |= {event.upstream_id}
        if active.attempt < self._config.retry.max_attempts:
            dispatch = self._try_dispatch(active)
            if dispatch is not None:
                resumed = RecordEvent(
                    kind="resumed",
                    request_id=event.request_id,
                    upstream_id=event.upstream_id,
                )
                return (resumed, dispatch, *self._dispatch_waiting())
        del self._active[event.request_id]
        error = UpstreamFailedError(event.upstream_id, event.failure.value)
        outcome = Outcome.MAY_HAVE_RUN if active.may_have_run else Outcome.NOT_RUN
        refuse = Refuse(event.request_id, error, outcome)
        return (refuse, *self._dispatch_waiting())

    def _release(self, active: _Active) -> None:
        if active.chain is not None:
            self._chains.finished(active.chain, now_s=self._now_s)
            active.chain = None

    def _cancelled(self, request_id: str) -> tuple[RouterDecision, ...]:
        self._calls.pop(request_id, None)
        active = self._active.pop(request_id, None)
        if active is None:
            return ()
        if request_id in self._waiting:
            self._waiting.remove(request_id)
        if active.chain is None:
            return ()
        cancel = CancelAttempt(request_id, active.attempt, active.chain)
        self._release(active)
        return (cancel, *self._dispatch_waiting())

    def _expire(self, now_s: float) -> tuple[RouterDecision, ...]:
        decisions: list[RouterDecision] = []
        for request_id in tuple(self._waiting):
            request = self._active[request_id].request
            if request.deadline_s > now_s:
                continue
            self._waiting.remove(request_id)
            del self._active[request_id]
            error = DeadlineExceededError(deadline_ms=0.0)
            decisions.append(Refuse(request_id, error, Outcome.NOT_RUN))
        return tuple(decisions)

    def _fleet_changed(
        self, upstreams: tuple[Upstream, ...], replicas: tuple[ServiceReplica, ...]
    ) -> None:
        self._upstreams = upstreams
        self._update_chains()
        by_service: dict[str, list[ServiceReplica]] = {}
        for replica in replicas:
            if not replica.leaving:
                by_service.setdefault(replica.service, []).append(replica)
        self._replicas = by_service

    def _update_chains(self) -> None:
        layers = {name: model.layers for name, model in self._config.models.items()}
        links = self._config.links
        self._chains.update_fleet(self._upstreams, links, layers, self._now_s)

    def _call_arrived(self, call: ServiceCall) -> tuple[RouterDecision, ...]:
        active = _ActiveCall(call)
        self._calls[call.request_id] = active
        return (self._dispatch_call(active),)

    def _dispatch_call(self, active: _ActiveCall) -> RouterDecision:
        call = active.call
        candidates = [
            r
            for r in self._replicas.get(call.service, ())
            if r.replica_id not in active.excluded
        ]
        if not candidates:
            self._calls.pop(call.request_id, None)
            error = NoRouteError(target=call.service, reason="no live replica")
            return Refuse(call.request_id, error, Outcome.NOT_RUN)
        active.attempt += 1
        replica = self._random.choice(candidates)
        return DispatchService(call.request_id, active.attempt, replica)

    def _call_failed(self, event: ev.ServiceCallFailed) -> tuple[RouterDecision, ...]:
        active = self._calls.get(event.request_id)
        if active is None or active.attempt != event.attempt:
            return ()
        active.excluded |= {event.replica_id}
        not_sent = event.failure is ev.FailureKind.NOT_SENT
        if not_sent or active.call.repeatable:
            decision = self._dispatch_call(active)
            if isinstance(decision, DispatchService) or not_sent:
                return (decision,)
        self._calls.pop(event.request_id, None)
        error = UpstreamFailedError(event.replica_id, event.failure.value)
        return (Refuse(event.request_id, error, Outcome.MAY_HAVE_RUN),)
