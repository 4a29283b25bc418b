"""Measure memory and time of the unit map and of one idle round of the controller."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from benchmarks.fits import fit_row, fit_table
from benchmarks.idle_machine import NODES, IdleMachine, first_page_rows, server_name
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.common.ttypes import UnitId, UnitKind
from nutmeglead._generated.messages.ttypes import PlacementPage
from nutmeglead.controller.placer import PagePlacer
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import RoleEpoch, RowKey, ServerId, ServiceName, TicketNumber
from nutmeglead.dissemination.pages import PageStore
from nutmeglead.ownership.keys import PAGE_UNITS
from nutmeglead.ownership.pages import WriteStamp, move_units, units_on_page
from nutmeglead.ownership.units import UnitMap
from nutmeglead.platform.ports import Row

__all__ = ["unit_map"]

SERVICE = ServiceName("lagerblick")
# 6,500 servers with 64 buckets each need 416,000 buckets; the settings take powers of two only.
BUCKETS = (256, 4_096, 65_536, 524_288)
BUCKETS_PER_SERVER = 64
TARGET_BUCKETS = 416_000
PIN_COUNTS = (240, 960, 1_920, 3_840)
REPEATS = 7
STAMP = WriteStamp(RoleEpoch(1), TicketNumber(1))


@dataclass
class Measured:
    """Collect the repeats of each quantity by size."""

    values: dict[str, list[tuple[float, Sequence[float]]]] = field(default_factory=dict)

    def add(self, quantity: str, size: int, values: Sequence[float]) -> None:
        """Note the repeats at one size."""
        self.values.setdefault(quantity, []).append((size, values))

    def table(self, title: str, size_name: str) -> Table:
        """Return one row per size and one column per quantity."""
        names = list(self.values)
        sizes = [size for size, _ in self.values[names[0]]]
        rows = [
            (size, *(Spread.of(self.values[name][index][1]) for name in names))
            for index, size in enumerate(sizes)
        ]
        return Table(title, (size_name, *names), rows)

    def fits(self, title: str, size_name: str) -> Table:
        """Fit a line per quantity."""
        table = fit_table()
        table.title = title
        table.rows = [fit_row(name, size_name, values) for name, values in self.values.items()]
        return table


def _heap_bytes(build: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def _repeat_us(repeats: int, calls: int, action: Callable[[int], Any]) -> list[float]:
    """Return µs of processor time per call for each repeat."""
    costs = []
    for repeat in range(repeats):
        started = time.process_time_ns()
        for number in range(calls):
            action(repeat * calls + number)
        costs.append((time.process_time_ns() - started) / calls / 1000)
    return costs


def _pin_page_rows(count: int) -> list[Row]:
    rows = []
    for number in range(-(-count // PAGE_UNITS)):
        keys = range(number * PAGE_UNITS, min(count, (number + 1) * PAGE_UNITS))
        page = PlacementPage(
            SERVICE, True, number, 1, 1, 1, [server_name(0)], [0] * len(keys), [1] * len(keys),
            {}, [UnitId(UnitKind.EXACT, key=f"article-{key:012}") for key in keys], 0,
        )  # fmt: skip
        rows.append(Row(RowKey(f"page/{SERVICE}/pins/{number}"), 1, encode(page)))
    return rows


def _apply_rows(unit_map: UnitMap, rows: Sequence[Row]) -> UnitMap:
    for row in rows:
        unit_map.apply(decode(PlacementPage, row.value).unwrap())
    return unit_map


def _place_rows(placer: PagePlacer, rows: Sequence[Row]) -> PagePlacer:
    placer.load_rows(rows)
    return placer


def _store_rows(rows: Sequence[Row]) -> PageStore:
    store = PageStore(SERVICE)
    for row in rows:
        store.put(decode(PlacementPage, row.value).unwrap())
    return store


def _measure_heap(measured: Measured, size: int, rows: Sequence[Row], buckets: int) -> None:
    map_bytes = _heap_bytes(lambda: _apply_rows(UnitMap(SERVICE, buckets), rows))
    placer_bytes = _heap_bytes(lambda: _place_rows(PagePlacer(SERVICE, buckets), rows))
    store_bytes = _heap_bytes(lambda: _store_rows(rows))
    measured.add("UnitMap [B]", size, [map_bytes])
    measured.add("PagePlacer with its UnitMap [B]", size, [placer_bytes])
    measured.add("PageStore [B]", size, [store_bytes])


def _measure_map(measured: Measured, buckets: int, rows: Sequence[Row], repeats: int) -> None:
    """Measure `locate`, `apply` and `grant_set` of a full map."""
    unit_map = _apply_rows(UnitMap(SERVICE, buckets), rows)
    keys = [f"article-{number:012}" for number in range(1000)]
    measured.add(
        "locate [µs]", buckets, _repeat_us(repeats, 2000, lambda n: unit_map.locate(keys[n % 1000]))
    )
    page = decode(PlacementPage, rows[0].value).unwrap()
    versions = []
    for number in range(repeats * 5):
        unit = units_on_page(page)[number % 256]
        page = move_units(page, {unit: ServerId(f"other-{number}")}, STAMP).unwrap()
        versions.append(page)
    measured.add(
        "apply a page [µs]", buckets, _repeat_us(repeats, 5, lambda n: unit_map.apply(versions[n]))
    )
    servers = buckets // BUCKETS_PER_SERVER
    names = [ServerId(server_name(number)) for number in range(servers)]
    unit_map.units_of(names[0])  # builds the index of pages, which happens once
    rng = random.Random(buckets)
    chosen = [rng.choice(names) for _ in range(repeats * 5)]
    measured.add(
        "grant_set of one server [µs]",
        buckets,
        _repeat_us(repeats, 5, lambda n: unit_map.grant_set(chosen[n], lambda *_: True)),
    )
    sets = _repeat_us(2, 1, lambda _: unit_map.grant_sets(names, lambda *_: True))
    per_server = [cost / servers for cost in sets]
    measured.add("grant_sets of all, per server [µs]", buckets, per_server)


def _measure_machine(measured: Measured, buckets: int, rows: Sequence[Row], repeats: int) -> None:
    """Measure an idle round."""
    idle = IdleMachine(SERVICE, buckets, buckets // BUCKETS_PER_SERVER, rows)
    calls = max(3, min(200, 1_000_000 // buckets))
    measured.add("idle tick [µs]", buckets, _repeat_us(repeats, calls, lambda _: idle.tick()))


def run_sizes(options: Options) -> list[Table]:
    """Measure all sizes of the hash map."""
    sizes = BUCKETS[:3] if options.quick else BUCKETS
    repeats = 2 if options.quick else REPEATS
    heap, times = Measured(), Measured()
    for buckets in sizes:
        rows = first_page_rows(SERVICE, buckets, buckets // BUCKETS_PER_SERVER)
        _measure_heap(heap, buckets, rows, buckets)
        _measure_map(times, buckets, rows, repeats)
        _measure_machine(times, buckets, rows, repeats)
    pins = Measured()
    for count in PIN_COUNTS:
        _measure_heap(pins, count, _pin_page_rows(count), 256)
    return [
        times.table("Processor time", "buckets"),
        times.fits("Linear fits of the processor time", "buckets"),
        heap.table("Heap", "buckets"),
        heap.fits("Linear fits of the heap; 256 times the slope is that of a page", "buckets"),
        pins.table("Heap with pins and an empty map of 256 buckets", "pins"),
        pins.fits("Linear fits of the heap with pins", "pins"),
    ]


METHOD = [
    f"One service with {BUCKETS_PER_SERVER} buckets per server, spread at random, and an epoch of "
    "1 per bucket; no unit is being handed over. Heap is what tracemalloc reports. Times are "
    f"processor time, {REPEATS} repeats. 416,000 buckets (6,500 servers) are no power of two; the "
    "largest size is the next one, 524,288 buckets with 8,192 servers.",
    "",
    f"The idle tick is that of a ControllerMachine with {len(NODES)} entry VMs whose servers all "
    "hold confirmed leases and acknowledged grants, between two rounds of the planner.",
]


@BENCHMARKS.register("unit_map")
def unit_map(options: Options) -> Report:
    """Measure the map, the pages and an idle controller."""
    return Report("Unit map and idle controller", METHOD, run_sizes(options))
