"""Merge of the event rings of several hosts into one causal order."""

from collections.abc import Iterable

from persimmonwell.core.timeline._clock import HybridTimestamp
from persimmonwell.core.timeline._events import TimelineEvent
from persimmonwell.core.timeline._ring import RingSnapshot

OrderKey = tuple[HybridTimestamp, str, int]


def _order_key(event: TimelineEvent) -> OrderKey:
    return (event.stamp, event.host, event.sequence)


def merge_rings(rings: Iterable[RingSnapshot]) -> tuple[TimelineEvent, ...]:
    """Return all events ordered by timestamp, then host and sequence.

    An event that several snapshots contain is returned once. The sequence restarts
    with the process, so the timestamp is part of the identity of an event.
    """
    events = {_order_key(event): event for ring in rings for event in ring.events}
    return tuple(events[key] for key in sorted(events))
