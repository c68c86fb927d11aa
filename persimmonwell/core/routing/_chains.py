"""Choose the chain of upstreams for each request."""

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
from persimmonwell.core.routing._cost import BATCH_FLOOR, CostModel, Work
from persimmonwell.core.routing._groups import Member, member_of
from persimmonwell.core.routing._health import HealthTracker
from persimmonwell.core.routing._inflight import InflightTracker
from persimmonwell.core.routing._links import LinkGate, LinkTable
from persimmonwell.core.routing._models import ModelFleet, ModelPlans, make_plans
from persimmonwell.core.routing._plan import Plan, Routes
from persimmonwell.core.routing._prefix import PrefixIndex

CANDIDATES = 3
"""Chains compared: one in the zone, one over cached prefixes if any, and the rest
drawn from the flow."""
PREFILL_SPEEDUP = 10.0
"""Prompt tokens that an engine prefills at least in the time of one decode step."""
MAX_PREFERRED = 8
"""Upstreams with the longest cached prefix that one choice considers."""
MAX_PREFIX_ENTRIES = 50_000
"""Bounds the prefix index to about 6 MB, at 125 bytes for each pair."""
REPLAN_INTERVAL_S = 0.5
"""Least time between two flow computations for changes of health."""
EXPIRY_INTERVAL_S = 1.0


@attrs.frozen
class NoRoute:
    """Report that no chain can start now."""

    reason: str
    covered: bool
    """Whether live upstreams cover the model and only lack free slots."""


