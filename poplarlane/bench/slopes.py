"""Fit a line through measured points, with its residual, as a table and a plot."""

import json
from pathlib import Path

import matplotlib
import numpy

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

MIN_POINTS = 4


class Slope:
    """Hold measured points and the line fitted through them.

    `residual` is the root mean square distance of the points from the line, in units of y.
    """

    __slots__ = ("name", "x_unit", "y_unit", "points", "intercept", "gradient", "residual")

    def __init__(
        self, name: str, x_unit: str, y_unit: str, points: list[tuple[float, float]]
    ) -> None:
        if len(points) < MIN_POINTS:
            raise ValueError(f"slope {name!r} has {len(points)} points, needs {MIN_POINTS}")
        self.name = name
        self.x_unit = x_unit
        self.y_unit = y_unit
        self.points = points
        x, y = numpy.array(points, dtype=float).T
        self.gradient, self.intercept = (float(value) for value in numpy.polyfit(x, y, 1))
        distances = y - (self.intercept + self.gradient * x)
        self.residual = float(numpy.sqrt(numpy.mean(distances**2)))

    def at(self, x: float) -> float:
        """Give the value of the line at x."""
        return self.intercept + self.gradient * x


def format_slope(slope: Slope) -> str:
    """Format a slope as one key=value line."""
    points = ",".join(f"{x:g}:{y:.4g}" for x, y in slope.points)
    return (
        f"slope={slope.name} x={slope.x_unit} y={slope.y_unit} points={points} "
        f"intercept={slope.intercept:.4g} gradient={slope.gradient:.4g} "
        f"residual={slope.residual:.3g}"
    )


def write_slope(slope: Slope, directory: Path) -> None:
    """Write the points and the fit as JSON, and a plot as PNG."""
    directory.mkdir(parents=True, exist_ok=True)
    fields = {name: getattr(slope, name) for name in Slope.__slots__}
    (directory / f"{slope.name}.json").write_text(json.dumps(fields, indent=1) + "\n")
    figure, axes = pyplot.subplots(figsize=(5.0, 3.2))
    x, y = numpy.array(slope.points, dtype=float).T
    axes.plot(x, y, "o", label="measured")
    line = numpy.linspace(0.0, x.max(), 2)
    label = f"{slope.intercept:.3g} + {slope.gradient:.3g} x"
    axes.plot(line, slope.intercept + slope.gradient * line, "-", label=label)
    axes.set_xlabel(slope.x_unit)
    axes.set_ylabel(slope.y_unit)
    axes.set_title(slope.name)
    axes.legend()
    figure.tight_layout()
    figure.savefig(directory / f"{slope.name}.png", dpi=80)
    pyplot.close(figure)
