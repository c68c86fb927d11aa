"""Check the choice of chains, from single rules to saturated fleets."""

from collections import Counter

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench import routing_cost
from persimmonwell.core import (
    Chain,
    InflightCount,
    LinkCapacity,
    Rank,
    Stage,
    Upstream,
    UpstreamRole,
)
from persimmonwell.core.routing import ChainRouter, NoRoute, achievable_bound
from tests.core.routing.fleets import (
    LAYERS,
    MODEL,
    fleets,
    has_chain,
    request,
    router,
    upstream,
    zone_links,
)

NAMES = st.frozensets(st.sampled_from([f"u{number}" for number in range(10)]))
DECODE, PREFILL = UpstreamRole.DECODE, UpstreamRole.PREFILL


def covered(upstreams: list[Upstream]) -> bool:
    """Return whether an exhaustive search finds chains for both phases."""
    phases = [[u for u in upstreams if u.role is not r] for r in (PREFILL, DECODE)]
    return all(has_chain(phase) for phase in phases)


def counts(
    chains: ChainRouter, rounds: int, *, hold: bool = False, now_s: float = 100.0
) -> Counter[str]:
    """Count the upstreams of repeated choices; with hold, requests stay in flight."""
    found: Counter[str] = Counter()
    for _ in range(rounds):
        chain = chains.choose(request(), now_s)
        if isinstance(chain, Chain):
            found.update(chain.upstream_ids)
            if hold:
                chains.record_start(chain, tokens=50, now_s=now_s)
    return found


@given(fleets(roles=True), zone_links(), NAMES, NAMES, st.integers(0, 99))
def test_choice_equals_exhaustive_search(
    upstreams: tuple[Upstream, ...],
    links: tuple[LinkCapacity, ...],
    excluded: frozenset[str],
    leaving: frozenset[str],
    seed: int,
) -> None:
    """Guards against missed chains and dead ends when layer ranges overlap."""
    fleet_upstreams = [
        attrs.evolve(u, leaving=u.upstream_id in leaving) for u in upstreams
    ]
    chains = router(fleet_upstreams, links=links, seed=seed)
    chain = chains.choose(request(blocks=3), 0.0, excluded=excluded)
    usable = [
        u for u in fleet_upstreams if u.upstream_id not in excluded and not u.leaving
    ]
    assert isinstance(chain, Chain) == covered(usable)
    if isinstance(chain, Chain):
        check_chain(chain, usable)
    else:
        assert not chain.covered


def check_chain(chain: Chain, usable: list[Upstream]) -> None:
    """Check layers, roles and membership of a chain."""
    chain.check_coverage(LAYERS)
    by_id = {u.upstream_id: u for u in usable}
    for stage in (*chain.stages, *chain.prefill_stages):
        assert stage.layers == by_id[stage.upstream_id].layers
    roles = {by_id[s.upstream_id].role for s in chain.stages}
    assert PREFILL not in roles and (DECODE not in roles or chain.prefill_stages)
    assert DECODE not in {by_id[s.upstream_id].role for s in chain.prefill_stages}


KINDS = "start start start finish fail report peer tick succeed probe leave slow go"
STEP = st.tuples(st.sampled_from(KINDS.split()), st.integers(0, 20))
STEPS = st.lists(STEP, min_size=20, max_size=60)


