"""Memory budget of one process: charges, waiting uploads, and the choice to end one."""

import math
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence

from persimmonwell.core.resources._policy import CallerPolicy
from persimmonwell.core.resources._progress import Progress

MIN_BUDGET_BYTES = 16 * 1024 * 1024
PROCESS_MB = 64
"""Memory that the process needs without callers: 38 MB after its start, and the growth
of its tables and threads."""
BUDGET_SHARE = 0.2
"""A fifth of the rest keeps 40 uploads of 4 MB on a host of 300 MB within 96 MB; the
allocator keeps up to as much again in fragments."""
RESERVED_SHARE = 0.25
"""Share of the budget that uploads, pipelines and unread answers leave to small
requests."""
ADDRESS_SHARE = 0.5
"""Share of the room for uploads that one address gets while others wait."""
PEER_LOADS_PER_MB = 512
"""A load takes some 400 bytes, so that a fifth of the memory is for those of peers."""
MIN_PEER_LOADS = 16_384
SMALL_BODY_BYTES = 65_536
"""A body up to this size may use the reserved share."""
MAX_ENDED_AT_ONCE = 8
"""Transfers that are ended in one tick, so that the room of the first ones is seen."""


def memory_budget_bytes(memory_mb: float) -> int:
    """Return the budget of a host whose machine grants it memory_mb."""
    share = BUDGET_SHARE * (memory_mb - PROCESS_MB) * 1024 * 1024
    return max(MIN_BUDGET_BYTES, int(share))


def peer_load_bound(memory_mb: float) -> int:
    """Return how many loads of peers a host of this memory keeps.

    Those of 400 hosts fit on the smallest hosts, of 100 MB, and take 20 MB there.
    """
    return max(MIN_PEER_LOADS, int(PEER_LOADS_PER_MB * memory_mb))


class Charge:
    """Memory of one use, credited back by shrink or close."""

    __slots__ = ("_budget", "_is_closed", "_is_small", "_purpose", "size")

    def __init__(
        self, budget: "MemoryBudget", purpose: str, *, is_small: bool = False
    ) -> None:
        self._budget = budget
        self._purpose = purpose
        self._is_small = is_small
        self._is_closed = False
        self.size = 0

    def grow(self, count: int) -> bool:
        """Charge further bytes; return False and charge nothing without room."""
        if self._is_closed or not self._budget.has_room(count, self._is_small):
            return False
        self.force(self.size + count)
        return True

    def shrink(self, count: int) -> None:
        """Credit bytes back, at the most those that are charged."""
        self.force(max(0, self.size - count))

    def resize(self, size: int) -> bool:
        """Charge this many bytes in total; return False without room for more."""
        if size > self.size:
            return self.grow(size - self.size)
        self.force(size)
        return not self._is_closed

    def force(self, size: int) -> None:
        """Charge this many bytes in total, with or without room.

        Used for bytes that are in memory already.
        """
        if self._is_closed or size == self.size:
            return
        change, self.size = size - self.size, size
        self._budget.apply(self._purpose, change)

    def close(self) -> None:
        """Credit everything back; later calls have no effect."""
        if self._is_closed:
            return
        self.force(0)
        self._is_closed = True


class ProgressCharge(Charge):
    """Memory of a transfer that may be ended when others wait for memory."""

    __slots__ = ("_may_end", "on_ended", "progress")

    def __init__(
        self,
        budget: "MemoryBudget",
        purpose: str,
        *,
        now_s: float,
        on_ended: Callable[[bool], None],
    ) -> None:
        super().__init__(budget, purpose)
        self.progress = Progress(now_s)
        self.on_ended = on_ended
        """Called to end the transfer, with whether its client stalled; closes the
        charge."""
        self._may_end = True

    @property
    def may_end(self) -> bool:
        """Return whether the transfer may be ended for others."""
        return self._may_end and not self._is_closed

    def remaining_s(self, now_s: float) -> float:
        """Return the time that the rest takes at the recent rate; 0 if unknown."""
        return 0.0

    def close(self) -> None:
        """Credit everything back and leave the list of transfers."""
        self._budget.forget(self)
        super().close()


