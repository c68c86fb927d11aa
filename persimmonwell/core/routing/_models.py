"""Routing plans of one model, by the roles that its engines declare."""

from collections.abc import Callable

import attrs

from persimmonwell.core._types import Upstream, UpstreamRole
from persimmonwell.core.routing._bound import has_covering_chain
from persimmonwell.core.routing._groups import Member
from persimmonwell.core.routing._links import LinkLimiter, LinkTable
from persimmonwell.core.routing._plan import Plan

DECODE_ROLES = frozenset({UpstreamRole.ANY, UpstreamRole.DECODE})
PREFILL_ROLES = frozenset({UpstreamRole.ANY, UpstreamRole.PREFILL})
COMBINED_ROLES = frozenset({UpstreamRole.ANY})


@attrs.frozen
class ModelFleet:
    """Live upstreams of one model."""

    total_layers: int
    upstreams: tuple[Upstream, ...]

    @property
    def is_disaggregated(self) -> bool:
        """Return whether engines declare prefill or decode roles."""
        return any(u.role is not UpstreamRole.ANY for u in self.upstreams)

    @property
    def role_sets(self) -> tuple[frozenset[UpstreamRole], ...]:
        """Return the roles that must together cover the model, by kind of chain."""
        if self.is_disaggregated:
            return (COMBINED_ROLES, DECODE_ROLES, PREFILL_ROLES)
        return (COMBINED_ROLES,)

    def loses_coverage(self, in_service: Callable[[str], bool]) -> bool:
        """Return whether all upstreams cover a phase that those in service do not."""
        for roles in self.role_sets:
            eligible = [u for u in self.upstreams if u.role in roles]
            in_service_layers = [
                u.layers for u in eligible if in_service(u.upstream_id)
            ]
            if has_covering_chain(in_service_layers, self.total_layers):
                continue
            if has_covering_chain((u.layers for u in eligible), self.total_layers):
                return True
        return False


@attrs.frozen(eq=False)
class ModelPlans:
    """Plans of one model; a disaggregated model may have all three."""

    combined: Plan | None
    """Chains that run both phases."""
    decode: Plan | None = None
    prefill: Plan | None = None

    @property
    def plans(self) -> tuple[Plan, ...]:
        """Return the plans that exist."""
        return tuple(p for p in (self.combined, self.decode, self.prefill) if p)

    @property
    def tokens_per_s(self) -> float:
        """Return the maximum flow of generated tokens."""
        plan = self.decode or self.combined
        return plan.flow.tokens_per_s if plan else 0.0

    def free_slots(self) -> int:
        """Return how many requests could start now."""
        if self.decode and self.prefill:
            # Both plans include the upstreams without a role, so chains that run both
            # phases are counted in each.
            return min(self.decode.free_slots(), self.prefill.free_slots())
        return self.combined.free_slots() if self.combined else 0


def make_plans(
    fleet: ModelFleet,
    members: tuple[Member, ...],
    *,
    links: LinkTable,
    home_zone: str,
    link_limiter: LinkLimiter,
) -> ModelPlans:
    """Compute the plans that the roles of a model's upstreams allow."""

    def make_plan(roles: frozenset[UpstreamRole]) -> Plan | None:
        eligible = [m for m in members if m.upstream.role in roles]
        if not eligible:
            return None
        return Plan(
            eligible,
            links=links,
            total_layers=fleet.total_layers,
            home_zone=home_zone,
            link_limiter=link_limiter,
        )

    if not fleet.is_disaggregated:
        return ModelPlans(combined=make_plan(COMBINED_ROLES))
    return ModelPlans(
        combined=make_plan(COMBINED_ROLES),
        decode=make_plan(DECODE_ROLES),
        prefill=make_plan(PREFILL_ROLES),
    )
