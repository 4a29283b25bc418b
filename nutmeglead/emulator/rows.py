"""Emulate the platform's store: rows with versions, transactions and feeds."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

from result import Err, Ok, Result

from nutmeglead.core.clock import Clock
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import HttpError, TimedOut
from nutmeglead.http.messages import RequestHead, ResponseHead
from nutmeglead.platform.wire import (
    MANIFEST_TABLE,
    SERVERS_TABLE,
    STORE_FEED_PATH,
    STORE_READ_PATH,
    STORE_TRANSACT_PATH,
)

__all__ = ["CallFault", "RowStore", "RowStoreFetcher", "StoredRow"]

# Tables that only the operator and the servers write.
FOREIGN_TABLES = (MANIFEST_TABLE, SERVERS_TABLE)

Name = tuple[str, str, str]
Reply = tuple[int, bytes]


@dataclass(frozen=True)
class StoredRow:
    """Hold a row's value, None if it was removed, and its version."""

    value: bytes | None
    version: int


class RowStore:
    """Keep rows and their history; `answer` speaks the platform's protocol."""

    def __init__(self, clock: Clock) -> None:
        self.version = 0
        self.oldest = 0
        self.rows: dict[Name, StoredRow] = {}
        self._clock = clock
        self._changed = asyncio.Event()

    # ---- for the operator, the servers and tests ----

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> int:
        """Write a row, or remove it if the value is None; return its version."""
        self.version += 1
        self.rows[(table, part, key)] = StoredRow(value, self.version)
        self._wake()
        return self.version

    def get(self, table: str, key: str, part: str = "") -> StoredRow | None:
        """Return a row that is present."""
        row = self.rows.get((table, part, key))
        return row if row is not None and row.value is not None else None

    def forget_history(self) -> None:
        """Drop the history, so that feeds from before are refused."""
        self.oldest = self.version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # ---- the protocol ----

    async def answer(self, method: str, target: str, body: bytes) -> Reply:
        """Answer one call."""
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if (method, url.path) == ("POST", STORE_TRANSACT_PATH):
            return self._transact(json.loads(body))
        if (method, url.path) == ("GET", STORE_READ_PATH):
            return self._read(query)
        if (method, url.path) == ("GET", STORE_FEED_PATH):
            return await self._feed(query)
        return 404, b"{}"

    def _transact(self, call: dict[str, Any]) -> Reply:
        expected = [(_name(entry), int(entry["ver"])) for entry in call["expected"]]
        written = [(_name(entry), entry["value"]) for entry in call["set_keys"]]
        removed = [_name(entry) for entry in call["remove"]]
        names = [name for name, _ in expected + written] + removed
        if len({part for _, part, _ in names}) > 1:
            return 400, b'{"error": "several parts"}'
        if any(name[0] in FOREIGN_TABLES for name, _ in written):
            return 403, b"{}"
        if any(self._version(name) != version for name, version in expected):
            return self._reply(412, [name for name, _ in expected])
        self.version += 1
        for name, value in written:
            self.rows[name] = StoredRow(base64.b64decode(value), self.version)
        for name in removed:
            self.rows[name] = StoredRow(None, self.version)
        self._wake()
        return self._reply(200, [])

    def _version(self, name: Name) -> int:
        row = self.rows.get(name)
        return 0 if row is None or row.value is None else row.version

    def _read(self, query: dict[str, str]) -> Reply:
        table, part, first = query["table"], query.get("part", ""), query.get("from", "")
        end = query.get("target")
        names = sorted(
            name
            for name, row in self.rows.items()
            if name[:2] == (table, part)
            and name[2] >= first
            and (end is None or name[2] < end)
            and row.value is not None
        )
        return self._reply(200, names)

    async def _feed(self, query: dict[str, str]) -> Reply:
        table, after = query["table"], int(query["after"])
        end_ms = self._clock.now_ms() + int(query["wait_ms"])
        while True:
            if after < self.oldest:
                return 410, b"{}"
            names = [
                name
                for name, row in self.rows.items()
                if name[0] == table and row.version > after and (after or row.value is not None)
            ]
            left_ms = end_ms - self._clock.now_ms()
            if names or left_ms <= 0:
                return self._reply(200, sorted(names, key=lambda name: self.rows[name].version))
            changed = self._changed
            try:
                async with asyncio.timeout(left_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                continue

    def _reply(self, status: int, names: list[Name]) -> Reply:
        rows = [self._encoded(name) for name in names]
        now_s = self._clock.now_ms() / 1000
        reply = {"rows": rows, "has_more": False, "ver": self.version, "now_s": now_s}
        return status, json.dumps(reply).encode()

    def _encoded(self, name: Name) -> dict[str, Any]:
        row = self.rows.get(name, StoredRow(None, 0))
        entry: dict[str, Any] = {"table": name[0], "part": name[1], "key": name[2]}
        if row.value is None:
            return {**entry, "ver": row.version if row.version else 0, "removed": True}
        return {**entry, "ver": row.version, "value": base64.b64encode(row.value).decode()}


def _name(entry: dict[str, Any]) -> Name:
    return entry["table"], entry.get("part", ""), entry["key"]


class CallFault(Enum):
    """Choose how a call in memory ends."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    ANSWER_LOST_APPLIED = "answer lost, applied"
    ANSWER_LOST_NOT_APPLIED = "answer lost, not applied"


class RowStoreFetcher(HttpFetcher):
    """Carry the calls of a store client to a row store in memory."""

    def __init__(self, rows: RowStore) -> None:
        super().__init__()
        self.fault = CallFault.NONE
        # Faults of the next transactions, in order.
        self.next_transact_faults: list[CallFault] = []
        self._rows = rows

    async def fetch(
        self, ip: str, port: int, head: RequestHead, body: bytes, timeout_ms: int
    ) -> Result[tuple[ResponseHead, bytes], HttpError]:
        """Answer a call as the store does, or as its fault says."""
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
        return Ok((ResponseHead(status), answer))