class BodyCharge(ProgressCharge):
    """Memory of one request body, from its head to the end of its request.

    Without room the body waits; its connection does not read on until on_granted.
    """

    __slots__ = (
        "_overhead",
        "_received",
        "address",
        "claim",
        "on_granted",
        "on_refused",
        "waiting_since_s",
        "wanted",
    )

    def __init__(
        self,
        budget: "MemoryBudget",
        *,
        address: str,
        now_s: float,
        on_granted: Callable[[], None],
        on_refused: Callable[[], None],
        on_ended: Callable[[bool], None],
    ) -> None:
        super().__init__(budget, "bodies", now_s=now_s, on_ended=on_ended)
        self.address = address
        self.on_granted = on_granted
        self.on_refused = on_refused
        """Called when the body has waited too long; closes the charge."""
        self.wanted = 0
        self.claim = 0
        """Bytes that the body may want before it is complete."""
        self.waiting_since_s: float | None = None
        self._received = 0
        self._overhead = 0

    @property
    def is_waiting(self) -> bool:
        """Return whether the body waits for room."""
        return self.waiting_since_s is not None

    @property
    def is_upload(self) -> bool:
        """Return whether the body is, or wants to be, larger than a small one."""
        return max(self.wanted, self.size) > SMALL_BODY_BYTES

    @property
    def holds_room(self) -> bool:
        """Return whether the body holds room for an upload."""
        return self.size > SMALL_BODY_BYTES

    def request(
        self, size: int, now_s: float, *, claim: int = 0, overhead: int = 0
    ) -> bool:
        """Ask for this many bytes in total; without room, wait for them.

        The claim is the size that a body without an announced length may reach. The
        overhead is the part of them that is not received as a part of the body.

        Returns whether they are charged now. A body that may not wait, since too many
        do, is refused with on_refused before the return.
        """
        if self._is_closed:
            return False
        if size <= self.size:
            return True
        self.wanted = size
        self.claim = max(size, claim)
        self._overhead = overhead
        return self._budget.admit(self, now_s)

    def add_received(self, count: int, now_s: float) -> None:
        """Record bytes of the body."""
        self._received += count
        self.progress.add(count, now_s)

    def end_receiving(self) -> None:
        """Record that the body is complete, so that it is not ended for others."""
        self._may_end = False
        self.claim = self.size

    def remaining_s(self, now_s: float) -> float:
        """Return the time that the rest of the charged bytes takes to arrive."""
        remaining = max(0, self.size - self._overhead - self._received)
        rate = self.progress.bytes_per_s(now_s)
        return remaining / rate if rate > 0 else math.inf

    def grant(self, now_s: float) -> None:
        """Charge what is wanted and end the wait."""
        self.waiting_since_s = None
        self.progress.resume(now_s)
        self.force(self.wanted)

    def close(self) -> None:
        """Credit everything back and end the wait."""
        self.waiting_since_s = None
        super().close()


