"""Steps for servers that stop while requests arrive, on virtual time."""

import asyncio
from unittest import mock

from behave import given, then, when

from nutmeglead.core.clock import SystemClock
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http import caller_connection
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.http.tests.stop_sendings import StopSendings

ADDRESS = ("10.1.0.1", 80)
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
WORK_MS = 400
GRACE_MS = 3_000
STALL_MS = 40
LARGE_BYTES = 33_554_432
# More passes of the event loop than the end of a connection and of the wait for it take.
PASSES = 20
# Requests are sent this long before the server stops listening, and further bytes as long after it.
EARLIER_MS = LATER_MS = 100
GET = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"
POST_HEAD = b"POST /%s HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
WAITING_HEAD = b"POST /%s HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n"
# What a caller sends before the server stops listening, and what after it.
SENDINGS = {
    "a request, and another one later": (GET % b"1", GET % b"2"),
    "two requests, and another one later": (GET % b"1" + GET % b"2", GET % b"3"),
    "a request and half of another one, and the rest later": (
        GET % b"1" + POST_HEAD % b"2",
        b"body",
    ),
    "half a request, and the rest later": (POST_HEAD % b"1", b"body"),
    "half a request": (POST_HEAD % b"1", b""),
    "a request and the head of one that waits for 100": (GET % b"1" + WAITING_HEAD % b"2", b""),
}


class StoppingServer:
    """Send bytes around the end of listening, and hold what the caller has received."""

    def __init__(self, manner):
        self._manner = manner
        self.handled = []
        # How many requests were begun by the end of each answer in parts.
        self.handled_at_ends = []
        self.received = b""
        self.was_reset = False
        # For how long the event loop stands still just before an answer.
        self.stall_ms = 0

    async def _answer(self, exchange):
        self.handled.append(exchange.head.target.decode())
        if self._manner == "at once":
            await asyncio.sleep(WORK_MS / 1000)
            if self.stall_ms:
                asyncio.get_running_loop().stand_still(self.stall_ms / 1000)
            await exchange.respond(200, [], b"whole")
            return
        if self.stall_ms:
            await asyncio.sleep(WORK_MS / 1000)
            asyncio.get_running_loop().stand_still(self.stall_ms / 1000)
            # The server's answer was read before, and what its caller sends is read in this pass.
            await asyncio.sleep(0)
        length = [] if self._manner.endswith("without a length") else [(b"content-length", b"5")]
        await exchange.start_response(200, length)
        await exchange.send_body(b"wh")
        await asyncio.sleep(WORK_MS / 1000)
        await exchange.send_body(b"ole")
        await exchange.finish_response()
        self.handled_at_ends.append(len(self.handled))

    async def _connect(self, clock):
        """Start the server, and return it with a caller's connection."""
        server = PipelineServer(self._answer, lambda: LIMITS, clock)
        await server.start(*ADDRESS)
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        return server, channel

    async def cut_off_on_loopback(self):
        """Stop a server without any grace while it answers a request of HTTP/1.0."""
        server = PipelineServer(self._answer, lambda: LIMITS, SystemClock())
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.0\r\nhost: a\r\n\r\n")
        await reader.readuntil(b"wh")
        await server.stop_listening()
        self.cut_off = await server.wait_closed(0)
        try:
            await reader.read()
        except ConnectionResetError:
            self.was_reset = True
        writer.close()

    async def stop_with_unsent_bytes(self):
        """Stop a server whose caller reads an answer only after its connection is being closed.

        The answer is larger than what the kernel buffers, and its last part waits in the process.
        """
        server = PipelineServer(self._answer_large, lambda: LIMITS, SystemClock())
        port = await server.start("127.0.0.1", 0)
        server.begin_stop()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET % b"1")
        await reader.readuntil(b"\r\n\r\n")
        (connection,) = server.connections
        await server.stop_listening()
        stopping = asyncio.create_task(server.wait_closed(GRACE_MS))
        while not connection.transport.is_closing():
            await asyncio.sleep(0)
        for _ in range(PASSES):
            await asyncio.sleep(0)
        self.ended_early = stopping.done()
        self.received = await reader.read()
        writer.close()
        self.cut_off = await stopping

    async def run_asked(self, clock, sending, when):
        """Ask the server to stop, and send the second part of a sending around the first answer."""
        first, second = SENDINGS[sending]
        server, channel = await self._connect(clock)
        server.begin_stop()
        await channel.write(first)
        if "stands still" in when:
            self.stall_ms = STALL_MS
            # On its way when the event loop begins to stand still: a host is 0.25 ms away.
            await asyncio.sleep((WORK_MS + 0.1) / 1000)
        elif "after it" in when:
            await asyncio.sleep((WORK_MS + LATER_MS) / 1000)
        await channel.write(second)
        await asyncio.sleep(5 * WORK_MS / 1000)
        self.received = channel.read_nowait()
        self.cut_off = await server.wait_closed(0)
        await server.close()

    async def _answer_large(self, exchange):
        exchange._connection.transport.set_write_buffer_limits(2 * LARGE_BYTES)
        await exchange.respond(200, [], b"x" * LARGE_BYTES)

    async def leave_after_a_malformed_request(self, clock):
        """Send two requests and leave before the first is answered, and then stop the server."""
        server, channel = await self._connect(clock)
        await channel.write(GET % b"1" + b"malformed\r\n\r\n")
        await asyncio.sleep(EARLIER_MS / 1000)
        channel.abort()
        await asyncio.sleep(LATER_MS / 1000)
        server.begin_stop()
        await server.stop_listening()
        stopped_ms = clock.now_ms()
        await server.wait_closed(GRACE_MS)
        self.duration_ms = clock.now_ms() - stopped_ms

    async def run_stalled(self, clock, early_ms, late_ms, grace_ms, request_count=1):
        """Stop while requests are in progress, and stand still across the end of the grace."""
        server, channel = await self._connect(clock)
        await channel.write(b"".join(GET % b"%d" % number for number in range(request_count)))
        await asyncio.sleep(0.001)
        server.begin_stop()
        await server.stop_listening()
        stopping = asyncio.create_task(server.wait_closed(grace_ms))
        stall_at_ms = WORK_MS - early_ms
        await asyncio.sleep(stall_at_ms / 1000)
        asyncio.get_running_loop().stand_still((grace_ms - stall_at_ms + late_ms) / 1000)
        self.cut_off = await stopping
        await asyncio.sleep(LATER_MS / 1000)
        self.received = channel.read_nowait()
        channel.abort()

    async def run(self, clock, sending):
        before, after = SENDINGS[sending]
        loop = asyncio.get_running_loop()
        server, channel = await self._connect(clock)
        server.begin_stop()
        await channel.write(before)
        await asyncio.sleep(EARLIER_MS / 1000)
        await server.stop_listening()
        stopped_ms = clock.now_ms()
        stopping = loop.create_task(server.wait_closed(GRACE_MS))
        await asyncio.sleep(LATER_MS / 1000)
        if channel.is_open:
            await channel.write(after)
        while data := await channel.read():
            self.received += data
        channel.abort()
        self.cut_off = await stopping
        self.duration_ms = clock.now_ms() - stopped_ms


