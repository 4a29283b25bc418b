"""Answer callers' requests from the servers of their routes."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from result import Err

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import FailureDomainName, ServiceName
from nutmeglead.forwarding.answers import refuse
from nutmeglead.forwarding.budget import RetryBudget
from nutmeglead.forwarding.dispatch import DispatchSettings, ServiceDispatch
from nutmeglead.forwarding.job import Job
from nutmeglead.forwarding.model import Manifest, ServiceSpec
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.request import BadRequest, CallerRequest, parse_caller_request
from nutmeglead.forwarding.request_log import RequestLog
from nutmeglead.forwarding.routes import RouteTable, WeightedChoice
from nutmeglead.http.exchange import CallerExchange
from nutmeglead.platform.node_settings import Bounds
from nutmeglead.ranges.model import RangeMap

__all__ = ["Forwarder", "KeyCounter"]

logger = logging.getLogger(__name__)

# What a caller waits before it asks a node again that has no manifest yet.
NO_MANIFEST_RETRY_MS = 500
# The store has acknowledged that a server leaves up to this long before this node knows it and
# the last request has reached the server.
LEAVE_MARGIN_MS = 500


class KeyCounter(Protocol):
    """Be told of keys in use."""

    def count_key(self, service: ServiceName, key: int) -> None:
        """Count a request for a key."""
        ...


class Forwarder:
    """Handle exchanges; `handle` is the handler of the server edge."""

    def __init__(
        self,
        registry: ServerRegistry,
        keys: KeyCounter,
        clock: Clock,
        rng: random.Random,
        own_domain: FailureDomainName,
        bounds: Bounds,
        node_count: Callable[[], int],
        in_flight_elsewhere: Callable[[int], int],
        settings: DispatchSettings | None = None,
    ) -> None:
        self.rejected: Counter[int] = Counter()
        self.log = RequestLog()
        self.clock = clock
        self._keys = keys
        self.node_count = node_count
        self.services: dict[ServiceName, ServiceDispatch] = {}
        self.budgets: dict[ServiceName, RetryBudget] = {}
        self._registry = registry
        self._rng = rng
        self._own_domain = own_domain
        self._bounds = bounds
        self._in_flight_elsewhere = in_flight_elsewhere
        self._settings = replace(
            settings or DispatchSettings(), leaving_use_ms=bounds.leave_ms - LEAVE_MARGIN_MS
        )
        self._table: RouteTable | None = None
        self._choice = WeightedChoice()
        registry.subscribe(self._follow_registry)

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force."""
        return None if self._table is None else self._table.manifest

    def apply_manifest(self, manifest: Manifest) -> bool:
        """Put a manifest in force unless it is older; requests under way keep theirs."""
        if self._table is not None and manifest.version <= self._table.manifest.version:
            return False
        self._table = RouteTable(manifest)
        for name, spec in manifest.services.items():
            if name in self.services:
                self.services[name].set_spec(spec)
            else:
                self._add_service(spec)
        log_event(
            logger,
            Event.MANIFEST_APPLIED,
            version=manifest.version,
            routes=len(manifest.routes),
            services=len(manifest.services),
        )
        return True

    def _add_service(self, spec: ServiceSpec) -> None:
        bounds = self._bounds
        self.services[spec.name] = ServiceDispatch(
            spec,
            self._registry,
            self.clock,
            self._rng,
            self._own_domain,
            self._settings,
            self._in_flight_elsewhere,
            self.node_count,
        )
        self.budgets[spec.name] = RetryBudget(
            bounds.retry_ratio, bounds.retry_base, bounds.retry_window_ms
        )

    def set_bounds(self, bounds: Bounds) -> None:
        """Take other bounds over; budgets keep what they have counted."""
        self._bounds = bounds
        for budget in self.budgets.values():
            budget.set_bounds(bounds.retry_ratio, bounds.retry_base, bounds.retry_window_ms)

    def set_ranges(self, ranges: RangeMap) -> None:
        """Take a newer range map."""
        service = self.services.get(ranges.service)
        if service is not None:
            service.set_ranges(ranges)

    def in_flight_by_tag(self) -> dict[int, int]:
        """Return the requests in flight per server tag."""
        counts: Counter[int] = Counter()
        for service in self.services.values():
            for upstream in service.upstreams.values():
                if upstream.in_flight:
                    counts[upstream.tag] += upstream.in_flight
        return counts

    def drain_samples(self, name: ServiceName) -> dict[int, tuple[int, float]]:
        """Return the answers per server tag of a service since the last call."""
        service = self.services.get(name)
        if service is None:
            return {}
        taken = {upstream.tag: upstream.drain_samples() for upstream in service.upstreams.values()}
        return {tag: sample for tag, sample in taken.items() if sample[0]}

    def dispatch_waiting(self) -> None:
        """Place waiting requests after other nodes have reported their requests in flight."""
        for service in self.services.values():
            if service.waiting_count:
                service.dispatch_waiting()

    def close_idle(self) -> None:
        """Close connections to servers that have been idle for too long."""
        now_ms = self.clock.now_ms()
        for service in self.services.values():
            for upstream in service.upstreams.values():
                upstream.close_idle(now_ms)

    def close(self) -> None:
        """Close the idle connections to servers."""
        for service in self.services.values():
            for upstream in service.upstreams.values():
                upstream.close()

    def _follow_registry(self) -> None:
        for service in self.services.values():
            service.refresh()

    async def handle(self, exchange: CallerExchange) -> None:
        """Answer one request."""
        if self._table is None:
            await refuse(exchange, 503, "no manifest is known yet", NO_MANIFEST_RETRY_MS)
            return
        parsed = parse_caller_request(
            exchange.head, exchange.body, exchange.received_ms, self._table
        )
        if isinstance(parsed, Err):
            await self._reject(exchange, parsed.err_value)
            return
        request = parsed.ok_value
        service = self.services.get(self._choice.choose(request.route))
        if service is None:
            await refuse(exchange, 503, "the service is not in the manifest", 500)
            return
        await self._forward(exchange, request, service)

    async def _reject(self, exchange: CallerExchange, error: BadRequest) -> None:
        self.rejected[error.status] += 1
        await refuse(exchange, error.status, error.reason, None)

    async def _forward(
        self, exchange: CallerExchange, request: CallerRequest, service: ServiceDispatch
    ) -> None:
        now_ms = self.clock.now_ms()
        budget = self.budgets[service.name]
        budget.count_request(now_ms)
        if service.spec.has_keys and request.key is not None:
            self._keys.count_key(service.name, request.key)
        job = Job(self, request, service, budget)
        try:
            await job.run(exchange)
        except asyncio.CancelledError:
            job.note_caller_left()
            raise
        finally:
            job.close()
            self.log.add(request, service.name, job.summary(), self.clock.now_ms())
