"""Offsets that go on counting when the log came back from an older copy."""

import attrs

from persimmonwell.core.config import LogRecord


@attrs.frozen
class ContinuedRead:
    """Records of one read, with the first offset kept, both counted on."""

    first_offset: int
    records: tuple[LogRecord, ...]


class ContinuedOffsets:
    """Maps the offsets of a log, which it gives out again in each era, to unique ones.

    In a new era all records of the log follow those that were read before, also those
    that the copy kept. What the copy lacks stays retained until the first record that
    was written since has expired.
    """

    def __init__(self) -> None:
        self._era: int | None = None
        self._is_new_era = False
        """Whether nothing of the era was read yet."""
        self._base = 0
        """Continued offset of the log's offset 0; negative if the log starts later."""
        self._next_offset = 0
        self._first_offset = 0
        self._copy_end_offset = 0
        """End of the log when the era was first read; what the copy kept is before."""

    @property
    def next_offset(self) -> int:
        """Return the offset at which the log is to be read next."""
        return self._next_offset

    def accept(
        self,
        first_offset: int,
        end_offset: int,
        records: tuple[LogRecord, ...],
        era: int | None,
    ) -> ContinuedRead | None:
        """Return a read from next_offset with its offsets continued.

        Returns None if the read is of another era: in a newer one it has to be
        repeated from the new next_offset, and an older one counts for nothing.
        """
        if self._era is not None and era is not None and era != self._era:
            if era > self._era:
                self._base += self._next_offset
                self._next_offset = 0
                self._is_new_era = True
                self._era = era
            return None
        self._era = era if era is not None else self._era
        if self._is_new_era:
            # The continued offsets have no gap for records that expired unread.
            self._base -= first_offset
            self._next_offset = first_offset
            self._copy_end_offset = end_offset
            self._is_new_era = False
        has_gap = first_offset > self._next_offset
        if has_gap or first_offset > self._copy_end_offset:
            self._first_offset = self._base + first_offset
        self._next_offset = max(self._next_offset, first_offset)
        if records:
            self._next_offset = records[-1].offset + 1
        return ContinuedRead(
            self._first_offset,
            tuple(attrs.evolve(r, offset=self._base + r.offset) for r in records),
        )
