"""Run an emulated day and count the violations of the requirements."""

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
from nutmeglead.emulator.balancer import LoadBalancer
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
from nutmeglead.emulator.hosts import HOST
from nutmeglead.emulator.network import EmulatedLoop
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

__all__ = ["DayCounts", "DayReport", "DayRun", "run_day"]

OPERATOR_IP = "10.8.0.1"
CALLER_IP = "10.9.0.1"
STORE_TIMEOUT_MS = 1_500
# Time for the first placement of ranges before callers come, as on the users' platform.
SETTLE_S = 8.0
SAMPLE_INTERVAL_MS = 20
# A ticket must be in force within 3 s; following it for longer shows by how much it is late.
IN_FORCE_LIMIT_MS = 10_000
# Requirement: a leaving server gets no new work later than this.
LEAVING_GRACE_MS = 3_000
MAX_CLAIMED_KEYS = 8


@dataclass
class DayCounts:
    """Count what the requirements forbid or limit."""

    # Overlaps between the holds of two servers.
    two_holders: int = 0
    # At-most-once requests that ran more than once.
    doubled: int = 0
    # Requests that ran although a caller got the outcome "not-run".
    false_not_run: int = 0
    # Successful answers that belong to another request.
    wrong_answers: int = 0
    # Requests that began to run at a leaving server after `LEAVING_GRACE_MS`.
    work_at_leaving_servers: int = 0
    # Requests that reached servers which had told the entry VM that they want none.
    ignored_notices: int = 0
    # Answers that planned stops of entry processes cut off.
    cut_by_planned_stop: int = 0
    # Longest time in which a service had sampled keys without a reachable holder.
    longest_without_holder_ms: int = 0
    # Time from filing each ticket until all nodes have it in force.
    tickets_in_force_ms: list[int] = field(default_factory=list)
    keys_moved: int = 0
    store_calls: int = 0


@dataclass
class DayReport:
    """Hold the results of a day's flows and its counts."""

    name: str
    seed: int
    flows: dict[str, FlowCounts]
    counts: DayCounts

    def plain(self) -> dict[str, Any]:
        """Return the report as a dict that can be encoded as JSON."""
        flows = {name: dict(vars(counts)) for name, counts in self.flows.items()}
        return {
            "name": self.name,
            "seed": self.seed,
            "flows": flows,
            "counts": asdict(self.counts),
        }


