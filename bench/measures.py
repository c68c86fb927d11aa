"""Benchmark measures, computed from simulated runs of one router."""

from collections.abc import Callable, Iterable
from functools import partial

import attrs
from hdrh.histogram import HdrHistogram

from bench.driver import Driver, Result
from bench.fleet import LAYERS, RequestFactory, build_config, build_upstreams
from bench.scenarios import BIN_S, Load, RouterFactory, Run, run_scenario
from persimmonwell.core import Outcome, Rank
from persimmonwell.core.routing import achievable_bound

FIRST_TOKEN_TARGET_S = 1.1
GAP_TARGET_S = 0.037
THROUGHPUT_TARGET = 0.95
RECOVERY_TARGET_S = 2.0
PAUSE_TARGET_S = 1.0
FAIRNESS_TARGET = 1.2
MEAN_TOKENS = 100.0
LATENCY_CAP_S = 3600.0
"""Upper limit of recorded latencies; stands for requests that never got a token."""


@attrs.frozen
class Figure:
    """One measured figure and its target, if any."""

    name: str
    value: float
    unit: str
    target: float | None = None
    higher_is_better: bool = False

    @property
    def meets_target(self) -> bool | None:
        """Whether the target is met; None without a target."""
        if self.target is None:
            return None
        if self.higher_is_better:
            return self.value >= self.target
        return self.value <= self.target


def percentile(values: Iterable[float], share: float) -> float:
    """Return a percentile of times in seconds, to three significant digits."""
    histogram = HdrHistogram(1, int(LATENCY_CAP_S * 1_000_000), 3)
    for value in values:
        histogram.record_value(max(1, int(min(value, LATENCY_CAP_S) * 1_000_000)))
    return float(histogram.get_value_at_percentile(share)) / 1_000_000


def was_refused(result: Result) -> bool:
    """Return whether the request was refused without being run."""
    return result.outcome is Outcome.NOT_RUN


def first_token_times(results: Iterable[Result]) -> list[float]:
    """Return the times to first token of the accepted requests.

    Accepted requests without a token count as LATENCY_CAP_S.
    """
    return [
        LATENCY_CAP_S if r.first_token_s is None else r.first_token_s - r.arrived_s
        for r in results
        if not was_refused(r)
    ]


def refusal_times(results: Iterable[Result]) -> list[float]:
    """Return the times from arrival to refusal."""
    return [
        r.refused_s - r.arrived_s
        for r in results
        if was_refused(r) and r.refused_s is not None
    ]


def token_gaps(results: Iterable[Result]) -> list[float]:
    """Return the mean inter-token latencies of the finished requests."""
    return [r.gap_s for r in results if r.gap_s is not None]


def answered_share(results: tuple[Result, ...]) -> float:
    """Return the share of requests that were answered completely."""
    done = sum(1 for r in results if r.finished_s is not None)
    return done / max(1, len(results))


def rank_figures(label: str, measured: Run, rank: Rank) -> list[Figure]:
    """Return the latency, completion and refusal figures of one rank."""
    results = measured.arrived(rank=rank)
    name = f"{label} {rank.name.lower()}"
    times = first_token_times(results)
    urgent = rank is Rank.URGENT
    figures = [
        Figure(
            f"{name} first token p{share}",
            percentile(times, share),
            "s",
            FIRST_TOKEN_TARGET_S if urgent and share == 95 else None,
        )
        for share in (50, 95, 99)
    ]
    gap_target = GAP_TARGET_S if urgent else None
    gap = Figure(
        f"{name} gap p95", percentile(token_gaps(results), 95), "s", gap_target
    )
    answered = Figure(f"{name} answered", answered_share(results), "", None, True)
    refusals = refusal_times(results)
    refused = Figure(f"{name} refused", len(refusals) / max(1, len(results)), "")
    time = Figure(f"{name} time to refusal p95", percentile(refusals, 95), "s")
    return [*figures, gap, answered, refused, time]


