"""Run one seed of the soak: python -m nutmeglead.soak.run --first 1 --count 50."""

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
from collections.abc import Awaitable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from result import Err

from nutmeglead._generated.emulator.ttypes import DayFlow
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, Ticket
from nutmeglead.emulator.balancer import Balancer
from nutmeglead.emulator.callers import Callers
from nutmeglead.http.client import HttpFetcher
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.table import StoreTable
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.soak.faults import FAULTS
from nutmeglead.soak.fleet import ENVIRONMENT_IP, SERVICES, EntryProgram, Fleet, SoakServer
from nutmeglead.tickets.filing import TicketFiling
from nutmeglead.tickets.rows import TICKETS_TABLE

__all__ = ["SoakOptions", "SoakReport", "SoakRun", "main"]

Part = TypeVar("Part", EntryProgram, SoakServer)

STORE_TIMEOUT_MS = 1_500
# Interpreters start, and the first ranges are placed, within this time.
START_TIMEOUT_S = 20.0
# After the last fault all keys must be held again within this time, on a busy machine too.
CALM_TIMEOUT_S = 30.0
CHECK_INTERVAL_S = 0.2
KEY_SAMPLE = 997
FLOWS = (
    DayFlow("lookup", "stock", "GET", 20, 2_000, 500, 2, 200, 0.1),
    DayFlow("order", "orders", "POST", 10, 2_000, 500, 2, 200, 0.1),
)


@dataclass(frozen=True)
class SoakOptions:
    """Set the size of a run."""

    entries: int = 5
    servers: int = 4
    fault_s: float = 25.0
    # Mean time between the beginnings of two faults; they overlap.
    pause_s: float = 1.2
    # Third part of the entry programs' loopback addresses; runs at the same time need others.
    net: int = 1


@dataclass
class SoakReport:
    """Hold what a run found; `broken` names each promise that was not kept."""

    seed: int
    owed: int = 0
    in_time: int = 0
    log: list[tuple[float, str]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)


