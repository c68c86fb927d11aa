"""Events and decisions of the lease state of one host."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import LogRecord


@attrs.frozen
class LeasesWanted:
    """Replace the set of leases that this host should try to hold."""

    names: frozenset[str]


@attrs.frozen
class LeasesRead:
    """A range of records was read from the leases stream."""

    first_offset: int
    """Lowest offset that the log still retains."""
    next_offset: int
    """Offset after the last record that the stream had at the read."""
    records: tuple[LogRecord, ...]
    read_s: float
    """Time on the host's clock before the read was sent."""


@attrs.frozen
class LeaseAppendEnded:
    """An append was answered, or its answer is lost."""

    name: str


@attrs.frozen
class LeasesTick:
    """Time has passed: a renewal or take-over may be due."""


LeasesEvent = LeasesWanted | LeasesRead | LeaseAppendEnded | LeasesTick


@attrs.frozen
class AppendLease:
    """Append a record to the leases stream."""

    name: str
    record: JsonObject


@attrs.frozen
class LeaseTaken:
    """This host has become the holder of a lease."""

    name: str
    fence: int


@attrs.frozen
class LeaseLost:
    """Another host has taken a lease that this host held."""

    name: str
    fence: int


LeaseDecision = AppendLease | LeaseTaken | LeaseLost
