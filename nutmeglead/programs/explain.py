"""Tell what became of a request or of a key, from the logs of the entry VMs."""

import argparse
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from nutmeglead.explain.lines import LogLine, read_lines
from nutmeglead.explain.stories import explain_key, explain_request

__all__ = ["main"]

EXIT_NOT_FOUND = 1


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the lines in order; return 1 if the logs do not have the request or the key."""
    parser = argparse.ArgumentParser(prog="nutmeglead-explain", description=__doc__)
    parser.add_argument("--logs", nargs="+", required=True, type=Path, help="log files")
    subject = parser.add_mutually_exclusive_group(required=True)
    subject.add_argument("--request", help="id of a request")
    subject.add_argument("--key", type=int, help="key of a service that is divided by key")
    options = parser.parse_args(arguments)
    lines = _read(options.logs)
    if options.request is not None:
        explanation = explain_request(lines, options.request)
    else:
        explanation = explain_key(lines, options.key)
    for line in explanation:
        print(line.render())
    if not explanation:
        print("the logs have no line about it", file=sys.stderr)
        return EXIT_NOT_FOUND
    return 0


def _read(paths: Sequence[Path]) -> Iterator[LogLine]:
    for path in paths:
        with path.open(errors="replace") as file:
            yield from read_lines(file)


if __name__ == "__main__":
    sys.exit(main())