class Driver:
    """Applies random steps and keeps naive counts for comparison."""

    def __init__(self, upstreams: tuple[Upstream, ...], chains: ChainRouter) -> None:
        self.upstreams = list(upstreams)
        self.chains = chains
        self.running: list[Chain] = []
        self.probing: list[str] = []
        self.now_s = 0.0

    def step(self, kind: str, number: int) -> None:
        self.now_s += 0.3
        name = f"u{number % 9}"
        chains, now_s = self.chains, self.now_s
        match kind:
            case "start":
                self.start(frozenset({name} if number % 2 else ()))
            case "finish" if self.running:
                done = self.running.pop(number % len(self.running))
                chains.record_first_token(
                    done, latency_s=0.1, prompt_tokens=20, now_s=now_s
                )
                chains.record_finish(done, now_s=now_s)
            case "fail":
                for _ in range(3):
                    chains.record_upstream_failure(name, now_s=now_s)
            case "succeed":
                chains.record_upstream_success(name, now_s=now_s)
            case "report":
                load = {"running": number % 5, "queued": 0, "age_s": 0.5}
                chains.apply_load_report(name, **load, now_s=now_s)
            case "peer":
                count = (InflightCount(name, number % 4),)
                chains.apply_peer_inflight("h", count, now_s=now_s)
            case "slow" if self.running:
                chains.record_token_gap(self.running[0], gap_s=number / 2, now_s=now_s)
            case "go" if self.running:
                chains.record_progress(self.running[0], tokens=number, now_s=now_s)
            case "tick":
                self.probing += chains.probes_due(now_s)
            case "probe" if self.probing:
                name, even = self.probing.pop(), number % 2 == 0
                chains.apply_probe_result(
                    name, succeeded=even, latency_s=0.0, now_s=now_s
                )
            case "leave" if self.upstreams and number % 3 == 0:
                self.upstreams.pop(number % len(self.upstreams))
                chains.update_fleet(tuple(self.upstreams), (), {MODEL: LAYERS}, now_s)

    def start(self, excluded: frozenset[str]) -> None:
        chain = self.chains.choose(request(blocks=2), self.now_s, excluded=excluded)
        if isinstance(chain, Chain):
            live = [u for u in self.upstreams if u.upstream_id not in excluded]
            check_chain(chain, live)
            self.chains.record_start(chain, tokens=20, now_s=self.now_s)
            self.running.append(chain)

    def check(self) -> None:
        own = Counter(u for c in self.running for u in set(c.upstream_ids))
        assert own == {c.upstream_id: c.requests for c in self.chains.inflight_counts()}
        assert all(own[u.upstream_id] <= u.slots for u in self.upstreams)
        if not self.running:
            self.check_coverage()

    def check_coverage(self) -> None:
        # Expires the estimates of other hosts, so that only ejections have an effect.
        self.now_s += 60.0
        self.probing += self.chains.probes_due(self.now_s)
        chain = self.chains.choose(request(), self.now_s)
        assert isinstance(chain, Chain) == covered(self.upstreams)


@given(fleets(roles=True), STEPS)
def test_invariants_hold_after_random_steps(
    upstreams: tuple[Upstream, ...], steps: list[tuple[str, int]]
) -> None:
    """Guards against overfilled slots, wrong counts and ejections losing coverage."""
    driver = Driver(upstreams, router(upstreams))
    for kind, number in steps:
        driver.step(kind, number)
        driver.check()
    while driver.running:
        driver.step("finish", 0)
    driver.check()


@given(fleets(roles=True), st.integers(0, 9))
def test_free_slots_can_all_start(upstreams: tuple[Upstream, ...], seed: int) -> None:
    """Guards against a count of free slots that complete chains cannot all use."""
    chains = router(upstreams, seed=seed)
    before = chains.free_slots(MODEL)
    assert (before > 0) == covered(list(upstreams))
    started = 0
    while isinstance(chain := chains.choose(request(), 0.0), Chain):
        chains.record_start(chain, tokens=1, now_s=0.0)
        started += 1
    assert 0 < started <= before or started == before == 0
    refused = chains.choose(request(), 0.0)
    assert isinstance(refused, NoRoute) and refused.covered == (before > 0)


@pytest.mark.parametrize("allowed", ["a", "abc", ""])
def test_excluded_members_of_a_group_are_never_picked(allowed: str) -> None:
    """Guards against a retry on the upstream that just failed the request."""
    chains = router([upstream(name, 0, 6) for name in "abcdef"])
    excluded = frozenset("abcdef") - set(allowed)
    found = [chains.choose(request(), 0.0, excluded=excluded) for _ in range(30)]
    picks = {c.upstream_ids[0] for c in found if isinstance(c, Chain)}
    assert picks == set(allowed)


def test_chain_over_bottleneck_twice_is_last_resort() -> None:
    """Guards against chains that use the bottleneck twice.

    a and d form the minimum cut, one in each of the chains ab and cd. The chain awd
    uses both, so it is chosen only when no other chain is possible.
    """
    fleet_upstreams = (
        upstream("a", 0, 2, slots=3),
        upstream("b", 2, 6, slots=1, rate=400),
        upstream("c", 0, 4, slots=1, rate=400),
        upstream("d", 4, 6, slots=3),
        upstream("w", 2, 4, slots=3),
    )
    chains = router(fleet_upstreams)
    assert counts(chains, 9, hold=True) == Counter("abcd")
    last = chains.choose(request(), 0.0, excluded=frozenset("bc"))
    assert isinstance(last, Chain) and last.upstream_ids == ("a", "w", "d")


