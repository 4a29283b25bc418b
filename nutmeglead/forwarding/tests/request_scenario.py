"""Send requests through a forwarder to scripted servers on loopback."""

import asyncio
import random
import re

from nutmeglead.core.clock import SystemClock
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName
from nutmeglead.forwarding.forwarder import Forwarder
from nutmeglead.forwarding.model import (
    Backend,
    Manifest,
    RequestKind,
    Route,
    ServerIncarnation,
    ServerRecord,
    ServerState,
    ServiceSpec,
)
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.tests.scripted_server import ANSWERS_CORRECTLY, ScriptedServer
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.platform.node_settings import Bounds
from nutmeglead.platform.wire import DEADLINE_HEADER, KEY_HEADER, REQUEST_ID_HEADER
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.model import KeyRange, RangeMap

SERVICE = ServiceName("stock")
NEAR, FAR = FailureDomainName("near"), FailureDomainName("far")
BOUNDS = Bounds(2_000, 6_000, 0.2, 10_000, 64, 10_000)
CALLER_LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
# An exchange that hangs fails the scenario instead of blocking the run; no step checks durations.
SCENARIO_TIMEOUT_S = 10
# Separates the behaviours that a server shows one after the other.
THEN = ", then "
LAST_CHUNK = b"0\r\n\r\n"
SAFE, UNSAFE = "a safe", "an unsafe"


class NullKeyCounter:
    """A key counter that counts nothing."""

    def count_key(self, service, key):
        pass


def route(prefix, kind):
    return Route(prefix, "h.example", prefix, kind, 5_000, 300, 1, 3, (Backend(SERVICE, 1.0),))


def manifest(has_keys):
    spec = ServiceSpec(SERVICE, "/health", 100, has_keys, False, 0)
    routes = (
        route("/safe/", RequestKind.IDEMPOTENT),
        route("/unsafe/", RequestKind.AT_MOST_ONCE),
    )
    return Manifest(1, routes, {SERVICE: spec})


def record(server, domain):
    return ServerRecord(
        ServerIncarnation(ServerId(server.server_id), 1),
        SERVICE,
        "127.0.0.1",
        server.port,
        domain,
        4,
        ServerState.READY,
        0,
    )


