"""Define the typed events and decisions of the leases of one host."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import LogRecord


@attrs.frozen
class LeasesWanted:
    """Replace the set of leases that this host should try to hold."""

    names: frozenset[str]


@attrs.frozen
class LeasesRead:
    """Report a slice of the leases stream."""

    first_offset: int
    """Lowest offset that retention has kept."""
    next_offset: int
    """Offset that the next append to the stream would have got."""
    records: tuple[LogRecord, ...]
    read_s: float
    """Time on the host's clock before the read was sent."""


@attrs.frozen
class LeaseAppendEnded:
    """Report that an append was answered, or that no answer will come."""

    name: str


@attrs.frozen
class LeasesTick:
    """Let time-driven work run."""


LeasesEvent = LeasesWanted | LeasesRead | LeaseAppendEnded | LeasesTick


@attrs.frozen
class AppendLease:
    """Append a record to the leases stream."""

    name: str
    record: JsonObject


@attrs.frozen
class LeaseTaken:
    """Report that this host holds a lease."""

    name: str
    fence: int


@attrs.frozen
class LeaseLost:
    """Report that another host holds a lease that this host held."""

    name: str
    fence: int


LeaseDecision = AppendLease | LeaseTaken | LeaseLost