@pytest.mark.parametrize(("hosts", "slowdown"), [(1, 1.0), (4, 1.0), (4, 10.0)])
def test_saturated_fleet_reaches_the_bound(hosts: int, slowdown: float) -> None:
    """Guards against throughput below 95 % of the bound with stale load reports.

    The bound counts a degraded upstream at its remaining rate. Its requests in flight
    hold slots elsewhere until they end, so the measurement starts after that.
    """
    upstreams = routing_cost.make_upstreams(
        20, zones=3, models=1, seed=3, overlaps=True
    )
    links = routing_cost.make_links(3, 5000.0)
    run = routing_cost.SaturationSimulation(upstreams, links, hosts=hosts, seed=3)
    slow = max(upstreams, key=lambda u: (u.tokens_per_s, u.upstream_id))
    run.slowdown = {slow.upstream_id: slowdown}
    run.slow_from_s = 5.0
    warmup_s = 9.0 if slowdown == 1.0 else 18.0
    achieved = run.run(warmup_s + 3.0, warmup_s=warmup_s)
    slowed = attrs.evolve(slow, tokens_per_s=slow.tokens_per_s / slowdown)
    left = tuple(slowed if u is slow else u for u in upstreams)
    bound = achievable_bound(left, links, routing_cost.LAYERS).tokens_per_s
    assert 0.95 <= achieved / bound <= 1.05


def test_hosts_with_same_stale_report_spread_load() -> None:
    """Guards against four hosts that all send to the one upstream reported idle."""
    names = [f"u{number}" for number in range(8)]
    sent: Counter[str] = Counter()
    for host in range(4):
        chains = router([upstream(n, 0, 6, slots=16) for n in names], seed=host)
        for peer in range(3):
            chains.apply_peer_inflight(f"h{peer}", (), now_s=0.0)
        for name in names:
            running = 0 if name == "u0" else 10
            chains.apply_load_report(
                name, running=running, queued=0, age_s=1.0, now_s=1.0
            )
        sent += counts(chains, 8, hold=True, now_s=1.0)
    assert sent["u0"] <= 16 and sent["u0"] < sum(sent.values()) * 0.6
    assert sum(sent.values()) == 32


def test_degraded_link_loses_weight() -> None:
    """Guards against traffic that stays on a link a hundred times slower."""
    fleet_upstreams = [upstream("a", 0, 3, rate=400, slots=16)]
    fleet_upstreams += [
        upstream(f"{z}2", 3, 6, zone=z, rate=200, slots=16) for z in "bc"
    ]
    even = (LinkCapacity("a", "b", 400, 0.0003), LinkCapacity("a", "c", 400, 0.0003))
    slow = (LinkCapacity("a", "b", 400, 0.0003), LinkCapacity("a", "c", 4, 0.03))
    found = [counts(router(fleet_upstreams, links=x), 200)["c2"] for x in (even, slow)]
    assert 60 < found[0] < 140 and found[1] < 10


def test_slow_gaps_over_a_link_move_traffic() -> None:
    """Guards against ignoring a slow link that only the token gaps reveal."""
    layers = {"a0": (0, 3), "a1": (3, 6), "b0": (0, 3), "b1": (3, 6)}
    fleet_upstreams = [upstream(name, *layers[name], zone=name[0]) for name in layers]
    chains = router(fleet_upstreams)
    stages = {
        u.upstream_id: Stage(u.upstream_id, u.address, u.layers)
        for u in fleet_upstreams
    }
    for names in (("a0", "a1"), ("b0", "b1"), ("a0", "b1")) * 40:
        gap_s = 0.2 if names == ("a0", "b1") else 0.01
        chains.record_token_gap(
            Chain(tuple(stages[n] for n in names)), gap_s=gap_s, now_s=0.0
        )
    chains.probes_due(1.0)
    assert chains._current_links().get("a", "b").latency_s > 0.0009
    assert chains.tokens_per_s(MODEL, 1.0) == pytest.approx(200)


def test_new_upstream_starts_slowly() -> None:
    """Guards against a new upstream that gets all traffic because it is idle."""
    old = [upstream(f"u{number}", 0, 6, slots=16) for number in range(4)]
    share = []
    for age_s in (0.0, 10.0):
        chains = router(old)
        counts(chains, 8, hold=True, now_s=0.0)
        new = upstream("new", 0, 6, slots=16)
        chains.update_fleet((*old, new), (), {MODEL: LAYERS}, 50.0)
        chains.probes_due(50.0 + age_s)
        share.append(counts(chains, 12, hold=True, now_s=50.0 + age_s)["new"])
    assert share[0] <= 1 and share[1] >= 3


