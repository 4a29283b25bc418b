"""Steps for the turns of costly steps, on virtual time."""

import asyncio
import socket
from collections import Counter

from behave import given, then, when

from nutmeglead.emulator.virtual_time import VirtualLoop, run_virtual
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.http.turns import Turns, TurnTaker

IP = "127.0.0.1"
SOCKET_BUFFER_BYTES = 1_048_576
LIMITS = CallerLimits(16_384, 65_536, 30_000, 60_000)
FIELD = b"x: v\r\n"
# Some requests of the crowd have been begun when the ordinary one arrives.
BEGUN_BEFORE = 20


def large_head(size_bytes):
    return b"GET /large HTTP/1.1\r\nhost: a\r\n" + FIELD * (size_bytes // len(FIELD)) + b"\r\n"


class HeadCrowd:
    """Send large heads to a server, and record in which pass of its loop each was begun."""

    def __init__(self, connection_count, request_count, head_bytes):
        self._connection_count = connection_count
        self._sent = large_head(head_bytes) * request_count
        self._expected = connection_count * request_count
        self._pass_number = 0
        self.begun = Counter()
        self.begun_since = None

    async def _answer(self, exchange):
        if exchange.head.target == b"/ordinary":
            self.begun_since = self.begun.total() - self._begun_at_arrival
        else:
            self.begun[self._pass_number] += 1
        await exchange.respond(200, [], b"")

    async def _count_passes(self):
        while True:
            self._pass_number += 1
            await asyncio.sleep(0)

    async def run(self, clock, with_ordinary=False):
        server = PipelineServer(self._answer, lambda: LIMITS, clock)
        self._port = await server.start(IP, 0)
        counting = asyncio.get_running_loop().create_task(self._count_passes())
        sockets = [self._connect(self._sent) for _ in range(self._connection_count)]
        if with_ordinary:
            await self._pass_until(lambda: self.begun.total() >= BEGUN_BEFORE)
            sockets.append(self._connect(b"GET /ordinary HTTP/1.1\r\nhost: a\r\n\r\n"))
            connection_count = len(sockets)
            await self._pass_until(lambda: len(server.connections) == connection_count)
            self._begun_at_arrival = self.begun.total()
        await self._pass_until(lambda: self.begun.total() >= self._expected)
        counting.cancel()
        await server.close()
        for each in sockets:
            each.close()

    async def _pass_until(self, is_done):
        while not is_done():
            await asyncio.sleep(0)

    def _connect(self, sent):
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        caller.connect((IP, self._port))
        caller.setblocking(False)
        caller.sendall(sent)
        return caller


class CancellingTurns(Turns):
    """Cancel a task when the first turn is given to one that waits for it."""

    cancelled = None

    def _give_next(self):
        super()._give_next()
        if self.cancelled is not None:
            self.cancelled.cancel()
            self.cancelled = None


class TurnOrder:
    """Record the order in which connections get their turns."""

    def __init__(self, turns=None):
        self.turns = turns or Turns()
        self.order = []

    async def take(self, name, taker, count=1):
        for _ in range(count):
            await self.turns.take(taker)
            self.order.append(name)


@given(
    "{connections:d} connections that send {requests:d} requests with heads of {size:d} bytes ahead each"
)
def step_crowd(context, connections, requests, size):
    context.crowd = HeadCrowd(connections, requests, size)


@when("all of them have been begun")
def step_begun(context):
    run_virtual(context.crowd.run, VirtualLoop())


@when("an ordinary request arrives behind them")
def step_ordinary(context):
    run_virtual(lambda clock: context.crowd.run(clock, with_ordinary=True), VirtualLoop())


@then("at most {count:d} of them was begun in a pass of the event loop")
def step_at_most(context, count):
    assert max(context.crowd.begun.values()) <= count, context.crowd.begun.most_common(3)


@then("it is begun while fewer than {count:d} of them have been begun since")
def step_since(context, count):
    assert context.crowd.begun_since < count, context.crowd.begun_since


@given("{count:d} connections that want {turns:d} turns each")
@given("{count:d} connections that want {turns:d} turn each")
def step_want(context, count, turns):
    context.count, context.turn_count = count, turns


@when("another one wants its first turn after {begun:d} turns")
def step_another(context, begun):
    async def run(clock):
        context.turn_order = turn_order = TurnOrder()
        tasks = [
            asyncio.ensure_future(turn_order.take("crowd", TurnTaker(), context.turn_count))
            for _ in range(context.count)
        ]
        while len(turn_order.order) < begun:
            await asyncio.sleep(0)
        context.before = len(turn_order.order)
        await turn_order.take("another", TurnTaker())
        await asyncio.gather(*tasks)

    run_virtual(run, VirtualLoop())


@then("it gets it after at most {count:d} other turn")
def step_after(context, count):
    position = context.turn_order.order.index("another")
    assert position - context.before <= count, (position, context.before)


@given("{_count:d} connection that has had {turns:d} turns and wants another")
def step_had(context, _count, turns):
    context.taker = TurnTaker()
    context.taker.turn_count = turns


@when("{count:d} new connections want a turn each")
def step_new(context, count):
    async def run(clock):
        context.turn_order = turn_order = TurnOrder()
        first = asyncio.ensure_future(turn_order.take("first", TurnTaker()))
        waiting = asyncio.ensure_future(turn_order.take("old", context.taker))
        await asyncio.sleep(0)
        arrivals = [
            asyncio.ensure_future(turn_order.take("new", TurnTaker())) for _ in range(count)
        ]
        await asyncio.gather(first, waiting, *arrivals)

    run_virtual(run, VirtualLoop())


@then("it gets its turn after at most {count:d} of them")
def step_not_passed(context, count):
    order = context.turn_order.order
    assert order[: order.index("old")].count("new") <= count, order.index("old")


@when("the second one is cancelled as it is given its turn")
def step_cancelled(context):
    async def run(clock):
        turns = CancellingTurns()
        context.turn_order = turn_order = TurnOrder(turns)
        tasks = [
            asyncio.ensure_future(turn_order.take(number, TurnTaker()))
            for number in range(context.count)
        ]
        turns.cancelled = tasks[1]
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtual(run, VirtualLoop())


@then("the others have had theirs")
def step_others(context):
    assert context.turn_order.order == [0, 2], context.turn_order.order
