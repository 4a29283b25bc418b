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

__all__ = [
    "GrantClient",
    "GrantError",
    "GrantRefused",
    "KeyOrder",
    "OrderUnanswered",
    "ServerUnreachable",
    "decode_order",
    "encode_order",
]


@dataclass(frozen=True)
class KeyOrder:
    """Grant the keys from `first` to `last`, both included, or release them without a hold."""

    first: int
    last: int
    fence: int
    hold_ms: int | None = None
    handover: str | None = None


def encode_order(order: KeyOrder) -> bytes:
    """Return the body of a grant or a release."""
    fields: dict[str, int | float | str] = {
        "from": order.first,
        # `target` is the last key, not a server.
        "target": order.last,
        "fence": order.fence,
    }
    if order.hold_ms is not None:
        fields["hold_s"] = order.hold_ms / 1000
    if order.handover is not None:
        fields["handover"] = order.handover
    return json.dumps(fields).encode()


def decode_order(body: bytes) -> KeyOrder:
    """Return the order in a body; raise ValueError or KeyError if it is none."""
    fields = json.loads(body)
    hold_s = fields.get("hold_s")
    return KeyOrder(
        fields["from"],
        fields["target"],
        fields["fence"],
        None if hold_s is None else round(hold_s * 1000),
        fields.get("handover"),
    )


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
        order = KeyOrder(*keys, fence, hold_ms, handover)
        sent = await self._order(server_id, address, GRANT_TARGET, order, timeout_ms)
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
        order = KeyOrder(*keys, fence)
        sent = await self._order(server_id, address, RELEASE_TARGET, order, timeout_ms)
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
        order: KeyOrder,
        timeout_ms: int,
    ) -> Result[Headers, GrantError]:
        # The address may belong to another server by now, which refuses another's name.
        headers = [
            (b"content-type", b"application/json"),
            (TARGET_SERVER_HEADER, server_id.encode()),
        ]
        head = RequestHead(b"POST", target, headers)
        fetched = await self.fetcher.fetch(*address, head, encode_order(order), timeout_ms)
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
