"""Steps for the log of connections that end with requests unanswered."""

import asyncio
import re
from unittest import mock

import h11
from behave import given, then, when

from nutmeglead.core.events import Event
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.entry.tests.collected_events import collect
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.connection_ends import EndCause
from nutmeglead.http.discarded import DiscardedBytes
from nutmeglead.http.errors import MalformedMessage
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer

ADDRESS = ("10.1.0.1", 80)
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
WORK_S = 1.0
ID_HEADER = b"x-id"
LAST_REQUEST = b"GET /slow HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
REQUEST = b"GET /%s HTTP/1.1\r\nhost: a\r\nx-id: %s\r\n\r\n"


async def handle(exchange):
    if exchange.head.target == b"/fails":
        raise ValueError("a handler's error")
    if exchange.head.target == b"/fails-late":
        await exchange.start_response(200, [(b"content-length", b"5")])
        raise ValueError("a handler's error")
    if exchange.head.target == b"/fails-after":
        await exchange.respond(200, [], b"whole")
        raise ValueError("a handler's error")
    if exchange.head.target == b"/header":
        await exchange.respond(200, [(b"x-bad", b"a\nb")], b"whole")
    if exchange.head.target == b"/http":
        raise MalformedMessage("an answer that cannot be encoded")
    if exchange.head.target == b"/breaks":
        await exchange.start_response(200, [(b"content-length", b"5")])
        await asyncio.sleep(WORK_S / 2)
        exchange.abort()
        return
    await asyncio.sleep(WORK_S)
    await exchange.respond(200, [], b"whole")


def cut_off(server, channel):
    for connection in list(server.connections):
        connection.cut_off()


def end_slow_reader(server, channel):
    for connection in list(server.connections):
        connection.end_slow_reader()


# The paths and ids of the requests that are sent, and what happens after them.
EVENTS = {
    "the handler of a request raises an error": ([(b"fails", b"one")], None),
    "a handler fails in the middle of its answer": ([(b"fails-late", b"one")], None),
    "a handler fails ahead of another request": ([(b"fails", b"one"), (b"slow", b"two")], None),
    "a handler fails after its whole answer": (
        [(b"fails-after", b"one"), (b"slow", b"two")],
        None,
    ),
    "a handler answers with an impossible header": ([(b"header", b"one")], None),
    "a handler ends with an error of HTTP": ([(b"http", b"one")], None),
    "an answer breaks off before another request": (
        [(b"breaks", b"one"), (b"slow", b"two")],
        None,
    ),
    "the connection is cut off by a stop": ([(b"slow", b"one")], cut_off),
    "the caller reads no answer": ([(b"slow", b"one")], end_slow_reader),
    "the caller leaves": ([(b"slow", b"one")], lambda server, channel: channel.abort()),
}


class LoggedEnds:
    """Serve one caller, and hold the lines that its end leaves."""

    async def run(self, clock, event):
        requests, happens = EVENTS[event]
        server = PipelineServer(handle, lambda: LIMITS, clock)
        self.ends = server.ends
        self.ends.identify_by(ID_HEADER)
        await server.start(*ADDRESS)
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        await channel.write(b"".join(REQUEST % request for request in requests))
        await asyncio.sleep(WORK_S / 4)
        if happens is not None:
            happens(server, channel)
        await asyncio.sleep(2 * WORK_S)
        self.received = channel.read_nowait()
        await server.close()

    async def stop(self, clock, ahead, behind):
        """Stop after the first request, or while it is answered, and send the rest behind it."""
        server = PipelineServer(handle, lambda: LIMITS, clock)
        server.ends.identify_by(ID_HEADER)
        await server.start(*ADDRESS)
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        await channel.write(ahead)
        await asyncio.sleep(WORK_S / 2 if behind else 2 * WORK_S)
        server.begin_stop()
        await asyncio.sleep(WORK_S)
        if behind:
            await channel.write(behind)
        await server.stop_listening()
        await server.wait_closed(3_000)

    async def stop_after_end(self, clock, after_ms):
        """Stop after an answer that closes its connection, while the caller keeps it open."""
        server = PipelineServer(handle, lambda: LIMITS, clock)
        await server.start(*ADDRESS)
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *ADDRESS)
        await channel.write(LAST_REQUEST)
        await asyncio.sleep(WORK_S + after_ms / 1000)
        server.begin_stop()
        await server.stop_listening()
        await server.wait_closed(3_000)