class MemoryBudget:
    """Budget of one process, used by one event loop; time is passed in.

    Bytes that nobody could refuse, such as the base charge of a connection, are always
    charged. The rest is charged if it fits: small requests up to the whole budget,
    everything else up to what is not reserved.
    """

    def __init__(
        self,
        total_bytes: int = MIN_BUDGET_BYTES,
        *,
        policy: CallerPolicy | None = None,
    ) -> None:
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self.policy = policy or CallerPolicy()
        self._used_by_purpose: Counter[str] = Counter()
        self._waiting: list[BodyCharge] = []
        self._transfers: dict[ProgressCharge, None] = {}
        """Transfers that may be ended for others, in order of their start."""

    @property
    def used_by_purpose(self) -> Mapping[str, int]:
        """Return the charged bytes by purpose."""
        return dict(self._used_by_purpose)

    @property
    def waiting_count(self) -> int:
        """Return how many bodies wait for room."""
        return len(self._waiting)

    @property
    def shared_bytes(self) -> int:
        """Return the part of the budget that is not reserved for small requests."""
        return self.total_bytes - int(self.total_bytes * RESERVED_SHARE)

    def has_room(self, count: int, is_small: bool = False) -> bool:
        """Return whether further bytes fit."""
        limit = self.total_bytes if is_small else self.shared_bytes
        return self.used_bytes + count <= limit

    def open_charge(self, purpose: str, *, is_small: bool = False) -> Charge:
        """Return a charge without bytes; a small one may use the reserved share."""
        return Charge(self, purpose, is_small=is_small)

    def open_transfer(
        self, purpose: str, now_s: float, *, on_ended: Callable[[bool], None]
    ) -> ProgressCharge:
        """Return a charge that may be ended for others when its client stalls."""
        charge = ProgressCharge(self, purpose, now_s=now_s, on_ended=on_ended)
        self._transfers[charge] = None
        return charge

    def open_body(
        self,
        address: str,
        now_s: float,
        *,
        on_granted: Callable[[], None],
        on_refused: Callable[[], None],
        on_ended: Callable[[bool], None],
    ) -> BodyCharge:
        """Return the charge of a request body from a caller's address."""
        charge = BodyCharge(
            self,
            address=address,
            now_s=now_s,
            on_granted=on_granted,
            on_refused=on_refused,
            on_ended=on_ended,
        )
        self._transfers[charge] = None
        return charge

    # Called by charges

    def apply(self, purpose: str, change: int) -> None:
        """Add a change of one charge; bodies that wait for it are served by tick."""
        self.used_bytes += change
        total = self._used_by_purpose[purpose] + change
        if total:
            self._used_by_purpose[purpose] = total
        else:
            del self._used_by_purpose[purpose]

    def forget(self, charge: ProgressCharge) -> None:
        """Remove a charge that is closed."""
        self._transfers.pop(charge, None)
        if isinstance(charge, BodyCharge) and charge in self._waiting:
            self._waiting.remove(charge)

    def admit(self, body: BodyCharge, now_s: float) -> bool:
        """Charge what a body wants, or append it to those that wait."""
        may_pass = not self._waiting or not body.is_upload
        if may_pass and not body.is_waiting and self._fits(body):
            body.grant(now_s)
            return True
        if not body.is_waiting:
            if len(self._waiting) >= self.policy.max_waiting_uploads:
                body.on_refused()
                return False
            body.waiting_since_s = now_s
            body.progress.pause(now_s)
            self._waiting.append(body)
        for granted in self._take_grantable(now_s):
            if granted is not body:
                granted.on_granted()
        return not body.is_waiting

    # Waiting bodies

    def tick(self, now_s: float) -> None:
        """Serve waiting bodies, refuse those that waited too long, end transfers."""
        if not self._waiting and not self._transfers:
            return
        self._serve_waiting(now_s)
        for body in list(self._waiting):
            since_s = body.waiting_since_s
            if since_s is not None and now_s - since_s >= self.policy.upload_wait_s:
                body.on_refused()
        for _ in range(MAX_ENDED_AT_ONCE):
            if not self._is_short(now_s):
                break
            victim = self.choose_victim(now_s)
            if victim is None:
                break
            victim.on_ended(not victim.progress.is_paused)
            self._serve_waiting(now_s)

    def _serve_waiting(self, now_s: float) -> None:
        for body in self._take_grantable(now_s):
            body.on_granted()

    def _take_grantable(self, now_s: float) -> list[BodyCharge]:
        granted = []
        while (body := self._next_grantable()) is not None:
            self._waiting.remove(body)
            body.grant(now_s)
            granted.append(body)
        return granted

    def _next_grantable(self) -> BodyCharge | None:
        """Return the first waiting body in order, if it fits.

        Small bodies come first, then those that hold room, which give it back when
        they are complete, and new ones when none of these waits. A larger new body is
        not overtaken by a later one that fits.
        """
        for small in self._waiting:
            if not small.is_upload and self._fits(small):
                return small
        uploads = [body for body in self._waiting if body.is_upload]
        for body in uploads:
            if body.holds_room and self._fits(body):
                return body
        new = [body for body in uploads if not body.holds_room]
        if len(new) < len(uploads):
            return None
        # Where every address is over its share, nobody would be served.
        first = next(iter(self._within_share(new) or new), None)
        return first if first is not None and self._fits(first) else None

    def _within_share(self, uploads: Sequence[BodyCharge]) -> list[BodyCharge]:
        """Return the uploads whose address has not used up its share."""
        if len({body.address for body in uploads}) < 2:
            return list(uploads)
        held: Counter[str] = Counter()
        for charge in self._uploads():
            held[charge.address] += charge.size
        share = ADDRESS_SHARE * self.shared_bytes
        return [
            body
            for body in uploads
            if held[body.address] <= body.size
            or held[body.address] - body.size + body.wanted <= share
        ]

    def _fits(self, body: BodyCharge) -> bool:
        if not body.is_upload:
            return self.has_room(body.wanted - body.size, is_small=True)
        others = [other for other in self._uploads() if other is not body]
        if not others:
            # A body above the size of the budget is served while it is the only one.
            return True
        change = body.wanted - body.size
        if self.has_room(change) and self._can_all_end(body, others):
            return True
        # Other charges have grown since this one was admitted. The upload that lacks
        # least may use the reserved share, so that the others get its room.
        is_nearest = all(
            body.claim - body.size <= other.claim - other.size
            for other in others
            if other.may_end
        )
        return body.holds_room and is_nearest and self.has_room(change, is_small=True)

    def _can_all_end(self, body: BodyCharge, others: Sequence[BodyCharge]) -> bool:
        """Return whether all uploads can still end, one after the other.

        Half-read uploads would otherwise wait for each other's room without end
        (banker's algorithm).
        """
        needs = [(other.claim - other.size, other.size) for other in others]
        needs.append((body.claim - body.wanted, body.wanted))
        free = self.shared_bytes - self.used_bytes - (body.wanted - body.size)
        for need, held in sorted(needs):
            if need > free:
                return False
            free += held
        return True

    def _uploads(self) -> Iterator[BodyCharge]:
        """Iterate over the bodies that hold room for uploads."""
        return (
            charge
            for charge in self._transfers
            if isinstance(charge, BodyCharge) and charge.holds_room
        )

    # Ending transfers

    def _is_short(self, now_s: float) -> bool:
        if self.used_bytes > self.shared_bytes and any(
            not isinstance(charge, BodyCharge) for charge in self._transfers
        ):
            return True
        return any(
            body.waiting_since_s is not None
            and now_s - body.waiting_since_s >= self.policy.shortage_s
            for body in self._waiting
        )

    def choose_victim(self, now_s: float) -> ProgressCharge | None:
        """Return the transfer to end: stalled by its client, else the largest slow one.

        A transfer qualifies if its client sent or took nothing for a while, if its rest
        would arrive later than the bodies that wait can wait, or if every upload that
        holds room waits for more.
        """
        stalled, paused = [], []
        uploads_hold_up = True
        for charge in self._transfers:
            if not charge.may_end or charge.size == 0:
                if isinstance(charge, BodyCharge) and charge.holds_room:
                    # Its request runs, and gives the room back when it ends.
                    uploads_hold_up = False
                continue
            if charge.progress.is_paused:
                paused.append(charge)
            elif self._is_stalled(charge, now_s):
                stalled.append(charge)
            elif isinstance(charge, BodyCharge) and charge.is_upload:
                uploads_hold_up = False
        if stalled:
            # The largest memory for the longest time without progress.
            return max(
                stalled,
                key=lambda charge: charge.size * (1.0 + charge.progress.idle_s(now_s)),
            )
        if paused and uploads_hold_up:
            return max(paused, key=lambda charge: charge.size)
        return None

    def _is_stalled(self, charge: ProgressCharge, now_s: float) -> bool:
        policy = self.policy
        if charge.progress.idle_s(now_s) >= policy.stall_s:
            return True
        is_observed = charge.progress.observed_s(now_s) >= policy.stall_s
        return is_observed and charge.remaining_s(now_s) > policy.upload_wait_s
