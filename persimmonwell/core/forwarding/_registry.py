"""View of the replicas that are registered in the platform's store.

Load pattern: dozens of hosts of a zone follow the same registry, and when replicas fall
or move, several entries change a second. One host of the zone reads a change and relays
it, with the offsets that show whether the receiver has missed one.
"""

from collections import deque
from collections.abc import Sequence
from itertools import accumulate, pairwise

import attrs

from persimmonwell.core.forwarding._heartbeats import HeartbeatOrder
from persimmonwell.core.forwarding._model import Replica

LAPSE_GRACE_S = 1.8
"""Time for replicas to register again after an outage of the store. Live ones do so
within about 2 s; the interval counts from the first successful read."""

MAX_KEPT_CHANGES = 200
"""Changes that a host keeps although it does not relay them."""

MAX_KEPT_FOR_RELAY = 4096
"""Changes that a host which relays them keeps. When layers are placed or all replicas
restart, one read of the store changes some hundred entries; 1,000 hosts have some 3,300
replicas."""

RELAY_PAUSE_S = 2.0
"""Time without a relay after which a host counts as one that relays nothing."""

MAX_REMOVED = 1024
"""Removed replicas that are not taken from an older copy of the store again."""

MAX_RELAYED_ENTRIES = 16_384
"""Entries up to which relayed changes add others; 1,000 hosts have some 3,300 replicas.
Anyone can send datagrams with changes, and a list from the store removes the entries
that it lacks."""

MAX_OFFSETS = 131_072
"""Replicas whose newest offset is kept, those without an entry included."""

MAX_LATE = 256
"""Replicas with a late heartbeat that are kept until the next take_late."""


@attrs.frozen
class RegistryRecord:
    """One record of the registry's log; replica None removes the entry."""

    replica_id: str
    offset: int
    replica: Replica | None


@attrs.frozen
class RegistryChanges:
    """Newest changes of entries, complete for a host that knows all before them."""

    after_offset: int
    """Every change of an entry after this offset is listed."""
    end_offset: int
    """Newest offset that the sender has read."""
    records: tuple[RegistryRecord, ...]
    era: int = 0
    """Era of the store in which the offsets count."""
    skipped: tuple[int, int] = (0, 0)
    """Offsets, the second one exclusive, whose records the sender did not read but for
    a list after them. A receiver whose newest offset is among them may know an entry
    that was removed before that list."""


@attrs.frozen
class _Change:
    record: RegistryRecord
    seen_s: float


