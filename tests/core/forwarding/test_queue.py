"""Tests of the queue of waiting requests."""

from persimmonwell.core.forwarding._queue import LONG_RATE_WINDOW_S, RequestQueue


def test_sends_without_a_queue_use_bounded_memory() -> None:
    """Guards against a host that runs out of memory after days without a queue."""
    queue = RequestQueue()
    for number in range(100_000):
        queue.record_send(number * 0.01)
    assert len(queue._send_times_s) <= LONG_RATE_WINDOW_S / 0.01 + 1
