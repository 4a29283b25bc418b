"""Run the router of one entry VM, with settings of the users' platform or of the product."""

import os
import signal
import sys

if __name__ == "__main__" and "--check" not in sys.argv:
    # While the other modules are imported (0.4 s), a stop ends the program with code 0, and there
    # are no settings to reload yet; the default actions would end it by the signal. `os._exit`, as
    # a second stop signal would meet the default action again while the interpreter shuts down.
    signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

# TLS is not used on this platform, and asyncio works without the module, which takes 4 MB.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

import argparse  # noqa: E402
import asyncio  # noqa: E402
import gc  # noqa: E402
import importlib  # noqa: E402
import logging  # noqa: E402
import random  # noqa: E402
from collections.abc import Callable, Sequence  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from functools import partial  # noqa: E402
from pathlib import Path  # noqa: E402

from result import Err, Ok, Result  # noqa: E402

from nutmeglead import __version__  # noqa: E402
from nutmeglead.core.clock import SystemClock  # noqa: E402
from nutmeglead.core.errors import NutmegleadError  # noqa: E402
from nutmeglead.core.events import Event, configure_logging, log_event  # noqa: E402
from nutmeglead.core.log_stream import NonBlockingStream  # noqa: E402
from nutmeglead.entry.operator_feed import OperatorFeed, PlatformFeed  # noqa: E402
from nutmeglead.entry.process import EntryProcess  # noqa: E402
from nutmeglead.platform.node_settings import (  # noqa: E402
    SETTINGS_VARIABLE,
    NodeSettings,
    decode_settings,
)
from nutmeglead.programs.exit_codes import ExitCode, exit_code_of  # noqa: E402
from nutmeglead.settings.errors import Fault, FileUnreadable, SettingsFaults  # noqa: E402

__all__ = ["main"]

logger = logging.getLogger(__name__)

# The platform may change the file without sending SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 2.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
PLATFORM_SETTINGS_SUFFIX = ".toml"

MakeFeed = Callable[[EntryProcess], OperatorFeed]


@dataclass(frozen=True)
class LoadedSettings:
    """Hold the settings, the constructor of the operator feed, and how to log."""

    node: NodeSettings
    make_feed: MakeFeed
    log_level: str = "INFO"
    log_format: str = "json"


def _load_settings(path: Path) -> Result[LoadedSettings, NutmegleadError]:
    """Return the settings of a file: TOML of the users' platform, or JSON of the product."""
    if path.suffix != PLATFORM_SETTINGS_SUFFIX:
        return _load_product_settings(path)
    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(FileUnreadable(str(path), f"{type(error).__name__}: {error}"))
    decoded = decode_settings(data)
    if isinstance(decoded, Err):
        fault = Fault("", "the platform's settings", f"a file with a fault: {decoded.err_value}")
        return Err(SettingsFaults(str(path), (fault,)))
    return Ok(LoadedSettings(decoded.ok_value, PlatformFeed))


def _load_product_settings(path: Path) -> Result[LoadedSettings, NutmegleadError]:
    """Return the settings of a file in JSON with comments, with a feed that follows tickets."""
    # These modules need the parser of JSON with comments and the key hash, which are not
    # installed on the users' platform.
    loader = importlib.import_module("nutmeglead.settings.loader")
    feed = importlib.import_module("nutmeglead.entry.ticket_feed")
    interface = importlib.import_module("nutmeglead.tickets.interface")
    loaded = loader.load_settings(path)
    if isinstance(loaded, Err):
        return Err(loaded.err_value)
    settings = loaded.ok_value
    node = interface.node_settings(settings)
    make_feed: MakeFeed = partial(feed.TicketFeed, settings)
    return Ok(LoadedSettings(node, make_feed, settings.log.level, settings.log.format))


def _log_descriptor() -> int:
    """Return the descriptor of standard output, or one that drops the log if it is closed."""
    if sys.stdout is None:
        return os.open(os.devnull, os.O_WRONLY)
    return sys.stdout.fileno()


