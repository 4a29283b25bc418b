"""Serve a table, an object store and a VM list over HTTP from memory."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from enum import Enum
from urllib.parse import unquote

from result import Err, Ok

from nutmeglead.core.ids import RowKey
from nutmeglead.http.server import HttpServer, ServerExchange
from nutmeglead.platform.errors import RowConflict, TableAnswerLost
from nutmeglead.platform.http_table import row_to_json
from nutmeglead.platform.http_vms import vm_to_json
from nutmeglead.platform.memory import MemoryObjectStore, MemoryTable, MemoryVmList
from nutmeglead.platform.ports import RowCheck, RowWrite

__all__ = ["PlatformService", "PlatformStandin"]

JSON_HEADERS = [(b"content-type", b"application/json")]

Route = Callable[[ServerExchange, str, bytes], Awaitable[None]]


class PlatformService(Enum):
    """Name the services of the platform."""

    TABLE = "table service"
    OBJECTS = "object store"
    VM_LIST = "VM list"


class PlatformStandin:
    """Answer the wire forms of nutmeglead.platform.http_* from in-memory services.

    Requests to a service that is not among `services` are answered with status 404.
    """

    def __init__(
        self,
        latency_ms: int = 0,
        services: frozenset[PlatformService] = frozenset(PlatformService),
    ) -> None:
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.vms = MemoryVmList()
        self._latency_ms = latency_ms
        self._server = HttpServer(self._handle)
        table, objects = PlatformService.TABLE, PlatformService.OBJECTS
        routes: list[tuple[PlatformService, bytes, str, Route]] = [
            (table, b"GET", "/rows/", self._read_row),
            (table, b"GET", "/scan/", self._scan),
            (table, b"POST", "/commit", self._commit),
            (objects, b"PUT", "/objects/", self._put_object),
            (objects, b"GET", "/objects/", self._get_object),
            (objects, b"GET", "/names/", self._list_names),
            (PlatformService.VM_LIST, b"GET", "/vms", self._list_vms),
        ]
        self._routes = [route[1:] for route in routes if route[0] in services]

    async def start(self, ip: str, port: int) -> int:
        """Listen and return the port."""
        return await self._server.start(ip, port)

    async def stop(self) -> None:
        """Stop at once."""
        await self._server.stop(0)

    async def _handle(self, exchange: ServerExchange) -> None:
        body = bytearray()
        while data := await exchange.read_body():
            body += data
        if self._latency_ms:
            await asyncio.sleep(self._latency_ms / 1000)
        target = exchange.head.target.decode("latin-1")
        for method, prefix, route in self._routes:
            if exchange.head.method == method and target.startswith(prefix):
                await route(exchange, unquote(target[len(prefix) :]), bytes(body))
                return
        await exchange.respond(404, [], b"")

    async def _read_row(self, exchange: ServerExchange, key: str, _: bytes) -> None:
        done = await self.table.read(RowKey(key))
        if isinstance(done, Err):
            await exchange.respond(503, [], b"")
        elif done.ok_value is None:
            await _respond_absent(exchange)
        else:
            await _respond_json(exchange, 200, row_to_json(done.ok_value))

    async def _scan(self, exchange: ServerExchange, prefix: str, _: bytes) -> None:
        done = await self.table.scan(prefix)
        if isinstance(done, Err):
            await exchange.respond(503, [], b"")
        else:
            await _respond_json(exchange, 200, [row_to_json(row) for row in done.ok_value])

    async def _commit(self, exchange: ServerExchange, _: str, body: bytes) -> None:
        request = json.loads(body)
        checks = [RowCheck(check["key"], check["version"]) for check in request["checks"]]
        writes = [RowWrite(write["key"], _decode(write["value"])) for write in request["writes"]]
        done = await self.table.commit(checks, writes)
        if isinstance(done, Ok):
            await _respond_json(exchange, 200, done.ok_value)
        elif isinstance(done.err_value, RowConflict):
            await _respond_json(exchange, 409, {"keys": list(done.err_value.keys)})
        elif isinstance(done.err_value, TableAnswerLost):
            exchange.abort()
        else:
            await exchange.respond(503, [], b"")

    async def _put_object(self, exchange: ServerExchange, name: str, body: bytes) -> None:
        done = await self.objects.put(name, body)
        await exchange.respond(503 if isinstance(done, Err) else 200, [], b"")

    async def _get_object(self, exchange: ServerExchange, name: str, _: bytes) -> None:
        done = await self.objects.get(name)
        if isinstance(done, Err):
            await exchange.respond(503, [], b"")
        elif done.ok_value is None:
            await _respond_absent(exchange)
        else:
            await exchange.respond(200, [], done.ok_value)

    async def _list_names(self, exchange: ServerExchange, prefix: str, _: bytes) -> None:
        done = await self.objects.list_names(prefix)
        if isinstance(done, Err):
            await exchange.respond(503, [], b"")
        else:
            await _respond_json(exchange, 200, done.ok_value)

    async def _list_vms(self, exchange: ServerExchange, _: str, __: bytes) -> None:
        done = await self.vms.read()
        if isinstance(done, Err):
            await exchange.respond(503, [], b"")
        else:
            await _respond_json(exchange, 200, [vm_to_json(entry) for entry in done.ok_value])


def _decode(value: str | None) -> bytes | None:
    return None if value is None else base64.b64decode(value)


async def _respond_absent(exchange: ServerExchange) -> None:
    """Answer with status 204; 404 would look like the answer of any other service."""
    await exchange.start_response(204, [])
    await exchange.finish_response()


async def _respond_json(exchange: ServerExchange, status: int, document: object) -> None:
    await exchange.respond(status, JSON_HEADERS, json.dumps(document).encode())
