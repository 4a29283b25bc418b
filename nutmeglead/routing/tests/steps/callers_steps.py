"""Steps for callers that leave, stall, send bad requests or meet a stopping router."""

import asyncio
import contextlib

from behave import given, then, when

from nutmeglead.http.errors import PeerClosed
from nutmeglead.routing.tests.memory_wire import settle, until
from nutmeglead.routing.tests.rig import FakeAssignment, Rig, make_services, run
from nutmeglead.routing.tests.server_faults import reset_after_request

FILE_BYTES = 3_000_000
MIB = 1024 * 1024

RAW_REQUESTS = {
    "unknown service": b"GET /nothing/k HTTP/1.1\r\nhost: r\r\n\r\n",
    "no key": b"GET /lookups HTTP/1.1\r\nhost: r\r\n\r\n",
    "empty key": b"GET /lookups//x HTTP/1.1\r\nhost: r\r\n\r\n",
    "bad percent encoding": b"GET /lookups/%ff HTTP/1.1\r\nhost: r\r\n\r\n",
    "bad deadline": b"GET /lookups/k HTTP/1.1\r\nhost: r\r\nnutmeglead-deadline-ms: 1e3\r\n\r\n",
    "two deadlines": b"GET /lookups/k HTTP/1.1\r\nhost: r\r\nnutmeglead-deadline-ms: 5\r\n"
    b"nutmeglead-deadline-ms: 6\r\n\r\n",
    "no time left": b"GET /lookups/k HTTP/1.1\r\nhost: r\r\nnutmeglead-deadline-ms: 0\r\n\r\n",
    "long body": b"POST /orders/k HTTP/1.1\r\nhost: r\r\ncontent-length: 99999999\r\n\r\n",
    "both lengths": b"POST /orders/k HTTP/1.1\r\nhost: r\r\ncontent-length: 1\r\n"
    b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    "header flood": b"GET /lookups/k HTTP/1.1\r\nhost: r\r\nx-filler: " + b"y" * 70_000,
    "tunnel": b"CONNECT /lookups/k HTTP/1.1\r\nhost: r\r\n\r\n",
}


