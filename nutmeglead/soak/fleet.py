"""Run entry processes, with the store, the servers and proxies to them in this process."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import (
    BoundsSettings,
    FailureDomain,
    LogSettings,
    NodeSettings,
    ServiceSettings,
    Settings,
)
from nutmeglead._generated.tickets.ttypes import ServerItem, ServerState
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.ids import ServiceName
from nutmeglead.emulator.judge import Holder, OwnershipChecker
from nutmeglead.emulator.key_server import KeyServer
from nutmeglead.emulator.notice_checker import NoticeChecker
from nutmeglead.emulator.rows import RowStore
from nutmeglead.emulator.server_host import ExecutionLog, ServerHost, ServerOptions
from nutmeglead.emulator.store_host import StoreHost
from nutmeglead.settings.structs import plain_struct
from nutmeglead.soak.proxy import Proxy

__all__ = ["EntryProgram", "Fleet", "ProgramRun", "SoakServer"]

logger = logging.getLogger(__name__)

ENVIRONMENT_IP = "127.0.0.1"
# Each entry process has its own loopback address, so that all of them use the same ports.
ENTRY_IP = "127.0.{net}.{number}"
FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 18_080, 18_081, 18_082, 18_083
SERVICES = (
    ServiceSettings("stock", 4, 130, idempotent=True, timeout_ms=2_000, target_latency_ms=500),
    ServiceSettings("orders", 4, 130, timeout_ms=2_000, target_latency_ms=500, priority=0),
)
STOP_GRACE_MS = 4_000
# A process that has not exited this long after its grace is killed.
EXIT_MARGIN_S = 2.0
START_CHECK_INTERVAL_S = 0.005
DISTURBING_SIGNALS = {signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT}


@dataclass(eq=False)
class SoakServer:
    """Hold an emulated backend server and the proxy that entry processes connect to."""

    service: ServiceName
    server_id: str
    domain: str
    port: int
    proxy: Proxy
    proxy_port: int
    host: ServerHost
    holder: Holder


@dataclass(eq=False)
class ProgramRun:
    """Hold the signals that one process of an entry program has got."""

    signals: set[signal.Signals] = field(default_factory=set)
    # When it got its first SIGTERM, or None.
    stop_ms: int | None = None
    # How often it was killed, paused or resumed.
    disturbance_count: int = 0

    def add(self, number: signal.Signals, now_ms: int) -> None:
        """Record a signal."""
        self.signals.add(number)
        if number is signal.SIGTERM and self.stop_ms is None:
            self.stop_ms = now_ms
        self.disturbance_count += number in DISTURBING_SIGNALS

    @property
    def is_killed(self) -> bool:
        """Return whether the process was killed; it may end a moment later."""
        return signal.SIGKILL in self.signals

    @property
    def ended_as_planned(self) -> bool:
        """Return whether the process was stopped, and neither killed nor paused."""
        unplanned = {signal.SIGKILL, signal.SIGSTOP}
        return signal.SIGTERM in self.signals and not unplanned & self.signals


class EntryProgram:
    """Run one entry process; signals go only to the process that was started here."""

    def __init__(
        self, ip: str, settings_path: Path, log_path: Path, grace_ms: int = STOP_GRACE_MS
    ) -> None:
        self.ip = ip
        self._exit_timeout_s = grace_ms / 1000 + EXIT_MARGIN_S
        self._clock = SystemClock()
        self._settings_path = settings_path
        self._log_path = log_path
        self._process: asyncio.subprocess.Process | None = None
        # Names the process itself, where its id may be given to another one after its exit.
        self._pidfd = -1
        # The latest process.
        self.run = ProgramRun()

    async def start(self) -> None:
        """Start the entry program, and return once its first statement has run.

        Until then the interpreter leaves signals their default actions. The program's output is
        appended to the log file.
        """
        self.run = ProgramRun()
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "nutmeglead.programs.entry",
                "--settings",
                str(self._settings_path),
                stdout=log,
                stderr=log,
                env=dict(os.environ, PYTHONHASHSEED="0"),
            )
        if self._pidfd >= 0:
            os.close(self._pidfd)
        self._pidfd = -1
        # The process may have ended, and its exit code been taken, while this one had no time.
        with suppress(ProcessLookupError):
            self._pidfd = os.pidfd_open(self._process.pid)

        while self._process.returncode is None and not self._handles_stop():
            await asyncio.sleep(START_CHECK_INTERVAL_S)

    def _handles_stop(self) -> bool:
        """Return whether the process has installed a handler for SIGTERM."""
        assert self._process is not None
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            # The process has ended; the caller sees its return code.
            return True
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught.split()[1], 16) & 1 << (signal.SIGTERM - 1))

    def _send(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has exited.

        `Process.send_signal` asks for the exit code first, and takes it from the child watcher,
        which then reports 255.
        """
        if self._pidfd < 0:
            return
        with suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._pidfd, number)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self.run.add(number, self._clock.now_ms())
            self._send(number)

    async def stand_still(self, duration_s: float) -> None:
        """Stop the process for a time that is too short to excuse anything."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        self._send(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        if process is self._process and process.returncode is None:
            self._send(signal.SIGCONT)

    async def wait_for_exit(self) -> int:
        """Wait for the exit, kill the process if it takes too long, and return its exit code."""
        assert self._process is not None
        try:
            async with asyncio.timeout(self._exit_timeout_s):
                return await self._process.wait()
        except TimeoutError:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            return await self._process.wait()


class Fleet:
    """Own the store, the servers, the proxies and the entry programs of one run."""

    stop_grace_ms = STOP_GRACE_MS

    def __init__(
        self, seed: int, entry_count: int, servers_per_service: int, net: int, work_ms: float
    ) -> None:
        """Use `net` as third part of the entry programs' addresses; each run needs its own."""
        self.clock = SystemClock()
        self.rng = random.Random(seed)
        self.rows = RowStore(self.clock)
        self.store = StoreHost(self.rows, self.clock)
        self.store_proxies: list[Proxy] = []
        self.ownership_checker = OwnershipChecker(self.clock)
        self.notice_checker = NoticeChecker(self.clock, BoundsSettings().leave_ms)
        self.executions = ExecutionLog()
        self.servers: dict[str, SoakServer] = {}
        self.entries: list[EntryProgram] = []
        self.store_port = 0
        self._net = net
        self._entry_count = entry_count
        self._servers_per_service = servers_per_service
        self.server_options = ServerOptions(work_ms=work_ms)
        # A TemporaryDirectory would remove the logs of a failed run when the program exits.
        self._directory = Path(tempfile.mkdtemp(prefix="nutmeglead-soak-"))

    @property
    def logs(self) -> Path:
        """Return the directory of the entry programs' settings and logs."""
        return self._directory

    async def start(self) -> None:
        """Start the store, the servers, and the entry programs with a store proxy each."""
        self.store_port = await self.store.start(ENVIRONMENT_IP, 0)
        for service in SERVICES:
            for number in range(self._servers_per_service):
                await self._add_server(service, number)
        for number in range(1, self._entry_count + 1):
            proxy = Proxy((ENVIRONMENT_IP, self.store_port))
            self.store_proxies.append(proxy)
            port = await proxy.start(ENVIRONMENT_IP)
            path = self.write_settings(number, port)
            self.entries.append(
                EntryProgram(
                    self._entry_ip(number),
                    path,
                    self.logs / f"entry-{number}.log",
                    self.stop_grace_ms,
                )
            )
        await asyncio.gather(*(entry.start() for entry in self.entries))

    def write_settings(self, number: int, store_port: int) -> Path:
        """Write the settings file of an entry program, and return its path."""
        path = self.logs / f"entry-{number}.jsonc"
        path.write_text(json.dumps(plain_struct(self.settings(number, store_port))))
        return path

    def _entry_ip(self, number: int) -> str:
        return ENTRY_IP.format(net=self._net, number=number)

    def settings(self, number: int, store_port: int) -> Settings:
        """Return the settings of an entry program."""
        domains = [FailureDomain(f"domain-{domain}", "default") for domain in range(3)]
        node = NodeSettings(
            f"entry-{number}",
            self._entry_ip(number),
            domains[number % 3].name,
            FRONT_PORT,
            READY_PORT,
            PEER_PORT,
            METRICS_PORT,
        )
        bounds = BoundsSettings(stop_grace_ms=self.stop_grace_ms)
        store = Address(ENVIRONMENT_IP, store_port)
        return Settings("soak", node, store, domains, list(SERVICES), bounds, LogSettings())

    async def _add_server(self, service: ServiceSettings, number: int) -> None:
        server_id = f"{service.name}-{number}"
        name = ServiceName(service.name)
        keys = KeyServer(server_id, self.clock, partial(self.ownership_checker.on_change, name))
        host = self._host(keys)
        port = await host.start(ENVIRONMENT_IP, 0)
        proxy = Proxy((ENVIRONMENT_IP, port))
        proxy_port = await proxy.start(ENVIRONMENT_IP)
        holder = Holder(name, keys)
        self.ownership_checker.holders.append(holder)
        domain = f"domain-{number % 3}"
        self.servers[server_id] = SoakServer(
            name, server_id, domain, port, proxy, proxy_port, host, holder
        )

    def _host(self, keys: KeyServer) -> ServerHost:
        rng = random.Random(self.rng.random())
        host = ServerHost(keys, self.server_options, self.executions, self.clock, rng)
        host.notice_checker = self.notice_checker
        return host

    async def restart_server(self, server_id: str, downtime_s: float) -> None:
        """Stop a server, and after `downtime_s` start one without keys at the same address."""
        server = self.servers[server_id]
        server.holder.is_up = False
        await server.host.stop()
        await asyncio.sleep(downtime_s)
        on_change = partial(self.ownership_checker.on_change, server.service)
        keys = KeyServer(server_id, self.clock, on_change)
        server.host = self._host(keys)
        server.holder = Holder(server.service, keys)
        self.ownership_checker.holders.append(server.holder)
        await server.host.start(ENVIRONMENT_IP, server.port)

    def server_item(self, server: SoakServer, state: ServerState) -> ServerItem:
        """Return the item of a ticket that gives a server, at its proxy's address, a state."""
        address = Address(ENVIRONMENT_IP, server.proxy_port)
        return ServerItem(server.service, server.server_id, state, address, server.domain)

    def server_items(self) -> list[ServerItem]:
        """Return the items of the first ticket: all servers, at the addresses of their proxies."""
        return [self.server_item(s, ServerState.PRESENT) for s in self.servers.values()]

    def ready_addresses(self) -> dict[tuple[str, int], tuple[str, int]]:
        """Return the address of each entry program's readiness check by its front address."""
        return {(entry.ip, FRONT_PORT): (entry.ip, READY_PORT) for entry in self.entries}

    def proxies(self) -> Iterable[Proxy]:
        """Yield the proxies in front of the store and the servers."""
        yield from self.store_proxies
        yield from (server.proxy for server in self.servers.values())

    async def stop(self) -> None:
        """Kill the entry programs, and then stop the proxies, the servers and the store."""
        for entry in self.entries:
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
        await asyncio.gather(*(entry.wait_for_exit() for entry in self.entries))
        for proxy in self.proxies():
            await proxy.stop()
        for server in self.servers.values():
            await server.host.stop()
        await self.store.stop()

    def discard_logs(self) -> None:
        """Remove the directory with the settings and logs of the entry programs."""
        shutil.rmtree(self._directory)
