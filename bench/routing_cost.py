"""Chain choice: throughput relative to the bound, CPU time and memory.

Run with: python -m bench.routing_cost [--seed N]
"""

import argparse
import heapq
import random
import time
import tracemalloc
from collections import defaultdict, deque
from collections.abc import Iterator
from statistics import median

import attrs

from persimmonwell.core import (
    Chain,
    InflightCount,
    LayerRange,
    LinkCapacity,
    ModelRequest,
    Rank,
    Upstream,
)
from persimmonwell.core.routing import (
    ChainRouter,
    NoRoute,
    PrefixIndex,
    achievable_bound,
)

LAYERS = 64
SPEEDS = (600.0, 1000.0, 1000.0, 2400.0)
TICK_S = 0.05
REPORT_DELAY_S = 0.5
HOST_START_INTERVAL_S = 1.5
"""Interval between host starts. Until the first load reports and peer counts arrive,
a host assumes that it is the only one."""
CHOICE_COUNT = 4000
PROGRESS_TOKENS = 8
"""Tokens between two progress reports of one request."""


def make_upstreams(
    count: int, *, zones: int, models: int, seed: int, overlaps: bool = False
) -> tuple[Upstream, ...]:
    """Return upstreams that each hold a quarter or, with overlaps, half the layers."""
    rng = random.Random(seed)
    upstreams = []
    for number in range(count):
        parts = 2 if overlaps and rng.random() < 0.3 else 4
        size = LAYERS // parts
        start = (number // models) % parts * size
        speed = rng.choice(SPEEDS)
        upstreams.append(
            Upstream(
                upstream_id=f"u{number}",
                address=f"10.0.0.1:{number + 1}",
                availability_zone=f"z{rng.randrange(zones)}",
                model=f"m{number % models}",
                layers=LayerRange(start, start + size),
                tokens_per_s=speed,
                slots=max(8, round(16 * speed / 1000)),
            )
        )
    return tuple(upstreams)


def make_links(zones: int, tokens_per_s: float) -> tuple[LinkCapacity, ...]:
    """Return links between all zones; a few have 1 % of the given capacity."""
    return tuple(
        LinkCapacity(
            f"z{a}", f"z{b}", tokens_per_s / (100 if a + b == 3 else 1), 0.0003
        )
        for a in range(zones)
        for b in range(a + 1, zones)
    )


def make_request(number: int, rng: random.Random, model: str = "m0") -> ModelRequest:
    """Return a request of 8 to 160 tokens in one of 40 prefix families."""
    family = rng.randrange(40)
    return ModelRequest(
        request_id=str(number),
        workspace="w",
        rank=Rank.NORMAL,
        model=model,
        digest=str(number),
        prompt_tokens=rng.randrange(16, 800),
        max_tokens=rng.randrange(8, 160),
        deadline_s=1e9,
        prefix_blocks=tuple(family * 100 + block for block in range(16)),
    )


@attrs.define(eq=False)
class _RunningRequest:
    host: int
    chain: Chain
    remaining_tokens: int
    started_s: float
    tokens: int
    prompt_tokens: int
    first_s: float | None = None
    stage: int = 0
    on_link: bool = False


class SaturationSimulation:
    """Queueing simulation of hosts that keep every slot busy.

    Each token visits the stages of its chain in turn. Stages and links are queues that
    serve one token at a time at their rate; a link then adds its latency.
    """

    def __init__(
        self,
        upstreams: tuple[Upstream, ...],
        zone_links: tuple[LinkCapacity, ...],
        *,
        hosts: int,
        seed: int,
    ) -> None:
        self._upstreams = {u.upstream_id: u for u in upstreams}
        self._rng = random.Random(seed)
        zones = sorted({u.availability_zone for u in upstreams})
        self._links = {
            pair: link
            for link in zone_links
            for pair in (
                (link.from_zone, link.to_zone),
                (link.to_zone, link.from_zone),
            )
        }
        self._routers = [
            ChainRouter(seed=seed + n, availability_zone=zones[n % len(zones)])
            for n in range(hosts)
        ]
        for router in self._routers:
            router.update_fleet(upstreams, zone_links, {"m0": LAYERS}, 0.0)
        self._busy_until: dict[object, float] = defaultdict(float)
        self._events: list[tuple[float, int, _RunningRequest]] = []
        self._running: dict[str, int] = defaultdict(int)
        self._number = 0
        self._reports: deque[tuple[float, dict[str, int]]] = deque()
        self.slowdown: dict[str, float] = {}
        """Factor by which an upstream is slower than declared, by upstream id."""
        self.slow_from_s = 0.0
        self.zone_crossings: dict[tuple[str, str], int] = defaultdict(int)

    def run(self, duration_s: float, *, warmup_s: float) -> float:
        """Run the simulation; return the tokens per second after the warm-up."""
        tokens = 0
        next_tick_s = 0.0
        self._start_requests(0.0)
        while self._events:
            now_s, _, running = heapq.heappop(self._events)
            if now_s > duration_s:
                break
            if now_s >= next_tick_s:
                next_tick_s = now_s + TICK_S
                self._tick(now_s)
            tokens += self._advance(running, now_s) and now_s > warmup_s
        return tokens / (duration_s - warmup_s)

    def _tick(self, now_s: float) -> None:
        for router in self._routers:
            router.probes_due(now_s)
        self._reports.append((now_s, dict(self._running)))
        while self._reports[0][0] < now_s - REPORT_DELAY_S:
            reported_s, counts = self._reports.popleft()
            if int(reported_s / TICK_S) % 10 == 0:
                self._deliver(counts, now_s - reported_s, now_s)
        self._start_requests(now_s)

    def _deliver(self, counts: dict[str, int], age_s: float, now_s: float) -> None:
        for router in self._routers:
            for upstream_id in self._upstreams:
                slots = self._upstreams[upstream_id].slots
                total = counts.get(upstream_id, 0)
                router.apply_load_report(
                    upstream_id,
                    running=min(total, slots),
                    queued=max(0, total - slots),
                    age_s=age_s,
                    now_s=now_s,
                )
            for number, peer in enumerate(self._routers):
                if peer is not router:
                    reported_counts: tuple[InflightCount, ...] = peer.inflight_counts()[
                        :16
                    ]
                    router.apply_peer_inflight(
                        f"h{number}", reported_counts, now_s=now_s
                    )

    def _start_requests(self, now_s: float) -> None:
        host_order = list(range(len(self._routers)))
        self._rng.shuffle(host_order)
        for host in host_order:
            if now_s >= host * HOST_START_INTERVAL_S:
                while self._start_request(host, now_s):
                    pass

    def _start_request(self, host: int, now_s: float) -> bool:
        router = self._routers[host]
        self._number += 1
        request = make_request(self._number, self._rng)
        chain = router.choose(request, now_s)
        if isinstance(chain, NoRoute):
            return False
        router.record_start(chain, tokens=request.max_tokens, now_s=now_s)
        for stage in chain.stages:
            self._running[stage.upstream_id] += 1
        tokens = request.max_tokens
        running = _RunningRequest(
            host, chain, tokens, now_s, tokens, request.prompt_tokens
        )
        self._serve_token(running, now_s)
        return True

    def _serve_token(self, running: _RunningRequest, now_s: float) -> None:
        upstream = self._upstreams[running.chain.stages[running.stage].upstream_id]
        slow = now_s >= self.slow_from_s
        slowdown = self.slowdown.get(upstream.upstream_id, 1.0) if slow else 1.0
        rate = upstream.tokens_per_s / slowdown
        done_s = self._enqueue(upstream.upstream_id, rate, now_s)
        self._schedule(done_s, running)

    def _schedule(self, time_s: float, running: _RunningRequest) -> None:
        self._number += 1
        heapq.heappush(self._events, (time_s, self._number, running))

    def _enqueue(self, server: object, rate: float, now_s: float) -> float:
        done_s = max(now_s, self._busy_until[server]) + 1.0 / rate
        self._busy_until[server] = done_s
        return done_s

    def _advance(self, running: _RunningRequest, now_s: float) -> bool:
        """Move a token to its next link or stage; return whether it is finished."""
        if running.on_link:
            running.on_link = False
            self._serve_token(running, now_s)
            return False
        stages = running.chain.stages
        if running.stage + 1 < len(stages):
            from_zone, to_zone = (
                self._upstreams[s.upstream_id].availability_zone
                for s in stages[running.stage : running.stage + 2]
            )
            running.stage += 1
            link = self._links.get((from_zone, to_zone))
            self.zone_crossings[from_zone, to_zone] += 1
            if link is not None and from_zone != to_zone:
                pair = (from_zone, to_zone)
                sent_s = self._enqueue(pair, link.tokens_per_s, now_s)
                running.on_link = True
                self._schedule(sent_s + link.latency_s, running)
                return False
            self._serve_token(running, now_s)
            return False
        running.remaining_tokens -= 1
        running.stage = 0
        if running.first_s is None:
            running.first_s = now_s
            latency_s = now_s - running.started_s
            router = self._routers[running.host]
            router.record_first_token(
                running.chain,
                latency_s=latency_s,
                prompt_tokens=running.prompt_tokens,
                now_s=now_s,
            )
        if running.remaining_tokens:
            if running.remaining_tokens % PROGRESS_TOKENS == 0:
                router = self._routers[running.host]
                router.record_progress(
                    running.chain, tokens=PROGRESS_TOKENS, now_s=now_s
                )
            self._serve_token(running, now_s)
        else:
            self._finish(running, now_s)
        return True

    def _finish(self, running: _RunningRequest, now_s: float) -> None:
        router = self._routers[running.host]
        gap_s = (now_s - (running.first_s or now_s)) / (running.tokens - 1)
        router.record_token_gap(running.chain, gap_s=gap_s, now_s=now_s)
        router.record_finish(running.chain, now_s=now_s)
        for stage in running.chain.stages:
            self._running[stage.upstream_id] -= 1
            router.record_upstream_success(stage.upstream_id, now_s=now_s)
        for host in (running.host, *range(len(self._routers))):
            if now_s >= host * HOST_START_INTERVAL_S:
                self._start_request(host, now_s)


def saturation_cases(seed: int) -> Iterator[tuple[str, float, float]]:
    """Yield the name of each case with achieved and achievable tokens per second."""
    links = make_links(3, 20_000.0)
    for name, overlaps, zone_links, hosts in (
        ("40 upstreams, one host", False, (), 1),
        ("40 upstreams, four hosts", False, (), 4),
        ("40 upstreams, four hosts, links", False, links, 4),
        ("40 upstreams, four hosts, links, overlaps", True, links, 4),
    ):
        upstreams = make_upstreams(40, zones=3, models=1, seed=seed, overlaps=overlaps)
        run = SaturationSimulation(upstreams, zone_links, hosts=hosts, seed=seed)
        achieved = run.run(18.0, warmup_s=8.0)
        bound = achievable_bound(upstreams, zone_links, LAYERS).tokens_per_s
        yield name, achieved, bound


def choice_cost(count: int, models: int, seed: int) -> tuple[float, ...]:
    """Return CPU times: median choice (us), first fleet, fleet change, flow (ms)."""
    rng = random.Random(seed)
    zones = 3 if count < 400 else 6
    upstreams = make_upstreams(count, zones=zones, models=models, seed=seed)
    layers = {f"m{number}": LAYERS for number in range(models)}
    router = ChainRouter(seed=seed, availability_zone="z0")
    started_s = time.thread_time()
    router.update_fleet(upstreams, make_links(zones, 20_000.0), layers, 0.0)
    fleet_ms = (time.thread_time() - started_s) * 1e3
    one_model = tuple(u for u in upstreams if u.model == "m0")
    started_s = time.thread_time()
    router.update_fleet(upstreams[1:], make_links(zones, 20_000.0), layers, 0.0)
    change_ms = (time.thread_time() - started_s) * 1e3
    started_s = time.thread_time()
    achievable_bound(one_model, make_links(zones, 20_000.0), LAYERS)
    flow_ms = (time.thread_time() - started_s) * 1e3
    requests = [make_request(n, rng, f"m{n % models}") for n in range(CHOICE_COUNT)]
    running: deque[Chain] = deque()
    spent_s: list[float] = []
    limit = sum(u.slots for u in upstreams) // 8
    for number, request in enumerate(requests):
        started_s = time.thread_time()
        chain = router.choose(request, number * 1e-3)
        spent_s.append(time.thread_time() - started_s)
        if isinstance(chain, Chain):
            router.record_start(chain, tokens=request.max_tokens, now_s=number * 1e-3)
            running.append(chain)
        if len(running) > limit:
            router.record_finish(running.popleft(), now_s=number * 1e-3)
    return median(spent_s[CHOICE_COUNT // 4 :]) * 1e6, fleet_ms, change_ms, flow_ms


def prefix_bytes(entries: int) -> float:
    """Return the bytes per (block, upstream) pair of a full prefix index."""
    tracemalloc.start()
    index = PrefixIndex(max_entries=entries)
    for block in range(0, entries):
        ids = tuple(f"u{(block + stage) % 1300}" for stage in range(4))
        index.record_routed((hash(("block", block)),), ids)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / len(index)


def main() -> None:
    """Print all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print("share of the bound at saturation")
    for name, achieved, bound in saturation_cases(seed):
        print(
            f"  {name}: {achieved:.0f} of {bound:.0f} tokens/s, {achieved / bound:.3f}"
        )
    print("cost of a choice")
    for count, models in ((40, 1), (400, 1), (1300, 1), (400, 7), (1300, 22)):
        choice_us, fleet_ms, change_ms, flow_ms = choice_cost(count, models, seed)
        print(
            f"  {count} upstreams, {models} models: {choice_us:.0f} us per choice, "
            f"{fleet_ms:.1f} ms for the first fleet, {change_ms:.1f} ms for a change, "
            f"{flow_ms:.1f} ms for one flow"
        )
    print(f"prefix index: {prefix_bytes(50_000):.0f} bytes per entry")


if __name__ == "__main__":
    main()
