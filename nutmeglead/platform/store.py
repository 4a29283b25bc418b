"""Call the platform's store: transactions, reads and feeds.

All calls of a process go through one client, which counts them, because each call is priced.
"""

import base64
import binascii
import json
import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result

from nutmeglead.core.clock import Clock
from nutmeglead.core.errors import PlatformError
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import ConnectFailed, HttpError
from nutmeglead.http.messages import RequestHead, ResponseHead
from nutmeglead.platform.wire import STORE_FEED_PATH, STORE_READ_PATH, STORE_TRANSACT_PATH

__all__ = [
    "StoreAnswerLost",
    "StoreClient",
    "StoreConflict",
    "StoreHistoryLost",
    "StoreRow",
    "StoreRows",
    "StoreUnavailable",
]

logger = logging.getLogger(__name__)

_JSON_TYPE = (b"content-type", b"application/json")
# Beyond its own wait, a feed call is given this time; a silent store is noticed by then.
FEED_MARGIN_MS = 1_500
# The store does nothing for a call that it answers so.
_REFUSED_STATUSES = frozenset((429, 503))


@dataclass(frozen=True)
class StoreRow:
    """Hold one row; the value of a removed row is None."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True)
class StoreRows:
    """Hold rows and the store's version at that moment."""

    rows: tuple[StoreRow, ...]
    version: int


@dataclass
class StoreUnavailable(PlatformError):
    """Report a call that had no effect."""

    reason: str

    def __str__(self) -> str:
        return f"the store did nothing: {self.reason}"


@dataclass
class StoreAnswerLost(PlatformError):
    """Report a transaction that may have been applied or may be applied later."""

    reason: str

    def __str__(self) -> str:
        return f"the store may have applied the transaction: {self.reason}"


@dataclass
class StoreConflict(PlatformError):
    """Report a transaction that was not applied, with the expected rows as they are."""

    rows: tuple[StoreRow, ...]

    def __str__(self) -> str:
        return f"other versions were expected of {', '.join(row.key for row in self.rows)}"


@dataclass
class StoreHistoryLost(PlatformError):
    """Report a feed whose history is no longer kept."""

    after: int

    def __str__(self) -> str:
        return f"the store has no history after version {self.after}"


