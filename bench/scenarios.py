"""Simulated runs of a router under given loads and faults."""

from collections.abc import Callable

import attrs

from bench.driver import Driver, Result, RoutingCore
from bench.fleet import RequestFactory, build_config, build_upstreams
from persimmonwell.core import Rank

RouterFactory = Callable[[int], RoutingCore]

HOSTS = 4
BIN_S = 0.25


@attrs.frozen
class Run:
    """Results of one simulated run."""

    results: tuple[Result, ...]
    tokens_per_bin: tuple[float, ...]
    """Tokens generated in each interval of BIN_S seconds."""
    rank_tokens: dict[str, float]
    """Tokens generated within the measured span, by rank."""
    prefill_work: float
    """Prefill within the measured span, in decoded tokens of equal engine time."""
    span_s: tuple[float, float]
    """Start and end of the measured span."""

    def arrived(
        self, *, rank: Rank | None = None, workspace: str | None = None
    ) -> tuple[Result, ...]:
        """Return the results of requests that arrived in the measured span."""
        start_s, stop_s = self.span_s
        return tuple(
            r
            for r in self.results
            if start_s <= r.arrived_s < stop_s
            and (rank is None or r.request.rank is rank)
            and (workspace is None or r.request.workspace == workspace)
        )

    @property
    def work_per_s(self) -> float:
        """Decoded tokens and prefill work per second."""
        start_s, stop_s = self.span_s
        return self.tokens_per_s + self.prefill_work / (stop_s - start_s)

    @property
    def tokens_per_s(self) -> float:
        """Mean decoded tokens per second in the measured span."""
        start_s, stop_s = self.span_s
        first, last = int(start_s / BIN_S), int(stop_s / BIN_S)
        return sum(self.tokens_per_bin[first:last]) / (stop_s - start_s)


@attrs.frozen
class Load:
    """Poisson stream of requests; rank and workspace are random unless given."""

    requests_per_s: float
    start_s: float = 0.0
    stop_s: float = 60.0
    rank: Rank | None = None
    workspace: str | None = None


def run_scenario(
    make_router: RouterFactory,
    loads: tuple[Load, ...],
    *,
    seed: int,
    span_s: tuple[float, float],
    end_s: float,
    faults: Callable[[Driver, RequestFactory], None] | None = None,
    hosts: int = HOSTS,
) -> Run:
    """Simulate routers under loads and faults; equal seeds give equal arrivals."""
    driver = Driver(
        routers=tuple(make_router(number) for number in range(hosts)),
        upstreams=build_upstreams(),
        config=build_config(),
        seed=seed,
    )
    for number, load in enumerate(loads):
        _schedule(driver, load, RequestFactory(seed * 100 + number), str(number))
    if faults is not None:
        faults(driver, RequestFactory(seed * 100 + 99))
    driver.run(end_s)
    return _summarise(driver, span_s, end_s)


def _schedule(driver: Driver, load: Load, factory: RequestFactory, tag: str) -> None:
    at_s = load.start_s + factory.exponential_s(load.requests_per_s)
    while at_s < load.stop_s:
        request = factory.make(at_s, rank=load.rank, workspace=load.workspace)
        request = attrs.evolve(
            request,
            request_id=f"{tag}-{request.request_id}",
            digest=f"{tag}-{request.digest}",
        )
        driver.schedule_at(at_s, lambda r=request: driver.submit(r))  # type: ignore[misc]
        at_s += factory.exponential_s(load.requests_per_s)


def _summarise(driver: Driver, span_s: tuple[float, float], end_s: float) -> Run:
    bins = [0.0] * (int(end_s / BIN_S) + 2)
    rank_tokens: dict[str, float] = {}
    for at_s, tokens, rank in driver.token_log:
        bins[int(at_s / BIN_S)] += tokens
        if span_s[0] <= at_s < span_s[1]:
            rank_tokens[rank] = rank_tokens.get(rank, 0.0) + tokens
    prefill = sum(
        work for at_s, work in driver.prefill_log if span_s[0] <= at_s < span_s[1]
    )
    results = tuple(driver.results.values())
    return Run(results, tuple(bins), rank_tokens, prefill, span_s)
