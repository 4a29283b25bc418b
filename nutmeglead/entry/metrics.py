"""Serve the Prometheus metrics of one entry VM.

The client library is imported at the first scrape, since it takes 6 MB and memory costs money.
"""

from __future__ import annotations

import importlib
import logging
import sys
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from nutmeglead.core.clock import Clock
from nutmeglead.forwarding.errors import RefusalReason
from nutmeglead.forwarding.model import ClientLimits
from nutmeglead.forwarding.request_log import DURATION_BOUNDS_MS
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.pipeline import PipelineServer

if TYPE_CHECKING:
    from nutmeglead.entry.process import EntryProcess

__all__ = ["METRICS_PATH", "MetricsServer", "NodeCollector"]

logger = logging.getLogger(__name__)

METRICS_PATH = b"/metrics"
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class NodeCollector:
    """Collect metrics from the entry process at each scrape; the registry calls `collect`."""

    def __init__(self, process: EntryProcess, core: Any) -> None:
        """`core` is the module prometheus_client.core."""
        self._process = process
        self._core = core

    def collect(self) -> Iterator[Any]:
        """Yield the metric families of requests, services, ranges and the node."""
        yield from self._requests()
        yield from self._services()
        yield from self._admission()
        yield from self._ranges()
        yield from self._node_metrics()
        yield from self._caller_connections()

    def _requests(self) -> Iterator[Any]:
        log = self._process.forwarder.log
        total = self._core.CounterMetricFamily(
            "nutmeglead_requests",
            "Requests by how they ended.",
            labels=["service", "kind", "outcome"],
        )
        for (service, kind, outcome), count in log.outcomes.items():
            total.add_metric([service, kind.value, outcome], count)
        yield total
        durations = self._core.HistogramMetricFamily(
            "nutmeglead_request_duration_seconds",
            "Time from a request's arrival to its end.",
            labels=["service", "kind"],
        )
        for (service, kind), entry in log.durations.items():
            durations.add_metric(
                [service, kind.value], _cumulative_buckets(entry.counts), entry.total_ms / 1000
            )
        yield durations
        rejected = self._core.CounterMetricFamily(
            "nutmeglead_requests_rejected",
            "Requests without a route, an id or a valid key, by status.",
            labels=["status"],
        )
        for status, count in self._process.forwarder.rejected.items():
            rejected.add_metric([str(status)], count)
        yield rejected

    def _services(self) -> Iterator[Any]:
        waiting = self._gauge("nutmeglead_waiting_requests", "Requests that wait for a server.")
        at_servers = self._gauge("nutmeglead_in_flight", "Requests of this node at servers.")
        servers = self._gauge("nutmeglead_servers", "Servers that take new work.")
        leaving = self._core.CounterMetricFamily(
            "nutmeglead_leaving_server_requests",
            "Requests sent to servers that were leaving.",
            labels=["service"],
        )
        leaving_age = self._gauge(
            "nutmeglead_leaving_server_request_max_age_seconds",
            "Longest time for which a server had been leaving when a request was sent to it.",
        )
        backoffs = self._core.CounterMetricFamily(
            "nutmeglead_server_backoffs",
            "Answers in which servers asked for no requests for a time.",
            labels=["service"],
        )
        lowest_share = self._gauge(
            "nutmeglead_lowest_admission_share",
            "Lowest share of this node's requests that a server which owns keys gets.",
        )
        evacuated = self._core.CounterMetricFamily(
            "nutmeglead_evacuated_refusals",
            "Requests refused because all servers are in evacuated failure domains.",
            labels=["service"],
        )
        warming = self._gauge(
            "nutmeglead_limited_servers", "Servers that get few requests while they warm up."
        )
        warmup = self._core.CounterMetricFamily(
            "nutmeglead_warmup_refusals",
            "Requests refused because the server of their key is warming up.",
            labels=["service"],
        )
        warmups, now_ms = self._process.registry.warmups, self._process.clock.now_ms()
        spread = self._gauge(
            "nutmeglead_server_load_spread",
            "Standard deviation over servers of estimated requests per slot.",
        )
        opened = self._core.CounterMetricFamily(
            "nutmeglead_server_connections_opened",
            "Connections that this node has tried to open to servers.",
            labels=["service"],
        )
        stale = self._core.CounterMetricFamily(
            "nutmeglead_stale_connections",
            "Reused connections to servers that broke before an answer began.",
            labels=["service"],
        )
        for name, service in self._process.forwarder.services.items():
            stale.add_metric([name], service.reuse.stale_count)
            limited = (warmups.is_limited(name, server, now_ms) for server in service.upstreams)
            warming.add_metric([name], sum(limited))
            warmup.add_metric([name], service.refusals.counts[RefusalReason.WARMING_UP])
            evacuated.add_metric([name], service.refusals.counts[RefusalReason.EVACUATED])
            upstreams = service.upstreams.values()
            spread.add_metric([name], service.selector.load_spread(upstreams, now_ms))
            opened.add_metric([name], service.connections.opened)
            backoffs.add_metric([name], service.notices.backoff_count)
            shares = (upstream.admission.share for upstream in upstreams)
            lowest_share.add_metric([name], min(shares, default=1.0))
            waiting.add_metric([name], service.waiting_count)
            at_servers.add_metric([name], sum(upstream.in_flight for upstream in upstreams))
            servers.add_metric([name], sum(upstream.is_ready for upstream in upstreams))
            leaving.add_metric([name], service.leaving_requests.count)
            leaving_age.add_metric([name], service.leaving_requests.max_age_ms / 1000)
        yield from (waiting, at_servers, servers, leaving, leaving_age, backoffs, lowest_share)
        yield from (evacuated, warming, warmup, spread, opened, stale)

    def _admission(self) -> Iterator[Any]:
        refusals = self._core.CounterMetricFamily(
            "nutmeglead_refusals",
            "Requests that were not assigned to a server.",
            labels=["service", "reason"],
        )
        returns = self._core.CounterMetricFamily(
            "nutmeglead_promised_returns",
            "Retry-After times given under overload, by whether they are in this node's share.",
            labels=["service", "placed"],
        )
        tokens = self._core.CounterMetricFamily(
            "nutmeglead_share_tokens",
            "Requests sent at this node's share of the rate of overloaded servers.",
            labels=["service"],
        )
        for name, service in self._process.forwarder.services.items():
            for reason, count in service.refusals.counts.items():
                refusals.add_metric([name, reason.name.lower()], count)
            counts = service.load_counts
            returns.add_metric([name, "yes"], counts.promised_returns)
            returns.add_metric([name, "no"], counts.unplaced_returns)
            tokens.add_metric([name], counts.tokens_used)
        yield from (refusals, returns, tokens)

    def _ranges(self) -> Iterator[Any]:
        acting = self._gauge("nutmeglead_controller_acting", "1 on the node that acts.")
        version = self._gauge("nutmeglead_map_version", "Version of the range map.")
        hold = self._gauge("nutmeglead_hold_seconds", "How long grants are in force unrenewed.")
        ranges = self._gauge("nutmeglead_ranges", "Key ranges of the map.")
        unserved = self._gauge("nutmeglead_unserved_keys", "Keys whose owner has no grant yet.")
        evacuated = self._gauge(
            "nutmeglead_evacuated_keys", "Keys whose owner is in an evacuated failure domain."
        )
        imbalance = self._gauge(
            "nutmeglead_imbalance", "Work of the fullest server over the mean, when acting."
        )
        moved = self._core.CounterMetricFamily(
            "nutmeglead_keys_moved", "Keys given to another server.", labels=["service"]
        )
        for name, controller in self._process.controllers.items():
            acting.add_metric([name], int(controller.is_acting))
            moved.add_metric([name], controller.keys_moved)
            if controller.ranges is None:
                continue
            version.add_metric([name], controller.ranges.version)
            hold.add_metric([name], controller.ranges.hold_ms / 1000)
            ranges.add_metric([name], len(controller.ranges.ranges))
            pending = sum(entry.size for entry in controller.ranges if entry.is_pending)
            unserved.add_metric([name], pending)
            evacuated.add_metric([name], controller.candidates.evacuated_keys(controller.ranges))
            if controller.is_acting:
                imbalance.add_metric([name], controller.imbalance())
        yield from (acting, version, hold, ranges, unserved, evacuated, imbalance, moved)

    def _node_metrics(self) -> Iterator[Any]:
        process = self._process
        store = self._core.CounterMetricFamily("nutmeglead_store_calls", "Calls to the store.")
        store.add_metric([], process.store.call_count)
        yield store
        failed = self._core.CounterMetricFamily(
            "nutmeglead_store_failures", "Calls to the store that failed."
        )
        failed.add_metric([], process.store.failure_count)
        yield failed
        era = process.store_era
        returned = self._core.CounterMetricFamily(
            "nutmeglead_store_returns", "Returns of the store from an older copy."
        )
        returned.add_metric([], era.rise_count)
        yield returned
        for name, help_text, value in (
            ("nutmeglead_store_era", "Era of the store.", lambda: era.era),
            ("nutmeglead_store_silent_seconds", "Time without the store.", process.store_age_s),
            ("nutmeglead_manifest_version", "Manifest in force.", process.manifest_version),
            (
                "nutmeglead_manifest_faults",
                "Parts of the manifest in force that could not be used.",
                process.forwarder.manifest_fault_count,
            ),
            (
                "nutmeglead_evacuated_domains",
                "Failure domains that are evacuated.",
                lambda: len(process.registry.evacuations.domains),
            ),
            (
                "nutmeglead_lost_addresses",
                "Servers at whose addresses another server has answered.",
                lambda: len(process.registry.addresses),
            ),
            (
                "nutmeglead_event_loop_max_stall_seconds",
                "Longest delay of a timer since the start.",
                process.max_stall_s,
            ),
            (
                "nutmeglead_peers_alive",
                "Entry VMs that are heard, with this one.",
                process.alive_count,
            ),
        ):
            yield self._core.GaugeMetricFamily(name, help_text, value=value())

    def _caller_connections(self) -> Iterator[Any]:
        process, held = self._process, self._process.held_bytes
        yield self._core.GaugeMetricFamily(
            "nutmeglead_held_bytes", "Bytes held for callers.", value=held.total_bytes
        )
        yield self._core.GaugeMetricFamily(
            "nutmeglead_held_bytes_limit", "Limit of held bytes.", value=held.limit_bytes
        )
        for name, help_text, value in (
            ("memory_refusals", "Requests refused for lack of memory.", held.refused_count),
            ("slow_readers_closed", "Callers that read no answers.", held.slow_reader_count),
            (
                "connections_bounded",
                "Connections closed or not admitted at the limit.",
                process.front_server.connection_limit.closed_count,
            ),
        ):
            counter = self._core.CounterMetricFamily(f"nutmeglead_{name}", help_text)
            counter.add_metric([], value)
            yield counter
        missing = self._core.CounterMetricFamily(
            "nutmeglead_answers_missing",
            "Connections that ended with requests unanswered, by cause.",
            labels=["cause"],
        )
        for cause, count in process.front_server.ends.connections.items():
            missing.add_metric([cause.value], count)
        yield missing

    def _gauge(self, name: str, help_text: str) -> Any:
        return self._core.GaugeMetricFamily(name, help_text, labels=["service"])


