"""Steps for requests that meet a move."""

from behave import given, then, when

from nutmeglead.routing.tests.memory_wire import settle, until
from nutmeglead.routing.tests.rig import FakeAssignment, Rig, make_services, run

OLD = FakeAssignment("unit of k", "s1", 1)
MOVING = FakeAssignment("unit of k", "s2", 2, pending=True)
MOVED = FakeAssignment("unit of k", "s2", 2)


async def refuse_epoch(side):
    while (request := await side.read_head()) is not None:
        await side.read_rest(request)
        side.answer(b"{}", 421, b"nutmeglead-refusal: epoch-mismatch\r\n")


async def refuse_until_granted(side):
    while (request := await side.read_head()) is not None:
        await side.read_rest(request)
        if side.server.thawed.is_set():
            side.server.runs.append(request)
            side.answer(request.body)
        else:
            side.answer(b"{}", 421, b"nutmeglead-refusal: not-owner\r\n")


async def run_then_reset(side):
    await side.take_request()
    side.channel.transport.abort()


async def never_answer(side):
    await side.read_head()
    await side.server.thawed.wait()
    side.channel.transport.abort()


class MoveScenario:
    """Play one move with a few orders; callers keep what they were told."""

    def __init__(self, situation):
        self.situation = situation
        self.tried = 0

    async def play(self):
        self.rig = Rig(make_services(slots_per_instance=1))
        self.old, self.new = self.rig.servers["s1"], self.rig.servers["s2"]
        for server in (self.old, self.new):
            server.make_thaw()
        self.callers = []
        await getattr(self, "_" + self.situation.replace(" ", "_"))()
        for caller in self.callers:
            await until(caller.reading.done, "an answer to an order")
        self.tried = self.tried or len(self.new.requests)
        await self.rig.close()

    async def send_orders(self, count=3):
        for number in range(count):
            # The last order has the earliest deadline.
            deadline = [("nutmeglead-deadline-ms", str(900 - number))]
            body = f"order {number}".encode()
            self.callers.append(self.rig.begin("POST", "/orders/k", body, deadline))
        await settle()

    def put(self, assignment):
        self.rig.placement.change("k", assignment)

    async def _is_pending_and_then_done(self):
        self.put(MOVING)
        await self.send_orders()
        await self.rig.advance(40)
        self.put(MOVED)

    async def _moved_while_the_old_owner_refuses(self):
        self.put(OLD)
        self.old.default = refuse_epoch
        await self.send_orders()
        await self.rig.advance(120)
        self.put(MOVED)
        await self.rig.advance(100)

    async def _is_served_though_the_map_says_pending(self):
        self.put(MOVING)
        await self.send_orders()
        # One trial after 50 ms is enough for all.
        await self.rig.advance(60)

    async def _has_an_owner_that_gets_its_grant_later(self):
        self.put(MOVED)
        self.new.default = refuse_until_granted
        await self.send_orders()
        await self.rig.advance(200)
        self.new.thawed.set()
        await self.rig.advance(100)

    async def _never_gets_ready(self):
        self.put(MOVING)
        self.new.default = refuse_epoch
        await self.send_orders()
        await self.rig.advance(600)

    async def _is_refused_at_its_own_epoch(self):
        self.put(MOVED)
        self.new.default = refuse_epoch
        await self.send_orders()
        await self.rig.advance(600)

    async def _has_an_owner_that_is_silent(self):
        self.rig = Rig(make_services(slots_per_instance=4))
        self.new = self.rig.servers["s2"]
        self.new.make_thaw()
        self.put(MOVING)
        self.new.default = never_answer
        await self.send_orders()
        await self.rig.advance(300)
        self.tried = len(self.new.requests)
        self.new.thawed.set()
        await self.rig.advance(900)

    async def _has_the_address_of_its_gate(self):
        await self._send_unchecked(True)

    async def _has_the_address_of_the_server(self):
        await self._send_unchecked(False)

    async def _send_unchecked(self, gates):
        self.rig = Rig(make_services(checks_grants=False))
        self.rig.placement.gates = gates
        await self.send_orders()
        await self.rig.advance(600)

    async def _has_no_owner_for_a_while(self):
        self.put(FakeAssignment("unit of k", None, 1))
        await self.send_orders()
        await self.rig.advance(300)
        self.put(MOVED)

    async def _has_no_owner_for_long(self):
        self.put(FakeAssignment("unit of k", None, 1))
        await self.send_orders()
        await self.rig.advance(600)

    async def _has_an_owner_without_an_address(self):
        self.put(FakeAssignment("unit of k", "s9", 1))
        await self.send_orders()
        await self.rig.advance(600)

    async def _moves_while_orders_wait_for_a_slot(self):
        self.put(OLD)
        self.old.default = never_answer
        self.rig.begin("GET", "/orders/other")
        await settle()
        await self.send_orders()
        self.put(MOVED)
        await settle(200)
        self.old.thawed.set()

    async def _moves_after_an_order_reached_the_owner(self):
        self.put(OLD)
        self.old.default = run_then_reset
        await self.send_orders(1)
        self.put(MOVED)
        await self.rig.advance(300)

    async def bounded(self, bound):
        limits = {"count": {"handover_max_count": 8}, "bytes": {"handover_max_bytes": 500}}
        self.rig = Rig(make_services(**limits[bound]))
        self.put(MOVING)
        callers = [self.rig.begin("POST", "/orders/k", b"x" * 100) for _ in range(9)]
        await settle(200)
        self.told_at_once = [caller.told for caller in callers if caller.is_whole]
        self.put(MOVED)
        await settle(200)
        assert all(caller.is_whole for caller in callers)
        await self.rig.close()

    async def warm(self):
        self.rig = Rig()
        self.put(MOVING)
        await settle()
        self.idle = [self.rig.router.pool.open_count(("orders", s)) for s in ("s1", "s2")]
        await self.rig.close()


