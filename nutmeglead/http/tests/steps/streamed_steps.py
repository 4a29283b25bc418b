"""Steps for requests behind an answer that is sent while it arrives, on virtual time."""

import asyncio

from behave import given, then, when

from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer

ADDRESS = ("10.1.0.1", 80)
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
END_MS = 5_000
GET = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
POST_HEAD = b"POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
# What is sent, and how long before the next part.
SENDINGS = {
    "one request": [(GET % 1, 0)],
    "two requests at once": [(GET % 1 + GET % 2, 0)],
    "two requests, the second 200 ms later": [(GET % 1, 200), (GET % 2, 0)],
    "two requests, the second in two halves": [(GET % 1, 200), (POST_HEAD, 200), (b"body", 0)],
}


class StreamingServer:
    """Stream the answer to the first request, and record which requests are begun."""

    def __init__(self, duration_ms, breaks_off):
        self._duration_ms = duration_ms
        self._breaks_off = breaks_off
        self.begun = []
        self.whole = []
        self.received = b""

    async def _answer(self, exchange):
        number = int(exchange.head.target[1:])
        self.begun.append(number)
        # All that arrived with it has been begun by then.
        await asyncio.sleep(0.1)
        if exchange.must_be_whole:
            self.whole.append(number)
        if number > 1:
            await exchange.respond(200, [], b"whole")
            return
        await exchange.start_response(200, [(b"content-length", b"5")])
        await exchange.send_body(b"wh")
        await asyncio.sleep(self._duration_ms / 1000)
        if self._breaks_off:
            exchange.abort()
            return
        await exchange.send_body(b"ole")
        await exchange.finish_response()

    async def run(self, clock, sending):
        server = PipelineServer(self._answer, lambda: LIMITS, clock)
        await server.start(*ADDRESS)
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        for data, pause_ms in SENDINGS[sending]:
            await channel.write(data)
            await asyncio.sleep(pause_ms / 1000)
        await asyncio.sleep(END_MS / 1000)
        self.received = channel.read_nowait()
        await server.close()


@given("a server that streams its first answer for {duration_ms:d} ms and {end}")
def step_server(context, duration_ms, end):
    context.streaming = StreamingServer(duration_ms, end == "breaks it off")


@when("a caller of it sends {sending}")
def step_send(context, sending):
    run_virtual(lambda clock: context.streaming.run(clock, sending), EmulatedLoop(1))


@then("{begun:d} requests have been begun, of which {answered:d} got a whole answer")
def step_begun(context, begun, answered):
    assert len(context.streaming.begun) == begun, context.streaming.begun
    assert context.streaming.received.count(b"whole") == answered, context.streaming.received


@then("the answers that should be whole are {numbers}")
def step_whole(context, numbers):
    expected = [] if numbers == "none" else [int(number) for number in numbers.split()]
    assert sorted(context.streaming.whole) == expected, context.streaming.whole