async def serve_file(side):
    """Send a large file in parts, as fast as the router takes them."""
    while await side.take_request() is not None:
        side.send(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % FILE_BYTES)
        with contextlib.suppress(PeerClosed):
            for _ in range(FILE_BYTES // 10_000):
                await side.channel.write(b"f" * 10_000)


async def serve_when_thawed(side):
    while (request := await side.take_request()) is not None:
        await side.server.thawed.wait()
        side.answer(b"thawed " + request.target.encode())


class CallerScenario:
    """Bring one request to a chosen step, then act on it."""

    def __init__(self, step=None, services=None):
        self.step = step
        self.services = services

    async def start(self):
        self.rig = Rig(self.services or make_services(slots_per_instance=1))
        self.server = self.rig.servers["s1"]
        self.server.make_thaw()
        self.blocker = None
        prepare = getattr(self, "reach_" + (self.step or "idle").replace(" ", "_"))
        await prepare()

    async def reach_idle(self):
        pass

    async def reach_sending_a_body(self):
        self.caller = self.rig.open_caller()
        self.caller.send("POST", "/orders/k", b"half", [("content-length", "8")], chunked=None)
        self.missing = b"more"
        await settle()

    async def reach_streaming_a_body(self):
        self.caller = self.rig.open_caller()
        self.caller.send("POST", "/orders/k", b"u" * 100_000, [("content-length", "200000")], None)
        self.missing = b"u" * 100_000
        await until(lambda: self.server.requests, "the head of the upload at the server")

    async def reach_held_for_a_move(self):
        self.rig.placement.owners["k"] = FakeAssignment("unit of k", "s1", 2, pending=True)
        self.caller = self.rig.begin("POST", "/orders/k", b"order")
        await until(lambda: self.rig.router.held_count("orders"), "a held request")

    async def reach_queued_for_a_slot(self):
        self.server.default = serve_when_thawed
        self.blocker = self.rig.begin("POST", "/orders/k", b"blocker")
        await until(lambda: self.server.runs, "a request that takes the slot")
        self.caller = self.rig.begin("POST", "/orders/k", b"order")
        await until(self.rig.router.waiting_count, "a queued request")

    async def reach_connecting(self):
        self.server.connect_gate = asyncio.Event()
        self.caller = self.rig.begin("POST", "/orders/k", b"order")
        await until(lambda: self.server.connecting, "a connection being opened")

    async def reach_waiting(self):
        self.server.default = serve_when_thawed
        self.caller = self.rig.begin("POST", "/orders/k", b"order")
        await until(lambda: self.server.runs, "a running request")

    async def reach_receiving_a_file(self):
        self.server.default = serve_file
        self.caller = self.rig.open_caller()
        self.caller.send("GET", "/files/k")
        self.caller.finish()
        self.caller.reading = asyncio.ensure_future(self.caller.read_answer())
        await until(lambda: len(self.caller.body) > 100_000, "the first part of the file")

    def remove_obstacle(self):
        """Let the request go on from the step that it has reached."""
        self.server.thawed.set()
        if self.server.connect_gate:
            self.server.connect_gate.set()
        if self.step in ("sending a body", "streaming a body"):
            self.caller.send_rest(self.missing)
            self.caller.finish()
            self.caller.reading = asyncio.ensure_future(self.caller.read_answer())
        if self.step == "held for a move":
            self.rig.placement.change("k", FakeAssignment("unit of k", "s1", 2))

    async def leave(self):
        await self.start()
        self.caller.leave()
        await settle(200)
        self.remove_blocker()
        await settle(200)
        await self.look()

    def remove_blocker(self):
        if self.blocker:
            self.server.thawed.set()
        elif self.server.connect_gate:
            self.server.connect_gate.set()

    async def look(self):
        """Record what is left behind, then close everything."""
        await settle(100)
        router = self.rig.router
        self.left = (router.active_count, router.waiting_count(), router.held_count("orders"))
        self.slots_taken = sum(
            state.in_flight
            for route in router._routes.values()
            for state in route.servers._states.values()
        )
        bodies = (b"order", b"half", b"u" * 100_000)
        own = [r for r in self.server.runs if r.body in bodies or r.target == "/files/k"]
        self.runs = len(own)
        sides = [
            side
            for side in self.server.sides
            if any(r.body != b"blocker" for r in side.requests) or not self.blocker
        ]
        self.connection = "none"
        if sides and sides[0].requests:
            self.connection = "closed" if sides[0].is_closed_by_router else "open"
        await self.rig.close()

    async def stop(self):
        await self.start()
        self.rig.router.begin_stop()
        stopping = asyncio.ensure_future(self.rig.http.stop(600_000))
        await settle()
        late = await self.rig.ask("POST", "/orders/late", b"late")
        self.late_told = late.told
        self.remove_obstacle()
        await until(self.caller.reading.done, "an answer")
        self.cut_off = await stopping
        await self.rig.close()

    async def send_raw(self, raw):
        await self.start()
        caller = self.rig.open_caller()
        caller.channel.transport.write(raw)
        await settle(200)
        self.raw_answer = bytes(caller.channel.transport.peer.sent)
        caller.leave()
        self.request_count = len(self.server.requests)
        await self.rig.close()

    async def send_spoofed(self):
        await self.start()
        headers = [("nutmeglead-epoch", "99"), ("connection", "host, x-drop"), ("x-drop", "1")]
        await self.rig.ask("POST", "/orders/k", b"whole body", headers)
        self.seen = self.server.runs[0]
        await self.rig.close()

    async def repeat(self, idempotency_key):
        await self.start()
        self.server.default = reset_after_request
        headers = [("nutmeglead-idempotency-key", idempotency_key)]
        first = await self.rig.ask("POST", "/orders/k", b"order", headers)
        self.rig.placement.change("k", FakeAssignment("unit of k", "s2", 2))
        second = await self.rig.ask("POST", "/orders/k", b"order", headers)
        self.told = (first.told, second.told)
        runs = [server.runs[0] for server in self.rig.servers.values()]
        self.keys = [run.headers.get(b"nutmeglead-idempotency-key") for run in runs]
        await self.rig.close()

    async def stall(self, behaviour):
        await self.start()
        self.sent_ahead = 0
        if behaviour == "does not read its file":
            self.server.default = serve_file
            self.caller = self.rig.open_caller()
            self.caller.channel.transport.pause_reading()
            self.caller.send("GET", "/files/k")
            self.caller.finish()
            await settle(2000)
            self.sent_ahead = len(self.server.sides[0].channel.transport.sent)
        elif behaviour == "stops inside a small body":
            await self.reach_sending_a_body()
        else:
            await self.reach_streaming_a_body()
        await self.rig.advance(1100, 100)
        self.caller.channel.transport.resume_reading()
        reading = asyncio.ensure_future(self.caller.read_answer())
        await until(reading.done, "an answer or a cut")
        await self.look()

    async def send_long_chunks(self, size_bytes):
        await self.start()
        self.caller = self.rig.open_caller()
        self.caller.send("POST", "/orders/k", b"u" * size_bytes, chunked=True)
        reading = asyncio.ensure_future(self.caller.read_answer())
        await until(reading.done, "an answer")
        await self.look()


@given("a router with one busy or moving server for {step}")
def step_router(context, step):
    context.callers = CallerScenario(step)


@given("a router with idle servers")
def step_idle(context):
    context.callers = CallerScenario()


@given("a router with idle servers and bodies of at most {limit:d} bytes")
def step_limited(context, limit):
    context.callers = CallerScenario(services=make_services(max_body_bytes=limit))


@when("the caller leaves while its request is {step}")
def step_leave(context, step):
    run(context.callers.leave)


@when("a caller sends the raw request {request}")
def step_raw(context, request):
    run(context.callers.send_raw, RAW_REQUESTS[request])


@when("a caller sends its own epoch 99 and a Connection header that names Host")
def step_spoof(context):
    run(context.callers.send_spoofed)


@given("a router whose first server resets after the request and whose key then moves")
def step_resetting(context):
    context.callers = CallerScenario()


@when('a caller sends an order with idempotency key "{key}" twice')
def step_repeat(context, key):
    run(context.callers.repeat, key)


@then('the first sending is told "{first}" and the second "{second}"')
def step_told_twice(context, first, second):
    assert context.callers.told == (first, second), context.callers.told


@then('both owners got the idempotency key "{key}"')
def step_keys(context, key):
    assert context.callers.keys == [key.encode()] * 2, context.callers.keys


@when("a caller does not read its file")
def step_slow_reader(context):
    run(context.callers.stall, "does not read its file")


@when("a caller stops inside {what}")
def step_slow_sender(context, what):
    run(context.callers.stall, f"stops inside {what}")


@when("a caller sends a chunked body of {size:d} bytes")
def step_long_chunks(context, size):
    run(context.callers.send_long_chunks, size)


@when("the router is told to stop while a request is {step}")
def step_stop(context, step):
    run(context.callers.stop)


@when("the obstacle is removed")
def step_obstacle(context):
    assert context.callers.caller.reading.done()


@then("the server ran {runs:d} requests of that caller")
def step_runs(context, runs):
    assert context.callers.runs == runs, context.callers.runs


@then("the caller's backend connection is {state}")
def step_connection(context, state):
    assert context.callers.connection == state, context.callers.connection


@then("no slot, queue place or held place stays taken")
def step_nothing_left(context):
    assert context.callers.left == (0, 0, 0), context.callers.left
    assert context.callers.slots_taken == 0, context.callers.slots_taken


@then("the raw answer has status {status:d} and the outcome not-run")
def step_raw_answer(context, status):
    answer = context.callers.raw_answer
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:200]
    assert b"nutmeglead-outcome: not-run" in answer, answer[:200]


@then("no server got a request")
def step_no_request(context):
    assert context.callers.request_count == 0


@then("the server got epoch 1 and the whole body")
def step_seen(context):
    assert context.callers.seen.epoch == 1
    assert context.callers.seen.body == b"whole body"
    assert b"x-drop" not in context.callers.seen.headers


@then("the router reads at most 1 MiB ahead of the caller")
def step_ahead(context):
    assert context.callers.sent_ahead <= MIB, context.callers.sent_ahead


@then('after the stall limit the caller is told "{told}"')
def step_stall_told(context, told):
    assert context.callers.caller.told == told, context.callers.caller.told


@then('the caller is answered "{told}"')
def step_answered(context, told):
    assert context.callers.caller.told == told, context.callers.caller.told


@then("the request gets its whole answer")
def step_whole(context):
    assert context.callers.caller.told == "200 whole", context.callers.caller.told
    assert context.callers.cut_off == 0


@then('a request that comes later is told "{told}"')
def step_late(context, told):
    assert context.callers.late_told == told, context.callers.late_told
