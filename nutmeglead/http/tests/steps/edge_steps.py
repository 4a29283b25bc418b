"""Steps for the HTTP edge, over loopback sockets."""

import asyncio

from behave import given, then, when
from result import Err, Ok

from nutmeglead.core.clock import SystemClock
from nutmeglead.http.client import HttpFetcher, connect
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.messages import RequestHead, header_value
from nutmeglead.http.pipeline import PipelineServer

# A hung exchange fails the scenario instead of stalling the run; no step judges elapsed time.
GUARD_MS = 10_000
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)

RAW_REQUESTS = {
    "both length headers": b"POST /s/k HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n"
    b"transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
    "header flood": b"GET / HTTP/1.1\r\nhost: a\r\n" + b"x-filler: " + b"y" * 70_000,
    "no HTTP at all": b"\x16\x03\x01\x02\x00 hello \r\n\r\n",
}
RAW_ANSWERS = {
    "a short body": b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfour",
    "a cut chunked body": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n",
    "a malformed head": b"no head at all\r\n\r\n",
    "nothing": b"",
    "two answers": b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst"
    b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond",
}


class EdgeScenario:
    def __init__(self):
        self.handled = 0
        self.connections = 0
        self.signal = None
        self.server = None
        self.raw_answer = b""
        self.handler = self.echo

    async def echo(self, exchange):
        self.handled += 1
        body = exchange.body
        if self.signal is not None:
            await self.signal.wait()
        await exchange.respond(200, [], body)

    async def answer_only(self, exchange):
        await exchange.respond(200, [], b"")

    async def start(self):
        self.server = PipelineServer(self.handler, lambda: LIMITS, SystemClock())
        self.port = await self.server.start("127.0.0.1", 0)

    async def stop(self):
        await self.server.close()

    async def echo_twice(self, bodies):
        await self.start()
        opened = (await connect("127.0.0.1", self.port, GUARD_MS)).unwrap()
        self.connections += 1
        answers = []
        for body in bodies:
            length = str(len(body)).encode()
            headers = [(b"host", b"a"), (b"content-length", length)]
            await opened.send_head(RequestHead(b"POST", b"/", headers))
            if body:
                await opened.send_body(body)
            await opened.finish_request()
            await opened.read_head()
            received = b""
            while data := await opened.read_body():
                received += data
            answers.append(received)
            assert opened.finish_exchange(), "the connection must be reusable"
        await self.stop()
        return answers

    async def send_raw(self, request):
        await self.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(request)
        answer = await reader.read()
        writer.close()
        await self.stop()
        return answer

    async def fetch_raw(self, answer):
        closed = asyncio.Event()

        async def serve(reader, writer):
            self.connections += 1
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            if answer != RAW_ANSWERS["two answers"]:
                writer.close()
            await reader.read()
            closed.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        fetcher = HttpFetcher()
        request = RequestHead(b"GET", b"/")
        fetched = await fetcher.fetch("127.0.0.1", port, request, b"", GUARD_MS)
        self.idle = sum(len(idle) for idle in fetcher._idle.values())
        await closed.wait()
        server.close()
        return fetched

    async def stop_while_running(self):
        self.signal = asyncio.Event()
        await self.start()
        fetcher = HttpFetcher()
        request = RequestHead(b"POST", b"/")
        running = asyncio.create_task(
            fetcher.fetch("127.0.0.1", self.port, request, b"body", GUARD_MS)
        )
        while not self.handled:
            await asyncio.sleep(0)
        self.server.begin_stop()
        self.server.close_idle()
        stopping = asyncio.create_task(self.server.wait_closed(GUARD_MS))
        await asyncio.sleep(0)
        self.refused = await connect("127.0.0.1", self.port, GUARD_MS)
        self.signal.set()
        self.answer = await running
        self.cut_off = await stopping


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, GUARD_MS / 1000))


@given("an HTTP server that echoes bodies")
def step_server(context):
    context.edge = EdgeScenario()


@given("an HTTP server that answers without reading")
def step_answers_only(context):
    context.edge = EdgeScenario()
    context.edge.handler = context.edge.answer_only


@given("a raw server that answers with {answer}")
def step_raw_server(context, answer):
    context.edge = EdgeScenario()
    context.raw = RAW_ANSWERS[answer]


@given("an HTTP server whose handler waits for a signal")
def step_waiting_server(context):
    context.edge = EdgeScenario()


@when('the client sends "" and then "" on one connection')
def step_two_empty(context):
    context.answers = run(context.edge.echo_twice([b"", b""]))


@when('the client sends "{first}" and then "{second}" on one connection')
def step_two(context, first, second):
    context.answers = run(context.edge.echo_twice([first.encode(), second.encode()]))


@when("a caller sends the raw request {request}")
def step_raw_request(context, request):
    context.raw_answer = run(context.edge.send_raw(RAW_REQUESTS[request]))


@when("the client fetches from it")
def step_fetch(context):
    context.fetched = run(context.edge.fetch_raw(context.raw))


@when("a request is running and the server is told to stop")
def step_stop(context):
    run(context.edge.stop_while_running())


@when("the handler is signalled")
def step_signal(context):
    assert context.edge.signal.is_set()


@then('the answers are "{first}" and "{second}"')
def step_answers(context, first, second):
    assert context.answers == [first.encode(), second.encode()], context.answers


@then("the client opened {count:d} connection")
def step_opened(context, count):
    assert context.edge.connections == count


@then("the raw answer begins with status {status:d}")
def step_status(context, status):
    assert context.raw_answer.startswith(b"HTTP/1.1 %d " % status), context.raw_answer[:80]
    assert b"nutmeglead-outcome: not-run" in context.raw_answer, context.raw_answer


@then("the handler ran {count:d} times")
def step_ran(context, count):
    assert context.edge.handled == count


@then("the fetch gives {error}")
def step_error(context, error):
    assert isinstance(context.fetched, Err), context.fetched
    assert type(context.fetched.err_value).__name__ == error, context.fetched


@then('the fetch succeeds with body "{body}"')
def step_success(context, body):
    assert isinstance(context.fetched, Ok), context.fetched
    assert context.fetched.ok_value[1] == body.encode()


@then("the connection is not reused")
def step_not_reused(context):
    assert context.edge.idle == 0


@then("the running request gets its whole answer and is told that the connection closes")
def step_whole(context):
    head, body = context.edge.answer.unwrap()
    assert body == b"body"
    assert header_value(head.headers, b"connection") == b"close", head


@then("a new connection is refused")
def step_refused(context):
    assert isinstance(context.edge.refused, Err), context.edge.refused


@then("the server reports {count:d} cut off exchanges")
def step_cut_off(context, count):
    assert context.edge.cut_off == count
