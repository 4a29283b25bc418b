"""Steps for the HTTP client and server, over loopback sockets."""

import asyncio
import contextlib
import socket

from behave import given, then, when
from result import Err, Ok

from nutmeglead.core.clock import SystemClock
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.client import HttpFetcher, connect
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.messages import RequestHead, header_value
from nutmeglead.http.pipeline import PipelineServer

# An exchange that hangs fails the scenario instead of blocking the run; no step checks durations.
SCENARIO_TIMEOUT_MS = 10_000
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)

RAW_REQUESTS = {
    "both length headers": b"POST /s/k HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
    b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    "header flood": b"GET / HTTP/1.1\r\nhost: a\r\n" + b"x-filler: " + b"y" * 70_000,
    "asks for another protocol": b"GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\n"
    b"upgrade: h2c\r\n\r\n",
    "asks for a close": b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "is of HTTP/1.0": b"GET / HTTP/1.0\r\nhost: a\r\n\r\n",
    "no HTTP at all": b"\x16\x03\x01\x02\x00 hello \r\n\r\n",
}
RAW_RESPONSES = {
    "a short body": b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfour",
    "a cut chunked body": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n",
    "a malformed head": b"no head at all\r\n\r\n",
    "nothing": b"",
    "two responses": b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst"
    b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond",
}


RAW_ECHO_REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"


def read_to_the_end(caller):
    """Return all bytes that arrive on a blocking socket, up to a reset."""
    received = b""
    try:
        while data := caller.recv(65_536):
            received += data
    except ConnectionResetError:
        received += b"<reset>"
    caller.close()
    return received


class HttpScenario:
    def __init__(self):
        self.handler_calls = 0
        self.connection_count = 0
        self.released = None
        self.server = None
        self.raw_response = b""
        self.handler = self.echo

    async def echo(self, exchange):
        self.handler_calls += 1
        body = exchange.body
        if self.released is not None:
            await self.released.wait()
        await exchange.respond(200, [], body)

    async def respond_without_body(self, exchange):
        await exchange.respond(200, [], b"")

    async def start(self):
        self.server = PipelineServer(self.handler, lambda: LIMITS, SystemClock())
        self.port = await self.server.start("127.0.0.1", 0)

    async def stop(self):
        await self.server.close()

    async def exchange_bodies(self, bodies):
        await self.start()
        connection = (await connect("127.0.0.1", self.port, SCENARIO_TIMEOUT_MS)).unwrap()
        self.connection_count += 1
        responses = []
        for body in bodies:
            length = str(len(body)).encode()
            headers = [(b"host", b"a"), (b"content-length", length)]
            await connection.send_head(RequestHead(b"POST", b"/", headers))
            if body:
                await connection.send_body(body)
            await connection.finish_request()
            await connection.read_head()
            received = b""
            while data := await connection.read_body():
                received += data
            responses.append(received)
            assert connection.finish_exchange(), "the connection must be reusable"
        await self.stop()
        return responses

    async def send_raw_request(self, request):
        await self.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request)
        response = await reader.read()
        writer.close()
        await self.stop()
        return response

    async def fetch_from_raw_server(self, response):
        closed = asyncio.Event()

        async def serve(reader, writer):
            self.connection_count += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            # With two responses the connection stays open: only its unread bytes forbid reuse.
            if response != RAW_RESPONSES["two responses"]:
                writer.close()
            # A client that does not keep the connection may end it with a reset.
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        fetcher = HttpFetcher()
        request = RequestHead(b"GET", b"/")
        fetched = await fetcher.fetch("127.0.0.1", port, request, b"", SCENARIO_TIMEOUT_MS)
        self.idle_count = sum(len(idle) for idle in fetcher._idle.values())
        await closed.wait()
        server.close()
        return fetched

    async def stop_while_running(self):
        self.released = asyncio.Event()
        await self.start()
        fetcher = HttpFetcher()
        request = RequestHead(b"POST", b"/")
        running = asyncio.create_task(
            fetcher.fetch("127.0.0.1", self.port, request, b"body", SCENARIO_TIMEOUT_MS)
        )
        while not self.handler_calls:
            await asyncio.sleep(0)
        self.server.begin_stop()
        await self.server.stop_listening()
        stopping = asyncio.create_task(self.server.wait_closed(SCENARIO_TIMEOUT_MS))
        await asyncio.sleep(0)
        self.connect_after_stop = await connect("127.0.0.1", self.port, SCENARIO_TIMEOUT_MS)
        self.released.set()
        self.response = await running
        self.cut_off = await stopping

    async def stop_before_caller_closes(self, clock, delay_ms):
        """Stop the server on virtual time, and note when its side of the connection ends."""
        self.server = PipelineServer(self.handler, lambda: LIMITS, clock)
        await self.server.start("10.1.0.1", 80)
        connection = (await connect("10.1.0.1", 80, SCENARIO_TIMEOUT_MS)).unwrap()
        self.server.begin_stop()
        await connection.send_request(RequestHead(b"GET", b"/", [(b"host", b"a")]), b"")
        await connection.read_head()
        loop = asyncio.get_running_loop()
        self.caller_closes_ms = clock.now_ms() + delay_ms
        loop.call_later(delay_ms / 1000, connection.abort)
        await self.server.stop_listening()
        await self.server.wait_closed(SCENARIO_TIMEOUT_MS)
        self.server_closed_ms = clock.now_ms()

    async def stop_after_requests(self, count, are_kept):
        """Stop listening in the same pass of the event loop in which callers have sent requests."""
        await self.start()
        callers = [socket.create_connection(("127.0.0.1", self.port)) for _ in range(count)]
        if are_kept:
            while len(self.server.connections) < count:
                await asyncio.sleep(0)
        for caller in callers:
            caller.sendall(RAW_ECHO_REQUEST)
        self.server.begin_stop()
        await self.server.stop_listening()
        self.cut_off = await self.server.wait_closed(SCENARIO_TIMEOUT_MS)
        self.raw_responses = [await asyncio.to_thread(read_to_the_end, c) for c in callers]


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, SCENARIO_TIMEOUT_MS / 1000))


