"""View of the replicas that are registered in the platform's store."""

import attrs

from persimmonwell.core.forwarding._model import Replica

LAPSE_GRACE_S = 1.8
"""Time for replicas to register again after an outage of the store. Live ones do so
within about 2 s; the interval counts from the first successful read."""


@attrs.frozen
class RegistryRecord:
    """One record of the registry's log; replica None removes the entry."""

    replica_id: str
    offset: int
    replica: Replica | None


class ReplicaRegistry:
    """Newest entry of each replica, merged from full lists and changes."""

    def __init__(self) -> None:
        self._entries: dict[str, Replica] = {}
        self._offsets: dict[str, int] = {}
        self._lapsed_until_s: dict[str, float] = {}
        self._in_outage = False
        self._newest_offset = -1
        self._changed_offset = -1

    @property
    def newest_offset(self) -> int:
        """Return the newest offset that was read."""
        return self._newest_offset

    @property
    def last_change_offset(self) -> int:
        """Return the offset of the newest record that changed an entry."""
        return self._changed_offset

    @property
    def replicas(self) -> dict[str, Replica]:
        """Return all entries by replica id."""
        return self._entries

    def mark_store_unavailable(self) -> None:
        """Start the outage mode, in which removed entries are kept for a grace time."""
        self._in_outage = True

    def mark_store_available(self) -> None:
        """End the outage mode; removals take effect at once from now on."""
        self._in_outage = False

    def replace(
        self,
        records: tuple[RegistryRecord, ...],
        now_s: float,
        *,
        end_offset: int | None = None,
    ) -> bool:
        """Apply a full list that ends at an offset; remove the entries that it lacks.

        A list that ends before the newest offset read is stale and removes nothing.
        Returns whether an entry changed.
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
        """Apply records in order; return whether an entry changed."""
        changed = False
        for record in records:
            if record.offset <= self._offsets.get(record.replica_id, -1):
                continue  # Stale reads return records that were applied already.
            self._offsets[record.replica_id] = record.offset
            self._newest_offset = max(self._newest_offset, record.offset)
            if self._apply_record(record, now_s):
                changed = True
                self._changed_offset = max(self._changed_offset, record.offset)
        return changed

    def _apply_record(self, record: RegistryRecord, now_s: float) -> bool:
        if record.replica is None:
            return self._remove(record.replica_id, now_s)
        self._lapsed_until_s.pop(record.replica_id, None)
        before = self._entries.get(record.replica_id)
        self._entries[record.replica_id] = record.replica
        return before != record.replica

    def expire(self, now_s: float) -> bool:
        """Drop entries whose replica did not register again; return whether any was."""
        due = [key for key, at_s in self._lapsed_until_s.items() if at_s <= now_s]
        for key in due:
            del self._lapsed_until_s[key]
            self._entries.pop(key, None)
        return bool(due)

    def _remove(self, replica_id: str, now_s: float) -> bool:
        entry = self._entries.get(replica_id)
        if entry is None or replica_id in self._lapsed_until_s:
            return False
        if self._in_outage and not entry.is_draining:
            self._lapsed_until_s[replica_id] = now_s + LAPSE_GRACE_S
            return False
        del self._entries[replica_id]
        return True
