"""Run seeds of the soak: python -m nutmeglead.soak.run --first 1 --count 50."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from result import Err

from nutmeglead._generated.peers.ttypes import NodeRow, TicketStatus
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.emulator.balancer import LoadBalancer
from nutmeglead.entry.copies import TICKET_STATUS_PATH
from nutmeglead.http.client import HttpFetcher
from nutmeglead.peers.fetch import fetch_struct
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.table import StoreTable
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.soak.faults import DELAYED_ORDER_FAULTS, FAULTS
from nutmeglead.soak.fleet import (
    ENVIRONMENT_IP,
    PEER_PORT,
    SERVICES,
    EntryProgram,
    Fleet,
    SoakServer,
)
from nutmeglead.soak.load import SoakLoad
from nutmeglead.soak.lost_tickets import head_number, lost_tickets
from nutmeglead.soak.options import SoakOptions
from nutmeglead.tickets.filing import TicketFiling
from nutmeglead.tickets.rows import TICKETS_TABLE

__all__ = ["MAX_CHANGE_INTERVAL_S", "SoakReport", "SoakRun", "main"]

Component = TypeVar("Component", EntryProgram, SoakServer)

STORE_TIMEOUT_MS = 1_500
# Time for the entry processes to start and for the first placement of ranges.
START_TIMEOUT_S = 20.0
# This long after the last fault, also on a busy machine, all keys must have holders, and all entry
# programs must follow the newest ticket.
RECOVERY_TIMEOUT_S = 30.0
STATUS_TIMEOUT_MS = 1_000
CHECK_INTERVAL_S = 0.2
MAX_CHANGE_INTERVAL_S = 0.4
# Step between the keys that are checked for a holder.
KEY_SAMPLE_STEP = 997


@dataclass
class SoakReport:
    """Hold the results of a run: its faults with their times in `log`, violations in `broken`."""

    seed: int
    owed: int = 0
    in_time: int = 0
    log: list[tuple[float, str]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)


class SoakRun:
    """Run one seed; the registered faults act on the fleet through it."""

    def __init__(self, seed: int, options: SoakOptions) -> None:
        self.rng = random.Random(seed)
        self.fleet = Fleet(seed, options.entries, options.servers, options.net, options.work_ms)
        self.report = SoakReport(seed)
        self._options = options
        self._claim_count = 0
        self._change_count = 0
        self._head_number = 0
        self._filed: list[Ticket] = []
        self._reserved: set[EntryProgram | SoakServer] = set()
        self._tickets: StoreTable | None = None

    async def run(self) -> SoakReport:
        """Run the seed and return its report; logs are kept only if a requirement is broken."""
        fleet = self.fleet
        await fleet.start()
        try:
            await self._run_load_and_faults()
        finally:
            await fleet.stop()
        if not self.report.broken:
            fleet.discard_logs()
        return self.report

    async def _run_load_and_faults(self) -> None:
        fleet, loop = self.fleet, asyncio.get_running_loop()
        await self._begin_operating()
        balancer = LoadBalancer(fleet.ready_addresses)
        probing = loop.create_task(balancer.run())
        if not await self._wait_until_held(START_TIMEOUT_S):
            self.report.broken.append("some sampled keys got no holder after the start")
            probing.cancel()
            return
        load = self._make_load(balancer)
        duration_s = self._options.fault_s
        load_tasks = load.start(duration_s)
        await self._inject_faults(duration_s)
        await asyncio.gather(*load_tasks)
        if not await self._wait_until_held(RECOVERY_TIMEOUT_S):
            self.report.broken.append(
                f"{self._count_unheld_keys()} sampled keys have no holder at the end"
            )
        await self._check_changes()
        probing.cancel()
        self._check_requirements(load)

    async def _begin_operating(self) -> None:
        """File the first ticket, which names the servers."""
        fleet = self.fleet
        store = StoreClient(
            ENVIRONMENT_IP, fleet.store_port, HttpFetcher(), STORE_TIMEOUT_MS, fleet.clock
        )
        self._tickets = StoreTable(store, TICKETS_TABLE)
        await self._file("servers", fleet.server_items())

    def _make_load(self, balancer: LoadBalancer) -> SoakLoad:
        return SoakLoad(self.fleet, self._options, balancer, self.rng, self.report.seed)

    async def _inject_faults(self, duration_s: float) -> None:
        loop, names = asyncio.get_running_loop(), self._options.faults
        start_s = loop.time()
        # If a fault raises, the others end too, and start no process after the fleet has stopped.
        async with asyncio.TaskGroup() as running:
            while (at_s := loop.time() - start_s) < duration_s:
                name = self.rng.choice(names)
                self.report.log.append((round(at_s, 2), name))
                running.create_task(_run_fault(name, FAULTS.get(name)(self)))
                await asyncio.sleep(self.rng.expovariate(1 / self._options.mean_interval_s))

    # ---- interface for faults ----

    def reserve_entry(self) -> EntryProgram | None:
        """Reserve a random entry program; return None unless more than half are free of faults."""
        return self._reserve(self.free_entries(), len(self.fleet.entries))

    def free_entries(self) -> list[EntryProgram]:
        """Return the entry programs that are free of faults; all others may not run yet."""
        return [entry for entry in self.fleet.entries if entry not in self._reserved]

    def reserve_free_entries(self) -> list[EntryProgram]:
        """Reserve all entry programs that are free of faults."""
        entries = self.free_entries()
        for entry in entries:
            self._begin_fault(entry)
        return entries

    def reserve_server(self) -> SoakServer | None:
        """Reserve a random server; return None unless more than half are free of faults."""
        servers = self.fleet.servers.values()
        free = [server for server in servers if server not in self._reserved]
        return self._reserve(free, len(servers))

    def _reserve(self, free: list[Component], count: int) -> Component | None:
        if 2 * len(free) <= count:
            return None
        chosen = self.rng.choice(free)
        self._begin_fault(chosen)
        return chosen

    def _begin_fault(self, component: EntryProgram | SoakServer) -> None:
        self._reserved.add(component)
        self.fleet.notice_checker.begin_fault(_checked_name(component))

    def release(self, component: EntryProgram | SoakServer) -> None:
        """End the reservation of an entry program or server."""
        self._reserved.discard(component)
        self.fleet.notice_checker.end_fault(_checked_name(component))

    def check_exit_code(self, exit_code: int) -> None:
        """Report a violation if a process that was stopped by SIGTERM exited with an error."""
        if exit_code != 0:
            self.report.broken.append(f"an entry process exited with {exit_code} after SIGTERM")

    async def claim_key(self) -> None:
        """File a ticket that claims a random key for a random server of its service."""
        service = self.rng.choice(SERVICES).name
        ids = [s.server_id for s in self.fleet.servers.values() if s.service == service]
        self._claim_count += 1
        claim = KeyClaim(service, f"k{self.rng.randrange(1, 20)}", server_id=self.rng.choice(ids))
        await self._file(f"claim-{self._claim_count}", claims=[claim])

    async def file_server_state(self, server: SoakServer, state: ServerState) -> None:
        """File a ticket that sets a server's state."""
        self._change_count += 1
        item = self.fleet.server_item(server, state)
        await self._file(f"change-{self._change_count}", servers=[item])

    async def change_in_series(self) -> None:
        """File tickets that claim keys, and let a server leave and return."""
        server = self.reserve_server()
        states = itertools.cycle((ServerState.LEAVING, ServerState.PRESENT))
        for _ in range(2 * self.rng.randrange(2, 6)):
            await self.claim_key()
            if server is not None:
                await self.file_server_state(server, next(states))
            await asyncio.sleep(self.rng.uniform(0, MAX_CHANGE_INTERVAL_S))
        if server is not None:
            self.release(server)

    async def reuse_address(self) -> None:
        """Do nothing: a server of a ticket keeps its id and its address."""

    async def _file(
        self,
        filing_id: str,
        servers: Sequence[ServerItem] = (),
        claims: Sequence[KeyClaim] = (),
    ) -> None:
        assert self._tickets is not None
        # As the program that files tickets, of which each run files one.
        settings = self.fleet.settings(1, self.fleet.store_port)
        filing = TicketFiling(self._tickets, settings, _wait_before_retry)
        ticket = Ticket(filing_id, self._head_number, "soak", None, list(servers), list(claims))
        self._filed.append(ticket)
        filed = await filing.file(ticket)
        # The store may be unavailable or lose the answer; the filing is then not repeated.
        if not isinstance(filed, Err):
            self._head_number = max(self._head_number, filed.ok_value.number)

    async def file_lost_tickets(self) -> None:
        """File the tickets that the store has lost again, in their order, as an operator does."""
        self._head_number = head_number(self.fleet.rows)
        for ticket in lost_tickets(self.fleet.rows, self._filed):
            self._filed.remove(ticket)
            await self._file(ticket.filing_id, ticket.servers or [], ticket.claims or [])

    # ---- check of the requirements ----

    def _count_unheld_keys(self) -> int:
        unheld = 0
        for service in SERVICES:
            service_keys = [
                server.host.keys
                for server in self.fleet.servers.values()
                if server.service == service.name
            ]
            sample = range(0, KEY_COUNT, KEY_SAMPLE_STEP)
            unheld += sum(not any(keys.holds_key(key) for keys in service_keys) for key in sample)
        return unheld

    async def _wait_until_held(self, timeout_s: float) -> bool:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while self._count_unheld_keys():
            if loop.time() > end_s:
                return False
            await asyncio.sleep(CHECK_INTERVAL_S)
        return True

    async def _check_changes(self) -> None:
        """Report the entry programs that do not follow the newest change in time."""
        loop, fetcher = asyncio.get_running_loop(), HttpFetcher()
        end_s = loop.time() + RECOVERY_TIMEOUT_S
        while outdated := [e.ip for e in self.fleet.entries if await self._is_outdated(e, fetcher)]:
            if loop.time() > end_s:
                self.report.broken.append(f"without change {self._head_number}: {outdated}")
                break
            await asyncio.sleep(CHECK_INTERVAL_S)
        fetcher.close()

    async def _is_outdated(self, entry: EntryProgram, fetcher: HttpFetcher) -> bool:
        """Return whether an entry program follows no ticket as new as the newest one filed."""
        row = NodeRow(entry.ip, PEER_PORT, 0, "", 0.0)
        path, timeout_ms = TICKET_STATUS_PATH, STATUS_TIMEOUT_MS
        fetched = await fetch_struct(fetcher, row, path, TicketStatus, timeout_ms)
        return isinstance(fetched, Err) or (
            fetched.ok_value.message.ticket_number < self._head_number
        )

    def _check_requirements(self, load: SoakLoad) -> None:
        report = self.report
        report.owed, report.in_time = load.owed, load.in_time
        for violations in load.violations(self.fleet.executions.run_counts):
            report.broken += [f"{count} {text}" for text, count in violations.items() if count]
        ignored = self.fleet.notice_checker.faults
        if ignored:
            report.broken.append(f"{len(ignored)} requests against servers' notices: {ignored[:3]}")
        overlaps = len(self.fleet.ownership_checker.faults)
        if overlaps:
            report.broken.append(f"{overlaps} overlaps between the holds of two servers")
        low_fences = self.fleet.ownership_checker.low_fences
        if low_fences and not DELAYED_ORDER_FAULTS & set(self._options.faults):
            report.broken.append(f"{len(low_fences)} keys taken under old fences: {low_fences[:3]}")
        if not report.in_time:
            report.broken.append("no request was answered in time")


