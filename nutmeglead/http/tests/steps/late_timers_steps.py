"""Steps for timeouts that become due while the event loop stands still, on virtual time."""

import asyncio
import socket
from dataclasses import replace

from behave import given, then, when

from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.emulator.virtual_time import VirtualLoop, run_virtual
from nutmeglead.http.caller_connection import CallerConnection
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer

IDLE_MS, HEAD_MS = 300, 400
LIMITS = CallerLimits(16_384, 65_536, HEAD_MS, IDLE_MS)
STALL_MS = 200
# Time between the start of a wait and the long pass, which then lasts beyond the timeout.
BEFORE_IDLE_STALL_MS, BEFORE_HEAD_STALL_MS = 200, 300
WORK_MS = 1_000
END_MS = 3_000
# More passes of the event loop than it takes to accept a connection and to answer a request.
PASSES = 20
GET = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
CHUNK_COUNT = 1_000
CHUNKED = b"POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
WITH_LENGTH = b"POST /%d HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n"
SLOW = b"GET /slow HTTP/1.1\r\nhost: a\r\n\r\n"

# Sent before the long pass, how long before it, and what arrives within it.
STALLED_SENDINGS = {
    "a request on an idle connection": (GET % 1, BEFORE_IDLE_STALL_MS, GET % 2),
    "the rest of a body": (WITH_LENGTH % 1, BEFORE_HEAD_STALL_MS, b"body"),
    "the rest of a body in chunks": (
        CHUNKED,
        BEFORE_HEAD_STALL_MS,
        b"1\r\nx\r\n" * CHUNK_COUNT + b"0\r\n\r\n",
    ),
    "the rest of a body behind a request in progress": (
        SLOW + WITH_LENGTH % 2,
        BEFORE_HEAD_STALL_MS,
        b"body",
    ),
    "a request and half of another one": (
        GET % 1,
        BEFORE_IDLE_STALL_MS,
        GET % 2 + WITH_LENGTH % 3,
    ),
}
UNFINISHED_SENDINGS = {
    "half a head": b"GET / HTTP/1.1\r\nhost",
    "a head without its body": WITH_LENGTH % 1,
    "a head behind a request in progress": SLOW + WITH_LENGTH % 2,
}

EVENTS = {
    "the connection has to make way": CallerConnection.give_way,
    "the server closes its idle connections": CallerConnection.close_if_idle,
}


async def answer(exchange):
    if exchange.head.target == b"/slow":
        await asyncio.sleep(WORK_MS / 1000)
    await exchange.respond(200, [], b"whole")


class Caller:
    """Send bytes on one connection to a server, and collect what it answers."""

    def __init__(self):
        self.limits = LIMITS
        self.received = b""
        self.is_closed = False

    async def connect(self, clock):
        self._server = PipelineServer(answer, lambda: self.limits, clock)
        port = await self._server.start("127.0.0.1", 0)
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.setblocking(False)
        await self._run_passes()

    async def run_stalled(self, clock, sending):
        before, wait_ms, meanwhile = STALLED_SENDINGS[sending]
        await self.connect(clock)
        self._socket.sendall(before)
        await self._run_passes()
        await asyncio.sleep(wait_ms / 1000)
        self._socket.sendall(meanwhile)
        asyncio.get_running_loop().stand_still(STALL_MS / 1000)
        await self._read_to_end()

    async def run_raised(self, clock, sending, timeout_ms, raised_ms, arrival_ms):
        before, _, later = STALLED_SENDINGS[sending]
        await self.connect(clock)
        self._socket.sendall(before)
        await asyncio.sleep(raised_ms / 1000)
        self.limits = replace(LIMITS, head_timeout_ms=timeout_ms, idle_timeout_ms=timeout_ms)
        await asyncio.sleep((arrival_ms - raised_ms) / 1000)
        self._socket.sendall(later)
        await self._read_to_end()

    async def run_ended(self, clock, before, meanwhile, event):
        await self.connect(clock)
        self._socket.sendall(before)
        await self._run_passes()
        (connection,) = self._server.connections
        self._socket.sendall(meanwhile)
        EVENTS[event](connection)
        await self._read_to_end()

    async def run_at_idle_timeout(self, clock, act):
        """Act in the pass in which the timeout is due, after the one in which sockets are polled."""
        await self.connect(clock)
        loop = asyncio.get_running_loop()
        loop.call_at(loop.time() + IDLE_MS / 1000, act, self._socket)
        await asyncio.sleep(IDLE_MS / 1000)
        await self._run_passes()
        self._read_arrived()
        await self._run_passes()
        self.open_count = len(self._server.connections)
        self._socket.close()

    async def run_read_in_turns(self, clock, sent):
        """Make the connection give way while the parts of its request are read pass by pass."""
        await self.connect(clock)
        (connection,) = self._server.connections
        self._socket.sendall(sent)
        # From the first part to the last, the request is neither unread nor in progress.
        for _ in range(PASSES):
            if connection.waiting_since_ms is not None and not connection.is_idle:
                break
            await asyncio.sleep(0)
        connection.give_way()
        await self._read_to_end()

    async def run_unfinished(self, clock, sent):
        await self.connect(clock)
        self._socket.sendall(sent)
        await self._read_to_end()

    async def _read_to_end(self):
        await self._run_passes()
        self._read_arrived()
        await asyncio.sleep(END_MS / 1000)
        self._read_arrived()
        self._socket.close()

    def _read_arrived(self):
        if self._socket.fileno() < 0:
            return
        try:
            while data := self._socket.recv(65_536):
                self.received += data
            self.is_closed = True
        except BlockingIOError:
            return
        except ConnectionResetError:
            self.is_closed = True

    async def _run_passes(self):
        for _ in range(PASSES):
            await asyncio.sleep(0)