@given("orders for a unit that {situation}")
def step_situation(context, situation):
    context.move = MoveScenario(situation)


@given("orders for a server without checks whose address is that of {address}")
def step_unchecked(context, address):
    context.move = MoveScenario(f"has the address of {address}")


@given("a unit that is moving and a bound on the {bound}")
def step_bound(context, bound):
    context.move = MoveScenario(None)
    context.bound = bound


@given("a router whose map names a new server")
def step_new_server(context):
    context.move = MoveScenario(None)
    run(context.move.warm)


@when("the situation has run its course")
def step_play(context):
    run(context.move.play)


@when("9 orders of 100 bytes come for it")
def step_bounded(context):
    run(context.move.bounded, context.bound)


@then('each order is told "{told}"')
def step_told(context, told):
    assert [c.told for c in context.move.callers] == [told] * len(context.move.callers), [
        c.told for c in context.move.callers
    ]


@then("the old owner ran {old:d} and the new owner ran {new:d} orders")
def step_runs(context, old, new):
    orders = [[r.body for r in s.runs if r.body] for s in (context.move.old, context.move.new)]
    assert [len(bodies) for bodies in orders] == [old, new], orders
    assert all(len(set(bodies)) == len(bodies) for bodies in orders), orders


@then("the new owner got the orders in deadline order at the new epoch")
def step_order(context):
    runs = context.move.new.runs
    assert [r.body for r in runs] == [b"order 2", b"order 1", b"order 0"], [r.body for r in runs]
    assert {r.epoch for r in runs} == {2}


@then("the owner got from {least:d} to {most:d} requests")
def step_tried(context, least, most):
    assert least <= context.move.tried <= most, context.move.tried


@then('{count:d} orders are refused at once with "{told}"')
def step_refused(context, count, told):
    assert context.move.told_at_once == [told] * count, context.move.told_at_once


@then("one idle connection to each server is open")
def step_warm(context):
    assert context.move.idle == [1, 1], context.move.idle
