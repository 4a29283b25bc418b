"""Call the routers the way the users' own programs do and check every answer."""

import asyncio
import itertools
import json
import random
from dataclasses import dataclass

from result import Err

from nutmeglead.demo.fleet import Fleet
from nutmeglead.demo.report import Counts
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import ConnectFailed
from nutmeglead.http.messages import Headers, RequestHead, ResponseHead, header_value

__all__ = ["Callers", "Flow"]

CALLER_TIMEOUT_MS = 10_000
KEYS_PER_FLOW = 400


@dataclass(frozen=True)
class Flow:
    """Describe one kind of request."""

    service_name: str
    method: bytes
    path: str
    interval_ms: float
    callers: int
    large_body_bytes: int = 0


class Callers:
    """Run the flows until told to stop."""

    def __init__(self, fleet: Fleet, counts: Counts) -> None:
        self.order_ids: set[str] = set()
        self._fleet = fleet
        self._counts = counts
        self._rng = random.Random(fleet.options.seed + 1)
        self._ids = itertools.count(1)
        self._fetcher = HttpFetcher(max_idle_count=64)
        self._running = True
        # Request ids whose last answer said "not run" or gave a whole answer, checked at the end.
        self._told_not_run: set[str] = set()
        self._told_answered: set[str] = set()

    async def run(self, flows: list[Flow]) -> None:
        """Run all callers until `stop` is called."""
        callers = [self._caller(flow) for flow in flows for _ in range(flow.callers)]
        await asyncio.gather(*callers)
        self._fetcher.close()

    def stop(self) -> None:
        """Let each caller finish its present request."""
        self._running = False

    def settle(self) -> None:
        """Compare what callers were told with what the backend servers ran."""
        runs = self._fleet.ledger.run_count
        self._counts.false_not_run = sum(1 for r in self._told_not_run if runs[r])
        self._counts.answered_without_run = sum(1 for r in self._told_answered if not runs[r])
        self._counts.doubled_orders = self._fleet.ledger.doubled(self.order_ids)

    async def _caller(self, flow: Flow) -> None:
        while self._running:
            request_id = f"{flow.service_name}-{next(self._ids)}"
            if flow.method != b"GET":
                self.order_ids.add(request_id)
            key = f"k{min(int(self._rng.paretovariate(1.1)), KEYS_PER_FLOW)}"
            # What was not run may be sent again; what may have run must not.
            if await self._request(flow, key, request_id):
                await asyncio.sleep(0.2)
                await self._request(flow, key, request_id)
            await asyncio.sleep(self._rng.expovariate(1000 / flow.interval_ms))

    async def _request(self, flow: Flow, key: str, request_id: str) -> bool:
        """Send one request; return True if the answer says that it was not run."""
        vms = [vm for vm in self._fleet.vms if not vm.router.is_stopping]
        node = self._rng.choice(vms).settings.node
        headers: Headers = [(b"x-request-id", request_id.encode())]
        head = RequestHead(flow.method, f"/{flow.service_name}/{key}/{flow.path}".encode(), headers)
        body = b"" if flow.method == b"GET" else b"order"
        self._counts.requests += 1
        fetched = await self._fetcher.fetch(
            node.ip, node.router_port, head, body, CALLER_TIMEOUT_MS
        )
        if isinstance(fetched, Err):
            self._note_failure(fetched.err_value, request_id)
            return False
        response, received = fetched.ok_value
        return self._note_answer(flow, key, request_id, response, received)

    def _note_failure(self, error: Exception, request_id: str) -> None:
        """Count a broken connection: the caller knows nothing, unless it never connected."""
        if isinstance(error, ConnectFailed):
            self._counts.not_run += 1
            self._told_not_run.add(request_id)
        else:
            self._counts.cut_answers += 1
            print("DEBUG", request_id, error)
            self._told_not_run.discard(request_id)

    def _note_answer(
        self, flow: Flow, key: str, request_id: str, response: ResponseHead, body: bytes
    ) -> bool:
        outcome = header_value(response.headers, b"nutmeglead-outcome")
        if outcome == b"not-run":
            self._counts.not_run += 1
            self._told_not_run.add(request_id)
            return True
        self._told_not_run.discard(request_id)
        if outcome == b"unknown":
            self._counts.unknown += 1
            return False
        self._counts.answered += 1
        self._told_answered.add(request_id)
        if not _is_own_answer(flow, key, request_id, response, body):
            self._counts.wrong_answers += 1
        return False


def _is_own_answer(
    flow: Flow, key: str, request_id: str, response: ResponseHead, body: bytes
) -> bool:
    """Tell whether an answer is whole and belongs to the request."""
    if response.status != 200:
        return False
    if header_value(response.headers, b"x-request-id") != request_id.encode():
        return False
    if flow.large_body_bytes:
        pattern = request_id.encode()
        return len(body) == flow.large_body_bytes and body.startswith(pattern)
    document = json.loads(body)
    return bool(document["key"] == key and document["request_id"] == request_id)
