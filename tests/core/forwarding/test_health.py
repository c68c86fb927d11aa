"""Tests of the health of replicas."""

from persimmonwell.core.forwarding._health import MAX_EJECTION_S, ReplicaHealth


def test_a_replica_that_never_succeeds_is_ejected_without_end() -> None:
    """Guards against an overflow at the 1,025th ejection in a row."""
    health = ReplicaHealth()
    for number in range(1100):
        health.eject("a", ("a", 1), number * MAX_EJECTION_S)
    assert health.is_ejected("a", 1099.5 * MAX_EJECTION_S)
    assert not health.is_ejected("a", 1100 * MAX_EJECTION_S)
