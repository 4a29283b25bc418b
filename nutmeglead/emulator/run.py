"""Play a day and count what came of it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from result import Err

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.emulator.ttypes import Day, DayTrouble
from nutmeglead._generated.tickets.ttypes import KeyClaim, ServerItem, ServerState, Ticket
from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import NodeId, ServerId, ServiceName
from nutmeglead.emulator.balancer import Balancer
from nutmeglead.emulator.callers import Callers, FlowCounts
from nutmeglead.emulator.cluster import (
    FRONT_PORT,
    READY_PORT,
    STORE,
    Cluster,
    ClusterOptions,
    ServiceOptions,
)
from nutmeglead.emulator.day import day_settings
from nutmeglead.emulator.network import HOST, EmulatedLoop
from nutmeglead.emulator.server_host import ServerOptions
from nutmeglead.emulator.troubles import TROUBLES
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.entry.ticket_feed import TicketFeed
from nutmeglead.http.client import HttpFetcher
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.table import StoreTable
from nutmeglead.tickets.checks import MAX_ITEMS
from nutmeglead.tickets.filing import TicketFiling
from nutmeglead.tickets.interface import build_manifest
from nutmeglead.tickets.rows import TICKETS_TABLE

__all__ = ["DayCounts", "DayReport", "DayRun", "play"]

OPERATOR_IP = "10.8.0.1"
CALLER_IP = "10.9.0.1"
STORE_TIMEOUT_MS = 1_500
# The first ranges are placed before callers come, as on the users' platform.
START_S = 8.0
SAMPLE_MS = 20
# A ticket must be in force within 3 s; it is followed for longer to report by how much it is late.
IN_FORCE_LIMIT_MS = 10_000
# A leaving server gets no new work after this time (requirement).
LEAVING_GRACE_MS = 3_000
MAX_CLAIMED_KEYS = 8


@dataclass
class DayCounts:
    """Count what the requirements forbid or bound."""

    two_holders: int = 0
    doubled: int = 0
    false_not_run: int = 0
    wrong_answers: int = 0
    work_at_leaving_servers: int = 0
    cut_by_planned_stop: int = 0
    longest_without_holder_ms: int = 0
    tickets_in_force_ms: list[int] = field(default_factory=list)
    keys_moved: int = 0
    store_calls: int = 0


@dataclass
class DayReport:
    """Hold the result of a day."""

    name: str
    seed: int
    flows: dict[str, FlowCounts]
    counts: DayCounts

    def plain(self) -> dict[str, Any]:
        """Return the report as values for JSON."""
        flows = {name: dict(vars(counts)) for name, counts in self.flows.items()}
        return {
            "name": self.name,
            "seed": self.seed,
            "flows": flows,
            "counts": asdict(self.counts),
        }


class DayRun:
    """Hold one run of a day; troubles act on it."""

    def __init__(self, day: Day, seed: int, clock: Clock) -> None:
        self.counts = DayCounts()
        self._day = day
        self._seed = seed
        self._clock = clock
        self._rng = random.Random(seed)
        self._settings = day_settings(day)
        self._services = tuple(
            ServiceOptions(
                ServiceName(service.settings.name),
                service.servers,
                ServerOptions(
                    service.settings.slots_per_instance,
                    service.queue,
                    service.work_ms,
                    service.answer_bytes,
                    service.settings.health_path,
                ),
            )
            for service in day.services
        )
        options = ClusterOptions(
            self._services,
            build_manifest(self._settings),
            day.entry_vms,
            day.failure_domains,
            day.domain_delay_ms,
            day.client_delay_ms,
        )
        self.cluster = Cluster(
            clock, seed, options, lambda process: TicketFeed(self._settings, process)
        )
        balancer = Balancer(self._front_ports)
        self._balancer = balancer
        self.callers = Callers(day.flows, balancer, clock, random.Random(seed + 1))
        store = StoreClient(STORE.ip, STORE.port, HttpFetcher(), STORE_TIMEOUT_MS, clock)
        self._filing = TicketFiling(StoreTable(store, TICKETS_TABLE), self._settings, _pause)
        self._ticket_count = 0
        # Number of the newest ticket that the operator has heard of.
        self._head = 0
        self._leaving_since_ms: dict[ServerId, int] = {}
        self._tasks: list[asyncio.Task[Any]] = []

    async def run(self) -> DayReport:
        """Play the day."""
        HOST.set(OPERATOR_IP)
        await self.cluster.start()
        servers = [self.server_item(key, ServerState.PRESENT) for key in self.cluster.servers]
        for first in range(0, len(servers), MAX_ITEMS):
            batch = servers[first : first + MAX_ITEMS]
            await self.file_ticket("all servers exist", servers=batch)
        # The first tickets also wait for the first grants; they move no key.
        self.counts.tickets_in_force_ms.clear()
        sampler = asyncio.get_running_loop().create_task(self._sample())
        probes = self.cluster.run_on(CALLER_IP, self._balancer.run())
        await asyncio.sleep(START_S)
        self.counts.longest_without_holder_ms = 0
        for trouble in self._day.troubles or []:
            self.spawn(self._play(trouble))
        await self.cluster.run_on(CALLER_IP, self.callers.run(self._day.duration_s))
        await asyncio.gather(*self._tasks)
        for task in (sampler, probes):
            task.cancel()
        self._settle()
        return DayReport(self._day.name, self._seed, self.callers.counts, self.counts)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run something beside the day; the day ends after it."""
        self._tasks.append(self.cluster.run_on(OPERATOR_IP, coroutine))

    async def _play(self, trouble: DayTrouble) -> None:
        await asyncio.sleep(trouble.at_s)
        await TROUBLES.get(trouble.kind)(self, trouble)

    def _front_ports(self) -> dict[tuple[str, int], tuple[str, int]]:
        addresses = [self.cluster.node_ip(node_id) for node_id in self.cluster.node_ids]
        return {(ip, FRONT_PORT): (ip, READY_PORT) for ip in addresses}

    # ---- what troubles act on ----

    def server_id(self, name: str) -> ServerId:
        """Return the id of a server."""
        return ServerId(name)

    def service_options(self, trouble: DayTrouble) -> ServiceOptions:
        """Return the service of a trouble; the first one if it names none."""
        named = [entry for entry in self._services if entry.name == trouble.service_name]
        return named[0] if named else self._services[0]

    def pick_servers(self, trouble: DayTrouble) -> list[ServerId]:
        """Return the busiest servers of the trouble's service."""
        service = self.service_options(trouble).name
        present = [
            (-sum(hold.last - hold.first for hold in server.keys.holds), server_id)
            for server_id, server in self.cluster.servers.items()
            if server.record.service == service
            and self.cluster.is_up(server_id)
            and server_id not in self._leaving_since_ms
        ]
        return [server_id for _, server_id in sorted(present)[: trouble.count]]

    def pick_nodes(self, trouble: DayTrouble) -> list[NodeId]:
        """Return entry VMs, those that act for a service first."""
        acting = [self.cluster.acting(service.name) for service in self._services]
        first = [node_id for node_id in acting if node_id is not None]
        ordered = dict.fromkeys([*first, *self.cluster.nodes])
        return [node_id for node_id in ordered if node_id in self.cluster.nodes][: trouble.count]

    def note_leaving(self, server_ids: Sequence[ServerId]) -> None:
        """Judge the work that servers get later as work at leaving servers."""
        for server_id in server_ids:
            self._leaving_since_ms[server_id] = self._clock.now_ms()

    def server_item(self, server_id: ServerId, state: ServerState) -> ServerItem:
        """Return a server as tickets name it."""
        record = self.cluster.servers[server_id].record
        return ServerItem(
            record.service,
            server_id,
            state,
            Address(record.ip, record.port),
            record.failure_domain,
        )

    async def claim_keys(self, trouble: DayTrouble) -> None:
        """Give the first keys of a service to the server with the fewest keys."""
        service = self.service_options(trouble).name
        present = self.pick_servers(
            DayTrouble("", 0, count=len(self.cluster.servers), service_name=service)
        )
        keys = [f"k{number}" for number in range(1, min(trouble.count, MAX_CLAIMED_KEYS) + 1)]
        claims = [KeyClaim(service, key, server_id=present[-1]) for key in keys]
        await self.file_ticket(f"{present[-1]} gets {', '.join(keys)}", claims=claims)

    async def file_ticket(
        self, reason: str, servers: Sequence[ServerItem] = (), claims: Sequence[KeyClaim] = ()
    ) -> None:
        """File a ticket as an operator does, and follow it until it is in force."""
        self._ticket_count += 1
        filing_id = f"day-{self._ticket_count}"
        ticket = Ticket(filing_id, self._head, "operator", reason, list(servers), list(claims))
        filed = await self._filing.file(ticket)
        if isinstance(filed, Err):
            raise filed.err_value
        self._head = max(self._head, filed.ok_value.number)
        begun_ms = self._clock.now_ms()
        while not self._is_in_force(filed.ok_value.number):
            if self._clock.now_ms() - begun_ms >= IN_FORCE_LIMIT_MS:
                break
            await asyncio.sleep(SAMPLE_MS / 1000)
        self.counts.tickets_in_force_ms.append(self._clock.now_ms() - begun_ms)

    def _is_in_force(self, number: int) -> bool:
        statuses = [process.feed.status() for process in self.cluster.nodes.values()]
        return all(
            status is not None and status.ticket_number >= number and not status.missing
            for status in statuses
        )

    # ---- judgement ----

    async def _sample(self) -> None:
        since_ms: dict[ServiceName, int] = {}
        while True:
            await asyncio.sleep(SAMPLE_MS / 1000)
            now_ms = self._clock.now_ms()
            for service in self._services:
                if not self.cluster.unheld_keys(service.name):
                    since_ms.pop(service.name, None)
                    continue
                gap_ms = now_ms - since_ms.setdefault(service.name, now_ms)
                longest_ms = max(self.counts.longest_without_holder_ms, gap_ms)
                self.counts.longest_without_holder_ms = longest_ms

    def _settle(self) -> None:
        counts, reported_outcomes = self.counts, self.callers.reported_outcomes
        runs = self.cluster.executions.runs
        counts.two_holders = len(self.cluster.ownership_checker.faults)
        counts.doubled = sum(runs[request_id] > 1 for request_id in reported_outcomes.at_most_once)
        counts.false_not_run = sum(
            bool(runs[request_id]) for request_id in reported_outcomes.not_run
        )
        counts.wrong_answers = reported_outcomes.wrong_answers
        counts.work_at_leaving_servers = sum(
            at_ms > self._leaving_since_ms[ServerId(server_id)] + LEAVING_GRACE_MS
            for at_ms, server_id, _ in self.cluster.executions.log
            if server_id in self._leaving_since_ms
        )
        nodes = self.cluster.nodes.values()
        controllers = [entry for process in nodes for entry in process.controllers.values()]
        counts.keys_moved = sum(controller.keys_moved for controller in controllers)
        counts.store_calls = sum(process.store.call_count for process in nodes)


async def _pause(attempt: int) -> None:
    await asyncio.sleep(0.02 * 2**attempt)


def play(day: Day, seed: int) -> DayReport:
    """Play a day on virtual time; the same seed gives the same report."""

    async def run(clock: Clock) -> DayReport:
        return await DayRun(day, seed, clock).run()

    report: DayReport = run_virtual(run, EmulatedLoop(seed))
    return report
