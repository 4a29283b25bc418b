"""Stand-in for an instance of a service: requests, key grants, and its entry in the store."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from store import Store
from web import Answer, Request, WebServer

__all__ = ["HEARTBEAT_S", "Hold", "Instance"]

IP = "127.0.0.1"
HEARTBEAT_S = 0.87

# Called with what happened, and the request id or the keys.
Note = Callable[[str, str], None]


@dataclass
class Hold:
    """Keys that an instance holds until a time on the steady clock."""

    first: int
    last: int
    fence: int
    until_s: float


class Instance:
    """One incarnation of an instance, as the platform's pages describe it."""

    def __init__(
        self,
        store: Store,
        note: Note,
        service: str,
        server_id: str,
        slots: int = 4,
        work_s: float = 0.05,
        is_sharded: bool = False,
    ) -> None:
        self.service, self.server_id = service, server_id
        self.slots, self.work_s, self.is_sharded = slots, work_s, is_sharded
        self.state = "ready"
        # Whether its calls to the store arrive.
        self.reaches_store = True
        # With a time, requests are turned away with 503 and Retry-After until then.
        self.retry_until_s: float | None = None
        self.holds: list[Hold] = []
        self.port = 0
        self._fences: list[Hold] = []
        self._store, self._note = store, note
        self._born_ms = time.time_ns() // 1_000_000
        self._seq = 0
        self._in_flight = 0
        self._slots = asyncio.Semaphore(slots)
        self._web = WebServer(self._answer)
        self._beats: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        """Listen, and register in the store."""
        self.port = await self._web.start(IP, port)
        self.beat()
        self._beats = asyncio.get_running_loop().create_task(self._run_beats())

    def kill(self) -> None:
        """End without a word; the entry in the store lapses by itself."""
        self._web.kill()
        if self._beats is not None:
            self._beats.cancel()

    def entry(self) -> bytes:
        """Return the entry in the store."""
        fields = {
            "service": self.service,
            "address": f"{IP}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_s": 0,
            "seq": self._seq,
            "born": self._born_ms,
        }
        return json.dumps(fields).encode()

    def beat(self) -> None:
        """Write the entry to the store, unless it can't be reached."""
        self._seq += 1
        if self.reaches_store:
            self._store.put("servers", self.server_id, self.entry())

    async def _run_beats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.beat()

    async def _answer(self, request: Request) -> Answer:
        target = request.headers.get("x-target-instance")
        if target is not None and target != self.server_id:
            return Answer(421, {"X-Instance-Id": self.server_id, "X-Not-Executed": "1"})
        if request.target == "/v1/grant":
            return self._grant(json.loads(request.body))
        if request.target == "/v1/release":
            return self._release(json.loads(request.body))
        if request.target == "/health":
            return Answer(200, {"X-Instance-Id": self.server_id})
        return await self._serve(request)

    async def _serve(self, request: Request) -> Answer:
        request_id = request.headers["x-request-id"]
        own = {"X-Request-Id": request_id}
        self._note("arrives", request_id)
        refused = self._refusal(request)
        if refused is not None:
            refused.headers.update(own, **{"X-Not-Executed": "1"})
            self._note(f"refused {refused.status}", request_id)
            return refused
        self._in_flight += 1
        try:
            async with self._slots:
                self._note("runs", request_id)
                await asyncio.sleep(self.work_s)
        finally:
            self._in_flight -= 1
        return Answer(200, {**own, "X-Response-Signature": f"mac.{request_id}"}, b"done")

    def _refusal(self, request: Request) -> Answer | None:
        """Return why a request isn't run, or None."""
        if self.is_sharded and not self.holds_key(int(request.headers["x-shard-key"])):
            return Answer(421)
        now_s = time.monotonic()
        if self.retry_until_s is not None and now_s < self.retry_until_s:
            return Answer(503, {"Retry-After": f"{self.retry_until_s - now_s:.3f}"})
        if self._in_flight >= 3 * self.slots:
            return Answer(503)
        return None

    def holds_key(self, key: int) -> bool:
        """Return whether the instance holds a key now."""
        now_s = time.monotonic()
        return any(h.first <= key <= h.last and now_s < h.until_s for h in self.holds)

    def _grant(self, order: dict[str, int]) -> Answer:
        first, last, fence = order["from"], order["target"], order["fence"]
        if any(f.first <= last and first <= f.last and f.fence > fence for f in self._fences):
            return Answer(409)
        is_known = any((h.first, h.last, h.fence) == (first, last, fence) for h in self.holds)
        until_s = time.monotonic() + float(order["hold_s"])
        self._fences.append(Hold(first, last, fence, until_s))
        self._drop(first, last)
        self.holds.append(Hold(first, last, fence, until_s))
        if not is_known:
            self._note("is granted", f"keys {first} to {last}, fence {fence}")
        return Answer(200)

    def _release(self, order: dict[str, int]) -> Answer:
        first, last, fence = order["from"], order["target"], order["fence"]
        self._fences.append(Hold(first, last, fence, 0.0))
        self._drop(first, last)
        self._note("releases", f"keys {first} to {last}, fence {fence}")
        return Answer(200, {"X-Handover": f"{self.server_id}-{fence}"})

    def _drop(self, first: int, last: int) -> None:
        kept = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                kept.append(Hold(hold.first, first - 1, hold.fence, hold.until_s))
            if last < hold.last:
                kept.append(Hold(last + 1, hold.last, hold.fence, hold.until_s))
        self.holds = kept
