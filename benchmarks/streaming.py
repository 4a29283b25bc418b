"""Measure the router's memory while it streams a large answer to a slow reader."""

from __future__ import annotations

import asyncio
import time
from contextlib import ExitStack
from pathlib import Path

from benchmarks.forwarder import Process, started
from benchmarks.forwarder_subjects import IP, SERVICE
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table

__all__ = ["streaming"]

BODY_BYTES = 1 << 30
QUICK_BODY_BYTES = 1 << 27
# The reader takes this much and then pauses, so the router always has more than it can pass on.
READ_BYTES = 1 << 20
PAUSE_S = 0.01
REPEATS = 3
MAX_GROWTH_MB = 8.0
TIMEOUT_S = 120.0


def _memory_mb(process: Process, name: str) -> float:
    """Return a size of the process from /proc, such as VmRSS now or VmHWM at most so far."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"{name} is not in /proc/{process.pid}/status")


async def _read(port: int, target: str) -> int:
    """Return the bytes of the answer's body."""
    reader, writer = await asyncio.open_connection(IP, port, limit=READ_BYTES)
    writer.write(f"GET {target} HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n".encode())
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    received = since_pause = 0
    while data := await reader.read(READ_BYTES):
        received += len(data)
        since_pause += len(data)
        if since_pause >= READ_BYTES:
            since_pause = 0
            await asyncio.sleep(PAUSE_S)
    writer.close()
    return received


async def _measure(process: Process, body_bytes: int) -> tuple[float, float]:
    """Return growth in MB and speed in MB/s."""
    # The first request loads code and opens the connections.
    await _read(process.port, f"/{SERVICE}/warm-up?bytes=1024")
    before_mb = _memory_mb(process, "VmRSS")
    # 5 sets the peak back to the present size.
    Path(f"/proc/{process.pid}/clear_refs").write_text("5")
    started_s = time.perf_counter()
    async with asyncio.timeout(TIMEOUT_S):
        received = await _read(process.port, f"/{SERVICE}/pattern?bytes={body_bytes}")
    assert received == body_bytes, received
    speed = body_bytes / 1e6 / (time.perf_counter() - started_s)
    return _memory_mb(process, "VmHWM") - before_mb, speed


METHOD = (
    "Backend, router and reader are processes on loopback. The answer has 1 GiB and a known "
    f"length. The reader pauses for {PAUSE_S * 1000:.0f} ms after each {READ_BYTES >> 20} MiB, and "
    "the backend sends as fast as the router takes.",
    "Growth is the router's largest resident size during the answer (VmHWM, set back before) minus "
    f"its size after one answer of 1 KiB. {REPEATS} repeats, each with a new router.",
)


@BENCHMARKS.register("streaming")
def streaming(options: Options) -> Report:
    """Stream one large answer per repeat."""
    body_bytes = QUICK_BODY_BYTES if options.quick else BODY_BYTES
    growths, speeds = [], []
    for _ in range(1 if options.quick else REPEATS):
        with ExitStack() as stack:
            backend = stack.enter_context(started("stream-backend"))
            router = stack.enter_context(started("router", backend.port))
            growth_mb, speed = asyncio.run(_measure(router, body_bytes))
        growths.append(growth_mb)
        speeds.append(speed)
    report = Report("Router: memory while streaming to a slow reader", METHOD)
    table = Table("One answer", ("size [MiB]", "growth [MB]", "speed [MB/s]"))
    table.rows.append((body_bytes >> 20, Spread.of(growths), Spread.of(speeds)))
    report.tables.append(table)
    verdict = "met" if max(growths) <= MAX_GROWTH_MB else "not met"
    report.findings = [
        f"Growth {Spread.of(growths)} MB; aim at most {MAX_GROWTH_MB:.0f} MB: {verdict}"
    ]
    return report
