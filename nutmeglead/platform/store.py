"""Client of the platform's store: transactions, reads and feeds of changes.

Each call to the store has a price, so a process makes all its calls through one client, which
counts them.
"""

import base64
import binascii
import json
import logging
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok, Result

from nutmeglead.core.clock import Clock
from nutmeglead.core.errors import PlatformError
from nutmeglead.http.client import HttpFetcher, ProgressLimits
from nutmeglead.http.errors import ConnectFailed, HttpError
from nutmeglead.http.messages import RequestHead, ResponseHead
from nutmeglead.platform.answer_delays import AnswerDelays
from nutmeglead.platform.era import EraRecord, parse_era
from nutmeglead.platform.fields import is_encodable
from nutmeglead.platform.wire import STORE_FEED_PATH, STORE_READ_PATH, STORE_TRANSACT_PATH

__all__ = [
    "FEED_MARGIN_MS",
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
# A feed call times out this long after its own wait, so that a silent store is noticed.
FEED_MARGIN_MS = 1_500
# An answer with rows can take seconds over a link that the answers of servers fill.
ROWS_SILENCE_MS = 1_500
ROWS_TRANSFER_MS = 10_000
# A call that the store answers with one of these had no effect.
_REFUSED_STATUSES = frozenset((429, 503))


@dataclass(frozen=True)
class StoreRow:
    """One row of a part of a table; the value of a removed row is None.

    `changed_ms` is the earliest local time at which the row can have changed, as far as the reader
    knows, or None.
    """

    table: str
    part: str
    key: str
    value: bytes | None
    version: int
    changed_ms: int | None = None


@dataclass(frozen=True)
class StoreRows:
    """Rows, and the version of the store when it read them.

    `delay_ms` tells how much longer the answer was under way than the fastest ones, and `era` is
    the era of the store to which all versions belong.
    """

    rows: tuple[StoreRow, ...]
    version: int
    delay_ms: int = 0
    era: int = 0


@dataclass
class StoreUnavailable(PlatformError):
    """A read or feed failed, or a transaction was not applied and will not be applied later."""

    reason: str

    def __str__(self) -> str:
        return f"the store did nothing: {self.reason}"


@dataclass
class StoreAnswerLost(PlatformError):
    """No usable answer arrived; the transaction may be applied already, or later, or never."""

    reason: str

    def __str__(self) -> str:
        return f"the store may have applied the transaction: {self.reason}"


@dataclass
class StoreConflict(PlatformError):
    """A transaction was not applied, as rows had other versions than expected.

    `rows` holds the expected rows as the store has them.
    """

    rows: tuple[StoreRow, ...]

    def __str__(self) -> str:
        return f"other versions than expected among rows: {', '.join(row.key for row in self.rows)}"


@dataclass
class AnswerOutdated(HttpError):
    """An answer has a lower era than is known, or a malformed one, and is not believed."""

    known_era: int

    def __str__(self) -> str:
        return f"the answer of the store is not of era {self.known_era}"


@dataclass
class StoreHistoryLost(PlatformError):
    """The store no longer keeps the changes that follow version `after`."""

    after: int

    def __str__(self) -> str:
        return f"the store no longer keeps the changes after version {self.after}"


class StoreClient:
    """Makes calls to the store over kept-alive connections.

    A connection is closed when the answer to a call on it is lost.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        fetcher: HttpFetcher,
        timeout_ms: int,
        clock: Clock,
        eras: EraRecord | None = None,
    ) -> None:
        self._eras = eras or EraRecord()
        self._ip = ip
        self._port = port
        self._fetcher = fetcher
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._answer_delays = AnswerDelays()
        self.call_count = 0
        self.failure_count = 0
        # Start times of the calls in flight by call number. Feeds are left out, as they wait for a
        # change and so may take long although the store is well.
        self._started_ms: dict[int, int] = {}
        # Start time of the first call that failed since the last one that was answered.
        self._unanswered_since_ms: int | None = None

    @property
    def era(self) -> int:
        """Return the highest era of the store that this process has seen."""
        return self._eras.era

    def unanswered_ms(self) -> int:
        """Return for how long this node has been waiting for an answer of the store.

        The time counts from the oldest call in flight, or from the first of the calls that failed
        since the last answered one. It is 0 if there is neither.
        """
        starts_ms = list(self._started_ms.values())
        if self._unanswered_since_ms is not None:
            starts_ms.append(self._unanswered_since_ms)
        return self._clock.now_ms() - min(starts_ms) if starts_ms else 0

    async def transact(
        self,
        expected: Sequence[StoreRow],
        writes: Sequence[StoreRow],
        removals: Sequence[StoreRow] = (),
    ) -> Result[int, StoreConflict | StoreUnavailable | StoreAnswerLost]:
        """Write and remove rows if all expected rows have their versions, 0 for an absent row.

        Returns the version of the store after the transaction. If the store's era rises during the
        call, the versions expected here are of a lower era, and the answer says nothing.
        """
        era = self.era
        body = {
            "expected": [{**_row_id(row), "ver": row.version} for row in expected],
            "set_keys": [{**_row_id(row), "value": _encode_value(row)} for row in writes],
            "remove": [_row_id(row) for row in removals],
        }
        fetched = await self._call(b"POST", STORE_TRANSACT_PATH, body, self._timeout_ms)
        if isinstance(fetched, Err):
            error = fetched.err_value
            # Nothing was sent without a connection, so nothing can have been applied.
            if isinstance(error, ConnectFailed):
                return Err(StoreUnavailable(str(error)))
            return Err(StoreAnswerLost(str(error)))
        status, answer = fetched.ok_value
        if self.era != era:
            return Err(StoreAnswerLost(f"the store's era rose from {era} to {self.era} meanwhile"))
        if status == 200:
            return _parse_answer(answer, lambda fields: int(fields["ver"])).map_err(
                lambda error: StoreAnswerLost(error.reason)
            )
        if status == 412:
            conflict = _parse_answer(answer, _parse_rows).map_err(
                lambda error: StoreAnswerLost(error.reason)
            )
            return conflict.and_then(lambda rows: Err(StoreConflict(rows.rows)))
        if status in (400, 403, 404) or status in _REFUSED_STATUSES:
            return Err(StoreUnavailable(f"status {status}"))
        return Err(StoreAnswerLost(f"status {status}"))

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[StoreRows, StoreUnavailable]:
        """Return the rows of a part of a table with keys from `first` up to, but without, `end`.

        The store answers in pages. Each page is read at its own time, so the result is no snapshot;
        its version is that of the first page, after which rows of any page may have changed.
        """
        rows: list[StoreRow] = []
        version: int | None = None
        era: int | None = None
        while True:
            query = {"table": table, "part": part, "from": first}
            if end:
                query["target"] = end
            page = await self._read_page(f"{STORE_READ_PATH}?{urlencode(query)}")
            if isinstance(page, Err):
                return page
            found, has_more = page.ok_value
            era = found.era if era is None else era
            if found.era != era:
                return Err(StoreUnavailable(f"the store's era rose to {found.era} between pages"))
            rows += found.rows
            version = found.version if version is None else version
            if not has_more or not found.rows:
                return Ok(StoreRows(tuple(rows), version, era=era))
            first = found.rows[-1].key + "\0"

    async def feed(
        self, table: str, after: int, wait_ms: int
    ) -> Result[StoreRows, StoreHistoryLost | StoreUnavailable]:
        """Return the rows of a table that changed after version `after`.

        If there are none, the store waits up to `wait_ms` for a change. After version 0 it returns
        all rows that exist.
        """
        query = urlencode({"table": table, "after": after, "wait_ms": wait_ms})
        target = f"{STORE_FEED_PATH}?{query}"
        fetched = await self._call_for_rows(target, wait_ms + FEED_MARGIN_MS)
        if isinstance(fetched, Err):
            return Err(StoreUnavailable(str(fetched.err_value)))
        status, answer = fetched.ok_value
        if status == 410:
            return Err(StoreHistoryLost(after))
        if status != 200:
            return Err(StoreUnavailable(f"status {status}"))
        return _parse_answer(answer, self._parse_delayed_rows)

    def _parse_delayed_rows(self, fields: dict[str, Any]) -> StoreRows:
        """Return the rows of an answer that has just arrived, with its delay."""
        rows, sent_s = replace(_parse_rows(fields), era=self.era), fields.get("now_s")
        if sent_s is None:
            return rows
        delay_ms = self._answer_delays.delay_ms(round(sent_s * 1000), self._clock.now_ms())
        return replace(rows, delay_ms=delay_ms)

    async def _read_page(self, target: str) -> Result[tuple[StoreRows, bool], StoreUnavailable]:
        """Return the rows of one page, and whether more pages follow."""
        fetched = await self._call_for_rows(target, self._timeout_ms)
        if isinstance(fetched, Err):
            return Err(StoreUnavailable(str(fetched.err_value)))
        status, answer = fetched.ok_value
        if status != 200:
            return Err(StoreUnavailable(f"status {status}"))
        return _parse_answer(
            answer,
            lambda fields: (
                replace(_parse_rows(fields), era=self.era),
                bool(fields.get("has_more")),
            ),
        )

    async def _call_for_rows(
        self, target: str, timeout_ms: int
    ) -> Result[tuple[int, bytes], HttpError]:
        """Make a call whose answer holds rows; `timeout_ms` limits the time until it begins."""
        progress = ProgressLimits(ROWS_SILENCE_MS, timeout_ms + ROWS_TRANSFER_MS)
        return await self._call(b"GET", target, None, timeout_ms, progress)

    async def _call(
        self,
        method: bytes,
        target: str,
        body: Any,
        timeout_ms: int,
        progress: ProgressLimits | None = None,
    ) -> Result[tuple[int, bytes], HttpError]:
        """Make and count a call; return the status and the body of the answer."""
        self.call_count += 1
        call_number, started_ms = self.call_count, self._clock.now_ms()
        if not target.startswith(STORE_FEED_PATH):
            self._started_ms[call_number] = started_ms
        try:
            fetched = await self._fetch(method, target, body, timeout_ms, progress)
        finally:
            self._started_ms.pop(call_number, None)
        self._record_result(fetched, started_ms)
        if isinstance(fetched, Err):
            return fetched
        response, content = fetched.ok_value
        # A refused call had no effect in any era, and may be refused on behalf of the store.
        if response.status not in _REFUSED_STATUSES:
            era = parse_era(response.headers)
            if era is None or not self._eras.observe(era):
                return Err(AnswerOutdated(self.era))
        return Ok((response.status, content))

    async def _fetch(
        self,
        method: bytes,
        target: str,
        body: Any,
        timeout_ms: int,
        progress: ProgressLimits | None,
    ) -> Result[tuple[ResponseHead, bytes], HttpError]:
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = RequestHead(method, target.encode(), [_JSON_TYPE] if data else [])
        return await self._fetcher.fetch(self._ip, self._port, head, data, timeout_ms, progress)

    def _record_result(
        self, fetched: Result[tuple[ResponseHead, bytes], HttpError], started_ms: int
    ) -> None:
        """Count a call that failed or was refused; update the start of the time without answer."""
        has_failed = isinstance(fetched, Err) or fetched.ok_value[0].status in _REFUSED_STATUSES
        self.failure_count += has_failed
        since_ms = self._unanswered_since_ms
        if has_failed:
            self._unanswered_since_ms = started_ms if since_ms is None else since_ms
        elif since_ms is not None and started_ms >= since_ms:
            self._unanswered_since_ms = None


def _row_id(row: StoreRow) -> dict[str, Any]:
    """Return the fields that name a row in a call."""
    return {"table": row.table, "part": row.part, "key": row.key}


def _encode_value(row: StoreRow) -> str:
    return base64.b64encode(row.value or b"").decode()


def _parse_answer(answer: bytes, convert: Any) -> Result[Any, StoreUnavailable]:
    """Return what `convert` makes of the JSON in an answer."""
    try:
        return Ok(convert(json.loads(answer)))
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        return Err(StoreUnavailable(f"the answer of the store could not be decoded: {error!r}"))


def _parse_rows(fields: dict[str, Any]) -> StoreRows:
    """Return the rows of an answer, without those whose key cannot be encoded for other nodes."""
    rows = []
    for entry in fields["rows"]:
        row = _parse_row(entry)
        if is_encodable(row.key):
            rows.append(row)
        else:
            logger.warning("table %s: ignoring the row with the key %r", row.table, row.key)
    return StoreRows(tuple(rows), int(fields.get("ver", 0)))


def _parse_row(entry: dict[str, Any]) -> StoreRow:
    # In the answer to a conflict, version 0 stands for a row that does not exist.
    version = int(entry.get("ver", 0))
    value = None if entry.get("removed") or not version else _decode_value(entry)
    return StoreRow(entry["table"], entry.get("part", ""), entry["key"], value, version)


def _decode_value(entry: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(entry.get("value") or "", validate=True)
    except (binascii.Error, TypeError, ValueError) as error:
        # Whoever decodes the empty value finds it malformed; the other rows stay usable.
        logger.warning(
            "table %s, row %s: the value is not valid base64 and is taken as empty: %s",
            entry["table"],
            entry["key"],
            error,
        )
        return b""