def saturation(make: RouterFactory, bound: float, seed: int) -> list[Figure]:
    """Measure throughput at 1.5 times the bound."""
    load = Load(bound / MEAN_TOKENS * 1.5, stop_s=40.0)
    measured = run_scenario(make, (load,), seed=seed, span_s=(10.0, 40.0), end_s=40.0)
    # Engines that prefill do not decode, so that decoding alone cannot reach the
    # bound; the target applies to decoding and prefill together.
    return [
        Figure(
            "saturation: work / bound",
            measured.work_per_s / bound,
            "",
            THROUGHPUT_TARGET,
            True,
        ),
        Figure(
            "saturation: decoded tokens / bound",
            measured.tokens_per_s / bound,
            "",
            None,
            True,
        ),
    ]


KILLED_UPSTREAMS = ("zone-1-0-0", "zone-2-0-1")
KILL_S = 20.0


def stage_death(make: RouterFactory, bound: float, seed: int) -> list[Figure]:
    """Measure recovery from two killed stages at 60 % load and at saturation."""

    def kill(driver: Driver, factory: RequestFactory) -> None:
        for upstream_id in KILLED_UPSTREAMS:
            driver.schedule_at(KILL_S, partial(driver.kill, upstream_id))

    span = (5.0, 39.0)
    overload = Load(bound / MEAN_TOKENS * 1.5, stop_s=40.0)
    saturated = run_scenario(
        make, (overload,), seed=seed, span_s=span, end_s=40.0, faults=kill
    )
    load = Load(bound / MEAN_TOKENS * 0.6, stop_s=40.0)
    measured = run_scenario(
        make, (load,), seed=seed, span_s=span, end_s=60.0, faults=kill
    )
    resumed = tuple(r for r in measured.results if r.longest_pause_s)
    pauses = [r.longest_pause_s for r in resumed]
    remaining = tuple(
        u for u in build_upstreams() if u.upstream_id not in KILLED_UPSTREAMS
    )
    remaining_bound = achievable_bound(
        remaining, build_config().links, LAYERS
    ).tokens_per_s
    return [
        Figure(
            "death: time to regain 95 % at saturation",
            _recovery_s(saturated, remaining_bound / bound),
            "s",
            RECOVERY_TARGET_S,
        ),
        Figure("death: pause p95", percentile(pauses, 95), "s", PAUSE_TARGET_S),
        Figure("death: hit answers whole", answered_share(resumed), "", 1, True),
        *rank_figures("death:", measured, Rank.URGENT),
    ]


def _recovery_s(measured: Run, remaining_share: float) -> float:
    """Return the seconds until throughput is steady at 95 % of the remaining capacity.

    The means of one second and of the following three seconds must both reach it.
    """
    second = int(1 / BIN_S)
    first = int(KILL_S / BIN_S)
    before = measured.tokens_per_bin[int(10 / BIN_S) : first]
    level = 0.95 * sum(before) / len(before) * remaining_share
    for index in range(first, first + int(15 / BIN_S)):
        window = measured.tokens_per_bin[index : index + second]
        after = measured.tokens_per_bin[index + second : index + 4 * second]
        if min(sum(window) / second, sum(after) / (3 * second)) >= level:
            return (index - first) * BIN_S
    return 15.0


def slow_upstream(make: RouterFactory, bound: float, seed: int) -> list[Figure]:
    """Measure urgent requests while two upstreams are ten times slower."""

    def degrade(driver: Driver, factory: RequestFactory) -> None:
        driver.schedule_at(10.0, lambda: driver.set_slowdown("zone-1-0-0", 10.0))
        driver.schedule_at(10.0, lambda: driver.set_slowdown("zone-2-0-3", 10.0))

    load = Load(bound / MEAN_TOKENS * 0.6, stop_s=40.0)
    span = (15.0, 40.0)
    measured = run_scenario(
        make, (load,), seed=seed, span_s=span, end_s=60.0, faults=degrade
    )
    return rank_figures("slow upstream:", measured, Rank.URGENT)


