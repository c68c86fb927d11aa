"""Discrete-event simulation of engines that serve the decisions of routers."""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from persimmonwell.core import Chain, ModelRequest, Outcome, Upstream
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.router import (
    AnnounceBlame,
    AttemptFinished,
    BlameReceived,
    CancelAttempt,
    ConfigChanged,
    Dispatch,
    FailureKind,
    FirstToken,
    FleetChanged,
    InflightCount,
    LoadReported,
    PeerInflight,
    Probe,
    ProbeResult,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RouterDecision,
    RouterEvent,
    StageFailed,
    Tick,
    TokensProgressed,
)

TICK_S = 0.05
LOAD_INTERVAL_S = 0.5
LOAD_LAG_S = 0.5
PEER_INTERVAL_S = 0.5
HOP_LATENCY_S = 0.00025
LOSS_DETECTION_DELAY_S = 0.02
"""Time until a broken connection is detected."""
CONNECT_REFUSED_DELAY_S = 0.002
HOST_LIST_LAG_S = 5.0
PREFILL_SPEEDUP = 20.0
"""Prompt tokens that are prefilled in the time of one decoded token."""
MAX_CACHED_BLOCKS = 64
SINGLE_REQUEST_GAP_RATIO = 0.9
"""Inter-token latency of a single request relative to that in a full batch.

Decoding is bound by memory bandwidth, so a larger batch slows each request little.
"""
PROGRESS_INTERVAL_S = 0.5


class RoutingCore(Protocol):
    """Interface of a router core that the driver can simulate."""

    def handle(self, event: RouterEvent, now_s: float) -> tuple[RouterDecision, ...]:
        """Apply one event and return decisions."""
        ...


@attrs.define
class Result:
    """Outcome and times of one request as its caller sees them."""

    request: ModelRequest
    arrived_s: float
    first_token_s: float | None = None
    finished_s: float | None = None
    refused_s: float | None = None
    outcome: Outcome | None = None
    error_code: str = ""
    attempts: int = 0
    longest_pause_s: float = 0.0
    """Longest time without tokens because of a failed attempt, seconds."""

    @property
    def gap_s(self) -> float | None:
        """Mean inter-token latency in seconds, or None if unfinished."""
        if self.finished_s is None or self.first_token_s is None:
            return None
        tokens = max(1, self.request.max_tokens - 1)
        return (self.finished_s - self.first_token_s) / tokens


@attrs.define(eq=False)
class _Attempt:
    request: ModelRequest
    number: int
    rank: int
    host: int
    chain: Chain
    done_tokens: float
    engines: "list[_Engine]" = attrs.field(factory=list)
    links: "list[_Link]" = attrs.field(factory=list)
    held_slots: int = 0
    decoding: bool = False
    reported_tokens: int = 0
    rate: float = 0.0
    accounted_until_s: float = 0.0
    finish_timer: int = 0
    is_finished: bool = False


@attrs.define(eq=False)
class _Engine:
    upstream: Upstream
    slowdown: float = 1.0
    alive: bool = True
    running: dict[int, _Attempt] = attrs.field(factory=dict)
    queue: deque[_Attempt] = attrs.field(factory=deque)
    cached_blocks: OrderedDict[int, None] = attrs.field(factory=OrderedDict)

    def request_rate(self) -> float:
        """Return the decoding rate of each running request, tokens per second."""
        slots = self.upstream.slots
        full_share = self.upstream.tokens_per_s / self.slowdown / slots
        filled = len(self.running) / slots
        return full_share / (
            SINGLE_REQUEST_GAP_RATIO + (1 - SINGLE_REQUEST_GAP_RATIO) * filled
        )


@attrs.define(eq=False)
class _Link:
    """Link between two zones, shared by the attempts whose activations cross it."""

    capacity: float
    latency_s: float
    running: dict[int, _Attempt] = attrs.field(factory=dict)

    def request_rate(self) -> float:
        """Return the share of each running request, tokens per second."""
        return self.capacity / max(1, len(self.running))


