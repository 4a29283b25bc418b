"""Check, file, show, watch and list tickets: the program nutmeglead-ticket."""

import argparse
import sys
from pathlib import Path

from result import Err

from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.programs import ticket_commands as commands
from nutmeglead.programs.common import build_parser, run_command_line, set_up
from nutmeglead.programs.connect import Connections, pause_ms
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output

__all__ = ["main", "run_command", "ticket_parser"]

PROGRAM = "nutmeglead-ticket"
DEFAULT_LIST_COUNT = 20
DEFAULT_TIMEOUT_S = 30.0


def ticket_parser() -> argparse.ArgumentParser:
    """Return the parser of the options and commands of nutmeglead-ticket."""
    parser = build_parser(PROGRAM, "Check, file and watch change tickets.")
    parser.add_argument("--json", action="store_true", help="print results and errors as JSON")
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    check = subparsers.add_parser("check", help="check a ticket file; nothing is written")
    check.add_argument("file", type=Path, metavar="FILE")
    check.add_argument(
        "--head", action="store_true", help="also compare it with the tickets filed since its base"
    )
    file = subparsers.add_parser("file", help="file a ticket and print its number")
    file.add_argument("file", type=Path, metavar="FILE")
    show = subparsers.add_parser("show", help="print a filed ticket")
    show.add_argument("number", type=int, metavar="N")
    watch = subparsers.add_parser("watch", help="wait until a ticket is in force everywhere")
    watch.add_argument("number", type=int, metavar="N")
    watch.add_argument("--timeout-s", type=float, default=DEFAULT_TIMEOUT_S)
    listing = subparsers.add_parser("list", help="print the head number and the newest tickets")
    listing.add_argument("--last", type=int, default=DEFAULT_LIST_COUNT, metavar="COUNT")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command that the arguments name and return its exit code."""
    parser = ticket_parser()
    options = parser.parse_args(arguments)
    if options.command is None and not options.check:
        parser.error("no command is given: expected check, file, show, watch or list")
    output = Output(as_json=options.json)
    loaded = set_up(options, output)
    if isinstance(loaded, Err):
        return loaded.err_value
    return run_command_line(_run(options, loaded.ok_value, output))


async def _run(options: argparse.Namespace, settings: Settings, output: Output) -> ExitCode:
    connections = Connections.open(settings)
    context = commands.TicketContext(
        settings,
        connections.tickets,
        connections.nodes,
        connections.clock,
        pause_ms,
        output,
    )
    try:
        return await run_command(options, context)
    finally:
        connections.close()


async def run_command(options: argparse.Namespace, context: commands.TicketContext) -> ExitCode:
    """Run the command that the options name and return its exit code."""
    if options.command == "check":
        return await commands.check(context, options.file, options.head)
    if options.command == "file":
        return await commands.file(context, options.file)
    if options.command == "show":
        return await commands.show(context, options.number)
    if options.command == "watch":
        return await commands.watch(context, options.number, round(options.timeout_s * 1000))
    return await commands.list_tickets(context, options.last)


if __name__ == "__main__":
    sys.exit(main())
