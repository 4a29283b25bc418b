"""Stand in for the platform and for backend servers on loopback: the program nutmeglead-standin."""

import argparse
import random
import sys
from pathlib import Path

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import NodeSettings, Settings
from nutmeglead._generated.tickets.ttypes import ServerItem
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.programs.common import build_parser, run_parsed
from nutmeglead.programs.policies import known_policies
from nutmeglead.settings.loader import load_settings, read_text
from nutmeglead.standin.process import StandinProcess
from nutmeglead.tickets.checks import load_ticket

__all__ = ["main", "standin_parser"]

PROGRAM = "nutmeglead-standin"
DESCRIPTION = (
    "Serve the table service, the object store and the VM list from memory, and backend servers"
    " that check grants. Everything is lost when the program ends."
)


def standin_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = build_parser(PROGRAM, DESCRIPTION)
    parser.add_argument(
        "--backends",
        type=Path,
        metavar="TICKET_FILE",
        help="run one backend server for each server item whose IP address is on loopback",
    )
    parser.add_argument(
        "--entry-vm",
        type=Path,
        action="append",
        default=[],
        metavar="FILE",
        help="settings of another entry VM for the VM list; repeatable",
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the program until SIGTERM or SIGINT and return its exit code."""
    options = standin_parser().parse_args(arguments)
    files = _Files(options)
    return run_parsed(options, known_policies(), files.build, files.load)


class _Files:
    """Hold what the files besides the settings name."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._servers: list[ServerItem] = []
        self._entry_vms: list[NodeSettings] = []

    def load(self, settings: Settings) -> Result[None, NutmegleadError]:
        """Read and check the files."""
        self._entry_vms = [settings.node]
        for path in self._options.entry_vm:
            loaded = load_settings(path, known_policies())
            if isinstance(loaded, Err):
                return loaded
            self._entry_vms.append(loaded.ok_value.node)
        if self._options.backends is None:
            return Ok(None)
        return self._load_ticket(self._options.backends, settings)

    def build(self, settings: Settings) -> StandinProcess:
        """Return the service."""
        return StandinProcess(
            settings, self._entry_vms, self._servers, SystemClock(), random.Random()
        )

    def _load_ticket(self, path: Path, settings: Settings) -> Result[None, NutmegleadError]:
        text = read_text(path)
        if isinstance(text, Err):
            return text
        ticket = load_ticket(text.ok_value, settings, str(path))
        if isinstance(ticket, Err):
            return ticket
        self._servers = list(ticket.ok_value.servers or [])
        return Ok(None)


if __name__ == "__main__":
    sys.exit(main())
