"""Judge the report of a day, print it, compare it with another one and draw it."""

from __future__ import annotations

import importlib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from nutmeglead.emulator.run import DayCounts, DayReport

__all__ = ["broken_promises", "comparison_lines", "report_lines", "save_plot"]

# Requirements: a key is served again within 2 s of a loss, a ticket is in force within 3 s.
MAX_WITHOUT_HOLDER_MS = 2_000
MAX_IN_FORCE_MS = 3_000
_FORBIDDEN = (
    "two_holders",
    "doubled",
    "false_not_run",
    "wrong_answers",
    "work_at_leaving_servers",
    "cut_by_planned_stop",
)
_SHARES = ("in_time", "late", "refused", "failed")


def broken_promises(counts: DayCounts) -> list[str]:
    """Name each requirement that was not kept, with its figure."""
    broken = [
        f"{name}: expected 0, got {getattr(counts, name)}"
        for name in _FORBIDDEN
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
    """Yield the report as lines of text."""
    yield f"{report.name}, seed {report.seed}"
    for name, flow in report.flows.items():
        owed = max(1, flow.owed)
        shares = ", ".join(f"{part} {getattr(flow, part) / owed:.3f}" for part in _SHARES)
        yield f"  {name}: {flow.owed} requests, {shares}, {flow.attempts} attempts"
    for name, value in report.plain()["counts"].items():
        yield f"  {name}: {value}"
    for text in broken_promises(report.counts):
        yield f"  broken: {text}"


def comparison_lines(report: DayReport, earlier: Mapping[str, Any]) -> Iterator[str]:
    """Yield what differs from the report of another version, as earlier and present figures."""
    present = report.plain()
    for name, flow in present["flows"].items():
        before = earlier.get("flows", {}).get(name)
        if before is None:
            yield f"  {name}: not in the other report"
            continue
        for part in ("owed", *_SHARES):
            if before[part] != flow[part]:
                yield f"  {name} {part}: {before[part]} -> {flow[part]}"
    for name, value in present["counts"].items():
        before = earlier.get("counts", {}).get(name)
        if before != value:
            yield f"  {name}: {before} -> {value}"


def save_plot(report: DayReport, path: Path) -> None:
    """Draw the share of requests answered in time by second; needs the extra `plots`."""
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
