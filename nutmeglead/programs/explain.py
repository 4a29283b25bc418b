"""Print the log lines of the entry VMs that explain a request or the owner of a key."""

import argparse
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from nutmeglead.explain.lines import LogLine, read_lines
from nutmeglead.explain.stories import explain_key, explain_request

__all__ = ["main"]

EXIT_NOT_FOUND = 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the log lines about the request or key; return 1 if there are none."""
    parser = argparse.ArgumentParser(prog="nutmeglead-explain", description=__doc__)
    parser.add_argument("--logs", nargs="+", required=True, type=Path, help="log files")
    subject = parser.add_mutually_exclusive_group(required=True)
    subject.add_argument("--request", help="id of the request to explain")
    subject.add_argument("--key", type=int, help="key of a service that is divided by key")
    options = parser.parse_args(arguments)
    lines = _read_logs(options.logs)
    if options.request is not None:
        explanation = explain_request(lines, options.request)
    else:
        explanation = explain_key(lines, options.key)
    for line in explanation:
        print(line.render())
    if not explanation:
        print(f"the logs have no line about {options.request or options.key}", file=sys.stderr)
        return EXIT_NOT_FOUND
    return 0


def _read_logs(paths: Sequence[Path]) -> Iterator[LogLine]:
    """Yield the log lines of all files, one file after the other."""
    for path in paths:
        with path.open(errors="replace") as file:
            yield from read_lines(file)


if __name__ == "__main__":
    sys.exit(main())
