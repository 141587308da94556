"""Fits straight lines to the points recorded in benchmarks/results/."""
import json
import pathlib
import statistics

RESULTS = pathlib.Path(__file__).resolve().parent.parent / "benchmarks/results"


class Slope:
    """A line fitted to medians by least squares of the relative errors."""

    def __init__(self, name, unit, command, points):
        self.name, self.unit, self.command = name, unit, command
        self.sizes = [size for size, _ in points]
        self.medians = [statistics.median(figures) for _, figures in points]
        self.spread = max((max(figures) - min(figures)) / max(middle, 1e-12)
                          for (_, figures), middle
                          in zip(points, self.medians))
        self.base, self.step = self._fit()
        self.residual = max(abs(self.at(size) - figure) / max(figure, 1e-12)
                            for size, figure in zip(self.sizes, self.medians))

    def _fit(self):
        weights = [1 / max(figure, 1e-12) ** 2 for figure in self.medians]
        total = sum(weights)
        mean_x = sum(w * x for w, x in zip(weights, self.sizes)) / total
        mean_y = sum(w * y for w, y in zip(weights, self.medians)) / total
        square = sum(w * (x - mean_x) ** 2
                     for w, x in zip(weights, self.sizes))
        product = sum(w * (x - mean_x) * (y - mean_y)
                      for w, x, y in zip(weights, self.sizes, self.medians))
        step = product / square
        return mean_y - step * mean_x, step

    def at(self, size):
        """Returns the value of the line at a size."""
        return self.base + self.step * size

    def extrapolates(self, size):
        """Returns whether a size lies outside the range that was measured."""
        return not min(self.sizes) <= size <= max(self.sizes)


def load(folder=RESULTS):
    """Returns all slopes by name."""
    slopes = {}
    for file in sorted(pathlib.Path(folder).glob("*.json")):
        record = json.loads(file.read_text())
        for name, series in record.get("series", {}).items():
            slopes[name] = Slope(name, series["unit"], record["command"],
                                 series["points"])
    return slopes


def load_runtime(folder=RESULTS):
    """Returns the reports of scripts/measure-runtime by number of daemons."""
    reports = {}
    for file in sorted(pathlib.Path(folder).glob("runtime_*.json")):
        report = json.loads(file.read_text())
        reports[report["daemons"]] = report
    return reports
