"""Steps for interim responses behind responses in progress, on virtual time."""

import asyncio

import h11
from behave import given, then, when

from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer

ADDRESS = ("10.1.0.1", 80)
# The time of a head is shorter than that of the answers before it.
LIMITS = CallerLimits(16_384, 65_536, 500, 15_000)
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
WAITING = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\nexpect: 100-continue\r\n\r\n"
SENDINGS = {
    "a request that waits for 100": [WAITING],
    "a request and one behind it that waits for 100": [GET, WAITING],
    "two requests and one behind them that waits for 100": [GET, GET, WAITING],
}


class WaitingCaller:
    """Send requests, the last of which waits for 100 before it sends its body."""

    def __init__(self, part_count, interval_ms):
        self._part_count = part_count
        self._interval_ms = interval_ms
        self.statuses = []
        self.bodies = []

    async def _answer(self, exchange):
        await exchange.start_response(200, [])
        for _ in range(self._part_count):
            await exchange.send_body(b"part ")
            await asyncio.sleep(self._interval_ms / 1000)
        await exchange.finish_response()

    async def run(self, clock, requests, body_delay_ms):
        server = PipelineServer(self._answer, lambda: LIMITS, clock)
        await server.start(*ADDRESS)
        _, self._channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        await self._channel.write(b"".join(requests))
        unread = b""
        for _ in requests:
            unread = await self._read_response(unread, body_delay_ms)
        self._channel.abort()
        await server.close()

    async def _read_response(self, unread, body_delay_ms):
        """Read one final response with the interim ones before it, and return what follows."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"a")]))
        parser.send(h11.EndOfMessage())
        if unread:
            parser.receive_data(unread)
        body = b""
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                parser.receive_data(await self._channel.read())
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                self.statuses.append(event.status_code)
            if isinstance(event, h11.InformationalResponse):
                await asyncio.sleep(body_delay_ms / 1000)
                await self._channel.write(b"body")
        self.bodies.append(body)
        return parser.trailing_data[0]


@given("a server that streams an answer of {part_count:d} parts, one each {interval_ms:d} ms")
def step_server(context, part_count, interval_ms):
    context.part_count = part_count
    context.waiting = WaitingCaller(part_count, interval_ms)


@when("a waiting caller sends {sending} and reads all")
def step_send(context, sending):
    requests = SENDINGS[sending]
    run_virtual(lambda clock: context.waiting.run(clock, requests, 0), EmulatedLoop(1))


@when("a waiting caller sends {sending}, and its body {delay_ms:d} ms after it may")
def step_send_later(context, sending, delay_ms):
    requests = SENDINGS[sending]
    run_virtual(lambda clock: context.waiting.run(clock, requests, delay_ms), EmulatedLoop(1))


@then("the responses are {statuses}, each whole")
def step_responses(context, statuses):
    waiting = context.waiting
    assert waiting.statuses == [int(status) for status in statuses.split()], waiting.statuses
    assert set(waiting.bodies) == {b"part " * context.part_count}, waiting.bodies
