"""Tests of offsets that go on counting over the eras of a log."""

from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.claims import ContinuedOffsets, ContinuedRead
from persimmonwell.core.config import LogRecord


class RestorableLog:
    """Log that can come back from a prefix of itself, with a follower."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.first = 0
        self.era = 1
        self.offsets = ContinuedOffsets()
        self.delivered: dict[int, str] = {}
        self.retained_from = 0
        self._count = 0

    def append(self, arg: int) -> None:
        self._count += 1
        self.names.append(f"r{self._count}")

    def restore(self, arg: int) -> None:
        kept = max(self.first, len(self.names) - arg % 4)
        del self.names[kept:]
        self.era += 1

    def expire(self, arg: int) -> None:
        self.first = min(len(self.names), self.first + arg % 3)

    def read(self, arg: int) -> None:
        start = max(self.first, self.offsets.next_offset)
        stop = min(len(self.names), start + arg % 3)
        records = tuple(
            LogRecord(n, {"name": self.names[n]}) for n in range(start, stop)
        )
        read = self.offsets.accept(self.first, len(self.names), records, self.era)
        if read is not None:
            self.deliver(read)

    def deliver(self, read: ContinuedRead) -> None:
        assert read.first_offset >= self.retained_from
        self.retained_from = read.first_offset
        for record in read.records:
            # A fold skips records that leave a gap after the ones before.
            end = max(self.delivered, default=-1) + 1
            assert record.offset == max(end, read.first_offset)
            self.delivered[record.offset] = str(record.data["name"])


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("append", "append", "read", "read", "restore", "expire")),
            st.integers(0, 50),
        ),
        max_size=60,
    )
)
def test_all_records_of_the_last_era_are_delivered_without_gaps(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against claims that no host sees after the log was restored."""
    log = RestorableLog()
    for name, arg in steps:
        getattr(log, name)(arg)
    for _ in range(len(log.names) + 3):
        log.read(2)
    retained = log.names[log.first :]
    delivered = list(log.delivered.values())
    assert delivered[len(delivered) - len(retained) :] == retained


def read_all(offsets: ContinuedOffsets, first: int, *names: str, era: int) -> int:
    """Read a log of names from its first offset on and return the first one kept."""
    start = max(first, offsets.next_offset)
    records = tuple(
        LogRecord(number, {"name": name})
        for number, name in enumerate(names, first)
        if number >= start
    )
    read = offsets.accept(first, first + len(names), records, era)
    assert read is not None
    return read.first_offset


def test_lost_records_are_retained_until_a_later_one_expires() -> None:
    """Guards against keys that are free again because the log lost their claims."""
    offsets = ContinuedOffsets()
    assert read_all(offsets, 0, "a", "b", "c", era=1) == 0
    assert offsets.accept(0, 1, (), 2) is None
    assert read_all(offsets, 0, "a", era=2) == 0
    assert read_all(offsets, 0, "a", "x", "y", era=2) == 0
    assert read_all(offsets, 1, "x", "y", era=2) == 0
    assert read_all(offsets, 2, "y", era=2) == 3 + 2


def test_answer_of_an_earlier_era_counts_for_nothing() -> None:
    """Guards against a late answer that hides what was written since the restore."""
    offsets = ContinuedOffsets()
    read_all(offsets, 0, "a", "b", era=1)
    assert offsets.accept(0, 1, (), 2) is None
    read_all(offsets, 0, "a", era=2)
    assert offsets.accept(0, 2, (LogRecord(1, {"name": "b"}),), 1) is None
    assert offsets.next_offset == 1
