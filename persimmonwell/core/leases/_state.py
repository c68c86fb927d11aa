"""Lease state of one host: take-over, renewal and the check before each order."""

import zlib

import attrs

from persimmonwell.core.leases import _events as ev
from persimmonwell.core.leases._fold import (
    Holder,
    LeaseFold,
    LeaseRecord,
    encode_lease,
)

LEASES_STREAM = "leases"


@attrs.frozen
class LeaseLimits:
    """Timing parameters of leases."""

    ttl_s: float = 10.0
    margin_s: float = 0.5
    """Added to the time without a renewal after which a claimant takes a lease."""
    clock_rate_bound: float = 0.01
    """Largest relative difference between the clock rates of two hosts."""
    order_timeout_s: float = 5.0
    """Longest time from the send of an order to its last effect on the engine."""
    renew_after_fraction: float = 0.3
    """Fraction of the TTL after which the holder renews."""
    takeover_jitter_s: float = 1.0
    """Range over which claimants spread their appends once a lease has expired."""


@attrs.frozen
class HeldLease:
    """Lease that this host holds, on this host's clock."""

    fence: int
    until_s: float
    """End of the lease, counted from the time before its record was appended."""
    unfenced_from_s: float
    """Earliest send of an order to an upstream that does not check fencing tokens."""


@attrs.define
class _TrackedLease:
    """State of one lease as this host observes it."""

    last_record_s: float
    """Time at which the last valid record was folded."""
    held_lease: HeldLease | None = None
    append_in_flight: bool = False
    append_started_s: dict[str, float] = attrs.field(factory=dict)
    """Time before the append of each own record not folded yet, by record id."""
    last_append_s: float = float("-inf")


