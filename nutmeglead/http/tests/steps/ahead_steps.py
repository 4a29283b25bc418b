"""Steps for requests that callers send ahead, in virtual time."""

import asyncio

from behave import given, then, when

from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.connection_limit import SocketBounds
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.held_bytes import HeldBytes
from nutmeglead.http.pipeline import PipelineServer

ADDRESS = "10.1.0.1", 80
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
MAX_SOCKETS = 12
WORK_MS = 1_000
ANSWER = b"HTTP/1.1 200 "


def request(work_ms=WORK_MS):
    return b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % work_ms


class AheadScenario:
    """Count the requests in progress at a server whose answers take the time that they name."""

    def __init__(self, memory_bytes):
        self.held = HeldBytes(memory_bytes)
        # Connections of the requests in progress.
        self.in_progress = []
        # How many requests were in progress when one began beside another one of its connection.
        self.counts_before_ahead = [0]
        self.begun_ms = {}
        self.answer_counts = []
        self.ended_ms = {}

    async def _answer(self, exchange):
        connection = exchange._connection
        if connection in self.in_progress:
            self.counts_before_ahead.append(len(self.in_progress))
        self.in_progress.append(connection)
        self.begun_ms.setdefault(connection, self.clock.now_ms())
        work_ms = int(exchange.head.target[1:])
        try:
            await asyncio.sleep(work_ms / 1000)
            self.ended_ms[work_ms] = self.clock.now_ms()
            await exchange.respond(200, [], b"")
        finally:
            self.in_progress.remove(connection)

    async def connect(self):
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        return channel

    async def call(self, count, first_count):
        """Send requests and count their answers until all have come or the connection ends."""
        channel = await self.connect()
        await channel.write(request() * first_count)
        await asyncio.sleep(0.1)
        if count > first_count:
            await channel.write(request() * (count - first_count))
        received = b""
        while received.count(ANSWER) < count and (data := await channel.read()):
            received += data
        self.answer_counts.append(received.count(ANSWER))
        channel.abort()

    def run(self, visit):
        async def run(clock):
            self.clock = clock
            self.server = PipelineServer(
                self._answer, lambda: LIMITS, clock, self.held, SocketBounds(max_total=MAX_SOCKETS)
            )
            await self.server.start(*ADDRESS)
            await visit()
            await self.server.close()

        run_virtual(run, EmulatedLoop(1))


@given("a server with {memory_bytes:d} bytes of memory")
def step_server(context, memory_bytes):
    context.ahead = AheadScenario(memory_bytes)


@when(
    "{callers:d} callers send {count:d} requests each, the first {first:d} of them 100 ms before "
    "the others"
)
def step_send(context, callers, count, first):
    ahead = context.ahead
    context.sent_counts = [count] * callers

    async def visit():
        await asyncio.gather(*(ahead.call(count, first) for _ in range(callers)))

    ahead.run(visit)


@when("{callers:d} callers send {count:d} requests each and the server begins to stop after 500 ms")
def step_send_and_stop(context, callers, count):
    ahead = context.ahead
    context.sent_counts = [count] * callers

    async def stop():
        await asyncio.sleep(0.5)
        ahead.server.begin_stop()

    async def visit():
        await asyncio.gather(stop(), *(ahead.call(count, 1) for _ in range(callers)))

    ahead.run(visit)


@when("{callers:d} callers send {count:d} requests each and 500 ms have passed")
def step_send_and_look(context, callers, count):
    ahead = context.ahead

    async def look():
        await asyncio.sleep(0.5)
        connections = ahead.server.connections
        context.unread_count = sum(connection.unread_bytes > 0 for connection in connections)

    async def visit():
        await asyncio.gather(look(), *(ahead.call(count, 1) for _ in range(callers)))

    ahead.run(visit)


@then("the second requests of at least {count:d} callers are unread")
def step_unread(context, count):
    assert context.unread_count >= count, context.unread_count


@when(
    "a caller with a request of 9000 ms sends a second one while another caller has 9 in progress"
)
def step_wait_for_room(context):
    ahead = context.ahead

    async def visit():
        slow, other = await ahead.connect(), await ahead.connect()
        await slow.write(request(9_000))
        await other.write(request() * 9)
        await asyncio.sleep(0.1)
        context.sent_ms = ahead.clock.now_ms()
        await slow.write(request(900))
        await asyncio.sleep(10)

    ahead.run(visit)


@then("the second one ends {duration_ms:d} ms after it was sent at the latest")
def step_begun(context, duration_ms):
    assert context.ahead.ended_ms[900] - context.sent_ms <= duration_ms, context.ahead.ended_ms


@then(
    "no request began beside another one of its connection while {count:d} or more were in progress"
)
def step_bound(context, count):
    assert max(context.ahead.counts_before_ahead) < count, context.ahead.counts_before_ahead


@then("{count:d} requests were in progress at once")
def step_at_once(context, count):
    assert max(context.ahead.counts_before_ahead) + 1 == count, context.ahead.counts_before_ahead


@then("the first request of each connection began at once")
def step_first(context):
    begun_ms = context.ahead.begun_ms.values()
    assert len(begun_ms) == len(context.sent_counts)
    # Nothing else passes before it than the way to the server.
    assert max(begun_ms) - min(begun_ms) < 100, begun_ms


@then("each caller got all its answers")
def step_all(context):
    assert context.ahead.answer_counts == context.sent_counts, context.ahead.answer_counts
