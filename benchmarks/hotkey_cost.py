"""Measure what finding hot keys costs per request, and how many hot keys it finds."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence

from probables import HeavyHitters

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead.placement.hotkeys import SKETCH_DEPTH, SKETCH_WIDTH, HotKeyFinder
from nutmeglead.placement.load import LoadCounter

__all__ = ["hotkey_cost"]

KEYS = 200_000
EXPONENT = 0.8
REQUESTS = 200_000
MAX_KEYS = 240
SAMPLE_EVERY = (1, 4, 10, 30, 100)
REPEATS = 5


def _keys(rng: random.Random, requests: int) -> list[str]:
    names = [f"part-{rank}" for rank in range(KEYS)]
    weights = [(rank + 1) ** -EXPONENT for rank in range(KEYS)]
    return rng.choices(names, weights=weights, k=requests)


def _ns_per_call(call: Callable[[str], object], keys: Sequence[str]) -> float:
    gc.collect()
    started = time.process_time_ns()
    for key in keys:
        call(key)
    return (time.process_time_ns() - started) / len(keys)


def _loop_ns(keys: Sequence[str]) -> list[float]:
    return [_ns_per_call(lambda key: None, keys) for _ in range(REPEATS)]


def _found_part(found: Sequence[str], keys: Sequence[str], count: int) -> float:
    """Return which part of the truly hottest keys was found, in percent."""
    hottest = {key for key, _ in Counter(keys).most_common(count)}
    return 100.0 * len(hottest.intersection(found)) / count


def _peak_kib(make: Callable[[], Callable[[str], object]], keys: Sequence[str]) -> float:
    """Return the peak of making a counter and counting some keys, in KiB."""
    some = keys[:20_000]
    gc.collect()
    tracemalloc.start()
    call = make()
    for key in some:
        call(key)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return peak / 1024


METHOD = (
    f"{REQUESTS} requests for {KEYS} keys, Zipf exponent {EXPONENT}, one window. Time is processor "
    f"time per request with the loop around it, {REPEATS} repeats with other samples. `found` is "
    "the part of the window's truly hottest keys among the 240 that the sketch reports. Memory is "
    "the peak that `tracemalloc` sees for one finder.",
)


@BENCHMARKS.register("hotkey_cost")
def hotkey_cost(options: Options) -> Report:
    """Count the same requests with several sampling rates."""
    requests = REQUESTS // 10 if options.quick else REQUESTS
    keys = _keys(random.Random(options.seed), requests)
    report = Report("Hot keys: cost per request", METHOD)
    report.tables = [_cost_table(keys, options.seed), _reference_table(keys)]
    return report


def _cost_table(keys: Sequence[str], seed: int) -> Table:
    columns = ("counts one in", "ns per request", "found of 20, %", "found of 240, %")
    table = Table("HotKeyFinder", columns)
    for every in SAMPLE_EVERY:
        times, top, all_keys = [], [], []
        for repeat in range(REPEATS):
            finder = HotKeyFinder(MAX_KEYS, every, random.Random(seed + repeat))
            times.append(_ns_per_call(finder.count, keys))
            found = [key for key, _ in finder.take_window()]
            top.append(_found_part(found, keys, 20))
            all_keys.append(_found_part(found, keys, MAX_KEYS))
        table.rows.append((every, Spread.of(times), Spread.of(top), Spread.of(all_keys)))
    return table


def _reference_table(keys: Sequence[str]) -> Table:
    table = Table("For comparison", ("what", "ns per request", "memory, KiB"))
    default = [
        _ns_per_call(HeavyHitters(MAX_KEYS, SKETCH_WIDTH, SKETCH_DEPTH).add, keys[:50_000])
        for _ in range(REPEATS)
    ]
    counting = [_ns_per_call(_make_counter(), keys) for _ in range(REPEATS)]
    table.rows.append(("empty loop", Spread.of(_loop_ns(keys)), "-"))
    counter_kib = _peak_kib(_make_counter, keys)
    table.rows.append(("LoadCounter.count, 2,048 buckets", Spread.of(counting), counter_kib))
    table.rows.append(("sketch with the library's own FNV-1a hash", Spread.of(default), "-"))
    finder_kib = _peak_kib(lambda: HotKeyFinder(MAX_KEYS, 1, random.Random(1)).count, keys)
    table.rows.append(("one HotKeyFinder", "see above", finder_kib))
    return table


def _make_counter() -> Callable[[str], object]:
    counter = LoadCounter(2048, 0)
    return lambda key: counter.count(len(key))
