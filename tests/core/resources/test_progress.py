"""Tests of the progress of a transfer."""

import pytest

from persimmonwell.core.resources import Progress


def test_rate_falls_when_nothing_arrives() -> None:
    """Guards against an upload that counts as fast long after it stopped."""
    progress = Progress(0.0)
    for tenth in range(1, 101):
        progress.add(1000, tenth / 10)
    assert progress.bytes_per_s(10.0) == pytest.approx(10_000, rel=0.1)
    assert progress.bytes_per_s(20.0) < 100
    assert progress.idle_s(20.0) == pytest.approx(10.0)


def test_time_in_which_the_host_paused_does_not_count() -> None:
    """Guards against a client that is ended for the back-pressure of the host."""
    progress = Progress(0.0)
    progress.add(10_000, 1.0)
    progress.pause(2.0)
    progress.pause(3.0)
    assert progress.idle_s(50.0) == pytest.approx(1.0)
    assert not progress.is_below(128.0, 30.0, 50.0)
    progress.resume(50.0)
    assert progress.idle_s(51.0) == pytest.approx(2.0)
    assert progress.observed_s(51.0) == pytest.approx(3.0)


@pytest.mark.parametrize(("count", "is_below"), [(3839, True), (3840, False)])
def test_rate_is_judged_over_a_whole_window(count: int, is_below: bool) -> None:
    """Guards against a client that is ended for a pause within the window."""
    progress = Progress(0.0)
    progress.add(count, 1.0)
    assert not progress.is_below(128.0, 30.0, 29.9)
    assert progress.is_below(128.0, 30.0, 30.0) is is_below
    # A new window has begun.
    assert not progress.is_below(128.0, 30.0, 31.0)
