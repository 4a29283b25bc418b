"""Reach the table service over HTTP.

The wire form is that of the stand-in: GET /rows/<key>, GET /scan/<prefix>, POST /commit, with JSON
bodies and base64 values. An absent row is answered with status 204. Any other status or body than
those of the wire form counts as an outage, because another service that listens on the address must
not pass as an empty table. Another table service needs only another module in place of this one.
"""

import base64
import json
from collections.abc import Callable, Sequence
from typing import Any, TypeVar
from urllib.parse import quote

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead.core.ids import RowKey
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import ConnectFailed, HttpError
from nutmeglead.http.messages import RequestHead
from nutmeglead.platform.errors import RowConflict, TableAnswerLost, TableUnavailable
from nutmeglead.platform.ports import Row, RowCheck, RowWrite

__all__ = ["HttpTable", "row_to_json"]

T = TypeVar("T")


def row_to_json(row: Row) -> dict[str, Any]:
    """Return the wire form of a row."""
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "version": row.version, "value": value}


def _row_from_json(data: dict[str, Any]) -> Row:
    return Row(RowKey(data["key"]), int(data["version"]), base64.b64decode(data["value"]))


def _rows_from_json(data: list[dict[str, Any]]) -> list[Row]:
    if not isinstance(data, list):
        raise TypeError("expected a list of rows")
    return [_row_from_json(row) for row in data]


def _write_to_json(write: RowWrite) -> dict[str, Any]:
    value = None if write.value is None else base64.b64encode(write.value).decode()
    return {"key": write.key, "value": value}


class HttpTable:
    """Implement the TableStore port."""

    def __init__(self, address: Address, request_timeout_ms: int, fetcher: HttpFetcher) -> None:
        self._address = address
        self._timeout_ms = request_timeout_ms
        self._fetcher = fetcher

    async def read(self, key: RowKey) -> Result[Row | None, TableUnavailable]:
        """Return a row, or None if it is absent."""
        fetched = await self._get(f"/rows/{quote(key, safe='')}")
        if isinstance(fetched, Err):
            return fetched
        status, body = fetched.ok_value
        if status == 204:
            return Ok(None)
        return _parse(status, body, _row_from_json)

    async def scan(self, prefix: str) -> Result[list[Row], TableUnavailable]:
        """Return all rows whose key begins with a prefix, in key order."""
        fetched = await self._get(f"/scan/{quote(prefix, safe='')}")
        if isinstance(fetched, Err):
            return fetched
        return _parse(*fetched.ok_value, _rows_from_json)

    async def commit(
        self, checks: Sequence[RowCheck], writes: Sequence[RowWrite]
    ) -> Result[dict[RowKey, int], RowConflict | TableUnavailable | TableAnswerLost]:
        """Apply all writes if all checks hold."""
        request = {
            "checks": [{"key": check.key, "version": check.version} for check in checks],
            "writes": [_write_to_json(write) for write in writes],
        }
        fetched = await self._request(b"POST", "/commit", json.dumps(request).encode())
        if isinstance(fetched, Err):
            # Without a connection nothing was sent; after that the commit may have been applied.
            if isinstance(fetched.err_value, ConnectFailed):
                return Err(TableUnavailable(str(fetched.err_value)))
            return Err(TableAnswerLost(str(fetched.err_value)))
        return _commit_answer(*fetched.ok_value)

    async def _get(self, target: str) -> Result[tuple[int, bytes], TableUnavailable]:
        fetched = await self._request(b"GET", target, b"")
        return fetched.map_err(lambda error: TableUnavailable(str(error)))

    async def _request(
        self, method: bytes, target: str, body: bytes
    ) -> Result[tuple[int, bytes], HttpError]:
        head = RequestHead(method, target.encode())
        address = self._address
        fetched = await self._fetcher.fetch(address.ip, address.port, head, body, self._timeout_ms)
        return fetched.map(lambda answer: (answer[0].status, answer[1]))


def _parse(status: int, body: bytes, build: Callable[[Any], T]) -> Result[T, TableUnavailable]:
    if status != 200:
        return Err(TableUnavailable(f"status {status}"))
    try:
        return Ok(build(json.loads(body)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(TableUnavailable(f"expected an answer of the table service: {error!r}"))


def _commit_answer(
    status: int, body: bytes
) -> Result[dict[RowKey, int], RowConflict | TableUnavailable | TableAnswerLost]:
    """Read the answer to a commit that was sent.

    Status 404 comes from a service that has no table, and 503 from a table that is not available;
    neither applied anything. What any other unexpected answer means for the commit is not known.
    """
    if status in (404, 503):
        return Err(TableUnavailable(f"status {status}"))
    try:
        if status == 200:
            return Ok({RowKey(key): int(v) for key, v in json.loads(body).items()})
        if status == 409:
            return Err(RowConflict(tuple(RowKey(str(key)) for key in json.loads(body)["keys"])))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return Err(TableAnswerLost(f"expected an answer of the table service: {error!r}"))
    return Err(TableAnswerLost(f"status {status}"))