class ReplicaRegistry:
    """Newest entry of each replica, merged from full lists and changes.

    When the store comes back from an older copy, a new era begins: offsets are given
    out again, and its list may be older than what this host knows. Live replicas write
    their entries again, so a known entry waits for a record that is newer for sure.
    """

    def __init__(self) -> None:
        self._era = 0
        self._current_from_offset = 0
        """Records before this offset may come from the copy of the store."""
        self._removed: dict[str, int] = {}
        """Start of the removed incarnation by replica id, the oldest removal first."""
        self._withheld: set[str] = set()
        """Replicas whose newest record in the store is older than what they said."""
        self._heartbeats = HeartbeatOrder()
        self._late: deque[str] = deque(maxlen=MAX_LATE)
        self._entries: dict[str, Replica] = {}
        self.version = 0
        """Increases with each change of an entry."""
        self._offsets: dict[str, int] = {}
        self._lapsed_until_s: dict[str, float] = {}
        self._in_outage = False
        self._newest_offset = -1
        self._changed_offset = -1
        self._list_end_offset = 0
        """End of the newest full list; what it lacks was removed before that offset."""
        self._changes: deque[_Change] = deque()
        self._changes_after_offset = -1
        self._pending_count = 0
        """Newest changes that take_batches has not returned."""
        self._relayed_s = float("-inf")
        self._skipped = (0, 0)
        """See RegistryChanges.skipped."""

    @property
    def era(self) -> int:
        """Return how often the store came back from a copy, as it states."""
        return self._era

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

    def has_incarnation(self, replica_id: str, started_at_ms: int) -> bool:
        """Return whether the entry of a replica is of that start."""
        replica = self._entries.get(replica_id)
        return replica is not None and replica.started_at_ms == started_at_ms

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
        era: int = 0,
    ) -> bool:
        """Apply a full list that ends at an offset; remove the entries that it lacks.

        A list that ends before the newest offset read is stale and removes nothing.
        Returns whether an entry changed.
        """
        is_first = self._newest_offset < 0
        is_restored = era > self._era and not is_first
        if is_restored:
            self._start_era(end_offset or 0)
        self._era = max(era, self._era)
        known_offset = self._newest_offset
        listed = {record.replica_id for record in records}
        is_stale = end_offset is not None and end_offset <= self._newest_offset
        current = tuple(record for record in records if not self._is_older(record))
        changed = self._apply(current, now_s, is_list=True)
        if is_stale:
            return changed
        if end_offset is not None:
            self._skip((known_offset + 1, end_offset - 1))
            self._list_end_offset = end_offset
            self._newest_offset = max(self._newest_offset, end_offset - 1)
        for replica_id in self._entries.keys() - listed:
            if self._remove(replica_id, now_s, may_return=is_restored):
                changed = True
                self._record_removal(replica_id, now_s)
        if is_first or is_restored:
            # Other hosts need a list of their own; it is no change they could miss.
            self._changes.clear()
            self._pending_count = 0
            self._changes_after_offset = self._newest_offset
            self._skipped = (0, 0)
        return changed

    def _skip(self, offsets: tuple[int, int]) -> None:
        """Add offsets whose records were not read, as one range with those before."""
        start, stop = offsets
        if start >= stop:
            return
        if self._skipped[1] > self._changes_after_offset:
            start = min(start, self._skipped[0])
            stop = max(stop, self._skipped[1])
        self._skipped = (start, stop)

    def _start_era(self, end_offset: int) -> None:
        """Forget all offsets, since those of the new era name other records."""
        self._current_from_offset = min(end_offset, self._newest_offset + 1)
        self._offsets.clear()
        self._newest_offset = -1
        self._changed_offset = -1
        self._list_end_offset = 0
        self._withheld.clear()

    def _is_older(self, record: RegistryRecord) -> bool:
        """Return whether a listed record may be older than what this host knows."""
        if record.offset >= self._current_from_offset or record.replica is None:
            return False
        if record.replica_id in self._entries:
            return True
        removed_start_ms = self._removed.get(record.replica_id)
        is_removed = removed_start_ms == record.replica.started_at_ms
        if is_removed:
            self._withheld.add(record.replica_id)
        return is_removed

    def changes(self, now_s: float, *, max_age_s: float, limit: int) -> RegistryChanges:
        """Return the changes of the last seconds, the newest ones up to a limit."""
        self._relayed_s = now_s
        while self._changes and now_s - self._changes[0].seen_s > max_age_s:
            self._drop_oldest_change()
        records = [change.record for change in self._changes]
        start = max(0, len(records) - limit)
        return self._relayed(records[:start], records[start:], self._newest_offset)

    def take_batches(
        self, now_s: float, *, max_age_s: float, limit: int
    ) -> tuple[RegistryChanges, ...]:
        """Return the changes of the last seconds that were not returned before.

        More than one batch of about `limit` changes has to be applied in this order.
        """
        newest = self.changes(now_s, max_age_s=max_age_s, limit=limit)
        records = [change.record for change in self._changes]
        start = max(0, len(records) - self._pending_count)
        self._pending_count = 0
        if len(records) - start <= len(newest.records):
            return (newest,)
        cuts = _batch_cuts(records, start, limit)
        if any(stop - begin > 2 * limit for begin, stop in pairwise(cuts)):
            return (newest,)
        return tuple(
            self._relayed(
                records[:begin],
                records[begin:stop],
                self._newest_offset
                if stop == len(records)
                else max(record.offset for record in records[begin:stop]),
            )
            for begin, stop in pairwise(cuts)
        )

    def _relayed(
        self,
        earlier: Sequence[RegistryRecord],
        records: Sequence[RegistryRecord],
        end_offset: int,
    ) -> RegistryChanges:
        """Return changes that are complete for a host that knows the earlier ones."""
        offsets = [record.offset for record in earlier]
        return RegistryChanges(
            max([self._changes_after_offset, *offsets]),
            end_offset,
            tuple(records),
            self._era,
            self._skipped,
        )

    def snapshot(self) -> RegistryChanges | None:
        """Return all entries, for a host that has none; None if no list was read."""
        if self._newest_offset < 0:
            return None
        records = tuple(
            RegistryRecord(replica_id, self._offsets.get(replica_id, 0), replica)
            for replica_id, replica in self._entries.items()
        )
        return RegistryChanges(-1, self._newest_offset, records, self._era)

    def apply_changes(self, changes: RegistryChanges, now_s: float) -> bool | None:
        """Apply changes that another host has read.

        Returns whether an entry changed, None if changes between were missed, or may
        have been, so that this host needs a list of its own.
        """
        if changes.era != self._era or self._newest_offset < changes.after_offset:
            return None
        known_offset = self._newest_offset
        skipped_from, skipped_to = changes.skipped
        may_miss_removal = skipped_from <= known_offset < skipped_to
        if known_offset < skipped_to:
            self._skip(changes.skipped)
        added = sum(
            record.replica is not None and record.replica_id not in self._entries
            for record in changes.records
        )
        if added and len(self._entries) + added > MAX_RELAYED_ENTRIES:
            return None
        changed = self.apply(changes.records, now_s)
        if may_miss_removal:
            # Later changes must not count as complete before the list is read.
            self._newest_offset = known_offset
            return None
        self._newest_offset = max(self._newest_offset, changes.end_offset)
        return changed

    def apply(self, records: tuple[RegistryRecord, ...], now_s: float) -> bool:
        """Apply records in order; return whether an entry changed."""
        return self._apply(records, now_s, is_list=False)

    def _apply(
        self, records: tuple[RegistryRecord, ...], now_s: float, *, is_list: bool
    ) -> bool:
        changed = False
        for record in records:
            if not self._is_unknown(record):
                continue  # Stale reads return records that were applied already.
            if (
                record.replica_id not in self._entries
                and record.offset < self._list_end_offset
            ):
                continue  # A later full list did not have it any more.
            self._offsets[record.replica_id] = record.offset
            if len(self._offsets) > MAX_OFFSETS:
                self._drop_old_offsets()
            self._newest_offset = max(self._newest_offset, record.offset)
            if self._is_late(record, now_s):
                self._withhold(record, now_s)
            elif self._apply_record(record, now_s):
                changed = True
                self._record_change(record, now_s)
            elif is_list:
                # Another host may have seen a change between, which a list hides.
                self._record_change(record, now_s)
        return changed

    def _is_unknown(self, record: RegistryRecord) -> bool:
        """Return whether a record may state something that was not applied yet."""
        known_offset = self._offsets.get(record.replica_id, -1)
        if record.offset != known_offset:
            return record.offset > known_offset
        # What another host knows in place of a late heartbeat, see _withhold.
        return record.replica_id in self._entries and (
            record.replica is None or self._heartbeats.is_newer(record.replica)
        )

    def _is_late(self, record: RegistryRecord, now_s: float) -> bool:
        if record.replica is None:
            return False
        is_removed = (
            record.replica_id not in self._entries
            or record.replica_id in self._lapsed_until_s
        )
        return self._heartbeats.is_late(record.replica, now_s, is_removed=is_removed)

    def _withhold(self, record: RegistryRecord, now_s: float) -> None:
        """Keep what is known in place of a late heartbeat, and relay it.

        A host that lists the registry now knows the late heartbeat alone.
        """
        self._withheld.add(record.replica_id)
        self._late.append(record.replica_id)
        if record.replica_id not in self._lapsed_until_s:
            known = self._entries.get(record.replica_id)
            self._record_change(attrs.evolve(record, replica=known), now_s)

    def take_late(self) -> tuple[str, ...]:
        """Return the replicas with a late heartbeat since the last call."""
        late = tuple(self._late)
        self._late.clear()
        return late

    def _drop_old_offsets(self) -> None:
        """Drop the older half of the offsets of replicas that have no entry."""
        removed = [key for key in self._offsets if key not in self._entries]
        for replica_id in removed[: (len(removed) + 1) // 2]:
            del self._offsets[replica_id]
            self._heartbeats.forget(replica_id)

    def _record_change(self, record: RegistryRecord, now_s: float) -> None:
        self._changed_offset = max(self._changed_offset, record.offset)
        self._changes.append(_Change(record, now_s))
        is_relayed = now_s - self._relayed_s <= RELAY_PAUSE_S
        limit = MAX_KEPT_FOR_RELAY if is_relayed else MAX_KEPT_CHANGES
        while len(self._changes) > limit:
            self._drop_oldest_change()
        self._pending_count = min(self._pending_count + 1, len(self._changes))

    def _drop_oldest_change(self) -> None:
        dropped = self._changes.popleft()
        self._changes_after_offset = max(
            self._changes_after_offset, dropped.record.offset
        )

    def _record_removal(self, replica_id: str, now_s: float) -> None:
        # No record states it; its offset is before the newest one that was read.
        self._record_change(
            RegistryRecord(replica_id, self._newest_offset, None), now_s
        )
        self._offsets[replica_id] = self._newest_offset

    def _apply_record(self, record: RegistryRecord, now_s: float) -> bool:
        was_withheld = record.replica_id in self._withheld
        self._withheld.discard(record.replica_id)
        if record.replica is None:
            # A host that started since has the withheld entry and needs the removal.
            return self._remove(record.replica_id, now_s) or was_withheld
        self._lapsed_until_s.pop(record.replica_id, None)
        self._heartbeats.record(record.replica, now_s)
        before = self._entries.get(record.replica_id)
        self._entries[record.replica_id] = record.replica
        if before == record.replica:
            return was_withheld
        self.version += 1
        return True

    def expire(self, now_s: float) -> bool:
        """Drop entries whose replica did not register again; return whether any was."""
        due = [key for key, at_s in self._lapsed_until_s.items() if at_s <= now_s]
        for key in due:
            del self._lapsed_until_s[key]
            if key in self._entries:
                self._delete(key)
                self._record_removal(key, now_s)
        return bool(due)

    def _remove(
        self, replica_id: str, now_s: float, *, may_return: bool = False
    ) -> bool:
        entry = self._entries.get(replica_id)
        if entry is None or replica_id in self._lapsed_until_s:
            return False
        if (self._in_outage or may_return) and not entry.is_draining:
            self._lapsed_until_s[replica_id] = now_s + LAPSE_GRACE_S
            return False
        self._delete(replica_id)
        return True

    def _delete(self, replica_id: str) -> None:
        started_at_ms = self._entries.pop(replica_id).started_at_ms
        self.version += 1
        self._removed.pop(replica_id, None)
        self._removed[replica_id] = started_at_ms
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]


def _batch_cuts(records: Sequence[RegistryRecord], start: int, limit: int) -> list[int]:
    """Return where batches of at least `limit` records begin, and the end of the last.

    A list is not in the order of its offsets. A batch ends only where all later records
    have later offsets, so that a host without the next one knows that it lacks some.
    """
    offsets = [record.offset for record in records]
    newest_before = list(accumulate(offsets, max))
    oldest_after = list(accumulate(reversed(offsets), min))[::-1]
    cuts = [start]
    for index in range(start + 1, len(offsets)):
        is_ordered = newest_before[index - 1] < oldest_after[index]
        if index - cuts[-1] >= limit and is_ordered:
            cuts.append(index)
    return [*cuts, len(offsets)]
