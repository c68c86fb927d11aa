"""Take and renew leases for one host and say when it may send orders."""

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
    """Hold the times that govern leases, seconds."""

    ttl_s: float = 10.0
    margin_s: float = 0.5
    """Added by a claimant to the time that it watches a lease unrenewed."""
    clock_rate_bound: float = 0.01
    """Largest relative difference between the clock rates of two hosts."""
    order_timeout_s: float = 5.0
    """Longest time from the send of an order to its last effect."""
    renew_after: float = 0.3
    """Part of the TTL after which the holder renews."""
    stagger_s: float = 1.0
    """Spread of the claimants' appends once a lease has lapsed."""


@attrs.frozen
class Holding:
    """Hold what this host may do under a lease that it took."""

    fence: int
    until_s: float
    """End of the lease on this host's clock, counted from before the append."""
    unchecked_from_s: float
    """Earliest order to an upstream that does not check fencing tokens."""


@attrs.define
class _Watch:
    """Track one lease from this host's point of view."""

    seen_s: float
    """Time at which the last valid record was folded."""
    holding: Holding | None = None
    appending: bool = False
    sent: dict[str, float] = attrs.field(factory=dict)
    """Time before the append of each own record that was not folded yet."""
    tried_s: float = float("-inf")


class LeasesState:
    """Hold the folded leases and the ones that this host holds."""

    def __init__(
        self, *, host_id: str, incarnation: str, limits: LeaseLimits | None = None
    ) -> None:
        self._host_id = host_id
        self._incarnation = incarnation
        self._limits = limits or LeaseLimits()
        self._fold = LeaseFold()
        self._wanted: frozenset[str] = frozenset()
        self._watches: dict[str, _Watch] = {}
        self._records_made = 0
        self._current_s = float("-inf")

    @property
    def fold(self) -> LeaseFold:
        """Return the fold of the leases stream."""
        return self._fold

    def holding(self, name: str) -> Holding | None:
        """Return this host's holding of a lease, lapsed or not."""
        watch = self._watches.get(name)
        return None if watch is None else watch.holding

    def may_send(
        self, name: str, *, checks_fencing: bool, timeout_s: float, now_s: float
    ) -> bool:
        """Return whether an order may be sent at this moment under the lease."""
        holding = self.holding(name)
        return holding is not None and may_send(
            holding, checks_fencing=checks_fencing, timeout_s=timeout_s, now_s=now_s
        )

    def handle(
        self, event: ev.LeasesEvent, now_s: float
    ) -> tuple[ev.LeaseDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        decisions: list[ev.LeaseDecision] = []
        match event:
            case ev.LeasesWanted(names):
                self._wanted = names
            case ev.LeasesRead():
                decisions.extend(self._stream_read(event, now_s))
            case ev.LeaseAppendEnded(name):
                self._watch(name, now_s).appending = False
            case ev.LeasesTick():
                pass
        if now_s - self._current_s <= self._limits.ttl_s:
            for name in sorted(self._wanted):
                decisions.extend(self._pursue(name, now_s))
        return tuple(decisions)

    def _watch(self, name: str, now_s: float) -> _Watch:
        return self._watches.setdefault(name, _Watch(seen_s=now_s))

    def _stream_read(
        self, event: ev.LeasesRead, now_s: float
    ) -> list[ev.LeaseDecision]:
        decisions: list[ev.LeaseDecision] = []
        changed = self._fold.read(event.first_offset, event.records)
        if self._fold.next_offset >= event.next_offset:
            self._current_s = max(self._current_s, event.read_s)
        for name in changed:
            watch = self._watch(name, now_s)
            holder = self._fold.holder(name)
            before = watch.holding
            watch.holding = self._holding_of(watch, holder, now_s)
            watch.seen_s = now_s
            if before is not None and watch.holding is None:
                decisions.append(ev.LeaseLost(name, before.fence))
            elif watch.holding is not None and before is None:
                decisions.append(ev.LeaseTaken(name, watch.holding.fence))
        return decisions

    def _holding_of(
        self, watch: _Watch, holder: Holder | None, now_s: float
    ) -> Holding | None:
        if holder is None or holder.incarnation != self._incarnation:
            return None
        sent_s = watch.sent.pop(holder.record_id, float("-inf"))
        until_s = sent_s + holder.ttl_s
        before = watch.holding
        if before is not None and before.fence == holder.fence:
            return attrs.evolve(before, until_s=max(before.until_s, until_s))
        # The predecessor's last order may have been sent just before its lease
        # ended, and takes effect at most one order timeout later.
        limits = self._limits
        wait_s = (limits.ttl_s + limits.order_timeout_s) * (1 + limits.clock_rate_bound)
        return Holding(holder.fence, until_s, now_s + wait_s)

    def _pursue(self, name: str, now_s: float) -> tuple[ev.LeaseDecision, ...]:
        """Renew the lease if this host holds it; else take it once it lapsed."""
        watch = self._watch(name, now_s)
        limits = self._limits
        retry_s = watch.tried_s + limits.ttl_s * limits.renew_after
        if watch.appending or now_s < retry_s or not self._fold.is_known(name):
            return ()
        holder = self._fold.holder(name)
        holding = watch.holding
        if holding is not None and now_s < holding.until_s + limits.ttl_s:
            # A holder that was silent for longer takes the lease anew, so that no
            # renewal lands after retention has dropped the holder's last record.
            return (self._append(name, watch, now_s, renews=holding.fence),)
        if holder is None:
            return (self._append(name, watch, now_s),)
        if now_s < watch.seen_s + self._lapse_s(holder) + self._stagger_s(name, holder):
            return ()
        gone = holder.last_offset < self._fold.first_offset
        supersedes = None if gone else holder.fence
        return (self._append(name, watch, now_s, supersedes=supersedes),)

    def _lapse_s(self, holder: Holder) -> float:
        limits = self._limits
        return holder.ttl_s * (1 + limits.clock_rate_bound) + limits.margin_s

    def _stagger_s(self, name: str, holder: Holder) -> float:
        """Return this host's share of the spread; one claimant usually suffices."""
        text = f"{self._incarnation}/{name}/{holder.fence}"
        return zlib.crc32(text.encode()) / 2**32 * self._limits.stagger_s

    def _append(
        self,
        name: str,
        watch: _Watch,
        now_s: float,
        *,
        renews: int | None = None,
        supersedes: int | None = None,
    ) -> ev.AppendLease:
        self._records_made += 1
        record_id = f"{self._incarnation}-{self._records_made}"
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
        watch.appending, watch.tried_s = True, now_s
        # A record that lands later than its own TTL grants nothing.
        watch.sent = {r: s for r, s in watch.sent.items() if s + ttl_s > now_s}
        watch.sent[record_id] = now_s
        return ev.AppendLease(name, encode_lease(record))


def may_send(
    holding: Holding, *, checks_fencing: bool, timeout_s: float, now_s: float
) -> bool:
    """Return whether an order may be sent at this moment under a holding."""
    if checks_fencing:
        return now_s < holding.until_s
    outlasts = now_s + timeout_s <= holding.until_s
    return outlasts and now_s >= holding.unchecked_from_s
