"""Timeline of events of all hosts, ordered by a hybrid logical clock."""

from persimmonwell.core.timeline._clock import HybridClock, HybridTimestamp
from persimmonwell.core.timeline._documents import (
    event_to_document,
    ring_from_document,
    ring_to_document,
)
from persimmonwell.core.timeline._events import EventFilter, EventKind, TimelineEvent
from persimmonwell.core.timeline._merge import merge_rings
from persimmonwell.core.timeline._outcomes import (
    LandedOutcome,
    OutcomeFilter,
    RequestOutcome,
    count_dropped_lines,
    list_outcomes,
)
from persimmonwell.core.timeline._request_trace import (
    TraceLine,
    read_decision_lines,
    summarize_trace,
    trace_request,
)
from persimmonwell.core.timeline._ring import RingSnapshot, TimelineRing
from persimmonwell.core.timeline._wait_reasons import explain_wait

__all__ = [
    "EventFilter",
    "EventKind",
    "HybridClock",
    "HybridTimestamp",
    "LandedOutcome",
    "OutcomeFilter",
    "RequestOutcome",
    "RingSnapshot",
    "TraceLine",
    "TimelineEvent",
    "TimelineRing",
    "summarize_trace",
    "count_dropped_lines",
    "event_to_document",
    "list_outcomes",
    "explain_wait",
    "merge_rings",
    "read_decision_lines",
    "ring_from_document",
    "ring_to_document",
    "trace_request",
]
