"""Send an emulated day's requests the way the users' own programs do, and check every answer."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from result import Err

from nutmeglead._generated.emulator.ttypes import DayFlow
from nutmeglead.core.clock import Clock
from nutmeglead.core.outcome import OUTCOME_HEADER, Outcome
from nutmeglead.emulator.balancer import Balancer
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import ConnectFailed
from nutmeglead.http.messages import RequestHead, ResponseHead, header_value
from nutmeglead.platform.wire import DEADLINE_HEADER, REQUEST_ID_HEADER

__all__ = ["Callers", "FlowCounts", "ReportedOutcomes"]

# Statuses after which a request is not sent again.
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
# A caller that waits as told uses at most this part of the time that is left.
MAX_WAIT_SHARE = 1 / 3
SAFE_METHOD = "GET"


@dataclass
class FlowCounts:
    """Count how the requests of one kind ended; each caller's request counts once."""

    owed: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    # Requests answered in time by second of the day, and requests owed.
    in_time_by_s: Counter[int] = field(default_factory=Counter)
    owed_by_s: Counter[int] = field(default_factory=Counter)


@dataclass
class ReportedOutcomes:
    """Hold the outcomes that callers got, to be compared with what the servers ran."""

    not_run: set[str] = field(default_factory=set)
    answered: set[str] = field(default_factory=set)
    at_most_once: set[str] = field(default_factory=set)
    wrong_answers: int = 0


class Callers:
    """Run the flows of a day."""

    def __init__(
        self, flows: list[DayFlow], balancer: Balancer, clock: Clock, rng: random.Random
    ) -> None:
        self.counts = {flow.name: FlowCounts() for flow in flows}
        self.reported_outcomes = ReportedOutcomes()
        # Load is this many times the flows' rates.
        self.load_factor = 1.0
        self._flows = flows
        self._balancer = balancer
        self._clock = clock
        self._rng = rng
        self._ids = itertools.count(1)
        self._fetcher = HttpFetcher(max_idle_count=32)
        self._requests: set[asyncio.Task[None]] = set()
        self._start_ms = clock.now_ms()

    async def run(self, duration_s: float) -> None:
        """Send requests for some time, and wait for the last answers."""
        self._start_ms = self._clock.now_ms()
        await asyncio.gather(*(self._send_flow(flow, duration_s) for flow in self._flows))
        await asyncio.gather(*self._requests)
        self._fetcher.close()

    async def _send_flow(self, flow: DayFlow, duration_s: float) -> None:
        end_ms = self._clock.now_ms() + duration_s * 1000
        while self._clock.now_ms() < end_ms:
            task = asyncio.get_running_loop().create_task(self._request(flow))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)
            await asyncio.sleep(self._rng.expovariate(flow.requests_per_s * self.load_factor))

    def _key(self, flow: DayFlow) -> str:
        if self._rng.random() < flow.hot_share:
            return "hot"
        return f"k{min(int(self._rng.paretovariate(1.1)), flow.keys)}"

    async def _request(self, flow: DayFlow) -> None:
        """Send a request, and again as often as the caller does."""
        counts, begun_ms = self.counts[flow.name], self._clock.now_ms()
        second = (begun_ms - self._start_ms) // 1000
        counts.owed += 1
        counts.owed_by_s[second] += 1
        key = self._key(flow)
        ends_ms = begun_ms + flow.time_limit_ms
        status = 0
        for attempt in range(flow.retries + 1):
            left_ms = ends_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            counts.attempts += 1
            status, may_repeat, wait_ms = await self._attempt(flow, key, left_ms, attempt)
            if 200 <= status < 300:
                break
            if not may_repeat or status in FINAL_STATUSES:
                break
            left_ms = ends_ms - self._clock.now_ms()
            await asyncio.sleep(min(wait_ms, max(0, left_ms) * MAX_WAIT_SHARE) / 1000)
        duration_ms = self._clock.now_ms() - begun_ms
        self._count(counts, second, status, duration_ms <= flow.target_latency_ms)

    def _count(self, counts: FlowCounts, second: int, status: int, is_in_time: bool) -> None:
        if 200 <= status < 300:
            counts.in_time += is_in_time
            counts.in_time_by_s[second] += is_in_time
            counts.late += not is_in_time
        elif status == 503:
            counts.refused += 1
        else:
            counts.failed += 1

    async def _attempt(
        self, flow: DayFlow, key: str, left_ms: int, attempt: int
    ) -> tuple[int, bool, float]:
        """Return the status, whether the request may be sent again, and when."""
        request_id = f"{flow.name}-{next(self._ids)}"
        is_safe = flow.method == SAFE_METHOD
        if not is_safe:
            self.reported_outcomes.at_most_once.add(request_id)
        headers = [(REQUEST_ID_HEADER, request_id.encode()), (DEADLINE_HEADER, b"%d" % left_ms)]
        path = f"/{flow.service_name}/{key}".encode()
        head = RequestHead(flow.method.encode(), path, headers)
        address = self._balancer.choose(self._rng)
        if address is None:
            return 0, True, 100
        fetched = await self._fetcher.fetch(*address, head, b"" if is_safe else b"work", left_ms)
        if isinstance(fetched, Err):
            return 0, is_safe or isinstance(fetched.err_value, ConnectFailed), 0
        return self._judge(*fetched.ok_value, request_id, is_safe)

    def _judge(
        self, response: ResponseHead, body: bytes, request_id: str, is_safe: bool
    ) -> tuple[int, bool, float]:
        if 200 <= response.status < 300:
            self.reported_outcomes.answered.add(request_id)
            if not body.startswith(request_id.encode() + b" "):
                self.reported_outcomes.wrong_answers += 1
            return response.status, False, 0
        outcome = header_value(response.headers, OUTCOME_HEADER)
        is_not_run = outcome == Outcome.NOT_RUN.value.encode()
        if is_not_run:
            self.reported_outcomes.not_run.add(request_id)
        wait_s = float(header_value(response.headers, b"retry-after") or b"0")
        return response.status, is_safe or is_not_run, wait_s * 1000
