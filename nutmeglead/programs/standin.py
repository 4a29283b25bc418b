"""Serve a substitute for the store and for backend servers: the program nutmeglead-standin."""

import argparse
import asyncio
import ipaddress
import random
import signal
import sys
from pathlib import Path

from result import Err, Ok, Result

from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead._generated.tickets.ttypes import ServerItem, ServerState
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.events import Event, log_event
from nutmeglead.emulator.key_server import KeyServer
from nutmeglead.emulator.rows import RowStore
from nutmeglead.emulator.server_host import ExecutionLog, ServerHost, ServerOptions
from nutmeglead.emulator.store_host import StoreHost
from nutmeglead.programs.common import build_parser, logger, run_service
from nutmeglead.settings.loader import read_text
from nutmeglead.tickets.checks import load_ticket

__all__ = ["main", "standin_parser"]

PROGRAM = "nutmeglead-standin"
DESCRIPTION = (
    "Serve the platform's store from memory, and backend servers that hold keys under fences."
    " SIGUSR1 copies the store's rows, and SIGUSR2 returns the store to the newest copy, or to its"
    " empty start; the era in its answers then rises by one."
    " Everything is lost when the program ends."
)


def standin_parser() -> argparse.ArgumentParser:
    """Return the parser of the options of nutmeglead-standin."""
    parser = build_parser(PROGRAM, DESCRIPTION)
    parser.add_argument(
        "--backends",
        type=Path,
        metavar="TICKET_FILE",
        help="run one backend server for each server item whose IP address is on loopback",
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the program until SIGTERM or SIGINT and return its exit code."""
    options = standin_parser().parse_args(arguments)
    standin = _Standin(options.backends)
    return run_service(options, standin.run, standin.load)


class _Standin:
    """Run the store and the backend servers of a ticket in one process."""

    def __init__(self, ticket_file: Path | None) -> None:
        self._ticket_file = ticket_file
        self._items: list[ServerItem] = []
        self._clock = SystemClock()
        self._executions = ExecutionLog()

    def load(self, settings: Settings) -> Result[None, NutmegleadError]:
        """Read the ticket and keep its server items on loopback; return an error for a fault."""
        if self._ticket_file is None:
            return Ok(None)
        text = read_text(self._ticket_file)
        if isinstance(text, Err):
            return text
        ticket = load_ticket(text.ok_value, settings, str(self._ticket_file))
        if isinstance(ticket, Err):
            return ticket
        self._items = [item for item in ticket.ok_value.servers or [] if _is_served(item)]
        return Ok(None)

    async def run(self, settings: Settings) -> None:
        """Serve the store and the ticket's servers until SIGTERM or SIGINT."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, stopping.set)
        rows = RowStore(self._clock)
        copies = [rows.save()]
        loop.add_signal_handler(signal.SIGUSR1, lambda: copies.append(rows.save()))
        loop.add_signal_handler(signal.SIGUSR2, lambda: rows.restore(copies[-1]))
        store = StoreHost(rows, self._clock)
        await store.start(settings.store.ip, settings.store.port)
        services = {service.name: service for service in settings.services}
        servers = [self._create_server(item, services[item.service_name]) for item in self._items]
        for item, server in zip(self._items, servers, strict=True):
            await server.start(item.address.ip, item.address.port)
        log_event(logger, Event.PROGRAM_STARTED, servers=len(servers))
        await stopping.wait()
        log_event(logger, Event.PROGRAM_STOPPING)
        for server in servers:
            await server.stop()
        await store.stop()
        log_event(logger, Event.PROGRAM_STOPPED)

    def _create_server(self, item: ServerItem, service: ServiceSettings) -> ServerHost:
        keys = KeyServer(item.server_id, self._clock, _ignore_key_change)
        options = ServerOptions(service.slots_per_instance, health_path=service.health_path)
        return ServerHost(keys, options, self._executions, self._clock, random.Random())


def _is_served(item: ServerItem) -> bool:
    """Return whether the item names a server on loopback that is not removed."""
    if item.state == ServerState.REMOVED or item.address is None:
        return False
    return ipaddress.ip_address(item.address.ip).is_loopback


def _ignore_key_change(keys: KeyServer) -> None:
    """Do nothing when a server's keys change; only the emulator checks ownership."""


if __name__ == "__main__":
    sys.exit(main())
