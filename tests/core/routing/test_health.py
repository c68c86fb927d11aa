"""Check ejection, probes, latency outliers and slow start."""

import pytest

from persimmonwell.core.routing import HealthTracker

PEERS = {name: (("m", "0-6"), "") for name in "abcd"}


def tracker(*, may_eject: bool = True, names: str = "abcd") -> HealthTracker:
    health = HealthTracker(seed=1, may_eject=lambda _: may_eject)
    health.update({name: PEERS[name] for name in names}, now_s=0.0)
    return health


def fail(health: HealthTracker, name: str, times: int, now_s: float) -> None:
    for _ in range(times):
        health.record_failure(name, now_s=now_s)


@pytest.mark.parametrize(
    ("failures", "may_eject", "ejected"),
    [(1, True, False), (2, True, False), (3, True, True), (9, False, False)],
)
def test_consecutive_failures_eject_unless_needed(
    failures: int, may_eject: bool, ejected: bool
) -> None:
    """Guards against ejection too early, never, or where it breaks coverage."""
    health = tracker(may_eject=may_eject)
    fail(health, "a", 2, 0.0)
    health.record_success("a", now_s=0.0)
    fail(health, "a", failures, 0.0)
    assert health.is_ejected("a") == ejected
    assert (health.weight("a", 9.0) == 0) == ejected
    assert health.weight("a", 9.0) < health.weight("b", 9.0) == 1


def test_probe_is_due_once_and_backs_off() -> None:
    """Guards against duplicate probes, and against probing without back-off."""
    health = tracker()
    fail(health, "a", 1, 0.0)
    assert health.probes_due(0.0) == ("a",)
    fail(health, "a", 2, 0.0)
    now_s, waits = 0.0, []
    for _ in range(12):
        assert health.probes_due(now_s + 100) == ()
        health.apply_probe_result("a", succeeded=False, now_s=now_s)
        probed_s = now_s
        while not health.probes_due(now_s):
            now_s += 0.01
        waits.append(now_s - probed_s)
    assert waits[0] < 1.0 < 4.9 < waits[-1] < 6.1
    assert all(x < y + 1.1 for x, y in zip(waits, waits[1:], strict=False))


def test_probe_success_readmits_with_slow_start() -> None:
    """Guards against full load on readmission, and repeated losses by flapping."""
    health = tracker()
    fail(health, "a", 3, 0.0)
    health.apply_probe_result("a", succeeded=True, now_s=1.0)
    weights = [health.weight("a", 1.0 + step) for step in (0, 1, 2, 3, 4)]
    assert weights[0] == pytest.approx(0.1) and weights[3] == weights[4] == 1
    assert weights == sorted(weights)
    fail(health, "a", 1, 2.0)
    assert health.is_ejected("a")


def test_probe_answers_do_not_hide_failing_requests() -> None:
    """Guards against an upstream that answers probes and fails every request."""
    health = tracker()
    for _ in range(3):
        health.record_failure("a", now_s=0.0)
        health.apply_probe_result("a", succeeded=True, now_s=0.0)
        if health.is_ejected("a"):
            break
    assert health.weight("a", 0.0) < 0.2


@pytest.mark.parametrize(
    ("slow_gap", "share", "ejected"),
    [(1.0, 1.0, False), (2.9, 1.0, False), (5.0, 0.2, False), (20.0, 0.0, True)],
)
def test_latency_outlier_loses_weight(
    slow_gap: float, share: float, ejected: bool
) -> None:
    """Guards against an outlier that keeps its weight, and noise that lowers it.

    The slow stage shares a third of its peers' chains, as in mixed chains.
    """
    health = tracker()
    for number in range(120):
        health.record_token_gap("abc"[: 1 + number % 3], slow_gap)
        health.record_token_gap("bcd", 1.0)
    health.check_latency(1.0)
    assert health.is_ejected("a") == ejected
    assert health.capacity_share("a") == pytest.approx(share, rel=0.7)
    assert [health.capacity_share(name) for name in "bcd"] == [1, 1, 1]


def test_ejected_outlier_explains_the_latency_of_its_chains() -> None:
    """Guards against latency attributed to healthy stages after an ejection."""
    health = tracker()
    for _ in range(10):
        health.record_token_gap("a", 20.0)
        health.record_token_gap("bcd", 1.0)
    health.check_latency(1.0)
    assert health.is_ejected("a")
    for now_s in (2.0, 3.0):
        for _ in range(20):
            health.record_token_gap("ab", 20.0)
        assert health.check_latency(now_s) <= {"a"}
        health.readmit("a", now_s=now_s)
    assert health.capacity_share("b") == 1


def test_recovered_outlier_regains_weight() -> None:
    """Guards against a weight that stays low after the latency recovered."""
    health = tracker()
    for value, now_s in ((5.0, 1.0), (1.0, 2.0)):
        for _ in range(40):
            health.record_token_gap("a", value)
            health.record_token_gap("bcd", 1.0)
        assert health.check_latency(now_s) == {"a"}
    assert health.capacity_share("a") == 1


@pytest.mark.parametrize(("incarnation", "ramp"), [("", 1.0), ("2", 0.1)])
def test_new_incarnation_and_new_upstream_start_slowly(
    incarnation: str, ramp: float
) -> None:
    """Guards against full load on a restarted or new upstream."""
    health = tracker(names="abc")
    known = {**PEERS, "a": (("m", "0-6"), incarnation)}
    health.update(known, now_s=50.0)
    assert health.ramp("a", 50.0) == pytest.approx(ramp)
    assert health.ramp("d", 50.0) == pytest.approx(0.1)
    assert health.ramp("b", 50.0) == 1
