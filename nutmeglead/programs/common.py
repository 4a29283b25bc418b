"""Share the options, settings, logging and exit codes of all programs."""

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

__all__ = ["build_parser", "logger", "run_command_line", "run_parsed", "start"]

logger = logging.getLogger(__name__)

Run = Callable[[Settings], Coroutine[Any, Any, None]]
Check = Callable[[Settings], Result[None, NutmegleadError]]


def build_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that all programs have."""
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


def _accept(_: Settings) -> Result[None, NutmegleadError]:
    return Ok(None)


def start(
    options: argparse.Namespace, output: Output, check: Check = _accept
) -> Result[Settings, ExitCode]:
    """Load the settings and set up logging; Err if the program has to exit at once.

    A settings file with any fault starts nothing. `check` reads what else the options name.
    """
    loaded = load_settings(options.settings)
    if isinstance(loaded, Err):
        return Err(_refuse(loaded.err_value, options, output))
    settings = loaded.ok_value
    checked = check(settings)
    if isinstance(checked, Err):
        return Err(_refuse(checked.err_value, options, output))
    if options.check:
        output.result(f"{options.settings}: the settings are valid", valid=True)
        return Err(ExitCode.DONE)
    configure_logging(settings.log.level, settings.log.format, output.errors)
    return Ok(settings)


def run_parsed(options: argparse.Namespace, run: Run, check: Check = _accept) -> int:
    """Run a service until it ends, with options that are parsed already."""
    output = Output()
    started = start(options, output, check)
    if isinstance(started, Err):
        return started.err_value
    try:
        asyncio.run(run(started.ok_value))
    except OSError as error:
        # Sockets of later connections report their errors to their own callers.
        log_event(logger, Event.LISTEN_FAILED, reason=str(error))
        return output.error(ListenFailed(str(error)))
    return ExitCode.DONE


def run_command_line(command: Coroutine[Any, Any, ExitCode]) -> ExitCode:
    """Run the command of an operator's program to its end or to its interruption."""
    try:
        return asyncio.run(command)
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED


def _refuse(error: NutmegleadError, options: argparse.Namespace, output: Output) -> ExitCode:
    if not options.check:
        configure_logging("INFO", "json", output.errors)
        log_event(logger, Event.SETTINGS_REFUSED, file=str(options.settings))
    return output.error(error)
