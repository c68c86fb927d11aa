"""Choice of a chain of upstreams for each request."""

import random
from collections.abc import Iterable, Mapping, Sequence
from statistics import median

import attrs

from persimmonwell.core._types import (
    Chain,
    InflightCount,
    LinkCapacity,
    ModelRequest,
    Rank,
    Stage,
    Upstream,
)
from persimmonwell.core.routing._cost import BATCH_FLOOR_SHARE, CostModel, RequestDemand
from persimmonwell.core.routing._groups import Member, make_member
from persimmonwell.core.routing._health import HealthTracker
from persimmonwell.core.routing._inflight import InflightTracker
from persimmonwell.core.routing._links import LinkLimiter, LinkTable
from persimmonwell.core.routing._models import ModelFleet, ModelPlans, make_plans
from persimmonwell.core.routing._plan import Plan, Routes
from persimmonwell.core.routing._prefix import PrefixIndex

CANDIDATE_CHAINS = 3
"""Chains compared per choice: one within the zone, one over cached prefixes if there
are any, and the rest sampled from the flow."""
MIN_PREFILL_SPEEDUP = 10.0
"""Least number of prompt tokens that an engine prefills in one decode step."""
MAX_PREFERRED_UPSTREAMS = 8
"""Upstreams with the longest cached prefix that a choice considers."""
MAX_PREFIX_ENTRIES = 50_000
"""Limits the prefix index to about 6 MB, at 125 bytes per pair."""
REPLAN_INTERVAL_S = 0.5
"""Minimum time between flow computations caused by changes in health."""
EXPIRY_INTERVAL_S = 1.0


@attrs.frozen
class NoRoute:
    """Reason why no chain can start now."""

    reason: str
    covered: bool
    """Whether live upstreams cover the target and only lack free slots."""