class RequestScenario:
    """Collect actions, then run them once against two scripted servers and a forwarder.

    `answers` holds the head and body of each answer that a caller has received.
    """

    def __init__(self, behaviour=ANSWERS_CORRECTLY, is_listening=True):
        self.behaviour = behaviour
        self.is_listening = is_listening
        self.actions = []
        self.answers = []
        self.has_manifest = True
        # Whether the first server owns all keys of the service.
        self.has_keys = False
        self.first = self.second = None
        self.is_cut = False
        self.is_reset = False
        self.received = b""
        self.received_body = b""
        self.stated_length = None
        self.failure_score = 0.0

    def run(self):
        asyncio.run(asyncio.wait_for(self._run(), SCENARIO_TIMEOUT_S))

    async def _run(self):
        self.first = ScriptedServer("first", self.behaviour.split(THEN))
        self.second = ScriptedServer("second", [ANSWERS_CORRECTLY])
        registry = ServerRegistry()
        clock = SystemClock()
        forwarder = self.forwarder = Forwarder(
            registry,
            NullKeyCounter(),
            clock,
            random.Random(1),
            NEAR,
            BOUNDS,
            lambda: 1,
            lambda: 1,
            lambda tag: 0,
            fetcher := HttpFetcher(),
        )
        for server in (self.first, self.second):
            await server.start()
        if self.has_manifest:
            forwarder.apply_manifest(manifest(self.has_keys))
        registry.apply([record(self.first, NEAR), record(self.second, FAR)], [], clock.now_ms())
        if self.has_keys:
            owner = record(self.first, NEAR).incarnation
            forwarder.set_ranges(RangeMap(SERVICE, [KeyRange(0, KEY_COUNT - 1, owner, 1)], 1))
        if not self.is_listening:
            for server in (self.first, self.second):
                await server.stop()
        self.http_server = PipelineServer(forwarder.handle, lambda: CALLER_LIMITS, clock)
        self.port = await self.http_server.start("127.0.0.1", 0)
        for action in self.actions:
            await action()
        if self.has_manifest:
            upstreams = forwarder.services[SERVICE].upstreams
            upstream = upstreams[record(self.first, NEAR).incarnation]
            self.failure_score = upstream.failure_score(clock.now_ms())
            self.estimated_in_flight = upstream.estimated_in_flight(clock.now_ms())
        await self.http_server.stop_listening()
        await self.http_server.wait_closed(1_000)
        forwarder.close()
        fetcher.close()
        for server in (self.first, self.second):
            await server.stop()

    async def send(self, raw):
        """Send the bytes of a request and keep its answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(raw)
        writer.write_eof() if raw.endswith(b"EOF") else None
        self.answers.append(await read_answer(reader))
        writer.close()

    async def send_and_read_to_the_end(self, raw):
        """Send the bytes of a request and read until the connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(raw)
        received = b""
        try:
            while data := await reader.read(65_536):
                received += data
        except ConnectionResetError:
            self.is_reset = True
        self.received = received
        self.is_cut = not received.endswith(LAST_CHUNK)
        head, _, self.received_body = received.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
        self.stated_length = None if length is None else int(length.group(1))
        writer.close()

    async def send_and_disconnect(self):
        """Disconnect once the first server has the request, and wait until it sees that."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request(SAFE))
        while not self.first.requests:
            await asyncio.sleep(0)
        writer.close()
        while not self.first.disconnect_count:
            await asyncio.sleep(0)

    async def send_ahead_and_disconnect(self):
        """Disconnect once the first server has answered the second of two requests only."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request(SAFE) + request(SAFE, request_id="r2"))
        await self.wait_for_requests(2)
        upstream = self.forwarder.services[SERVICE].upstreams[record(self.first, NEAR).incarnation]
        while upstream.in_flight > 1:
            await asyncio.sleep(0)
        writer.close()
        while upstream.in_flight:
            await asyncio.sleep(0)

    async def send_and_be_cut_off(self):
        """Send a request, and end the callers' connections once the first server has it."""
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request(SAFE))
        await self.wait_for_requests(1)
        await self.http_server.wait_closed(0)
        writer.close()

    async def wait_for_requests(self, count):
        while len(self.first.requests) < count:
            await asyncio.sleep(0)

    async def send_pipelined(self):
        """Send two requests; the first one is answered only after the second has been sent."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request(SAFE) + request("unrouted"))
        while not self.first.requests:
            await asyncio.sleep(0)
        self.first.may_answer.set()
        self.answers += [await read_answer(reader), await read_answer(reader)]
        writer.close()


async def read_answer(reader):
    """Return the head and the raw body of the next answer on a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = re.search(r"content-length: (\d+)", head, re.IGNORECASE)
    chunked = "chunked" in head.lower()
    if chunked:
        raw = await reader.readuntil(b"0\r\n\r\n")
        return head, raw
    return head, await reader.readexactly(int(length.group(1)))


def request(kind, left_ms=4_000, extra="", body=None, request_id="r1"):
    """Return the bytes of a safe or unsafe request, or of one without a route or an id."""
    method, path = "GET", "/safe/x"
    if kind == UNSAFE:
        method, path = "POST", "/unsafe/x"
        body = "order" if body is None else body
    if kind == "unrouted":
        path = "/none/x"
    head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
    if kind != "anonymous":
        head += f"{REQUEST_ID_HEADER.decode()}: {request_id}\r\n"
    head += f"{DEADLINE_HEADER.decode()}: {left_ms}\r\n{KEY_HEADER.decode()}: 7\r\n{extra}"
    if body and "Content-Length" not in extra:
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n" + (body or "")).encode()
