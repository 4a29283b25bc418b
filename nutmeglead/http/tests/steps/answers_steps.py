"""Steps for the answers of servers, with connections that need no socket."""

import asyncio
import tracemalloc
from types import SimpleNamespace

import h11
from behave import given, then, when

from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.client import ClientConnection, HttpFetcher
from nutmeglead.http.exchange import CallerExchange
from nutmeglead.http.held_bytes import HeldBytes
from nutmeglead.http.messages import RequestHead, ResponseHead

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CHUNK_BYTES = 16
CHUNK = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)


class AnsweringConnection:
    """A connection with an answer in equal parts."""

    def __init__(self, count, size_bytes):
        self._left_count = count
        self._size_bytes = size_bytes

    async def send_request(self, head, body):
        pass

    async def read_head(self):
        return ResponseHead(200)

    async def read_body(self):
        if not self._left_count:
            return b""
        self._left_count -= 1
        return bytes(self._size_bytes)


class AnsweredConnection(ClientConnection):
    """A connection on which a request was sent."""

    def __init__(self):
        super().__init__(ByteChannel())
        self._connection.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        self._connection.send(h11.EndOfMessage())


class CountedConnection(AnsweredConnection):
    """A connection whose answer has arrived; it counts the parts of it that are taken."""

    def __init__(self, passes, take_turn, chunk_count):
        super().__init__()
        self.take_turn = take_turn
        self._passes = passes
        self.channel.data_received(CHUNKED_HEAD + CHUNK * chunk_count + LAST_CHUNK)

    def _next_buffered_event(self):
        self._passes[-1] += 1
        return super()._next_buffered_event()

    async def read_whole(self):
        await self.read_head()
        received_bytes = 0
        while part := await self.read_body():
            received_bytes += len(part)
        return received_bytes


@given("{count:d} connections with answers of {chunk_count:d} chunks of 16 bytes that have arrived")
def step_arrived(context, count, chunk_count):
    context.answer_bytes = chunk_count * CHUNK_BYTES
    # Parts that were taken in each pass of the event loop.
    context.passes = []

    def make_connections():
        caller = SimpleNamespace(held=HeldBytes())
        head = RequestHead(b"GET", b"/")
        exchanges = [CallerExchange(caller, None, head, b"", 0, 0, None) for _ in range(count)]
        return [
            CountedConnection(context.passes, exchange.take_turn, chunk_count)
            for exchange in exchanges
        ]

    context.make_connections = make_connections


@when("each of them reads its answer")
def step_read_all(context):
    def count_pass():
        context.passes.append(0)
        asyncio.get_running_loop().call_soon(count_pass)

    async def read():
        count_pass()
        reading = [connection.read_whole() for connection in context.make_connections()]
        assert set(await asyncio.gather(*reading)) == {context.answer_bytes}

    asyncio.run(read())


@then(
    "the first pass of the event loop takes at most {first_count:d} parts, and each later one at "
    "most {count:d}"
)
def step_passes(context, first_count, count):
    first, *later = [taken for taken in context.passes if taken]
    assert first <= first_count, first
    assert max(later, default=0) <= count, max(later)


@given(
    "a connection that counts, on which the head of an answer and {count:d} chunks of "
    "{size_bytes:d} bytes have arrived"
)
def step_counting(context, count, size_bytes):
    context.counted_bytes = 0

    def count_held(added_bytes):
        context.counted_bytes += added_bytes

    context.chunk = b"%x\r\n%b\r\n" % (size_bytes, b"x" * size_bytes)
    context.connection = AnsweredConnection()
    context.connection.unread_count.begin(count_held)
    context.connection.channel.data_received(CHUNKED_HEAD + context.chunk * count)


@when("{read_count:d} parts are read and {later_count:d} more chunks arrive")
def step_read_some(context, read_count, later_count):
    async def read():
        if read_count:
            await context.connection.read_head()
        for _ in range(read_count):
            assert await context.connection.read_body()

    asyncio.run(read())
    context.connection.channel.data_received(context.chunk * later_count)


@then("at least {least_bytes:d} bytes are counted")
def step_counted(context, least_bytes):
    assert context.counted_bytes >= least_bytes, context.counted_bytes


@then("none are when the exchange ends by {end}")
def step_ends(context, end):
    connection = context.connection
    if end == "an abort":
        connection.abort()
    else:
        connection.channel.data_received(LAST_CHUNK)
        assert asyncio.run(connection.read_body()) == b""
        connection.finish_exchange()
    assert context.counted_bytes == 0, context.counted_bytes


@given("a server whose answer has {count:d} parts of {size_bytes:d} bytes")
def step_answer(context, count, size_bytes):
    context.body_bytes = count * size_bytes
    context.connection = AnsweringConnection(count, size_bytes)


@when("the client fetches it whole")
def step_fetch(context):
    async def fetch():
        head = RequestHead(b"GET", b"/")
        tracemalloc.start()
        try:
            before_bytes, _ = tracemalloc.get_traced_memory()
            exchange = HttpFetcher()._exchange(context.connection, "ip", head, b"", lambda: None)
            _, body = await exchange
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(body) == context.body_bytes
        context.held_bytes = peak_bytes - before_bytes

    asyncio.run(fetch())


@then("at most {limit_bytes:d} bytes were held at any time")
def step_held(context, limit_bytes):
    assert context.held_bytes <= limit_bytes, context.held_bytes