class DayRun:
    """Run a day once; the registered troubles act on the cluster and callers through it."""

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
        balancer = LoadBalancer(self._ready_addresses)
        self._balancer = balancer
        self.callers = Callers(day.flows, balancer, clock, random.Random(seed + 1))
        store = StoreClient(STORE.ip, STORE.port, HttpFetcher(), STORE_TIMEOUT_MS, clock)
        self._filing = TicketFiling(
            StoreTable(store, TICKETS_TABLE), self._settings, _wait_before_retry
        )
        self._ticket_count = 0
        # Number of the newest ticket that the operator knows.
        self._head_number = 0
        self._leaving_since_ms: dict[ServerId, int] = {}
        self._tasks: list[asyncio.Task[Any]] = []

    async def run(self) -> DayReport:
        """Run the day and return its report."""
        HOST.set(OPERATOR_IP)
        await self.cluster.start()
        servers = [self.server_item(key, ServerState.PRESENT) for key in self.cluster.servers]
        for first in range(0, len(servers), MAX_ITEMS):
            batch = servers[first : first + MAX_ITEMS]
            await self.file_ticket("all servers exist", servers=batch)
        # The first tickets also wait for the first grants and move no key; their times are dropped.
        self.counts.tickets_in_force_ms.clear()
        sampler = asyncio.get_running_loop().create_task(self._sample_unheld_keys())
        probing = self.cluster.run_on(CALLER_IP, self._balancer.run())
        await asyncio.sleep(SETTLE_S)
        self.counts.longest_without_holder_ms = 0
        for trouble in self._day.troubles or []:
            self.spawn(self._run_trouble(trouble))
        await self.cluster.run_on(CALLER_IP, self.callers.run(self._day.duration_s))
        await asyncio.gather(*self._tasks)
        for task in (sampler, probing):
            task.cancel()
        self._count_violations()
        return DayReport(self._day.name, self._seed, self.callers.counts, self.counts)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine on the operator's host; the day ends after it."""
        self._tasks.append(self.cluster.run_on(OPERATOR_IP, coroutine))

    async def _run_trouble(self, trouble: DayTrouble) -> None:
        await asyncio.sleep(trouble.at_s)
        await TROUBLES.get(trouble.kind)(self, trouble)

    def _ready_addresses(self) -> dict[tuple[str, int], tuple[str, int]]:
        """Return the address of each node's readiness check by its front address."""
        addresses = [self.cluster.node_ip(node_id) for node_id in self.cluster.node_ids]
        return {(ip, FRONT_PORT): (ip, READY_PORT) for ip in addresses}

    # ---- interface for troubles ----

    def server_id(self, name: str) -> ServerId:
        """Return a name as a server id."""
        return ServerId(name)

    def service_options(self, trouble: DayTrouble) -> ServiceOptions:
        """Return the service that a trouble names, or the first service of the day."""
        matching = [service for service in self._services if service.name == trouble.service_name]
        return matching[0] if matching else self._services[0]

    def pick_servers(self, trouble: DayTrouble) -> list[ServerId]:
        """Return `trouble.count` reachable servers not leaving, those with most keys first."""
        service = self.service_options(trouble).name
        candidates = [
            (-sum(hold.last - hold.first for hold in server.keys.holds), server_id)
            for server_id, server in self.cluster.servers.items()
            if server.record.service == service
            and self.cluster.is_up(server_id)
            and server_id not in self._leaving_since_ms
        ]
        return [server_id for _, server_id in sorted(candidates)[: trouble.count]]

    def pick_nodes(self, trouble: DayTrouble) -> list[NodeId]:
        """Return `trouble.count` running nodes, those that act for a service first."""
        acting = [self.cluster.acting(service.name) for service in self._services]
        first = [node_id for node_id in acting if node_id is not None]
        ordered = dict.fromkeys([*first, *self.cluster.nodes])
        return [node_id for node_id in ordered if node_id in self.cluster.nodes][: trouble.count]

    def mark_leaving(self, server_ids: Sequence[ServerId]) -> None:
        """Record that servers leave: work at them is counted once `LEAVING_GRACE_MS` has passed."""
        for server_id in server_ids:
            self._leaving_since_ms[server_id] = self._clock.now_ms()

    def server_item(self, server_id: ServerId, state: ServerState) -> ServerItem:
        """Return the ticket item for a server in a state."""
        record = self.cluster.servers[server_id].record
        return ServerItem(
            record.service,
            server_id,
            state,
            Address(record.ip, record.port),
            record.failure_domain,
        )

    async def claim_keys(self, trouble: DayTrouble) -> None:
        """File a ticket that claims a service's first keys for its server with the fewest keys."""
        service = self.service_options(trouble).name
        candidates = self.pick_servers(
            DayTrouble("", 0, count=len(self.cluster.servers), service_name=service)
        )
        keys = [f"k{number}" for number in range(1, min(trouble.count, MAX_CLAIMED_KEYS) + 1)]
        claims = [KeyClaim(service, key, server_id=candidates[-1]) for key in keys]
        await self.file_ticket(f"{candidates[-1]} gets {', '.join(keys)}", claims=claims)

    async def file_ticket(
        self, reason: str, servers: Sequence[ServerItem] = (), claims: Sequence[KeyClaim] = ()
    ) -> None:
        """File a ticket as an operator does, and count the time until it is in force."""
        self._ticket_count += 1
        filing_id = f"day-{self._ticket_count}"
        ticket = Ticket(
            filing_id, self._head_number, "operator", reason, list(servers), list(claims)
        )
        filed = await self._filing.file(ticket)
        if isinstance(filed, Err):
            raise filed.err_value
        self._head_number = max(self._head_number, filed.ok_value.number)
        filed_ms = self._clock.now_ms()
        while not self._is_in_force(filed.ok_value.number):
            if self._clock.now_ms() - filed_ms >= IN_FORCE_LIMIT_MS:
                break
            await asyncio.sleep(SAMPLE_INTERVAL_MS / 1000)
        self.counts.tickets_in_force_ms.append(self._clock.now_ms() - filed_ms)

    def _is_in_force(self, number: int) -> bool:
        statuses = [process.feed.status() for process in self.cluster.nodes.values()]
        return all(
            status is not None and status.ticket_number >= number and not status.missing
            for status in statuses
        )

    # ---- check of the requirements ----

    async def _sample_unheld_keys(self) -> None:
        unheld_since_ms: dict[ServiceName, int] = {}
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_MS / 1000)
            now_ms = self._clock.now_ms()
            for service in self._services:
                if not self.cluster.unheld_keys(service.name):
                    unheld_since_ms.pop(service.name, None)
                    continue
                gap_ms = now_ms - unheld_since_ms.setdefault(service.name, now_ms)
                longest_ms = max(self.counts.longest_without_holder_ms, gap_ms)
                self.counts.longest_without_holder_ms = longest_ms

    def _count_violations(self) -> None:
        counts, reported_outcomes = self.counts, self.callers.reported_outcomes
        run_counts = self.cluster.executions.run_counts
        counts.two_holders = len(self.cluster.ownership_checker.faults)
        counts.doubled = sum(
            run_counts[request_id] > 1 for request_id in reported_outcomes.at_most_once
        )
        counts.false_not_run = sum(
            bool(run_counts[request_id]) for request_id in reported_outcomes.not_run
        )
        counts.wrong_answers = reported_outcomes.wrong_answers
        counts.work_at_leaving_servers = sum(
            at_ms > self._leaving_since_ms[ServerId(server_id)] + LEAVING_GRACE_MS
            for at_ms, server_id, _ in self.cluster.executions.log
            if server_id in self._leaving_since_ms
        )
        counts.ignored_notices = len(self.cluster.notice_checker.faults)
        nodes = self.cluster.nodes.values()
        controllers = [
            controller for process in nodes for controller in process.controllers.values()
        ]
        counts.keys_moved = sum(controller.keys_moved for controller in controllers)
        counts.store_calls = sum(process.store.call_count for process in nodes)


async def _wait_before_retry(attempt: int) -> None:
    await asyncio.sleep(0.02 * 2**attempt)


def run_day(day: Day, seed: int) -> DayReport:
    """Run a day on virtual time and return its report; the same seed gives the same report."""

    async def run(clock: Clock) -> DayReport:
        return await DayRun(day, seed, clock).run()

    report: DayReport = run_virtual(run, EmulatedLoop(seed))
    return report
