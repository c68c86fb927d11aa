"""Tests of overdue probes, with replicas that are lost and with a busy link."""

from persimmonwell.core.forwarding import ProbeTimes


def sent_to(*replica_ids: str) -> ProbeTimes:
    times = ProbeTimes()
    for replica_id in replica_ids:
        times.record_sent(replica_id, 0.0)
    return times


def test_a_probe_is_overdue_soon_after_others_are_answered() -> None:
    """Guards against streams that wait for the time-out of a probe."""
    times = sent_to("a", "b", "c", "lost")
    for replica_id in ("a", "b", "c"):
        times.record_answered(replica_id, 0.003)
    assert not times.is_overdue("lost", 0.03)
    assert times.is_overdue("lost", 0.034)


def test_a_probe_is_checked_as_soon_as_it_is_overdue() -> None:
    """Guards against streams that wait up to 10 ms more behind a lost replica."""
    times = sent_to("a", "lost")
    times.record_answered("a", 0.003)
    check_s = 0.03 + times.next_check_s("lost", 0.03)
    assert check_s < 0.034
    assert times.is_overdue("lost", check_s + 1e-9)


def test_no_probe_is_overdue_while_all_are_late() -> None:
    """Guards against live replicas that a busy link of the host makes look lost."""
    times = sent_to("a", "b", "c", "d")
    assert not any(times.is_overdue(replica_id, 0.1) for replica_id in "abcd")
    times.record_answered("a", 0.1)
    assert not times.is_overdue("b", 0.12)
    times.record_answered("b", 0.12)
    assert times.is_overdue("c", 0.16)


def test_a_single_probe_is_compared_with_the_usual_time() -> None:
    """Guards against a probe without others that is never overdue."""
    times = ProbeTimes()
    for turn in range(20):
        times.record_sent("a", float(turn))
        times.record_answered("a", turn + 0.004)
    times.record_sent("a", 30.0)
    assert not times.is_overdue("a", 30.02)
    assert times.is_overdue("a", 30.03)


def test_every_probe_is_overdue_at_last() -> None:
    """Guards against streams that stay at lost replicas when a whole zone is lost."""
    times = sent_to("a", "b", "c", "d")
    assert all(times.is_overdue(replica_id, 0.3) for replica_id in "abcd")


def test_probes_that_have_ended_are_not_compared() -> None:
    """Guards against failed probes that count as waiting for ever."""
    times = sent_to("a", "b", "c")
    times.record_failed("b")
    times.record_failed("c")
    assert times.is_overdue("a", 0.04)
    assert not times.is_overdue("b", 0.4)