def _checked_name(component: EntryProgram | SoakServer) -> str:
    """Return the name by which the notice checker knows an entry program or a server."""
    return component.ip if isinstance(component, EntryProgram) else component.host.name


async def _run_fault(name: str, fault: Awaitable[None]) -> None:
    try:
        await fault
    except Exception as error:
        raise RuntimeError(f"soak fault {name!r} raised an error") from error


async def _wait_before_retry(attempt: int) -> None:
    await asyncio.sleep(0.02 * 2**attempt)


def main(
    arguments: Sequence[str] | None = None,
    make_run: Callable[[int, SoakOptions], SoakRun] = SoakRun,
    faults: Sequence[str] = SoakOptions.faults,
) -> int:
    """Run seeds one after the other, print a line for each, and return 1 if any failed.

    `faults` names those to draw from if the command line names none.
    """
    parser = argparse.ArgumentParser(prog="python -m nutmeglead.soak.run", description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--entries", type=int, default=SoakOptions.entries)
    parser.add_argument("--servers", type=int, default=SoakOptions.servers)
    parser.add_argument("--fault-s", type=float, default=SoakOptions.fault_s)
    interval_s = SoakOptions.mean_interval_s
    parser.add_argument("--mean-interval-s", type=float, default=interval_s)
    parser.add_argument("--net", type=int, default=SoakOptions.net)
    parser.add_argument("--pipeline-depth", type=int, default=SoakOptions.pipeline_depth)
    parser.add_argument("--kept-connections", type=int, default=SoakOptions.kept_connections)
    parser.add_argument("--work-ms", type=float, default=SoakOptions.work_ms)
    parser.add_argument(
        "--fault", action="append", choices=FAULTS.names(), help="draw from these faults only"
    )
    options = parser.parse_args(arguments)
    # Exit through the cleanup on SIGTERM, so that no entry process is left running.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    soak_options = SoakOptions(
        options.entries,
        options.servers,
        options.fault_s,
        options.mean_interval_s,
        options.net,
        faults=tuple(options.fault or faults),
        pipeline_depth=options.pipeline_depth,
        kept_connections=options.kept_connections,
        work_ms=options.work_ms,
    )
    failed = 0
    for seed in range(options.first, options.first + options.count):
        run = make_run(seed, soak_options)
        report = asyncio.run(run.run())
        verdict = "; ".join(report.broken) or "no broken requirement"
        print(f"seed {seed}: {verdict}; {report.in_time} of {report.owed} in time", flush=True)
        if report.broken:
            failed += 1
            print(f"  logs in {run.fleet.logs}; faults: {report.log}", flush=True)
    print(f"{options.count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