class LeasesState:
    """Leases known from the log, and the ones that this host holds."""

    def __init__(
        self, *, host_id: str, incarnation: str, limits: LeaseLimits | None = None
    ) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._limits = limits or LeaseLimits()
        self._fold = LeaseFold()
        self._wanted_names: frozenset[str] = frozenset()
        self._tracked: dict[str, _TrackedLease] = {}
        self._record_count = 0
        self._caught_up_s = float("-inf")

    @property
    def fold(self) -> LeaseFold:
        """Return the view of the leases stream."""
        return self._fold

    def held_lease(self, name: str) -> HeldLease | None:
        """Return the lease if this host is its last holder, even if it has expired."""
        tracked = self._tracked.get(name)
        return None if tracked is None else tracked.held_lease

    def may_send(
        self, name: str, *, checks_fencing: bool, timeout_s: float, now_s: float
    ) -> bool:
        """Return whether an order may be sent now under the lease of this name."""
        held_lease = self.held_lease(name)
        return held_lease is not None and may_send(
            held_lease, checks_fencing=checks_fencing, timeout_s=timeout_s, now_s=now_s
        )

    def handle(
        self, event: ev.LeasesEvent, now_s: float
    ) -> tuple[ev.LeaseDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        decisions: list[ev.LeaseDecision] = []
        match event:
            case ev.LeasesWanted(names):
                self._wanted_names = names
            case ev.LeasesRead():
                decisions.extend(self._apply_read(event, now_s))
            case ev.LeaseAppendEnded(name):
                self._track(name, now_s).append_in_flight = False
            case ev.LeasesTick():
                pass
        if now_s - self._caught_up_s <= self._limits.ttl_s:
            for name in sorted(self._wanted_names):
                decisions.extend(self._renew_or_take(name, now_s))
        return tuple(decisions)

    def _track(self, name: str, now_s: float) -> _TrackedLease:
        return self._tracked.setdefault(name, _TrackedLease(last_record_s=now_s))

    def _apply_read(self, event: ev.LeasesRead, now_s: float) -> list[ev.LeaseDecision]:
        decisions: list[ev.LeaseDecision] = []
        changed = self._fold.apply_records(event.first_offset, event.records)
        if self._fold.next_offset >= event.next_offset:
            self._caught_up_s = max(self._caught_up_s, event.read_s)
        for name in changed:
            tracked = self._track(name, now_s)
            holder = self._fold.holder(name)
            previous = tracked.held_lease
            tracked.held_lease = self._held_lease_of(tracked, holder, now_s)
            tracked.last_record_s = now_s
            if previous is not None and tracked.held_lease is None:
                decisions.append(ev.LeaseLost(name, previous.fence))
            elif tracked.held_lease is not None and previous is None:
                decisions.append(ev.LeaseTaken(name, tracked.held_lease.fence))
        return decisions

    def _held_lease_of(
        self, tracked: _TrackedLease, holder: Holder | None, now_s: float
    ) -> HeldLease | None:
        if holder is None or holder.incarnation != self._incarnation:
            return None
        started_s = tracked.append_started_s.pop(holder.record_id, float("-inf"))
        until_s = started_s + holder.ttl_s
        previous = tracked.held_lease
        if previous is not None and previous.fence == holder.fence:
            return attrs.evolve(previous, until_s=max(previous.until_s, until_s))
        # The previous holder may have sent an order just before its lease ended.
        # That order takes effect at most one order time-out later.
        limits = self._limits
        wait_s = (limits.ttl_s + limits.order_timeout_s) * (1 + limits.clock_rate_bound)
        return HeldLease(holder.fence, until_s, now_s + wait_s)

    def _renew_or_take(self, name: str, now_s: float) -> tuple[ev.LeaseDecision, ...]:
        """Renew the lease if this host holds it; otherwise take an expired lease."""
        tracked = self._track(name, now_s)
        limits = self._limits
        next_append_s = (
            tracked.last_append_s + limits.ttl_s * limits.renew_after_fraction
        )
        if (
            tracked.append_in_flight
            or now_s < next_append_s
            or not self._fold.is_known(name)
        ):
            return ()
        holder = self._fold.holder(name)
        held_lease = tracked.held_lease
        if held_lease is not None and now_s < held_lease.until_s + limits.ttl_s:
            # A holder that did not renew for longer has to take the lease again, so
            # that no renewal lands after retention has removed its last record.
            return (self._append_record(name, tracked, now_s, renews=held_lease.fence),)
        if holder is None:
            return (self._append_record(name, tracked, now_s),)
        if now_s < (
            tracked.last_record_s
            + self._expiry_wait_s(holder)
            + self._takeover_jitter_s(name, holder)
        ):
            return ()
        is_past_retention = holder.last_offset < self._fold.first_offset
        supersedes = None if is_past_retention else holder.fence
        return (self._append_record(name, tracked, now_s, supersedes=supersedes),)

    def _expiry_wait_s(self, holder: Holder) -> float:
        limits = self._limits
        return holder.ttl_s * (1 + limits.clock_rate_bound) + limits.margin_s

    def _takeover_jitter_s(self, name: str, holder: Holder) -> float:
        """Return this host's jitter, so that usually only one claimant appends."""
        text = f"{self._incarnation}/{name}/{holder.fence}"
        return zlib.crc32(text.encode()) / 2**32 * self._limits.takeover_jitter_s

    def _append_record(
        self,
        name: str,
        tracked: _TrackedLease,
        now_s: float,
        *,
        renews: int | None = None,
        supersedes: int | None = None,
    ) -> ev.AppendLease:
        self._record_count += 1
        record_id = f"{self._incarnation}-{self._record_count}"
        ttl_s = self._limits.ttl_s
        record = LeaseRecord(
            record_id=record_id,
            name=name,
            host=self._host_id,
            incarnation=self._incarnation,
            ttl_s=ttl_s,
            as_of=self._fold.next_offset,
            first=self._fold.first_offset,
            holder=self._fold.holder(name),
            renews=renews,
            supersedes=supersedes,
        )
        tracked.append_in_flight, tracked.last_append_s = True, now_s
        # A record that lands later than its TTL grants no lease time to this host.
        tracked.append_started_s = {
            r: s for r, s in tracked.append_started_s.items() if s + ttl_s > now_s
        }
        tracked.append_started_s[record_id] = now_s
        return ev.AppendLease(name, encode_lease(record))


def may_send(
    held_lease: HeldLease, *, checks_fencing: bool, timeout_s: float, now_s: float
) -> bool:
    """Return whether an order may be sent now under a held lease.

    An upstream that checks fencing tokens refuses orders of an earlier holder itself.
    For others, the order must end within the lease and not overlap earlier orders.
    """
    if checks_fencing:
        return now_s < held_lease.until_s
    ends_before_lease = now_s + timeout_s <= held_lease.until_s
    return ends_before_lease and now_s >= held_lease.unfenced_from_s
