"""Answer requests on loopback as a script says, byte by byte."""

import asyncio
import socket
import struct

GOOD = "good"


def answer(request_id, body=b"whole", status=200, extra=b"", length=True):
    """Return the bytes of an answer as a sound server sends it."""
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\nX-Response-Signature: s\r\n"
    if length:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + extra + b"\r\n" + body


def reset(writer):
    """End a connection with a reset instead of the end of the stream."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class ScriptedServer:
    """Take one behaviour per request; the last one is repeated."""

    def __init__(self, server_id, behaviours):
        self.server_id = server_id
        self.behaviours = list(behaviours)
        self.requests = []
        self.broken_off = 0
        self.connections = 0
        self.go_on = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            self.broken_off += 1
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        lines = head.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        headers = {name.lower(): value for name, value in headers.items()}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        self.requests.append((lines[0], headers, body))
        behaviour = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
        method = getattr(self, "_" + behaviour.replace(" ", "_"))
        return await method(reader, writer, headers["x-request-id"])

    async def _send(self, writer, data):
        writer.write(data)
        await writer.drain()
        return True

    async def _good(self, reader, writer, request_id):
        return await self._send(writer, answer(request_id, self.server_id.encode()))

    async def _slow(self, reader, writer, request_id):
        await self.go_on.wait()
        return await self._good(reader, writer, request_id)

    async def _silent(self, reader, writer, request_id):
        if not await reader.read(1):
            self.broken_off += 1
        return False

    async def _closes(self, reader, writer, request_id):
        return False

    async def _resets(self, reader, writer, request_id):
        reset(writer)
        return False

    async def _fails(self, reader, writer, request_id):
        return await self._send(writer, answer(request_id, b"error", 500))

    async def _refuses(self, reader, writer, request_id):
        stated = b"X-Not-Executed: 1\r\n"
        return await self._send(writer, answer(request_id, b"", 503, stated))

    async def _is_busy_without_a_statement(self, reader, writer, request_id):
        return await self._send(writer, answer(request_id, b"", 503))

    async def _is_another_server(self, reader, writer, request_id):
        return await self._send(writer, answer(request_id, b"", 421))

    async def _sends_garbage(self, reader, writer, request_id):
        return await self._send(writer, b"\x00\x01 no answer at all\r\n\r\n")

    async def _cuts_the_body(self, reader, writer, request_id):
        await self._send(writer, answer(request_id, b"whole")[:-2])
        return False

    async def _sends_no_length(self, reader, writer, request_id):
        await self._send(writer, answer(request_id, b"whole", length=False))
        return False

    async def _sends_no_length_and_resets(self, reader, writer, request_id):
        await self._send(writer, answer(request_id, b"who", length=False))
        await asyncio.sleep(0.05)
        reset(writer)
        return False

    async def _answers_twice(self, reader, writer, request_id):
        second = answer(request_id, b"second")
        return await self._send(writer, answer(request_id, b"whole") + second)

    async def _sends_a_late_extra_answer_first(self, reader, writer, request_id):
        return await self._send(writer, answer("0ther", b"late") + answer(request_id, b"whole"))

    async def _sends_no_signature(self, reader, writer, request_id):
        head = f"HTTP/1.1 200 X\r\nX-Request-Id: {request_id}\r\nContent-Length: 5\r\n\r\nwhole"
        return await self._send(writer, head.encode())

    async def _encodes_the_body(self, reader, writer, request_id):
        encoding = b"Content-Encoding: gzip\r\n"
        return await self._send(writer, answer(request_id, b"whole", 200, encoding))
