"""Stand-in for the platform's store: rows, transactions and feeds."""

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from web import Answer, Request, WebServer

__all__ = ["Store"]

RowId = tuple[str, str, str]
# Only the operator and the servers write these.
READ_ONLY_TABLES = ("op", "servers")


class Store:
    """Keep rows in memory, and answer the calls of the platform's pages."""

    def __init__(self) -> None:
        self.web = WebServer(self._answer)
        self._rows: dict[RowId, tuple[bytes | None, int]] = {}
        self._version = 0
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row for the operator or a server, or remove it."""
        self._version += 1
        self._rows[(table, "", key)] = value, self._version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request) -> Answer:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            return self._transact(json.loads(request.body))
        if url.path == "/v1/rows-get":
            return self._read(query)
        if url.path == "/v1/rows-feed":
            return await self._feed(query)
        return Answer(404)

    def _transact(self, call: dict[str, Any]) -> Answer:
        expected = [(_row_id(entry), int(entry["ver"])) for entry in call.get("expected", [])]
        written = [(_row_id(entry), entry["value"]) for entry in call.get("set_keys", [])]
        removed = [_row_id(entry) for entry in call.get("remove", [])]
        if any(row_id[0] in READ_ONLY_TABLES for row_id, _ in written):
            return Answer(403)
        if any(self._version_of(row_id) != version for row_id, version in expected):
            return self._reply(412, [row_id for row_id, _ in expected])
        self._version += 1
        for row_id, value in written:
            self._rows[row_id] = base64.b64decode(value), self._version
        for row_id in removed:
            self._rows[row_id] = None, self._version
        self._wake()
        return self._reply(200, [])

    def _version_of(self, row_id: RowId) -> int:
        value, version = self._rows.get(row_id, (None, 0))
        return 0 if value is None else version

    def _read(self, query: dict[str, str]) -> Answer:
        found = [
            row_id
            for row_id, (value, _) in self._rows.items()
            if row_id[:2] == (query["table"], query.get("part", ""))
            and row_id[2] >= query.get("from", "")
            and value is not None
        ]
        return self._reply(200, sorted(found))

    async def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["table"], int(query["after"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                row_id
                for row_id, (value, version) in self._rows.items()
                if row_id[0] == table and version > after and (after or value is not None)
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return self._reply(200, sorted(found, key=lambda row_id: self._rows[row_id][1]))
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _reply(self, status: int, row_ids: list[RowId]) -> Answer:
        reply = {
            "rows": [self._encode(row_id) for row_id in row_ids],
            "has_more": False,
            "ver": self._version,
            "now_s": time.monotonic(),
        }
        json_type = {"Content-Type": "application/json"}
        return Answer(status, json_type, json.dumps(reply).encode())

    def _encode(self, row_id: RowId) -> dict[str, Any]:
        value, version = self._rows.get(row_id, (None, 0))
        fields: dict[str, Any] = {"table": row_id[0], "part": row_id[1], "key": row_id[2]}
        if value is None:
            return {**fields, "ver": version, "removed": True}
        return {**fields, "ver": version, "value": base64.b64encode(value).decode()}


def _row_id(entry: dict[str, Any]) -> RowId:
    return entry["table"], entry.get("part", ""), entry["key"]
