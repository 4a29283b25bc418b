"""Run benchmarks by name, or all of them: python -m benchmarks [NAME ...]."""

import argparse
import importlib
import pkgutil
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import benchmarks
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import write
from nutmeglead.core.errors import UnknownVariantError

DEFAULT_SEED = 20261204
OUTPUT = Path(__file__).resolve().parent.parent / "docs" / "measurements"


def _import_benchmarks() -> None:
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.name != "__main__":
            importlib.import_module(f"benchmarks.{module.name}")


def main(arguments: Sequence[str]) -> int:
    """Run the named benchmarks and write their pages."""
    _import_benchmarks()
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help=", ".join(BENCHMARKS.names()))
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--quick", action="store_true", help="short trial run; writes no files")
    parser.add_argument("--output", type=Path, default=OUTPUT, help="directory of the pages")
    options = parser.parse_args(arguments)
    try:
        chosen = [(name, BENCHMARKS.get(name)) for name in options.names or BENCHMARKS.names()]
    except UnknownVariantError as error:
        parser.error(str(error))
    for name, benchmark in chosen:
        started = time.monotonic()
        report = benchmark(Options(seed=options.seed, quick=options.quick))
        if options.quick:
            print(f"{name} (trial): {report.tables}")
        else:
            command = f"python -m benchmarks {name} --seed {options.seed}"
            page = write(report, name, command, options.seed, options.output)
            print(f"{name}: wrote {page.name} after {time.monotonic() - started:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
