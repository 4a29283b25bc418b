"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

__all__ = ["Answer", "Request", "WebServer", "read_answer"]


@dataclass
class Request:
    """A request that a stand-in has read whole."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """An answer of a stand-in, or of an entry process."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def encode(self) -> bytes:
        """Return the bytes of the answer, with its length."""
        lines = [f"HTTP/1.1 {self.status} Status", f"Content-Length: {len(self.body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + self.body


Handler = Callable[[Request], Awaitable[Answer]]


class WebServer:
    """Answer the requests of each connection one after the other."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int = 0) -> int:
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        return int(self._server.sockets[0].getsockname()[1])

    def kill(self) -> None:
        """Close the port and all connections at once."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                answer = await self._handler(request)
                writer.write(answer.encode())
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(reader: asyncio.StreamReader) -> Request:
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read an answer with a length; raise IncompleteReadError or OSError if it ends early."""
    first, headers = await _read_head(reader)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(int(first.split(" ")[1]), headers, body)