class ChainRouter:
    """Chain choice of one entry host, with its load, health and prefix-cache state."""

    def __init__(self, *, seed: int, availability_zone: str) -> None:
        self._random = random.Random(seed)
        self._home_zone = availability_zone
        self._inflight = InflightTracker(seed=seed)
        self._health = HealthTracker(seed=seed, may_eject=self._may_eject)
        self._prefix = PrefixIndex(max_entries=MAX_PREFIX_ENTRIES)
        self._link_limiter = LinkLimiter()
        self._costs = CostModel(
            home_zone=availability_zone, link_limiter=self._link_limiter
        )
        self._upstreams: dict[str, Upstream] = {}
        self._links: tuple[LinkCapacity, ...] = ()
        self._fleets: dict[str, ModelFleet] = {}
        self._plans: dict[str, ModelPlans] = {}
        self._members: dict[str, Member] = {}
        self._link_ids: set[str] = set()
        self._zones_in_flight: dict[tuple[str, ...], list[list[str]]] = {}
        self._ramping: set[str] = set()
        self._stale_models: set[str] = set()
        self._last_plan_s = float("-inf")
        self._last_expiry_s = float("-inf")

    # Fleet

    def update_fleet(
        self,
        upstreams: tuple[Upstream, ...],
        links: tuple[LinkCapacity, ...],
        layers_by_model: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Replace the fleet and recompute the plans of the models that changed."""
        live = {u.upstream_id: u for u in upstreams if not u.leaving}
        self._drop_stale_prefixes(live)
        self._upstreams = live
        by_model: dict[str, list[Upstream]] = {m: [] for m in layers_by_model}
        for upstream in live.values():
            if upstream.model in by_model:
                by_model[upstream.model].append(upstream)
        fleets = {
            m: ModelFleet(layers_by_model[m], tuple(u)) for m, u in by_model.items()
        }
        changed = {m for m, fleet in fleets.items() if fleet != self._fleets.get(m)}
        if links != self._links:
            changed = set(fleets)
        self._links = links
        self._fleets = fleets
        self._track_health(now_s)
        self._drop_unlisted()
        self._restore_coverage(now_s)
        self._plan_models(changed | self._stale_models, now_s)

    def _drop_stale_prefixes(self, live: Mapping[str, Upstream]) -> None:
        for upstream_id, old in self._upstreams.items():
            new = live.get(upstream_id)
            if new is None or new.incarnation != old.incarnation:
                self._prefix.drop_upstream(upstream_id)

    def _drop_unlisted(self) -> None:
        self._inflight.drop_unlisted(set(self._upstreams))
        for upstream_id in tuple(self._members):
            upstream = self._upstreams.get(upstream_id)
            if upstream is None or upstream.model not in self._fleets:
                del self._members[upstream_id]
        for model in self._plans.keys() - self._fleets.keys():
            del self._plans[model]
        self._ramping &= self._members.keys()

    def _track_health(self, now_s: float) -> None:
        known: dict[str, tuple[tuple[object, ...], str]] = {
            u.upstream_id: ((u.model, u.layers, u.role), u.incarnation)
            for u in self._upstreams.values()
        }
        zones = {u.availability_zone for u in self._upstreams.values()}
        self._link_ids = {_link_id(a, b) for a in zones for b in zones}
        known.update(dict.fromkeys(self._link_ids, (("link",), "")))
        self._health.update(known, now_s=now_s)

    def _may_eject(self, upstream_id: str) -> bool:
        upstream = self._upstreams.get(upstream_id)
        fleet = self._fleets.get(upstream.model) if upstream else None
        if fleet is None:
            return False
        ejected = self._health.is_ejected
        return not fleet.loses_coverage(lambda u: u != upstream_id and not ejected(u))

    def _restore_coverage(self, now_s: float) -> None:
        """Readmit ejected upstreams that the fleet needs to cover every layer."""
        for model, fleet in self._fleets.items():
            for upstream in fleet.upstreams:
                if not self._health.is_ejected(upstream.upstream_id):
                    continue
                if fleet.loses_coverage(lambda u: not self._health.is_ejected(u)):
                    self._health.readmit(upstream.upstream_id, now_s=now_s)
                    self._stale_models.add(model)

    def _plan_models(self, models: Iterable[str], now_s: float) -> None:
        links = self._current_links()
        self._costs.update_links(links)
        gaps = [u.slots / u.tokens_per_s for u in self._upstreams.values()]
        self._link_limiter.update(links, full_batch_gap_s=median(gaps) if gaps else 0.0)
        self._reset_routes()
        for model in tuple(models):
            fleet = self._fleets.get(model)
            if fleet is None:
                continue
            members = tuple(self._make_member(u, now_s) for u in fleet.upstreams)
            self._plans[model] = make_plans(
                fleet,
                members,
                links=links,
                home_zone=self._home_zone,
                link_limiter=self._link_limiter,
            )
        self._stale_models.clear()
        self._last_plan_s = now_s

    def _current_links(self) -> LinkTable:
        zones = {u.availability_zone for u in self._upstreams.values()}
        shares = {
            (a, b): self._health.capacity_share(_link_id(a, b))
            for a in zones
            for b in zones
        }
        degraded = {pair: share for pair, share in shares.items() if share < 1.0}
        return LinkTable(self._links, capacity_shares=degraded)

    def _make_member(self, upstream: Upstream, now_s: float) -> Member:
        upstream_id = upstream.upstream_id
        member = make_member(upstream, self._inflight.load(upstream_id))
        self._members[upstream_id] = member
        member.host_count = 1 + self._inflight.peer_count
        member.planned_share = self._health.capacity_share(upstream_id)
        self._apply_member_health(member, now_s)
        return member

    def _apply_member_health(self, member: Member, now_s: float) -> bool:
        """Apply an upstream's health; return whether it entered or left service."""
        upstream_id = member.upstream_id
        was_in_service = member.in_service
        ramp = self._health.ramp(upstream_id, now_s)
        weight = self._health.weight(upstream_id, now_s)
        member.speed = member.upstream.tokens_per_s * weight
        member.limit = max(1, int(member.upstream.slots * ramp))
        if ramp < 1.0:
            self._ramping.add(upstream_id)
        else:
            self._ramping.discard(upstream_id)
        return was_in_service != member.in_service

    # Choice

    def choose(
        self,
        request: ModelRequest,
        now_s: float,
        *,
        excluded: frozenset[str] = frozenset(),
    ) -> Chain | NoRoute:
        """Return the cheapest of a few sampled chains, or why there is none."""
        plans = self._plans.get(request.model)
        if plans is None or not plans.plans:
            return NoRoute(reason="model has no live upstream", covered=False)
        blocks = request.prefix_blocks
        demand = RequestDemand(
            prompt_tokens=request.prompt_tokens,
            tokens=request.max_tokens,
            cached=self._cached(blocks),
            urgent=request.rank is Rank.URGENT,
        )
        chain = self._choose_disaggregated(plans, demand, excluded)
        if isinstance(chain, NoRoute) and plans.combined is not None:
            combined = self._choose_combined(plans.combined, demand, excluded)
            if isinstance(combined, Chain) or not chain.covered:
                chain = combined
        if isinstance(chain, Chain) and blocks:
            computing = chain.prefill_stages or chain.stages
            self._prefix.record_routed(blocks, tuple(s.upstream_id for s in computing))
        return chain

    def _cached(self, blocks: tuple[int, ...]) -> dict[str, float]:
        if not blocks:
            return {}
        confidence = self._prefix.confidence
        return {
            upstream_id: confidence(upstream_id) * matched / len(blocks)
            for upstream_id, matched in self._prefix.find_matches(blocks).items()
        }

    def _choose_combined(
        self, plan: Plan, demand: RequestDemand, excluded: frozenset[str]
    ) -> Chain | NoRoute:
        candidates = self._candidates(plan, demand, excluded)
        if isinstance(candidates, NoRoute):
            return candidates
        best = min(candidates, key=lambda chain: self._combined_cost_s(chain, demand))
        return Chain(stages=tuple(m.stage for m in best))

    def _combined_cost_s(self, chain: Sequence[Member], demand: RequestDemand) -> float:
        return self._costs.generation_s(chain, demand) + self._costs.prefill_s(
            chain, demand
        )

    def _choose_disaggregated(
        self, plans: ModelPlans, demand: RequestDemand, excluded: frozenset[str]
    ) -> Chain | NoRoute:
        if plans.decode is None or plans.prefill is None:
            return NoRoute(reason="no engine declares a role", covered=False)
        decodes = self._candidates(plans.decode, demand, excluded)
        prefills = self._candidates(plans.prefill, demand, excluded)
        if isinstance(decodes, NoRoute):
            return _prefer_uncovered(decodes, prefills)
        if isinstance(prefills, NoRoute):
            return prefills
        best = min(
            ((p, d) for p in prefills for d in decodes),
            key=lambda pair: self._disaggregated_cost_s(pair[0], pair[1], demand),
        )
        prefill, decode = best
        stages = tuple(m.stage for m in decode)
        if list(prefill) == list(decode):
            return Chain(stages=stages)
        return Chain(stages=stages, prefill_stages=tuple(m.stage for m in prefill))

    def _disaggregated_cost_s(
        self, prefill: Sequence[Member], decode: Sequence[Member], demand: RequestDemand
    ) -> float:
        return (
            self._costs.prefill_s(prefill, demand)
            + self._costs.transfer_s(prefill, decode, demand)
            + self._costs.generation_s(decode, demand)
        )

    def _candidates(
        self, plan: Plan, demand: RequestDemand, excluded: frozenset[str]
    ) -> list[list[Member]] | NoRoute:
        routes = plan.routes(excluded, urgent=demand.urgent)
        if not routes.complete:
            full = "every chain lacks a free slot"
            gap = "live upstreams do not cover every layer"
            reason = full if routes.covered else gap
            return NoRoute(reason=reason, covered=routes.covered)
        chains = [routes.sample_chain(self._random, excluded, local=True)]
        if demand.cached:
            chains.append(self._sample_cached_chain(routes, demand, excluded))
        while len(chains) < CANDIDATE_CHAINS:
            chains.append(routes.sample_chain(self._random, excluded))
        return [chain for chain in chains if chain]

    def _sample_cached_chain(
        self, routes: Routes, demand: RequestDemand, excluded: frozenset[str]
    ) -> list[Member]:
        by_match = sorted(demand.cached, key=lambda u: -demand.cached[u])
        preferred = [
            self._members[upstream_id]
            for upstream_id in by_match[:MAX_PREFERRED_UPSTREAMS]
            if upstream_id in self._members
        ]
        return routes.sample_chain(
            self._random, excluded, local=True, preferred=preferred
        )

    # Requests in flight

    def record_start(self, chain: Chain, *, tokens: int, now_s: float) -> None:
        """Count a request in flight; tokens estimates how many it will generate."""
        self._inflight.record_start(chain, tokens=tokens, now_s=now_s)
        zones = [m.zone for m in self._members_of(chain.stages)]
        self._zones_in_flight.setdefault(chain.upstream_ids, []).append(zones)
        if self._link_limiter.add_requests(zones, 1):
            self._reset_routes()
        self._refresh_members(chain.upstream_ids)

    def record_progress(self, chain: Chain, *, tokens: int, now_s: float) -> None:
        """Reduce the backlog by generated tokens and record their mean gap.

        The gap shows a slow stage long before the request ends.
        """
        gap_s = self._inflight.record_progress(chain, tokens=tokens, now_s=now_s)
        if gap_s is not None:
            self.record_token_gap(chain, gap_s=gap_s, now_s=now_s)

    def record_finish(self, chain: Chain, *, now_s: float) -> None:
        """Stop counting a request that finished, failed or was cancelled."""
        if not self._inflight.record_finish(chain, now_s=now_s):
            return
        # Uses the zones stored at the start, as a stage may have left the fleet since.
        started = self._zones_in_flight[chain.upstream_ids]
        if self._link_limiter.add_requests(started.pop(), -1):
            self._reset_routes()
        if not started:
            del self._zones_in_flight[chain.upstream_ids]
        self._refresh_members(chain.upstream_ids)

    def _refresh_members(self, upstream_ids: Iterable[str]) -> None:
        # Sorted, since the order of free members determines what a seed draws.
        for upstream_id in sorted(upstream_ids):
            member = self._members.get(upstream_id)
            if member is not None:
                for plan in self._plans[member.upstream.model].plans:
                    plan.refresh(member)

    def apply_load_report(
        self, upstream_id: str, *, running: int, queued: int, age_s: float, now_s: float
    ) -> None:
        """Apply an engine's load report, which is age_s old."""
        self._inflight.apply_load_report(
            upstream_id, running=running, queued=queued, age_s=age_s, now_s=now_s
        )
        self._refresh_members((upstream_id,))

    def apply_peer_inflight(
        self, host_id: str, counts: tuple[InflightCount, ...], *, now_s: float
    ) -> None:
        """Apply the in-flight counts of another entry host."""
        self._refresh_members(
            self._inflight.apply_peer_inflight(host_id, counts, now_s=now_s)
        )
        self._update_host_count()

    def _update_host_count(self) -> None:
        host_count = 1 + self._inflight.peer_count
        if not self._link_limiter.set_host_count(host_count):
            return
        for member in self._members.values():
            member.host_count = host_count
        self._refresh_members(tuple(self._members))
        self._reset_routes()

    def _reset_routes(self) -> None:
        for plans in self._plans.values():
            for plan in plans.plans:
                plan.reset_routes()

    def inflight_counts(self) -> tuple[InflightCount, ...]:
        """Return this host's requests in flight by upstream, largest count first."""
        return self._inflight.inflight_counts()

    def apply_cache_event(
        self,
        upstream_id: str,
        *,
        sequence: int,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
    ) -> None:
        """Apply a prefix-cache event of an engine."""
        if upstream_id in self._upstreams:
            self._prefix.apply_cache_event(
                upstream_id, sequence=sequence, stored=stored, evicted=evicted
            )

    # Health

    def record_first_token(
        self, chain: Chain, *, latency_s: float, prompt_tokens: int, now_s: float
    ) -> None:
        """Record a time to first token as a latency sample of the prefill stages."""
        members = self._members_of(chain.prefill_stages or chain.stages)
        if members and prompt_tokens > 0:
            token_s = max(_expected_gap_s(m) for m in members) / MIN_PREFILL_SPEEDUP
            ids = [m.upstream_id for m in members]
            self._health.record_first_token(ids, latency_s / (token_s * prompt_tokens))

    def record_token_gap(self, chain: Chain, *, gap_s: float, now_s: float) -> None:
        """Record a mean inter-token latency as a sample of the stages and links."""
        members = self._members_of(chain.stages)
        if not members:
            return
        gap = gap_s / max(_expected_gap_s(m) for m in members)
        zones = [m.zone for m in members]
        crossed = {_link_id(a, b) for a, b in zip(zones, zones[1:], strict=False)}
        self._health.record_token_gap(
            [*(m.upstream_id for m in members), *crossed], gap
        )

    def _members_of(self, stages: Sequence[Stage]) -> list[Member]:
        found = (self._members.get(stage.upstream_id) for stage in stages)
        return [member for member in found if member is not None]

    def record_upstream_failure(self, upstream_id: str, *, now_s: float) -> None:
        """Count a failure of an upstream."""
        self._health.record_failure(upstream_id, now_s=now_s)
        self._apply_health((upstream_id,), now_s)

    def record_upstream_success(self, upstream_id: str, *, now_s: float) -> None:
        """Count a success of an upstream."""
        self._health.record_success(upstream_id, now_s=now_s)
        self._apply_health((upstream_id,), now_s)

    def apply_probe_result(
        self, upstream_id: str, *, succeeded: bool, latency_s: float, now_s: float
    ) -> None:
        """Apply the result of a health probe."""
        self._health.apply_probe_result(upstream_id, succeeded=succeeded, now_s=now_s)
        self._apply_health((upstream_id,), now_s)

    def probes_due(self, now_s: float) -> tuple[str, ...]:
        """Return the upstreams to probe now, each once until its result arrives.

        Also does the periodic work: detects latency outliers, advances slow start,
        expires load reports and recomputes flows, at most every REPLAN_INTERVAL_S.
        """
        changed = self._health.check_latency(now_s)
        if changed & self._link_ids:
            self._stale_models |= self._fleets.keys()
        self._apply_health(changed | self._ramping, now_s)
        if now_s >= self._last_expiry_s + EXPIRY_INTERVAL_S:
            self._last_expiry_s = now_s
            self._refresh_members(self._inflight.expire(now_s))
            self._update_host_count()
        if self._stale_models and now_s >= self._last_plan_s + REPLAN_INTERVAL_S:
            self._plan_models(self._stale_models, now_s)
        return self._health.probes_due(now_s)

    def _apply_health(self, ids: Iterable[str], now_s: float) -> None:
        for key in sorted(ids):
            member = self._members.get(key)
            if member is None:
                continue
            service_changed = self._apply_member_health(member, now_s)
            for plan in self._plans[member.upstream.model].plans:
                plan.refresh(member, service_changed=service_changed)
            if self._health.capacity_share(key) != member.planned_share:
                self._stale_models.add(member.upstream.model)

    # Capacity

    def tokens_per_s(self, model: str, now_s: float) -> float:
        """Return the achievable throughput of a model's upstreams in service."""
        plans = self._plans.get(model)
        return plans.tokens_per_s if plans else 0.0

    def free_slots(self, model: str) -> int:
        """Return how many requests of a model could start now."""
        plans = self._plans.get(model)
        return plans.free_slots() if plans else 0


def _prefer_uncovered(found: NoRoute, other: list[list[Member]] | NoRoute) -> NoRoute:
    if isinstance(other, NoRoute) and not other.covered:
        return other
    return found


def _link_id(from_zone: str, to_zone: str) -> str:
    return f"link:{from_zone}>{to_zone}"


def _expected_gap_s(member: Member) -> float:
    """Return the inter-token time expected by the declared throughput, in seconds."""
    upstream = member.upstream
    running = max(member.load.total_requests, BATCH_FLOOR_SHARE * upstream.slots)
    return running / upstream.tokens_per_s
