"""Groups of interchangeable upstreams, by layer range and zone."""

import random
from collections.abc import Callable

import attrs

from persimmonwell.core._types import LayerRange, Stage, Upstream
from persimmonwell.core.routing._bound import GroupKey
from persimmonwell.core.routing._inflight import UpstreamLoad

MAX_PICK_DRAWS = 4
"""Draws per weighted sample; after the last one, its upstream is used regardless of
speed."""

URGENT_RESERVE_MIN_SLOTS = 8
"""An upstream shared by several hosts reserves one slot for urgent requests if it has
at least this many. The hosts together overfill a full engine by one or two requests,
and an urgent one would wait there until another ends."""


@attrs.define(eq=False)
class Member:
    """One live upstream with the state needed to choose it."""

    upstream: Upstream
    upstream_id: str
    zone: str
    stage: Stage
    load: UpstreamLoad
    speed: float
    """Throughput weighted by health, in tokens per second; 0 when ejected."""
    limit: int
    """Maximum requests in flight: the slots, fewer during slow start."""
    host_count: int = 1
    """Entry hosts that share the upstream: this one and the peers heard from lately."""
    planned_share: float = 1.0
    """Share of the declared throughput that the flow computation assumes."""

    @property
    def planned_tokens_per_s(self) -> float:
        """Return the capacity that the flow computation assumes."""
        return self.upstream.tokens_per_s * self.planned_share

    @property
    def in_service(self) -> bool:
        """Return whether the upstream is not ejected."""
        return self.speed > 0

    def free_slots(self, *, urgent: bool) -> int:
        """Return the estimated number of requests that could start there now."""
        if self.speed <= 0:
            return 0
        limit = self.limit
        if not urgent and self.host_count > 1 and limit >= URGENT_RESERVE_MIN_SLOTS:
            limit -= 1
        return max(0, self.load.free_for_host(limit, host_count=self.host_count))


def make_member(upstream: Upstream, load: UpstreamLoad) -> Member:
    """Return a member for an upstream in full health."""
    layers = LayerRange(upstream.layers.start, upstream.layers.stop)
    stage = Stage(upstream.upstream_id, upstream.address, layers)
    return Member(
        upstream=upstream,
        upstream_id=upstream.upstream_id,
        zone=upstream.availability_zone,
        stage=stage,
        load=load,
        speed=upstream.tokens_per_s,
        limit=upstream.slots,
    )


class _FreeMembers:
    """Members of a group with a free slot, for urgent or for other requests."""

    def __init__(self, *, urgent: bool) -> None:
        self.urgent = urgent
        self.members: list[Member] = []
        self.slots = 0
        self._positions: dict[str, int] = {}
        self._counted: dict[str, int] = {}

    def refresh(self, member: Member) -> bool:
        """Recount a member's free slots; return whether availability changed."""
        key = member.upstream_id
        slots = member.free_slots(urgent=self.urgent)
        was_available = bool(self.members)
        self.slots += slots - self._counted.get(key, 0)
        self._counted[key] = slots
        position = self._positions.get(key)
        if slots and position is None:
            self._positions[key] = len(self.members)
            self.members.append(member)
        elif not slots and position is not None:
            self._remove(key, position)
        return was_available != bool(self.members)

    def _remove(self, key: str, position: int) -> None:
        last = self.members.pop()
        del self._positions[key]
        if position < len(self.members):
            self.members[position] = last
            self._positions[last.upstream_id] = position

    def contains(self, upstream_id: str) -> bool:
        """Return whether the member with this id has a free slot."""
        return upstream_id in self._positions

    def first_not_excluded(
        self, offset: int, excluded: frozenset[str]
    ) -> Member | None:
        """Return the first member that is not excluded, searching from an offset."""
        # One more member than there are excluded ids is always enough.
        members = self.members
        for step in range(min(len(members), len(excluded) + 1)):
            member = members[(offset + step) % len(members)]
            if member.upstream_id not in excluded:
                return member
        return None


class Group:
    """Upstreams of one layer range and zone, with an index of those with free slots."""

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.members: list[Member] = []
        self._urgent = _FreeMembers(urgent=True)
        self._non_urgent = _FreeMembers(urgent=False)
        self._top_speed = 0.0

    @property
    def free_slots(self) -> int:
        """Return the sum of free slots of all members."""
        return self._urgent.slots

    def _pool(self, urgent: bool) -> _FreeMembers:
        return self._urgent if urgent else self._non_urgent

    def add(self, member: Member) -> None:
        """Add an upstream to the group."""
        self.members.append(member)
        self._top_speed = max(self._top_speed, member.upstream.tokens_per_s)
        self.refresh(member)

    def refresh(self, member: Member) -> bool:
        """Recount a member's free slots; return whether availability changed."""
        urgent_changed = self._urgent.refresh(member)
        return self._non_urgent.refresh(member) or urgent_changed

    def has_free(self, excluded: frozenset[str], *, urgent: bool) -> bool:
        """Return whether a member that is not excluded has a free slot."""
        return self._pool(urgent).first_not_excluded(0, excluded) is not None

    def is_free(self, upstream_id: str, *, urgent: bool) -> bool:
        """Return whether the member with this id has a free slot."""
        return self._pool(urgent).contains(upstream_id)

    def pick_member(
        self, rng: random.Random, excluded: frozenset[str], *, urgent: bool
    ) -> Member | None:
        """Return the less loaded of two members sampled in proportion to speed."""
        pool = self._pool(urgent)
        if excluded or len(pool.members) < 2:
            return self._pick_not_excluded(pool, rng, excluded)
        first = self._draw_by_speed(pool.members, rng.random)
        second = self._draw_by_speed(pool.members, rng.random)
        first_load = (first.load.total_requests + 1) * second.speed
        second_load = (second.load.total_requests + 1) * first.speed
        return first if first_load <= second_load else second

    def _draw_by_speed(self, free: list[Member], draw: Callable[[], float]) -> Member:
        count = len(free)
        top_speed = self._top_speed
        for _ in range(MAX_PICK_DRAWS):
            member = free[int(draw() * count)]
            if draw() * top_speed <= member.speed:
                break
        return member

    def _pick_not_excluded(
        self, pool: _FreeMembers, rng: random.Random, excluded: frozenset[str]
    ) -> Member | None:
        if not pool.members:
            return None
        for _ in range(MAX_PICK_DRAWS):
            member = self._draw_by_speed(pool.members, rng.random)
            if member.upstream_id not in excluded:
                return member
        return pool.first_not_excluded(int(rng.random() * len(pool.members)), excluded)

    def has_member_in_service(self, excluded: frozenset[str]) -> bool:
        """Return whether a member in service is not excluded."""
        return any(m.in_service and m.upstream_id not in excluded for m in self.members)
