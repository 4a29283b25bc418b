"""Stop a node of a cluster while requests arrive, or are passed on, late in its stop."""

import asyncio
from dataclasses import dataclass, field

import h11

from nutmeglead.core.registry import Registry
from nutmeglead.emulator.cluster import FRONT_PORT
from nutmeglead.emulator.hosts import HOST
from nutmeglead.emulator.pipelined_callers import PipelinedCallers
from nutmeglead.emulator.server_host import ServerOptions
from nutmeglead.emulator.stop_judge import (
    TimedRequest,
    requests_given_up,
    requests_unanswered,
)
from nutmeglead.entry.tests.stops import CALLER_IP, SETTLE_S, STOPPED, StoppedNode
from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.errors import HttpError
from nutmeglead.platform.wire import REQUEST_ID_HEADER

DEADLINE_MS = 7_000
GRACE_MS = 6_000
# Requests before the stop, from which the node learns the service time.
LEARN_S = 6
WORK_MS = 300
LEARN_DEPTH = 6
# From then on, work takes several times as long as before.
SLOW_FROM_MS = 2_600
SLOW_FACTOR = 8.0
OBSERVED_S = 9
# Time before SIGTERM at which the ways begin.
LEAD_MS = 3_000
PARTS = 8

WAYS = Registry("ways in which a request is late in a stop")


@dataclass
class LateRequests:
    """Send requests to a node that stops, and record their times."""

    cluster: object
    stop_ms: int
    make_head: object
    slow_from_ms: int = SLOW_FROM_MS
    requests: list = field(default_factory=list)

    async def until(self, after_ms):
        """Wait until a time after SIGTERM."""
        await asyncio.sleep((self.stop_ms + after_ms - self.cluster.clock.now_ms()) / 1000)

    async def connect(self):
        """Return a connection to the node."""
        address = (self.cluster.node_ip(STOPPED), FRONT_PORT)
        _, channel = await asyncio.get_running_loop().create_connection(ByteChannel, *address)
        return channel

    async def connect_many(self, count):
        """Return several connections to the node."""
        return await asyncio.gather(*(self.connect() for _ in range(count)))

    async def send_all(self, channels):
        """Send one request on each connection and read the answers."""
        await asyncio.gather(*(self.send(channel) for channel in channels))

    async def write(self, channel, head_ms=None, body_ms=None, is_awaited=False):
        """Write a request; its head and its body begin at once and arrive until these times."""
        clock, number = self.cluster.clock, len(self.requests) + 1
        request = TimedRequest(f"late-{number}")
        self.requests.append(request)
        request.begun_ms = clock.now_ms()
        parser = h11.Connection(h11.CLIENT)
        head = self.make_head(request.request_id)
        fields = [*head.headers, (REQUEST_ID_HEADER, request.request_id.encode())]
        if body_ms is not None:
            fields.append((b"content-length", b"%d" % PARTS))
        if is_awaited:
            fields.append((b"expect", b"100-continue"))
        method = b"GET" if body_ms is None else b"POST"
        event = h11.Request(method=method, target=head.target, headers=fields)
        await self._write_until(channel, parser.send(event), head_ms)
        if body_ms is not None:
            await self._write_until(channel, b"x" * PARTS, body_ms)
            parser.send(h11.Data(b"x" * PARTS))
        parser.send(h11.EndOfMessage())
        request.written_ms = clock.now_ms()
        return request, parser

    async def _write_until(self, channel, data, end_ms):
        """Write bytes at once, or in parts until a time after SIGTERM."""
        if end_ms is None:
            await channel.write(data)
            return
        begun_ms = self.cluster.clock.now_ms() - self.stop_ms
        step = -(-len(data) // PARTS)
        for number in range(PARTS):
            await self.until(begun_ms + (end_ms - begun_ms) * number / (PARTS - 1))
            await channel.write(data[number * step : (number + 1) * step])

    async def read(self, channel, *sent, closes=True):
        """Read the answers to requests of one connection in their order."""
        data = b""
        for request, parser in sent:
            status, body = await read_answer(channel, parser, data)
            request.status = status
            request.ended_ms = self.cluster.clock.now_ms()
            request.is_from_server = body.startswith(request.request_id.encode() + b" ")
            data = parser.trailing_data[0]
        if closes:
            channel.abort()

    async def send(self, channel, **times):
        """Send one request and read its answer."""
        await self.read(channel, await self.write(channel, **times))

    async def set_slow(self):
        """Let all servers need several times as long from a moment on."""
        await self.until(self.slow_from_ms)
        for server in self.cluster.servers.values():
            server.host.work_factor = SLOW_FACTOR


async def read_answer(channel, parser, data):
    """Return the status and the body of a whole answer, or 0 and what has come of it."""
    body, status = b"", 0
    if data:
        parser.receive_data(data)
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await channel.read()
            if not data:
                return 0, body
            parser.receive_data(data)
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        elif isinstance(event, h11.ConnectionClosed):
            return 0, body


class LateStop(StoppedNode):
    """Stop one node under requests that are late, and hold those that it gave up."""

    def __init__(self, has_keys, way):
        super().__init__(has_keys, DEADLINE_MS)
        self.servers = ServerOptions(work_ms=WORK_MS)
        self._way = way

    def run(self, seed):
        """Learn the service time, stop the node, and judge its late requests."""
        self._run_cluster(seed, self._stop)

    async def _stop(self, cluster):
        await asyncio.sleep(SETTLE_S)
        await self._learn(cluster)
        late = LateRequests(cluster, cluster.clock.now_ms() + LEAD_MS, self._head)
        HOST.set(CALLER_IP)
        way = asyncio.create_task(WAYS.get(self._way)(late))
        slow = asyncio.create_task(late.set_slow())
        await late.until(0)
        self.cut_off = await cluster.stop_node(STOPPED)
        await late.until(OBSERVED_S * 1000)
        await asyncio.gather(way, slow, return_exceptions=True)
        if isinstance(error := way.exception(), Exception) and not isinstance(error, HttpError):
            raise error
        self.requests = late.requests
        for request in self.requests:
            request.way = self._way
        self.given_up = requests_given_up(
            late.requests, cluster.executions.accepted_ms, late.stop_ms, GRACE_MS, DEADLINE_MS
        )
        self.unanswered = requests_unanswered(late.requests)

    async def _learn(self, cluster):
        callers = PipelinedCallers(
            "ahead",
            (cluster.node_ip(STOPPED), FRONT_PORT),
            LEARN_DEPTH,
            self._head,
            cluster.clock,
        )
        HOST.set(CALLER_IP)
        await callers.run(LEARN_S, 4)
