"""Steps for servers that stop while requests arrive, on virtual time."""

import asyncio

from behave import given, then, when

from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer

ADDRESS = ("10.1.0.1", 80)
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
WORK_MS = 400
GRACE_MS = 3_000
# Requests are sent this long before the server stops listening, and further bytes as long after it.
EARLIER_MS = LATER_MS = 100
GET = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"
POST_HEAD = b"POST /%s HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
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
}


class StoppingServer:
    """Send bytes around the end of listening, and hold what the caller has received."""

    def __init__(self, streams):
        self._streams = streams
        self.handled = []
        self.received = b""

    async def _answer(self, exchange):
        self.handled.append(exchange.head.target.decode())
        if not self._streams:
            await asyncio.sleep(WORK_MS / 1000)
            await exchange.respond(200, [], b"whole")
            return
        await exchange.start_response(200, [(b"content-length", b"5")])
        await exchange.send_body(b"wh")
        await asyncio.sleep(WORK_MS / 1000)
        await exchange.send_body(b"ole")
        await exchange.finish_response()

    async def run(self, clock, sending):
        before, after = SENDINGS[sending]
        loop = asyncio.get_running_loop()
        server = PipelineServer(self._answer, lambda: LIMITS, clock)
        await server.start(*ADDRESS)
        _, channel = await loop.create_connection(ByteChannel, *ADDRESS)
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
    context.stopping = StoppingServer(manner == "in parts")


@when("it stops listening and a caller sends {sending}")
def step_send(context, sending):
    run_virtual(lambda clock: context.stopping.run(clock, sending), EmulatedLoop(1))


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


@then("the server has stopped {duration_ms:d} ms later")
def step_duration(context, duration_ms):
    assert context.stopping.duration_ms <= duration_ms, context.stopping.duration_ms
