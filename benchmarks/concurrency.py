"""Compare the concurrency policies of 12 routers in front of 24 servers in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.common.ttypes import Sender
from nutmeglead._generated.messages.ttypes import LendSlots
from nutmeglead._generated.settings.ttypes import ConcurrencySettings, ServiceSettings
from nutmeglead.routing.concurrency import CONCURRENCY, ConcurrencyLimit, LentShare
from nutmeglead.routing.lending import SlotLedger
from nutmeglead.routing.slot_exchange import RENEW_BEFORE_MS, own_slots

__all__ = ["concurrency"]

# The last one is a trial: `lent` whose idle borrower returns the slot at once.
RETURNED = "lent, returned"
POLICIES = ("fixed", "gradient", "lent", RETURNED)
ROUTERS, SERVERS, SLOTS = 12, 24, 4
KEYS, ZIPF_EXPONENT = 2000, 0.9
HOTTEST_LOADS = (0.7, 0.95, 1.3)
SERVICE_MS, SIGMA = 10.0, 0.5
DEADLINE_MS = 250.0
ONE_WAY_MS = (0.2, 4.0, 4.0)
MAX_SERVER_QUEUE = 32
TICK_MS = 50.0
WARM_UP_MS, DURATION_MS = 2000.0, 8000.0
SEEDS = 3


@dataclass(eq=False)
class _Request:
    router: int
    server: int
    arrived_ms: float
    service_ms: float
    sent_ms: float = 0.0


@dataclass
class _Server:
    running: int = 0
    queue: deque[_Request] = field(default_factory=deque)
    waiting_at_routers: int = 0
    changed_ms: float = WARM_UP_MS
    idle_ms: float = 0.0
    present_ms: float = 0.0
    longest: int = 0

    def settle(self, now_ms: float) -> None:
        """Add up the time since the last change; the warm-up does not count."""
        passed_ms = max(0.0, now_ms - self.changed_ms)
        self.changed_ms = max(self.changed_ms, now_ms)
        self.idle_ms += min(SLOTS - self.running, self.waiting_at_routers) * passed_ms
        self.present_ms += (self.running + len(self.queue) + self.waiting_at_routers) * passed_ms
        if passed_ms:
            self.longest = max(self.longest, self.running + len(self.queue))


@dataclass
class _Link:
    """Hold what one router knows of one server."""

    limit: ConcurrencyLimit
    ledger: SlotLedger
    delay_ms: float
    in_flight: int = 0
    waiting: deque[_Request] = field(default_factory=deque)
    is_asking: bool = False
    lenders: set[int] = field(default_factory=set)


@dataclass
class _Tally:
    latencies_ms: list[float] = field(default_factory=list)
    refused: int = 0
    late: int = 0


class _World:
    """Run one policy on one trace."""

    def __init__(self, policy: str, load: float, seed: int) -> None:
        self._returns = policy == RETURNED
        self._policy = policy = "lent" if self._returns else policy
        # The trace must not depend on the policy's own use of random numbers.
        self._trace, self._rng = random.Random(seed), random.Random(seed + 1)
        self._service = ServiceSettings(
            name="lookups",
            slots_per_instance=SLOTS,
            connections_per_instance=130,
            concurrency=ConcurrencySettings(policy=policy),
        )
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now_ms = 0.0
        self.servers = [_Server() for _ in range(SERVERS)]
        self._names = [f"r{number}" for number in range(ROUTERS)]
        self._links = [[self._link(r, s) for s in range(SERVERS)] for r in range(ROUTERS)]
        self.tally = _Tally()
        self._draw_trace(load)

    def _link(self, router: int, server: int) -> _Link:
        sender = Sender(self._names[router], "1")
        own = own_slots(self._service, f"s{server}", self._names[router], self._names)
        limit = CONCURRENCY.get(self._policy)(self._service)
        ledger = SlotLedger(sender, "lookups", f"s{server}", own, 0)
        if isinstance(limit, LentShare):
            limit.shares = ledger
        return _Link(limit, ledger, ONE_WAY_MS[(router + server) % len(ONE_WAY_MS)])

    def _draw_trace(self, load: float) -> None:
        """Set the rates so that the server with the hottest keys has the given load."""
        weights = [1 / (rank + 1) ** ZIPF_EXPONENT for rank in range(KEYS)]
        owners = [self._trace.randrange(SERVERS) for _ in weights]
        totals = [0.0] * SERVERS
        for owner, weight in zip(owners, weights, strict=True):
            totals[owner] += weight
        per_ms = load * SLOTS / SERVICE_MS * sum(totals) / max(totals)
        # Callers keep their connections, so some routers get three times as much as others.
        router_weights = [0.5 + number / (ROUTERS - 1) for number in range(ROUTERS)]
        now_ms = 0.0
        while (now_ms := now_ms + self._trace.expovariate(per_ms)) < DURATION_MS:
            router = self._trace.choices(range(ROUTERS), router_weights)[0]
            server = self._trace.choices(range(SERVERS), totals)[0]
            service_ms = self._trace.lognormvariate(-(SIGMA**2) / 2, SIGMA) * SERVICE_MS
            request = _Request(router, server, now_ms, service_ms)
            self._at(now_ms, lambda request=request: self._arrive(request))

    def _at(self, when_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when_ms, next(self._order), action))

    def run(self) -> None:
        while self._events and self._events[0][0] <= DURATION_MS + DEADLINE_MS:
            self._now_ms, _, action = heapq.heappop(self._events)
            action()

    # ---- routers ----

    def _arrive(self, request: _Request) -> None:
        link = self._links[request.router][request.server]
        self.servers[request.server].settle(self._now_ms)
        self.servers[request.server].waiting_at_routers += 1
        link.waiting.append(request)
        self._start(request.router, request.server)
        if request in link.waiting:
            self._want(request.router, request.server)
            self._at(self._now_ms + DEADLINE_MS, lambda: self._expire(request))

    def _expire(self, request: _Request) -> None:
        link = self._links[request.router][request.server]
        if request in link.waiting:
            link.waiting.remove(request)
            self.servers[request.server].settle(self._now_ms)
            self.servers[request.server].waiting_at_routers -= 1
            self._count(request, is_refused=True)

    def _start(self, router: int, server: int) -> None:
        link = self._links[router][server]
        while link.waiting and link.in_flight < link.limit.limit(int(self._now_ms), ROUTERS):
            request = link.waiting.popleft()
            self.servers[server].settle(self._now_ms)
            self.servers[server].waiting_at_routers -= 1
            link.in_flight += 1
            request.sent_ms = self._now_ms
            self._at(self._now_ms + link.delay_ms, lambda request=request: self._receive(request))

    def _answer(self, request: _Request, is_ok: bool) -> None:
        link = self._links[request.router][request.server]
        link.in_flight -= 1
        link.limit.observe(self._now_ms - request.sent_ms, is_ok, link.in_flight + 1)
        self._count(request, is_refused=not is_ok)
        self._start(request.router, request.server)
        if self._returns and not link.in_flight and not link.waiting:
            self._give_back(request.router, request.server)

    def _count(self, request: _Request, is_refused: bool) -> None:
        if request.arrived_ms < WARM_UP_MS:
            return
        latency_ms = self._now_ms - request.arrived_ms
        if is_refused:
            self.tally.refused += 1
        elif latency_ms > DEADLINE_MS:
            self.tally.late += 1
        else:
            self.tally.latencies_ms.append(latency_ms)

    # ---- servers ----

    def _receive(self, request: _Request) -> None:
        server = self.servers[request.server]
        server.settle(self._now_ms)
        if server.running < SLOTS:
            self._run(request)
        elif len(server.queue) < MAX_SERVER_QUEUE:
            server.queue.append(request)
        else:
            self._send_back(request, False)

    def _run(self, request: _Request) -> None:
        self.servers[request.server].running += 1
        self._at(self._now_ms + request.service_ms, lambda: self._finish(request))

    def _finish(self, request: _Request) -> None:
        server = self.servers[request.server]
        server.settle(self._now_ms)
        server.running -= 1
        if server.queue:
            self._run(server.queue.popleft())
        self._send_back(request, True)

    def _send_back(self, request: _Request, is_ok: bool) -> None:
        delay_ms = self._links[request.router][request.server].delay_ms
        self._at(self._now_ms + delay_ms, lambda: self._answer(request, is_ok))

    # ---- loans, as nutmeglead.routing.slot_exchange makes them ----

    def _want(self, router: int, server: int) -> None:
        """Ask at once and at each tick while requests wait."""
        link = self._links[router][server]
        if self._policy != "lent":
            return
        # Slots also come back with time, when loans end.
        self._start(router, server)
        if not link.waiting:
            return
        self._at(self._now_ms + TICK_MS, lambda: self._want(router, server))
        if link.is_asking:
            return
        lenders = [r for r in range(ROUTERS) if r != router and self._owns(r, server)]
        self._rng.shuffle(lenders)
        self._ask(router, server, lenders)

    def _owns(self, router: int, server: int) -> bool:
        return own_slots(self._service, f"s{server}", self._names[router], self._names) > 0

    def _ask(self, router: int, server: int, lenders: list[int]) -> None:
        link = self._links[router][server]
        link.is_asking = bool(lenders)
        if not lenders:
            return
        lender, rest = lenders[0], lenders[1:]
        message = link.ledger.ask(self._names[lender], 1, int(self._now_ms))
        delay_ms = ONE_WAY_MS[(router + lender) % len(ONE_WAY_MS)]
        self._at(
            self._now_ms + delay_ms,
            lambda: self._lend(router, server, lender, rest, message, delay_ms),
        )

    def _lend(
        self,
        router: int,
        server: int,
        lender: int,
        rest: list[int],
        message: LendSlots,
        delay_ms: float,
    ) -> None:
        own = self._links[lender][server]
        reply = own.ledger.lend(message, own.in_flight, int(self._now_ms))

        def accept() -> None:
            link = self._links[router][server]
            now_ms = int(self._now_ms)
            if not link.ledger.accept(reply, now_ms):
                self._ask(router, server, rest)
                return
            link.is_asking = False
            link.lenders.add(lender)
            end_ms = link.ledger.borrowed_until_ms(self._names[lender], now_ms)
            self._at(end_ms - RENEW_BEFORE_MS, lambda: self._renew(router, server, lender))
            self._start(router, server)

        self._at(self._now_ms + delay_ms, accept)

    def _give_back(self, router: int, server: int) -> None:
        link = self._links[router][server]
        lenders, link.lenders = link.lenders, set()
        for lender in lenders:
            message = link.ledger.give_back(self._names[lender], int(self._now_ms))
            delay_ms = ONE_WAY_MS[(router + lender) % len(ONE_WAY_MS)]

            def take_back(lender: int = lender, message: LendSlots = message) -> None:
                own = self._links[lender][server]
                own.ledger.lend(message, own.in_flight, int(self._now_ms))
                self._start(lender, server)

            self._at(self._now_ms + delay_ms, take_back)

    def _renew(self, router: int, server: int, lender: int) -> None:
        link = self._links[router][server]
        if link.in_flight and not link.is_asking:
            self._ask(router, server, [lender])


def _play(policy: str, load: float, seed: int) -> list[float]:
    world = _World(policy, load, seed)
    world.run()
    tally = world.tally
    found = sorted(tally.latencies_ms)
    total = len(found) + tally.refused + tally.late
    presents = [server.present_ms for server in world.servers]
    slot_ms = SERVERS * SLOTS * (DURATION_MS - WARM_UP_MS)
    return [
        max(presents) / (sum(presents) / SERVERS),
        100 * sum(server.idle_ms for server in world.servers) / slot_ms,
        max(server.longest for server in world.servers),
        found[len(found) // 2],
        found[len(found) * 99 // 100],
        100 * tally.refused / total,
        100 * tally.late / total,
    ]


METHOD = (
    f"{ROUTERS} routers and {SERVERS} servers with {SLOTS} slots in virtual time. {KEYS} keys with "
    f"Zipf exponent {ZIPF_EXPONENT} belong to random servers; the rate is set so that the server "
    "with the most work has the given load. The busiest router gets three times the requests of "
    "the least busy one. Service times are log-normal, mean "
    f"{SERVICE_MS:.0f} ms, sigma {SIGMA}; one way takes 0.2 ms inside a failure domain and 4 ms "
    f"between two. Requests have {DEADLINE_MS:.0f} ms. All policies get the same trace of "
    f"{(DURATION_MS - WARM_UP_MS) / 1000:.0f} s after {WARM_UP_MS / 1000:.0f} s of warm-up.",
    "Routers serve each server's requests in order of arrival; the limits and the ledgers are the "
    f"product's. A server queues up to {MAX_SERVER_QUEUE} requests beyond its slots, then refuses.",
    "`imbalance` is the mean number of requests at or waiting for the busiest server over the mean "
    "of all. `idle` is the part of all slot time in which a slot was idle while a request waited "
    "at a router for it. `most` is the largest number of requests at one server, running or queued "
    "there. `lent, returned` is not in the product: a borrower without requests gives its slots "
    "back at once.",
    f"{SEEDS} seeds, the given one and those that follow it.",
)
COLUMNS = (
    "load of the hottest server",
    "policy",
    "imbalance",
    "idle [%]",
    "most",
    "p50 [ms]",
    "p99 [ms]",
    "not run [%]",
    "late [%]",
)


@BENCHMARKS.register("concurrency")
def concurrency(options: Options) -> Report:
    """Offer the same trace to each policy."""
    report = Report("Concurrency: fixed, gradient and lent shares of the servers' slots", METHOD)
    table = Table("12 routers, 24 servers", COLUMNS)
    seeds = range(options.seed, options.seed + (1 if options.quick else SEEDS))
    for load in HOTTEST_LOADS:
        for policy in POLICIES:
            runs = [_play(policy, load, seed) for seed in seeds]
            cells = [Spread.of(values) for values in zip(*runs, strict=True)]
            table.rows.append((load, policy, *cells))
    report.tables.append(table)
    return report
