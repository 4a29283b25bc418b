"""Measure processor time and memory of one plan against the number of servers."""

from __future__ import annotations

import gc
import math
import random
import statistics
import time
import tracemalloc
from array import array
from collections.abc import Callable, Sequence
from dataclasses import replace

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from benchmarks.strategies import BUCKETS_PER_SERVER, make_servers
from nutmeglead._generated.settings.ttypes import PlacementSettings
from nutmeglead.placement.model import (
    HotKey,
    LoadSnapshot,
    Placement,
    PlanRequest,
    ServerStatus,
)
from nutmeglead.placement.planner import plan

__all__ = ["planner_cost"]

SIZES = (24, 100, 430, 1_600, 6_500)
FAILURE_DOMAINS = 15
REPEATS = 7
HOT_KEYS = 960


def _base_request(servers: int, rng: random.Random) -> PlanRequest:
    count = servers * BUCKETS_PER_SERVER
    # bucket_of needs a power of two; a plan for 6,500 servers then has 524,288 buckets.
    buckets = 1 << (count - 1).bit_length()
    owners = array("i", (bucket % servers for bucket in range(buckets)))
    rates = array("d", (rng.uniform(9.0, 11.0) for _ in range(buckets)))
    hot = [HotKey(f"part-{i}", rng.uniform(1.0, 5.0)) for i in range(HOT_KEYS)]
    settings = PlacementSettings(policy="balanced")
    return PlanRequest(
        make_servers(servers), Placement(owners), LoadSnapshot(rates, {}, hot), settings, 0
    )


def _quiet(request: PlanRequest) -> PlanRequest:
    return request


def _uneven(request: PlanRequest) -> PlanRequest:
    """Double the load of every tenth server."""
    servers = len(request.servers)
    rates = array("d", request.load.bucket_rates)
    for bucket in range(len(rates)):
        if bucket % servers % 10 == 0:
            rates[bucket] *= 2.0
    return replace(request, load=replace(request.load, bucket_rates=rates))


def _lost(request: PlanRequest) -> PlanRequest:
    """Lose one of 15 failure domains."""
    servers = [
        replace(s, status=ServerStatus.LOST) if i % FAILURE_DOMAINS == 0 else s
        for i, s in enumerate(request.servers)
    ]
    return replace(request, servers=servers)


CASES: dict[str, Callable[[PlanRequest], PlanRequest]] = {
    "nothing to move": _quiet,
    "every tenth server overloaded": _uneven,
    "one failure domain of 15 lost": _lost,
}


def _cpu_ms(request: PlanRequest, repeats: int) -> list[float]:
    times = []
    for _ in range(repeats):
        gc.collect()
        started = time.process_time_ns()
        plan(request)
        times.append((time.process_time_ns() - started) / 1e6)
    return times


def _peak_kib(request: PlanRequest) -> float:
    gc.collect()
    tracemalloc.start()
    plan(request)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / 1024


def _fit(title: str, unit: str, buckets: Sequence[int], samples: Sequence[Sequence[float]]) -> str:
    """Fit the samples to a line by least squares and state slope, standard error and deviation."""
    xs = [float(count) for count, values in zip(buckets, samples, strict=True) for _ in values]
    ys = [value for values in samples for value in values]
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [y - slope * x - intercept for x, y in zip(xs, ys, strict=True)]
    mean = statistics.fmean(xs)
    variance = sum(r * r for r in residuals) / max(1, len(xs) - 2)
    error = math.sqrt(variance / sum((x - mean) ** 2 for x in xs))
    worst = max(abs(r) for r in residuals)
    return (
        f"{title}: {slope * 1000:.3f} ± {error * 1000:.3f} {unit} per 1,000 buckets "
        f"(slope ± standard error), intercept {intercept:.3f} {unit}, "
        f"largest residual {worst:.3f} {unit}"
    )


METHOD = (
    "One call of `plan` under policy `balanced`, 960 hot keys. `hash_buckets` is the power of two "
    "that gives each server at least 64 buckets, so the lines are fitted against buckets.",
    f"Time is processor time of the process, {REPEATS} repeats after a garbage collection. Memory "
    "is the peak that `tracemalloc` sees during one call, without the request itself.",
)


@BENCHMARKS.register("planner_cost")
def planner_cost(options: Options) -> Report:
    """Plan at several sizes and fit a line."""
    report = Report("Planner: processor time and memory per plan", METHOD)
    sizes = SIZES[:3] if options.quick else SIZES
    for title, change in CASES.items():
        table = Table(
            title, ("servers", "buckets", "moves", "processor time, ms", "peak memory, KiB")
        )
        times, peaks, counts = [], [], []
        for size in sizes:
            request = change(_base_request(size, random.Random(options.seed)))
            times.append(_cpu_ms(request, REPEATS))
            peaks.append([_peak_kib(request)])
            moves = len(plan(request).moves)
            counts.append(len(request.placement.bucket_owners))
            table.rows.append((size, counts[-1], moves, Spread.of(times[-1]), peaks[-1][0]))
        report.tables.append(table)
        report.findings.append(_fit(f"{title}, time", "ms", counts, times))
        report.findings.append(_fit(f"{title}, memory", "KiB", counts, peaks))
    return report
