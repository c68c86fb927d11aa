"""Order of the heartbeats in which a replica describes itself.

Load pattern: the store may carry out a heartbeat seconds after its replica gave it up,
behind later ones. By its place in the log it would be the newest one, and would take
back that the replica leaves, holds other layers or has started again.
"""

import attrs

from persimmonwell.core.forwarding._model import Replica

LATE_WRITE_S = 10.0
"""Time after a heartbeat for which earlier ones count as carried out late; the store
does so within seconds. The limit admits a replica whose clock was set back before it
started again, and ends the effect of an entry that another writer wrote."""


@attrs.frozen
class _Newest:
    order: tuple[int, int]
    seen_s: float


class HeartbeatOrder:
    """Newest heartbeat of each replica, also of replicas that were removed."""

    def __init__(self) -> None:
        self._newest: dict[str, _Newest] = {}

    def is_late(self, replica: Replica, now_s: float, *, is_removed: bool) -> bool:
        """Return whether an entry is older than what its replica has said since.

        A relayed entry without a count has no order and is never late. An entry
        without a start time is earlier than all that state one.
        """
        newest = self._newest.get(replica.replica_id)
        if newest is None or now_s - newest.seen_s > LATE_WRITE_S:
            return False
        order = _order(replica)
        if order is None:
            return False
        return order < newest.order or (is_removed and order == newest.order)

    def is_newer(self, replica: Replica) -> bool:
        """Return whether an entry has a later heartbeat than any that was recorded."""
        newest = self._newest.get(replica.replica_id)
        order = _order(replica)
        return newest is not None and order is not None and order > newest.order

    def record(self, replica: Replica, now_s: float) -> None:
        """Record the heartbeat of an entry that is in use now."""
        order = _order(replica)
        if order is None or not replica.started_at_ms:
            self.forget(replica.replica_id)
        else:
            self._newest[replica.replica_id] = _Newest(order, now_s)

    def forget(self, replica_id: str) -> None:
        """Forget the heartbeats of a replica."""
        self._newest.pop(replica_id, None)


def _order(replica: Replica) -> tuple[int, int] | None:
    if replica.heartbeat is None:
        return None
    return (replica.started_at_ms, replica.heartbeat)
