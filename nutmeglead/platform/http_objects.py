"""Reach the object store over HTTP: PUT and GET /objects/<name>, GET /names/<prefix>."""

import json
from urllib.parse import quote

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.errors import ObjectStoreUnavailable

__all__ = ["HttpObjectStore"]


class HttpObjectStore:
    """Implement the ObjectStore port."""

    def __init__(self, address: Address, request_timeout_ms: int, fetcher: HttpFetcher) -> None:
        self._address = address
        self._timeout_ms = request_timeout_ms
        self._fetcher = fetcher

    async def put(self, name: str, body: bytes) -> Result[None, ObjectStoreUnavailable]:
        """Store an object."""
        done = await self._request(b"PUT", f"/objects/{quote(name, safe='')}", body)
        return done.map(lambda _: None)

    async def get(self, name: str) -> Result[bytes | None, ObjectStoreUnavailable]:
        """Return an object, or None if it is absent."""
        return await self._request(b"GET", f"/objects/{quote(name, safe='')}", b"")

    async def list_names(self, prefix: str) -> Result[list[str], ObjectStoreUnavailable]:
        """List the names that begin with a prefix, in order."""
        done = await self._request(b"GET", f"/names/{quote(prefix, safe='')}", b"")
        return done.map(lambda body: list(json.loads(body or b"[]")))

    async def _request(
        self, method: bytes, target: str, body: bytes
    ) -> Result[bytes | None, ObjectStoreUnavailable]:
        head = RequestHead(method, target.encode())
        address = self._address
        fetched = await self._fetcher.fetch(address.ip, address.port, head, body, self._timeout_ms)
        if isinstance(fetched, Err):
            return Err(ObjectStoreUnavailable(str(fetched.err_value)))
        response, received = fetched.ok_value
        if response.status == 404:
            return Ok(None)
        if response.status != 200:
            return Err(ObjectStoreUnavailable(f"status {response.status}"))
        return Ok(received)
