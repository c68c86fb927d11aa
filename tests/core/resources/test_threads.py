"""Tests of the choice of the transfers to end for those that wait for a thread."""

from persimmonwell.core.resources import choose_stalled


def test_the_longest_stalled_transfers_end_for_those_that_wait() -> None:
    """Guards against ending transfers that progress, or more than are in the way."""
    idle_s = {"moving": 0.1, "short": 2.5, "long": 9.0, "longest": 30.0}
    assert choose_stalled(idle_s, needed=2, stall_s=2.0) == ("longest", "long")
    assert choose_stalled(idle_s, needed=9, stall_s=2.0)[-1] == "short"
    assert choose_stalled(idle_s, needed=0, stall_s=2.0) == ()
