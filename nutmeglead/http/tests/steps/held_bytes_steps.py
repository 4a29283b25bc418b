"""Steps for the bytes and the connections that a process holds for its callers."""

import asyncio
import re

from behave import given, then, when

from nutmeglead.core.clock import ManualClock
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.connection_limit import ConnectionLimit
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.held_bytes import HeldBytes
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.http.slow_readers import SlowReaderWatch

MEMORY_BYTES = 1_000_000
HEAD_TIMEOUT_MS = 3_000
ADDRESS = "10.1.0.1", 80
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
# Longer than any timeout of a request or a connection.
END_MS = 60_000
# Within it, what was sent has arrived and no timeout is over.
MEANWHILE_S = 1.0
SHORT_FIELD = b"x: v\r\n"


def post(size_bytes):
    return b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size_bytes


class HoldingServer:
    """Hold a server in virtual time and what its callers have got."""

    def __init__(self, limit_bytes):
        self.limits = CallerLimits(16_384, limit_bytes, HEAD_TIMEOUT_MS, 15_000)
        self.held = HeldBytes(MEMORY_BYTES)
        self.work_ms = 0
        self.received = {}

    async def _answer(self, exchange):
        await asyncio.sleep(self.work_ms / 1000)
        await exchange.respond(200, [], b"")

    async def _connect(self):
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        return channel

    async def _read(self, name, channel):
        self.received[name] = b""
        while data := await channel.read():
            self.received[name] += data

    def run(self, visit):
        async def run(clock):
            self.server = PipelineServer(self._answer, lambda: self.limits, clock, self.held)
            await self.server.start(*ADDRESS)
            await visit(clock)
            await asyncio.sleep(END_MS / 1000)
            self.connection_count = len(self.server.connections)

        run_virtual(run, EmulatedLoop(1))

    async def announce_two(self, earlier_bytes, pause_ms, later_bytes):
        earlier, later = await self._connect(), await self._connect()
        await earlier.write(post(earlier_bytes) + b"x" * (earlier_bytes // 2))
        await asyncio.sleep(pause_ms / 1000)
        reading = [
            asyncio.create_task(self._read("earlier", earlier)),
            asyncio.create_task(self._read("later", later)),
        ]
        await later.write(post(later_bytes) + b"x" * later_bytes)
        await asyncio.sleep(0.1)
        if earlier.is_open:
            await earlier.write(b"x" * (earlier_bytes - earlier_bytes // 2))
        await asyncio.sleep(1)
        for channel in (earlier, later):
            channel.abort()
        await asyncio.gather(*reading)

    async def stop_short_behind(self, clock):
        channel = await self._connect()
        started_ms = clock.now_ms()
        await channel.write(GET + post(100) + b"x" * 50)
        await self._read("caller", channel)
        self.duration_ms = clock.now_ms() - started_ms

    async def leave(self, data):
        channel = await self._connect()
        await channel.write(data)
        await asyncio.sleep(0.5)
        channel.abort()

    async def send_each(self, count, data):
        channels = [await self._connect() for _ in range(count)]
        reading = [
            asyncio.create_task(self._read(number, channel))
            for number, channel in enumerate(channels)
        ]
        for channel in channels:
            await channel.write(data)
        await asyncio.sleep(MEANWHILE_S)
        self.held_meanwhile_bytes = self.held.total_bytes
        self.parsers = [
            exchange._parser
            for connection in self.server.connections
            for exchange in connection._handlers.values()
        ]
        await asyncio.gather(*reading)


@given("a server that takes bodies of up to {limit_bytes:d} bytes")
def step_server(context, limit_bytes):
    context.holding = HoldingServer(limit_bytes)


@given("its answers take {work_ms:d} ms")
def step_work(context, work_ms):
    context.holding.work_ms = work_ms


@when(
    "one caller has sent half of a body of {earlier:d} bytes, and after {pause_ms:d} ms another one "
    "sends {later:d} bytes"
)
def step_announce(context, earlier, pause_ms, later):
    holding = context.holding
    holding.run(lambda clock: holding.announce_two(earlier, pause_ms, later))


@then("the {name} one gets {status:d}")
def step_status(context, name, status):
    received = context.holding.received[name]
    assert received.startswith(b"HTTP/1.1 %d " % status), received
    is_refusal = status in (413, 503)
    assert (b"nutmeglead-outcome: not-run" in received) == is_refusal, received
    assert bool(re.search(rb"retry-after: \d", received)) == (status == 503), received


@then("nothing is held in the end")
def step_nothing(context):
    assert context.holding.held.total_bytes == 0, context.holding.held.total_bytes
    assert context.holding.connection_count == 0


@when("a caller sends a request and half of a second one")
def step_stop_short(context):
    context.holding.run(context.holding.stop_short_behind)


@then("the connection ends {duration_ms:d} ms later at the latest, after the first answer")
def step_ends(context, duration_ms):
    holding = context.holding
    assert holding.received["caller"].count(b"HTTP/1.1 200") == 1, holding.received
    assert holding.duration_ms <= duration_ms, holding.duration_ms


@when("a caller sends {what} and leaves")
def step_leave(context, what):
    data = {
        "half of a body": post(200_000) + b"x" * 100_000,
        "a whole body": post(200_000) + b"x" * 200_000,
        "two requests and half a head": GET + GET + GET[:-10],
    }[what]
    context.holding.run(lambda clock: context.holding.leave(data))


class SlowCaller:
    """A connection with 100,000 unsent bytes, of which its caller takes a part now and then."""

    peer_ip = "10.1.0.2"

    def __init__(self):
        self.bytes_written = self.unsent_bytes = 100_000
        self.is_closed = False

    def end_slow_reader(self):
        self.is_closed = True


@given("a caller that takes {taken} of an answer every {interval_ms:d} ms, while {room} is left")
def step_slow_caller(context, taken, interval_ms, room):
    context.caller = SlowCaller()
    context.taken_bytes = 0 if taken == "nothing" else 100
    context.interval_ms = interval_ms
    context.held = HeldBytes(MEMORY_BYTES)
    context.held.add(390_000 if room == "little" else 0)


@when("{duration_ms:d} ms have passed")
def step_pass(context, duration_ms):
    async def run(clock):
        watch = SlowReaderWatch(context.held, clock)
        watch.update(context.caller)
        for _ in range(duration_ms // context.interval_ms):
            await asyncio.sleep(context.interval_ms / 1000)
            context.caller.unsent_bytes -= context.taken_bytes

    run_virtual(run, EmulatedLoop(1))


@then("the caller is {state}")
def step_state(context, state):
    assert context.caller.is_closed == (state == "closed")


class OpenConnection:
    def __init__(self, name, waiting_since_ms):
        self.name = name
        self.is_idle = name == "idle"
        self.waiting_since_ms = waiting_since_ms
        self.is_closed = False

    def give_way(self):
        self.is_closed = True


# The names of the connections that wait for their callers, in the order in which they began to.
WAITING = {
    "all answer a request": [],
    "2 are idle": ["idle", "other"],
    "2 have half a request": ["first", "second"],
    "1 has half a request, 1 is idle": ["first", "idle"],
}


@given("4 connections of 4, of which {which} for {waiting_ms:d} ms")
def step_connections(context, which, waiting_ms):
    context.clock = ManualClock(10_000)
    since_ms = context.clock.now_ms() - waiting_ms
    waiting = [OpenConnection(name, since_ms + n) for n, name in enumerate(WAITING[which])]
    for connection in waiting:
        connection.is_idle |= which == "2 are idle"
    busy = [OpenConnection("busy", None) for _ in range(4 - len(waiting))]
    context.connections = busy + waiting


@when("another one arrives")
def step_arrives(context):
    limit = ConnectionLimit(HeldBytes(), context.clock, 4)
    # The first ones have waited for a millisecond longer than the others.
    context.clock.advance(1)
    context.is_admitted = limit.admit(context.connections, "10.1.0.2")


@then("it is {admitted} and the closed ones are: {closed}")
def step_admitted(context, admitted, closed):
    assert context.is_admitted == (admitted == "admitted")
    names = [connection.name for connection in context.connections if connection.is_closed]
    assert names == ([] if closed == "0" else [closed]), names


@when("{count:d} callers send one request each with {fields:d} short headers")
def step_short_headers(context, count, fields):
    holding = context.holding
    data = GET.removesuffix(b"\r\n") + SHORT_FIELD * fields + b"\r\n"
    holding.run(lambda clock: holding.send_each(count, data))


@then("{answered:d} of them are answered and the others are refused with 503")
def step_some_answered(context, answered):
    received = list(context.holding.received.values())
    refused = [each for each in received if each.startswith(b"HTTP/1.1 503")]
    assert sum(each.startswith(b"HTTP/1.1 200") for each in received) == answered, received
    assert len(refused) == len(received) - answered, received
    assert all(b"nutmeglead-outcome: not-run" in each for each in refused), refused


@when("a caller sends {count:d} requests of {size_bytes:d} bytes ahead")
def step_ahead(context, count, size_bytes):
    holding = context.holding
    head = GET.removesuffix(b"\r\n") + b"x: "
    data = head + b"v" * (size_bytes - len(head) - 4) + b"\r\n\r\n"
    holding.run(lambda clock: holding.send_each(1, data * count))


@then("the parsers of the requests in progress keep at most {size_bytes:d} bytes each")
def step_parsers(context, size_bytes):
    kept = [len(parser.trailing_data[0]) for parser in context.holding.parsers]
    assert len(kept) > 1, kept
    assert max(kept) <= size_bytes, kept


@when("{count:d} callers send {size_bytes:d} bytes of a head each")
def step_unfinished(context, count, size_bytes):
    holding = context.holding
    data = b"GET / HTTP/1.1\r\nhost: a\r\nx: ".ljust(size_bytes, b"v")
    holding.run(lambda clock: holding.send_each(count, data))


@then("at least {size_bytes:d} bytes are held meanwhile")
def step_held(context, size_bytes):
    held_bytes = context.holding.held_meanwhile_bytes
    assert held_bytes >= size_bytes, held_bytes
