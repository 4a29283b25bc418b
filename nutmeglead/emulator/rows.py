"""Emulate the platform's store in memory: versioned rows, transactions and change feeds."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from result import Err, Ok, Result

from nutmeglead.core.clock import Clock
from nutmeglead.http.client import HttpFetcher, ProgressLimits
from nutmeglead.http.errors import HttpError, TimedOut
from nutmeglead.http.messages import Headers, RequestHead, ResponseHead
from nutmeglead.platform.wire import (
    MANIFEST_TABLE,
    SERVERS_TABLE,
    STORE_ERA_HEADER,
    STORE_FEED_PATH,
    STORE_READ_PATH,
    STORE_TRANSACT_PATH,
)

__all__ = ["CallFault", "RowStore", "RowStoreFetcher", "SavedRows", "StoredRow"]

# Tables that transactions of entry VMs cannot write; only the operator and the servers do.
READ_ONLY_TABLES = (MANIFEST_TABLE, SERVERS_TABLE)

# Table, part and key of a row.
RowId = tuple[str, str, str]
# HTTP status and body.
Reply = tuple[int, bytes]


@dataclass(frozen=True)
class StoredRow:
    """Hold a row's value, or None for a removed row, and the version of its last change."""

    value: bytes | None
    version: int


class SavedRows(NamedTuple):
    """Hold the rows of a store at a version."""

    rows: dict[RowId, StoredRow]
    version: int


class RowStore:
    """Keep the last change of each row; `answer` implements the platform's store protocol."""

    def __init__(self, clock: Clock) -> None:
        # Version of the newest change, and the oldest version after which a feed may start.
        self.version = 0
        self.oldest_version = 0
        self.rows: dict[RowId, StoredRow] = {}
        # Number of returns from an older copy, or None to send no header.
        self.era: int | None = None
        self._clock = clock
        self._row_changed = asyncio.Event()

    # ---- direct access for the operator, the servers and tests ----

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> int:
        """Write a row, or remove it if the value is None; return its version."""
        self.version += 1
        self.rows[(table, part, key)] = StoredRow(value, self.version)
        self._wake_feeds()
        return self.version

    def get(self, table: str, key: str, part: str = "") -> StoredRow | None:
        """Return a row, or None if it is absent or removed."""
        row = self.rows.get((table, part, key))
        return row if row is not None and row.value is not None else None

    def forget_history(self) -> None:
        """Drop the history of changes, so that feeds from earlier versions are refused with 410."""
        self.oldest_version = self.version
        self._wake_feeds()

    def save(self) -> SavedRows:
        """Return a copy of the rows to which `restore` can return."""
        return SavedRows(dict(self.rows), self.version)

    def restore(self, saved: SavedRows) -> None:
        """Return to an older copy: its versions are issued again, and the era rises by one."""
        self.rows, self.version = dict(saved.rows), saved.version
        self.oldest_version = min(self.oldest_version, self.version)
        self.era = (self.era or 0) + 1
        self._wake_feeds()

    def headers(self) -> Headers:
        """Return the headers of an answer: the era, once the store has returned."""
        return [] if self.era is None else [(STORE_ERA_HEADER, b"%d" % self.era)]

    def _wake_feeds(self) -> None:
        self._row_changed.set()
        self._row_changed = asyncio.Event()

    # ---- store protocol ----

    async def answer(self, method: str, target: str, body: bytes) -> Reply:
        """Return the status and body for a transaction, a read or a feed call."""
        url = urlsplit(target)
        query = {parameter: values[0] for parameter, values in parse_qs(url.query).items()}
        if (method, url.path) == ("POST", STORE_TRANSACT_PATH):
            return self._transact(json.loads(body))
        if (method, url.path) == ("GET", STORE_READ_PATH):
            return self._read(query)
        if (method, url.path) == ("GET", STORE_FEED_PATH):
            return await self._feed(query)
        return 404, b"{}"

    def _transact(self, transaction: dict[str, Any]) -> Reply:
        expected = [(_row_id(fields), int(fields["ver"])) for fields in transaction["expected"]]
        written = [(_row_id(fields), fields["value"]) for fields in transaction["set_keys"]]
        removed = [_row_id(fields) for fields in transaction["remove"]]
        row_ids = [row_id for row_id, _ in expected + written] + removed
        if len({part for _, part, _ in row_ids}) > 1:
            return 400, b'{"error": "several parts"}'
        if any(row_id[0] in READ_ONLY_TABLES for row_id, _ in written):
            return 403, b"{}"
        if any(self._version(row_id) != version for row_id, version in expected):
            return self._reply(412, [row_id for row_id, _ in expected])
        self.version += 1
        for row_id, value in written:
            self.rows[row_id] = StoredRow(base64.b64decode(value), self.version)
        for row_id in removed:
            self.rows[row_id] = StoredRow(None, self.version)
        self._wake_feeds()
        return self._reply(200, [])

    def _version(self, row_id: RowId) -> int:
        row = self.rows.get(row_id)
        return 0 if row is None or row.value is None else row.version

    def _read(self, query: dict[str, str]) -> Reply:
        table, part, first = query["table"], query.get("part", ""), query.get("from", "")
        end = query.get("target")
        row_ids = sorted(
            row_id
            for row_id, row in self.rows.items()
            if row_id[:2] == (table, part)
            and row_id[2] >= first
            and (end is None or row_id[2] < end)
            and row.value is not None
        )
        return self._reply(200, row_ids)

    async def _feed(self, query: dict[str, str]) -> Reply:
        table, after = query["table"], int(query["after"])
        end_ms = self._clock.now_ms() + int(query["wait_ms"])
        while True:
            if after < self.oldest_version or after > self.version:
                return 410, b"{}"
            row_ids = [
                row_id
                for row_id, row in self.rows.items()
                if row_id[0] == table and row.version > after and (after or row.value is not None)
            ]
            left_ms = end_ms - self._clock.now_ms()
            if row_ids or left_ms <= 0:
                return self._reply(
                    200, sorted(row_ids, key=lambda row_id: self.rows[row_id].version)
                )
            changed = self._row_changed
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                continue

    def _reply(self, status: int, row_ids: list[RowId]) -> Reply:
        rows = [self._encode_row(row_id) for row_id in row_ids]
        now_s = self._clock.now_ms() / 1000
        reply = {"rows": rows, "has_more": False, "ver": self.version, "now_s": now_s}
        return status, json.dumps(reply).encode()

    def _encode_row(self, row_id: RowId) -> dict[str, Any]:
        row = self.rows.get(row_id, StoredRow(None, 0))
        fields: dict[str, Any] = {"table": row_id[0], "part": row_id[1], "key": row_id[2]}
        if row.value is None:
            return {**fields, "ver": row.version if row.version else 0, "removed": True}
        return {**fields, "ver": row.version, "value": base64.b64encode(row.value).decode()}


