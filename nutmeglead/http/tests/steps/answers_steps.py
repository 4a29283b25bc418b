"""Steps for the answers of servers, with connections that need no socket."""

import asyncio
import tracemalloc

from behave import given, then, when

from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead, ResponseHead


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
