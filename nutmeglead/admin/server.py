"""Serve /metrics, /healthz and /readyz."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from nutmeglead.http.server import HttpServer, ServerExchange

__all__ = ["AdminServer", "Readiness"]

JSON_TYPE = [(b"content-type", b"application/json")]


@dataclass(frozen=True)
class Readiness:
    """Tell whether a process can serve, and name what it lacks."""

    missing: list[str] = field(default_factory=list)

    @property
    def is_ready(self) -> bool:
        """Tell whether nothing is missing."""
        return not self.missing


class AdminServer:
    """Answer the platform's probes and the metrics collector."""

    def __init__(self, registry: CollectorRegistry, readiness: Callable[[], Readiness]) -> None:
        self._registry = registry
        self._readiness = readiness
        self._server = HttpServer(self._handle)

    async def start(self, ip: str, port: int) -> int:
        """Listen and return the port."""
        return await self._server.start(ip, port)

    async def stop(self) -> None:
        """Stop at once."""
        await self._server.stop(0)

    async def _handle(self, exchange: ServerExchange) -> None:
        while await exchange.read_body():
            pass
        target = exchange.head.target
        if target == b"/metrics":
            content_type = [(b"content-type", CONTENT_TYPE_LATEST.encode())]
            await exchange.respond(200, content_type, generate_latest(self._registry))
        elif target == b"/healthz":
            await exchange.respond(200, JSON_TYPE, b'{"healthy": true}')
        elif target == b"/readyz":
            await self._respond_readiness(exchange)
        else:
            await exchange.respond(404, JSON_TYPE, b'{"error": "unknown path"}')

    async def _respond_readiness(self, exchange: ServerExchange) -> None:
        readiness = self._readiness()
        status = 200 if readiness.is_ready else 503
        body = json.dumps({"ready": readiness.is_ready, "missing": readiness.missing}).encode()
        await exchange.respond(status, JSON_TYPE, body)