def test_own_zone_is_preferred_then_cheapest_link() -> None:
    """Guards against cross-zone traffic at low load, and a full zone that blocks."""
    fleet_upstreams = [upstream(z, 0, 6, zone=z, slots=8) for z in "abc"]
    links = LinkCapacity("a", "b", 1e4, 0.0003), LinkCapacity("a", "c", 1e4, 0.05)
    chains = router(fleet_upstreams, links=links)
    assert counts(chains, 20) == {"a": 20}
    assert counts(chains, 2, hold=True) == {"a": 2}
    after = counts(chains, 10, hold=True)
    assert after["b"] > after["c"] and after["b"] > 0
    assert counts(chains, 20, hold=True).total() == 12


@pytest.mark.parametrize(("busy", "expected"), [(1, "hot"), (14, "cold")])
def test_cached_prefix_is_weighed_against_queueing(busy: int, expected: str) -> None:
    """Guards against a cached prefix that is ignored or outweighs a long queue."""
    chains = router([upstream(n, 0, 6, slots=16) for n in ("hot", "cold")])
    wanted = request(prompt=800, tokens=20, blocks=16)
    chains.apply_cache_event("hot", sequence=1, stored=wanted.prefix_blocks, evicted=())
    chains.apply_load_report("hot", running=busy, queued=0, age_s=0.0, now_s=1.0)
    found = [chains.choose(wanted, 1.0) for _ in range(20)]
    picks = Counter(c.upstream_ids[0] for c in found if isinstance(c, Chain))
    assert picks.most_common(1)[0][0] == expected


def test_prefill_choice_includes_cache_transfer() -> None:
    """Guards against a prefill chain picked without the cost of moving its KV cache."""
    fleet_upstreams = [
        upstream(f"d{z}", 0, 6, zone=z, role=DECODE, slots=64) for z in "ab"
    ]
    fleet_upstreams += [
        upstream(f"p{z}", 0, 6, zone=z, role=PREFILL, slots=64) for z in "ab"
    ]
    chains = router(fleet_upstreams, links=(LinkCapacity("a", "b", 500, 0.0003),))
    near = 0
    for _ in range(40):
        chain = chains.choose(request(prompt=4000), 0.0)
        assert isinstance(chain, Chain)
        chains.record_start(chain, tokens=50, now_s=0.0)
        prefill, decode = chain.upstream_ids
        near += prefill[1] == decode[1]
    assert near >= 36


def test_failure_moves_traffic_and_lowers_the_bound() -> None:
    """Guards against traffic to a failed upstream, and ejection of the last one."""
    chains = router([upstream(n, 0, 6) for n in ("dead", "live")])
    for _ in range(3):
        chains.record_upstream_failure("dead", now_s=1.0)
    assert counts(chains, 20) == {"live": 20}
    chains.probes_due(2.0)
    assert chains.tokens_per_s(MODEL, 2.0) == 100 and chains.free_slots(MODEL) == 4
    assert chains.probes_due(3.0) == ()
    chains.update_fleet((upstream("dead", 0, 6),), (), {MODEL: LAYERS}, 4.0)
    assert counts(chains, 5) == {"dead": 5}, "the last upstream must be tried"


@pytest.mark.parametrize(("slots", "hosts", "kept"), [(8, 2, 1), (8, 1, 0), (4, 2, 0)])
def test_shared_upstream_keeps_a_slot_for_urgent_requests(
    slots: int, hosts: int, kept: int
) -> None:
    """Guards against an engine so full that an urgent request waits inside it."""
    chains = router([upstream("u", 0, LAYERS, slots=slots)])
    if hosts > 1:
        chains.apply_peer_inflight(
            "other", (InflightCount("u", slots // 2),), now_s=0.0
        )
    while isinstance(chain := chains.choose(request(), 0.0), Chain):
        chains.record_start(chain, tokens=1, now_s=0.0)
    urgent = attrs.evolve(request(), rank=Rank.URGENT)
    found = 0
    while isinstance(chain := chains.choose(urgent, 0.0), Chain):
        chains.record_start(chain, tokens=1, now_s=0.0)
        found += 1
    assert found == kept