class _SettingsReloader:
    """Reload the settings file on SIGHUP, or when its time of change or its size differs."""

    def __init__(self, path: Path, process: EntryProcess) -> None:
        self._path = path
        self._process = process
        self._loaded_stamp = self._file_stamp()

    def reload(self) -> None:
        """Apply the settings of the file, or keep the old ones if it has faults; log which."""
        self._loaded_stamp = self._file_stamp()
        loaded = _load_settings(self._path)
        if isinstance(loaded, Err):
            log_event(logger, Event.SETTINGS_KEPT, error=str(loaded.err_value))
            return
        changed = self._process.apply_settings(loaded.ok_value.node)
        log_event(logger, Event.SETTINGS_RELOADED, changed=changed)

    async def run(self) -> None:
        """Check the file at each interval and reload it when it has changed, until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if self._file_stamp() != self._loaded_stamp:
                self.reload()

    def _file_stamp(self) -> tuple[int, int] | None:
        """Return the file's time of change in ns and its size, or None if it is not there."""
        try:
            status = self._path.stat()
        except OSError:
            # The file may be absent while it is replaced; the next check looks for it again.
            return None
        return status.st_mtime_ns, status.st_size


async def _start_unless_stopped(process: EntryProcess, stopping: asyncio.Event) -> bool:
    """Start a process and return True, or False if it is asked to stop before its ports are bound.

    Raise OSError if a port cannot be bound.
    """
    loop = asyncio.get_running_loop()
    starting, asked = loop.create_task(process.start()), loop.create_task(stopping.wait())
    await asyncio.wait((starting, asked), return_when=asyncio.FIRST_COMPLETED)
    asked.cancel()
    if starting.done():
        await starting
        return True
    starting.cancel()
    await asyncio.wait((starting,))
    return False


async def _run(path: Path, loaded: LoadedSettings) -> ExitCode:
    """Serve until SIGTERM or SIGINT; return DONE, or LISTEN_FAILED if a port cannot be bound."""
    loop = asyncio.get_running_loop()
    process = EntryProcess(loaded.node, SystemClock(), random.Random(), make_feed=loaded.make_feed)
    stopping = asyncio.Event()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stopping.set)
    reloader = _SettingsReloader(path, process)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    try:
        is_started = await _start_unless_stopped(process, stopping)
    except OSError as error:
        log_event(logger, Event.LISTEN_FAILED, reason=str(error))
        return ExitCode.LISTEN_FAILED
    if is_started:
        reload_task = loop.create_task(reloader.run())
        log_event(logger, Event.PROGRAM_STARTED, node=loaded.node.node_id, life=process.incarnation)
        # Objects that exist after the start are left out of later garbage collections.
        gc.collect()
        gc.freeze()
        await stopping.wait()
        reload_task.cancel()
    log_event(logger, Event.PROGRAM_STOPPING)
    begun_s = loop.time()
    cut_off = await process.stop()
    log_event(
        logger,
        Event.PROGRAM_STOPPED,
        cut_off=cut_off.connections,
        cut_off_requests=cut_off.exchanges,
        duration_ms=round((loop.time() - begun_s) * 1000),
    )
    return ExitCode.DONE


async def _run_until_stopped(path: Path, loaded: LoadedSettings) -> ExitCode:
    """Run the process and return its exit code, which later signals do not change."""
    try:
        return await _run(path, loaded)
    finally:
        # Closing the event loop restores the default actions of its signals. A process that calls
        # `main` as a function keeps its signal mask.
        if __name__ == "__main__":
            signal.pthread_sigmask(signal.SIG_BLOCK, (*STOP_SIGNALS, signal.SIGHUP))


def main(arguments: Sequence[str] | None = None) -> int:
    """Load the settings, run until SIGTERM or SIGINT and return the exit code."""
    parser = argparse.ArgumentParser(
        prog="nutmeglead-entry",
        description=__doc__,
        epilog="Exit codes: docs/operators/exit-codes.md.",
    )
    parser.add_argument("--version", action="version", version=f"nutmeglead-entry {__version__}")
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help=f"the platform's TOML or JSON with comments; default: ${SETTINGS_VARIABLE}",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args(arguments)
    settings_file = options.settings or os.environ.get(SETTINGS_VARIABLE)
    if settings_file is None:
        parser.error(f"no settings file is given: use --settings or set {SETTINGS_VARIABLE}")
    path = Path(settings_file)
    loaded = _load_settings(path)
    if options.check:
        print(loaded.err_value if isinstance(loaded, Err) else f"{path}: the settings are valid")
        return exit_code_of(loaded.err_value) if isinstance(loaded, Err) else ExitCode.DONE
    stream = NonBlockingStream(_log_descriptor())
    if isinstance(loaded, Err):
        configure_logging("INFO", "json", stream)
        log_event(logger, Event.SETTINGS_REFUSED, error=str(loaded.err_value))
        return exit_code_of(loaded.err_value)
    configure_logging(loaded.ok_value.log_level, loaded.ok_value.log_format, stream)
    return asyncio.run(_run_until_stopped(path, loaded.ok_value))


if __name__ == "__main__":
    sys.exit(main())
