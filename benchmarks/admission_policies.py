"""Compare the admission policies in front of one server above and below its capacity."""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Iterator
from dataclasses import dataclass, field

from result import Err

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.settings.ttypes import AdmissionSettings, ServiceSettings
from nutmeglead.core.ids import ServerId, ServiceName
from nutmeglead.routing.admission import ADMISSION, AdmissionPolicy, QueuedRequest
from nutmeglead.routing.bounded_queue import ServerKey

__all__ = ["admission_policies"]

SLOTS = 4
MEAN_SERVICE_MS = 10.0
DEADLINE_MS = 100
REQUESTS = 20_000
SEEDS = 5
LOADS = (0.8, 1.5, 3.0)
HOT_SHARE = 0.7
SERVICE = ServiceName("orders")
SERVER: ServerKey = (SERVICE, ServerId("s1"))


@dataclass
class _Tally:
    """Count how requests ended; `other` counts those not for the hot key."""

    in_time: int = 0
    refused: int = 0
    unknown: int = 0
    told_after_ms: list[int] = field(default_factory=list)
    other: int = 0
    other_in_time: int = 0


class _Server:
    """Run one policy in front of one server in virtual time.

    A request that is not answered by its deadline is cancelled then and counts as unknown; what it
    ran until then was in vain.
    """

    def __init__(self, policy: AdmissionPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._ends: list[tuple[int, int, QueuedRequest, int, bool]] = []
        self._arrived: dict[int, int] = {}
        self.tally = _Tally()

    def arrive(self, request: QueuedRequest, now_ms: int) -> None:
        self._run_until(now_ms)
        self._arrived[request.request_id] = now_ms
        if request.unit != "hot":
            self.tally.other += 1
        if isinstance(self._policy.offer(request, SLOTS, now_ms), Err):
            self._refuse(request, now_ms)
        self._dispatch(now_ms)

    def finish(self) -> None:
        self._run_until(10**12)

    def _run_until(self, end_ms: int) -> None:
        while self._ends and self._ends[0][0] <= end_ms:
            now_ms, _, request, started_ms, is_whole = heapq.heappop(self._ends)
            self._policy.finish(request, now_ms - started_ms if is_whole else None)
            if is_whole:
                self.tally.in_time += 1
                self.tally.other_in_time += request.unit != "hot"
            else:
                self.tally.unknown += 1
            self._dispatch(now_ms)

    def _dispatch(self, now_ms: int) -> None:
        free_slots = iter(range(SLOTS - len(self._ends)))
        result = self._policy.dispatch(lambda _: next(free_slots, None) is not None, now_ms)
        for request in result.started:
            self._start(request, now_ms)
        for request in result.expired + result.hopeless:
            self._refuse(request, now_ms)

    def _start(self, request: QueuedRequest, now_ms: int) -> None:
        # Log-normal with sigma 0.5: its 99th percentile is about three times the mean.
        service_ms = max(1, round(self._rng.lognormvariate(-0.125, 0.5) * MEAN_SERVICE_MS))
        end_ms = min(now_ms + service_ms, request.deadline_ms)
        is_whole = now_ms + service_ms < request.deadline_ms
        heapq.heappush(self._ends, (end_ms, request.request_id, request, now_ms, is_whole))

    def _refuse(self, request: QueuedRequest, now_ms: int) -> None:
        self.tally.refused += 1
        self.tally.told_after_ms.append(now_ms - self._arrived[request.request_id])


def _arrivals(load: float, has_hot_key: bool, rng: random.Random) -> Iterator[tuple[int, str]]:
    """Yield Poisson arrivals; the hot key gets HOT_SHARE of them."""
    now_ms = 0.0
    for number in range(REQUESTS):
        now_ms += rng.expovariate(load * SLOTS / MEAN_SERVICE_MS)
        is_hot = has_hot_key and rng.random() < HOT_SHARE
        yield round(now_ms), "hot" if is_hot else f"u{number % 500}"


def _play(policy_name: str, load: float, has_hot_key: bool, seed: int) -> _Tally:
    service = ServiceSettings(
        name=SERVICE,
        slots_per_instance=SLOTS,
        connections_per_instance=130,
        admission=AdmissionSettings(policy=policy_name),
    )
    rng = random.Random(seed)
    server = _Server(ADMISSION.get(policy_name)([service]), rng)
    for number, (now_ms, unit) in enumerate(_arrivals(load, has_hot_key, rng)):
        request = QueuedRequest(number, SERVICE, unit, SERVER[1], now_ms + DEADLINE_MS)
        server.arrive(request, now_ms)
    server.finish()
    return server.tally


METHOD = (
    f"One server with {SLOTS} slots in virtual time; service times are log-normal with mean "
    f"{MEAN_SERVICE_MS:.0f} ms and sigma 0.5. {REQUESTS} requests arrive as a Poisson process, "
    f"each with {DEADLINE_MS} ms left, over 500 units; with a hot key, {HOT_SHARE:.0%} of them are "
    "for it. The load is the arrival rate divided by slots / mean service time.",
    "A request that is still running at its deadline is cancelled and its caller is told unknown. "
    "`told after` is how long refused callers waited for the refusal.",
    f"{SEEDS} seeds, the given one and those that follow it.",
)
COLUMNS = (
    "load",
    "hot key",
    "policy",
    "in time [%]",
    "not run [%]",
    "unknown [%]",
    "told after, mean [ms]",
    "other keys in time [%]",
)


def _row(policy: str, load: float, has_hot_key: bool, options: Options) -> list[Spread]:
    seeds = range(options.seed, options.seed + (1 if options.quick else SEEDS))
    tallies = [_play(policy, load, has_hot_key, seed) for seed in seeds]
    percent = 100 / REQUESTS
    return [
        Spread.of([tally.in_time * percent for tally in tallies]),
        Spread.of([tally.refused * percent for tally in tallies]),
        Spread.of([tally.unknown * percent for tally in tallies]),
        Spread.of([statistics.fmean(tally.told_after_ms or [0]) for tally in tallies]),
        Spread.of([100 * tally.other_in_time / tally.other for tally in tallies]),
    ]


@BENCHMARKS.register("admission_policies")
def admission_policies(options: Options) -> Report:
    """Offer the same arrivals to each policy."""
    report = Report("Admission: deadline order and estimates against arrival order", METHOD)
    table = Table("One server", COLUMNS)
    for load in LOADS:
        for has_hot_key in (False, True):
            for policy in ADMISSION.names():
                cells = _row(policy, load, has_hot_key, options)
                hot = "yes" if has_hot_key else "no"
                table.rows.append((load, hot, policy, *cells))
    report.tables.append(table)
    return report
