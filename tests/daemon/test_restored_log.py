"""Tests of daemons whose log came back from an older copy."""

from tests.fleet import SmallFleet, wait_until


def wait_for_version(fleet: SmallFleet, version: int) -> None:
    wait_until(
        lambda: all(fleet.config_version(host) == version for host in fleet.daemons),
        timeout_s=8.0,
    )


def test_patch_that_the_log_lost_is_in_force_on_a_host_that_starts_later(
    fleet: SmallFleet,
) -> None:
    """Guards against an accepted configuration that the start of a host reverts."""
    copy = fleet.log.copy()
    fleet.publish({"retry": {"ratio": 0.2}}, base_version=1)
    wait_for_version(fleet, 2)
    fleet.log.restore(copy)
    fleet.add_daemon("zone-1")
    wait_for_version(fleet, 2)


def test_patch_written_after_a_restore_is_in_force(fleet: SmallFleet) -> None:
    """Guards against a patch that is accepted and never in force."""
    copy = fleet.log.copy()
    fleet.publish({"retry": {"ratio": 0.2}}, base_version=1)
    wait_for_version(fleet, 2)
    fleet.log.restore(copy)
    fleet.publish({"retry": {"ratio": 0.3}}, base_version=2)
    wait_for_version(fleet, 3)
