"""Tests of the estimate of intervals."""

from persimmonwell.core.forwarding import IntervalEstimate


def test_nothing_is_unusual_before_the_first_interval() -> None:
    """Guards against a time-out that is made up."""
    assert IntervalEstimate().mean_s is None
    assert IntervalEstimate().unusual_s == 0.0


def test_regular_intervals_make_a_small_excess_unusual() -> None:
    """Guards against a time-out that is long only because the first one was."""
    estimate = IntervalEstimate()
    for _ in range(50):
        estimate.record(0.02)
    assert 0.02 <= estimate.unusual_s < 0.021


def test_irregular_intervals_are_not_unusual() -> None:
    """Guards against a time-out that single long intervals of the load exceed."""
    estimate = IntervalEstimate()
    for turn in range(50):
        estimate.record(0.06 if turn % 4 == 0 else 0.02)
    assert estimate.unusual_s > 0.06


def test_the_estimate_follows_longer_intervals() -> None:
    """Guards against false alarms for as long as a link is busy."""
    estimate = IntervalEstimate()
    for _ in range(50):
        estimate.record(0.004)
    for _ in range(3):
        estimate.record(0.1)
    assert estimate.unusual_s > 0.15
