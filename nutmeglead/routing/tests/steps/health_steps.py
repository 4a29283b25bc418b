"""Steps for servers that the router leaves alone."""

from behave import given, then, when

from nutmeglead._generated.settings.ttypes import EjectionSettings
from nutmeglead.routing.tests.fake_server import serve_healthily
from nutmeglead.routing.tests.memory_wire import settle
from nutmeglead.routing.tests.rig import Rig, make_services, run
from nutmeglead.routing.tests.server_faults import FAULTS
from nutmeglead.routing.timers import sleep_until


class HealthScenario:
    """Let one server misbehave towards lookups, heal it, and send one more request."""

    def __init__(self, ejection_ms):
        ejection = EjectionSettings(base_ejection_ms=ejection_ms)
        self.services = make_services(ejection=ejection)
        # The order goes to the service whose requests met the misbehaviour.
        self.services[0].idempotent = False

    async def play(self, count, behaviour):
        self.rig = Rig(self.services)
        self.server = self.rig.servers["s1"]
        self.server.make_thaw()
        await getattr(self, "_" + behaviour.replace(" ", "_"))(count)
        self.server.default = serve_healthily
        self.rig.router.pool.close()
        await settle()
        before, started_ms = len(self.server.requests), self.rig.clock.now_ms()
        caller = self.rig.begin("POST", "/lookups/order", b"order")
        self.during = 0
        await settle(100)
        while not caller.is_whole:
            self.during = len(self.server.requests) - before
            await self.rig.advance(10)
        self.told = caller.told
        self.duration_ms = self.rig.records[-1].duration_ms
        assert self.rig.clock.now_ms() - started_ms <= 1000
        await self.rig.close()

    async def _ask(self, count, time_left_ms=900, leaves=False):
        for number in range(count):
            headers = [("nutmeglead-deadline-ms", str(time_left_ms))]
            caller = self.rig.begin("POST", f"/lookups/k{number}", b"x", headers)
            await settle(60)
            if leaves:
                caller.leave()
            while not (caller.is_whole or caller.is_cut):
                await self.rig.advance(10)

    async def _resets_every_request(self, count):
        self.server.default = FAULTS["resets after the request"]
        await self._ask(count)

    async def _resets_or_loses_callers(self, count):
        for _ in range(count // 2):
            self.server.scripts.append(FAULTS["stays silent"])
            await self._ask(1, leaves=True)
            self.server.scripts.append(FAULTS["resets after the request"])
            await self._ask(1)

    async def _sheds_every_request(self, count):
        self.server.default = FAULTS["sheds load"]
        await self._ask(count)

    async def _loses_every_caller(self, count):
        self.server.default = FAULTS["stays silent"]
        await self._ask(count, leaves=True)

    async def _gets_short_deadlines(self, count):
        async def take_50_ms(side):
            while (request := await side.take_request()) is not None:
                timers = self.rig.timers
                await sleep_until(timers, timers.clock.now_ms() + 50)
                side.answer(request.body)

        self.server.default = take_50_ms
        await self._ask(5)
        await self._ask(count, time_left_ms=20)


@given("ejections that begin with {ejection:d} ms")
def step_ejection(context, ejection):
    context.health = HealthScenario(ejection)


@when("{count:d} lookups meet a server that {behaviour}")
def step_misbehaves(context, count, behaviour):
    context.misbehaviour = (count, behaviour)


@when("then an order comes")
def step_order(context):
    run(context.health.play, *context.misbehaviour)


@then('the order is answered "{told}" after {time:d} ms')
def step_answered(context, told, time):
    assert context.health.told == told, context.health.told
    # The wait ends with the first tick of 50 ms after the ejection.
    assert time <= context.health.duration_ms <= time + 50, context.health.duration_ms


@then("the server got {during:d} requests while the order waited")
def step_during(context, during):
    assert context.health.during == during, context.health.during
