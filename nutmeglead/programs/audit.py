"""Print the audit trail, or the owner of a key and its history: the program nutmeglead-audit."""

import argparse
import sys

from result import Err

from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.core.ids import ServiceName
from nutmeglead.programs import audit_commands as commands
from nutmeglead.programs.common import build_parser, run_command_line, set_up
from nutmeglead.programs.connect import Connections
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.tickets.keys import key_number

__all__ = ["audit_parser", "main", "run_command"]

PROGRAM = "nutmeglead-audit"


def audit_parser() -> argparse.ArgumentParser:
    """Return the parser of the options and commands of nutmeglead-audit."""
    parser = build_parser(PROGRAM, "Print the audit trail and explain who owns a key.")
    parser.add_argument("--json", action="store_true", help="print results and errors as JSON")
    parser.add_argument("--service", metavar="NAME", help="only this service; default: all")
    subparsers = parser.add_subparsers(dest="command", metavar="COMMAND")
    subparsers.add_parser("trail", help="print the audit records in order of time; the default")
    explain = subparsers.add_parser("explain", help="print the owner and the moves of a key")
    explain.add_argument("key", metavar="KEY")
    explain.add_argument("--number", action="store_true", help="KEY is a key number")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the command that the arguments name and return its exit code."""
    parser = audit_parser()
    options = parser.parse_args(arguments)
    output = Output(as_json=options.json)
    loaded = set_up(options, output)
    if isinstance(loaded, Err):
        return loaded.err_value
    names = [service.name for service in loaded.ok_value.services]
    if options.service is not None and options.service not in names:
        parser.error(f"--service: expected one of {', '.join(names)}, got {options.service!r}")
    if getattr(options, "number", False) and not options.key.isdecimal():
        parser.error(f"--number: expected a key number, got {options.key!r}")
    return run_command_line(_run(options, loaded.ok_value, output))


async def _run(options: argparse.Namespace, settings: Settings, output: Output) -> ExitCode:
    connections = Connections.open(settings)
    names = [options.service] if options.service else [s.name for s in settings.services]
    services = [ServiceName(name) for name in names]
    context = commands.AuditContext(services, connections.store, connections.tickets, output)
    try:
        return await run_command(options, context)
    finally:
        connections.close()


async def run_command(options: argparse.Namespace, context: commands.AuditContext) -> ExitCode:
    """Run the command that the options name, by default the trail, and return its exit code."""
    if options.command == "explain":
        number = int(options.key) if options.number else key_number(options.key)
        return await commands.explain_key(context, number, options.key)
    return await commands.print_trail(context)


if __name__ == "__main__":
    sys.exit(main())