class StoreClient:
    """Run calls on kept connections; a call whose answer is lost drops its connection."""

    def __init__(
        self, ip: str, port: int, fetcher: HttpFetcher, timeout_ms: int, clock: Clock
    ) -> None:
        self._ip = ip
        self._port = port
        self._fetcher = fetcher
        self._timeout_ms = timeout_ms
        self._clock = clock
        self.call_count = 0
        self.failure_count = 0
        # Start of each call under way, feeds left out, since they wait for a change.
        self._begun_ms: dict[int, int] = {}
        # Start of the first call without an answer since the last answered one.
        self._unanswered_since_ms: int | None = None

    def unanswered_ms(self) -> int:
        """Return for how long this node has waited for an answer, over repeated calls."""
        begun = list(self._begun_ms.values())
        if self._unanswered_since_ms is not None:
            begun.append(self._unanswered_since_ms)
        return self._clock.now_ms() - min(begun) if begun else 0

    async def transact(
        self,
        expected: Sequence[StoreRow],
        sets: Sequence[StoreRow],
        removes: Sequence[StoreRow] = (),
    ) -> Result[int, StoreConflict | StoreUnavailable | StoreAnswerLost]:
        """Write rows if all expected rows have their versions, 0 for absent; return the version."""
        body = {
            "expected": [{**_name(row), "ver": row.version} for row in expected],
            "set_keys": [{**_name(row), "value": _encoded(row)} for row in sets],
            "remove": [_name(row) for row in removes],
        }
        fetched = await self._call(b"POST", STORE_TRANSACT_PATH, body, self._timeout_ms)
        if isinstance(fetched, Err):
            error = fetched.err_value
            # Without a connection nothing was sent.
            if isinstance(error, ConnectFailed):
                return Err(StoreUnavailable(str(error)))
            return Err(StoreAnswerLost(str(error)))
        status, answer = fetched.ok_value
        if status == 200:
            return _parsed(answer, lambda fields: int(fields["ver"])).map_err(
                lambda error: StoreAnswerLost(error.reason)
            )
        if status == 412:
            conflict = _parsed(answer, _rows).map_err(lambda error: StoreAnswerLost(error.reason))
            return conflict.and_then(lambda rows: Err(StoreConflict(rows.rows)))
        if status in (400, 403, 404) or status in _REFUSED_STATUSES:
            return Err(StoreUnavailable(f"status {status}"))
        return Err(StoreAnswerLost(f"status {status}"))

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[StoreRows, StoreUnavailable]:
        """Return the rows of a part of a table whose keys lie from `first` to before `end`.

        Further pages are read as of their own moments; the version is that of the last one.
        """
        rows: list[StoreRow] = []
        while True:
            query = {"table": table, "part": part, "from": first}
            if end:
                query["target"] = end
            page = await self._read_page(f"{STORE_READ_PATH}?{urlencode(query)}")
            if isinstance(page, Err):
                return page
            found, has_more = page.ok_value
            rows += found.rows
            if not has_more or not found.rows:
                return Ok(StoreRows(tuple(rows), found.version))
            first = found.rows[-1].key + "\0"

    async def feed(
        self, table: str, after: int, wait_ms: int
    ) -> Result[StoreRows, StoreHistoryLost | StoreUnavailable]:
        """Return what changed in a table after a version, waiting for the first change.

        From version 0 all present rows are returned.
        """
        query = urlencode({"table": table, "after": after, "wait_ms": wait_ms})
        timeout_ms = wait_ms + FEED_MARGIN_MS
        fetched = await self._call(b"GET", f"{STORE_FEED_PATH}?{query}", None, timeout_ms)
        if isinstance(fetched, Err):
            return Err(StoreUnavailable(str(fetched.err_value)))
        status, answer = fetched.ok_value
        if status == 410:
            return Err(StoreHistoryLost(after))
        if status != 200:
            return Err(StoreUnavailable(f"status {status}"))
        return _parsed(answer, _rows)

    async def _read_page(self, target: str) -> Result[tuple[StoreRows, bool], StoreUnavailable]:
        fetched = await self._call(b"GET", target, None, self._timeout_ms)
        if isinstance(fetched, Err):
            return Err(StoreUnavailable(str(fetched.err_value)))
        status, answer = fetched.ok_value
        if status != 200:
            return Err(StoreUnavailable(f"status {status}"))
        return _parsed(answer, lambda fields: (_rows(fields), bool(fields.get("has_more"))))

    async def _call(
        self, method: bytes, target: str, body: Any, timeout_ms: int
    ) -> Result[tuple[int, bytes], HttpError]:
        self.call_count += 1
        call, begun_ms = self.call_count, self._clock.now_ms()
        if not target.startswith(STORE_FEED_PATH):
            self._begun_ms[call] = begun_ms
        try:
            fetched = await self._fetch(method, target, body, timeout_ms)
        finally:
            self._begun_ms.pop(call, None)
        self._note_answer(fetched, begun_ms)
        return fetched.map(lambda answer: (answer[0].status, answer[1]))

    async def _fetch(
        self, method: bytes, target: str, body: Any, timeout_ms: int
    ) -> Result[tuple[ResponseHead, bytes], HttpError]:
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = RequestHead(method, target.encode(), [_JSON_TYPE] if data else [])
        return await self._fetcher.fetch(self._ip, self._port, head, data, timeout_ms)

    def _note_answer(
        self, fetched: Result[tuple[ResponseHead, bytes], HttpError], begun_ms: int
    ) -> None:
        is_refused = isinstance(fetched, Err) or fetched.ok_value[0].status in _REFUSED_STATUSES
        self.failure_count += is_refused
        since_ms = self._unanswered_since_ms
        if is_refused:
            self._unanswered_since_ms = begun_ms if since_ms is None else since_ms
        elif since_ms is not None and begun_ms >= since_ms:
            self._unanswered_since_ms = None


def _name(row: StoreRow) -> dict[str, Any]:
    return {"table": row.table, "part": row.part, "key": row.key}


def _encoded(row: StoreRow) -> str:
    return base64.b64encode(row.value or b"").decode()


def _parsed(answer: bytes, build: Any) -> Result[Any, StoreUnavailable]:
    try:
        return Ok(build(json.loads(answer)))
    except (ValueError, KeyError, TypeError) as error:
        return Err(StoreUnavailable(f"expected an answer of the store: {error!r}"))


def _rows(fields: dict[str, Any]) -> StoreRows:
    return StoreRows(tuple(_row(entry) for entry in fields["rows"]), int(fields.get("ver", 0)))


def _row(entry: dict[str, Any]) -> StoreRow:
    # A row at version 0 in a conflict is one that does not exist.
    version = int(entry.get("ver", 0))
    value = None if entry.get("removed") or not version else _decoded(entry)
    return StoreRow(entry["table"], entry.get("part", ""), entry["key"], value, version)


def _decoded(entry: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(entry.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        # The reader of the row refuses an empty value; the other rows hold.
        logger.warning("row %s/%s: %s", entry["table"], entry["key"], error)
        return b""
