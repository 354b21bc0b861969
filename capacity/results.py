"""Measured points, and least-squares lines through them."""

import math
from collections.abc import Mapping, Sequence
from statistics import linear_regression
from typing import Any, Final, NamedTuple

MIN_POINTS: Final = 3


class LinearFit(NamedTuple):
    """Fitted line; ``residual`` is relative to the largest measured value."""

    per_unit: float
    fixed: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.fixed + self.per_unit * size


def fit_line(sizes: Sequence[float], quantities: Sequence[float]) -> LinearFit:
    """Fit a least-squares line.

    :param sizes: three or more; raises ValueError if there are fewer.
    :param quantities: measured at these sizes.
    :return: the line, with the root mean square of its residuals.
    """
    if len(sizes) < MIN_POINTS:
        raise ValueError(f'a linear fit needs at least {MIN_POINTS} points')
    per_unit, fixed = linear_regression(sizes, quantities)
    squares = [
        (quantity - fixed - per_unit * size) ** 2
        for size, quantity in zip(sizes, quantities, strict=True)
    ]
    scale = max(map(abs, quantities)) or 1
    residual = math.sqrt(sum(squares) / len(squares)) / scale
    return LinearFit(per_unit, fixed, residual)


class Results:
    """Points of all measurements, as stored in the results file."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        """:param document: content of the results file."""
        self.document = document

    def linear_fit(self, name: str, quantity: str) -> LinearFit:
        """Fit a quantity of a measurement against its size."""
        points = self.document['measurements'][name]['points']
        return fit_line(
            [point['size'] for point in points],
            [point['quantities'][quantity] for point in points],
        )

    def per_unit(self, name: str, quantity: str) -> float:
        """Return the slope of the line, or 0 if it is negative."""
        return max(0, self.linear_fit(name, quantity).per_unit)

    def at(self, name: str, quantity: str, size: float) -> float:
        """Return the fitted value at a size, with no negative coefficients.

        A negative value at size 0 is an error of the fit, and would distort
        the values at small sizes.
        """
        linear_fit = self.linear_fit(name, quantity)
        return max(0, linear_fit.per_unit) * size + max(0, linear_fit.fixed)

    def mean(self, name: str, quantity: str) -> float:
        """Return the mean of a quantity that does not depend on a size."""
        points = self.document['measurements'][name]['points']
        figures = [point['quantities'][quantity] for point in points]
        return sum(figures) / len(figures)
