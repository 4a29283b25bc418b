"""Check, file, show and watch tickets: the program nutmeglead-ticket."""

import argparse
import sys
from pathlib import Path

from result import Err

from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.programs import ticket_commands as commands
from nutmeglead.programs.common import build_parser, run_command_line, start
from nutmeglead.programs.connect import Connections, pause_ms
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output

__all__ = ["main", "run_command", "ticket_parser"]

PROGRAM = "nutmeglead-ticket"
DEFAULT_LAST = 20
DEFAULT_TIMEOUT_S = 30.0


def ticket_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = build_parser(PROGRAM, "Check, file and watch change tickets.")
    parser.add_argument("--json", action="store_true", help="print results and errors as JSON")
    found = parser.add_subparsers(dest="command", metavar="COMMAND")
    check = found.add_parser("check", help="check a ticket file; nothing is written")
    check.add_argument("file", type=Path, metavar="FILE")
    check.add_argument(
        "--head", action="store_true", help="also compare it with the tickets filed since its base"
    )
    file = found.add_parser("file", help="file a ticket and print its number")
    file.add_argument("file", type=Path, metavar="FILE")
    show = found.add_parser("show", help="print a filed ticket")
    show.add_argument("number", type=int, metavar="N")
    watch = found.add_parser("watch", help="wait until a ticket is in force everywhere")
    watch.add_argument("number", type=int, metavar="N")
    watch.add_argument("--timeout-s", type=float, default=DEFAULT_TIMEOUT_S)
    listing = found.add_parser("list", help="print the head number and the last tickets")
    listing.add_argument("--last", type=int, default=DEFAULT_LAST, metavar="COUNT")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the program and return its exit code."""
    parser = ticket_parser()
    options = parser.parse_args(arguments)
    if options.command is None and not options.check:
        parser.error("a command is needed: check, file, show, watch or list")
    output = Output(as_json=options.json)
    started = start(options, output)
    if isinstance(started, Err):
        return started.err_value
    return run_command_line(_run(options, started.ok_value, output))


async def _run(options: argparse.Namespace, settings: Settings, output: Output) -> ExitCode:
    connections = Connections.open(settings)
    tools = commands.TicketTools(
        settings,
        connections.tickets,
        connections.nodes,
        connections.clock,
        pause_ms,
        output,
    )
    try:
        return await run_command(options, tools)
    finally:
        connections.close()


async def run_command(options: argparse.Namespace, tools: commands.TicketTools) -> ExitCode:
    """Run the command that the options name."""
    if options.command == "check":
        return await commands.check(tools, options.file, options.head)
    if options.command == "file":
        return await commands.file(tools, options.file)
    if options.command == "show":
        return await commands.show(tools, options.number)
    if options.command == "watch":
        return await commands.watch(tools, options.number, round(options.timeout_s * 1000))
    return await commands.list_tickets(tools, options.last)


if __name__ == "__main__":
    sys.exit(main())
