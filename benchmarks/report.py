"""Hold the figures of one benchmark and write them as Markdown and JSON."""

from __future__ import annotations

import json
import platform
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeAlias

__all__ = ["Cell", "Report", "Spread", "Table", "write"]


@dataclass(frozen=True)
class Spread:
    """Hold the median, lowest and highest of repeated measurements."""

    median: float
    lowest: float
    highest: float

    @classmethod
    def of(cls, values: Sequence[float]) -> Spread:
        """Summarise at least one value."""
        return cls(statistics.median(values), min(values), max(values))

    def __str__(self) -> str:
        return f"{_number(self.median)} ({_number(self.lowest)}..{_number(self.highest)})"


Cell: TypeAlias = str | int | float | Spread


@dataclass
class Table:
    """Hold rows of figures."""

    title: str
    columns: Sequence[str]
    rows: list[Sequence[Cell]] = field(default_factory=list)


@dataclass
class Report:
    """Hold what one benchmark measured and how."""

    title: str
    method: Sequence[str]
    tables: list[Table] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)


def write(report: Report, name: str, command: str, seed: int, directory: Path) -> Path:
    """Write the report's two files and return the path of the Markdown page."""
    directory.mkdir(parents=True, exist_ok=True)
    context: dict[str, str | int] = {
        "command": command,
        "seed": seed,
        "python": f"{platform.python_implementation()} {platform.python_version()}",
    }
    page = directory / f"{name}.md"
    page.write_text(_markdown(report, context))
    data: dict[str, object] = {"name": name, **context, "title": report.title}
    data["method"] = list(report.method)
    data["tables"] = [_table_data(table) for table in report.tables]
    data["findings"] = report.findings
    (directory / f"{name}.json").write_text(json.dumps(data, indent=1) + "\n")
    return page


def _markdown(report: Report, context: dict[str, str | int]) -> str:
    lines = [f"# {report.title}", ""]
    lines += [f"- {key}: `{value}`" for key, value in context.items()]
    lines += ["- figures with a spread: median (lowest..highest)", "", *report.method, ""]
    for table in report.tables:
        lines += [f"## {table.title}", "", _row(table.columns)]
        lines.append(_row(["---"] * len(table.columns)))
        lines += [_row([_text(cell) for cell in row]) for row in table.rows]
        lines.append("")
    if report.findings:
        lines += ["## Findings", "", *[f"- {finding}" for finding in report.findings], ""]
    return "\n".join(lines)


def _row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _text(cell: Cell) -> str:
    return _number(cell) if isinstance(cell, float) else str(cell)


def _number(value: float) -> str:
    if float(value).is_integer():
        return f"{int(value)}"
    return f"{value:.3f}" if abs(value) < 100 else f"{value:.0f}"


def _table_data(table: Table) -> dict[str, object]:
    rows = [
        {column: _cell_data(cell) for column, cell in zip(table.columns, row, strict=True)}
        for row in table.rows
    ]
    return {"title": table.title, "rows": rows}


def _cell_data(cell: Cell) -> object:
    return dict(vars(cell)) if isinstance(cell, Spread) else cell
