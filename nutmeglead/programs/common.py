"""Parse the options that programs share, load settings, set up logging and run programs."""

import argparse
import asyncio
import logging
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from nutmeglead import __version__
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.events import Event, configure_logging, log_event
from nutmeglead.programs.errors import ListenFailed
from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.programs.output import Output
from nutmeglead.settings.loader import load_settings

__all__ = ["build_parser", "logger", "run_command_line", "run_service", "set_up"]

logger = logging.getLogger(__name__)

ServiceMain = Callable[[Settings], Coroutine[Any, Any, None]]
Check = Callable[[Settings], Result[None, NutmegleadError]]


def build_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options --version, --settings and --check."""
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog="Exit codes: docs/operators/exit-codes.md.",
    )
    parser.add_argument("--version", action="version", version=f"{program} {__version__}")
    parser.add_argument(
        "--settings", type=Path, required=True, metavar="FILE", help="JSON with comments"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings, print their faults and exit"
    )
    return parser


def _accept_any(_: Settings) -> Result[None, NutmegleadError]:
    """Accept the settings; the default for programs that read no further files."""
    return Ok(None)


def set_up(
    options: argparse.Namespace, output: Output, check: Check = _accept_any
) -> Result[Settings, ExitCode]:
    """Set up logging and return the settings, or the exit code with which the program has to end.

    The program ends at once if the settings have a fault, or after --check. `check` reads and
    checks further files that the options name.
    """
    loaded = load_settings(options.settings)
    if isinstance(loaded, Err):
        return Err(_report_refusal(loaded.err_value, options, output))
    settings = loaded.ok_value
    checked = check(settings)
    if isinstance(checked, Err):
        return Err(_report_refusal(checked.err_value, options, output))
    if options.check:
        output.result(f"{options.settings}: the settings are valid", valid=True)
        return Err(ExitCode.DONE)
    configure_logging(settings.log.level, settings.log.format, output.errors)
    return Ok(settings)


def run_service(options: argparse.Namespace, run: ServiceMain, check: Check = _accept_any) -> int:
    """Run a service until it ends and return its exit code; its options are parsed already."""
    output = Output()
    loaded = set_up(options, output, check)
    if isinstance(loaded, Err):
        return loaded.err_value
    try:
        asyncio.run(run(loaded.ok_value))
    except OSError as error:
        # Raised when a port cannot be bound; errors of later connections go to their own callers.
        log_event(logger, Event.LISTEN_FAILED, reason=str(error))
        return output.error(ListenFailed(str(error)))
    return ExitCode.DONE


def run_command_line(command: Coroutine[Any, Any, ExitCode]) -> ExitCode:
    """Run the command of an operator's program; return its exit code, or INTERRUPTED on SIGINT."""
    try:
        return asyncio.run(command)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _report_refusal(
    error: NutmegleadError, options: argparse.Namespace, output: Output
) -> ExitCode:
    """Print why a file was refused and return the exit code; without --check, log it too."""
    if not options.check:
        configure_logging("INFO", "json", output.errors)
        log_event(logger, Event.SETTINGS_REFUSED, file=str(options.settings))
    return output.error(error)
