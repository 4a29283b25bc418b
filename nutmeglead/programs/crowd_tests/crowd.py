"""Clients that exceed the limits: each sends raw bytes and keeps its connection open."""

import asyncio

from nutmeglead.programs.crowd_tests.deployment import BODY_BYTES, HOST

__all__ = ["CROWDS", "Crowd", "send_largest_body"]

BLOCK = b"x" * 65_536
MIB = 1024 * 1024
# The crowd has done what it can when nothing moves during so many ordinary requests in a row.
SETTLED_ROUNDS = 40
ROUND_INTERVAL_S = 0.02
OVER_LIMIT_BYTES = 24 * MIB
# Headers of 6 bytes each, which make a head of 15,000 bytes; the manifest allows 16,384.
SHORT_HEADERS = ["x: v"] * 2_480


def head(path, *headers, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}", "x-request-id: crowd", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Crowd:
    """Run clients, until they have ended or neither they nor the server make progress."""

    def __init__(self, deployment, count, client):
        self._deployment = deployment
        self._count = count
        self._client = client
        self.writers = []
        self.received_bytes = 0

    async def run(self):
        tasks = [asyncio.create_task(self._run_client()) for _ in range(self._count)]
        await self._settle(tasks)
        for task in tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()
        self._deployment.server.released.set()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_client(self):
        try:
            reader, writer = await self._deployment.connect()
            self.writers.append(writer)
            await self._client(self, reader, writer)
            # The connection stays open until the process ends it.
            while await reader.read(4_096):
                pass
        except OSError:
            return

    def _progress(self):
        unsent = sum(writer.transport.get_write_buffer_size() for writer in self.writers)
        return (
            len(self.writers),
            unsent,
            self._deployment.server.request_count,
            self.received_bytes,
        )

    async def _settle(self, tasks):
        """Send ordinary requests meanwhile, whose answers are not judged."""
        quiet_rounds = 0
        while quiet_rounds < SETTLED_ROUNDS and not all(task.done() for task in tasks):
            before = self._progress()
            requests = self._deployment.server.request_count
            if not self._deployment.is_alive:
                return
            self._deployment.count_fds()
            await self._deployment.ordinary_status()
            await asyncio.sleep(ROUND_INTERVAL_S)
            after = self._progress()
            # The ordinary request itself is no progress of the crowd.
            own = self._deployment.server.request_count - requests <= 1
            same = before[:2] == after[:2] and before[3] == after[3]
            quiet_rounds = quiet_rounds + 1 if same and own else 0


async def send_chunks(writer, size_bytes, chunk_bytes):
    """Send chunks without the last one, which has the length 0."""
    sent = 0
    while sent < size_bytes:
        size = min(chunk_bytes, size_bytes - sent)
        writer.write(b"%x\r\n" % size)
        for start in range(0, size, len(BLOCK)):
            writer.write(BLOCK[: min(len(BLOCK), size - start)])
            await writer.drain()
        writer.write(b"\r\n")
        sent += size
    await writer.drain()


async def stop_short_in_large_chunks(crowd, reader, writer):
    writer.write(head("/app/2", "transfer-encoding: chunked"))
    await send_chunks(writer, BODY_BYTES - 1_000, MIB)


async def stop_short_in_one_byte_chunks(crowd, reader, writer):
    writer.write(head("/app/2", "transfer-encoding: chunked"))
    for _ in range(500):
        writer.write(b"1\r\nx\r\n" * 100)
        await writer.drain()


async def announce_too_much(crowd, reader, writer):
    writer.write(head("/app/2", "content-length: 4000000000"))
    for _ in range(OVER_LIMIT_BYTES // len(BLOCK)):
        writer.write(BLOCK)
        await writer.drain()


async def send_too_much(crowd, reader, writer):
    writer.write(head("/app/2", "transfer-encoding: chunked"))
    await send_chunks(writer, OVER_LIMIT_BYTES, MIB)


async def read_no_answer(writer, path, count):
    writer.transport.pause_reading()
    for _ in range(count // 10):
        writer.write(head(path, method="GET") * 10)
        await writer.drain()
    # Nothing is read until the crowd leaves.
    await asyncio.get_running_loop().create_future()


async def send_ahead(crowd, reader, writer):
    await read_no_answer(writer, "/app/2", 4_000)


async def send_ahead_for_large_answers(crowd, reader, writer):
    await read_no_answer(writer, "/app/500000", 400)


async def send_short_headers_ahead(crowd, reader, writer):
    await send_unread(writer, [head("/app/20000", *SHORT_HEADERS, method="GET")] * 20)


async def send_ahead_for_small_chunks(crowd, reader, writer):
    await send_unread(writer, [head("/app/chunks-590000", method="GET")] * 8)


async def send_unread(writer, requests):
    writer.transport.pause_reading()
    for request in requests:
        writer.write(request)
        await writer.drain()
    # Nothing is read until the crowd leaves.
    await asyncio.get_running_loop().create_future()


async def mix_kinds(crowd, reader, writer):
    """Behave like the next one of the kinds that hold the most."""
    await MIXED_KINDS[len(crowd.writers) % len(MIXED_KINDS)](crowd, reader, writer)


async def read_beginning(crowd, reader, writer):
    writer.write(head("/app/8000000", method="GET"))
    # After the first bytes, the kernel's buffers are all that goes on reading.
    crowd.received_bytes += len(await reader.read(1_024))
    writer.transport.pause_reading()
    await asyncio.get_running_loop().create_future()


async def send_whole_body(crowd, reader, writer):
    writer.write(head("/app/unread", f"content-length: {BODY_BYTES}"))
    for _ in range(BODY_BYTES // len(BLOCK)):
        writer.write(BLOCK)
        await writer.drain()


async def send_largest_body(deployment):
    """Send the largest body that the manifest allows, and return the status of the answer."""
    reader, writer = await deployment.connect()
    size_bytes = deployment.body_bytes
    try:
        writer.write(head("/app/2", f"content-length: {size_bytes}", "connection: close"))
        for _ in range(size_bytes // len(BLOCK)):
            writer.write(BLOCK)
            await writer.drain()
        answer = await reader.read()
        return int(answer.split(b" ")[1]) if answer else 0
    except OSError:
        # A refused caller may lose the answer while it still sends.
        return 0
    finally:
        writer.close()


MIXED_KINDS = [
    stop_short_in_large_chunks,
    send_short_headers_ahead,
    send_ahead_for_large_answers,
    send_ahead_for_small_chunks,
    read_beginning,
    stop_short_in_one_byte_chunks,
    send_whole_body,
]
CROWDS = {
    "send bodies in large chunks and stop short": stop_short_in_large_chunks,
    "send bodies in one-byte chunks and stop short": stop_short_in_one_byte_chunks,
    "announce 4 GB and send 24 MB": announce_too_much,
    "send 24 MB without announcing a length": send_too_much,
    "send 4000 requests ahead and read no answer": send_ahead,
    "send 400 requests for 500 kB ahead and read no answer": send_ahead_for_large_answers,
    "read only the beginning of an answer of 8 MB": read_beginning,
    "send whole bodies to a server that reads none of it": send_whole_body,
    "send 20 requests with 2480 headers ahead and read no answer": send_short_headers_ahead,
    "send 8 requests ahead for 590 kB in chunks of 16 bytes and read no answer": (
        send_ahead_for_small_chunks
    ),
    "do all of these at once": mix_kinds,
    "connect and send nothing": lambda crowd, reader, writer: asyncio.sleep(0),
}
