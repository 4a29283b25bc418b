"""Send an emulated day's requests with the retries of the users' programs; check each answer."""

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
from nutmeglead.emulator.balancer import LoadBalancer
from nutmeglead.emulator.server_host import ENTRY_HEADER
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.errors import ConnectFailed
from nutmeglead.http.messages import RequestHead, ResponseHead, header_value
from nutmeglead.platform.wire import DEADLINE_HEADER, REQUEST_ID_HEADER

__all__ = ["Callers", "FlowCounts", "ReportedOutcomes"]

# Statuses after which a request is not retried.
FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
# A wait before a retry lasts at most this share of the time left, whatever Retry-After asks for.
MAX_RETRY_WAIT_SHARE = 1 / 3
SAFE_METHOD = "GET"


@dataclass
class FlowCounts:
    """Count the results of a flow's requests; a request with retries counts once."""

    # Requests that callers sent.
    owed: int = 0
    # Successful answers within the flow's target latency, and after it.
    in_time: int = 0
    late: int = 0
    # Requests whose last status was 503, and those with any other status or none.
    refused: int = 0
    failed: int = 0
    # Attempts of all requests, retries included.
    attempts: int = 0
    # Requests answered in time and requests sent, by the second of the day in which they began.
    in_time_by_s: Counter[int] = field(default_factory=Counter)
    owed_by_s: Counter[int] = field(default_factory=Counter)


@dataclass
class ReportedOutcomes:
    """Hold what callers were answered, for comparison with the servers' executions.

    Request ids differ between the attempts of a request.
    """

    # Ids with the outcome "not-run".
    not_run: set[str] = field(default_factory=set)
    # Ids with a successful answer.
    answered: set[str] = field(default_factory=set)
    # Ids of all attempts with an unsafe method, which must not run twice.
    at_most_once: set[str] = field(default_factory=set)
    # Successful answers that belong to another request.
    wrong_answers: int = 0


class Callers:
    """Send the requests of a day's flows and count their results."""

    def __init__(
        self, flows: list[DayFlow], balancer: LoadBalancer, clock: Clock, rng: random.Random
    ) -> None:
        self.counts = {flow.name: FlowCounts() for flow in flows}
        self.reported_outcomes = ReportedOutcomes()
        # Multiplies the request rate of every flow.
        self.load_factor = 1.0
        self._flows = flows
        self._balancer = balancer
        self._clock = clock
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self._fetcher = HttpFetcher(max_idle_count=32)
        self._request_tasks: set[asyncio.Task[None]] = set()
        self._start_ms = clock.now_ms()

    async def run(self, duration_s: float) -> None:
        """Send requests for `duration_s`, and wait until the last one has ended."""
        self._start_ms = self._clock.now_ms()
        await asyncio.gather(*(self._send_flow(flow, duration_s) for flow in self._flows))
        await asyncio.gather(*self._request_tasks)
        self._fetcher.close()

    async def _send_flow(self, flow: DayFlow, duration_s: float) -> None:
        end_ms = self._clock.now_ms() + duration_s * 1000
        while self._clock.now_ms() < end_ms:
            task = asyncio.get_running_loop().create_task(self._send_request(flow))
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)
            await asyncio.sleep(self._rng.expovariate(flow.requests_per_s * self.load_factor))

    def _draw_key(self, flow: DayFlow) -> str:
        if self._rng.random() < flow.hot_share:
            return "hot"
        return f"k{min(int(self._rng.paretovariate(1.1)), flow.keys)}"

    async def _send_request(self, flow: DayFlow) -> None:
        """Send a request with up to `flow.retries` retries, and count its result."""
        counts, started_ms = self.counts[flow.name], self._clock.now_ms()
        second = (started_ms - self._start_ms) // 1000
        counts.owed += 1
        counts.owed_by_s[second] += 1
        key = self._draw_key(flow)
        deadline_ms = started_ms + flow.time_limit_ms
        status = 0
        for attempt in range(flow.retries + 1):
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            counts.attempts += 1
            status, may_retry, wait_ms = await self._send_attempt(flow, key, left_ms, attempt)
            if 200 <= status < 300:
                break
            if not may_retry or status in FINAL_STATUSES:
                break
            left_ms = deadline_ms - self._clock.now_ms()
            await asyncio.sleep(min(wait_ms, max(0, left_ms) * MAX_RETRY_WAIT_SHARE) / 1000)
        duration_ms = self._clock.now_ms() - started_ms
        self._count_result(counts, second, status, duration_ms <= flow.target_latency_ms)

    def _count_result(self, counts: FlowCounts, second: int, status: int, is_in_time: bool) -> None:
        if 200 <= status < 300:
            counts.in_time += is_in_time
            counts.in_time_by_s[second] += is_in_time
            counts.late += not is_in_time
        elif status == 503:
            counts.refused += 1
        else:
            counts.failed += 1

    async def _send_attempt(
        self, flow: DayFlow, key: str, left_ms: int, attempt: int
    ) -> tuple[int, bool, float]:
        """Return the status, whether the request may be retried, and the wait before that in ms.

        Without a response the status is 0.
        """
        request_id = f"{flow.name}-{next(self._request_numbers)}"
        is_safe = flow.method == SAFE_METHOD
        if not is_safe:
            self.reported_outcomes.at_most_once.add(request_id)
        headers = [(REQUEST_ID_HEADER, request_id.encode()), (DEADLINE_HEADER, b"%d" % left_ms)]
        address = self._balancer.choose(self._rng)
        if address is None:
            return 0, True, 100
        headers.append((ENTRY_HEADER, address[0].encode()))
        path = f"/{flow.service_name}/{key}".encode()
        head = RequestHead(flow.method.encode(), path, headers)
        fetched = await self._fetcher.fetch(*address, head, b"" if is_safe else b"work", left_ms)
        if isinstance(fetched, Err):
            return 0, is_safe or isinstance(fetched.err_value, ConnectFailed), 0
        return self._evaluate_response(*fetched.ok_value, request_id, is_safe)

    def _evaluate_response(
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
