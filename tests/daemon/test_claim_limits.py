"""Tests of the limits that a daemon's claims get from its settings."""

import pytest

from persimmonwell.daemon._claim_coordinator import MIN_SETTLE_S, claim_limits
from persimmonwell.settings import PlatformSettings


@pytest.mark.parametrize(
    ("window_s", "expected_hosts"), [(0.02, 4), (1.5, 4), (0.02, 340)]
)
def test_hosts_settle_for_two_append_windows(
    window_s: float, expected_hosts: int
) -> None:
    """Guards against a key won before the claims that were lost are stated again."""
    settings = PlatformSettings(
        log_url="http://127.0.0.1:9",
        host_list_url="http://127.0.0.1:9",
        claim_window_s=window_s,
    )
    limits = claim_limits(settings, expected_hosts)
    assert limits.window_s >= window_s
    assert limits.settle_s >= 2 * limits.window_s + MIN_SETTLE_S
