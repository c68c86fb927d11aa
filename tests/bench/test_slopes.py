"""Tests for the line fit behind the capacity figures."""

import pytest

from bench.slopes import fit_line, format_slope


@pytest.mark.parametrize(("intercept", "per_unit"), [(0.0, 2.5), (7.0, -0.5)])
def test_fit_recovers_a_known_line(intercept: float, per_unit: float) -> None:
    """Guards against wrong capacity figures."""
    points = [(x, intercept + per_unit * x) for x in (4.0, 40.0, 340.0)]
    slope = fit_line("cost", points, size_unit="host", cost_unit="ms")
    assert slope.intercept == pytest.approx(intercept)
    assert slope.per_unit == pytest.approx(per_unit)
    assert slope.cost_at(1000.0) == pytest.approx(intercept + per_unit * 1000.0)
    assert slope.worst_error == pytest.approx(0.0, abs=1e-9)


def test_fit_reports_its_worst_error() -> None:
    """Guards against a fit that conceals a non-linear cost."""
    slope = fit_line("cost", [(0, 0), (1, 0), (2, 3)], size_unit="host", cost_unit="ms")
    assert slope.worst_error == pytest.approx(1 / 3)
    assert "worst error 33.3%" in format_slope(slope)


@pytest.mark.parametrize("sizes", [(1.0, 2.0), (1.0, 2.0, 2.0, 1.0)])
def test_fit_refuses_fewer_than_three_sizes(sizes: tuple[float, ...]) -> None:
    """Guards against a line that fits exactly because it has only two sizes."""
    with pytest.raises(ValueError, match="at least 3 sizes"):
        fit_line("cost", [(x, x) for x in sizes], size_unit="host", cost_unit="ms")
