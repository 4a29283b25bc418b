"""Measure the processor time that one request costs the router."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead.core.clock import SystemClock
from nutmeglead.core.ids import Epoch, FailureDomainName, ServerId, ServiceName
from nutmeglead.http.client import connect
from nutmeglead.http.messages import RequestHead
from nutmeglead.http.server import HttpServer, ServerExchange
from nutmeglead.routing.router import RouterService
from nutmeglead.routing.sources import BackendAddress
from nutmeglead.routing.timers import LoopTimers

__all__ = ["router_cost"]

CALLERS = 8
REQUESTS_PER_CALLER = 1000
REPEATS = 7
BODIES = (0, 1024, 65_536, 1_048_576)
CONNECT_TIMEOUT_MS = 1000


@dataclass(frozen=True)
class _Assignment:
    unit: str
    owner: ServerId
    epoch: Epoch = Epoch(1)
    pending: bool = False


class _OneServer:
    """Be a map and an address book with one server that owns every key."""

    def __init__(self, port: int) -> None:
        self._address = BackendAddress("127.0.0.1", port, FailureDomainName("d1"))

    def locate(self, service_name: ServiceName, key: str) -> _Assignment:
        return _Assignment(key, ServerId("s1"))

    def subscribe(self, callback: Callable[[ServiceName], None]) -> Callable[[], None]:
        return lambda: None

    def address(self, service_name: ServiceName, server_id: ServerId) -> BackendAddress:
        return self._address

    def servers(self, service_name: ServiceName) -> Iterable[ServerId]:
        return [ServerId("s1")]

    def router_count(self) -> int:
        return 1


async def _call(port: int, count: int) -> None:
    connection = (await connect("127.0.0.1", port, CONNECT_TIMEOUT_MS)).unwrap()
    for number in range(count):
        target = b"/lookups/k%d" % number
        await connection.send_head(RequestHead(b"GET", target, [(b"host", b"r")]))
        await connection.finish_request()
        head = await connection.read_head()
        assert head.status == 200, head
        while await connection.read_body():
            pass
        assert connection.finish_exchange()
    connection.abort()


async def _cost_us(port: int, count: int) -> float:
    started = time.process_time_ns()
    await asyncio.gather(*[_call(port, count) for _ in range(CALLERS)])
    return (time.process_time_ns() - started) / 1000 / (CALLERS * count)


async def _measure(body_bytes: int, repeats: int, count: int) -> tuple[list[float], list[float]]:
    """Return the costs without and with the router, in µs per request."""

    async def answer(exchange: ServerExchange) -> None:
        await exchange.respond(200, [], b"x" * body_bytes)

    server = HttpServer(answer)
    server_port = await server.start("127.0.0.1", 0)
    service = ServiceSettings(
        name="lookups", slots_per_instance=CALLERS, connections_per_instance=130, idempotent=True
    )
    one_server = _OneServer(server_port)
    timers = LoopTimers(SystemClock())
    router = RouterService(
        Settings(services=[service]), one_server, one_server, timers, random.Random(1)
    )
    edge = HttpServer(router.handle)
    router_port = await edge.start("127.0.0.1", 0)
    direct, routed = [], []
    for _ in range(repeats):
        direct.append(await _cost_us(server_port, count))
        routed.append(await _cost_us(router_port, count))
    router.close()
    await edge.stop(0)
    await server.stop(0)
    return direct, routed


METHOD = (
    "Callers, router and server run in one process on loopback. The router's cost is the processor "
    "time per request with the router minus that without it, so it includes one more hop of HTTP.",
    f"{CALLERS} callers with one connection each, GET requests one after another, {REPEATS} "
    f"repeats of {CALLERS * REQUESTS_PER_CALLER} requests (a tenth of it from 64 KiB upwards). "
    "Answers have a fixed length.",
)


@BENCHMARKS.register("router_cost")
def router_cost(options: Options) -> Report:
    """Measure several sizes of answers."""
    report = Report("Router: processor time per request", METHOD)
    table = Table(
        "Processor time, µs per request",
        ("answer [bytes]", "without router", "with router", "router"),
    )
    repeats = 2 if options.quick else REPEATS
    for body_bytes in BODIES:
        count = REQUESTS_PER_CALLER // (10 if body_bytes >= 65_536 or options.quick else 1)
        direct, routed = asyncio.run(_measure(body_bytes, repeats, count))
        added = [with_it - without for without, with_it in zip(direct, routed, strict=True)]
        table.rows.append((body_bytes, Spread.of(direct), Spread.of(routed), Spread.of(added)))
    report.tables.append(table)
    return report
