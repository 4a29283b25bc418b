"""Cut an owner of keys off for a moment, and look for grants that it takes under old fences."""

import asyncio
import contextlib
import os
import socket
import sys
import tempfile
import traceback
from pathlib import Path
from typing import NamedTuple

from standins import (
    LOOPBACK,
    Answer,
    Entry,
    Instance,
    Platform,
    Record,
    Request,
    ask,
    has_trouble,
    new_id,
    route,
    service,
)

from nutmeglead.core.clock import SystemClock
from nutmeglead.emulator.key_server import KeyServer
from nutmeglead.platform.grants import decode_order
from nutmeglead.platform.wire import GRANT_TARGET, RELEASE_TARGET

ENTRIES, INSTANCES, SLOTS, WORK_S = 3, 4, 2, 0.06
# The instances are cut off in turn, with a pause between, until one cut breaks the rule.
CUTS, CUT_S, THAW_SLACK_S, WATCH_S, CALM_S = 8, 2.65, 0.3, 3.5, 3.0
# TCP sends what was not acknowledged again after this time, and then after twice as long each time.
RETRANSMISSION_S = 0.2
REQUEST_INTERVAL_S = 0.02
BACKLOG = 8


class Grant(NamedTuple):
    """Hold a grant that an instance has accepted."""

    at_s: float
    server_id: str
    first: int
    last: int
    fence: int


class Link:
    """Forward the connections to one instance; hold what is sent while the link is cut.

    What an open connection has sent in the cut arrives when TCP would send it again, unless its
    sender has reset it. No connection is made during the cut: the queue of new connections is
    full, so the kernel drops the opening packets.
    """

    def __init__(self, port: int, record: Record) -> None:
        self.is_cut = False
        self._target_port = port
        self._record = record
        self._listener = socket.socket()
        self._listener.bind((LOOPBACK, 0))
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        self._fillers: list[socket.socket] = []
        self._accepting: asyncio.Task[None] | None = None
        self._connections: set[asyncio.Task[None]] = set()

    def open(self) -> None:
        """Let connections through, and deliver what was held."""
        self.is_cut = False
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._accepting = asyncio.create_task(self._accept())

    def cut(self) -> None:
        """Hold what is sent, and let no connection be made."""
        self.is_cut = True
        self.stop()
        for _ in range(2 * BACKLOG):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((LOOPBACK, self.port))
            self._fillers.append(filler)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._listener)
            task = asyncio.create_task(self._serve(connection))
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)

    async def _serve(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                LOOPBACK, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._forward(reader, server_writer), self._forward(server_reader, writer)
        )
        writer.close()
        server_writer.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65_536):
                if self.is_cut:
                    await self._hold()
                writer.write(data)
                await writer.drain()
            if self.is_cut:
                await self._hold()
            writer.write_eof()
        except OSError:
            # A reset: what is held is lost.
            writer.transport.abort()

    async def _hold(self) -> None:
        """Return when TCP would have delivered what was sent now, after the cut."""
        sent_s, wait_s = self._record.now_s(), RETRANSMISSION_S
        due_s = sent_s + wait_s
        while self.is_cut or self._record.now_s() < due_s:
            if self._record.now_s() >= due_s:
                wait_s *= 2
                due_s += wait_s
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        """Accept no further connections."""
        if self._accepting is not None:
            self._accepting.cancel()


class Owners:
    """Answer orders and requests at all instances, and keep the grants that were accepted."""

    def __init__(self, record: Record) -> None:
        self.grants: list[Grant] = []
        self._record = record
        self._keys: dict[str, KeyServer] = {}

    def add(self, server_id: str) -> None:
        """Add an instance without keys."""
        self._keys[server_id] = KeyServer(server_id, SystemClock(), lambda keys: None)

    async def handle(self, instance: Instance, request: Request) -> Answer:
        """Answer a request or an order at an instance."""
        keys, target = self._keys[instance.server_id], request.target.encode()
        if target in (GRANT_TARGET, RELEASE_TARGET):
            order = decode_order(request.body)
            status, headers = await keys.answer_order(target, instance.server_id, order)
            if target == GRANT_TARGET and status == 200:
                self._add_grant(instance.server_id, order.first, order.last, order.fence)
            elif target == RELEASE_TARGET:
                self._record.add(
                    f"{instance.server_id} releases {order.first} to {order.last}, "
                    f"fence {order.fence}"
                )
            return Answer(status, {name.decode(): value.decode() for name, value in headers})
        headers_out = {"X-Request-Id": request.request_id}
        if not keys.holds_key(int(request.headers["x-shard-key"])):
            return Answer(421, headers_out | {"X-Not-Executed": "1"})
        await asyncio.sleep(WORK_S)
        return Answer(200, headers_out | {"X-Response-Signature": "signed"}, b"part")

    def _add_grant(self, server_id: str, first: int, last: int, fence: int) -> None:
        grant = Grant(self._record.now_s(), server_id, first, last, fence)
        known = [
            other
            for other in self.grants
            if (other.server_id, other.first, other.last, other.fence) == grant[1:]
        ]
        if not known or grant.at_s - known[-1].at_s > 1:
            self._record.add(f"{server_id} takes {first} to {last}, fence {fence}")
        self.grants.append(grant)

    def stale(self, after_s: float) -> list[tuple[Grant, Grant]]:
        """Return grants since a time under fences below one that another instance had before."""
        return [
            (late, other)
            for late in self.grants
            if late.at_s > after_s
            for other in self.grants
            if other.at_s < late.at_s
            and other.server_id != late.server_id
            and other.first <= late.last
            and late.first <= other.last
            and other.fence >= late.fence
        ]


