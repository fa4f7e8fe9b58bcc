"""Run the behave features in parallel and print one verdict line."""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Each feature starts up to several dozen processes; more at once would disturb their timing.
PARALLEL_FEATURES = 3
FEATURE_TIMEOUT_S = 500
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"


class FeatureResult:
    """Hold the scenario verdicts of one feature file."""

    __slots__ = ("path", "passed", "failed", "output")

    def __init__(self, path: str, passed: list[str], failed: list[str], output: str) -> None:
        self.path = path
        self.passed = passed
        self.failed = failed
        self.output = output


def known_red() -> set[str]:
    """Read the names of scenarios that may fail: the text before the first bar of each line."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.split("|")[0].strip() for line in lines if "|" in line and line[0] != "#"}


def run_feature(path: str) -> FeatureResult:
    """Run one feature file in a behave process of its own."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", report.name]
        command += ["-f", "plain", "-o", "/dev/stdout", path]
        try:
            done = subprocess.run(
                command, cwd=ROOT, capture_output=True, text=True, timeout=FEATURE_TIMEOUT_S
            )
            output, status = done.stdout + done.stderr, done.returncode
        except subprocess.TimeoutExpired as error:
            output, status = f"timed out: {error}", 1
        text = Path(report.name).read_text()
    passed, failed = scenario_verdicts(json.loads(text) if text else [])
    if status != 0 and not failed:
        failed.append(f"{Path(path).stem}: behave exited with {status}")
    return FeatureResult(path, passed, failed, output)


def scenario_verdicts(report: list[dict]) -> tuple[list[str], list[str]]:
    """Split the scenarios of a behave JSON report into passed and failed names."""
    passed, failed = [], []
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            verdict = passed if element.get("status") == "passed" else failed
            # The names of examples of an outline end in a blank.
            verdict.append(element["name"].strip())
    return passed, failed


def main() -> int:
    """Run the given feature files, or all, and print `N passed, N failed`."""
    paths = sys.argv[1:] or sorted(str(path) for path in (ROOT / "features").glob("*.feature"))
    allowed = known_red()
    passed = failed = 0
    with ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        for result in pool.map(run_feature, paths):
            red = [name for name in result.failed if name in allowed]
            wrong = [name for name in result.failed if name not in allowed]
            if wrong:
                print(result.output)
            for name in red:
                print(f"known red: {name}")
            for name in wrong:
                print(f"FAILED: {result.path}: {name}")
            print(
                f"{Path(result.path).name}: {len(result.passed)} of "
                f"{len(result.passed) + len(result.failed)} scenarios passed"
            )
            passed += len(result.passed)
            failed += len(wrong)
    print(f"{passed} passed, {failed} failed")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
