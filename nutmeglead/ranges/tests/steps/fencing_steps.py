"""Steps for releases that go on after the hold of a lost server has ended, on virtual time."""

import asyncio

from behave import given, then, when
from result import Err, Ok

from nutmeglead.core.ids import ServerId, ServiceName
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.platform.grants import GrantRefused, ServerUnreachable
from nutmeglead.ranges.fencing import HolderFencing
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.model import KeyRange, RangeMap

STOCK = ServiceName("stock")
LOST = ServerIncarnation(ServerId("s-lost"), 1)
OTHER = ServerIncarnation(ServerId("s-other"), 1)
KEYS = KeyRange(0, 99, OTHER, 7)
# Time in which an attempt to reach a server that does not answer ends.
ATTEMPT_MS = 160
RUN_MS = 40_000
# Virtual time moves in steps of its timers.
RESOLUTION_MS = 1


def _map(owner):
    return RangeMap(STOCK, [KeyRange(0, KEY_COUNT - 1, owner, 8)])


class FencingScenario:
    """Answer the releases of a fencing with `answer`, from `changed_ms` on."""

    def __init__(self, count=1):
        self.count = count
        self.answer = None
        self.changed_ms = 1_000
        self.new_owner = OTHER
        self.stops = False
        # Times of the releases, by the clock of the run, and how many were on their way at once.
        self.sent_ms = []
        self.most_at_once = 0
        self._at_once = 0

    async def fence(self, holder, keys):
        assert keys.fence == KEYS.fence, keys
        self.sent_ms.append(self._now_ms())
        self._at_once += 1
        self.most_at_once = max(self.most_at_once, self._at_once)
        try:
            if self.answer is not None and self._now_ms() >= self.changed_ms:
                return self.answer
            await asyncio.sleep(ATTEMPT_MS / 1000)
            return Err(ServerUnreachable(holder.server_id, "no answer"))
        finally:
            self._at_once -= 1

    def run(self):
        async def run(clock):
            start_ms = clock.now_ms()
            self._now_ms = lambda: clock.now_ms() - start_ms

            def current_map():
                is_changed = self._now_ms() >= self.changed_ms
                return _map(self.new_owner if is_changed else OTHER)

            fencing = HolderFencing(self, clock, current_map)
            for number in range(self.count):
                lost = LOST if number == 0 else ServerIncarnation(ServerId(f"s-{number}"), 1)
                fencing.add(lost, KEYS)
            await asyncio.sleep(self.changed_ms / 1000)
            if self.stops:
                fencing.stop()
            await asyncio.sleep((RUN_MS - self.changed_ms) / 1000)

        run_virtual(run)
        return self


@given("a lost server whose keys 0 to 99 have another owner under fence 7")
def step_lost(context):
    context.fencing = FencingScenario()


@given("{count:d} lost servers whose keys have other owners")
def step_many_lost(context, count):
    context.fencing = FencingScenario(count)


@when("the server answers from {time_ms:d} ms on")
def step_answers(context, time_ms):
    context.fencing.answer = Ok("h-1")
    context.fencing.changed_ms = time_ms


@when("the server answers nothing")
@when("none of them answers")
def step_silent(context):
    pass


@when("the server's port is closed from {time_ms:d} ms on")
def step_refused(context, time_ms):
    context.fencing.answer = Err(ServerUnreachable(LOST.server_id, "Connection refused"))
    context.fencing.changed_ms = time_ms


@when("another server answers from {time_ms:d} ms on")
def step_other(context, time_ms):
    context.fencing.answer = Err(GrantRefused(LOST.server_id, 421))
    context.fencing.changed_ms = time_ms


@when("the map gives keys to the server from {time_ms:d} ms on")
def step_regained(context, time_ms):
    context.fencing.new_owner = LOST
    context.fencing.changed_ms = time_ms


@when("this node loses its role after {time_ms:d} ms")
def step_stopped(context, time_ms):
    context.fencing.stops = True
    context.fencing.changed_ms = time_ms


@then(
    "the server is sent a release under fence 7 {count:d} times in 40 s,"
    " the last one after {last_ms:d} ms"
)
def step_sent(context, count, last_ms):
    sent_ms = context.fencing.run().sent_ms
    assert len(sent_ms) == count, (len(sent_ms), sent_ms[-3:])
    assert abs(sent_ms[-1] - last_ms) <= count * RESOLUTION_MS, sent_ms[-3:]


@then("at most {count:d} releases are on their way at a time")
def step_at_once(context, count):
    assert context.fencing.run().most_at_once <= count, context.fencing.most_at_once