@given("a server that logs the ends of its callers' connections")
def step_server(context):
    context.logged = LoggedEnds()


@when("its connection ends since {event}")
def step_event(context, event):
    context.collected = collect(context, "nutmeglead.http.connection_ends")
    run_virtual(lambda clock: context.logged.run(clock, event), EmulatedLoop(1))


@then("the end is logged with cause {cause}, requests {requests} and {unread:d} unread bytes")
def step_logged(context, cause, requests, unread):
    lines = context.collected.fields_of(Event.ANSWERS_MISSING)
    assert len(lines) == 1, lines
    assert lines[0]["cause"] == cause, lines
    assert lines[0]["requests"] == requests.split(), lines
    assert lines[0]["unread_bytes"] == unread, lines


@then("1 end with cause caller-left is counted and none is logged")
def step_counted(context):
    assert context.logged.ends.connections == {EndCause.CALLER_LEFT: 1}
    assert not context.collected.fields_of(Event.ANSWERS_MISSING)


@then("the answers have the statuses {statuses}, and no end is logged")
def step_statuses(context, statuses):
    found = re.findall(rb"HTTP/1.1 (\d+)", context.logged.received)
    assert found == statuses.encode().split(), context.logged.received
    assert not context.collected.fields_of(Event.ANSWERS_MISSING)


@then("HANDLER_FAILED names {named}")
def step_failed(context, named):
    lines = context.collected.fields_of(Event.HANDLER_FAILED)
    expected = [] if named == "nothing" else [named]
    assert [line["request"] for line in lines] == expected, lines


SENT_IN_STOP = {
    "a request long before": b"",
    "a request, and another one behind its answer": REQUEST % (b"slow", b"two"),
    "a request, and half of one behind its answer": (REQUEST % (b"slow", b"two"))[:20],
}


@when("it stops and its caller has sent {sent}")
def step_stop(context, sent):
    context.collected = collect(context, "nutmeglead.http.connection_ends")
    ahead, behind = REQUEST % (b"slow", b"one"), SENT_IN_STOP[sent]
    run_virtual(lambda clock: context.logged.stop(clock, ahead, behind), EmulatedLoop(1))


@then(
    "a line tells cause {cause}, {handled:d} handled and the discarded requests {discarded} in"
    " {size:d} bytes"
)
def step_closed(context, cause, handled, discarded, size):
    lines = context.collected.fields_of(Event.CONNECTION_CLOSED)
    assert len(lines) == 1, lines
    line = lines[0]
    assert (line["cause"], line["handled"]) == (cause, handled), line
    assert line["discarded"] == ([] if discarded == "nothing" else discarded.split()), line
    assert line["discarded_bytes"] == size, line


@when("a connection has discarded {count:d} requests of which {max_count:d} are asked for")
def step_discarded(context, count, max_count):
    bytes_discarded = DiscardedBytes()
    bytes_discarded.add((REQUEST % (b"slow", b"one")) * count)
    with mock.patch.object(h11, "Connection", wraps=h11.Connection) as parsers:
        context.named = bytes_discarded.whole_requests(max_count)
    context.parser_count = parsers.call_count


@then("{count:d} are named, after the parsing of {parser_count:d}")
def step_named(context, count, parser_count):
    assert (len(context.named), context.parser_count) == (count, parser_count)


@when(
    "it stops {after_ms:d} ms after an answer that closed its connection, which the caller keeps"
    " open"
)
def step_stop_after_end(context, after_ms):
    context.collected = collect(context, "nutmeglead.http.connection_ends")
    run_virtual(lambda clock: context.logged.stop_after_end(clock, after_ms), EmulatedLoop(1))


@then("no line tells that a stop has ended a connection")
def step_no_line(context):
    assert not context.collected.fields_of(Event.CONNECTION_CLOSED)
