"""Cost model: the estimated time of a request on a chain, in seconds."""

from collections.abc import Mapping, Sequence

import attrs

from persimmonwell.core.routing._groups import Member
from persimmonwell.core.routing._links import LinkLimiter, LinkTable

BATCH_FLOOR_SHARE = 0.25
"""Share of the slots up to which another request does not slow the batch down."""
MEAN_STAGE_WEIGHT = 0.1
"""Weight of the mean stage time added to the slowest one, which balances chains with
equally slow bottlenecks."""
PREFILL_SPEEDUP = 16.0
"""Prompt tokens prefilled in the time of one generated token."""
KV_ACTIVATIONS_PER_LAYER = 0.25
"""KV entry of one token in one layer, as a multiple of one activation; assumes eight
query heads per key-value head."""


@attrs.frozen
class RequestDemand:
    """Work that a request puts on a chain."""

    prompt_tokens: int
    tokens: int
    """Maximum number of tokens to generate."""
    cached: Mapping[str, float]
    """Share of the prompt that is probably cached, by upstream id."""
    urgent: bool = False
    """Whether the request may use the slots reserved for urgent requests."""


class CostModel:
    """Cost estimates from the load of upstreams and links."""

    def __init__(self, *, home_zone: str, link_limiter: LinkLimiter) -> None:
        self._home_zone = home_zone
        self._link_limiter = link_limiter
        self._links = LinkTable()

    def update_links(self, links: LinkTable) -> None:
        """Replace the links between zones."""
        self._links = links

    def generation_s(self, chain: Sequence[Member], demand: RequestDemand) -> float:
        """Return the time to generate the tokens, in seconds.

        Each token takes the time of the slowest stage or link under its load, plus
        the latency of every link, including those back to the first stage and to the
        host.
        """
        slowest = total = latency = 0.0
        first = zone = chain[0].zone
        for member in chain:
            running = member.load.mean_concurrency(demand.tokens) + 1
            token_s = running / member.speed
            total += token_s
            floor_s = BATCH_FLOOR_SHARE * member.limit / member.speed
            slowest = max(slowest, token_s, floor_s)
            if zone != member.zone:
                slowest = max(
                    slowest, self._link_limiter.token_time_s(zone, member.zone)
                )
                latency += self._latency_s(zone, member.zone)
                zone = member.zone
        latency += self._latency_s(zone, first) + self._latency_s(
            self._home_zone, first
        )
        balance = MEAN_STAGE_WEIGHT * total / len(chain)
        return demand.tokens * (slowest + latency + balance)

    def _latency_s(self, from_zone: str, to_zone: str) -> float:
        if from_zone == to_zone:
            return 0.0
        return self._links.get(from_zone, to_zone).latency_s

    def prefill_s(self, chain: Sequence[Member], demand: RequestDemand) -> float:
        """Return the time to prefill the uncached part of the prompt, in seconds."""
        seconds = 0.0
        for member in chain:
            uncached_share = 1.0 - demand.cached.get(member.upstream_id, 0.0)
            seconds += uncached_share / (PREFILL_SPEEDUP * member.speed)
        return demand.prompt_tokens * seconds

    def transfer_s(
        self, prefill: Sequence[Member], decode: Sequence[Member], demand: RequestDemand
    ) -> float:
        """Return the time to transfer the prompt's KV cache between two chains.

        Pairs of stages transfer in parallel, so the slowest pair decides.
        """
        slowest = 0.0
        for source in prefill:
            for target in decode:
                slowest = max(slowest, self._pair_transfer_s(source, target, demand))
        return slowest

    def _pair_transfer_s(
        self, source: Member, target: Member, demand: RequestDemand
    ) -> float:
        source_upstream, target_upstream = source.upstream, target.upstream
        start = max(source_upstream.layers.start, target_upstream.layers.start)
        shared = min(source_upstream.layers.stop, target_upstream.layers.stop) - start
        if shared <= 0 or source_upstream.upstream_id == target_upstream.upstream_id:
            return 0.0
        link = self._links.get(
            source_upstream.availability_zone, target_upstream.availability_zone
        )
        activations = demand.prompt_tokens * shared * KV_ACTIVATIONS_PER_LAYER
        return activations / link.tokens_per_s + link.latency_s
