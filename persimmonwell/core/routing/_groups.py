"""Hold upstreams by layer range and zone, and pick one of a group."""

import random
from collections.abc import Callable

import attrs

from persimmonwell.core._types import LayerRange, Stage, Upstream
from persimmonwell.core.routing._bound import GroupKey
from persimmonwell.core.routing._inflight import UpstreamLoad

PICK_TRIES = 4
"""Draws for one weighted sample before the last usable draw is taken as it is."""

HEADROOM_MIN_SLOTS = 8
"""An upstream with so many slots, shared by several hosts, keeps one for urgent
requests. The hosts together start one or two requests too many on a full engine,
and an urgent one would wait there for the end of another."""


@attrs.define(eq=False)
class Member:
    """Hold one live upstream with what choosing it needs."""

    upstream: Upstream
    upstream_id: str
    zone: str
    stage: Stage
    load: UpstreamLoad
    speed: float
    """Throughput weighed by health, tokens per second; 0 when ejected."""
    limit: int
    """Requests it may have in flight: its slots, fewer during slow start."""
    hosts: int = 1
    """Entry hosts that share the upstream, as far as this one hears from them."""
    planned_share: float = 1.0
    """Share of its throughput that the flow counts on."""

    @property
    def planned_tokens_per_s(self) -> float:
        """Return the capacity that the flow counts on."""
        return self.upstream.tokens_per_s * self.planned_share

    @property
    def in_service(self) -> bool:
        """Return whether the upstream is not ejected."""
        return self.speed > 0

    def free_slots(self, *, urgent: bool) -> int:
        """Return the estimated number of requests it could start now."""
        if self.speed <= 0:
            return 0
        limit = self.limit
        if not urgent and self.hosts > 1 and limit >= HEADROOM_MIN_SLOTS:
            limit -= 1
        return max(0, self.load.free_for_host(limit, hosts=self.hosts))


def member_of(upstream: Upstream, load: UpstreamLoad) -> Member:
    """Return a member in full health."""
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


class _FreePool:
    """Hold the members with free slots for one kind of request."""

    def __init__(self, *, urgent: bool) -> None:
        self.urgent = urgent
        self.members: list[Member] = []
        self.slots = 0
        self._positions: dict[str, int] = {}
        self._counted: dict[str, int] = {}

    def refresh(self, member: Member) -> bool:
        """Recount a member's free slots; return whether the pool ran out or opened."""
        key = member.upstream_id
        slots = member.free_slots(urgent=self.urgent)
        before = bool(self.members)
        self.slots += slots - self._counted.get(key, 0)
        self._counted[key] = slots
        position = self._positions.get(key)
        if slots and position is None:
            self._positions[key] = len(self.members)
            self.members.append(member)
        elif not slots and position is not None:
            self._remove(key, position)
        return before != bool(self.members)

    def _remove(self, key: str, position: int) -> None:
        last = self.members.pop()
        del self._positions[key]
        if position < len(self.members):
            self.members[position] = last
            self._positions[last.upstream_id] = position

    def has(self, upstream_id: str) -> bool:
        """Return whether this member has a free slot."""
        return upstream_id in self._positions

    def scan(self, offset: int, excluded: frozenset[str]) -> Member | None:
        """Return the first member from an offset on that is not excluded."""
        # One more step than there are excluded ids meets every usable case.
        members = self.members
        for step in range(min(len(members), len(excluded) + 1)):
            member = members[(offset + step) % len(members)]
            if member.upstream_id not in excluded:
                return member
        return None


class Group:
    """Hold the members of one layer range and zone, those with free slots apart."""

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.members: list[Member] = []
        self._urgent = _FreePool(urgent=True)
        self._other = _FreePool(urgent=False)
        self._top_speed = 0.0

    @property
    def free_slots(self) -> int:
        """Return the free slots of all members."""
        return self._urgent.slots

    def _pool(self, urgent: bool) -> _FreePool:
        return self._urgent if urgent else self._other

    def add(self, member: Member) -> None:
        """Add a member."""
        self.members.append(member)
        self._top_speed = max(self._top_speed, member.upstream.tokens_per_s)
        self.refresh(member)

    def refresh(self, member: Member) -> bool:
        """Recount a member's free slots; return whether the group ran out or opened."""
        urgent_changed = self._urgent.refresh(member)
        return self._other.refresh(member) or urgent_changed

    def has_free(self, excluded: frozenset[str], *, urgent: bool) -> bool:
        """Return whether a member outside the excluded ones has a free slot."""
        return self._pool(urgent).scan(0, excluded) is not None

    def is_free(self, upstream_id: str, *, urgent: bool) -> bool:
        """Return whether this member has a free slot."""
        return self._pool(urgent).has(upstream_id)

    def pick(
        self, rng: random.Random, excluded: frozenset[str], *, urgent: bool
    ) -> Member | None:
        """Return the less loaded of two members drawn in proportion to speed."""
        pool = self._pool(urgent)
        if excluded or len(pool.members) < 2:
            return self._pick_outside(pool, rng, excluded)
        first = self._draw(pool.members, rng.random)
        second = self._draw(pool.members, rng.random)
        first_load = (first.load.total + 1) * second.speed
        second_load = (second.load.total + 1) * first.speed
        return first if first_load <= second_load else second

    def _draw(self, free: list[Member], draw: Callable[[], float]) -> Member:
        count = len(free)
        top_speed = self._top_speed
        for _ in range(PICK_TRIES):
            member = free[int(draw() * count)]
            if draw() * top_speed <= member.speed:
                break
        return member

    def _pick_outside(
        self, pool: _FreePool, rng: random.Random, excluded: frozenset[str]
    ) -> Member | None:
        if not pool.members:
            return None
        for _ in range(PICK_TRIES):
            member = self._draw(pool.members, rng.random)
            if member.upstream_id not in excluded:
                return member
        return pool.scan(int(rng.random() * len(pool.members)), excluded)

    def is_covered(self, excluded: frozenset[str]) -> bool:
        """Return whether a member in service is outside the excluded ones."""
        return any(m.in_service and m.upstream_id not in excluded for m in self.members)
