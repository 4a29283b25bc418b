"""Measure what renewals cost a renewer and a grant holder."""

import contextlib
import gc
import json
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.children import Child
from benchmarks.fits import fit_row, fit_table
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.common.ttypes import Sender, UnitId, UnitKind
from nutmeglead._generated.messages.ttypes import Grant, RenewLease, RenewReply, SetGrants
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import Incarnation
from nutmeglead.ownership.holder import GrantHolder

__all__ = ["renewals"]

SERVER_COUNTS = (8, 32, 128, 512)
GRANT_COUNTS = (8, 64, 512, 4096)
# One process with all the servers would need a descriptor per port and per connection.
SERVERS_PER_CHILD = 128
REPEATS = 5
WARM_UP_S = 1.5
WINDOW_S = 3.0
HOLDER_CALLS = 5000
RENEWERS = ["entry-a", "entry-b", "entry-c"]


@dataclass(frozen=True)
class Usage:
    """Hold what one window cost, per second."""

    renewals: float
    failed: int
    renewer_ms: float
    servers_ms: float
    sent_bytes: float
    received_bytes: float
    segments: float


def _window(renewer: Child, servers: Sequence[Child], seconds: float) -> Usage:
    before, servers_before = _ask(renewer), [_ask(child) for child in servers]
    time.sleep(seconds)
    after, servers_after = _ask(renewer), [_ask(child) for child in servers]
    elapsed_s = (after["time_ns"] - before["time_ns"]) / 1e9

    def rate(name: str) -> float:
        return (after[name] - before[name]) / elapsed_s

    pairs = zip(servers_before, servers_after, strict=True)
    served = sum(late["cpu_ns"] - early["cpu_ns"] for early, late in pairs)
    return Usage(
        rate("sent"),
        after["failed"] - before["failed"],
        rate("cpu_ns") / 1e6,
        served / elapsed_s / 1e6,
        rate("sent_bytes"),
        rate("received_bytes"),
        rate("sent_segments") + rate("received_segments"),
    )


def _ask(child: Child) -> dict[str, int]:
    child.send_line("usage")
    return child.read_json()  # type: ignore[return-value]


def _measure(count: int, seed: int, repeats: int, seconds: float) -> tuple[list[Usage], int]:
    """Return the windows, and the renewer's resident memory for its servers in KiB."""
    with contextlib.ExitStack() as stack:
        servers, ports = [], []
        for first in range(0, count, SERVERS_PER_CHILD):
            size = min(SERVERS_PER_CHILD, count - first)
            arguments = ["-m", "benchmarks.renewal_child", "servers", str(size), str(seed)]
            servers.append(stack.enter_context(Child([*arguments, str(first)])))
            ports += servers[-1].read_json()["ports"]  # type: ignore[operator]
        renewer = stack.enter_context(
            Child(["-m", "benchmarks.renewal_child", "renewer", str(seed)])
        )
        renewer.send_line(json.dumps(ports))
        before_kb = renewer.read_json()["resident_kb"]
        time.sleep(WARM_UP_S)
        windows = [_window(renewer, servers, seconds) for _ in range(repeats)]
        return windows, _ask(renewer)["resident_kb"] - before_kb  # type: ignore[operator]


def _holder(grants: int) -> GrantHolder:
    holder = GrantHolder(Incarnation("lb-0000#1"))
    sender = Sender("entry-a", "entry-a#1")
    granted = [Grant(UnitId(UnitKind.HASH_BUCKET, bucket), 1) for bucket in range(grants)]
    holder.set_grants(
        SetGrants(sender, 1, 1, "lb-0000#1", 1, RENEWERS, 1 << 16, granted, [], "s/lb-0000"), 0
    )
    return holder


def _holder_us(grants: int, calls: int) -> tuple[float, float]:
    """Return µs per renewal of the holder alone, and with decoding and encoding."""
    holder = _holder(grants)
    data = []
    for number in range(calls):
        node = RENEWERS[number % 3]
        data.append(
            encode(RenewLease(Sender(node, f"{node}#1"), "lb-0000#1", 1, RENEWERS, 1000 + number))
        )
    messages = [decode(RenewLease, item).unwrap() for item in data]
    started = time.process_time_ns()
    for now_ms, message in enumerate(messages, 1):
        holder.renew(message, now_ms)
    alone = time.process_time_ns() - started
    holder = _holder(grants)
    started = time.process_time_ns()
    for now_ms, item in enumerate(data, 1):
        encode(holder.renew(decode(RenewLease, item).unwrap(), now_ms))
    assert holder.lease_end_ms(calls) is not None
    return alone / calls / 1000, (time.process_time_ns() - started) / calls / 1000


def _holder_bytes(grants: int) -> int:
    gc.collect()
    tracemalloc.start()
    holder = _holder(grants)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(holder.granted()) == grants
    return size


