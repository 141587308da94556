"""Tests scripts/check-capacity and the arithmetic of scripts/capacity."""
import importlib.machinery
import importlib.util
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RESULTS = ROOT / "benchmarks" / "results"
sys.path.insert(0, str(ROOT / "scripts"))
sys.dont_write_bytecode = True


def load_calculator():
    """Imports scripts/capacity, whose name has no .py suffix, as a module."""
    path = str(ROOT / "scripts" / "capacity")
    loader = importlib.machinery.SourceFileLoader("capacity", path)
    spec = importlib.util.spec_from_loader("capacity", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


def run_check(results):
    """Runs scripts/check-capacity on a folder of results."""
    command = [sys.executable, str(ROOT / "scripts" / "check-capacity"),
               "--results", str(results)]
    return subprocess.run(command, capture_output=True, check=False)


class CapacityCheckTests(unittest.TestCase):
    def test_passes_on_the_recorded_slopes(self):
        self.assertEqual(0, run_check(RESULTS).returncode)

    def test_fails_when_any_results_file_is_changed(self):
        for file in RESULTS.glob("*.json"):
            with self.subTest(file.name), tempfile.TemporaryDirectory() as copy:
                shutil.copytree(RESULTS, copy, dirs_exist_ok=True)
                self.scale_figures(pathlib.Path(copy) / file.name)
                self.assertEqual(1, run_check(copy).returncode)

    @staticmethod
    def scale_figures(file):
        """Scales some figures of a results file by 1.5."""
        record = json.loads(file.read_text())
        for series in record.get("series", {}).values():
            points = series["points"]
            points[-1][1] = [figure * 1.5 for figure in points[-1][1]]
        for line in record.get("throughput", []):
            line["daemon_per_core"] *= 1.5
        file.write_text(json.dumps(record))


class ArithmeticTests(unittest.TestCase):
    def test_late_share_without_missing_shards_matches_the_closed_form(self):
        share = load_calculator().late_share(490, 0, 0.99)
        self.assertAlmostEqual(1 - 0.99 ** (1 / 490), share, places=9)

    def test_late_share_with_one_missing_shard_matches_the_binomial_sum(self):
        calculator = load_calculator()
        share = calculator.late_share(3, 1, 0.9)
        within = (1 - share) ** 3 + 3 * share * (1 - share) ** 2
        self.assertAlmostEqual(0.9, within, places=6)

    def test_fit_recovers_base_and_step_of_a_line(self):
        slopes = load_calculator().recorded
        points = [[x, [3 + 2 * x]] for x in (1, 10, 100, 1000)]
        slope = slopes.Slope("line", "us", "none", points)
        self.assertAlmostEqual(3, slope.base, places=6)
        self.assertAlmostEqual(2, slope.step, places=6)
        self.assertLess(slope.residual, 1e-6)
        self.assertTrue(slope.extrapolates(1001))


if __name__ == "__main__":
    unittest.main()
