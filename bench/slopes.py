"""Least-squares lines through costs measured at several sizes."""

import time
from collections.abc import Callable, Sequence

import attrs

MIN_SIZES = 3


@attrs.frozen
class Slope:
    """Least-squares line through measured points."""

    name: str
    size_unit: str
    cost_unit: str
    points: tuple[tuple[float, float], ...]
    """Pairs of size and measured cost."""
    intercept: float
    per_unit: float
    worst_error: float
    """Largest deviation of a point from the line, relative to the largest cost."""

    def cost_at(self, size: float) -> float:
        """Return the predicted cost for a size."""
        return self.intercept + self.per_unit * size


def fit_line(
    name: str,
    points: Sequence[tuple[float, float]],
    *,
    size_unit: str,
    cost_unit: str,
) -> Slope:
    """Return the least-squares line through pairs of size and cost.

    Raises ValueError for fewer than three distinct sizes.
    """
    if len({size for size, _ in points}) < MIN_SIZES:
        raise ValueError(f"{name}: a slope needs at least {MIN_SIZES} sizes")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    per_unit = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - per_unit * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    worst = max(abs(y - intercept - per_unit * x) for x, y in points) / largest
    return Slope(name, size_unit, cost_unit, tuple(points), intercept, per_unit, worst)


def time_us(action: Callable[[], object], *, repeats: int, rounds: int = 5) -> float:
    """Return the mean time of an action in µs, from the fastest of several rounds."""
    best_s = float("inf")
    for _ in range(rounds):
        started_s = time.perf_counter()
        for _ in range(repeats):
            action()
        best_s = min(best_s, (time.perf_counter() - started_s) / repeats)
    return best_s * 1e6


def format_slope(slope: Slope) -> str:
    """Return a slope as one line of text."""
    points = ", ".join(f"{x:g}: {y:.3g}" for x, y in slope.points)
    return (
        f"{slope.name}: {slope.intercept:.4g} + {slope.per_unit:.4g} per "
        f"{slope.size_unit} ({slope.cost_unit}); points {points}; "
        f"worst error {slope.worst_error:.1%}"
    )
