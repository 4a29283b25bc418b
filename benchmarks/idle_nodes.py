"""Measure memory and processor time of idle controller and router processes."""

import statistics
import time
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.children import ROOT, Child
from benchmarks.fits import fit_row, fit_table
from benchmarks.idle_cluster import Cluster, Size
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table

__all__ = ["idle_nodes"]

AXES = {
    "services": [Size(services=count, servers=8) for count in (1, 2, 4, 8)],
    "servers": [Size(servers=count, hash_buckets=1024) for count in (6, 24, 96, 192)],
    "buckets": [Size(services=1, hash_buckets=count) for count in (256, 4096, 65_536, 262_144)],
}
LIBRARIES = (
    "import argparse, asyncio, jsonc, logging, pathlib, random, h11, prometheus_client, result, "
    "thrift.protocol.TCompactProtocol, thrift.transport.TTransport, xxhash"
)
FLOORS = {
    "CPython": "",
    "CPython and asyncio": "import asyncio",
    "the libraries that the programs import": LIBRARIES,
    "the modules of the controller": "import nutmeglead.programs.controller",
    "the modules of the router": "import nutmeglead.programs.router",
}
WAIT = "\nprint(1, flush=True)\nimport sys\nsys.stdin.read()"
REPEATS = 5
WINDOW_S = 2.0
SETTLE_S = 4.0
# The first placement of many buckets keeps the acting controller busy for longer.
SETTLE_BUCKETS_PER_S = 10_000
# The targets of the design page for control per node.
TARGET_CPU_MS = 27.0
TARGET_KB = 32 * 1024


@dataclass
class Figures:
    """Hold the repeats of one process."""

    cpu_ms: list[float] = field(default_factory=list)
    resident_kb: list[float] = field(default_factory=list)
    private_kb: list[float] = field(default_factory=list)

    def cells(self) -> tuple[Spread, Spread, Spread]:
        """Return the cells of a row."""
        return Spread.of(self.cpu_ms), Spread.of(self.resident_kb), Spread.of(self.private_kb)


def _watch(children: Sequence[Child], repeats: int, seconds: float) -> list[Figures]:
    """Measure several processes over the same windows."""
    found = [Figures() for _ in children]
    for _ in range(repeats):
        before, started = [child.cpu_ns() for child in children], time.monotonic()
        time.sleep(seconds)
        elapsed_s = time.monotonic() - started
        for child, earlier, figures in zip(children, before, found, strict=True):
            figures.cpu_ms.append((child.cpu_ns() - earlier) / 1e6 / elapsed_s)
            resident_kb, private_kb = child.memory_kb()
            figures.resident_kb.append(resident_kb)
            figures.private_kb.append(private_kb)
    return found


def _floor(code: str, repeats: int) -> Figures:
    """Start an interpreter that imports modules and waits."""
    figures = Figures()
    for _ in range(repeats):
        with Child(["-c", code + WAIT]) as child:
            child.read_json()
            (once,) = _watch([child], 1, 0.2)
            figures.cpu_ms += once.cpu_ms
            figures.resident_kb += once.resident_kb
            figures.private_kb += once.private_kb
    return figures


def _floor_table(repeats: int) -> Table:
    table = Table(
        "Floors: an interpreter that imports modules and waits for its input",
        ("what is imported", "processor time [ms/s]", "resident [KiB]", "private [KiB]"),
    )
    for name, code in FLOORS.items():
        _floor(code, 1)  # fills the cache of bytecode
        table.rows.append((name, *_floor(code, repeats).cells()))
    return table


def _measure(size: Size, repeats: int, seconds: float) -> dict[str, Figures]:
    """Return the figures of the busiest of three controllers, the least busy one, and a router."""
    directory = ROOT / "build" / "idle_nodes"
    with ExitStack() as stack:
        cluster = stack.enter_context(Cluster(size, Path(directory)))
        cluster.file_ticket()
        time.sleep(SETTLE_S + size.hash_buckets / SETTLE_BUCKETS_PER_S)
        assert cluster.router is not None
        *controllers, router = _watch([*cluster.controllers, cluster.router], repeats, seconds)
    by_cpu = sorted(controllers, key=lambda figures: statistics.median(figures.cpu_ms))
    return {"busiest controller": by_cpu[-1], "least busy controller": by_cpu[0], "router": router}


def _axis(name: str, sizes: Sequence[Size], repeats: int, seconds: float) -> tuple[Table, Table]:
    table = Table(
        f"By {name}",
        ("size", "process", "processor time [ms/s]", "resident [KiB]", "private [KiB]"),
    )
    points: dict[str, list[tuple[float, Sequence[float]]]] = {}
    for size in sizes:
        measured = _measure(size, repeats, seconds)
        count = {"services": size.services, "servers": size.servers}.get(name, size.hash_buckets)
        for process, figures in measured.items():
            table.rows.append((str(size), process, *figures.cells()))
            points.setdefault(f"{process}: processor time [ms/s]", []).append(
                (count, figures.cpu_ms)
            )
            points.setdefault(f"{process}: resident [KiB]", []).append((count, figures.resident_kb))
    fits = fit_table()
    fits.title = f"Linear fits over {name}"
    fits.rows = [fit_row(quantity, name, values) for quantity, values in points.items()]
    return table, fits


def _finding(table: Table) -> str:
    """Compare the smallest size with the targets."""
    cells = {row[1]: row for row in table.rows[:3]}
    parts = []
    for process, row in cells.items():
        cpu, resident = row[2], row[3]
        assert isinstance(cpu, Spread) and isinstance(resident, Spread)
        parts.append(
            f"{process} {cpu.median:.1f} ms/s of {TARGET_CPU_MS:.0f} and "
            f"{resident.median / 1024:.1f} MB of {TARGET_KB // 1024}"
        )
    return f"{table.title}, {table.rows[0][0]}, against the targets: {'; '.join(parts)}."


METHOD = [
    "A platform stand-in, three controllers and three routers run as child processes, with "
    "the settings of examples/loopback; only ports, services and buckets are changed. A ticket "
    f"adds all servers. Figures begin {SETTLE_S:.0f} s, and 1 s more for each "
    f"{SETTLE_BUCKETS_PER_S} buckets, after the router has its first page of each service: "
    f"{REPEATS} windows of {WINDOW_S:.0f} s. No requests are sent. Each server is renewed by all "
    "three controllers, so a controller renews as many servers as there are.",
    "",
    "Processor time is that of all threads of a process as the kernel counts it. Resident memory "
    "contains pages that processes share, such as the interpreter's; private memory does not. "
    "Bytecode is cached, as it is after an installation.",
]


@BENCHMARKS.register("idle_nodes")
def idle_nodes(options: Options) -> Report:
    """Measure the floors, then each axis."""
    repeats, seconds = (2, 1.0) if options.quick else (REPEATS, WINDOW_S)
    report = Report("What idle control processes cost", METHOD, [_floor_table(repeats)])
    for name, sizes in AXES.items():
        table, fits = _axis(name, sizes[:2] if options.quick else sizes, repeats, seconds)
        report.tables += [table, fits]
        report.findings.append(_finding(table))
    return report
