"""Steps for rpc calls over loopback."""

import asyncio
import random
import struct

from behave import given, then, when
from result import Ok

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import DigestReply, DigestRequest, Envelope, MessageType
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.codec import decode, encode
from nutmeglead.rpc.client import RpcClient, RpcLimits
from nutmeglead.rpc.connection import Backoff
from nutmeglead.rpc.frames import FrameDecoder, encode_frame
from nutmeglead.rpc.server import HandlerRegistry, RpcServer

ME = Sender("entry-1", "i1")
# Short, because the scenarios of silent peers wait for it; long enough for loopback under load.
SILENT_TIMEOUT_MS = 200
ANSWER_TIMEOUT_MS = 5000


def reply_to(request):
    return DigestReply(ME, request.service_name, request.digest, [], 0)


def reply_frame(envelope, request_id=None):
    body = encode(reply_to(decode(DigestRequest, envelope.body).unwrap()))
    return encode_frame(
        Envelope(envelope.type, request_id or envelope.request_id, True, body)
    ).unwrap()


class RawPeer:
    """Answer frames by a script: `script(connection_number, envelopes) -> bytes | None`."""

    def __init__(self, script):
        self.script = script
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        number, decoder = self.connections, FrameDecoder()
        while data := await reader.read(65536):
            answer = self.script(number, decoder.feed(data).unwrap())
            if answer is None:
                break
            writer.write(answer)
        writer.close()


def _malformed_reply(number, envelopes):
    return b"".join(
        encode_frame(Envelope(e.type, e.request_id, True, b"\x15")).unwrap() for e in envelopes
    )


def _reversed(collected):
    def script(number, envelopes):
        collected.extend(envelopes)
        if len(collected) < 8:
            return b""
        return b"".join(reply_frame(envelope) for envelope in reversed(collected))

    return script


def _other_first(number, envelopes):
    other = Envelope(MessageType.DIGEST, 0, False, encode(DigestRequest(ME, "another service", 99)))
    return reply_frame(other, request_id=77) + reply_frame(envelopes[0])


SCRIPTS = {
    "never answers": lambda n, envelopes: b"",
    "closes before the reply": lambda n, envelopes: None,
    "sends a malformed frame": lambda n, envelopes: struct.pack("!I", 3) + b"\xff\xff\xff",
    "sends a malformed reply": _malformed_reply,
    "replies to another call first": _other_first,
    "replies in reverse order": _reversed([]),
    "answers only on its second connection": lambda n, envelopes: (
        b"" if n == 1 else b"".join(map(reply_frame, envelopes))
    ),
}


