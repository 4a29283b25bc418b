"""Run one entry VM on the users' platform."""

import sys

# TLS is not used on this platform; asyncio works without the module, which takes 4 MB.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

import argparse  # noqa: E402
import asyncio  # noqa: E402
import gc  # noqa: E402
import logging  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
from collections.abc import Sequence  # noqa: E402
from pathlib import Path  # noqa: E402

from result import Err  # noqa: E402

from nutmeglead.core.clock import SystemClock  # noqa: E402
from nutmeglead.core.events import Event, configure_logging, log_event  # noqa: E402
from nutmeglead.core.log_stream import NonBlockingStream  # noqa: E402
from nutmeglead.entry.process import EntryProcess  # noqa: E402
from nutmeglead.platform.node_settings import (  # noqa: E402
    SETTINGS_VARIABLE,
    NodeSettings,
    decode_settings,
)

__all__ = ["main"]

logger = logging.getLogger(__name__)

EXIT_SETTINGS = 78


async def _run(settings: NodeSettings) -> int:
    loop = asyncio.get_running_loop()
    process = EntryProcess(settings, SystemClock(), random.Random())
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    await process.start()
    log_event(logger, Event.PROGRAM_STARTED, node=settings.node_id, life=process.incarnation)
    gc.collect()
    gc.freeze()
    await stopping.wait()
    log_event(logger, Event.PROGRAM_STOPPING)
    cut_off = await process.stop()
    log_event(logger, Event.PROGRAM_STOPPED, cut_off=cut_off)
    return 0


def _note_reload() -> None:
    log_event(logger, Event.SETTINGS_RELOADED)


def main(arguments: Sequence[str] | None = None) -> int:
    """Read the settings and run until SIGTERM."""
    parser = argparse.ArgumentParser(prog="nutmeglead-entry", description=__doc__)
    parser.add_argument("--settings", help=f"settings file; default: ${SETTINGS_VARIABLE}")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    options = parser.parse_args(arguments)
    configure_logging("INFO", "json", NonBlockingStream(sys.stdout.fileno()))
    path = options.settings or os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        parser.error(f"give --settings or set {SETTINGS_VARIABLE}")
    decoded = decode_settings(Path(path).read_bytes())
    if isinstance(decoded, Err):
        log_event(logger, Event.SETTINGS_REFUSED, error=str(decoded.err_value))
        return EXIT_SETTINGS
    if options.check:
        return 0
    return asyncio.run(_run(decoded.ok_value))


if __name__ == "__main__":
    sys.exit(main())
