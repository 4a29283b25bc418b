"""Steps for requests that are given up while a cut holds them back."""

import asyncio

from behave import given, then, when
from result import Err, Ok

from nutmeglead.emulator.hosts import HOST
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.client import HttpFetcher, connect
from nutmeglead.http.errors import RequestWithdrawn, TimedOut
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.messages import RequestHead
from nutmeglead.http.pipeline import PipelineServer

OWN_IP, SERVER_IP, PORT = "10.1.0.2", "10.2.0.1", 80
LIMITS = CallerLimits(16_384, 0, 3_000, 60_000)
TIMEOUT_MS = 160
# Time from a request to the end of its sender, and from there to the end of the cut. The cut ends before
# the limit on unacknowledged data that all connections have.
FATE_S, CUT_S = 0.05, 2.0
REQUEST = RequestHead(b"POST", b"/")
REQUEST_WITH_HOST = RequestHead(b"POST", b"/", [(b"host", b"a"), (b"content-length", b"0")])
BODY_BYTES = 8_000_000


class GivenUpScenario:
    """Send requests from one emulated host to another, over a link that may be cut."""

    def __init__(self, is_cut):
        self.is_cut = is_cut
        self.arrived = 0
        self.result = None
        self.was_closed = None

    async def _answer(self, exchange):
        self.arrived += 1
        await exchange.respond(200, [], b"")

    def run(self, send):
        """Run `send` with a fetcher on the sender's host; then end the cut and count what arrives."""

        async def run(clock):
            loop = asyncio.get_running_loop()
            HOST.set(SERVER_IP)
            server = PipelineServer(self._answer, lambda: LIMITS, clock)
            await server.start(SERVER_IP, PORT)
            HOST.set("")
            await send(loop.network)
            await asyncio.sleep(CUT_S)
            loop.network.isolated.clear()
            loop.network.deliver_held()
            await asyncio.sleep(1)

        run_virtual(run, EmulatedLoop(1))

    def fetch(self, network, fetcher, own_connection=False, may_send=lambda: True):
        """Return a task of the sender's host that sends a request and records its result."""

        async def fetch():
            HOST.set(OWN_IP)
            streams = {stream for stream in network.streams if stream.ip == OWN_IP}
            self.result = await fetcher.fetch(
                SERVER_IP, PORT, REQUEST, b"", TIMEOUT_MS, None, own_connection, may_send
            )
            self.was_closed = not streams & network.streams

        return asyncio.ensure_future(fetch())

    async def open_and_cut(self, network, connection, fetcher):
        """Bring a request onto a new, kept or own connection, of which the cut holds it back."""
        if connection == "kept":
            await self.fetch(network, fetcher)
        task = self.fetch(network, fetcher, connection == "own")
        if connection != "kept":
            while not any(stream.ip == OWN_IP for stream in network.streams):
                await asyncio.sleep(0.0001)
        network.isolated.add(SERVER_IP)
        self.arrived = 0
        await asyncio.sleep(FATE_S)
        return task


async def _time_limit(network, task, fetcher):
    await task


async def _cancel(network, task, fetcher):
    task.cancel()
    await asyncio.wait([task])


async def _close(network, task, fetcher):
    fetcher.close()
    await task


async def _kill(network, task, fetcher):
    network.close_host(OWN_IP)


async def _freeze(network, task, fetcher):
    network.hosts.freeze(OWN_IP)


FATES = {
    "reaches its time limit": _time_limit,
    "is cancelled": _cancel,
    "closes its idle ones": _close,
    "is killed": _kill,
    "is frozen": _freeze,
}


@given("a server whose link is cut")
def step_cut(context):
    context.given_up = GivenUpScenario(is_cut=True)


@given("a server that answers")
def step_server(context):
    context.given_up = GivenUpScenario(is_cut=False)


@when("a request is sent to it on {article} {connection} connection, and its sender {fate}")
def step_send(context, article, connection, fate):
    async def send(network):
        fetcher = HttpFetcher()
        task = await context.given_up.open_and_cut(network, connection, fetcher)
        await FATES[fate](network, task, fetcher)
        if fate == "is frozen":
            asyncio.get_running_loop().call_later(2 * CUT_S, network.thaw_host, OWN_IP)

    context.given_up.run(send)


@when("a request is sent to it without a fetcher, and its sender {fate}")
def step_send_plain(context, fate):
    async def send(network):
        HOST.set(OWN_IP)
        connection = (await connect(SERVER_IP, PORT, TIMEOUT_MS)).unwrap()
        HOST.set("")
        network.isolated.add(SERVER_IP)
        await connection.send_request(REQUEST_WITH_HOST, b"")
        await asyncio.sleep(FATE_S)
        if fate == "aborts it":
            connection.abort()
        else:
            network.close_host(OWN_IP)

    context.given_up.run(send)


@when("a request is withdrawn while its connection is opened")
def step_withdraw(context):
    scenario = context.given_up

    async def send(network):
        def may_send():
            return not any(stream.ip == OWN_IP for stream in network.streams)

        await scenario.fetch(network, HttpFetcher(), may_send=may_send)

    scenario.run(send)


@then("the server gets no request after the cut")
def step_none(context):
    assert context.given_up.arrived == 0, context.given_up.arrived


@then("its socket was closed when the sender learned of the time limit")
def step_closed(context):
    error = context.given_up.result.err_value
    assert isinstance(error, TimedOut) and context.given_up.was_closed, error


@then("the server gets no request, and the sender learns that none was sent")
def step_withdrawn(context):
    result = context.given_up.result
    assert context.given_up.arrived == 0, context.given_up.arrived
    assert isinstance(result, Err) and isinstance(result.err_value, RequestWithdrawn), result


@given("a server on loopback that reads nothing")
def step_mute(context):
    context.accepted = []


@when("a request of 8 MB is sent to it until its time limit")
def step_large(context):
    async def run():
        loop = asyncio.get_running_loop()
        received = bytearray()
        ended = loop.create_future()

        class Reader(asyncio.Protocol):
            def connection_made(self, transport):
                self.transport = transport
                transport.pause_reading()
                context.accepted.append(transport)

            def data_received(self, data):
                received.extend(data)

            def connection_lost(self, exc):
                ended.set_result(exc)

        server = await loop.create_server(Reader, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        context.large_result = await HttpFetcher().fetch(
            "127.0.0.1", port, REQUEST, bytes(BODY_BYTES), TIMEOUT_MS
        )
        context.accepted[0].resume_reading()
        context.end = await ended
        context.received_bytes = len(received)
        server.close()

    asyncio.run(asyncio.wait_for(run(), 10))


@then("the server can read only a part of it, which ends with a reset")
def step_part(context):
    assert not isinstance(context.large_result, Ok), context.large_result
    assert context.received_bytes < BODY_BYTES, context.received_bytes
    assert isinstance(context.end, ConnectionResetError), context.end
