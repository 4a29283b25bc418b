"""Steps for the request path, over loopback sockets."""

import asyncio
import random
import re

from behave import given, then, when

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
from nutmeglead.forwarding.tests.scripted_server import GOOD, ScriptedServer
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.platform.node_settings import Bounds

SERVICE = ServiceName("stock")
NEAR, FAR = FailureDomainName("near"), FailureDomainName("far")
BOUNDS = Bounds(2_000, 6_000, 0.2, 10_000, 64, 10_000)
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
# A hung exchange fails the scenario instead of stalling the run; no step judges elapsed time.
GUARD_S = 10
SAFE, UNSAFE = "a safe", "an unsafe"


class NoKeys:
    def count_key(self, service, key):
        pass


def route(prefix, kind):
    return Route(prefix, "h.example", prefix, kind, 5_000, 300, 1, 3, (Backend(SERVICE, 1.0),))


def manifest():
    spec = ServiceSpec(SERVICE, "/health", 100, False, False, 0)
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
    def __init__(self, behaviour=GOOD, is_listening=True):
        self.behaviour = behaviour
        self.is_listening = is_listening
        self.steps = []
        self.answers = []
        self.has_manifest = True
        self.first = self.second = None

    def run(self):
        asyncio.run(asyncio.wait_for(self._run(), GUARD_S))

    async def _run(self):
        self.first = ScriptedServer("first", [self.behaviour])
        self.second = ScriptedServer("second", [GOOD])
        registry = ServerRegistry()
        clock = SystemClock()
        forwarder = Forwarder(
            registry, NoKeys(), clock, random.Random(1), NEAR, BOUNDS, lambda: 1, lambda tag: 0
        )
        for server in (self.first, self.second):
            await server.start()
        if self.has_manifest:
            forwarder.apply_manifest(manifest())
        registry.apply([record(self.first, NEAR), record(self.second, FAR)], [], clock.now_ms())
        if not self.is_listening:
            for server in (self.first, self.second):
                await server.stop()
        front = PipelineServer(forwarder.handle, lambda: LIMITS, clock)
        self.port = await front.start("127.0.0.1", 0)
        for step in self.steps:
            await step()
        front.close_idle()
        await front.wait_closed(1_000)
        forwarder.close()
        for server in (self.first, self.second):
            await server.stop()

    async def send(self, raw):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(raw)
        writer.write_eof() if raw.endswith(b"EOF") else None
        self.answers.append(await read_answer(reader))
        writer.close()

    async def send_and_leave(self):
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request(SAFE))
        while not self.first.requests:
            await asyncio.sleep(0)
        writer.close()
        while not self.first.broken_off:
            await asyncio.sleep(0)

    async def send_pipelined(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request(SAFE) + request("unrouted"))
        while not self.first.requests:
            await asyncio.sleep(0)
        self.first.go_on.set()
        self.answers += [await read_answer(reader), await read_answer(reader)]
        writer.close()


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    length = re.search(r"content-length: (\d+)", head, re.IGNORECASE)
    chunked = "chunked" in head.lower()
    if chunked:
        raw = await reader.readuntil(b"0\r\n\r\n")
        return head, raw
    return head, await reader.readexactly(int(length.group(1)))


def request(kind, left_ms=4_000, extra=""):
    method, path, body = "GET", "/safe/x", ""
    if kind == UNSAFE:
        method, path, body = "POST", "/unsafe/x", "order"
    if kind == "unrouted":
        path = "/none/x"
    head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
    if kind != "anonymous":
        head += "X-Request-Id: r1\r\n"
    head += f"X-Deadline-Ms: {left_ms}\r\n{extra}"
    if body and "Content-Length" not in extra:
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n" + body).encode()


@given("a first server that {behaviour}")
def step_server(context, behaviour):
    context.rig = RequestScenario(behaviour)


@given("no server that listens")
def step_no_server(context):
    context.rig = RequestScenario(is_listening=False)


@when("a caller sends {kind} request with {left_ms:d} ms left")
def step_send_with(context, kind, left_ms):
    context.rig.steps.append(lambda: context.rig.send(request(kind, left_ms)))


@when("a caller sends a safe request and leaves")
def step_leave(context):
    context.rig.steps.append(context.rig.send_and_leave)


@when("a caller sends a request for the first server and one without a route behind it")
def step_pipelined(context):
    context.rig.steps.append(context.rig.send_pipelined)


@when("a caller sends a request {fault}")
def step_faulty(context, fault):
    scenario = context.rig
    raws = {
        "without a route": request("unrouted"),
        "without an id": request("anonymous"),
        "before any manifest": request(SAFE),
        "with two ways to frame it": request(
            UNSAFE, extra="Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"
        ),
    }
    scenario.has_manifest = fault != "before any manifest"
    scenario.steps.append(lambda: scenario.send(raws[fault]))


@when("a caller sends {kind} request")
def step_send(context, kind):
    context.rig.steps.append(lambda: context.rig.send(request(kind)))


def finish(context):
    if context.rig.first is None:
        context.rig.run()
    return context.rig


def last_answer(context):
    head, body = finish(context).answers[-1]
    return int(head.split()[1]), head.lower(), body


@then("the caller gets {status:d} of the {which}")
def step_gets_of(context, status, which):
    given_status, _, body = last_answer(context)
    expected = which.encode() if status == 200 else b"error"
    assert (given_status, body) == (status, expected), (given_status, body)


@then('the caller gets {status:d} with "{body}"')
def step_gets_body(context, status, body):
    given_status, _, given_body = last_answer(context)
    assert (given_status, given_body) == (status, body.encode()), (given_status, given_body)


@then("the caller gets 503 with a time to come back")
def step_gets_retry(context):
    status, head, _ = last_answer(context)
    assert status == 503 and "retry-after: 0." in head, head


@then("the caller gets {status:d}")
def step_gets(context, status):
    given_status, head, _ = last_answer(context)
    assert given_status == status, head
    assert "x-response-signature" not in head, head


@then("{count:d} requests have arrived at servers")
def step_arrivals(context, count):
    scenario = finish(context)
    arrived = len(scenario.first.requests) + len(scenario.second.requests)
    assert arrived == count, arrived


@then("the first server has seen {count:d} connections")
def step_connections(context, count):
    assert finish(context).first.connections == count, context.rig.first.connections


@then("the server sees its connection closed")
def step_closed(context):
    assert finish(context).first.broken_off == 1


@then("the answers come in the order of the requests")
def step_order(context):
    statuses = [int(head.split()[1]) for head, _ in finish(context).answers]
    assert statuses == [200, 404], statuses


@then("the server was given at most {left_ms:d} ms and its own id")
def step_told(context, left_ms):
    _, headers, _ = finish(context).first.requests[0]
    assert 0 < int(headers["x-deadline-ms"]) <= left_ms, headers
    assert headers["x-target-instance"] == "first", headers
