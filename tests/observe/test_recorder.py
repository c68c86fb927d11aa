"""Tests of the timeline recorder: concurrency, event kinds and clock."""

import sys
import threading

import pytest

from persimmonwell.core.timeline import EventFilter, EventKind, HybridTimestamp
from persimmonwell.observe import Recorder

ALL = EventFilter()


def test_concurrent_recording_keeps_all_events_in_order() -> None:
    """Guards against events that are lost or out of order under concurrency."""
    recorder = Recorder(host_id="host-1", capacity=10_000, wall_clock=lambda: 5.0)
    barrier = threading.Barrier(8)

    def work(name: str) -> None:
        barrier.wait()
        for number in range(500):
            recorder.record(EventKind.RECEIVED, request_id=name, detail=str(number))
            recorder.read(ALL, limit=1) if number % 100 == 0 else None

    # Frequent thread switches make a missing lock fail within one run.
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    threads = [threading.Thread(target=work, args=(str(n),)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    sys.setswitchinterval(interval_s)
    events = recorder.read(ALL, limit=10_000).events
    assert [event.sequence for event in events] == list(range(4000))
    assert all(a.stamp < b.stamp for a, b in zip(events, events[1:], strict=False))
    for name in map(str, range(8)):
        details = [event.detail for event in events if event.request_id == name]
        assert details == [str(number) for number in range(500)]


@pytest.mark.parametrize(
    ("kind", "expected", "detail"),
    [
        ("claim won", EventKind.CLAIM_WON, "d"),
        ("first_token", EventKind.FIRST_TOKEN, "d"),
        (EventKind.HOST_LEFT, EventKind.HOST_LEFT, "d"),
        ("ejected", EventKind.OTHER, "ejected: d"),
    ],
)
def test_event_kinds_are_parsed(kind: str, expected: EventKind, detail: str) -> None:
    """Guards against events with a kind given as text that are dropped or untyped."""
    recorder = Recorder(host_id="host-1", capacity=10)
    recorder.record(kind, detail="d")
    (event,) = recorder.read(ALL, limit=10).events
    assert (event.kind, event.detail) == (expected, detail)


def test_details_are_truncated_and_remote_stamps_merged() -> None:
    """Guards against unbounded memory, and effects stamped before their causes."""
    recorder = Recorder(host_id="host-1", capacity=10, wall_clock=lambda: 5.0)
    remote = HybridTimestamp(6_000_000, 4)
    assert recorder.merge_remote_stamp(remote)
    assert not recorder.merge_remote_stamp(HybridTimestamp(60_000_000))
    recorder.record(EventKind.REFUSED, detail="x" * 1000)
    (event,) = recorder.read(ALL, limit=10).events
    assert event.stamp > remote and len(event.detail) == 160
    assert (recorder.rejected_stamps, recorder.next_stamp() > event.stamp) == (1, True)
