"""Tests of the share of the event loop that costly input gets."""

from persimmonwell.core.resources import Pacer


def test_one_connection_waits_as_long_as_its_last_turn_took() -> None:
    """Guards against a delay that a single client feels without any load."""
    pacer = Pacer()
    for start_s in (10.0, 20.0):
        assert abs(pacer.delay_s(0.002, start_s + 0.002) - 0.002) < 1e-9


def test_many_connections_together_leave_half_of_the_time() -> None:
    """Guards against a share that grows with the number of clients."""
    pacer = Pacer()
    ready = [0.0] * 100
    now_s = busy_s = 0.0
    while now_s < 10.0:
        number = min(range(len(ready)), key=ready.__getitem__)
        now_s = max(now_s, ready[number]) + 0.001
        busy_s += 0.001
        ready[number] = now_s + pacer.delay_s(0.001, now_s)
    assert 4.5 < busy_s < 5.5