class CallScenario:
    def __init__(self):
        self.runner = asyncio.Runner()
        self.clock = ManualClock(1000)
        self.limits = RpcLimits(max_in_flight_per_peer=8)
        self.client = RpcClient(self.clock, random.Random(1), self.limits)
        self.server = None
        self.signal = asyncio.Event()
        self.entered = asyncio.Event()
        self.timeout_ms = ANSWER_TIMEOUT_MS
        self.results = []

    def registry(self, handler):
        registry = HandlerRegistry()
        if handler is not None:
            registry.add(MessageType.DIGEST, DigestRequest, handler)
        return registry

    def listen(self, handler, port=0):
        self.server = RpcServer(self.registry(handler))
        port = self.runner.run(self.server.start("127.0.0.1", port))
        self.address = Address("127.0.0.1", port)

    def listen_raw(self, script):
        async def start():
            return await asyncio.start_server(RawPeer(script).serve, "127.0.0.1", 0)

        raw = self.runner.run(start())
        self.address = Address("127.0.0.1", raw.sockets[0].getsockname()[1])

    def reserve_port(self):
        async def start_and_stop():
            server = await asyncio.start_server(RawPeer(None).serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            return port

        self.address = Address("127.0.0.1", self.runner.run(start_and_stop()))

    async def answer(self, request):
        return reply_to(request)

    async def fail(self, request):
        raise ValueError("injected")

    async def wait_for_signal(self, request):
        self.entered.set()
        await self.signal.wait()
        return reply_to(request)

    async def call(self, digest=1, address=None):
        return await self.client.call(
            address or self.address,
            MessageType.DIGEST,
            DigestRequest(ME, "lagerblick", digest),
            DigestReply,
            self.timeout_ms,
        )

    def call_many(self, count):
        async def calls():
            return await asyncio.gather(*(self.call(n) for n in range(count)))

        self.results = self.runner.run(calls())

    def name_of(self, result, digest=1):
        if isinstance(result, Ok):
            expected = reply_to(DigestRequest(ME, "lagerblick", digest))
            return "the reply" if result.ok_value == expected else f"another reply: {result}"
        return type(result.err_value).__name__

    async def _close(self):
        await self.client.close()
        if self.server is not None:
            await self.server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        if others:
            await asyncio.wait(others)

    def close(self):
        self.runner.run(self._close())
        self.runner.close()


@given("a peer that {behaviour}")
def step_peer(context, behaviour):
    scenario = context.call = CallScenario()
    context.add_cleanup(scenario.close)
    handlers = {
        "answers": scenario.answer,
        "has no handler": None,
        "has a handler that fails": scenario.fail,
    }
    if behaviour in handlers:
        scenario.listen(handlers[behaviour])
    elif behaviour == "does not listen":
        scenario.reserve_port()
    else:
        if behaviour in ("never answers", "answers only on its second connection"):
            scenario.timeout_ms = SILENT_TIMEOUT_MS
            scenario.limits = RpcLimits(max_in_flight_per_peer=4)
            scenario.client = RpcClient(scenario.clock, random.Random(1), scenario.limits)
        scenario.listen_raw(SCRIPTS[behaviour])


@given("a peer whose handler waits for a signal")
def step_waiting_peer(context):
    scenario = context.call = CallScenario()
    context.add_cleanup(scenario.close)
    scenario.listen(scenario.wait_for_signal)


@when("it is called once")
def step_call(context):
    context.call.results = [context.call.runner.run(context.call.call())]


@when("it is called once with a limit of {limit:d} bytes")
def step_call_too_large(context, limit):
    scenario = context.call
    limits = RpcLimits(max_frame_bytes=limit)
    scenario.client = RpcClient(scenario.clock, random.Random(1), limits)
    scenario.results = [scenario.runner.run(scenario.call())]


@when("it is called {count:d} times at once and the first timeout drops the connection")
def step_dropped(context, count):
    scenario = context.call
    limits = RpcLimits(timeouts_to_reconnect=1)
    scenario.client = RpcClient(scenario.clock, random.Random(1), limits)
    scenario.call_many(count)


@when("it is called {count:d} times at once")
def step_call_many(context, count):
    context.call.call_many(count)


@when("it is called {count:d} times one after the other")
def step_call_in_turn(context, count):
    for _ in range(count):
        result = context.call.runner.run(context.call.call())
        assert context.call.name_of(result) == "CallTimeout", result
    context.call.timeout_ms = ANSWER_TIMEOUT_MS


@when("it begins to listen")
def step_listen(context):
    context.call.listen(context.call.answer, context.call.address.port)


@when("{count:d} other peers are called with a limit of {limit:d} connections")
def step_other_peers(context, count, limit):
    scenario = context.call
    scenario.client = RpcClient(scenario.clock, random.Random(1), RpcLimits(max_connections=limit))
    context.servers = []
    for _ in range(count):
        scenario.listen(scenario.answer)
        context.servers.append(scenario.server)
        result = scenario.runner.run(scenario.call())
        assert scenario.name_of(result) == "the reply", result


@when("another connection sends a malformed frame")
def step_malformed(context):
    scenario = context.call
    scenario.runner.run(scenario.call())

    async def send():
        reader, writer = await asyncio.open_connection("127.0.0.1", scenario.address.port)
        writer.write(struct.pack("!I", 3) + b"\xff\xff\xff")
        rest = await asyncio.wait_for(reader.read(), ANSWER_TIMEOUT_MS / 1000)
        writer.close()
        return rest

    context.rest = scenario.runner.run(send())


@when("it is called, told to close and then signalled")
def step_close(context):
    scenario = context.call

    async def run():
        call = asyncio.ensure_future(scenario.call())
        await scenario.entered.wait()
        closing = asyncio.ensure_future(scenario.server.close(ANSWER_TIMEOUT_MS))
        await asyncio.sleep(0)
        scenario.signal.set()
        await closing
        return await call

    scenario.results = [scenario.runner.run(run())]


@then("the call ends with {expected}")
def step_result(context, expected):
    names = [context.call.name_of(result) for result in context.call.results]
    assert names == [expected], context.call.results


@then("the call {verb} have run")
def step_may_have_run(context, verb):
    result = context.call.results[0]
    may_have_run = isinstance(result, Ok) or result.err_value.may_have_run
    assert may_have_run is (verb == "may"), result


@then("each call may have run")
def step_all_may_have_run(context):
    results = context.call.results
    assert all(result.err_value.may_have_run for result in results), results


@then("each call has its own reply")
def step_own_reply(context):
    names = [context.call.name_of(result, n) for n, result in enumerate(context.call.results)]
    assert set(names) == {"the reply"}, names


@then("{refused:d} calls end with TooManyCalls and {timed_out:d} with CallTimeout")
def step_bounded(context, refused, timed_out):
    names = [context.call.name_of(result) for result in context.call.results]
    assert sorted(names) == ["CallTimeout"] * timed_out + ["TooManyCalls"] * refused, names


@then("a call at once ends with {expected}")
def step_call_at_once(context, expected):
    result = context.call.runner.run(context.call.call())
    assert context.call.name_of(result) == expected, result


@then("a call after the backoff ends with the reply")
def step_call_after_backoff(context):
    context.call.clock.advance(context.call.limits.backoff_max_ms)
    result = context.call.runner.run(context.call.call())
    assert context.call.name_of(result) == "the reply", result


@then("at most {limit:d} peers have a connection")
def step_connections(context, limit):
    async def settle():
        while sum(server.connection_count for server in context.servers) > limit:
            await asyncio.sleep(0)

    context.call.runner.run(asyncio.wait_for(settle(), ANSWER_TIMEOUT_MS / 1000))


@then("no later call is answered")
def step_not_answered(context):
    result = context.call.runner.run(context.call.call())
    assert context.call.name_of(result) in ("ConnectionLost", "PeerUnreachable"), result


@then("that connection is closed")
def step_closed(context):
    assert context.rest == b"", context.rest


@then("the waits after {count:d} failures double from {base:d} ms to at most {top:d} ms")
def step_backoff(context, count, base, top):
    backoff, now_ms, waits = Backoff(base, top, random.Random(3)), 0, []
    for _attempt in range(count):
        backoff.failed(now_ms)
        wait = next(ms for ms in range(2 * top) if backoff.may_try(now_ms + ms))
        waits.append(wait)
        now_ms += wait
    for n, wait in enumerate(waits):
        full = min(top, base * 2**n)
        assert full / 2 <= wait <= full + 1, waits
    backoff.succeeded()
    assert backoff.may_try(now_ms)
