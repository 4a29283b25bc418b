"""Log and count what became of each request, in bounded volume."""

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

# A line costs about as much as a tenth of a request; above these rates lines are counted only.
ANSWERED_LINES_PER_S = 25.0
FAILED_LINES_PER_S = 50.0
# Upper ends of the histogram's buckets.
DURATION_BOUNDS_MS = (5, 10, 25, 50, 75, 100, 150, 200, 300, 500, 800, 1_500, 3_000, 10_000)


@dataclass(frozen=True)
class RequestSummary:
    """Hold how a request ended, and the inputs that decided it."""

    outcome: str
    status: int
    attempts: list[str]
    failure: str | None
    duration_ms: int
    map_version: int
    waited_ms: int


@dataclass
class DurationHistogram:
    """Count durations by bucket."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(DURATION_BOUNDS_MS) + 1))
    total_ms: int = 0

    def add(self, duration_ms: int) -> None:
        """Count a duration."""
        self.counts[bisect_left(DURATION_BOUNDS_MS, duration_ms)] += 1
        self.total_ms += duration_ms


class RequestLog:
    """Count every request, and log as many as the budgets allow."""

    def __init__(self) -> None:
        self.outcomes: Counter[tuple[ServiceName, RequestKind, str]] = Counter()
        self.durations: dict[tuple[ServiceName, RequestKind], DurationHistogram] = {}
        self._budgets = {
            Event.REQUEST_ANSWERED: RateBudget(ANSWERED_LINES_PER_S),
            Event.REQUEST_FAILED: RateBudget(FAILED_LINES_PER_S),
        }
        self._unlogged: Counter[Event] = Counter()

    def add(
        self, request: CallerRequest, service: ServiceName, summary: RequestSummary, now_ms: int
    ) -> None:
        """Enter a request that has ended."""
        kind = request.route.kind
        self.outcomes[(service, kind, summary.outcome)] += 1
        self.durations.setdefault((service, kind), DurationHistogram()).add(summary.duration_ms)
        event = Event.REQUEST_ANSWERED if summary.failure is None else Event.REQUEST_FAILED
        if not self._budgets[event].try_consume(now_ms):
            self._unlogged[event] += 1
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
            unlogged=self._unlogged.pop(event, 0),
        )