class SoakRun:
    """Hold one run; faults act on it."""

    def __init__(self, seed: int, options: SoakOptions) -> None:
        self.rng = random.Random(seed)
        self.fleet = Fleet(seed, options.entries, options.servers, options.net)
        self.report = SoakReport(seed)
        self._options = options
        self._claims = 0
        self._head = 0
        self._taken: set[EntryProgram | SoakServer] = set()
        self._filing: TicketFiling | None = None

    async def run(self) -> SoakReport:
        """Run the seed."""
        fleet = self.fleet
        await fleet.start()
        try:
            await self._play()
        finally:
            await fleet.stop()
        if not self.report.broken:
            fleet.discard_logs()
        return self.report

    async def _play(self) -> None:
        fleet, loop = self.fleet, asyncio.get_running_loop()
        store = StoreClient(
            ENVIRONMENT_IP, fleet.store_port, HttpFetcher(), STORE_TIMEOUT_MS, fleet.clock
        )
        settings = fleet.settings(1, fleet.store_port)
        self._filing = TicketFiling(StoreTable(store, TICKETS_TABLE), settings, _pause)
        await self._file("servers", fleet.server_items())
        balancer = Balancer(fleet.fronts)
        probes = loop.create_task(balancer.run())
        if not await self._all_held(START_TIMEOUT_S):
            self.report.broken.append("the keys were not placed after the start")
            probes.cancel()
            return
        callers = Callers(list(FLOWS), balancer, fleet.clock, self.rng)
        duration_s = self._options.fault_s
        load = loop.create_task(callers.run(duration_s))
        await self._inject(duration_s)
        await load
        if not await self._all_held(CALM_TIMEOUT_S):
            self.report.broken.append(f"{self._unheld()} sampled keys have no holder at the end")
        probes.cancel()
        self._judge(callers)

    async def _inject(self, duration_s: float) -> None:
        loop, names = asyncio.get_running_loop(), FAULTS.names()
        start_s = loop.time()
        running = []
        while (at_s := loop.time() - start_s) < duration_s:
            name = self.rng.choice(names)
            self.report.log.append((round(at_s, 2), name))
            running.append(loop.create_task(_named(name, FAULTS.get(name)(self))))
            await asyncio.sleep(self.rng.expovariate(1 / self._options.pause_s))
        await asyncio.gather(*running)

    # ---- what faults act on ----

    def take_entry(self) -> EntryProgram | None:
        """Return an entry program without a fault; most of them stay without one."""
        free = [entry for entry in self.fleet.entries if entry not in self._taken]
        return self._take(free, len(self.fleet.entries))

    def take_server(self) -> SoakServer | None:
        """Return a server without a fault; most of them stay without one."""
        servers = self.fleet.servers.values()
        free = [server for server in servers if server not in self._taken]
        return self._take(free, len(servers))

    def _take(self, free: list[Part], count: int) -> Part | None:
        if 2 * len(free) <= count:
            return None
        chosen = self.rng.choice(free)
        self._taken.add(chosen)
        return chosen

    def give_back(self, part: EntryProgram | SoakServer) -> None:
        """Let other faults act on a part again."""
        self._taken.discard(part)

    def note_stop(self, exit_code: int) -> None:
        """Judge the end of a process that was told to stop."""
        if exit_code != 0:
            self.report.broken.append(f"a process that was told to stop ended with {exit_code}")

    async def claim_key(self) -> None:
        """File a ticket that gives a key to another server."""
        service = self.rng.choice(SERVICES).name
        ids = [s.server_id for s in self.fleet.servers.values() if s.service == service]
        self._claims += 1
        claim = KeyClaim(service, f"k{self.rng.randrange(1, 20)}", server_id=self.rng.choice(ids))
        await self._file(f"claim-{self._claims}", claims=[claim])

    async def _file(
        self,
        filing_id: str,
        servers: Sequence[ServerItem] = (),
        claims: Sequence[KeyClaim] = (),
    ) -> None:
        assert self._filing is not None
        ticket = Ticket(filing_id, self._head, "soak", None, list(servers), list(claims))
        filed = await self._filing.file(ticket)
        # The store may be away or lose the answer; the operator then leaves it at that.
        if not isinstance(filed, Err):
            self._head = max(self._head, filed.ok_value.number)

    # ---- judgement ----

    def _unheld(self) -> int:
        unheld = 0
        for service in SERVICES:
            up = [
                server.host.keys
                for server in self.fleet.servers.values()
                if server.service == service.name
            ]
            sample = range(0, KEY_COUNT, KEY_SAMPLE)
            unheld += sum(not any(keys.holds_key(key) for keys in up) for key in sample)
        return unheld

    async def _all_held(self, timeout_s: float) -> bool:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while self._unheld():
            if loop.time() > end_s:
                return False
            await asyncio.sleep(CHECK_INTERVAL_S)
        return True

    def _judge(self, callers: Callers) -> None:
        report, reported_outcomes, run_counts = (
            self.report,
            callers.reported_outcomes,
            self.fleet.executions.run_counts,
        )
        report.owed = sum(counts.owed for counts in callers.counts.values())
        report.in_time = sum(counts.in_time for counts in callers.counts.values())
        found = {
            "moments with two holders": len(self.fleet.ownership_checker.faults),
            "requests ran twice": sum(run_counts[r] > 1 for r in reported_outcomes.at_most_once),
            "requests ran that were said not to": sum(
                bool(run_counts[r]) for r in reported_outcomes.not_run
            ),
            "answers belong to other requests": reported_outcomes.wrong_answers,
            "answers without a run": sum(not run_counts[r] for r in reported_outcomes.answered),
        }
        report.broken += [f"{count} {text}" for text, count in found.items() if count]
        if not report.in_time:
            report.broken.append("no request was answered in time")


async def _named(name: str, fault: Awaitable[None]) -> None:
    try:
        await fault
    except Exception as error:
        raise RuntimeError(f"the fault {name!r} could not be injected") from error


async def _pause(attempt: int) -> None:
    await asyncio.sleep(0.02 * 2**attempt)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run seeds one after the other and print a line for each."""
    parser = argparse.ArgumentParser(prog="python -m nutmeglead.soak.run", description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--entries", type=int, default=SoakOptions.entries)
    parser.add_argument("--servers", type=int, default=SoakOptions.servers)
    parser.add_argument("--fault-s", type=float, default=SoakOptions.fault_s)
    parser.add_argument("--net", type=int, default=SoakOptions.net)
    options = parser.parse_args(arguments)
    # A run that is ended leaves no process behind.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    size = SoakOptions(options.entries, options.servers, options.fault_s, net=options.net)
    failed = 0
    for seed in range(options.first, options.first + options.count):
        run = SoakRun(seed, size)
        report = asyncio.run(run.run())
        verdict = "; ".join(report.broken) or "kept every promise"
        print(f"seed {seed}: {verdict}; {report.in_time} of {report.owed} in time", flush=True)
        if report.broken:
            failed += 1
            print(f"  logs in {run.fleet.logs}; faults: {report.log}", flush=True)
    print(f"{options.count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
