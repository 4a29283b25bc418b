"""Steps for the faults of servers."""

import asyncio

from behave import given, then, when

from nutmeglead.routing.tests.memory_wire import settle
from nutmeglead.routing.tests.rig import Rig, run
from nutmeglead.routing.tests.server_faults import FAULTS

REQUESTS = {
    "lookup": ("GET", "/lookups/k", b""),
    "order": ("POST", "/orders/k", b"one saw blade"),
    "upload": ("POST", "/orders/k", b"u" * 1_000_000),
    "file": ("GET", "/files/k", b""),
}


class FaultScenario:
    """Play one fault from the first request to the healthy second one, then look at the record."""

    def __init__(self, fault=None):
        self.fault = fault
        self.prepare = lambda server: None
        self.request = None
        self.pass_ms = 0
        self.pauses_on_reuse = False
        self.told = self.next_told = None

    async def play(self):
        rig = Rig()
        server = rig.servers["s1"]
        server.make_thaw()
        if self.fault:
            server.scripts.append(FAULTS[self.fault])
        self.prepare(server)
        if self.pauses_on_reuse:
            await rig.ask(*self.request)
            server.runs.clear()
            self._pause_before_acquire(rig)
        caller = rig.begin(*self.request)
        await settle(400)
        if server.connect_gate:
            # Only the clock moves: the timers of a paused process fire after it goes on.
            rig.clock.advance(2000)
            server.connect_gate.set()
            await settle(400)
        if self.pass_ms:
            await rig.advance(self.pass_ms)
        self.told = caller.told
        self.runs = len(server.runs)
        server.thawed.set()
        await settle(100)
        method, target, _ = self.request
        self.next_target = target.replace("/k", "/next")
        following = await rig.ask(method, self.next_target, b"next")
        self.next_told = following.told
        self.next_body = following.body
        await settle(100)
        self.sides = server.sides
        self.first_closed = server.sides and server.sides[0].is_closed_by_router
        await rig.close()

    def _pause_before_acquire(self, rig):
        acquire = rig.router.pool.acquire

        async def acquire_after_pause(*arguments):
            rig.clock.advance(2000)
            rig.router.pool.acquire = acquire
            return await acquire(*arguments)

        rig.router.pool.acquire = acquire_after_pause

    def execute(self):
        if self.next_told is None:
            run(self.play)


@given("a fake server that {fault} on its first connection")
def step_fault(context, fault):
    context.fault = FaultScenario(fault)


@given("a fake server whose connection {fault}")
def step_connection_fault(context, fault):
    context.fault = FaultScenario("answers unasked" if fault == "answers unasked" else None)

    def prepare(server):
        server.connect_failures = int(fault == "is refused")
        server.dies_before_first_byte = fault == "dies before the first byte"
        server.settles_after_connect = True
        context.fault.pauses_on_reuse = fault.startswith("is reused")
        if fault == "opens after a pause of the router":
            server.connect_gate = asyncio.Event()

    context.fault.prepare = prepare


@when("a caller sends a {request} and {time:d} ms pass")
def step_send(context, request, time):
    context.fault.request = REQUESTS[request]
    context.fault.pass_ms = time


@when("the server thaws")
def step_thaw(context):
    context.fault.execute()


@then("the server ran the request {runs:d} times")
def step_runs(context, runs):
    context.fault.execute()
    assert context.fault.runs == runs, context.fault.runs


@then('the caller is told "{told}"')
def step_told(context, told):
    context.fault.execute()
    assert context.fault.told == told, context.fault.told


@then("the first connection carries no other request and is closed")
def step_not_reused(context):
    first = context.fault.sides[0]
    assert len(first.requests) <= 1, first.requests
    assert context.fault.first_closed
    assert len(context.fault.sides) == 2


@then("the next caller gets the answer to its own request")
def step_next(context):
    context.fault.execute()
    assert context.fault.next_told == "200 whole", context.fault.next_told
    assert context.fault.next_target.encode() in context.fault.next_body, context.fault.next_body


@then("the next request uses the first connection")
def step_reused(context):
    assert len(context.fault.sides) == 1, context.fault.sides
    assert len(context.fault.sides[0].requests) == 2


@then("the server opened {count:d} connections")
def step_opened(context, count):
    assert len(context.fault.sides) == count
