"""Send a body in parts, as a server behind a slow link or a server in trouble does."""

import asyncio
from enum import Enum

PART_COUNT = 10
PART_INTERVAL_S = 0.6


class Sending(Enum):
    """How a server sends a body; a part follows the one before after `PART_INTERVAL_S`."""

    IN_PARTS = "sends its answer in 10 parts, one each 600 ms"
    ONE_PART = "sends one part of its answer and then nothing"
    WITHOUT_END = "sends one part each 600 ms without an end"


class SlowSender:
    """Answer requests with a body, sent in parts."""

    def __init__(self, sending, body):
        self._sending = sending
        size = -(-len(body) // PART_COUNT)
        self._parts = [body[start : start + size] for start in range(0, len(body), size)]

    async def answer(self, exchange):
        await exchange.start_response(200, [])
        for part in self._parts:
            await asyncio.sleep(PART_INTERVAL_S)
            await exchange.send_body(part)
            while self._sending is Sending.WITHOUT_END:
                await asyncio.sleep(PART_INTERVAL_S)
                await exchange.send_body(b" ")
            if self._sending is Sending.ONE_PART:
                await asyncio.sleep(60)
        await exchange.finish_response()
