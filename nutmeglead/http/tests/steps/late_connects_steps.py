"""Steps for connections that are opened while the event loop stands still, on virtual time."""

import asyncio
import socket

from behave import given, then, when

from nutmeglead.emulator.virtual_time import VirtualLoop, run_virtual
from nutmeglead.http.client import connect

# More passes of the event loop than it takes to open a connection.
PASSES = 20
# With a backlog of 0, the kernel queues one connection and drops further attempts.
FILLING_COUNT = 2


@given("a listening server")
def step_listening(context):
    context.listener = socket.create_server(("127.0.0.1", 0))
    context.add_cleanup(context.listener.close)


@given("a server whose queue of connections is full")
def step_full(context):
    context.listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    context.add_cleanup(context.listener.close)
    for _ in range(FILLING_COUNT):
        filling = socket.socket()
        context.add_cleanup(filling.close)
        filling.setblocking(False)
        filling.connect_ex(context.listener.getsockname())


@when(
    "the event loop stands still for {stall_ms:d} ms while a client connects within {limit_ms:d} ms"
)
def step_connect(context, stall_ms, limit_ms):
    async def run(clock):
        connecting = asyncio.create_task(connect(*context.listener.getsockname(), limit_ms))
        # The first pass sends the first packet.
        await asyncio.sleep(0)
        asyncio.get_running_loop().stand_still(stall_ms / 1000)
        for _ in range(PASSES):
            await asyncio.sleep(0)
        assert connecting.done()
        opened = connecting.result()
        if opened.is_ok():
            opened.ok_value.abort()
            await asyncio.sleep(0)
        return opened

    context.opened = run_virtual(run, VirtualLoop())


@then("the client has a connection")
def step_opened(context):
    assert context.opened.is_ok(), context.opened


@then("the client has no connection")
def step_not_opened(context):
    assert context.opened.is_err(), context.opened