class Driver:
    """Simulation of entry hosts, engines and links on a virtual clock."""

    def __init__(
        self,
        *,
        routers: tuple[RoutingCore, ...],
        upstreams: tuple[Upstream, ...],
        config: FleetConfig,
        seed: int,
    ) -> None:
        self.now_s = 0.0
        self.results: dict[str, Result] = {}
        self.token_log: list[tuple[float, float, str]] = []
        self.prefill_log: list[tuple[float, float]] = []
        self.crash_digests: set[str] = set()
        self._routers = routers
        self._random = random.Random(seed)
        self._engines = {u.upstream_id: _Engine(u) for u in upstreams}
        self._links = {
            (link.from_zone, link.to_zone): _Link(link.tokens_per_s, link.latency_s)
            for link in config.links
        }
        self._listed_engines = dict(self._engines)
        self._event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._active: dict[str, _Attempt] = {}
        self._stalled_since: dict[str, float] = {}
        self._host_by_request: dict[str, int] = {}
        for host in range(len(routers)):
            self._deliver(host, ConfigChanged(config))
        self._publish_fleet()
        self._schedule_every(TICK_S, lambda: self._broadcast(Tick()))
        self._schedule_every(LOAD_INTERVAL_S, self._report_load)
        self._schedule_every(PEER_INTERVAL_S, self._exchange_inflight)
        self._schedule_every(PROGRESS_INTERVAL_S, self._report_progress)

    def schedule_at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time."""
        self._sequence += 1
        heapq.heappush(self._event_queue, (time_s, self._sequence, action))

    def run(self, until_s: float) -> None:
        """Run scheduled actions up to a virtual time."""
        while self._event_queue and self._event_queue[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._event_queue)
            action()
        self.now_s = until_s

    def submit(self, request: ModelRequest) -> None:
        """Submit a request to a random entry host now."""
        host = self._random.randrange(len(self._routers))
        self._host_by_request[request.request_id] = host
        self.results[request.request_id] = Result(request, self.now_s)
        self._deliver(host, RequestArrived(request))

    def kill(self, upstream_id: str, *, back_after_s: float | None = None) -> None:
        """Kill an engine; restart it after back_after_s, or unlist it after the lag."""
        engine = self._engines[upstream_id]
        engine.alive = False
        affected_attempts = [*engine.running.values(), *engine.queue]
        engine.running.clear()
        engine.queue.clear()
        engine.cached_blocks.clear()
        for attempt in affected_attempts:
            self._fail(attempt, engine, FailureKind.LOST, LOSS_DETECTION_DELAY_S)
        if back_after_s is not None:
            self.schedule_at(
                self.now_s + back_after_s, lambda: self._restart_engine(engine)
            )
            return
        self.schedule_at(
            self.now_s + HOST_LIST_LAG_S,
            lambda: self._remove_from_host_list(upstream_id),
        )

    def set_slowdown(self, upstream_id: str, factor: float) -> None:
        """Divide an engine's declared speed by a factor."""
        engine = self._engines[upstream_id]
        engine.slowdown = factor
        self._rebalance([engine])

    def _restart_engine(self, engine: _Engine) -> None:
        engine.alive = True

    def _remove_from_host_list(self, upstream_id: str) -> None:
        self._listed_engines.pop(upstream_id, None)
        self._publish_fleet()

    def _publish_fleet(self) -> None:
        upstreams = tuple(engine.upstream for engine in self._listed_engines.values())
        self._broadcast(FleetChanged(upstreams, (), len(self._routers)))

    def _schedule_every(self, interval_s: float, action: Callable[[], None]) -> None:
        def repeat() -> None:
            action()
            self.schedule_at(self.now_s + interval_s, repeat)

        self.schedule_at(self.now_s + interval_s, repeat)

    def _report_load(self) -> None:
        for engine in self._engines.values():
            if engine.alive:
                report = LoadReported(
                    engine.upstream.upstream_id,
                    running=len(engine.running),
                    queued=len(engine.queue),
                    age_s=LOAD_LAG_S,
                )
                self.schedule_at(
                    self.now_s + LOAD_LAG_S, lambda r=report: self._broadcast(r)
                )

    def _exchange_inflight(self) -> None:
        counts: list[dict[str, int]] = [{} for _ in self._routers]
        for attempt in self._active.values():
            for upstream_id in attempt.chain.upstream_ids:
                host_counts = counts[attempt.host]
                host_counts[upstream_id] = host_counts.get(upstream_id, 0) + 1
        for sender, host_counts in enumerate(counts):
            report = PeerInflight(
                f"host-{sender}",
                tuple(InflightCount(u, n) for u, n in sorted(host_counts.items())),
            )
            for receiver in range(len(self._routers)):
                if receiver != sender:
                    self._deliver(receiver, report)

    def _report_progress(self) -> None:
        for attempt in list(self._active.values()):
            if attempt.decoding:
                self._account_tokens(attempt)
                tokens = int(attempt.done_tokens) - attempt.reported_tokens
                attempt.reported_tokens += tokens
                self._deliver(
                    attempt.host,
                    TokensProgressed(
                        attempt.request.request_id, attempt.number, tokens
                    ),
                )

    def _broadcast(self, event: RouterEvent) -> None:
        for host in range(len(self._routers)):
            self._deliver(host, event)

    def _deliver(self, host: int, event: RouterEvent) -> None:
        for decision in self._routers[host].handle(event, self.now_s):
            self._execute(host, decision)

    def _execute(self, host: int, decision: RouterDecision) -> None:
        match decision:
            case Dispatch():
                self.schedule_at(
                    self.now_s + decision.delay_s,
                    lambda: self._start_attempt(host, decision),
                )
            case Refuse(request_id, error, outcome):
                result = self.results[request_id]
                result.refused_s, result.outcome = self.now_s, outcome
                result.error_code = error.code
            case CancelAttempt(request_id, _, _):
                attempt = self._active.get(request_id)
                if attempt is not None:
                    self._release_slots(attempt)
            case Probe(upstream_id, _):
                alive = self._engines[upstream_id].alive
                result_event = ProbeResult(upstream_id, alive, 0.001)
                self.schedule_at(
                    self.now_s + 0.001, lambda: self._deliver(host, result_event)
                )
            case AnnounceBlame(digest, upstream_id):
                for other in range(len(self._routers)):
                    if other != host:
                        announcement = BlameReceived(digest, upstream_id)
                        self.schedule_at(
                            self.now_s + HOP_LATENCY_S,
                            lambda o=other, e=announcement: self._deliver(o, e),
                        )

    def _start_attempt(self, host: int, dispatch: Dispatch) -> None:
        result = self.results[dispatch.request_id]
        if result.refused_s is not None:
            return
        result.attempts += 1
        attempt = _Attempt(
            request=result.request,
            number=dispatch.attempt,
            rank=int(dispatch.rank),
            host=host,
            chain=dispatch.chain,
            done_tokens=float(dispatch.resume_index),
            engines=[
                self._engines[s.upstream_id]
                for s in (*dispatch.chain.prefill_stages, *dispatch.chain.stages)
            ],
        )
        zones = [engine.upstream.availability_zone for engine in attempt.engines]
        for hop in zip(zones, zones[1:], strict=False):
            if hop in self._links:
                attempt.links.append(self._links[hop])
        self._active[dispatch.request_id] = attempt
        self._acquire_slots(attempt)

    def _acquire_slots(self, attempt: _Attempt) -> None:
        """Acquire a slot at each stage in order, queueing where none is free."""
        while attempt.held_slots < len(attempt.engines):
            engine = attempt.engines[attempt.held_slots]
            if not engine.alive:
                kind = (
                    FailureKind.NOT_SENT
                    if attempt.held_slots == 0
                    else FailureKind.LOST
                )
                self._fail(attempt, engine, kind, CONNECT_REFUSED_DELAY_S)
                return
            if len(engine.running) >= engine.upstream.slots:
                engine.queue.append(attempt)
                return
            engine.running[id(attempt)] = attempt
            attempt.held_slots += 1
        self._prefill(attempt)

    def _prefill(self, attempt: _Attempt) -> None:
        request = attempt.request
        if request.digest in self.crash_digests:
            self.kill(attempt.engines[0].upstream.upstream_id, back_after_s=20.0)
            return
        head = attempt.engines[0]
        blocks = request.prefix_blocks
        cached_count = sum(1 for block in blocks if block in head.cached_blocks)
        for block in blocks:
            head.cached_blocks[block] = None
            head.cached_blocks.move_to_end(block)
        while len(head.cached_blocks) > MAX_CACHED_BLOCKS:
            head.cached_blocks.popitem(last=False)
        cached = cached_count / len(blocks) if blocks else 0.0
        tokens = request.prompt_tokens * (1 - cached) + attempt.done_tokens
        for link in attempt.links:
            link.running[id(attempt)] = attempt
        rate = self._bottleneck_rate(attempt) * PREFILL_SPEEDUP
        self.prefill_log.append((self.now_s, tokens / PREFILL_SPEEDUP))
        duration_s = tokens / rate + self._hop_latency_s(attempt)
        self.schedule_at(self.now_s + duration_s, lambda: self._decode(attempt))
        self._rebalance_around(attempt)

    @staticmethod
    def _bottleneck_rate(attempt: _Attempt) -> float:
        return min(part.request_rate() for part in (*attempt.engines, *attempt.links))

    @staticmethod
    def _hop_latency_s(attempt: _Attempt) -> float:
        local_hops = len(attempt.engines) - len(attempt.links)
        return HOP_LATENCY_S * local_hops + sum(
            link.latency_s for link in attempt.links
        )

    def _decode(self, attempt: _Attempt) -> None:
        if attempt.is_finished:
            return
        result = self.results[attempt.request.request_id]
        if result.first_token_s is None:
            result.first_token_s = self.now_s
        stalled_since = self._stalled_since.pop(attempt.request.request_id, None)
        if stalled_since is not None:
            pause_s = self.now_s - stalled_since
            result.longest_pause_s = max(result.longest_pause_s, pause_s)
        attempt.decoding = True
        attempt.reported_tokens = int(attempt.done_tokens)
        attempt.done_tokens += 1
        attempt.accounted_until_s = self.now_s
        self._deliver(
            attempt.host, FirstToken(attempt.request.request_id, attempt.number)
        )
        self._rebalance_around(attempt)

    def _rebalance_around(self, attempt: _Attempt) -> None:
        self._rebalance([*attempt.engines, *attempt.links])

    def _rebalance(self, parts: Sequence[_Engine | _Link]) -> None:
        affected = {id(a): a for part in parts for a in part.running.values()}
        for attempt in affected.values():
            if attempt.decoding and not attempt.is_finished:
                self._account_tokens(attempt)
                self._schedule_finish(attempt)

    def _account_tokens(self, attempt: _Attempt) -> None:
        elapsed_s = self.now_s - attempt.accounted_until_s
        tokens = attempt.rate * elapsed_s
        if tokens:
            rank = attempt.request.rank.name.lower()
            self.token_log.append((self.now_s, tokens, rank))
        attempt.done_tokens = min(
            attempt.done_tokens + tokens, float(attempt.request.max_tokens)
        )
        attempt.accounted_until_s = self.now_s

    def _schedule_finish(self, attempt: _Attempt) -> None:
        token_s = 1.0 / self._bottleneck_rate(attempt) + self._hop_latency_s(attempt)
        attempt.rate = 1.0 / token_s
        attempt.finish_timer += 1
        finish_timer = attempt.finish_timer
        remaining_tokens = attempt.request.max_tokens - attempt.done_tokens
        at_s = self.now_s + max(0.0, remaining_tokens) / attempt.rate

        def finish() -> None:
            if not attempt.is_finished and attempt.finish_timer == finish_timer:
                self._finish(attempt)

        self.schedule_at(at_s, finish)

    def _finish(self, attempt: _Attempt) -> None:
        self._account_tokens(attempt)
        result = self.results[attempt.request.request_id]
        result.finished_s, result.outcome = self.now_s, Outcome.COMPLETE
        self._release_slots(attempt)
        tokens = attempt.request.max_tokens
        self._deliver(
            attempt.host,
            AttemptFinished(attempt.request.request_id, attempt.number, tokens),
        )

    def _release_slots(self, attempt: _Attempt) -> None:
        """Free the attempt's slots and admit queued attempts by rank."""
        attempt.is_finished = True
        if self._active.get(attempt.request.request_id) is attempt:
            del self._active[attempt.request.request_id]
        for link in attempt.links:
            link.running.pop(id(attempt), None)
        for engine in attempt.engines:
            if attempt in engine.queue:
                engine.queue.remove(attempt)
            if engine.running.pop(id(attempt), None) is None:
                continue
            if engine.queue and engine.alive:
                next_attempt = min(engine.queue, key=lambda a: a.rank)
                engine.queue.remove(next_attempt)
                engine.running[id(next_attempt)] = next_attempt
                next_attempt.held_slots += 1
                self.schedule_at(
                    self.now_s, lambda w=next_attempt: self._resume_acquiring(w)
                )
        self._rebalance_around(attempt)

    def _resume_acquiring(self, attempt: _Attempt) -> None:
        if not attempt.is_finished:
            self._acquire_slots(attempt)

    def _fail(
        self, attempt: _Attempt, engine: _Engine, kind: FailureKind, after_s: float
    ) -> None:
        if attempt.is_finished:
            return
        if attempt.decoding:
            self._account_tokens(attempt)
        request_id = attempt.request.request_id
        if self.results[request_id].first_token_s is not None:
            self._stalled_since.setdefault(request_id, self.now_s)
        self._release_slots(attempt)
        event = StageFailed(
            request_id=request_id,
            attempt=attempt.number,
            upstream_id=engine.upstream.upstream_id,
            failure=kind,
            tokens_so_far=int(attempt.done_tokens),
        )
        self.schedule_at(
            self.now_s + after_s, lambda: self._deliver(attempt.host, event)
        )

    def cancel(self, request_id: str) -> None:
        """Cancel a request, as when its caller disconnects."""
        self._deliver(self._host_by_request[request_id], RequestCancelled(request_id))
