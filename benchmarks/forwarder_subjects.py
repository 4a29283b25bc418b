"""Be one process of the forwarder benchmark: a backend server, bare forwarder or router.

`python -m benchmarks.forwarder_subjects ROLE [BACKEND_PORT [PROFILE_FILE]]` prints its port and
ends when its standard input is closed, or after MAX_LIFE_S.
"""

from __future__ import annotations

import asyncio
import cProfile
import random
import sys
from collections.abc import Callable
from typing import cast

import h11
from prometheus_client import CollectorRegistry

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import ServerEntry
from nutmeglead._generated.settings.ttypes import PlacementSettings, ServiceSettings, Settings
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.ids import ServerId, ServiceName
from nutmeglead.http.server import HttpServer
from nutmeglead.ownership.directory import directory_page
from nutmeglead.ownership.pages import WriteStamp, hash_pages
from nutmeglead.routing.load_reports import LoadReporter, RequestMetrics
from nutmeglead.routing.map_view import MapView
from nutmeglead.routing.router import RouterService
from nutmeglead.routing.timers import LoopTimers

__all__ = ["ANSWER", "SERVICE"]

IP = "127.0.0.1"
MAX_LIFE_S = 300
SERVICE = ServiceName("lookups")
SERVERS = 24
HASH_BUCKETS = 2048
ANSWER_BODY = b"x" * 1024
STREAM_PART = b"x" * 65_536
ANSWER = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 1024\r\n\r\n"
    + ANSWER_BODY
)


class _Backend(asyncio.Protocol):
    """Answer each request without a body at once; it costs as little as possible."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        # The callers wait for each answer, so one request ends where the data ends.
        if data.endswith(b"\r\n\r\n"):
            self._transport.write(ANSWER)


class _StreamBackend(asyncio.Protocol):
    """Answer `...?bytes=N` with N bytes, as fast as the peer takes them."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._left = 0
        self._is_paused = False

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self._left = int(data.split(b"?bytes=")[1].split()[0])
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % self._left
            self._transport.write(head)
            self._send()

    def pause_writing(self) -> None:
        self._is_paused = True

    def resume_writing(self) -> None:
        self._is_paused = False
        self._send()

    def _send(self) -> None:
        while self._left and not self._is_paused and not self._transport.is_closing():
            part = STREAM_PART[: self._left]
            self._left -= len(part)
            self._transport.write(part)


class _BareInbound(asyncio.Protocol):
    """Forward one caller's requests with h11 on both sides and nothing else."""

    def __init__(self, pool: _BarePool) -> None:
        self._pool = pool
        self._parser = h11.Connection(h11.SERVER)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._parser.receive_data(data)
        while (event := self._parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Request):
                self._request = event
            elif isinstance(event, h11.EndOfMessage):
                self._pool.send(self._request, self)
            if event is h11.PAUSED or isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return

    def answer(self, response: h11.Response, body: bytes) -> None:
        head = self._parser.send(h11.Response(status_code=200, headers=response.headers)) or b""
        data = self._parser.send(h11.Data(data=body)) or b""
        self._transport.write(head + data + (self._parser.send(h11.EndOfMessage()) or b""))
        self._parser.start_next_cycle()


class _BareOutbound(asyncio.Protocol):
    def __init__(self, pool: _BarePool) -> None:
        self._pool = pool
        self._parser = h11.Connection(h11.CLIENT)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, request: h11.Request, caller: _BareInbound) -> None:
        self._caller = caller
        self._parts: list[bytes] = []
        forwarded = h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
        head = self._parser.send(forwarded) or b""
        self._transport.write(head + (self._parser.send(h11.EndOfMessage()) or b""))

    def data_received(self, data: bytes) -> None:
        self._parser.receive_data(data)
        while (event := self._parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response):
                self._response = event
            elif isinstance(event, h11.Data):
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._parser.start_next_cycle()
                self._pool.idle.append(self)
                self._caller.answer(self._response, b"".join(self._parts))
                return


class _BarePool:
    def __init__(self, port: int) -> None:
        self._port = port
        self.idle: list[_BareOutbound] = []
        self._opening: set[asyncio.Task[None]] = set()

    def send(self, request: h11.Request, caller: _BareInbound) -> None:
        if self.idle:
            self.idle.pop().send(request, caller)
            return
        task = asyncio.ensure_future(self._open(request, caller))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(self, request: h11.Request, caller: _BareInbound) -> None:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: _BareOutbound(self), IP, self._port)
        connection.send(request, caller)


async def _start_protocol(make: Callable[[], asyncio.Protocol]) -> int:
    server = await asyncio.get_running_loop().create_server(make, IP, 0, backlog=256)
    return int(server.sockets[0].getsockname()[1])


async def _start_router(backend_port: int) -> int:
    """Start the request path with a real map, metrics and load counters."""
    service = ServiceSettings(
        name=SERVICE,
        slots_per_instance=4,
        connections_per_instance=130,
        idempotent=True,
        hash_buckets=HASH_BUCKETS,
        placement=PlacementSettings(),
    )
    clock = SystemClock()
    view = MapView([service], lambda: 1)
    stamp = WriteStamp(1, 1)
    names = [ServerId(f"s{number}") for number in range(SERVERS)]
    entries = [ServerEntry(name, Address(IP, backend_port), "d1") for name in names]
    view.apply(directory_page(SERVICE, entries, None, stamp))
    for page in hash_pages(SERVICE, HASH_BUCKETS, lambda n: names[n % SERVERS], stamp):
        view.apply(page)
    metrics = RequestMetrics(CollectorRegistry())
    observer = LoadReporter([service], metrics, random.Random(1), clock.now_ms())
    router = RouterService(
        Settings(services=[service]),
        view,
        view,
        LoopTimers(clock),
        random.Random(2),
        observer=observer,
    )
    return await HttpServer(router.handle).start(IP, 0)


async def _serve(role: str, backend_port: int) -> None:
    if role == "router":
        port = await _start_router(backend_port)
    elif role == "bare":
        pool = _BarePool(backend_port)
        port = await _start_protocol(lambda: _BareInbound(pool))
    else:
        backend = _StreamBackend if role == "stream-backend" else _Backend
        port = await _start_protocol(backend)
    print(port, flush=True)
    closed = asyncio.Event()
    asyncio.get_running_loop().add_reader(sys.stdin.fileno(), closed.set)
    await asyncio.wait_for(closed.wait(), MAX_LIFE_S)


def main(arguments: list[str]) -> None:
    """Serve one role, under a profiler if a file for its figures is named."""
    role, backend_port = arguments[0], int(arguments[1]) if len(arguments) > 1 else 0
    if len(arguments) > 2:
        with cProfile.Profile() as profile:
            asyncio.run(_serve(role, backend_port))
        profile.dump_stats(arguments[2])
    else:
        asyncio.run(_serve(role, backend_port))


if __name__ == "__main__":
    main(sys.argv[1:])
