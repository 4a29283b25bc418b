"""Count finished requests for the controllers and for the metrics."""

import random
from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Histogram

from nutmeglead._generated.common.ttypes import Sender, UnitKind
from nutmeglead._generated.messages.ttypes import LoadReport
from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead.core.ids import ServiceName
from nutmeglead.ownership.keys import Unit
from nutmeglead.placement.hotkeys import HotKeyFinder
from nutmeglead.placement.load import LoadCounter
from nutmeglead.placement.model import Pin
from nutmeglead.routing.sources import RequestRecord

__all__ = ["LoadReporter", "RequestMetrics"]

# The sketch costs several microseconds per counted key; a sample of one in eight keeps that below
# one percent of a request's processor time and finds keys of 1% of the load within a second.
HOT_KEY_SAMPLE_EVERY = 8
LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)


class RequestMetrics:
    """Count requests by result and measure their duration."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self._requests = Counter(
            "nutmeglead_requests",
            "Finished requests by service and result",
            ["service", "result"],
            registry=registry,
        )
        self._attempts = Counter(
            "nutmeglead_attempts",
            "Exchanges with backend servers",
            ["service"],
            registry=registry,
        )
        self._duration = Histogram(
            "nutmeglead_request_duration_seconds",
            "Time from a request's arrival to the end of its answer",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        # Looking labels up costs more than counting; there are few services and results.
        self._counted: dict[tuple[ServiceName, str], Counter] = {}
        self._measured: dict[ServiceName, tuple[Counter, Histogram]] = {}

    def count(self, record: RequestRecord) -> None:
        """Count one finished request."""
        result = record.failure or ("answered" if record.status else "caller left")
        name = record.service_name
        counted = self._counted.get((name, result))
        if counted is None:
            counted = self._counted[name, result] = self._requests.labels(name, result)
        counted.inc()
        attempts, duration = self._measured.get(name) or self._start_measuring(name)
        attempts.inc(record.attempts)
        duration.observe(record.duration_ms / 1000)

    def _start_measuring(self, name: ServiceName) -> tuple[Counter, Histogram]:
        measured = self._attempts.labels(name), self._duration.labels(name)
        self._measured[name] = measured
        return measured


class LoadReporter:
    """Be the router's RequestObserver and build its load reports."""

    def __init__(
        self,
        services: Iterable[ServiceSettings],
        metrics: RequestMetrics,
        rng: random.Random,
        now_ms: int,
    ) -> None:
        self._metrics = metrics
        self._counters: dict[ServiceName, LoadCounter] = {}
        self._hot_keys: dict[ServiceName, HotKeyFinder] = {}
        for service in services:
            name = ServiceName(service.name)
            self._counters[name] = LoadCounter(service.hash_buckets, now_ms)
            max_keys = max(1, service.placement.max_pins)
            self._hot_keys[name] = HotKeyFinder(max_keys, HOT_KEY_SAMPLE_EVERY, rng)

    def request_finished(self, record: RequestRecord) -> None:
        """Count one finished request."""
        self._metrics.count(record)
        if not isinstance(record.unit, Unit):
            return
        if record.unit.kind == UnitKind.HASH_BUCKET:
            self._counters[record.service_name].count(record.unit.bucket)
            self._hot_keys[record.service_name].count(record.key)
        else:
            self._counters[record.service_name].count(Pin(record.unit.kind, record.unit.key))

    def reports(self, sender: Sender, now_ms: int) -> list[LoadReport]:
        """Return one report per service and begin new windows."""
        return [
            counter.report(sender, name, self._hot_keys[name].take_window(), now_ms)
            for name, counter in self._counters.items()
        ]