def flood(make: RouterFactory, bound: float, seed: int, *, rank: Rank) -> list[Figure]:
    """Measure all ranks while one rank offers a load of three times the bound."""
    requests_per_s = bound / MEAN_TOKENS
    loads = (
        Load(requests_per_s * 0.5, stop_s=50.0),
        Load(requests_per_s * 3.0, start_s=10.0, stop_s=40.0, rank=rank),
    )
    span = (12.0, 40.0)
    measured = run_scenario(make, loads, seed=seed, span_s=span, end_s=70.0)
    label = f"{rank.name.lower()} flood:"
    figures = []
    if rank is not Rank.URGENT:
        share = answered_share(measured.arrived(rank=Rank.URGENT))
        figures.append(Figure(f"{label} urgent kept", share, "", 0.99, True))
    for other_rank in Rank:
        figures.extend(rank_figures(label, measured, other_rank))
    total = sum(measured.rank_tokens.values())
    for other_rank, floor in ((Rank.NORMAL, 0.15), (Rank.BATCH, 0.05)):
        if other_rank is rank:
            continue
        name = other_rank.name.lower()
        share = measured.rank_tokens.get(name, 0.0) / max(1.0, total)
        target = floor if rank < other_rank else None
        title = f"{label} {name} token share"
        figures.append(Figure(title, share, "", target, True))
    return figures


def fairness(make: RouterFactory, bound: float, seed: int) -> list[Figure]:
    """Measure a small workspace alone and beside one with 20 times its load."""
    small_rate = bound / MEAN_TOKENS * 0.08
    small = Load(small_rate, stop_s=40.0, rank=Rank.NORMAL, workspace="small-1")
    large = Load(small_rate * 20, stop_s=40.0, rank=Rank.NORMAL, workspace="large-1")
    span = (10.0, 40.0)
    alone_run = run_scenario(make, (small,), seed=seed, span_s=span, end_s=60.0)
    shared_run = run_scenario(make, (small, large), seed=seed, span_s=span, end_s=60.0)

    def total_p95(measured: Run) -> float:
        results = measured.arrived(workspace="small-1")
        return percentile(
            (
                LATENCY_CAP_S if r.finished_s is None else r.finished_s - r.arrived_s
                for r in results
            ),
            95,
        )

    slowdown = total_p95(shared_run) / total_p95(alone_run)
    name = "small workspace slowdown p95"
    return [Figure(name, slowdown, "x", FAIRNESS_TARGET)]


def crash_request(make: RouterFactory, bound: float, seed: int) -> list[Figure]:
    """Measure the damage from a request that crashes engines and is sent repeatedly."""
    killed: list[float] = []

    def schedule_crash_requests(driver: Driver, factory: RequestFactory) -> None:
        driver.crash_digests.add("crash")
        original = driver.kill

        def counting_kill(
            upstream_id: str, *, back_after_s: float | None = None
        ) -> None:
            killed.append(driver.now_s)
            original(upstream_id, back_after_s=back_after_s)

        driver.kill = counting_kill  # type: ignore[method-assign]
        for number in range(10):
            at_s = 10.0 + 2.0 * number
            request = factory.make(
                at_s, rank=Rank.NORMAL, workspace="small-2", digest="crash"
            )
            request = attrs.evolve(request, request_id=f"crash-{number}")
            driver.schedule_at(at_s, lambda r=request: driver.submit(r))  # type: ignore[misc]

    load = Load(bound / MEAN_TOKENS * 0.6, stop_s=40.0)
    span = (10.0, 39.0)
    measured = run_scenario(
        make,
        (load,),
        seed=seed,
        span_s=span,
        end_s=60.0,
        faults=schedule_crash_requests,
    )
    other_results = tuple(r for r in measured.arrived() if r.request.digest != "crash")
    return [
        Figure("crash request: upstreams lost", float(len(killed)), "", 2.0),
        Figure(
            "crash request: innocent answered",
            answered_share(other_results),
            "",
            1.0,
            True,
        ),
        *rank_figures("crash request:", measured, Rank.URGENT),
    ]


MEASURES: dict[str, Callable[[RouterFactory, float, int], list[Figure]]] = {
    "saturation": saturation,
    "stage-death": stage_death,
    "slow-upstream": slow_upstream,
    "batch-flood": lambda m, b, s: flood(m, b, s, rank=Rank.BATCH),
    "urgent-flood": lambda m, b, s: flood(m, b, s, rank=Rank.URGENT),
    "fairness": fairness,
    "crash-request": crash_request,
}
