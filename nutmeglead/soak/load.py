"""Callers of a soak run, and what their answers violate."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator, Mapping
from copy import copy

from nutmeglead._generated.emulator.ttypes import DayFlow
from nutmeglead.emulator.balancer import LoadBalancer
from nutmeglead.emulator.callers import Callers
from nutmeglead.emulator.kept_callers import KeptCallers
from nutmeglead.emulator.pipelined_callers import PipelinedCallers
from nutmeglead.emulator.server_host import ENTRY_HEADER
from nutmeglead.forwarding.model import ClientLimits
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.messages import Headers, RequestHead
from nutmeglead.platform.wire import DEADLINE_HEADER
from nutmeglead.soak.checks import (
    RunCounts,
    answer_violations,
    kept_violations,
    pipelined_violations,
)
from nutmeglead.soak.fleet import FRONT_PORT, SERVICES, EntryProgram, Fleet
from nutmeglead.soak.options import SoakOptions

__all__ = ["SoakLoad"]

FLOWS = (
    DayFlow("lookup", "stock", "GET", 20, 2_000, 500, 2, 200, 0.1),
    DayFlow("order", "orders", "POST", 10, 2_000, 500, 2, 200, 0.1),
)
# Rate of each flow of the callers that keep to one entry process.
KEPT_REQUESTS_PER_S = 2


class OneEntry(LoadBalancer):
    """Choose the same entry process for every request, whether it is ready or not."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address

    def choose(self, rng: random.Random) -> tuple[str, int]:
        """Return the address of the entry process."""
        return self._address


class SoakLoad:
    """Own the callers: those of the balancer, and those of each entry program."""

    def __init__(
        self,
        fleet: Fleet,
        options: SoakOptions,
        balancer: LoadBalancer,
        rng: random.Random,
        seed: int,
    ) -> None:
        self._fleet = fleet
        self._options = options
        self._rng = rng
        self._callers = [
            Callers(list(FLOWS), balancer, fleet.clock, rng),
            *(self._callers_of(number) for number in range(len(fleet.entries))),
        ]
        self._pipelined = [
            self._pipelined_callers_of(number, entry) for number, entry in enumerate(fleet.entries)
        ]
        self._kept = [
            self._kept_callers_of(f"kept-{number}", entry, seed)
            for number, entry in enumerate(fleet.entries)
        ]

    def start(self, duration_s: float) -> list[asyncio.Task[None]]:
        """Start to send requests, and return the tasks that do so for `duration_s`."""
        loop = asyncio.get_running_loop()
        tasks = [loop.create_task(group.run(duration_s)) for group in self._callers]
        tasks += [loop.create_task(group.run(duration_s)) for group in self._pipelined]
        connections = self._options.kept_connections
        tasks += [loop.create_task(group.run(duration_s, connections)) for group in self._kept]
        return tasks

    @property
    def owed(self) -> int:
        """Return the number of requests that are counted with their retries as one."""
        return sum(counts.owed for group in self._callers for counts in group.counts.values())

    @property
    def in_time(self) -> int:
        """Return how many of these were answered in time."""
        return sum(counts.in_time for group in self._callers for counts in group.counts.values())

    def violations(self, run_counts: RunCounts) -> Iterator[Mapping[str, int]]:
        """Yield the numbers of violations by their description."""
        for group in self._callers:
            yield answer_violations(group.reported_outcomes, run_counts)
        yield pipelined_violations(self._pipelined, run_counts)
        if self._options.kept_connections:
            yield kept_violations(self._kept, run_counts)

    @property
    def _limits(self) -> ClientLimits:
        """Return the limits on callers; tickets have none, so that the default ones hold."""
        return ClientLimits()

    def _key_headers(self, request_id: str) -> Headers:
        """Return the headers that name a request's key; with tickets its path does."""
        return []

    def _callers_of(self, number: int) -> Callers:
        """Return callers that use their connections to one entry process until it has ended."""
        flows = [_kept_flow(flow, number) for flow in FLOWS]
        address = (self._fleet.entries[number].ip, FRONT_PORT)
        return Callers(flows, OneEntry(address), self._fleet.clock, self._rng)

    def _pipelined_callers_of(self, number: int, entry: EntryProgram) -> PipelinedCallers:
        """Return a caller that sends requests ahead on connections to one entry process."""
        return PipelinedCallers(
            f"ahead-{number}",
            (entry.ip, FRONT_PORT),
            self._options.pipeline_depth,
            _pipelined_head,
            self._fleet.clock,
            lambda: entry.run,
        )

    def _kept_callers_of(self, name: str, entry: EntryProgram, seed: int) -> KeptCallers:
        """Return callers that keep connections to one entry process for as long as it lets them.

        They draw from random numbers of their own, so that the faults of a seed stay the same.
        """

        def make_head(request_id: str, method: bytes) -> RequestHead:
            service, flow = SERVICES[method == b"POST"], FLOWS[method == b"POST"]
            headers = [
                (b"host", b"soak"),
                (DEADLINE_HEADER, b"%d" % flow.time_limit_ms),
                (ENTRY_HEADER, entry.ip.encode()),
                *self._key_headers(request_id),
            ]
            return RequestHead(method, f"/{service.name}/{request_id}".encode(), headers)

        return KeptCallers(
            name,
            (entry.ip, FRONT_PORT),
            CallerLimits(**vars(self._limits)),
            make_head,
            self._fleet.clock,
            random.Random(f"{name} of {seed}"),
            lambda: entry.run,
        )


def _kept_flow(flow: DayFlow, number: int) -> DayFlow:
    """Return a flow of the callers of one entry process, with names of its own for its requests."""
    kept = copy(flow)
    kept.name, kept.requests_per_s = f"{flow.name}-{number}", KEPT_REQUESTS_PER_S
    return kept


def _pipelined_head(request_id: str) -> RequestHead:
    """Return the head of a request that may be repeated, for a key drawn from its id."""
    target = f"/{SERVICES[0].name}/{request_id}".encode()
    headers = [(b"host", b"soak"), (DEADLINE_HEADER, b"%d" % FLOWS[0].time_limit_ms)]
    return RequestHead(b"GET", target, headers)