async def _send_requests(entries: list[Entry], counts: dict[str, int]) -> None:
    async def send(number: int) -> None:
        headers = {
            "X-Request-Id": new_id(),
            "X-Deadline-Ms": "500",
            "X-Shard-Key": str(number * 7_919 % 65_536),
        }
        result = "no answer"
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            entry = entries[number % len(entries)]
            result = str((await ask(entry.front, "/parts/1", headers, timeout_s=2)).status)
        counts[result] = counts.get(result, 0) + 1

    tasks, number = set(), 0
    while True:
        number += 1
        task = asyncio.create_task(send(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def _cut_off(number: int, link: Link, owners: Owners, record: Record) -> bool:
    """Cut one instance off, and return whether it took a key under an old fence afterwards."""
    healed_s = record.now_s()
    if has_trouble():
        record.add(f"i-{number} is cut off from all machines")
        link.cut()
        await asyncio.sleep(CUT_S)
        link.open()
        healed_s = record.now_s()
        record.add("the cut has healed")
    await asyncio.sleep(WATCH_S)
    stale = owners.stale(healed_s + THAW_SLACK_S)
    for late, other in stale[:3]:
        record.add(
            f"{late.at_s - healed_s:.2f} s after the cut, {late.server_id} took keys {late.first} "
            f"to {late.last} with fence {late.fence}; {other.server_id} had {other.first} to "
            f"{other.last} with fence {other.fence} at {other.at_s:.3f} s"
        )
    return bool(stale)


async def _play(owners: Owners, links: list[Link], entries: list[Entry], record: Record) -> int:
    counts: dict[str, int] = {}
    sender = asyncio.create_task(_send_requests(entries, counts))
    async with asyncio.timeout(20):
        while counts.get("200", 0) < 100:
            await asyncio.sleep(0.1)
    is_broken = False
    for number in range(CUTS):
        await asyncio.sleep(CALM_S)
        link = links[number % len(links)]
        is_broken = await _cut_off(number % len(links), link, owners, record)
        if is_broken:
            break
    sender.cancel()
    record.add(f"answers: {counts}")
    return int(is_broken)


async def _run(record: Record) -> int:
    platform = Platform()
    await platform.start()
    routes = [
        route("parts", "/parts/", "parts", "safe", timeout_s=0.5, target_latency_s=0.2),
    ]
    platform.put_manifest(1, routes, [service("parts", sharded=True, warm_s=3.0, grants="call")])
    owners = Owners(record)
    instances = [Instance(f"i-{n}", "parts", owners.handle, SLOTS) for n in range(INSTANCES)]
    links = []
    for instance in instances:
        owners.add(instance.server_id)
        await instance.start()
        link = Link(instance.port, record)
        link.open()
        links.append(link)
        # Entries name the address at which the instance is reached.
        instance.port = link.port
        platform.put_server(instance)
    with tempfile.TemporaryDirectory() as directory:
        entries = [Entry(f"front-a-{n}", platform, Path(directory)) for n in range(ENTRIES)]
        try:
            await asyncio.gather(*(entry.start() for entry in entries))
            if not all(await asyncio.gather(*(entry.wait_until_ready() for entry in entries))):
                record.add("a process is not ready")
                return 2
            return await _play(owners, links, entries, record)
        finally:
            for entry in entries:
                await entry.end()
            for instance, link in zip(instances, links, strict=True):
                instance.stop()
                link.stop()


def main() -> int:
    """Run the case and return its exit code."""
    record = Record(Path(__file__).with_name("record.txt"))
    try:
        code = asyncio.run(_run(record))
    except Exception:
        traceback.print_exc()
        code = 2
    record.add(f"exit code {code}")
    record.close()
    return code


if __name__ == "__main__":
    sys.stdout.flush()
    os._exit(main())