@given("a server whose answers take 400 ms and are sent {manner}")
def step_server(context, manner):
    context.stopping = StoppingServer(manner)


@when("it stops listening and a caller sends {sending}")
def step_send(context, sending):
    run_virtual(lambda clock: context.stopping.run(clock, sending), EmulatedLoop(1))


@when(
    "its event loop stands still from {early_ms:d} ms before the answer until {late_ms:d} ms after"
    " the end of a grace of {grace_ms:d} ms"
)
def step_stalled(context, early_ms, late_ms, grace_ms):
    run_virtual(
        lambda clock: context.stopping.run_stalled(clock, early_ms, late_ms, grace_ms),
        EmulatedLoop(1),
    )


@when(
    "it has {count:d} requests of a caller and its event loop stands still from {early_ms:d} ms"
    " before the answer until {late_ms:d} ms after the end of a grace of {grace_ms:d} ms"
)
def step_stalled_ahead(context, count, early_ms, late_ms, grace_ms):
    run_virtual(
        lambda clock: context.stopping.run_stalled(clock, early_ms, late_ms, grace_ms, count),
        EmulatedLoop(1),
    )


@when('it is asked to stop and a caller sends "{sending}" {when}')
def step_asked(context, sending, when):
    run_virtual(
        lambda clock: context.stopping.run_asked(clock, sending, when),
        EmulatedLoop(1),
    )


@when(
    "a caller sends requests in random pieces at random times around a stop, seeds {first:d} to"
    " {last:d}"
)
def step_random(context, first, last):
    context.sendings = {seed: StopSendings(seed) for seed in range(first, last + 1)}
    for seed, sendings in context.sendings.items():
        run_virtual(sendings.run, EmulatedLoop(seed))


@then(
    "each request that was handled is answered once and in order, and none that had arrived is lost"
)
def step_no_faults(context):
    faults = {seed: each.faults for seed, each in context.sendings.items() if each.faults}
    assert not faults, faults


@when("it stops without any grace while it answers a request of HTTP/1.0")
def step_cut_off(context):
    asyncio.run(context.stopping.cut_off_on_loopback())


@when("it stops while a caller reads its answer late")
def step_unsent(context):
    with mock.patch.object(caller_connection, "LINGER_MS", 0):
        asyncio.run(context.stopping.stop_with_unsent_bytes())


@then("the server has stopped only after the caller has received all of it")
def step_all_received(context):
    stopping = context.stopping
    assert len(stopping.received) == LARGE_BYTES, len(stopping.received)
    assert not stopping.ended_early


@when("a caller sends a request and a malformed one, leaves, and the server stops")
def step_leave(context):
    run_virtual(context.stopping.leave_after_a_malformed_request, EmulatedLoop(1))


@then("the caller's connection ends with a reset")
def step_reset(context):
    assert context.stopping.cut_off.exchanges == 1, context.stopping.cut_off
    assert context.stopping.was_reset


@then("the server has no connection left before the end of its grace")
def step_no_connection(context):
    assert context.stopping.duration_ms < GRACE_MS, context.stopping.duration_ms


@then("it has handled {count:d} and the caller has received {count_again:d} whole answers")
def step_answers(context, count, count_again):
    stopping = context.stopping
    assert len(stopping.handled) == count, stopping.handled
    assert stopping.received.count(b"whole") == count_again, stopping.received
    assert stopping.cut_off.exchanges == 0, stopping.cut_off


@then("the last answer says that the connection closes")
def step_says_close(context):
    last = context.stopping.received.rpartition(b"HTTP/1.1")[2]
    assert b"connection: close" in last, context.stopping.received


@then("the second request was begun after the end of the first answer")
def step_begun_after(context):
    assert context.stopping.handled_at_ends[0] == 1, context.stopping.handled_at_ends


@then("nothing follows the last answer")
def step_nothing_follows(context):
    assert context.stopping.received.endswith(b"whole"), context.stopping.received


@then("the server has stopped {duration_ms:d} ms later")
def step_duration(context, duration_ms):
    assert context.stopping.duration_ms <= duration_ms, context.stopping.duration_ms
