"""Order the events of all hosts by hybrid logical time."""

from persimmonwell.core.timeline._clock import HybridClock, HybridTimestamp
from persimmonwell.core.timeline._documents import (
    event_to_document,
    ring_from_document,
    ring_to_document,
)
from persimmonwell.core.timeline._events import EventFilter, EventKind, TimelineEvent
from persimmonwell.core.timeline._merge import merge_rings
from persimmonwell.core.timeline._ring import RingSnapshot, TimelineRing
from persimmonwell.core.timeline._story import (
    StoryLine,
    conclude,
    read_decision_lines,
    tell_story,
)

__all__ = [
    "EventFilter",
    "EventKind",
    "HybridClock",
    "HybridTimestamp",
    "RingSnapshot",
    "StoryLine",
    "TimelineEvent",
    "TimelineRing",
    "conclude",
    "event_to_document",
    "merge_rings",
    "read_decision_lines",
    "ring_from_document",
    "ring_to_document",
    "tell_story",
]
