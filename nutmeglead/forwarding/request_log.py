"""Count the outcome of each request, and log requests at a limited rate."""

from __future__ import annotations

import logging
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import ServiceName
from nutmeglead.core.rate import RateBudget
from nutmeglead.forwarding.model import RequestKind
from nutmeglead.forwarding.request import CallerRequest

__all__ = ["DURATION_BOUNDS_MS", "DurationHistogram", "RequestLog", "RequestSummary"]

logger = logging.getLogger(__name__)

# Writing a line costs about a tenth of handling a request. Above these rates, requests are only
# counted, and the next line of the same event tells how many in its field `unlogged`.
ANSWERED_LINES_PER_S = 25.0
FAILED_LINES_PER_S = 50.0
# Upper bounds of the histogram's buckets, inclusive; the last bucket has none.
DURATION_BOUNDS_MS = (5, 10, 25, 50, 75, 100, 150, 200, 300, 500, 800, 1_500, 3_000, 10_000)


@dataclass(frozen=True)
class RequestSummary:
    """How a request ended, with the attempts and the range map version that led to it.

    `attempts` holds one entry per attempt: the server's id with the status or the error.
    """

    outcome: str
    status: int
    attempts: list[str]
    failure: str | None
    duration_ms: int
    map_version: int
    waited_ms: int


@dataclass
class DurationHistogram:
    """Histogram of durations, with the buckets of `DURATION_BOUNDS_MS`."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(DURATION_BOUNDS_MS) + 1))
    total_ms: int = 0

    def add(self, duration_ms: int) -> None:
        """Count a duration in its bucket and add it to the total."""
        self.counts[bisect_left(DURATION_BOUNDS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


class RequestLog:
    """Count every request, and log as many as the rate limits allow."""

    def __init__(self) -> None:
        self.outcomes: Counter[tuple[ServiceName, RequestKind, str]] = Counter()
        self.durations: dict[tuple[ServiceName, RequestKind], DurationHistogram] = {}
        self._line_budgets = {
            Event.REQUEST_ANSWERED: RateBudget(ANSWERED_LINES_PER_S),
            Event.REQUEST_FAILED: RateBudget(FAILED_LINES_PER_S),
        }
        self._unlogged_counts: Counter[Event] = Counter()

    def add(
        self, request: CallerRequest, service: ServiceName, summary: RequestSummary, now_ms: int
    ) -> None:
        """Count a request that has ended, and log it unless the rate limit is reached."""
        kind = request.route.kind
        self.outcomes[(service, kind, summary.outcome)] += 1
        self.durations.setdefault((service, kind), DurationHistogram()).add(summary.duration_ms)
        event = Event.REQUEST_ANSWERED if summary.failure is None else Event.REQUEST_FAILED
        if not self._line_budgets[event].try_consume(now_ms):
            self._unlogged_counts[event] += 1
            return
        log_event(
            logger,
            event,
            request=request.request_id.decode("latin-1"),
            service=service,
            route=request.route.name,
            manifest=request.manifest_version,
            key=request.key,
            map=summary.map_version,
            attempts=summary.attempts,
            waited_ms=summary.waited_ms,
            outcome=summary.outcome,
            status=summary.status,
            failure=summary.failure,
            duration_ms=summary.duration_ms,
            unlogged=self._unlogged_counts.pop(event, 0),
        )