def _row_id(fields: dict[str, Any]) -> RowId:
    return fields["table"], fields.get("part", ""), fields["key"]


class CallFault(Enum):
    """Select the result of a call to the store in memory."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST_APPLIED = "answer lost, applied"
    ANSWER_LOST_NOT_APPLIED = "answer lost, not applied"


class RowStoreFetcher(HttpFetcher):
    """Answer the calls of a store client from a row store in memory, without a network."""

    def __init__(self, rows: RowStore) -> None:
        super().__init__()
        self.fault = CallFault.NONE
        # Faults of the next transactions in order; each replaces `fault` for one transaction.
        self.next_transact_faults: list[CallFault] = []
        self._rows = rows

    async def fetch(
        self,
        ip: str,
        port: int,
        head: RequestHead,
        body: bytes,
        timeout_ms: int,
        progress: ProgressLimits | None = None,
        own_connection: bool = False,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[tuple[ResponseHead, bytes], HttpError]:
        """Return the store's response, a 503, or a timeout error, depending on the fault."""
        fault = self.fault
        if head.method == b"POST" and self.next_transact_faults:
            fault = self.next_transact_faults.pop(0)
        if fault is CallFault.UNAVAILABLE:
            return Ok((ResponseHead(503), b"{}"))
        if fault is CallFault.ANSWER_LOST_NOT_APPLIED:
            return Err(TimedOut("waiting for the response", timeout_ms))
        status, answer = await self._rows.answer(head.method.decode(), head.target.decode(), body)
        if fault is CallFault.ANSWER_LOST_APPLIED:
            return Err(TimedOut("waiting for the response", timeout_ms))
        return Ok((ResponseHead(status, self._rows.headers()), answer))
