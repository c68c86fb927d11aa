"""Follow the replicas that registered in the platform's store."""

import attrs

from persimmonwell.core.forwarding._model import Replica

LAPSE_GRACE_S = 1.8
"""Live replicas are back in the registry about 2 s after an outage of the store;
the interval counts from the first read that works again."""


@attrs.frozen
class RegistryRecord:
    """Hold one change of the registry; replica None removes the entry."""

    replica_id: str
    offset: int
    replica: Replica | None


class ReplicaRegistry:
    """Hold the newest entry of each replica."""

    def __init__(self) -> None:
        self._entries: dict[str, Replica] = {}
        self._offsets: dict[str, int] = {}
        self._lapsed: dict[str, float] = {}
        self._in_outage = False
        self._newest_offset = -1
        self._changed_offset = -1

    @property
    def newest_offset(self) -> int:
        """Return the offset up to which the registry was read."""
        return self._newest_offset

    @property
    def changed_offset(self) -> int:
        """Return the offset of the newest record that changed an entry."""
        return self._changed_offset

    @property
    def replicas(self) -> dict[str, Replica]:
        """Return all entries by id."""
        return self._entries

    def store_failed(self) -> None:
        """Note that the store could not be read."""
        self._in_outage = True

    def store_answered(self) -> None:
        """Note that the registry was read; a removal from now on is a leaving."""
        self._in_outage = False

    def replace(
        self,
        records: tuple[RegistryRecord, ...],
        now_s: float,
        *,
        end_offset: int | None = None,
    ) -> bool:
        """Take a full list up to an offset; entries that it lacks are removed.

        A list that ends before what was read already is stale and removes nothing.
        """
        listed = {record.replica_id for record in records}
        is_stale = end_offset is not None and end_offset <= self._newest_offset
        changed = self.apply(records, now_s)
        if is_stale:
            return changed
        for replica_id in self._entries.keys() - listed:
            if self._remove(replica_id, now_s):
                changed = True
                self._changed_offset = self._newest_offset
        return changed

    def apply(self, records: tuple[RegistryRecord, ...], now_s: float) -> bool:
        """Take changes in order; return whether an entry changed."""
        changed = False
        for record in records:
            if record.offset <= self._offsets.get(record.replica_id, -1):
                continue  # A stale read repeats what is known already.
            self._offsets[record.replica_id] = record.offset
            self._newest_offset = max(self._newest_offset, record.offset)
            if self._take(record, now_s):
                changed = True
                self._changed_offset = max(self._changed_offset, record.offset)
        return changed

    def _take(self, record: RegistryRecord, now_s: float) -> bool:
        if record.replica is None:
            return self._remove(record.replica_id, now_s)
        self._lapsed.pop(record.replica_id, None)
        before = self._entries.get(record.replica_id)
        self._entries[record.replica_id] = record.replica
        return before != record.replica

    def expire(self, now_s: float) -> bool:
        """Drop lapsed entries whose replica did not come back."""
        due = [key for key, at_s in self._lapsed.items() if at_s <= now_s]
        for key in due:
            del self._lapsed[key]
            self._entries.pop(key, None)
        return bool(due)

    def _remove(self, replica_id: str, now_s: float) -> bool:
        entry = self._entries.get(replica_id)
        if entry is None or replica_id in self._lapsed:
            return False
        if self._in_outage and not entry.is_draining:
            self._lapsed[replica_id] = now_s + LAPSE_GRACE_S
            return False
        del self._entries[replica_id]
        return True
