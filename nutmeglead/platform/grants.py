"""Send grants and releases of key ranges to servers."""

import json
from dataclasses import dataclass

from result import Err, Ok, Result

from nutmeglead.core.errors import PlatformError
from nutmeglead.core.ids import ServerId
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import ConnectFailed
from nutmeglead.http.messages import Headers, RequestHead, header_value
from nutmeglead.platform.wire import (
    GRANT_TARGET,
    HANDOVER_HEADER,
    RELEASE_TARGET,
    SERVER_ID_HEADER,
    TARGET_SERVER_HEADER,
)

__all__ = ["GrantClient", "GrantError", "GrantRefused", "OrderUnanswered", "ServerUnreachable"]


_Fields = dict[str, int | float | str]


class GrantError(PlatformError):
    """Be the root of the errors of grants and releases."""


@dataclass
class GrantRefused(GrantError):
    """Report a grant that the server refused; it has seen a higher fence if `is_stale`."""

    server_id: ServerId
    status: int

    @property
    def is_stale(self) -> bool:
        """Tell whether the server has seen a higher fence on one of the keys."""
        return self.status == 409

    def __str__(self) -> str:
        return f"server {self.server_id} refused with status {self.status}"


@dataclass
class ServerUnreachable(GrantError):
    """Report an order that was not sent, because there was no connection."""

    server_id: ServerId
    reason: str

    def __str__(self) -> str:
        return f"server {self.server_id}: {self.reason}"


@dataclass
class OrderUnanswered(GrantError):
    """Report an order without an answer; it may be carried out seconds later."""

    server_id: ServerId
    reason: str

    def __str__(self) -> str:
        return f"server {self.server_id}: {self.reason}"


@dataclass(frozen=True)
class GrantClient:
    """Call the servers' grant interface."""

    fetcher: HttpFetcher

    async def grant(
        self,
        server_id: ServerId,
        address: tuple[str, int],
        keys: tuple[int, int],
        fence: int,
        hold_ms: int,
        handover: str | None,
        timeout_ms: int,
    ) -> Result[None, GrantError]:
        """Grant the keys from the first to the last, both included; a repeat renews."""
        fields: _Fields = {"from": keys[0], "target": keys[1], "fence": fence}
        fields["hold_s"] = hold_ms / 1000
        if handover is not None:
            fields["handover"] = handover
        sent = await self._order(server_id, address, GRANT_TARGET, fields, timeout_ms)
        return sent.map(lambda headers: None)

    async def release(
        self,
        server_id: ServerId,
        address: tuple[str, int],
        keys: tuple[int, int],
        fence: int,
        timeout_ms: int,
    ) -> Result[str | None, GrantError]:
        """Take keys back; return the handover when the work on them has ended."""
        fields: _Fields = {"from": keys[0], "target": keys[1], "fence": fence}
        sent = await self._order(server_id, address, RELEASE_TARGET, fields, timeout_ms)
        return sent.map(_handover)

    async def is_alive(
        self, server_id: ServerId, address: tuple[str, int], path: str, timeout_ms: int
    ) -> bool:
        """Tell whether the server answers a health check at its address, healthy or not."""
        fetched = await self.fetcher.fetch(
            *address, RequestHead(b"GET", path.encode()), b"", timeout_ms
        )
        if isinstance(fetched, Err):
            return False
        return header_value(fetched.ok_value[0].headers, SERVER_ID_HEADER) == server_id.encode()

    async def _order(
        self,
        server_id: ServerId,
        address: tuple[str, int],
        target: bytes,
        fields: _Fields,
        timeout_ms: int,
    ) -> Result[Headers, GrantError]:
        # The address may belong to another server by now, which refuses another's name.
        headers = [
            (b"content-type", b"application/json"),
            (TARGET_SERVER_HEADER, server_id.encode()),
        ]
        head = RequestHead(b"POST", target, headers)
        body = json.dumps(fields).encode()
        fetched = await self.fetcher.fetch(*address, head, body, timeout_ms)
        if isinstance(fetched, Err):
            error = fetched.err_value
            if isinstance(error, ConnectFailed):
                return Err(ServerUnreachable(server_id, str(error)))
            return Err(OrderUnanswered(server_id, str(error)))
        response, _ = fetched.ok_value
        if response.status != 200:
            return Err(GrantRefused(server_id, response.status))
        return Ok(response.headers)


def _handover(headers: Headers) -> str | None:
    value = header_value(headers, HANDOVER_HEADER)
    return None if value is None else value.decode("latin-1")
