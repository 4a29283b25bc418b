"""Steps for the gate of servers that do not check grants."""

import asyncio
import random

from behave import given, then, when

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    Grant,
    GrantReply,
    OrderStatus,
    ReleaseReply,
    ReleaseUnits,
    RenewLease,
    RenewReply,
    RenewStatus,
    SetGrants,
)
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.codec import decode, encode
from nutmeglead.http.server import HttpServer
from nutmeglead.ownership.keys import Unit, hash_key
from nutmeglead.routing.gate import GateService
from nutmeglead.routing.tests.fake_server import FakeServer, serve_healthily
from nutmeglead.routing.tests.memory_wire import join_channel, settle, until
from nutmeglead.routing.tests.rig import DEADLINE_MS, Caller, make_services, run
from nutmeglead.routing.tests.server_faults import close_after_request, stay_silent
from nutmeglead.routing.timers import ManualTimers

HOLDER = "orders/s1"
NODES = ["n1", "n2", "n3"]
BUCKETS = 16
UNIT = Unit.of_bucket(hash_key("k") >> 60)
SCRIPTS = {"whole": serve_healthily, "none": stay_silent, "cut": close_after_request}


class GateScenario:
    """Send one order through a gate; control messages come from a fake controller."""

    def __init__(self, state):
        self.state = state
        self.answer = "whole"
        self.server = FakeServer()
        self.incarnation = ""
        self.caller = None
        self.replies = []

    async def begin(self):
        self.clock = ManualClock(1000)
        self.timers = ManualTimers(self.clock)
        if self.answer == "refused":
            self.server.connect_failures = 1
        else:
            self.server.default = SCRIPTS[self.answer]
        services = {s.name: s for s in make_services(checks_grants=False)}
        address = Address("192.0.2.1", 1000)
        self.gate = GateService(
            services, lambda *_: address, self.timers, random.Random(1), self.server.connect
        )
        self.http = HttpServer(self.gate.handle)
        if self.state != "never granted":
            await self.grant()
        if self.state == "lapsed":
            self.timers.advance(1500)
        if self.state == "released":
            await self.release()
        if self.state == "stopping":
            self.gate.begin_stop()

    async def control(self, operation, message, reply_type):
        """Return the decoded reply, or None if the gate gave none."""
        caller = Caller(join_channel(self.http._accept()))
        caller.send("POST", f"/_control/{operation}", encode(message))
        caller.finish()
        reading = asyncio.ensure_future(caller.read_answer())
        await until(reading.done, f"an answer to {operation}")
        return decode(reply_type, caller.body).unwrap() if caller.status == 200 else None

    def renewal(self, node_id, end_ms):
        return RenewLease(
            Sender(node_id, "i"), self.incarnation, 1, NODES, end_ms, holder_name=HOLDER
        )

    async def grant(self):
        found = await self.control("renew", self.renewal("n1", 0), RenewReply)
        self.incarnation = found.holder_incarnation
        grants = SetGrants(
            sender=Sender("c", "i"),
            role_epoch=1,
            sequence=1,
            holder_incarnation=self.incarnation,
            lease_epoch=1,
            renewer_node_ids=NODES,
            hash_buckets=BUCKETS,
            grants=[Grant(UNIT.to_id(), 1)],
            carve_outs=[],
            holder_name=HOLDER,
        )
        assert (await self.control("grants", grants, GrantReply)).status == OrderStatus.DONE
        for node_id in NODES:
            renewal = self.renewal(node_id, self.clock.now_ms() + 1000)
            reply = await self.control("renew", renewal, RenewReply)
            assert reply.status == RenewStatus.RENEWED, reply

    async def release(self):
        message = ReleaseUnits(
            sender=Sender("c", "i"),
            role_epoch=1,
            sequence=2 + len(self.replies),
            holder_incarnation=self.incarnation,
            units=[Grant(UNIT.to_id(), 1)],
            holder_name=HOLDER,
        )
        reply = await self.control("release", message, ReleaseReply)
        self.replies.append(OrderStatus(reply.status).name)

    async def renew(self):
        reply = await self.control("renew", self.renewal("n1", 9000), RenewReply)
        self.replies.append(RenewStatus(reply.status).name if reply else "nothing")

    def send_order(self, epoch):
        self.caller = Caller(join_channel(self.http._accept()))
        headers = [
            ("nutmeglead-server", HOLDER),
            ("nutmeglead-epoch", str(epoch)),
            ("nutmeglead-deadline-ms", str(DEADLINE_MS)),
        ]
        self.caller.send("POST", "/orders/k/new", b"order", headers)
        self.caller.finish()
        self.caller.reading = asyncio.ensure_future(self.caller.read_answer())

    async def order_only(self, epoch):
        await self.begin()
        self.send_order(epoch)
        await settle()
        self.timers.advance(DEADLINE_MS)
        await until(self.caller.reading.done, "an answer to the order")
        await self.end()

    async def order_and(self, action):
        """Do something twice while an order is under way: at once and after its deadline."""
        await self.begin()
        self.send_order(1)
        await settle()
        await action()
        self.timers.advance(DEADLINE_MS)
        await settle()
        self.timers.advance(DEADLINE_MS)
        await settle()
        await action()
        await self.end()

    async def order_and_stop(self):
        async def stop_and_renew():
            self.gate.begin_stop()
            await self.renew()

        await self.order_and(stop_and_renew)

    async def end(self):
        self.gate.close()
        self.server.stop()
        await self.http.stop(0)
        await settle()

    @property
    def told(self):
        headers = self.caller.headers
        reason = headers.get(b"nutmeglead-refusal") or headers.get(b"nutmeglead-outcome") or b""
        return f"{self.caller.status} {reason.decode()}".strip()


@given("a gate whose holder is {state}")
def step_gate(context, state):
    context.gate = GateScenario(state)


@given("the server's answer is {answer}")
def step_answer(context, answer):
    context.gate.answer = answer


@when("a router sends it an order at epoch {epoch:d}")
def step_order(context, epoch):
    run(context.gate.order_only, epoch)


@when("a router sends it an order at epoch 1 and the unit is released")
def step_order_release(context):
    run(context.gate.order_and, context.gate.release)


@when("a router sends it an order at epoch 1 and the gate is told to stop")
def step_order_stop(context):
    run(context.gate.order_and_stop)


@then("the router is told {told}")
def step_told(context, told):
    assert context.gate.told == told, (context.gate.told, context.gate.caller.body)


@then("the server ran {count:d} requests")
def step_runs(context, count):
    assert len(context.gate.server.runs) == count


@then("the release is {first} at once and {later} after the order's deadline")
def step_release(context, first, later):
    assert context.gate.replies == [first, later], context.gate.replies


@then("a renewal is answered {first} at once and {later} after the order's deadline")
def step_renewal(context, first, later):
    assert context.gate.replies == [first, later], context.gate.replies
