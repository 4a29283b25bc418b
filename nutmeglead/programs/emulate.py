"""Simulate a day of a deployment and check its promises: the program nutmeglead-emulate."""

import argparse
import json
import logging
import sys
from collections.abc import Sequence
from pathlib import Path

from result import Err

from nutmeglead import __version__
from nutmeglead.emulator.day import load_day
from nutmeglead.emulator.report import (
    broken_requirements,
    comparison_lines,
    report_lines,
    save_plot,
)
from nutmeglead.emulator.run import run_day
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.settings.errors import FileUnreadable
from nutmeglead.settings.loader import read_text

__all__ = ["emulate_parser", "main"]

PROGRAM = "nutmeglead-emulate"


def emulate_parser() -> argparse.ArgumentParser:
    """Return the parser of the options of nutmeglead-emulate."""
    parser = argparse.ArgumentParser(
        prog=PROGRAM,
        description="Simulate a day of a deployment in virtual time and check its promises.",
        epilog="Exit codes: docs/operators/exit-codes.md.",
    )
    parser.add_argument("--version", action="version", version=f"{PROGRAM} {__version__}")
    parser.add_argument("day", type=Path, metavar="DAY", help="JSON with comments")
    parser.add_argument("--check", action="store_true", help="check the day's file and exit")
    parser.add_argument("--seed", type=int, help="default: the seed in the day's file")
    parser.add_argument("--json", action="store_true", help="print the report as JSON")
    parser.add_argument("--report", type=Path, metavar="FILE", help="also write it as JSON")
    parser.add_argument(
        "--compare",
        type=Path,
        metavar="FILE",
        help="print what differs from a file of --report",
    )
    parser.add_argument("--plot", type=Path, metavar="FILE", help="draw the day; needs matplotlib")
    parser.add_argument("--log", action="store_true", help="print the programs' log lines")
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Simulate the day and print its report; return PROMISE_BROKEN if a promise was broken."""
    options = emulate_parser().parse_args(arguments)
    output = Output(as_json=options.json)
    loaded = load_day(options.day)
    if isinstance(loaded, Err):
        return output.error(loaded.err_value)
    if options.check:
        output.result(f"{options.day}: the day is valid", valid=True)
        return ExitCode.DONE
    if not options.log:
        logging.disable(logging.ERROR)
    day = loaded.ok_value
    report = run_day(day, day.seed if options.seed is None else options.seed)
    output.result("\n".join(report_lines(report)), **report.plain())
    if options.report is not None:
        options.report.write_text(json.dumps(report.plain(), indent=1) + "\n")
    if options.plot is not None:
        save_plot(report, options.plot)
    if options.compare is not None:
        earlier_report = _read_report(options.compare)
        if isinstance(earlier_report, FileUnreadable):
            return output.error(earlier_report)
        output.result("\n".join(["compared:", *comparison_lines(report, earlier_report)]))
    return ExitCode.PROMISE_BROKEN if broken_requirements(report.counts) else ExitCode.DONE


def _read_report(path: Path) -> dict[str, object] | FileUnreadable:
    """Return a report that --report has written, or why the file is not one."""
    text = read_text(path)
    if isinstance(text, Err):
        return text.err_value
    try:
        return dict(json.loads(text.ok_value))
    except (ValueError, TypeError) as error:
        return FileUnreadable(str(path), f"text that is not a JSON report: {error}")


if __name__ == "__main__":
    sys.exit(main())
