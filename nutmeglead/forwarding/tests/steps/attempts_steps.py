"""Steps for single attempts, with a connection that records what is sent on it."""

import asyncio
import tracemalloc
from dataclasses import dataclass, field
from types import SimpleNamespace

from behave import given, then, when
from result import Ok

from nutmeglead.core.clock import ManualClock
from nutmeglead.forwarding.attempt import Attempt
from nutmeglead.forwarding.model import Backend, RequestKind, Route
from nutmeglead.forwarding.request import CallerRequest, UnboundedAccount
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import PeerClosed
from nutmeglead.http.messages import RequestHead, ResponseHead
from nutmeglead.http.unread_count import UnreadCount
from nutmeglead.platform.wire import ANSWER_ID_HEADER, SIGNATURE_HEADER

ROUTE = Route("r", "h", "/s/", RequestKind.IDEMPOTENT, 800, 300, 1, 2, (Backend("stock", 1.0),))


@dataclass
class RecordingConnection:
    """A connection that records the requests sent on it."""

    sent: list = field(default_factory=list)
    channel: SimpleNamespace = field(default_factory=lambda: SimpleNamespace(bytes_received=0))
    unread_count: UnreadCount = field(default_factory=lambda: UnreadCount(ByteChannel()))

    async def send_request(self, head, body):
        self.sent.append(head)
        raise PeerClosed("after the request")


class LeavingUpstream:
    """A server that begins to leave while a connection to it is opened."""

    def __init__(self):
        self.clock = ManualClock()
        self.record = SimpleNamespace(server_id="s-1")
        self.is_leaving = False
        self.connection = RecordingConnection()

    def leaving_age_ms(self, now_ms):
        return 0 if self.is_leaving else None

    async def acquire_connection(self, may_repeat, timeout_ms, excluded):
        self.is_leaving = True
        return Ok((self.connection, None))


@given("an attempt at a server that begins to leave while the connection is opened")
def step_attempt(context):
    request = CallerRequest(RequestHead(b"GET", b"/s/"), b"", b"r1", ROUTE, 1, 7, 0, 800)
    context.upstream = LeavingUpstream()
    policy = SimpleNamespace(may_send_to=lambda upstream: not upstream.is_leaving)
    context.attempt = Attempt(context.upstream, request, policy, 2, [])


@when("the attempt runs")
def step_runs(context):
    context.result = asyncio.run(context.attempt.run())


@then("nothing was sent and the error says that the server is leaving")
def step_not_sent(context):
    assert not context.upstream.connection.sent and not context.attempt.was_sent
    assert "the server is leaving" in str(context.result.err_value), context.result


@then("the request may be tried again without a retry from the budget")
def step_unsent(context):
    assert not context.result.err_value.reached_server


class CountedAccount(UnboundedAccount):
    """Count what an attempt counts as held."""

    def __init__(self):
        self.counted_bytes = 0
        self.has_room = True

    def try_hold(self, size_bytes):
        self.counted_bytes += size_bytes
        return self.has_room


class AnsweringConnection:
    """A connection with an answer in equal parts."""

    def __init__(self, count, size_bytes):
        self.channel = ByteChannel()
        self.unread_count = UnreadCount(self.channel)
        self._left_count = count
        self._size_bytes = size_bytes
        self.field_count = 0

    async def send_request(self, head, body):
        pass

    async def read_head(self):
        headers = [(ANSWER_ID_HEADER, b"r1"), (SIGNATURE_HEADER, b"s")]
        # Objects of their own, as a parser makes them.
        headers.append((b"content-length", b"900"))
        headers += [(b"x" + b"%d" % n, b"%d" % n) for n in range(100, 100 + self.field_count)]
        return ResponseHead(200, headers)

    async def read_body(self):
        if not self._left_count:
            return b""
        self._left_count -= 1
        return bytes(self._size_bytes)


@given("an attempt at a server that answers with {count:d} parts of {size_bytes:d} bytes")
def step_answering(context, count, size_bytes):
    context.account = CountedAccount()
    context.upstream = upstream = LeavingUpstream()
    upstream.connection = AnsweringConnection(count, size_bytes)
    policy = SimpleNamespace(may_send_to=lambda upstream: True)
    context.attempt = Attempt(upstream, request_with(context.account), policy, 2, [])


@given("its head has {count:d} fields of 4 bytes")
def step_fields(context, count):
    context.upstream.connection.field_count = count


@given("there is no room")
def step_no_room(context):
    context.account.has_room = False


def request_with(account, method=b"GET"):
    return CallerRequest(RequestHead(method, b"/s/"), b"", b"r1", ROUTE, 1, 7, 0, 800, account)


@given("the caller's method is {method}")
def step_method(context, method):
    context.attempt._request = request_with(context.account, method.encode())


@then("the headers for the caller {verb} the server's length")
def step_length(context, verb):
    lengths = [
        value for name, value in context.result.ok_value.headers if name == b"content-length"
    ]
    assert lengths == ([b"900"] if verb == "keep" else []), lengths


@given("its caller's connection has {others}")
def step_others(context, others):
    context.account.must_be_whole = others == "other requests"


@when("the attempt reads the answer")
def step_reads(context):
    async def read():
        tracemalloc.start()
        try:
            before_bytes, _ = tracemalloc.get_traced_memory()
            context.result = await context.attempt.run()
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        context.held_bytes = peak_bytes - before_bytes

    asyncio.run(read())


@then("its connection takes turns with those of other requests")
def step_turns(context):
    assert context.upstream.connection.take_turn == context.account.take_turn


@then("what arrives on its connection is counted")
def step_counts_unread(context):
    channel = context.upstream.connection.channel
    assert channel.on_unread_changed == context.account.count_unread


@then("its body has {size_bytes:d} bytes")
def step_body(context, size_bytes):
    assert len(context.result.ok_value.body) == size_bytes, context.result


@then("at most {transit_bytes:d} bytes more than it has counted were held at any time")
def step_held(context, transit_bytes):
    counted_bytes = context.account.counted_bytes
    assert counted_bytes >= len(context.result.ok_value.body)
    assert context.held_bytes <= counted_bytes + transit_bytes, (context.held_bytes, counted_bytes)


@then("its body begins with {size_bytes:d} bytes and the rest can be read")
def step_begins(context, size_bytes):
    answer = context.result.ok_value
    assert len(answer.body) == size_bytes and answer.body_source is context.attempt, answer
    assert len(asyncio.run(context.attempt.read_body_part()).ok_value) == size_bytes


@then("it has read {size_bytes:d} bytes of the body and {rest}")
def step_read(context, size_bytes, rest):
    answer = context.result.ok_value
    assert len(answer.body) == size_bytes, len(answer.body)
    assert (answer.body_source is None) == (rest == "nothing is left"), answer.body_source
