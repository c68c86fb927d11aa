"""Queue of the requests of one service that wait for capacity.

Bursts may consist of the least or the most urgent work, or of one workspace's requests.
The order comes from core.admission: strict priority between classes with a small floor
for the less urgent ones, and fair queueing of the workspaces in a class, by tokens.
"""

from collections import Counter, deque
from collections.abc import Collection, Iterator

import attrs

from persimmonwell.core.admission import ClassFloors, ClassQueues, QueueEntry
from persimmonwell.core.forwarding._active import ActiveRequest, PriorityClass
from persimmonwell.core.forwarding._model import RouteKind
from persimmonwell.core.forwarding._workspace_usage import USAGE_MEMORY_S

RATE_WINDOW_S = 2.0
"""Interval over which the service's send rate is measured."""
LONG_RATE_WINDOW_S = 8.0
"""Second interval, longer than the pause of all sends while a stage is relocated."""
MIN_RATE_PER_S = 1.0
"""Lower bound, used while too few sends have been measured."""
CLASS_FLOOR = 0.05
"""Share of the tokens of each less urgent class while it is backlogged. A class that
never gets any is never served in a long surge."""
TOTAL_FLOOR = 0.1
"""Bound on the sum of the floors, since the most urgent class is to keep 0.9 of its
answers under overload."""
MAX_PASSES = 6
"""Sends of later requests after which one without room is waited for; as many requests
without room are tried in one pass. Otherwise small ones would always fit before it."""
MAX_HOLD_S = 0.4
"""Time for which later requests wait for one without room. With a hundred places and
answers of 2 s, some twenty places become free in it."""
HOLD_PAUSE_S = 3.6
"""Time without such a wait after one that brought no room. Requests that fit nowhere
thus keep back at most a tenth of the capacity."""

Entry = QueueEntry[PriorityClass, int]


@attrs.define(eq=False)
class _Waiting:
    active: ActiveRequest
    entry: Entry
    passes: int = 0
    """Sends of later requests of the class while this one could not be placed."""


@attrs.frozen
class _Hold:
    key: int
    since_s: float


