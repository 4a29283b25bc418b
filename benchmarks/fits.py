"""Fit a line through measured points."""

import statistics
from collections.abc import Sequence

from benchmarks.report import Spread, Table

__all__ = ["fit_row", "fit_table"]


def fit_table() -> Table:
    """Return an empty table for `fit_row`."""
    return Table("Linear fits", ("quantity", "over", "intercept", "slope", "slope of the repeats"))


def fit_row(
    quantity: str, over: str, points: Sequence[tuple[float, Sequence[float]]]
) -> tuple[str, str, float, float, Spread]:
    """Fit the medians by least squares, and each repeat on its own for the spread of the slope."""
    sizes = [size for size, _ in points]
    line = statistics.linear_regression(sizes, [statistics.median(v) for _, v in points])
    repeats = zip(*(values for _, values in points), strict=True)
    slopes = [statistics.linear_regression(sizes, values).slope for values in repeats]
    return quantity, over, line.intercept, line.slope, Spread.of(slopes)