def _message_table() -> Table:
    renewal = RenewLease(
        Sender("entry-a", "entry-a-19b0000000-12345678"), "lb-0000#1", 1, RENEWERS, 10**9, 1,
        "lagerblick/lb-0000",
    )  # fmt: skip
    reply = RenewReply(0, "lb-0000#1", 10**9, 1, 10**9)
    rows = [("renewal", len(encode(renewal))), ("reply", len(encode(reply)))]
    return Table("Encoded messages, without HTTP", ("message", "bytes"), rows)


def _method(interval_ms: int) -> list[str]:
    return [
        "A child process runs the product's renewer: Renewer, RenewalLoop, HttpBackendControl and "
        "HttpFetcher, as in a controller. Backend stand-ins with one grant holder and one port "
        f"each run in further children of {SERVERS_PER_CHILD}, so that the renewer's figures "
        "contain nothing of the servers. Processor time is that of the process as the kernel "
        f"counts it. {REPEATS} windows of {WINDOW_S:.0f} s after {WARM_UP_S} s; one renewal per "
        f"server every {interval_ms} ms; the loop looks for due renewals every 25 ms.",
        "",
        "Bytes and segments are those of TCP_INFO, so they contain HTTP and not the TCP and IP "
        "headers. Memory is the growth of the renewer's resident memory after its start. The "
        "grant holder is measured alone in this process; its heap is what tracemalloc reports.",
    ]


def _findings(line: tuple[str, str, float, float, Spread], interval_ms: int) -> list[str]:
    slope, intercept = line[3], line[2]
    per_renewal_us = slope * interval_ms
    reachable = (27 - intercept) / slope
    return [
        f"One renewal costs the renewer {per_renewal_us:.0f} µs of processor time, so 2.7% of a "
        f"core (27 ms/s) suffices for {reachable:.0f} servers per renewer if it did nothing else.",
    ]


def _renewer_tables(options: Options, interval_ms: int) -> tuple[list[Table], list[str]]:
    counts = SERVER_COUNTS[:2] if options.quick else SERVER_COUNTS
    repeats, seconds = (2, 1.0) if options.quick else (REPEATS, WINDOW_S)
    table = Table(
        "Renewer and servers, per second",
        ("servers", "renewals", "not renewed", "renewer [ms]", "renewer [µs per renewal]",
         "servers [µs per renewal]", "sent [B]", "received [B]", "segments", "memory [KiB]"),
    )  # fmt: skip
    points: dict[str, list[tuple[float, Sequence[float]]]] = {}
    for count in counts:
        windows, memory_kb = _measure(count, options.seed, repeats, seconds)
        cpu = [w.renewer_ms for w in windows]
        table.rows.append(
            (
                count,
                Spread.of([w.renewals for w in windows]),
                sum(w.failed for w in windows),
                Spread.of(cpu),
                Spread.of([w.renewer_ms * 1000 / w.renewals for w in windows]),
                Spread.of([w.servers_ms * 1000 / w.renewals for w in windows]),
                Spread.of([w.sent_bytes for w in windows]),
                Spread.of([w.received_bytes for w in windows]),
                Spread.of([w.segments for w in windows]),
                memory_kb,
            )
        )
        points.setdefault("processor time [ms/s]", []).append((count, cpu))
        both = [w.sent_bytes + w.received_bytes for w in windows]
        points.setdefault("bytes both ways [B/s]", []).append((count, both))
        points.setdefault("segments [1/s]", []).append((count, [w.segments for w in windows]))
        points.setdefault("resident memory [KiB]", []).append((count, [memory_kb]))
    fits = fit_table()
    fits.rows = [fit_row(name, "servers", measured) for name, measured in points.items()]
    return [table, fits], _findings(fits.rows[0], interval_ms)  # type: ignore[arg-type]


def _holder_tables(options: Options) -> list[Table]:
    calls, repeats = (500, 2) if options.quick else (HOLDER_CALLS, REPEATS)
    table = Table(
        "Grant holder, per renewal",
        ("grants held", "holder alone [µs]", "with codec [µs]", "heap of the holder [B]"),
    )
    alone, with_codec, heap = [], [], []
    for grants in GRANT_COUNTS:
        costs = [_holder_us(grants, calls) for _ in range(repeats)]
        size = _holder_bytes(grants)
        alone.append((grants, [c[0] for c in costs]))
        with_codec.append((grants, [c[1] for c in costs]))
        heap.append((grants, [size]))
        table.rows.append((grants, Spread.of(alone[-1][1]), Spread.of(with_codec[-1][1]), size))
    fits = fit_table()
    fits.title = "Linear fits of the grant holder"
    fits.rows = [
        fit_row("holder alone [µs]", "grants held", alone),
        fit_row("with codec [µs]", "grants held", with_codec),
        fit_row("heap [B]", "grants held", heap),
    ]
    return [table, fits]


@BENCHMARKS.register("renewals")
def renewals(options: Options) -> Report:
    """Measure both sides at several sizes."""
    interval_ms = OwnershipSettings().renew_interval_ms
    tables, findings = _renewer_tables(options, interval_ms)
    tables += [*_holder_tables(options), _message_table()]
    return Report("What renewals cost", _method(interval_ms), tables, findings)