class RequestQueue:
    """Waiting requests in dispatch order, and the times of the last sends."""

    def __init__(self) -> None:
        self._floors = ClassFloors[PriorityClass](
            default=CLASS_FLOOR, total=TOTAL_FLOOR, is_prepaid=True
        )
        self._queues = ClassQueues[PriorityClass, int](
            self._floors, memory_s=USAGE_MEMORY_S
        )
        self._waiting: dict[int, _Waiting] = {}
        self._kinds = Counter[RouteKind]()
        """Waiting requests by the kind of their route."""
        self._send_times_s: deque[float] = deque()
        self._passed: list[_Waiting] = []
        """Requests that the current pass over the queue could not place."""
        self._hold: _Hold | None = None
        self._next_hold_s = float("-inf")

    def __iter__(self) -> Iterator[ActiveRequest]:
        """Iterate over a copy in dispatch order."""
        entries = list(self._queues.in_order())
        return iter([self._waiting[entry.request_id].active for entry in entries])

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._waiting)

    @property
    def sizes(self) -> dict[PriorityClass, int]:
        """Return the number of queued requests by priority class."""
        return {key: len(queue) for key, queue in self._queues.items()}

    def count_of_kind(self, kind: RouteKind) -> int:
        """Return how many queued requests are of routes of a kind."""
        return self._kinds[kind]

    def has_only(self, kinds: Collection[RouteKind]) -> bool:
        """Return whether all queued requests are of routes of these kinds."""
        return sum(map(self._kinds.__getitem__, kinds)) == len(self._waiting)

    def add(self, active: ActiveRequest) -> None:
        """Add a request."""
        self._kinds[active.route.kind] += 1
        entry = _entry_of(active)
        self._waiting[active.key] = _Waiting(active, entry)
        self._queues[entry.priority_class].push(entry, 1.0)

    def discard(self, active: ActiveRequest) -> None:
        """Remove a request if it is queued."""
        waiting = self._waiting.pop(active.key, None)
        if waiting is not None:
            self._kinds[active.route.kind] -= 1
            self._queues[waiting.entry.priority_class].remove(waiting.entry)
            if self._hold is not None and self._hold.key == active.key:
                self._end_hold(self._hold)

    def candidates(self, now_s: float) -> Iterator[ActiveRequest]:
        """Yield requests in dispatch order while the caller sends or drops them.

        One that stays queued is passed over and keeps its turn: the next request of
        its workspace comes after those of the others. After MAX_PASSES sends of later
        requests, no request of its class or of a less urgent one follows it for
        MAX_HOLD_S.
        """
        self._passed = passed = []
        closed: set[PriorityClass] = set()
        for entry in self._queues.in_order(closed):
            waiting = self._waiting[entry.request_id]
            yield waiting.active
            if entry.request_id not in self._waiting:
                continue
            passed.append(waiting)
            if self._is_held_for(waiting, now_s):
                closed.update(
                    key
                    for key in self._queues.backlogged()
                    if key >= entry.priority_class
                )

    def _is_held_for(self, waiting: _Waiting, now_s: float) -> bool:
        """Return whether later requests wait until there is room for this one."""
        active = waiting.active
        if waiting.passes < MAX_PASSES or now_s < active.not_before_s:
            return False
        if not active.may_use_another_upstream:
            # It may wait for one upstream, which says nothing about the room of others.
            return False
        if self._hold is None:
            if now_s < self._next_hold_s:
                return False
            self._hold = _Hold(active.key, now_s)
        if self._hold.key != active.key:
            return False
        if now_s - self._hold.since_s <= MAX_HOLD_S:
            return True
        self._end_hold(self._hold)
        return False

    def _end_hold(self, hold: _Hold) -> None:
        self._hold = None
        self._next_hold_s = hold.since_s + MAX_HOLD_S + HOLD_PAUSE_S

    def count_ahead_of(self, active: ActiveRequest) -> int:
        """Return about how many queued requests are served before this one.

        It is 0 only if there are none.
        """
        if not self._waiting:
            return 0
        return self._queues.count_ahead(self._entry(active))

    def _entry(self, active: ActiveRequest) -> Entry:
        waiting = self._waiting.get(active.key)
        return _entry_of(active) if waiting is None else waiting.entry

    def record_send(self, active: ActiveRequest, now_s: float) -> None:
        """Remove a request that is sent, charge its workspace and count the send."""
        waiting = self._waiting.get(active.key)
        if self._waiting:
            entry = self._entry(active)
            if waiting is None:
                self._queues[entry.priority_class].push(entry, 1.0)
            self._floors.charge(
                entry.priority_class, entry.cost_tokens, self._queues.backlogged()
            )
            self._queues[entry.priority_class].dispatch(entry, now_s)
        else:
            self.charge(
                active.priority_class, active.workspace, active.cost_tokens, now_s
            )
        if waiting is not None:
            del self._waiting[active.key]
            self._kinds[active.route.kind] -= 1
            for earlier in self._passed:
                # Requests that must not be repeated use slots that reads leave.
                is_later = (
                    entry.priority_class >= earlier.entry.priority_class
                    and active.route.kind is earlier.active.route.kind
                )
                earlier.passes += is_later
            if self._hold is not None and self._hold.key == active.key:
                self._hold = None
        self._send_times_s.append(now_s)
        self._drop_old_sends(now_s)

    def charge(
        self, priority_class: PriorityClass, workspace: str, tokens: float, now_s: float
    ) -> None:
        """Charge a workspace for service without a wait, or by another host."""
        self._queues[priority_class].charge(workspace, tokens, now_s)

    def expected_wait_s(
        self, active: ActiveRequest, now_s: float, least_rate_per_s: float = 0.0
    ) -> float:
        """Return how long a request would wait at the measured send rate.

        The rate is at least least_rate_per_s. The floor of a less urgent class bounds
        the wait behind more urgent ones.
        """
        if not self._waiting:
            return 0.0
        measured_per_s = self.send_rate_per_s(now_s)
        rate_per_s = max(measured_per_s, least_rate_per_s, MIN_RATE_PER_S)
        entry = self._entry(active)
        wait_s = self._queues.count_ahead(entry) / rate_per_s
        backlogged = self._queues.backlogged()
        if backlogged[0] < entry.priority_class:
            others = [key for key in backlogged[1:] if key != entry.priority_class]
            floor = self._floors.floor_of(entry.priority_class, len(others) + 1)
            in_class = self._queues[entry.priority_class].count_ahead(entry)
            wait_s = min(wait_s, (in_class + 1) / (floor * rate_per_s))
        return wait_s

    def send_rate_per_s(self, now_s: float) -> float:
        """Return the sends per second, the higher rate of two windows.

        The longer window prevents refusals because of a relocation, which stops all
        sends for a second or two.
        """
        self._drop_old_sends(now_s)
        recent = sum(
            1 for sent_s in self._send_times_s if sent_s >= now_s - RATE_WINDOW_S
        )
        return max(recent / RATE_WINDOW_S, len(self._send_times_s) / LONG_RATE_WINDOW_S)

    def _drop_old_sends(self, now_s: float) -> None:
        while self._send_times_s and self._send_times_s[0] < now_s - LONG_RATE_WINDOW_S:
            self._send_times_s.popleft()


def _entry_of(active: ActiveRequest) -> Entry:
    latest_send_s = active.latest_send_s
    return QueueEntry(
        request_id=active.key,
        workspace=active.workspace,
        priority_class=active.priority_class,
        cost_tokens=active.cost_tokens,
        deadline_s=latest_send_s,
        precedence=(active.precedence, latest_send_s, active.key),
    )
