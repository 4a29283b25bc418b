"""Forward callers' requests to the servers of their routes and return the answers."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from result import Err, Result

from nutmeglead.core.clock import Clock
from nutmeglead.core.errors import CodecError
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import FailureDomainName, ServiceName
from nutmeglead.forwarding.address_checks import AddressChecks
from nutmeglead.forwarding.answers import refuse
from nutmeglead.forwarding.budget import RetryBudget
from nutmeglead.forwarding.dispatch import ServiceDispatch
from nutmeglead.forwarding.dispatch_settings import DispatchSettings
from nutmeglead.forwarding.job import RequestHandler
from nutmeglead.forwarding.model import Manifest, ServerIncarnation, ServerNotice, ServiceSpec
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.request import BadRequest, CallerRequest, parse_caller_request
from nutmeglead.forwarding.request_log import RequestLog
from nutmeglead.forwarding.routes import RouteTable, WeightedChoice
from nutmeglead.forwarding.stop_limit import StopLimit
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerExchange
from nutmeglead.platform.grants import GrantClient
from nutmeglead.platform.node_settings import Bounds
from nutmeglead.ranges.model import RangeMap
from nutmeglead.scheduling.warmup import WarmupBounds

__all__ = ["Forwarder", "KeyCounter"]

logger = logging.getLogger(__name__)

# Retry-After time of a node that has no manifest yet.
NO_MANIFEST_RETRY_MS = 500
# Taken off the drain bound for the use of a leaving server: a hub that stands still delays a copy
# by up to 550 ms without being noticed, and the last request needs up to 250 ms to arrive.
LEAVE_MARGIN_MS = 800


class KeyCounter(Protocol):
    """Interface that counts the requests for each key."""

    def count_key(self, service: ServiceName, key: int) -> None:
        """Count a request for a key."""
        ...


class Forwarder:
    """Forward requests under the manifest in force; the HTTP server calls `handle` for each one.

    `services` and `budgets` hold the dispatch and the retry budget of each service. `rejected`
    counts the requests that could not be forwarded, by the status of their answer. `node_count`
    returns the number of live nodes, `listed_node_count` that of all nodes that may be alive.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        keys: KeyCounter,
        clock: Clock,
        rng: random.Random,
        own_domain: FailureDomainName,
        bounds: Bounds,
        node_count: Callable[[], int],
        listed_node_count: Callable[[], int],
        in_flight_elsewhere: Callable[[int], int],
        fetcher: HttpFetcher,
        settings: DispatchSettings | None = None,
        may_move_keys: Callable[[], bool] = lambda: True,
    ) -> None:
        self.rejected: Counter[int] = Counter()
        self.log = RequestLog()
        self.clock = clock
        self._key_counter = keys
        self.node_count = node_count
        self.listed_node_count = listed_node_count
        self.services: dict[ServiceName, ServiceDispatch] = {}
        self.stop_limit = StopLimit()
        self._running: set[RequestHandler] = set()
        self.budgets: dict[ServiceName, RetryBudget] = {}
        self._registry = registry
        self._rng = rng
        self._own_domain = own_domain
        self._bounds = bounds
        client = GrantClient(fetcher, self.apply_notice)
        self.address_checks = AddressChecks(
            client, registry, clock, bounds.reuse_after_ms, self._health_path
        )
        self._may_move_keys = may_move_keys
        self._apply_server_bounds()
        self._in_flight_elsewhere = in_flight_elsewhere
        self._settings = _bounded(settings or DispatchSettings(), bounds)
        self._route_table: RouteTable | None = None
        self._service_choice = WeightedChoice()
        registry.subscribe(self._refresh_services)

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest in force, or None before the first one."""
        return None if self._route_table is None else self._route_table.manifest

    def target_latency_ms(self, service: ServiceName) -> int:
        """Return the lowest target latency of the routes that lead to a service."""
        return self.services[service].admission.target_latency_ms

    def manifest_fault_count(self) -> int:
        """Return how many parts of the manifest in force could not be used."""
        return 0 if self.manifest is None else len(self.manifest.faults)

    def apply_manifest(self, manifest: Manifest, **log_fields: object) -> bool:
        """Put a manifest in force and return True, or return False if it is not newer.

        `log_fields` are further fields of the log line that says so.

        Requests already in progress keep the manifest under which they began.
        """
        if self._route_table is not None and manifest.version <= self._route_table.manifest.version:
            return False
        self._route_table = RouteTable(manifest)
        for name, spec in manifest.services.items():
            if name in self.services:
                self.services[name].set_spec(spec)
            else:
                self._add_service(spec)
        for name, spec in manifest.services.items():
            self._registry.warmups.set_service(name, spec.warmup_ms, spec.warmup_per_s)
        for name, target_ms in manifest.lowest_target_latencies_ms().items():
            if name in self.services:
                self.services[name].admission.target_latency_ms = target_ms
        log_event(
            logger,
            Event.MANIFEST_APPLIED,
            version=manifest.version,
            routes=len(manifest.routes),
            services=len(manifest.services),
            idle_timeout_ms=manifest.limits.idle_timeout_ms,
            head_timeout_ms=manifest.limits.head_timeout_ms,
            **log_fields,
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
            self.stop_limit,
            self._may_move_keys,
        )
        self.budgets[spec.name] = RetryBudget(
            bounds.retry_ratio, bounds.retry_base, bounds.retry_window_ms
        )

    def set_bounds(self, bounds: Bounds) -> None:
        """Replace the bounds; retry budgets keep the requests and retries they have counted."""
        self._bounds = bounds
        self._apply_server_bounds()
        self._settings = _bounded(self._settings, bounds)
        for service in self.services.values():
            service.server_use.leaving_use_ms = self._settings.leaving_use_ms
        for budget in self.budgets.values():
            budget.set_bounds(bounds.retry_ratio, bounds.retry_base, bounds.retry_window_ms)

    def _apply_server_bounds(self) -> None:
        bounds, registry = self._bounds, self._registry
        self.address_checks.reuse_after_ms = bounds.reuse_after_ms
        registry.evacuations.bound_ms = bounds.evacuate_ms
        registry.warmups.bounds = WarmupBounds(bounds.warmup_overage, bounds.warmup_slack)

    def set_ranges(self, ranges: RangeMap) -> None:
        """Replace the range map of its service, if the manifest has that service."""
        service = self.services.get(ranges.service)
        if service is not None:
            service.set_ranges(ranges)

    def apply_notice(
        self, incarnation: ServerIncarnation, notice: Result[ServerNotice, CodecError]
    ) -> None:
        """Follow what a server has stated about itself in the answer to an order."""
        for service in self.services.values():
            upstream = service.upstreams.get(incarnation)
            if upstream is not None:
                service.apply_notice(upstream, notice)

    def in_flight_by_tag(self) -> dict[int, int]:
        """Return the number of this node's requests in flight by server tag, without zeros."""
        counts: Counter[int] = Counter()
        for service in self.services.values():
            for upstream in service.upstreams.values():
                if upstream.in_flight:
                    counts[upstream.tag] += upstream.in_flight
        return counts

    def drain_samples(self, name: ServiceName) -> dict[int, tuple[int, float]]:
        """Return answer count and mean service time by server tag since the last call, and reset.

        Servers without answers are left out.
        """
        service = self.services.get(name)
        if service is None:
            return {}
        samples = {
            upstream.tag: upstream.drain_samples() for upstream in service.upstreams.values()
        }
        return {tag: sample for tag, sample in samples.items() if sample[0]}

    def dispatch_waiting(self) -> None:
        """Assign waiting requests after other nodes have reported their requests in flight."""
        for service in self.services.values():
            service.update_admission()
            if service.waiting_count:
                service.dispatch_waiting()

    def maintain_servers(self) -> None:
        """Close connections that have been idle for too long, and check lost addresses again."""
        now_ms = self.clock.now_ms()
        for service in self.services.values():
            for upstream in service.upstreams.values():
                upstream.close_idle(now_ms)
        self.address_checks.check_again()

    def _health_path(self, name: ServiceName) -> str | None:
        service = self.services.get(name)
        return None if service is None else service.spec.health_path

    def begin_stop(self, last_start_ms: int, answers_due_ms: int) -> None:
        """Answer every request in time, and refuse at once those that would take longer."""
        self.stop_limit.begin(last_start_ms, answers_due_ms)
        for service in self.services.values():
            service.begin_stop()
        for handler in self._running:
            handler.begin_stop()

    def close(self) -> None:
        """Close the idle connections to servers, and end the checks of addresses."""
        self.address_checks.close()
        for service in self.services.values():
            for upstream in service.upstreams.values():
                upstream.close()

    def _refresh_services(self) -> None:
        """Update the servers of all services after the registry has changed."""
        for service in self.services.values():
            service.refresh()

    async def handle(self, exchange: CallerExchange) -> None:
        """Answer one request, by forwarding it or with an error of this node."""
        if self._route_table is None:
            await refuse(exchange, 503, "no manifest is known yet", NO_MANIFEST_RETRY_MS)
            return
        parsed = parse_caller_request(
            exchange.head,
            exchange.body,
            exchange.received_ms,
            self._route_table,
            exchange,
        )
        if isinstance(parsed, Err):
            await self._reject(exchange, parsed.err_value)
            return
        request = parsed.ok_value
        service = self.services.get(self._service_choice.choose(request.route))
        if service is None:
            # The last argument is the Retry-After time in ms.
            await refuse(exchange, 503, "the service is not in the manifest", 500)
            return
        await self._forward(exchange, request, service)

    async def _reject(self, exchange: CallerExchange, error: BadRequest) -> None:
        """Count a request that cannot be forwarded, and answer it with the error's status."""
        self.rejected[error.status] += 1
        await refuse(exchange, error.status, error.reason, None)

    async def _forward(
        self, exchange: CallerExchange, request: CallerRequest, service: ServiceDispatch
    ) -> None:
        """Handle a request, and record how it ended in the request log."""
        now_ms = self.clock.now_ms()
        budget = self.budgets[service.name]
        budget.count_request(now_ms)
        if service.spec.has_keys and request.key is not None:
            self._key_counter.count_key(service.name, request.key)
        handler = RequestHandler(self, request, service, budget)
        self._running.add(handler)
        try:
            await handler.run(exchange)
        except asyncio.CancelledError:
            handler.record_cancelled(exchange)
            raise
        finally:
            handler.close()
            self._running.discard(handler)
            self.log.add(request, service.name, handler.summary(), self.clock.now_ms())


def _bounded(settings: DispatchSettings, bounds: Bounds) -> DispatchSettings:
    """Return the settings with what follows from the platform's bounds."""
    return replace(settings, leaving_use_ms=bounds.leave_ms - LEAVE_MARGIN_MS)
