"""Steps for the answers to HEAD, on virtual time."""

import asyncio

from behave import given, then, when

from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer

ADDRESS = ("10.1.0.1", 80)
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
HEAD = b"HEAD / HTTP/1.1\r\nhost: a\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


@given("a server whose handler states a length of {size_bytes:d} bytes without a body")
def step_server(context, size_bytes):
    async def answer(exchange):
        if exchange.head.method == b"HEAD":
            await exchange.respond(200, [(b"content-length", b"%d" % size_bytes)], b"")
        else:
            await exchange.respond(200, [], b"whole")

    context.answer = answer


@when("a caller sends HEAD and then GET on one connection")
def step_send(context):
    async def run(clock):
        server = PipelineServer(context.answer, lambda: LIMITS, clock)
        await server.start(*ADDRESS)
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        await channel.write(HEAD + GET)
        await asyncio.sleep(1)
        context.received = channel.read_nowait()
        await server.close()

    run_virtual(run, EmulatedLoop(1))


@then("the first answer states {size_bytes:d} bytes and has none, and the second one is whole")
def step_received(context, size_bytes):
    first, _, second = context.received.partition(b"\r\n\r\n")
    assert first.lower().count(b"content-length: %d" % size_bytes) == 1, first
    assert first.lower().count(b"content-length") == 1, first
    assert second.startswith(b"HTTP/1.1 200") and second.endswith(b"whole"), second
