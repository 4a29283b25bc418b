"""Run black, ruff, mypy, the generated-code check and behave; print `N passed, N failed`."""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import os
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
# A generated case or scenario that hangs fails the run before CI's own limit ends it.
SUITE_TIMEOUT_S = 900
# Suites in directories of this name load whole processes; each runs alone, after all others.
SOLITARY_DIRECTORY = "crowd_tests"
# Suites whose features run side by side: they take minutes, run on virtual time and share no
# address.
DIVIDED_SUITES = frozenset(("nutmeglead/entry/tests",))


@dataclass(frozen=True)
class SuiteResult:
    """Hold the counts and the output of a checker or a suite."""

    name: str
    passed: int
    failed: int
    output: str


def _run_command(command: Sequence[str]) -> subprocess.CompletedProcess[str]:
    environment = dict(os.environ, PYTHONHASHSEED="0", PYTHONPATH=str(ROOT))
    return subprocess.run(
        command,
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=SUITE_TIMEOUT_S,
        check=False,
    )


def run_tool(name: str, command: Sequence[str]) -> SuiteResult:
    """Run a checker and return one passed or failed check, by its exit code."""
    completed = _run_command(command)
    is_passed = completed.returncode == 0
    return SuiteResult(
        name, int(is_passed), int(not is_passed), completed.stdout + completed.stderr
    )


def _count_scenarios(report: str) -> tuple[int, int]:
    passed = failed = 0
    for feature in json.loads(report or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            if element["status"] == "passed":
                passed += 1
            elif element["status"] != "skipped":
                failed += 1
    return passed, failed


def run_behave(path: Path, tags: str) -> SuiteResult:
    """Run one feature, or those of a directory, and return the counts of the scenarios."""
    name = str(path.relative_to(ROOT))
    report = ROOT / "build" / (name.replace("/", "-") + ".json")
    report.parent.mkdir(exist_ok=True)
    report.unlink(missing_ok=True)
    command = [str(BIN / "behave"), "--no-capture", "--no-color", "--tags", tags]
    command += ["--format", "json", "--outfile", str(report), "--format", "progress", name]
    completed = _run_command(command)
    try:
        passed, failed = _count_scenarios(report.read_text() if report.exists() else "")
    except (json.JSONDecodeError, KeyError) as error:
        return SuiteResult(name, 0, 1, f"{error}\n{completed.stdout}{completed.stderr}")
    if completed.returncode != 0 and failed == 0:
        failed = 1
    return SuiteResult(name, passed, failed, completed.stdout + completed.stderr)


def _known_red() -> str:
    """Return the entries of KNOWN-RED.txt, whose scenarios are not run, as text."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return "known red, not run:\n" + "\n".join(entries) if entries else "known red: none"


def find_suites(directory_name: str) -> list[Path]:
    """Return the test directories of this name that contain features."""
    pattern = f"{directory_name}/*.feature"
    return sorted({path.parent for path in (ROOT / "nutmeglead").rglob(pattern)})


def divide(suites: Sequence[Path]) -> list[Path]:
    """Replace the suites of DIVIDED_SUITES by their features, the largest first."""
    divided = [suite for suite in suites if str(suite.relative_to(ROOT)) in DIVIDED_SUITES]
    features = [feature for suite in divided for feature in suite.glob("*.feature")]
    features.sort(key=lambda feature: -feature.stat().st_size)
    return features + [suite for suite in suites if suite not in divided]


def static_checks() -> list[tuple[str, list[str]]]:
    """Return the names and commands of the checkers."""
    return [
        ("black", [str(BIN / "black"), "--check", "--quiet", "."]),
        ("ruff", [str(BIN / "ruff"), "check", "--no-cache", "."]),
        ("mypy", [str(BIN / "mypy")]),
        ("generated code", ["tools/generate.sh", "--check"]),
    ]


def main(arguments: Sequence[str]) -> int:
    """Run the chosen checks and suites, print the results, and return 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--known-red", action="store_true", help="run only @known_red scenarios")
    parser.add_argument("--only", default="", help="run only suites whose name contains this")
    options = parser.parse_args(arguments)
    tags = "@known_red" if options.known_red else "not @known_red"
    jobs = max(1, (os.cpu_count() or 2) // 2)

    def chosen_suites(directory_name: str) -> list[Path]:
        suites = find_suites(directory_name)
        return [suite for suite in suites if options.only in str(suite.relative_to(ROOT))]

    with concurrent.futures.ThreadPoolExecutor(max_workers=jobs) as pool:
        futures = []
        if not options.known_red:
            checks = [check for check in static_checks() if options.only in check[0]]
            futures += [pool.submit(run_tool, *check) for check in checks]
        suites = divide(chosen_suites("tests"))
        futures += [pool.submit(run_behave, suite, tags) for suite in suites]
        results = [future.result() for future in futures]
    # Beside other work, a process under load would share its core, and a scenario its memory.
    results += [run_behave(suite, tags) for suite in chosen_suites(SOLITARY_DIRECTORY)]
    for result in results:
        print(f"{result.name}: {result.passed} passed, {result.failed} failed")
        if result.failed:
            print(result.output)
    passed = sum(result.passed for result in results)
    failed = sum(result.failed for result in results)
    if not options.known_red:
        print(_known_red())
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
