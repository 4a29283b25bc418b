"""Send requests in random pieces at random times around a stop, and judge their answers."""

import asyncio
import random
import re

from nutmeglead.http.channel import ByteChannel
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer

__all__ = ["StopSendings"]

ADDRESS = ("10.1.0.1", 80)
LIMITS = CallerLimits(16_384, 65_536, 3_000, 15_000)
MAX_REQUESTS = 25
GRACE_MS = 3_000
STOP_AFTER_MS = (0, 50, 300)
LISTENING_MS = (200, 500, 2_300)
PAUSES_MS = (0, 0, 0, 0.1, 1, 20, 100, 400)
PIECE_PAUSES_MS = (0, 1, 50, 200)
WORK_MS = (0, 1, 10, 100, 400)
STALLS_MS = (10, 50, 200)
BODY_BYTES = (1, 100, 3_000, 20_000)
HEAD_BYTES = (10, 3_000, 9_000)
# What was sent this long before the caller sees its last answer had arrived before that was sent.
ARRIVED_MS = 0.6


class StopSendings:
    """Hold the faults that one seed has shown."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._handled = []
        self._received = b""
        # When the first piece of each request that was sent whole was sent.
        self._sent_s = {}
        self._closed_s = None
        self.faults = []

    async def _answer(self, exchange):
        number, rng, loop = int(exchange.head.target[1:]), self._rng, asyncio.get_running_loop()
        self._handled.append(number)
        await asyncio.sleep(rng.choice(WORK_MS) / 1000)
        if rng.random() < 0.2:
            loop.stand_still(rng.choice(STALLS_MS) / 1000)
        body = b"<%d>" % number
        if rng.random() < 0.7:
            await exchange.respond(200, [], body)
            return
        await exchange.start_response(200, [(b"content-length", b"%d" % len(body))])
        await exchange.send_body(body[:-1])
        await asyncio.sleep(rng.choice(WORK_MS) / 1000)
        await exchange.send_body(body[-1:])
        await exchange.finish_response()

    async def run(self, clock):
        """Serve one caller until its server has stopped, and judge what it has received."""
        loop, rng = asyncio.get_running_loop(), self._rng
        server = PipelineServer(self._answer, lambda: LIMITS, clock)
        await server.start(*ADDRESS)
        _, channel = await loop.create_connection(ByteChannel, *ADDRESS)
        stop_after_ms, listening_ms = rng.choice(STOP_AFTER_MS), rng.choice(LISTENING_MS)
        port_closed_s = loop.time() + (stop_after_ms + listening_ms) / 1000
        stopping = asyncio.create_task(self._stop(server, stop_after_ms, listening_ms))
        reading = asyncio.create_task(self._read(channel))
        for number in range(rng.randint(1, MAX_REQUESTS)):
            await asyncio.sleep(rng.choice(PAUSES_MS) / 1000)
            if not channel.is_open:
                break
            await self._send(channel, number)
        cut_off = await stopping
        channel.abort()
        await reading
        self._judge(cut_off, port_closed_s)

    async def _stop(self, server, stop_after_ms, listening_ms):
        await asyncio.sleep(stop_after_ms / 1000)
        server.begin_stop()
        await asyncio.sleep(listening_ms / 1000)
        await server.stop_listening()
        return await server.wait_closed(GRACE_MS)

    async def _read(self, channel):
        while data := await channel.read():
            self._received += data
            if self._closed_s is None and b"connection: close" in self._received:
                self._closed_s = asyncio.get_running_loop().time()

    async def _send(self, channel, number):
        """Send a request, at times in two pieces with a pause between them."""
        request, sent_s = self._make_request(number), asyncio.get_running_loop().time()
        pieces = [request]
        if self._rng.random() < 0.3:
            cut = self._rng.randrange(1, len(request))
            pieces = [request[:cut], request[cut:]]
        for piece in pieces:
            if not channel.is_open:
                return
            await channel.write(piece)
            if len(pieces) > 1:
                await asyncio.sleep(self._rng.choice(PIECE_PAUSES_MS) / 1000)
        self._sent_s[number] = sent_s

    def _make_request(self, number):
        rng, size_bytes = self._rng, self._rng.choice(BODY_BYTES)
        post = b"POST /%d HTTP/1.1\r\nhost: a\r\n" % number
        return rng.choice(
            (
                b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n" % number,
                b"GET /%d HTTP/1.1\r\nhost: a\r\nx-pad: %s\r\n\r\n"
                % (number, b"p" * rng.choice(HEAD_BYTES)),
                post + b"content-length: %d\r\n\r\n%s" % (size_bytes, b"b" * size_bytes),
                post + b"transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            )
        )

    def _judge(self, cut_off, port_closed_s):
        answered = [int(number) for number in re.findall(rb"<(\d+)>", self._received)]
        if cut_off.exchanges or answered != self._handled:
            self.faults.append(f"handled {self._handled}, answered {answered}, {cut_off}")
        if answered != sorted(set(answered)):
            self.faults.append(f"answered in the order {answered}")
        if self._received.count(b"connection: close") > 1:
            self.faults.append("more than one answer closes the connection")
        # Once the port is closed, a connection ends with the latest request that was read.
        if self._closed_s is None or self._closed_s >= port_closed_s:
            return
        arrived_s = self._closed_s - ARRIVED_MS / 1000
        lost = [n for n, sent_s in self._sent_s.items() if sent_s < arrived_s]
        if lost := [number for number in lost if number not in self._handled]:
            self.faults.append(f"requests {lost} had arrived and were not handled")
