"""Compare the router with a direct call and with a bare forwarder of h11 and asyncio."""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.forwarder_subjects import ANSWER, IP, SERVICE
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table

__all__ = ["Process", "forwarder", "started"]

ROLES = ("direct", "bare", "router")
CONNECTIONS = 16
PACED_CONNECTIONS = 64
KEYS = 5000
ROUNDS = 7
ROUND_S = 2.0
LOAD_PART = 0.7
MIN_RATE_PART = 0.7
MAX_P99_MS = 10.0
CPU_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Process:
    """Hold one started process; `port` takes requests."""

    pid: int
    port: int

    def cpu_s(self) -> float:
        """Return the user and system time that the process has used."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CPU_TICKS_PER_S


@contextmanager
def started(role: str, backend_port: int = 0) -> Iterator[Process]:
    command = [sys.executable, "-m", "benchmarks.forwarder_subjects", role, str(backend_port)]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        # Leaving the block closes standard input, which ends the process.
        yield Process(process.pid, int(process.stdout.readline()))


class _Caller(asyncio.Protocol):
    """Send one request at a time; count the answer's bytes, which are the same each time.

    A full client would cost more than the forwarders that are measured.
    """

    def __init__(self) -> None:
        self._received = bytearray()
        self._size = 0
        self._done: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._received += data
        if self._done is not None and len(self._received) >= self._answer_bytes():
            assert len(self._received) == self._size, "two answers to one request"
            assert self._received.startswith(b"HTTP/1.1 200"), bytes(self._received[:200])
            self._received.clear()
            self._done.set_result(None)
            self._done = None

    def _answer_bytes(self) -> int:
        if not self._size:
            head, end, _ = self._received.partition(b"\r\n\r\n")
            if not end:
                return sys.maxsize
            self._size = len(head) + len(end) + len(ANSWER.partition(b"\r\n\r\n")[2])
        return self._size

    def connection_lost(self, exc: Exception | None) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_exception(ConnectionError("cut in the middle of an answer"))

    async def call(self, key: int) -> None:
        self._done = asyncio.get_running_loop().create_future()
        request = f"GET /{SERVICE}/k{key} HTTP/1.1\r\nhost: r\r\naccept: */*\r\n\r\n"
        self._transport.write(request.encode())  # type: ignore[attr-defined]
        await self._done

    def close(self) -> None:
        self._transport.close()


async def _connect(port: int, count: int) -> list[_Caller]:
    loop = asyncio.get_running_loop()
    return [(await loop.create_connection(_Caller, IP, port))[1] for _ in range(count)]


async def _rate(port: int, duration_s: float, rng: random.Random) -> tuple[float, int]:
    """Return requests per second and their number, with one request per connection at a time."""
    callers = await _connect(port, CONNECTIONS)
    count = 0
    started_s = time.perf_counter()

    async def repeat(caller: _Caller) -> None:
        nonlocal count
        while time.perf_counter() < started_s + duration_s:
            await caller.call(rng.randrange(KEYS))
            count += 1

    await asyncio.gather(*[repeat(caller) for caller in callers])
    elapsed_s = time.perf_counter() - started_s
    for caller in callers:
        caller.close()
    return count / elapsed_s, count


async def _latencies(port: int, per_s: float, duration_s: float, seed: int) -> list[float]:
    """Return latencies in ms of Poisson arrivals, each counted from when it was due.

    So a stall of the forwarder delays all requests that were due in the meantime.
    """
    rng = random.Random(seed)
    free = asyncio.Queue[_Caller]()
    callers = await _connect(port, PACED_CONNECTIONS)
    for caller in callers:
        free.put_nowait(caller)
    latencies: list[float] = []

    async def call(due_s: float, key: int) -> None:
        caller = await free.get()
        await caller.call(key)
        free.put_nowait(caller)
        latencies.append((time.perf_counter() - due_s) * 1000)

    due_s = started_s = time.perf_counter()
    tasks = []
    while due_s < started_s + duration_s:
        due_s += rng.expovariate(per_s)
        # The loop's timers are late by up to 1 ms, so the last part of each wait only yields.
        while (wait_s := due_s - time.perf_counter()) > 0:
            await asyncio.sleep(wait_s - 0.002 if wait_s > 0.002 else 0)
        tasks.append(asyncio.ensure_future(call(due_s, rng.randrange(KEYS))))
    await asyncio.gather(*tasks)
    for caller in callers:
        caller.close()
    return sorted(latencies)


@dataclass
class _Figures:
    rates: list[float] = field(default_factory=list)
    cpu_us: list[float] = field(default_factory=list)
    p50_ms: list[float] = field(default_factory=list)
    p99_ms: list[float] = field(default_factory=list)


async def _measure(
    processes: dict[str, Process], rounds: int, duration_s: float, seed: int
) -> dict[str, _Figures]:
    figures = {role: _Figures() for role in ROLES}
    for number in range(rounds):
        for role in ROLES:
            process = processes[role]
            before_s = process.cpu_s()
            rate, count = await _rate(process.port, duration_s, random.Random(seed + number))
            figures[role].rates.append(rate)
            figures[role].cpu_us.append((process.cpu_s() - before_s) * 1e6 / count)
    load = LOAD_PART * Spread.of(figures["router"].rates).median
    for number in range(rounds):
        for role in ROLES:
            found = await _latencies(processes[role].port, load, duration_s, seed + number)
            figures[role].p50_ms.append(found[len(found) // 2])
            figures[role].p99_ms.append(found[len(found) * 99 // 100])
    return figures


METHOD = (
    "One load generator, one backend server and one forwarder, each a process with one loop on "
    "loopback. `direct` calls the backend without a forwarder; `bare` parses and renders with h11 "
    "in protocol callbacks and does nothing else; `router` is nutmeglead's request path with a map "
    f"of {SERVICE}, metrics and load counters.",
    f"{ROUNDS} rounds of {ROUND_S:.0f} s, the three in turn. GET requests for {KEYS} keys over 24 "
    "servers, answers of 1024 bytes.",
    f"Rate and processor time: {CONNECTIONS} connections, each with one request at a time. "
    "Processor time is that of the called process from /proc.",
    f"Latency: Poisson arrivals at {LOAD_PART} of the router's median rate for all three, counted "
    f"from the time when a request was due, over {PACED_CONNECTIONS} connections.",
)


def _findings(figures: dict[str, _Figures]) -> list[str]:
    bare, routed, direct = figures["bare"], figures["router"], figures["direct"]
    pairs = zip(routed.rates, bare.rates, strict=True)
    part = Spread.of([rate / floor for rate, floor in pairs])
    p99 = Spread.of(routed.p99_ms)

    def added(name: str, base: _Figures) -> Spread:
        values = zip(getattr(routed, name), getattr(base, name), strict=True)
        return Spread.of([value - floor for value, floor in values])

    return [
        f"Rate as a part of the bare forwarder's: {part}; aim at least {MIN_RATE_PART}: "
        + ("met" if part.median >= MIN_RATE_PART else "not met"),
        f"p99 at {LOAD_PART:.0%} load: {p99} ms; aim at most {MAX_P99_MS:.0f} ms: "
        + ("met" if p99.highest <= MAX_P99_MS else "not met"),
        f"Added to a direct call: p50 {added('p50_ms', direct)} ms, "
        f"p99 {added('p99_ms', direct)} ms.",
        f"Added to the bare forwarder: p50 {added('p50_ms', bare)} ms, "
        f"p99 {added('p99_ms', bare)} ms.",
    ]


@BENCHMARKS.register("forwarder")
def forwarder(options: Options) -> Report:
    """Measure the three side by side."""
    rounds, duration_s = (2, 1.0) if options.quick else (ROUNDS, ROUND_S)
    with ExitStack() as stack:
        backend = stack.enter_context(started("backend"))
        processes = {"direct": backend}
        for role in ("bare", "router"):
            processes[role] = stack.enter_context(started(role, backend.port))
        figures = asyncio.run(_measure(processes, rounds, duration_s, options.seed))
    report = Report("Router against a direct call and a bare forwarder", METHOD)
    columns = ("called", "requests/s", "processor time [µs/request]", "p50 [ms]", "p99 [ms]")
    table = Table("One process", columns)
    for role, found in figures.items():
        cells = (found.rates, found.cpu_us, found.p50_ms, found.p99_ms)
        table.rows.append((role, *[Spread.of(values) for values in cells]))
    report.tables.append(table)
    report.findings = _findings(figures)
    if options.quick:
        print(*report.findings, sep="\n")
    return report
