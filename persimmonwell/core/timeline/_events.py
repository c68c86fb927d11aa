"""Timeline events and the filter that selects them."""

from enum import StrEnum

import attrs

from persimmonwell.core.timeline._clock import MICROSECONDS_PER_S, HybridTimestamp


class EventKind(StrEnum):
    """Kind of a timeline event."""

    RECEIVED = "received"
    ADMITTED = "admitted"
    REFUSED = "refused"
    DISPATCHED = "dispatched"
    FIRST_TOKEN = "first-token"
    RESUMED = "resumed"
    RETRIED = "retried"
    FINISHED = "finished"
    CLAIM_WON = "claim-won"
    CLAIM_LOST = "claim-lost"
    CONFIG_IN_FORCE = "config-in-force"
    HOST_LEFT = "host-left"
    LEASE_TAKEN = "lease-taken"
    ORDER_SENT = "order-sent"
    OTHER = "other"
    """Any other kind; the detail starts with its name."""

    @classmethod
    def parse(cls, text: str) -> "EventKind":
        """Return the kind with this name, or OTHER."""
        return _KINDS.get(text.replace("_", "-").replace(" ", "-"), cls.OTHER)


_KINDS = {kind.value: kind for kind in EventKind}


@attrs.frozen
class TimelineEvent:
    """Event of one host; contains no request text."""

    host: str
    sequence: int
    """Number of the event on its host, from 0."""
    stamp: HybridTimestamp
    kind: EventKind
    request_id: str = ""
    workspace: str = ""
    upstream_ids: tuple[str, ...] = ()
    detail: str = ""


@attrs.frozen
class EventFilter:
    """Filter of events; a field that is None matches every event."""

    request_id: str | None = None
    workspace: str | None = None
    upstream_id: str | None = None
    since_s: float | None = None
    """Earliest wall time, seconds since the Unix epoch."""
    until_s: float | None = None
    """Latest wall time, seconds since the Unix epoch."""

    def matches(
        self,
        stamp: HybridTimestamp,
        request_id: str,
        workspace: str,
        upstream_ids: tuple[str, ...],
    ) -> bool:
        """Return whether an event with these values matches every field."""
        wall_s = stamp.wall_us / MICROSECONDS_PER_S
        return (
            self.request_id in (None, request_id)
            and self.workspace in (None, workspace)
            and (self.upstream_id is None or self.upstream_id in upstream_ids)
            and (self.since_s is None or wall_s >= self.since_s)
            and (self.until_s is None or wall_s <= self.until_s)
        )
