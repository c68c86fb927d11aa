"""Tests of what operators see of sends to other availability zones."""

import pytest

from persimmonwell.core.forwarding import ZoneCrossing
from persimmonwell.gateway._metrics import MAX_LABEL_VALUES, GatewayMetrics
from persimmonwell.gateway._zone_crossings import crossing_fields


def test_crossings_are_counted_by_pair_of_zones() -> None:
    """Guards against costs of bandwidth that no metric shows."""
    metrics = GatewayMetrics()
    for target in ("zb", "zb", "zc"):
        metrics.count_crossing("za", target)
    text = metrics.render().decode()
    name = "persimmonwell_gateway_zone_crossings_total"
    assert f'{name}{{from="za",to="zb"}} 2' in text
    assert f'{name}{{from="za",to="zc"}} 1' in text


def test_zones_of_crossings_are_bounded_and_escaped() -> None:
    """Guards against zones of forged entries that break or fill the metrics."""
    metrics = GatewayMetrics()
    metrics.count_crossing("za", 'z"b')
    for number in range(MAX_LABEL_VALUES + 5):
        metrics.count_crossing("za", f"z{number}")
    text = metrics.render().decode()
    assert 'zone_crossings_total{from="za",to="z\\"b"} 1' in text
    assert 'zone_crossings_total{from="za",to="other"} 7' in text
    assert text.count("zone_crossings_total{") == MAX_LABEL_VALUES


@pytest.mark.parametrize("home_step_ms", [None, 51.234])
def test_the_line_of_a_send_names_the_step_time_that_decided(
    home_step_ms: float | None,
) -> None:
    """Guards against crossings whose reason the log does not show."""
    fields = crossing_fields(ZoneCrossing("za", "zb", home_step_ms, 9.0))
    rounded = None if home_step_ms is None else 51.23
    assert fields == {"from_zone": "za", "to_zone": "zb", "home_step_ms": rounded}
    assert crossing_fields(None) == {}