class MetricsServer:
    """Serve the metrics over HTTP."""

    def __init__(self, process: EntryProcess, clock: Clock) -> None:
        self._process = process
        self._registry: Any = None
        default = ClientLimits()
        limits = CallerLimits(
            default.head_size_bytes, 0, default.head_timeout_ms, default.idle_timeout_ms
        )
        self._server = PipelineServer(self._answer, lambda: limits, clock)

    async def start(self, ip: str, port: int) -> int:
        """Listen and return the bound port."""
        return await self._server.start(ip, port)

    async def close(self) -> None:
        """Close the port and all connections."""
        await self._server.close()

    async def _answer(self, exchange: CallerExchange) -> None:
        if exchange.head.target.partition(b"?")[0] != METRICS_PATH:
            await exchange.respond(404, [], b"")
            return
        if self._registry is None:
            self._registry = self._make_registry()
        exposition = importlib.import_module("prometheus_client.exposition")
        body = exposition.generate_latest(self._registry)
        await exchange.respond(200, [(b"content-type", CONTENT_TYPE)], body)

    def _make_registry(self) -> Any:
        # The library imports ssl, which the program blocks with a None entry to save memory.
        if sys.modules.get("ssl", self) is None:
            del sys.modules["ssl"]
        library = importlib.import_module("prometheus_client")
        core = importlib.import_module("prometheus_client.core")
        registry = library.CollectorRegistry(auto_describe=False)
        registry.register(NodeCollector(self._process, core))
        return registry


def _cumulative_buckets(counts: list[int]) -> list[tuple[str, float]]:
    """Return the upper bound in seconds and the cumulative count of each histogram bucket."""
    upper_bounds = [f"{bound / 1000:g}" for bound in DURATION_BOUNDS_MS] + ["+Inf"]
    cumulative = 0
    buckets: list[tuple[str, float]] = []
    for upper_bound, count in zip(upper_bounds, counts, strict=True):
        cumulative += count
        buckets.append((upper_bound, cumulative))
    return buckets