class ChainRouter:
    """Hold the routing state of one entry host."""

    def __init__(self, *, seed: int, availability_zone: str) -> None:
        self._random = random.Random(seed)
        self._home_zone = availability_zone
        self._inflight = InflightTracker(seed=seed)
        self._health = HealthTracker(seed=seed, may_eject=self._may_eject)
        self._prefix = PrefixIndex(max_entries=MAX_PREFIX_ENTRIES)
        self._gate = LinkGate()
        self._costs = CostModel(home_zone=availability_zone, gate=self._gate)
        self._upstreams: dict[str, Upstream] = {}
        self._links: tuple[LinkCapacity, ...] = ()
        self._fleets: dict[str, ModelFleet] = {}
        self._plans: dict[str, ModelPlans] = {}
        self._members: dict[str, Member] = {}
        self._link_ids: set[str] = set()
        self._zones_in_flight: dict[tuple[str, ...], list[list[str]]] = {}
        self._ramping: set[str] = set()
        self._stale_models: set[str] = set()
        self._planned_s = float("-inf")
        self._expired_s = float("-inf")

    # Fleet

    def update_fleet(
        self,
        upstreams: tuple[Upstream, ...],
        links: tuple[LinkCapacity, ...],
        layers_by_model: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Replace the fleet; plans are computed anew for changed models only."""
        live = {u.upstream_id: u for u in upstreams if not u.leaving}
        self._forget_restarted(live)
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
        self._drop_unused()
        self._restore_coverage(now_s)
        self._plan_models(changed | self._stale_models, now_s)

    def _forget_restarted(self, live: Mapping[str, Upstream]) -> None:
        for upstream_id, old in self._upstreams.items():
            new = live.get(upstream_id)
            if new is None or new.incarnation != old.incarnation:
                self._prefix.forget(upstream_id)

    def _drop_unused(self) -> None:
        self._inflight.retain(set(self._upstreams))
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
        return not fleet.lost_coverage(lambda u: u != upstream_id and not ejected(u))

    def _restore_coverage(self, now_s: float) -> None:
        """Readmit ejected upstreams that a smaller fleet cannot do without."""
        for model, fleet in self._fleets.items():
            for upstream in fleet.upstreams:
                if not self._health.is_ejected(upstream.upstream_id):
                    continue
                if fleet.lost_coverage(lambda u: not self._health.is_ejected(u)):
                    self._health.readmit(upstream.upstream_id, now_s=now_s)
                    self._stale_models.add(model)

    def _plan_models(self, models: Iterable[str], now_s: float) -> None:
        links = self._current_links()
        self._costs.update_links(links)
        gaps = [u.slots / u.tokens_per_s for u in self._upstreams.values()]
        self._gate.update(links, full_gap_s=median(gaps) if gaps else 0.0)
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
                gate=self._gate,
            )
        self._stale_models.clear()
        self._planned_s = now_s

    def _current_links(self) -> LinkTable:
        zones = {u.availability_zone for u in self._upstreams.values()}
        shares = {
            (a, b): self._health.capacity_share(_link_id(a, b))
            for a in zones
            for b in zones
        }
        degraded = {pair: share for pair, share in shares.items() if share < 1.0}
        return LinkTable(self._links, shares=degraded)

    def _make_member(self, upstream: Upstream, now_s: float) -> Member:
        upstream_id = upstream.upstream_id
        member = member_of(upstream, self._inflight.load(upstream_id))
        self._members[upstream_id] = member
        member.hosts = 1 + self._inflight.peer_count
        member.planned_share = self._health.capacity_share(upstream_id)
        self._weigh(member, now_s)
        return member

    def _weigh(self, member: Member, now_s: float) -> bool:
        """Apply the health of an upstream; return whether its service changed."""
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
        work = Work(
            prompt_tokens=request.prompt_tokens,
            tokens=request.max_tokens,
            cached=self._cached(blocks),
            urgent=request.rank is Rank.URGENT,
        )
        chain = self._choose_split(plans, work, excluded)
        if isinstance(chain, NoRoute) and plans.whole is not None:
            whole = self._choose_whole(plans.whole, work, excluded)
            if isinstance(whole, Chain) or not chain.covered:
                chain = whole
        if isinstance(chain, Chain) and blocks:
            computing = chain.prefill_stages or chain.stages
            self._prefix.routed(blocks, tuple(s.upstream_id for s in computing))
        return chain

    def _cached(self, blocks: tuple[int, ...]) -> dict[str, float]:
        if not blocks:
            return {}
        confidence = self._prefix.confidence
        return {
            upstream_id: confidence(upstream_id) * matched / len(blocks)
            for upstream_id, matched in self._prefix.matches(blocks).items()
        }

    def _choose_whole(
        self, plan: Plan, work: Work, excluded: frozenset[str]
    ) -> Chain | NoRoute:
        candidates = self._candidates(plan, work, excluded)
        if isinstance(candidates, NoRoute):
            return candidates
        best = min(candidates, key=lambda chain: self._whole_s(chain, work))
        return Chain(stages=tuple(m.stage for m in best))

    def _whole_s(self, chain: Sequence[Member], work: Work) -> float:
        return self._costs.generation_s(chain, work) + self._costs.prefill_s(
            chain, work
        )

    def _choose_split(
        self, plans: ModelPlans, work: Work, excluded: frozenset[str]
    ) -> Chain | NoRoute:
        if plans.decode is None or plans.prefill is None:
            return NoRoute(reason="no engine declares a role", covered=False)
        decodes = self._candidates(plans.decode, work, excluded)
        prefills = self._candidates(plans.prefill, work, excluded)
        if isinstance(decodes, NoRoute):
            return _unless_uncovered(decodes, prefills)
        if isinstance(prefills, NoRoute):
            return prefills
        best = min(
            ((p, d) for p in prefills for d in decodes),
            key=lambda pair: self._split_s(pair[0], pair[1], work),
        )
        prefill, decode = best
        stages = tuple(m.stage for m in decode)
        if list(prefill) == list(decode):
            return Chain(stages=stages)
        return Chain(stages=stages, prefill_stages=tuple(m.stage for m in prefill))

    def _split_s(
        self, prefill: Sequence[Member], decode: Sequence[Member], work: Work
    ) -> float:
        return (
            self._costs.prefill_s(prefill, work)
            + self._costs.transfer_s(prefill, decode, work)
            + self._costs.generation_s(decode, work)
        )

    def _candidates(
        self, plan: Plan, work: Work, excluded: frozenset[str]
    ) -> list[list[Member]] | NoRoute:
        routes = plan.routes(excluded, urgent=work.urgent)
        if not routes.complete:
            full = "every chain lacks a free slot"
            gap = "live upstreams do not cover every layer"
            reason = full if routes.covered else gap
            return NoRoute(reason=reason, covered=routes.covered)
        walks = [routes.walk(self._random, excluded, local=True)]
        if work.cached:
            walks.append(self._cached_walk(routes, work, excluded))
        while len(walks) < CANDIDATES:
            walks.append(routes.walk(self._random, excluded))
        return [walk for walk in walks if walk]

    def _cached_walk(
        self, routes: Routes, work: Work, excluded: frozenset[str]
    ) -> list[Member]:
        by_match = sorted(work.cached, key=lambda u: -work.cached[u])
        preferred = [
            self._members[upstream_id]
            for upstream_id in by_match[:MAX_PREFERRED]
            if upstream_id in self._members
        ]
        return routes.walk(self._random, excluded, local=True, preferred=preferred)

    # Requests in flight

    def started(self, chain: Chain, *, tokens: int, now_s: float) -> None:
        """Count a request with this estimate of tokens still to generate."""
        self._inflight.started(chain, tokens=tokens, now_s=now_s)
        zones = [m.zone for m in self._known(chain.stages)]
        self._zones_in_flight.setdefault(chain.upstream_ids, []).append(zones)
        if self._gate.count(zones, 1):
            self._reset_routes()
        self._recount(chain.upstream_ids)

    def progressed(self, chain: Chain, *, tokens: int, now_s: float) -> None:
        """Take generated tokens off the backlog.

        Their gap is evidence long before the end of a request on a slow stage.
        """
        gap_s = self._inflight.progressed(chain, tokens=tokens, now_s=now_s)
        if gap_s is not None:
            self.token_gap(chain, gap_s=gap_s, now_s=now_s)

    def finished(self, chain: Chain, *, now_s: float) -> None:
        """Stop counting a request that finished, failed or was cancelled."""
        if not self._inflight.finished(chain, now_s=now_s):
            return
        # The zones are kept from the start: a stage may have left the fleet since.
        started = self._zones_in_flight[chain.upstream_ids]
        if self._gate.count(started.pop(), -1):
            self._reset_routes()
        if not started:
            del self._zones_in_flight[chain.upstream_ids]
        self._recount(chain.upstream_ids)

    def _recount(self, upstream_ids: Iterable[str]) -> None:
        # In a fixed order: the order of free members decides what a seed draws.
        for upstream_id in sorted(upstream_ids):
            member = self._members.get(upstream_id)
            if member is not None:
                for plan in self._plans[member.upstream.model].plans:
                    plan.refresh(member)

    def load_reported(
        self, upstream_id: str, *, running: int, queued: int, age_s: float, now_s: float
    ) -> None:
        """Apply an engine's load report, which is age_s old."""
        self._inflight.load_reported(
            upstream_id, running=running, queued=queued, age_s=age_s, now_s=now_s
        )
        self._recount((upstream_id,))

    def peer_inflight(
        self, host_id: str, counts: tuple[InflightCount, ...], *, now_s: float
    ) -> None:
        """Apply the in-flight counts of another entry host."""
        self._recount(self._inflight.peer_inflight(host_id, counts, now_s=now_s))
        self._share_with_peers()

    def _share_with_peers(self) -> None:
        hosts = 1 + self._inflight.peer_count
        if not self._gate.share_with(hosts):
            return
        for member in self._members.values():
            member.hosts = hosts
        self._recount(tuple(self._members))
        self._reset_routes()

    def _reset_routes(self) -> None:
        for plans in self._plans.values():
            for plan in plans.plans:
                plan.reset_routes()

    def inflight(self) -> tuple[InflightCount, ...]:
        """Return what this host has in flight, largest first."""
        return self._inflight.inflight()

    def cache_reported(
        self,
        upstream_id: str,
        *,
        sequence: int,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
    ) -> None:
        """Apply a prefix-cache event of an engine."""
        if upstream_id in self._upstreams:
            self._prefix.cache_event(
                upstream_id, sequence=sequence, stored=stored, evicted=evicted
            )

    # Health

    def first_token(
        self, chain: Chain, *, latency_s: float, prompt_tokens: int, now_s: float
    ) -> None:
        """Take a time to first token as evidence about the prefill stages."""
        members = self._known(chain.prefill_stages or chain.stages)
        if members and prompt_tokens > 0:
            token_s = max(_full_gap_s(m) for m in members) / PREFILL_SPEEDUP
            ids = [m.upstream_id for m in members]
            self._health.first_token(ids, latency_s / (token_s * prompt_tokens))

    def token_gap(self, chain: Chain, *, gap_s: float, now_s: float) -> None:
        """Take a mean inter-token latency as evidence about stages and links."""
        members = self._known(chain.stages)
        if not members:
            return
        gap = gap_s / max(_full_gap_s(m) for m in members)
        zones = [m.zone for m in members]
        crossed = {_link_id(a, b) for a, b in zip(zones, zones[1:], strict=False)}
        self._health.token_gap([*(m.upstream_id for m in members), *crossed], gap)

    def _known(self, stages: Sequence[Stage]) -> list[Member]:
        found = (self._members.get(stage.upstream_id) for stage in stages)
        return [member for member in found if member is not None]

    def upstream_failed(self, upstream_id: str, *, now_s: float) -> None:
        """Count a failure of an upstream."""
        self._health.failed(upstream_id, now_s=now_s)
        self._apply_health((upstream_id,), now_s)

    def upstream_succeeded(self, upstream_id: str, *, now_s: float) -> None:
        """Count a success of an upstream."""
        self._health.succeeded(upstream_id, now_s=now_s)
        self._apply_health((upstream_id,), now_s)

    def probe_result(
        self, upstream_id: str, *, succeeded: bool, latency_s: float, now_s: float
    ) -> None:
        """Apply the answer to a probe."""
        self._health.probe_result(upstream_id, succeeded=succeeded, now_s=now_s)
        self._apply_health((upstream_id,), now_s)

    def probes_due(self, now_s: float) -> tuple[str, ...]:
        """Return the upstreams to probe now; each once until its result.

        Also does the periodic work: latency outliers, slow start, expiry of
        reports and, at most every REPLAN_INTERVAL_S, the flow.
        """
        changed = self._health.check_latency(now_s)
        if changed & self._link_ids:
            self._stale_models |= self._fleets.keys()
        self._apply_health(changed | self._ramping, now_s)
        if now_s >= self._expired_s + EXPIRY_INTERVAL_S:
            self._expired_s = now_s
            self._recount(self._inflight.expire(now_s))
            self._share_with_peers()
        if self._stale_models and now_s >= self._planned_s + REPLAN_INTERVAL_S:
            self._plan_models(self._stale_models, now_s)
        return self._health.probes_due(now_s)

    def _apply_health(self, ids: Iterable[str], now_s: float) -> None:
        for key in sorted(ids):
            member = self._members.get(key)
            if member is None:
                continue
            service_changed = self._weigh(member, now_s)
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


def _unless_uncovered(found: NoRoute, other: list[list[Member]] | NoRoute) -> NoRoute:
    if isinstance(other, NoRoute) and not other.covered:
        return other
    return found


def _link_id(from_zone: str, to_zone: str) -> str:
    return f"link:{from_zone}>{to_zone}"


def _full_gap_s(member: Member) -> float:
    """Return the gap to expect at an upstream by its declared throughput."""
    upstream = member.upstream
    running = max(member.load.total, BATCH_FLOOR * upstream.slots)
    return running / upstream.tokens_per_s
