"""Measure memory, heartbeat bytes and processor time per node, as functions of the size."""

import asyncio
import gc
import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from benchmarks.dissemination import SERVICE, bench_page
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    Acknowledged,
    DigestReply,
    DigestRequest,
    Envelope,
    Heartbeat,
    MessageType,
)
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import ServiceName
from nutmeglead.dissemination.deltas import make_delta
from nutmeglead.dissemination.machine import DisseminationMachine
from nutmeglead.dissemination.members import Identity
from nutmeglead.dissemination.pages import PageStore
from nutmeglead.dissemination.sends import Send
from nutmeglead.ownership.units import UnitMap
from nutmeglead.platform.http_vms import vm_to_json
from nutmeglead.platform.ports import VmEntry, VmState
from nutmeglead.rpc.client import RpcClient
from nutmeglead.rpc.frames import FrameDecoder, encode_frame
from nutmeglead.rpc.server import HandlerRegistry, RpcServer

__all__ = ["OneNode", "fit", "main", "run_heartbeats", "run_memory"]

SERVICES = [ServiceName(name) for name in ("lagerblick", "schnittauftrag", "konturablage")]
NODE_COUNTS = (12, 50, 100, 200, 500, 1000, 2000, 4000, 6500)
BUCKETS = (1 << 14, 1 << 16, 1 << 17, 1 << 18, 1 << 19)
TARGET_NODES = 6500
TARGET_BUCKETS = 1 << 19
DOMAIN_COUNT = 15
# A call takes three segments (request, reply, acknowledgement) of 52 bytes of TCP and IP headers
# with timestamps, so about 80 bytes per message.
PACKET_BYTES = 80
# 24,000 changes a day.
CHANGES_PER_S = 24_000 / 86_400


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line."""
    result = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return result.intercept, result.slope


def entries(count: int) -> list[VmEntry]:
    """Return a VM list."""
    return [
        VmEntry(f"entry-{number:04d}", "entry", f"10.{number % 4}.{number // 250}.{number % 250}",
                8083, f"domain-{number % DOMAIN_COUNT:02d}", VmState.LIVE, f"vm-{number}")
        for number in range(count)
    ]  # fmt: skip


@dataclass
class Traffic:
    """Count what one node sent and received."""

    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0


class OneNode:
    """Run one node whose members all answer; each message passes the codec as on a connection."""

    def __init__(self, node_count: int, seed: int) -> None:
        self.now_ms = 1_000_000
        identity = Identity("entry-0000", "1700000000000-1", "domain-00", Address("10.0.0.1", 8083))
        rng = random.Random(seed)
        self.machine = DisseminationMachine(
            identity, DisseminationSettings(), SERVICES, rng, self.now_ms
        )
        self.machine.learn_vms(entries(node_count), self.now_ms)
        for name in SERVICES:
            page = bench_page(1)
            page.service_name = name
            self.machine.copies[name].put(page)
            self.machine.copies[name].confirm(self.now_ms)
        self.traffic = Traffic()
        # Members that send heartbeats here: as many as this node sends to.
        self.senders = [f"entry-{number:04d}" for number in range(1, node_count)]

    def seconds(self, duration_s: int) -> float:
        """Run virtual seconds; return the processor time in s."""
        started = time.process_time()
        for step in range(duration_s * 2):
            self.now_ms += 500
            sends = self.machine.tick(self.now_ms)
            for send in sends:
                self._answered(send)
            beats = [send for send in sends if send.message_type == MessageType.HEARTBEAT]
            for index, send in enumerate(beats):
                self._hear(self.senders[index % len(self.senders)], step + 1, send.message)
            for name in SERVICES if step % 2 else []:
                self._asked(name)
            self.machine.take_notices()
        return time.process_time() - started

    def _wire(self, message_type: MessageType, message: object, is_reply: bool) -> object:
        """Encode and decode a message in its frame, and count its bytes."""
        body = encode(message)
        frame = encode_frame(Envelope(message_type, 12345, is_reply, body)).unwrap()
        self.traffic.messages += 1
        envelope = FrameDecoder().feed(frame).unwrap()[0]
        return len(frame), decode(type(message), envelope.body).unwrap()

    def _answered(self, send: Send) -> None:
        size, message = self._wire(send.message_type, send.message, False)
        self.traffic.sent_bytes += size
        sender = Sender(send.node_id, "1700000000000-1")
        if send.message_type == MessageType.HEARTBEAT:
            reply: object = Acknowledged(sender, self.now_ms)
        else:
            reply = DigestReply(sender, message.service_name, message.digest, [], 900)
        size, reply = self._wire(send.message_type, reply, True)
        self.traffic.received_bytes += size
        self.machine.settle(send, reply, self.now_ms)

    def _hear(self, node_id: str, sequence: int, like: Heartbeat) -> None:
        heartbeat = Heartbeat(
            Sender(node_id, "1700000000000-1"), "domain-01", sequence, Address("10.0.0.2", 8083),
            {}, like.map_digests, news=like.news,
        )  # fmt: skip
        size, message = self._wire(MessageType.HEARTBEAT, heartbeat, False)
        self.traffic.received_bytes += size
        reply = self.machine.handle_heartbeat(message, self.now_ms)
        self.traffic.sent_bytes += self._wire(MessageType.HEARTBEAT, reply, True)[0]

    def _asked(self, name: ServiceName) -> None:
        digest = self.machine.copies[name].store.digest
        request = DigestRequest(Sender("entry-0002", "1700000000000-1"), name, digest)
        size, message = self._wire(MessageType.DIGEST, request, False)
        self.traffic.received_bytes += size
        reply = self.machine.handle_digest(message, self.now_ms)
        self.traffic.sent_bytes += self._wire(MessageType.DIGEST, reply, True)[0]


def run_heartbeats(
    seed: int, node_count: int, duration_s: int, repeats: int
) -> tuple[float, float, float, list[float]]:
    """Return bytes/s sent and received, messages/s, and processor time per second in ms."""
    node = OneNode(node_count, seed)
    node.seconds(30)
    node.traffic = Traffic()
    spent = [node.seconds(duration_s) / duration_s * 1000 for _ in range(repeats)]
    total_s = duration_s * repeats
    traffic = node.traffic
    return (
        traffic.sent_bytes / total_s,
        traffic.received_bytes / total_s,
        traffic.messages / total_s,
        spent,
    )


def _heap_bytes(build: Callable[[], object]) -> int:
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def _store(buckets: int) -> PageStore:
    store = PageStore(SERVICE)
    for number in range(buckets // 256):
        store.put(bench_page(1, number, servers=64))
    return store


def _unit_map(buckets: int) -> UnitMap:
    unit_map = UnitMap(SERVICE, buckets)
    for number in range(buckets // 256):
        unit_map.apply(bench_page(1, number, servers=64))
    return unit_map


def run_memory(buckets: int) -> tuple[int, int]:
    """Return the heap bytes of the encoded pages and of the unit map."""
    return _heap_bytes(lambda: _store(buckets)), _heap_bytes(lambda: _unit_map(buckets))


def _member_bytes(seed: int, count: int) -> int:
    empty = _heap_bytes(lambda: OneNode(1, seed))
    return _heap_bytes(lambda: OneNode(count, seed)) - empty


def run_changes(seed: int, repeats: int) -> tuple[list[float], list[float], int]:
    """Return ms to apply a delta at a leaf and at an inner node with 3 children, and its bytes."""
    node = OneNode(100, seed).machine
    sender = Sender("entry-0001", "1")
    pages = [bench_page(version) for version in range(1, repeats + 2)]
    leaf, inner, size = [], [], 0
    for number in range(1, repeats):
        delta = make_delta(pages[number - 1], pages[number], sender, 0 if number % 2 else 16)
        data = encode(delta)
        size = len(data)
        started = time.process_time()
        sends = node.handle_delta(decode(type(delta), data).unwrap(), 0)[1]
        for send in sends:
            encode(send.message)
        (leaf if number % 2 else inner).append((time.process_time() - started) * 1000)
        node.take_changed()
    return leaf, inner, size


def run_rpc(seed: int, calls: int, repeats: int) -> list[float]:
    """Return ms of processor time per heartbeat call over loopback, client and server together."""
    sender = Sender("entry-0001", "1700000000000-1")
    beat = Heartbeat(sender, "domain-01", 1, Address("127.0.0.1", 8083), {}, {})

    async def answer(message: Heartbeat) -> Acknowledged:
        return Acknowledged(message.sender, 1)

    async def measure() -> list[float]:
        handlers = HandlerRegistry()
        handlers.add(MessageType.HEARTBEAT, Heartbeat, answer)
        server = RpcServer(handlers)
        address = Address("127.0.0.1", await server.start("127.0.0.1", 0))
        client = RpcClient(SystemClock(), random.Random(seed))
        spent = []
        for _ in range(repeats):
            started = time.process_time()
            for _call in range(calls):
                await client.call(address, MessageType.HEARTBEAT, beat, Acknowledged, 1000)
            spent.append((time.process_time() - started) / calls * 1000)
        await client.close()
        await server.close()
        return spent

    return asyncio.run(measure())


def _line(name: str, points: list[tuple[float, float]], at: float, unit: str) -> list[object]:
    intercept, slope = fit(points)
    return [name, intercept, slope * 1000, intercept + slope * at, unit]


def _vm_list_row(count: int) -> list[object]:
    listed = entries(count)
    node = OneNode(count, 1)
    started = time.process_time()
    node.machine.learn_vms(listed, node.now_ms)
    spent_ms = (time.process_time() - started) * 1000
    return [count, len(json.dumps([vm_to_json(entry) for entry in listed])), spent_ms]


@BENCHMARKS.register("dissemination_cost")
def run(options: Options) -> Report:
    """Measure slopes of memory, bytes and processor time."""
    counts = NODE_COUNTS[:3] if options.quick else NODE_COUNTS
    duration_s, repeats = (20, 2) if options.quick else (60, 5)
    beats = Table(
        "Heartbeats and digests of one node, without changes",
        ["nodes", "sent [B/s]", "received [B/s]", "messages/s",
         "with TCP/IP headers, both ways [B/s]", "processor time [ms/s]"],
    )  # fmt: skip
    sizes, spents = [], []
    for count in counts:
        sent, received, messages, spent = run_heartbeats(options.seed, count, duration_s, repeats)
        total = sent + received + messages * PACKET_BYTES
        beats.rows.append([count, sent, received, messages, total, Spread.of(spent)])
        if count > DisseminationSettings().mesh_max_members:
            sizes.append((count, total))
            spents.append((count, statistics.median(spent)))
    buckets = BUCKETS[:2] if options.quick else BUCKETS
    memory = [(count, *run_memory(count)) for count in buckets]
    members = [(count, _member_bytes(options.seed, count)) for count in counts]
    leaf, inner, delta_bytes = run_changes(options.seed, 400)
    fits = Table(
        "Linear fits", ["quantity", "intercept", "slope per 1,000", "at the target size", "unit"]
    )
    fits.rows = [
        _line("heartbeats and digests over nodes", sizes, TARGET_NODES, "B/s"),
        _line("processor time over nodes", spents, TARGET_NODES, "ms/s"),
        _line("members over nodes", members, TARGET_NODES, "B"),
        _line("encoded pages over buckets", [m[:2] for m in memory], TARGET_BUCKETS, "B"),
        _line("unit map over buckets", [(m[0], m[2]) for m in memory], TARGET_BUCKETS, "B"),
    ]
    held = Table("Heap", ["buckets", "encoded pages [B]", "unit map [B]"], list(memory))
    known = Table("Heap of the records of other nodes", ["nodes", "heap [B]"], list(members))
    changes = Table(
        "One delta of one unit on a page of 256",
        ["bytes", "leaf of the tree [ms]", "relay that forwards it [ms]",
         "share of a core at 24,000 changes a day, relay [%]"],
        [[delta_bytes, Spread.of(leaf), Spread.of(inner),
          statistics.median(inner) * CHANGES_PER_S / 10]],
    )  # fmt: skip
    listed = Table(
        "One reading of the VM list",
        ["nodes", "size as JSON [B]", "processor time to compare it [ms]"],
        [_vm_list_row(count) for count in counts],
    )
    method = [
        "One node with the given number of members in 15 failure domains and 3 services; all "
        "members answer. Each message passes the rpc frame and the codec twice, as on a "
        "connection; sockets are not part of it. Heartbeats every 500 ms, digests every 1000 ms, "
        f"virtual time, {repeats} repeats of {duration_s} s. Up to 16 members all exchange "
        "heartbeats, above that 6 are watched; the fits use only the latter sizes. "
        f"{PACKET_BYTES} bytes of TCP and IP headers per message are computed, not measured.",
        "",
        "Heap sizes are those that tracemalloc reports; the interpreter and the modules are not "
        "part of them. A page has 64 servers, no previous holders and one-byte epochs.",
    ]
    rpc = Table(
        "One heartbeat call over loopback, client and server in one process",
        ["processor time [ms]"],
        [[Spread.of(run_rpc(options.seed, 200 if options.quick else 2000, repeats))]],
    )
    tables = [beats, fits, held, known, changes, rpc, listed]
    return Report("What dissemination costs per node", method, tables)


def main() -> int:
    """Run this benchmark as a trial and print its tables."""
    report = run(Options(seed=int(sys.argv[1]) if len(sys.argv) > 1 else 1, quick=True))
    print(report.tables)
    return 0


if __name__ == "__main__":
    sys.exit(main())
