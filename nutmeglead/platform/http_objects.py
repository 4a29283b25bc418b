"""Reach the object store over HTTP: PUT and GET /objects/<name>, GET /names/<prefix>.

An absent object is answered with status 204. Any other status than 200 counts as an outage, because
another service that listens on the address must not pass as an empty object store.
"""

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
        fetched = await self._request(b"PUT", f"/objects/{quote(name, safe='')}", body)
        return fetched.and_then(_whole).map(lambda _: None)

    async def get(self, name: str) -> Result[bytes | None, ObjectStoreUnavailable]:
        """Return an object, or None if it is absent."""
        fetched = await self._request(b"GET", f"/objects/{quote(name, safe='')}", b"")
        if isinstance(fetched, Ok) and fetched.ok_value[0] == 204:
            return Ok(None)
        return fetched.and_then(_whole)

    async def list_names(self, prefix: str) -> Result[list[str], ObjectStoreUnavailable]:
        """List the names that begin with a prefix, in order."""
        fetched = await self._request(b"GET", f"/names/{quote(prefix, safe='')}", b"")
        return fetched.and_then(_whole).and_then(_names)

    async def _request(
        self, method: bytes, target: str, body: bytes
    ) -> Result[tuple[int, bytes], ObjectStoreUnavailable]:
        head = RequestHead(method, target.encode())
        address = self._address
        fetched = await self._fetcher.fetch(address.ip, address.port, head, body, self._timeout_ms)
        if isinstance(fetched, Err):
            return Err(ObjectStoreUnavailable(str(fetched.err_value)))
        response, received = fetched.ok_value
        return Ok((response.status, received))


def _whole(answer: tuple[int, bytes]) -> Result[bytes, ObjectStoreUnavailable]:
    status, body = answer
    return Ok(body) if status == 200 else Err(ObjectStoreUnavailable(f"status {status}"))


def _names(body: bytes) -> Result[list[str], ObjectStoreUnavailable]:
    try:
        names = json.loads(body)
    except ValueError as error:
        return Err(ObjectStoreUnavailable(f"expected a list of names: {error}"))
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        return Err(ObjectStoreUnavailable("expected a list of names"))
    return Ok(names)
