"""Hold the plans of one model, by the roles its engines declare."""

from collections.abc import Callable

import attrs

from persimmonwell.core._types import Upstream, UpstreamRole
from persimmonwell.core.routing._bound import covers
from persimmonwell.core.routing._groups import Member
from persimmonwell.core.routing._links import LinkGate, LinkTable
from persimmonwell.core.routing._plan import Plan

DECODE_ROLES = frozenset({UpstreamRole.ANY, UpstreamRole.DECODE})
PREFILL_ROLES = frozenset({UpstreamRole.ANY, UpstreamRole.PREFILL})
WHOLE_ROLES = frozenset({UpstreamRole.ANY})


@attrs.frozen
class ModelFleet:
    """Hold the live upstreams of one model."""

    total_layers: int
    upstreams: tuple[Upstream, ...]

    @property
    def is_split(self) -> bool:
        """Return whether engines declare prefill or decode roles."""
        return any(u.role is not UpstreamRole.ANY for u in self.upstreams)

    @property
    def phases(self) -> tuple[frozenset[UpstreamRole], ...]:
        """Return the roles that must cover the model together, by phase."""
        if self.is_split:
            return (WHOLE_ROLES, DECODE_ROLES, PREFILL_ROLES)
        return (WHOLE_ROLES,)

    def lost_coverage(self, in_service: Callable[[str], bool]) -> bool:
        """Return whether some phase is covered by all, but not by those in service."""
        for roles in self.phases:
            holders = [u for u in self.upstreams if u.role in roles]
            serving = [u.layers for u in holders if in_service(u.upstream_id)]
            if covers(serving, self.total_layers):
                continue
            if covers((u.layers for u in holders), self.total_layers):
                return True
        return False


@attrs.frozen(eq=False)
class ModelPlans:
    """Hold the plans of one model; a split model may have all three."""

    whole: Plan | None
    """Chains that run both phases."""
    decode: Plan | None = None
    prefill: Plan | None = None

    @property
    def plans(self) -> tuple[Plan, ...]:
        """Return the plans there are."""
        return tuple(p for p in (self.whole, self.decode, self.prefill) if p)

    @property
    def tokens_per_s(self) -> float:
        """Return the maximum flow of generated tokens."""
        plan = self.decode or self.whole
        return plan.flow.tokens_per_s if plan else 0.0

    def free_slots(self) -> int:
        """Return how many requests could start now."""
        if self.decode and self.prefill:
            # Both graphs hold the upstreams without a role, so the chains that
            # run both phases are counted in each.
            return min(self.decode.free_slots(), self.prefill.free_slots())
        return self.whole.free_slots() if self.whole else 0


def make_plans(
    fleet: ModelFleet,
    members: tuple[Member, ...],
    *,
    links: LinkTable,
    home_zone: str,
    gate: LinkGate,
) -> ModelPlans:
    """Compute the plans of a model."""

    def plan(roles: frozenset[UpstreamRole]) -> Plan | None:
        holders = [m for m in members if m.upstream.role in roles]
        if not holders:
            return None
        return Plan(
            holders,
            links=links,
            total_layers=fleet.total_layers,
            home_zone=home_zone,
            gate=gate,
        )

    if not fleet.is_split:
        return ModelPlans(whole=plan(WHOLE_ROLES))
    return ModelPlans(
        whole=plan(WHOLE_ROLES),
        decode=plan(DECODE_ROLES),
        prefill=plan(PREFILL_ROLES),
    )
