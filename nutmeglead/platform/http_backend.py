"""Send lease and grant messages to backend servers: POST /_control/<operation>, compact thrift."""

from typing import TypeVar

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import (
    GrantReply,
    ReleaseReply,
    ReleaseUnits,
    RenewLease,
    RenewReply,
    SetGrants,
)
from nutmeglead.core.codec import decode, encode
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.errors import BackendUnreachable

__all__ = ["CONTROL_PREFIX", "HttpBackendControl"]

CONTROL_PREFIX = "/_control/"

Reply = TypeVar("Reply")


class HttpBackendControl:
    """Implement the BackendControl port."""

    def __init__(self, request_timeout_ms: int, fetcher: HttpFetcher) -> None:
        self._timeout_ms = request_timeout_ms
        self._fetcher = fetcher

    async def renew(
        self, address: Address, message: RenewLease
    ) -> Result[RenewReply, BackendUnreachable]:
        """Renew the server's lease."""
        return await self._order(address, "renew", message, RenewReply)

    async def set_grants(
        self, address: Address, message: SetGrants
    ) -> Result[GrantReply, BackendUnreachable]:
        """Replace the server's grant set."""
        return await self._order(address, "grants", message, GrantReply)

    async def release(
        self, address: Address, message: ReleaseUnits
    ) -> Result[ReleaseReply, BackendUnreachable]:
        """Ask the server to drain and drop units."""
        return await self._order(address, "release", message, ReleaseReply)

    async def _order(
        self, address: Address, operation: str, message: object, reply_type: type[Reply]
    ) -> Result[Reply, BackendUnreachable]:
        head = RequestHead(b"POST", f"{CONTROL_PREFIX}{operation}".encode())
        body = encode(message)
        fetched = await self._fetcher.fetch(address.ip, address.port, head, body, self._timeout_ms)
        place = f"{address.ip}:{address.port}"
        if isinstance(fetched, Err):
            return Err(BackendUnreachable(place, str(fetched.err_value)))
        response, received = fetched.ok_value
        if response.status != 200:
            return Err(BackendUnreachable(place, f"status {response.status}"))
        decoded = decode(reply_type, received)
        if isinstance(decoded, Err):
            return Err(BackendUnreachable(place, str(decoded.err_value)))
        return Ok(decoded.ok_value)
