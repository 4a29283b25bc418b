"""Check a day's report against the requirements, format it, compare it and plot it."""

from __future__ import annotations

import importlib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from nutmeglead.emulator.run import DayCounts, DayReport

__all__ = ["broken_requirements", "comparison_lines", "report_lines", "save_plot"]

# Requirements: a key has a holder again within 2 s of a loss, and a ticket is in force within 3 s.
MAX_WITHOUT_HOLDER_MS = 2_000
MAX_IN_FORCE_MS = 3_000
_ZERO_COUNTS = (
    "two_holders",
    "doubled",
    "false_not_run",
    "wrong_answers",
    "work_at_leaving_servers",
    "ignored_notices",
    "cut_by_planned_stop",
)
_RESULTS = ("in_time", "late", "refused", "failed")


def broken_requirements(counts: DayCounts) -> list[str]:
    """Return a text for each broken requirement, with the expected and the counted figure."""
    broken = [
        f"{name}: expected 0, got {getattr(counts, name)}"
        for name in _ZERO_COUNTS
        if getattr(counts, name)
    ]
    if counts.longest_without_holder_ms > MAX_WITHOUT_HOLDER_MS:
        got = counts.longest_without_holder_ms
        broken.append(f"a key had no holder for {got} ms, expected {MAX_WITHOUT_HOLDER_MS} at most")
    for duration_ms in counts.tickets_in_force_ms:
        if duration_ms > MAX_IN_FORCE_MS:
            broken.append(
                f"a ticket was in force after {duration_ms} ms, expected {MAX_IN_FORCE_MS} at most"
            )
    return broken


def report_lines(report: DayReport) -> Iterator[str]:
    """Yield the text lines of a report: flows, counts and broken requirements."""
    yield f"{report.name}, seed {report.seed}"
    for name, flow in report.flows.items():
        owed = max(1, flow.owed)
        shares = ", ".join(f"{result} {getattr(flow, result) / owed:.3f}" for result in _RESULTS)
        yield f"  {name}: {flow.owed} requests, {shares}, {flow.attempts} attempts"
    for name, value in report.plain()["counts"].items():
        yield f"  {name}: {value}"
    for text in broken_requirements(report.counts):
        yield f"  broken: {text}"


def comparison_lines(report: DayReport, earlier: Mapping[str, Any]) -> Iterator[str]:
    """Yield a line `earlier -> present` for each figure that differs from an earlier report."""
    present = report.plain()
    for name, flow in present["flows"].items():
        earlier_value = earlier.get("flows", {}).get(name)
        if earlier_value is None:
            yield f"  {name}: flow is missing in the earlier report"
            continue
        for result in ("owed", *_RESULTS):
            if earlier_value[result] != flow[result]:
                yield f"  {name} {result}: {earlier_value[result]} -> {flow[result]}"
    for name, value in present["counts"].items():
        earlier_value = earlier.get("counts", {}).get(name)
        if earlier_value != value:
            yield f"  {name}: {earlier_value} -> {value}"


def save_plot(report: DayReport, path: Path) -> None:
    """Save a plot of the share of requests answered in time per second (extra `plots`)."""
    pyplot = importlib.import_module("matplotlib.pyplot")
    figure, axes = pyplot.subplots(figsize=(9, 4))
    for name, flow in report.flows.items():
        seconds = sorted(flow.owed_by_s)
        shares = [flow.in_time_by_s[second] / flow.owed_by_s[second] for second in seconds]
        axes.plot(seconds, shares, label=name)
    axes.set(xlabel="time (s)", ylabel="answered in time", ylim=(0, 1.05), title=report.name)
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
