"""Run one entry VM, on the users' platform or with the product's own interface."""

import sys

# TLS is not used on this platform; asyncio works without the module, which takes 4 MB.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

import argparse  # noqa: E402
import asyncio  # noqa: E402
import gc  # noqa: E402
import importlib  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
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

# The platform changes the file with or without a signal.
SETTINGS_CHECK_INTERVAL_S = 2.0
PLATFORM_SUFFIX = ".toml"

MakeFeed = Callable[[EntryProcess], OperatorFeed]


@dataclass(frozen=True)
class Loaded:
    """Hold the settings, and what follows the operator with them."""

    node: NodeSettings
    make_feed: MakeFeed
    log_level: str = "INFO"
    log_format: str = "json"


def _load(path: Path) -> Result[Loaded, NutmegleadError]:
    """Return the settings of the users' platform, or the product's own."""
    if path.suffix != PLATFORM_SUFFIX:
        return _load_own(path)
    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(FileUnreadable(str(path), f"{type(error).__name__}: {error}"))
    decoded = decode_settings(data)
    if isinstance(decoded, Err):
        fault = Fault("", "the platform's settings", str(decoded.err_value))
        return Err(SettingsFaults(str(path), (fault,)))
    return Ok(Loaded(decoded.ok_value, PlatformFeed))


def _load_own(path: Path) -> Result[Loaded, NutmegleadError]:
    # Not installed on the users' platform: the parser of JSON with comments, and the key hash.
    loader = importlib.import_module("nutmeglead.settings.loader")
    feed = importlib.import_module("nutmeglead.entry.ticket_feed")
    interface = importlib.import_module("nutmeglead.tickets.interface")
    loaded = loader.load_settings(path)
    if isinstance(loaded, Err):
        return Err(loaded.err_value)
    settings = loaded.ok_value
    node = interface.node_settings(settings)
    make_feed: MakeFeed = partial(feed.TicketFeed, settings)
    return Ok(Loaded(node, make_feed, settings.log.level, settings.log.format))


class _Reloader:
    """Read the settings file again after a signal, or when it has changed."""

    def __init__(self, path: Path, process: EntryProcess) -> None:
        self._path = path
        self._process = process
        self._seen = self._stamp()

    def reload(self) -> None:
        """Take the settings over, or keep the old ones if the new ones are refused."""
        self._seen = self._stamp()
        loaded = _load(self._path)
        if isinstance(loaded, Err):
            log_event(logger, Event.SETTINGS_KEPT, error=str(loaded.err_value))
            return
        changed = self._process.apply_settings(loaded.ok_value.node)
        log_event(logger, Event.SETTINGS_RELOADED, changed=changed)

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if self._stamp() != self._seen:
                self.reload()

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = self._path.stat()
        except OSError:
            # A file that is being replaced is looked at again.
            return None
        return found.st_mtime_ns, found.st_size


async def _run(path: Path, loaded: Loaded) -> ExitCode:
    loop = asyncio.get_running_loop()
    process = EntryProcess(loaded.node, SystemClock(), random.Random(), make_feed=loaded.make_feed)
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    reloader = _Reloader(path, process)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    try:
        await process.start()
    except OSError as error:
        log_event(logger, Event.LISTEN_FAILED, reason=str(error))
        return ExitCode.LISTEN_FAILED
    watch = loop.create_task(reloader.run())
    log_event(logger, Event.PROGRAM_STARTED, node=loaded.node.node_id, life=process.incarnation)
    gc.collect()
    gc.freeze()
    await stopping.wait()
    watch.cancel()
    log_event(logger, Event.PROGRAM_STOPPING)
    cut_off = await process.stop()
    log_event(logger, Event.PROGRAM_STOPPED, cut_off=cut_off)
    return ExitCode.DONE


def main(arguments: Sequence[str] | None = None) -> int:
    """Read the settings and run until SIGTERM."""
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
    given = options.settings or os.environ.get(SETTINGS_VARIABLE)
    if given is None:
        parser.error(f"give --settings or set {SETTINGS_VARIABLE}")
    path = Path(given)
    loaded = _load(path)
    if options.check:
        print(loaded.err_value if isinstance(loaded, Err) else f"{path}: the settings are valid")
        return exit_code_of(loaded.err_value) if isinstance(loaded, Err) else ExitCode.DONE
    stream = NonBlockingStream(sys.stdout.fileno())
    if isinstance(loaded, Err):
        configure_logging("INFO", "json", stream)
        log_event(logger, Event.SETTINGS_REFUSED, error=str(loaded.err_value))
        return exit_code_of(loaded.err_value)
    configure_logging(loaded.ok_value.log_level, loaded.ok_value.log_format, stream)
    return asyncio.run(_run(path, loaded.ok_value))


if __name__ == "__main__":
    sys.exit(main())