@given("a server whose event loop stands still across a timeout")
@given("a server whose event loop runs in time")
def step_server(context):
    context.caller = Caller()


@given("a server whose limits are raised to {timeout_ms:d} ms after {raised_ms:d} ms")
def step_raised(context, timeout_ms, raised_ms):
    context.caller = Caller()
    context.timeout_ms, context.raised_ms = timeout_ms, raised_ms


@when("{sending} arrives {arrival_ms:d} ms later")
def step_later(context, sending, arrival_ms):
    times_ms = context.timeout_ms, context.raised_ms, arrival_ms
    run_virtual(lambda clock: context.caller.run_raised(clock, sending, *times_ms), VirtualLoop())


@when("{sending} arrives meanwhile")
def step_stalled(context, sending):
    run_virtual(lambda clock: context.caller.run_stalled(clock, sending), VirtualLoop())


@when("{sending} arrives and nothing more")
def step_unfinished(context, sending):
    sent = UNFINISHED_SENDINGS[sending]
    run_virtual(lambda clock: context.caller.run_unfinished(clock, sent), VirtualLoop())


@when("a request arrives on an idle connection and, before it is read, {event}")
def step_ended(context, event):
    run_virtual(
        lambda clock: context.caller.run_ended(clock, GET % 1, GET % 2, event), VirtualLoop()
    )


@when("half a head arrives and {event}")
def step_unfinished_ended(context, event):
    sent = UNFINISHED_SENDINGS["half a head"]
    run_virtual(lambda clock: context.caller.run_ended(clock, sent, b"", event), VirtualLoop())


@when("a request arrives in the pass in which the idle timeout becomes due")
def step_request_at_timeout(context):
    run_virtual(
        lambda clock: context.caller.run_at_idle_timeout(clock, lambda sock: sock.sendall(GET % 1)),
        VirtualLoop(),
    )


@when("the caller leaves in the pass in which the idle timeout becomes due")
def step_leaves_at_timeout(context):
    run_virtual(
        lambda clock: context.caller.run_at_idle_timeout(clock, lambda sock: sock.close()),
        VirtualLoop(),
    )


@then("the caller has a whole answer 0 ms later")
def step_answered_at_once(context):
    received = context.caller.received
    assert received.count(b"HTTP/1.1 200") == received.count(b"whole") == 1, received


@then("the server has no connection left")
def step_no_connection(context):
    assert context.caller.open_count == 0, context.caller.open_count


@when("a body of many chunks is being read and the connection has to make way")
def step_read_in_turns(context):
    sent = CHUNKED.replace(b"/1 ", b"/slow ") + b"1\r\nx\r\n" * CHUNK_COUNT + b"0\r\n\r\n"
    run_virtual(lambda clock: context.caller.run_read_in_turns(clock, sent), VirtualLoop())


@when("nothing arrives")
def step_nothing(context):
    run_virtual(lambda clock: context.caller.run_unfinished(clock, b""), VirtualLoop())


@then("the caller gets a whole answer to each of its {count:d} requests")
def step_answered(context, count):
    received = context.caller.received
    assert received.count(b"HTTP/1.1 200") == count, received
    assert received.count(b"whole") == count, received


@then("the last answer has status 408 and says that the request has not run")
def step_refused(context):
    head = context.caller.received.rpartition(b"HTTP/1.1 ")[2]
    assert head.startswith(b"408 "), context.caller.received
    assert OUTCOME_HEADER + b": " + Outcome.NOT_RUN.value.encode() in head, head
    assert b"connection: close" in head, head
    assert context.caller.is_closed


@then("only the last answer says that the connection closes")
def step_only_last(context):
    *earlier, last = context.caller.received.split(b"HTTP/1.1 ")[1:]
    assert b"connection: close" in last, last
    assert earlier and not any(b"connection: close" in head for head in earlier), earlier


@then("the connection ends without a byte")
def step_no_byte(context):
    assert context.caller.is_closed
    assert context.caller.received == b"", context.caller.received
