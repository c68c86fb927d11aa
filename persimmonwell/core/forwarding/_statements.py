"""What replicas state in their answers: that they leave, and when to come back.

Both decide where requests go without the registry, so that they also hold while the
store is unavailable. A replica that leaves says so to the hosts that it still answers,
which tell the others. A time to come back concerns only the host that was answered.
"""

from collections.abc import Collection, Iterable

import attrs

from persimmonwell.core.forwarding._model import Replica

MAX_HOLD_OFF_S = 60.0
"""Longest time for which a replica's Retry-After is obeyed."""
LEAVING_TTL_S = 600.0
"""Time after which a statement is forgotten. It ends before with the entry of the next
start; some replicas serve for many seconds after they have left the registry."""
SHARE_S = 10.0
"""Time for which a statement is sent to the peers."""
MAX_LEAVING = 1024
CHECK_INTERVAL_S = 1.0
"""Interval between reports of leaving replicas of a service that has no other ones."""
BASE_REFUSAL_PAUSE_S = 0.1
"""Time for which other replicas are preferred after a refusal; it doubles with each
further one."""
MAX_REFUSAL_PAUSE_S = 2.0

Incarnation = tuple[str, int]
"""Id and start time of a replica."""


@attrs.frozen
class ReplicaStatement:
    """What the head of an answer says about the replica that answered."""

    is_leaving: bool = False
    hold_off_s: float | None = None
    """Time for which the replica wants no request of this host, None if not stated."""


@attrs.frozen
class LeavingNotice:
    """Statement of a leaving replica, as hosts send it to each other."""

    incarnation: Incarnation
    age_s: float


@attrs.define
class _Leaving:
    stated_s: float
    heard_s: float | None
    """Time at which this host itself heard it, None if a peer did."""
    next_check_s: float


class LeavingReplicas:
    """Incarnations that stated that they leave, until they start anew."""

    def __init__(self) -> None:
        self._leaving: dict[Incarnation, _Leaving] = {}
        self._retracted_s: dict[Incarnation, float] = {}
        self.version = 0
        """Raised by each change of the incarnations that leave."""

    @property
    def incarnations(self) -> Collection[Incarnation]:
        """Return the incarnations that leave."""
        return self._leaving.keys()

    def record(self, replica: Replica, now_s: float) -> bool:
        """Record a statement that this host heard; return whether it is new."""
        known = self._leaving.get(replica.incarnation)
        if known is not None:
            known.heard_s = now_s
            return False
        self._add(replica.incarnation, _Leaving(now_s, now_s, now_s))
        return True

    def record_notice(self, notice: LeavingNotice, now_s: float) -> bool:
        """Record a statement that a peer heard; return whether it is new."""
        stated_s = now_s - notice.age_s
        if notice.incarnation in self._leaving:
            return False
        if stated_s <= self._retracted_s.get(notice.incarnation, float("-inf")):
            return False
        self._add(notice.incarnation, _Leaving(stated_s, None, now_s))
        return True

    def retract(self, replica: Replica, now_s: float) -> bool:
        """Drop a statement that a later answer of the replica does not repeat."""
        if self._leaving.pop(replica.incarnation, None) is None:
            return False
        self.version += 1
        self._retracted_s[replica.incarnation] = now_s
        return True

    def notices(self, now_s: float) -> tuple[LeavingNotice, ...]:
        """Return the statements of the last seconds to send to the peers."""
        return tuple(
            LeavingNotice(incarnation, max(0.0, now_s - leaving.heard_s))
            for incarnation, leaving in self._leaving.items()
            if leaving.heard_s is not None and now_s - leaving.heard_s < SHARE_S
        )

    def due_checks(
        self, replicas: Iterable[Replica], now_s: float
    ) -> tuple[Replica, ...]:
        """Return the replicas that are to be asked again whether they leave."""
        due = []
        for replica in replicas:
            leaving = self._leaving.get(replica.incarnation)
            if leaving is not None and now_s >= leaving.next_check_s:
                leaving.next_check_s = now_s + CHECK_INTERVAL_S
                due.append(replica)
        return tuple(due)

    def expire(self, now_s: float) -> None:
        """Drop old statements."""
        for incarnation, leaving in list(self._leaving.items()):
            if now_s - leaving.stated_s >= LEAVING_TTL_S:
                del self._leaving[incarnation]
                self.version += 1
        for incarnation, retracted_s in list(self._retracted_s.items()):
            if now_s - retracted_s >= SHARE_S:
                del self._retracted_s[incarnation]

    def _add(self, incarnation: Incarnation, leaving: _Leaving) -> None:
        self.version += 1
        self._leaving[incarnation] = leaving
        while len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]


@attrs.define
class _Refusals:
    started_at_ms: int
    hold_off_until_s: float = float("-inf")
    paused_until_s: float = float("-inf")
    count: int = 0


class ReplicaRefusals:
    """Replicas that turn requests away, and until when they are left alone."""

    def __init__(self) -> None:
        self._refusals: dict[str, _Refusals] = {}

    @property
    def replica_ids(self) -> Collection[str]:
        """Return the replicas that turned requests away."""
        return self._refusals.keys()

    def hold_off_s(self, replica: Replica, now_s: float) -> float:
        """Return for how long the replica wants no request of this host, 0 for none."""
        refusals = self._known(replica)
        return max(0.0, refusals.hold_off_until_s - now_s) if refusals else 0.0

    def is_paused(self, replica: Replica, now_s: float) -> bool:
        """Return whether other replicas are preferred because of recent refusals.

        A replica that turns away at once never has a request in flight, and would look
        like the least loaded one.
        """
        refusals = self._known(replica)
        return refusals is not None and now_s < refusals.paused_until_s

    def record_hold_off(self, replica: Replica, seconds: float, now_s: float) -> bool:
        """Record a stated time; return whether it holds for longer than the last."""
        refusals = self._known_or_new(replica)
        until_s = now_s + min(seconds, MAX_HOLD_OFF_S)
        is_longer = until_s > refusals.hold_off_until_s
        refusals.hold_off_until_s = max(refusals.hold_off_until_s, until_s)
        return is_longer

    def record_refusal(self, replica: Replica, now_s: float) -> None:
        """Record that a replica turned a request away."""
        refusals = self._known_or_new(replica)
        pause_s = min(MAX_REFUSAL_PAUSE_S, BASE_REFUSAL_PAUSE_S * 2.0**refusals.count)
        refusals.paused_until_s = now_s + pause_s
        if pause_s < MAX_REFUSAL_PAUSE_S:
            refusals.count += 1

    def record_answer(self, replica: Replica, now_s: float) -> None:
        """Record that a replica took a request; only a stated time outlasts that."""
        refusals = self._known(replica)
        if refusals is None:
            return
        if refusals.hold_off_until_s <= now_s:
            del self._refusals[replica.replica_id]
            return
        refusals.count = 0
        refusals.paused_until_s = float("-inf")

    def prune(self, registered: set[str], now_s: float) -> None:
        """Drop the state of replicas that are not registered, once it has ended."""
        for replica_id in self._refusals.keys() - registered:
            if self._refusals[replica_id].hold_off_until_s <= now_s:
                del self._refusals[replica_id]

    def _known(self, replica: Replica) -> _Refusals | None:
        refusals = self._refusals.get(replica.replica_id)
        if refusals is None or refusals.started_at_ms != replica.started_at_ms:
            return None
        return refusals

    def _known_or_new(self, replica: Replica) -> _Refusals:
        refusals = self._known(replica)
        if refusals is None:
            refusals = _Refusals(replica.started_at_ms)
            self._refusals[replica.replica_id] = refusals
        return refusals
