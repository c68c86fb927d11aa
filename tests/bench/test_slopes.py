"""Check the straight-line fit behind the capacity figures."""

import pytest

from bench.slopes import describe, fit


@pytest.mark.parametrize(("intercept", "per_unit"), [(0.0, 2.5), (7.0, -0.5)])
def test_fit_recovers_a_known_line(intercept: float, per_unit: float) -> None:
    """Guards against capacity figures from a wrong slope."""
    points = [(x, intercept + per_unit * x) for x in (4.0, 40.0, 340.0)]
    slope = fit("cost", points, size_unit="host", cost_unit="ms")
    assert slope.intercept == pytest.approx(intercept)
    assert slope.per_unit == pytest.approx(per_unit)
    assert slope.at(1000.0) == pytest.approx(intercept + per_unit * 1000.0)
    assert slope.worst_error == pytest.approx(0.0, abs=1e-9)


def test_fit_reports_its_worst_error() -> None:
    """Guards against a line that hides a cost which is not linear."""
    slope = fit("cost", [(0, 0), (1, 0), (2, 3)], size_unit="host", cost_unit="ms")
    assert slope.worst_error == pytest.approx(1 / 3)
    assert "worst error 33.3%" in describe(slope)


@pytest.mark.parametrize("sizes", [(1.0, 2.0), (1.0, 2.0, 2.0, 1.0)])
def test_fit_refuses_fewer_than_three_sizes(sizes: tuple[float, ...]) -> None:
    """Guards against a slope that two sizes cannot check."""
    with pytest.raises(ValueError, match="at least 3 sizes"):
        fit("cost", [(x, x) for x in sizes], size_unit="host", cost_unit="ms")
