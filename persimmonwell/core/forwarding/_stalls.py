"""Decide which replicas to ask about silent streams, and how often.

Load pattern: a stage of a path is dead or slow, and every stream through it stands
still. Each question is priced, so that one answer has to serve all streams.
"""

from collections.abc import Iterable

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._events import AskStalled, CheckReplica

STALL_GAP_S = 0.25
"""Silence after which a stream's first replica is asked for the stalled stage. A
first event that comes 250 ms later is still within the usual objective of 500 ms."""
STALL_ASK_INTERVAL_S = 0.15
"""Reports are some 200 ms old, so that the first one may not show the stall yet."""
KNOWN_STALL_PAUSE_S = 0.4
"""Added to the interval between questions while stalled stages are known."""
STAGE_CHECK_S = 1.5
"""Least time between two questions to a stage that is not suspected to be dead."""


class StallWatch:
    """Hold the moments of the last questions."""

    def __init__(self) -> None:
        self._asked_s: dict[str, float] = {}
        self._checked_s: dict[str, float] = {}

    def questions(
        self, streams: Iterable[ActiveRequest], now_s: float
    ) -> tuple[AskStalled, ...]:
        """Return the first replicas of silent streams to ask now."""
        heads = {
            active.path.head.replica_id: active.path.head.address
            for active in streams
            if active.path is not None and active.silent_s(now_s) >= STALL_GAP_S
        }
        due = []
        for replica_id, address in heads.items():
            if now_s - self._asked_s.get(replica_id, -1.0) >= STALL_ASK_INTERVAL_S:
                self._asked_s[replica_id] = now_s
                due.append(AskStalled(replica_id, address))
        return tuple(due)

    def forget(self, known: set[str]) -> None:
        """Drop what is kept about replicas that are gone."""
        for table in (self._asked_s, self._checked_s):
            for replica_id in table.keys() - known:
                del table[replica_id]

    def stages_known(self, head_id: str, now_s: float) -> None:
        """Delay the next question; what is known need not be asked again."""
        self._asked_s[head_id] = now_s + KNOWN_STALL_PAUSE_S

    def stage_checks(
        self, streams: Iterable[ActiveRequest], head_id: str, now_s: float
    ) -> tuple[CheckReplica, ...]:
        """Return questions to the stages of a first replica's longest silent stream.

        Its report named no dead stage, so that one may be slow.
        """
        silent = [
            active
            for active in streams
            if active.path is not None and active.replica_id == head_id
        ]
        longest = max(silent, key=lambda each: each.silent_s(now_s), default=None)
        if longest is None or longest.silent_s(now_s) < STALL_GAP_S:
            return ()
        assert longest.path is not None
        checks = []
        for part in longest.path.parts:
            if now_s - self._checked_s.get(part.replica_id, -10.0) >= STAGE_CHECK_S:
                self._checked_s[part.replica_id] = now_s
                checks.append(CheckReplica(part.replica_id, part.address))
        return tuple(checks)