@given("an HTTP server that echoes request bodies")
def step_echo_server(context):
    context.http = HttpScenario()


@given("an HTTP server whose handler ignores the request body")
def step_ignoring_server(context):
    context.http = HttpScenario()
    context.http.handler = context.http.respond_without_body


@given("a raw server that answers with {response}")
def step_raw_server(context, response):
    context.http = HttpScenario()
    context.raw = RAW_RESPONSES[response]


@given("an HTTP server whose handler waits until it is released")
def step_waiting_server(context):
    context.http = HttpScenario()


@when('the client sends "" and then "" on one connection')
def step_send_empty_bodies(context):
    context.responses = run(context.http.exchange_bodies([b"", b""]))


@when('the client sends "{first}" and then "{second}" on one connection')
def step_send_bodies(context, first, second):
    context.responses = run(context.http.exchange_bodies([first.encode(), second.encode()]))


@when("a caller sends the raw request {request}")
def step_raw_request(context, request):
    context.raw_response = run(context.http.send_raw_request(RAW_REQUESTS[request]))


@when("a caller sends a request that {request}")
def step_last_request(context, request):
    context.raw_response = run(context.http.send_raw_request(RAW_REQUESTS[request]))


@then("the raw response says once that the connection closes")
def step_says_close(context):
    assert context.raw_response.startswith(b"HTTP/1.1 200"), context.raw_response
    assert context.raw_response.lower().count(b"connection: close") == 1, context.raw_response


@when("the client fetches from it")
def step_fetch(context):
    context.fetched = run(context.http.fetch_from_raw_server(context.raw))


@when("the server is stopped while a request is running")
def step_stop_while_running(context):
    run(context.http.stop_while_running())


@when("the server stops listening just after {count:d} callers have sent requests on {connections}")
def step_stop_after_requests(context, count, connections):
    run(context.http.stop_after_requests(count, connections == "kept connections"))


@when(
    "the server is stopped after a request whose caller closes its connection {delay_ms:d} ms after "
    "the response"
)
def step_stop_before_close(context, delay_ms):
    run_virtual(
        lambda clock: context.http.stop_before_caller_closes(clock, delay_ms), EmulatedLoop(1)
    )


@then("the server has closed the connection only after the caller")
def step_closed_after_caller(context):
    scenario = context.http
    assert scenario.server_closed_ms >= scenario.caller_closes_ms, (
        scenario.server_closed_ms,
        scenario.caller_closes_ms,
    )


@then("each caller gets its whole response")
def step_whole_responses(context):
    incomplete = [r for r in context.http.raw_responses if not r.endswith(b"\r\n\r\nbody")]
    assert not incomplete, incomplete


@when("the handler is released")
def step_release(context):
    # `stop_while_running` releases the handler after it has tried to connect.
    assert context.http.released.is_set()


@then('the responses are "{first}" and "{second}"')
def step_responses(context, first, second):
    assert context.responses == [first.encode(), second.encode()], context.responses


@then("the client opened {count:d} connection")
def step_connections(context, count):
    assert context.http.connection_count == count


@then("the raw response begins with status {status:d}")
def step_status(context, status):
    assert context.raw_response.startswith(b"HTTP/1.1 %d " % status), context.raw_response[:80]
    assert b"nutmeglead-outcome: not-run" in context.raw_response, context.raw_response


@then("the handler ran {count:d} times")
def step_handler_calls(context, count):
    assert context.http.handler_calls == count


@then("the fetch fails with {error}")
def step_error(context, error):
    assert isinstance(context.fetched, Err), context.fetched
    assert type(context.fetched.err_value).__name__ == error, context.fetched


@then('the fetch succeeds with body "{body}"')
def step_body(context, body):
    assert isinstance(context.fetched, Ok), context.fetched
    assert context.fetched.ok_value[1] == body.encode()


@then("the connection is not reused")
def step_not_reused(context):
    assert context.http.idle_count == 0


@then("the running request gets its whole response with the header connection: close")
def step_complete_response(context):
    head, body = context.http.response.unwrap()
    assert body == b"body"
    assert header_value(head.headers, b"connection") == b"close", head


@then("a new connection is refused")
def step_connection_refused(context):
    assert isinstance(context.http.connect_after_stop, Err), context.http.connect_after_stop


@then("the server reports {count:d} connections cut off")
def step_cut_off(context, count):
    assert context.http.cut_off.connections == count, context.http.cut_off
