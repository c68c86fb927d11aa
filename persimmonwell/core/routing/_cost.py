"""Estimate what a request costs on a chain, in seconds."""

from collections.abc import Mapping, Sequence

import attrs

from persimmonwell.core.routing._groups import Member
from persimmonwell.core.routing._links import LinkGate, LinkTable

BATCH_FLOOR = 0.25
"""Share of the slots up to which another request does not slow a batch down."""
BALANCE_SHARE = 0.1
"""Weight of the mean stage beside the slowest, so that equals are balanced."""
PREFILL_SPEEDUP = 16.0
"""Prompt tokens computed in the time of one generated token."""
KV_ACTIVATIONS_PER_LAYER = 0.25
"""Size of one token's KV entry in one layer, in activations, with eight query
heads for each key-value head."""


@attrs.frozen
class Work:
    """Describe what a request asks of a chain."""

    prompt_tokens: int
    tokens: int
    """Tokens to generate at most."""
    cached: Mapping[str, float]
    """Share of the prompt probably cached, by upstream."""
    urgent: bool = False
    """Whether it may use the slots kept for urgent requests."""


class CostModel:
    """Hold the links and their load."""

    def __init__(self, *, home_zone: str, gate: LinkGate) -> None:
        self._home_zone = home_zone
        self._gate = gate
        self._links = LinkTable()

    def update_links(self, links: LinkTable) -> None:
        """Replace the links."""
        self._links = links

    def generation_s(self, chain: Sequence[Member], work: Work) -> float:
        """Return the time to generate the tokens.

        Each token takes the slowest stage or link under its load, and the
        latency of every link, back to the first stage and to the host included.
        """
        slowest = total = latency = 0.0
        first = zone = chain[0].zone
        for member in chain:
            running = member.load.effective(work.tokens) + 1
            token_s = running / member.speed
            total += token_s
            floor_s = BATCH_FLOOR * member.limit / member.speed
            slowest = max(slowest, token_s, floor_s)
            if zone != member.zone:
                slowest = max(slowest, self._gate.token_s(zone, member.zone))
                latency += self._latency_s(zone, member.zone)
                zone = member.zone
        latency += self._latency_s(zone, first) + self._latency_s(
            self._home_zone, first
        )
        balance = BALANCE_SHARE * total / len(chain)
        return work.tokens * (slowest + latency + balance)

    def _latency_s(self, from_zone: str, to_zone: str) -> float:
        if from_zone == to_zone:
            return 0.0
        return self._links.get(from_zone, to_zone).latency_s

    def prefill_s(self, chain: Sequence[Member], work: Work) -> float:
        """Return the time to compute the part of the prompt that is not cached."""
        seconds = 0.0
        for member in chain:
            new = 1.0 - work.cached.get(member.upstream_id, 0.0)
            seconds += new / (PREFILL_SPEEDUP * member.speed)
        return work.prompt_tokens * seconds

    def transfer_s(
        self, prefill: Sequence[Member], decode: Sequence[Member], work: Work
    ) -> float:
        """Return the time to move the prompt's KV entries between two chains.

        Pairs transfer at once, so the slowest pair counts.
        """
        slowest = 0.0
        for source in prefill:
            for target in decode:
                slowest = max(slowest, self._pair_transfer_s(source, target, work))
        return slowest

    def _pair_transfer_s(self, source: Member, target: Member, work: Work) -> float:
        a, b = source.upstream, target.upstream
        start = max(a.layers.start, b.layers.start)
        shared = min(a.layers.stop, b.layers.stop) - start
        if shared <= 0 or a.upstream_id == b.upstream_id:
            return 0.0
        link = self._links.get(a.availability_zone, b.availability_zone)
        activations = work.prompt_tokens * shared * KV_ACTIVATIONS_PER_LAYER
        return activations / link.tokens_per_s + link.latency_s
