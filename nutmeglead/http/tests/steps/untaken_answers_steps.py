"""Steps for answers that the kernel holds while their connection ends.

Those with a caller are on loopback, as only a kernel drops what it holds.
"""

import asyncio
import contextlib
import socket

from behave import given, then, when

from nutmeglead.core.clock import SystemClock
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.lingering import Lingering
from nutmeglead.http.pipeline import PipelineServer

LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
# More than the caller's kernel takes, and less than the server's kernel does.
ANSWER_BYTES = 400_000
RECEIVE_BUFFER_BYTES = 8_192
# Several times what the caller's kernel takes, so that the server's kernel can send more.
READ_BYTES = 32_768
GRACE_MS = 3_000
# More passes of the event loop than an answer, a stop or the end of a connection take.
PASSES = 60
GET = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"


async def run_passes():
    for _ in range(PASSES):
        await asyncio.sleep(0)


class UntakenAnswer:
    """Hold an answer back at a caller on loopback, and what the caller has received."""

    def __init__(self):
        self.received = b""

    async def _answer(self, exchange):
        await exchange.respond(200, [], b"#" * ANSWER_BYTES)

    async def _begin(self, is_stopping):
        """Start a server, and return it with its connection, once it has sent its answer."""
        self._server = PipelineServer(self._answer, lambda: LIMITS, SystemClock())
        port = await self._server.start("127.0.0.1", 0)
        if is_stopping:
            self._server.begin_stop()
        self._caller = socket.socket()
        self._caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._caller.setblocking(False)
        self._loop = asyncio.get_running_loop()
        await self._loop.sock_connect(self._caller, ("127.0.0.1", port))
        while not self._server.connections:
            await asyncio.sleep(0)
        (connection,) = self._server.connections
        await self._send(b"1")
        while not connection.bytes_written or connection.is_busy:
            await asyncio.sleep(0)
        return connection

    async def _send(self, target):
        # The connection may have ended.
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(self._caller, GET % target)
        await run_passes()

    async def _read_all(self):
        with contextlib.suppress(ConnectionResetError):
            while data := await self._loop.sock_recv(self._caller, ANSWER_BYTES):
                self.received += data
        self._caller.close()

    async def stop_idle(self):
        """Stop the server, and send another request before the answer is read."""
        await self._begin(is_stopping=False)
        self._server.begin_stop()
        await self._server.stop_listening()
        stopping = asyncio.create_task(self._server.wait_closed(GRACE_MS))
        await run_passes()
        await self._send(b"2")
        await self._read_all()
        await stopping

    async def end_idle(self, makes_way):
        """End the idle connection, and send another request before the answer is read."""
        connection = await self._begin(is_stopping=False)
        if makes_way:
            connection.give_way()
        else:
            connection._timer.is_due = True
            connection.wake_reader()
        await run_passes()
        await self._send(b"2")
        await self._read_all()
        await self._server.close()

    async def linger(self):
        """Read an answer that closes the connection in parts, between which its time is over."""
        connection = await self._begin(is_stopping=True)
        for _ in range(4):
            end_bytes = len(self.received) + READ_BYTES
            while len(self.received) < end_bytes:
                self.received += await self._loop.sock_recv(self._caller, READ_BYTES)
                await run_passes()
            connection._timer.is_due = True
            connection.wake_reader()
            await run_passes()
        await self._send(b"2")
        await self._read_all()
        await self._server.close()


class HandClock:
    """Clock that stands still until it is set."""

    def __init__(self):
        self.time_ms = 0

    def now_ms(self):
        return self.time_ms


@given("a server whose answer a caller leaves unread, so that the kernel holds it")
def step_server(context):
    context.untaken = UntakenAnswer()


@when("the server stops, and the caller sends another request before it reads on")
def step_stop(context):
    asyncio.run(context.untaken.stop_idle())


@when(
    "the answer says that the connection closes, and the caller reads slowly and sends another"
    " request"
)
def step_linger(context):
    asyncio.run(context.untaken.linger())


@when("the idle timeout is over, and the caller sends another request before it reads on")
def step_idle(context):
    asyncio.run(context.untaken.end_idle(makes_way=False))


@when(
    "the connection makes way for another, and the caller sends another request before it reads on"
)
def step_make_way(context):
    asyncio.run(context.untaken.end_idle(makes_way=True))


@then("the first answer has arrived whole")
def step_whole(context):
    received = context.untaken.received
    body = received.partition(b"\r\n\r\n")[2]
    assert body.startswith(b"#" * ANSWER_BYTES), (len(received), received[-40:])


@when("of a last answer {left} bytes are left each {interval_ms:d} ms")
def step_left(context, left, interval_ms):
    clock = HandClock()
    lingering = Lingering(clock)
    context.look_count = 0
    for left_bytes in left.split():
        clock.time_ms += interval_ms
        context.look_count += 1
        if not lingering.goes_on(int(left_bytes)):
            return
    context.look_count += 1


@then("the connection ends at look {count:d}")
def step_look(context, count):
    assert context.look_count == count, context.look_count
