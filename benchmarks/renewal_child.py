"""Run the renewer or the servers of the benchmark `renewals` in a child process."""

import asyncio
import json
import logging
import random
import socket
import struct
import sys
import time
from pathlib import Path

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import AssignRenewer, RenewerSet, RenewStatus
from nutmeglead._generated.settings.ttypes import OwnershipSettings, ServiceSettings
from nutmeglead.controller.renewals import RenewalLoop
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.ids import Incarnation, NodeId
from nutmeglead.http.client import ClientConnection, HttpFetcher
from nutmeglead.ownership.renewer import Renewer
from nutmeglead.platform.http_backend import HttpBackendControl
from nutmeglead.rpc.client import RpcClient
from nutmeglead.standin.backend import BackendOptions, BackendStandin
from nutmeglead.standin.ledger import RunLedger

SERVICE = "lagerblick"
NODE = "entry-a"
TIMEOUT_MS = 240
IDLE_CONNECTIONS = 2
# struct tcp_info of Linux: bytes acknowledged and received, segments sent and received.
TCP_INFO_BYTES = 232
TCP_INFO_FIELDS, TCP_INFO_OFFSET = "QQII", 120


def resident_kb() -> int:
    """Return this process's resident memory in KiB."""
    text = Path("/proc/self/status").read_text()
    return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmRSS"))


def say(document: dict[str, object]) -> None:
    """Write one line to the parent."""
    print(json.dumps(document), flush=True)


async def next_line() -> str:
    """Return the parent's next line, "" when it is gone."""
    return await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)


async def run_servers(count: int, seed: int, first: int) -> None:
    """Serve `count` grant holders, each on its own port, and answer with the time used."""
    service = ServiceSettings(name=SERVICE, slots_per_instance=4, connections_per_instance=130)
    rng, clock, ledger = random.Random(seed), SystemClock(), RunLedger()
    servers = [
        BackendStandin(BackendOptions(f"lb-{number:04}"), service, ledger, clock, rng)
        for number in range(first, first + count)
    ]
    ports = [await server.start("127.0.0.1", 0) for server in servers]
    say({"ports": ports})
    while await next_line():
        say({"cpu_ns": time.process_time_ns(), "resident_kb": resident_kb()})


class CountingBackend(HttpBackendControl):
    """Count renewals, and those that did not extend a lease."""

    sent = failed = 0

    async def renew(self, address, message):
        """Pass a renewal on."""
        reply = await super().renew(address, message)
        self.sent += 1
        self.failed += reply.is_err() or reply.ok_value.status != RenewStatus.RENEWED
        return reply


class CountingFetcher(HttpFetcher):
    """Keep every connection that has carried an exchange, whether it is idle or in use."""

    def __init__(self) -> None:
        super().__init__(max_idle_count=IDLE_CONNECTIONS)
        self._seen: dict[int, ClientConnection] = {}
        self._carried: dict[int, tuple[int, ...]] = {}

    def _give_back(self, ip, port, connection):
        self._seen[id(connection)] = connection
        super()._give_back(ip, port, connection)

    def traffic(self) -> dict[str, int]:
        """Add up what the connections have carried, without TCP and IP headers."""
        for number, connection in self._seen.items():
            transport = connection.channel.transport
            if transport is not None and not transport.is_closing():
                sock = transport.get_extra_info("socket")
                info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
                self._carried[number] = struct.unpack_from(TCP_INFO_FIELDS, info, TCP_INFO_OFFSET)
        totals = [sum(column) for column in zip(*self._carried.values(), strict=True)]
        names = ("sent_bytes", "received_bytes", "sent_segments", "received_segments")
        return dict(zip(names, totals, strict=True))


async def run_renewer(seed: int) -> None:
    """Renew the servers at the ports that the parent names; answer with the usage so far."""
    clock, settings = SystemClock(), OwnershipSettings()
    fetcher = CountingFetcher()
    backend = CountingBackend(TIMEOUT_MS, fetcher)
    incarnation = Incarnation(f"{NODE}#1")
    renewer = Renewer(NodeId(NODE), incarnation, settings, clock.now_ms())
    rpc = RpcClient(clock, random.Random(seed))
    loop = RenewalLoop(renewer, backend, rpc, clock, lambda _: None)
    task = asyncio.ensure_future(loop.run())
    before_kb = resident_kb()
    ports = json.loads(await next_line())
    for number, port in enumerate(ports):
        assign(renewer, number, port, clock.now_ms(), incarnation)
    say({"resident_kb": before_kb})
    while await next_line():
        usage = {"cpu_ns": time.process_time_ns(), "resident_kb": resident_kb()}
        usage |= {"time_ns": time.monotonic_ns(), "sent": backend.sent, "failed": backend.failed}
        say(usage | fetcher.traffic())
    task.cancel()
    fetcher.close()


def assign(renewer: Renewer, number: int, port: int, now_ms: int, incarnation: str) -> None:
    """Make this node the only renewer of a server."""
    message = AssignRenewer(
        Sender("entry-b", "entry-b#1"), SERVICE, 1, f"lb-{number:04}", Address("127.0.0.1", port),
        f"lb-{number:04}#1", RenewerSet(1, [NODE], [incarnation], 1),
    )  # fmt: skip
    assert renewer.assign(message, now_ms).accepted


def main() -> None:
    """Run the part that the command line names."""
    logging.disable()
    if sys.argv[1] == "servers":
        asyncio.run(run_servers(*map(int, sys.argv[2:5])))
    else:
        asyncio.run(run_renewer(int(sys.argv[2])))


if __name__ == "__main__":
    main()
