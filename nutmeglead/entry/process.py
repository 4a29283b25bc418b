"""Run one entry VM: request path, membership and range controllers in one loop."""

import asyncio
import json
import logging
import random
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import replace

from nutmeglead._generated.peers.ttypes import (
    LoadReport,
    MapDelta,
    OrderReport,
    ServiceView,
)
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import encode
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.copies import TICKET_STATUS_PATH, TableCopies
from nutmeglead.entry.load_reports import LoadReports
from nutmeglead.entry.map_copies import MAP_PATH, MapCopies
from nutmeglead.entry.metrics import MetricsServer
from nutmeglead.entry.node_rows import NODES_TABLE, NodeRows
from nutmeglead.entry.operator_feed import OperatorFeed, PlatformFeed
from nutmeglead.entry.watch import FedTable, TableWatch
from nutmeglead.forwarding.forwarder import Forwarder
from nutmeglead.forwarding.model import ClientLimits
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.peers.membership import Membership, Peer
from nutmeglead.peers.service import PeerHandler, PeerService
from nutmeglead.platform.grants import GrantClient
from nutmeglead.platform.node_settings import NodeSettings
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.wire import READY_TARGET
from nutmeglead.ranges.context import ControllerContext
from nutmeglead.ranges.controller import RangeController
from nutmeglead.ranges.role import RoleRows

__all__ = ["EntryProcess"]

logger = logging.getLogger(__name__)

STORE_TIMEOUT_MS = 1_500
HOUSEKEEPING_MS = 250
# Waiting requests are dispatched again after others' reports no more often than this.
DISPATCH_INTERVAL_MS = 30
# After SIGTERM the balancer takes two questions, one a second, to leave a node out.
LEAVE_ROTATION_MS = 2_300
STOP_MARGIN_MS = 500
NODES_SETTLE_MS = 300


class EntryProcess(PeerHandler):
    """Connect the parts of one entry VM."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        store_fetcher: HttpFetcher | None = None,
        order_fetcher: HttpFetcher | None = None,
        make_feed: "Callable[[EntryProcess], OperatorFeed]" = PlatformFeed,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.incarnation = clock.wall_ms()
        self._rng = rng
        self.store_contact = StoreContact(clock)
        self._store_fetcher = store_fetcher or HttpFetcher(max_idle_count=6)
        self.store = StoreClient(
            settings.store.ip, settings.store.port, self._store_fetcher, STORE_TIMEOUT_MS, clock
        )
        self._order_fetcher = order_fetcher or HttpFetcher(
            max_idle_count=3, max_body_bytes=8_388_608
        )
        self.membership = Membership(
            settings.node_id, settings.failure_domain, settings.cpu_cores, clock.now_ms()
        )
        self.registry = ServerRegistry()
        self.peers = PeerService(self.membership, self.incarnation, self, clock)
        self.controllers: dict[ServiceName, RangeController] = {}
        self._dispatched_ms = 0
        self.forwarder = Forwarder(
            self.registry,
            self,
            clock,
            rng,
            settings.failure_domain,
            settings.bounds,
            self.alive_count,
            self.peers.in_flight_totals.in_flight_elsewhere,
        )
        self._loads = LoadReports(
            settings.node_id, self.controllers, self.forwarder, self.peers, clock
        )
        self._metrics = MetricsServer(self, clock)
        self.front_server = PipelineServer(self.forwarder.handle, self._limits, clock)
        self.readiness_server = PipelineServer(self._answer_ready, self._limits, clock)
        self._nodes = NodeRows(
            self.store,
            settings,
            self.incarnation,
            self.membership,
            clock,
            self.store_contact,
            self.witnesses,
            lambda: any(controller.is_acting for controller in self.controllers.values()),
        )
        self.feed = make_feed(self)
        tables = [
            *self.feed.tables(),
            FedTable(NODES_TABLE, self._nodes.apply, NODES_SETTLE_MS),
        ]
        self._copied = [self._watch(table) for table in tables]
        self._maps = MapCopies(
            settings.node_id, self.controllers, self.membership, self._order_fetcher, clock
        )
        self._copies = TableCopies(
            self._copied,
            self.membership,
            self._order_fetcher,
            clock,
            settings,
            {TICKET_STATUS_PATH: self._encoded_status, MAP_PATH: self._maps.encoded},
        )
        self._tasks: list[asyncio.Task[None]] = []
        self.is_stopping = False

    # ---- start and stop ----

    async def start(self) -> None:
        """Bind the ports and begin to follow the store and the peers."""
        await self.bind()
        self.begin()

    async def bind(self) -> None:
        """Bind the ports."""
        settings = self.settings
        await self.readiness_server.start(settings.ip, settings.ready_port)
        await self.front_server.start(settings.ip, settings.front_port)
        await self.peers.start(settings.ip, settings.peer_port)
        await self._copies.start()
        await self._metrics.start(settings.ip, settings.metrics_port)

    def begin(self) -> None:
        """Begin to follow the store and the peers."""
        self.feed.begin()
        for watch in self._copied:
            self._spawn(watch.run())
        self._spawn(self._copies.run())
        self._spawn(self._maps.run())
        self._spawn(self._nodes.run())
        self._spawn(self.peers.run())
        self._spawn(self._keep_house())

    async def stop(self) -> int:
        """Leave rotation, answer what has arrived, end; return how many answers were cut off."""
        self.is_stopping = True
        self.membership.is_leaving = True
        for controller in self.controllers.values():
            controller.is_node_stopping = True
        self.peers.send_heartbeats()
        self.front_server.begin_stop()
        await asyncio.sleep(LEAVE_ROTATION_MS / 1000)
        self.front_server.close_idle()
        grace_ms = self.settings.bounds.stop_grace_ms - LEAVE_ROTATION_MS - STOP_MARGIN_MS
        cut_off = await self.front_server.wait_closed(max(0, grace_ms))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.peers.close()
        for server in (self.readiness_server, self._copies, self._metrics):
            await server.close()
        self.forwarder.close()
        self._store_fetcher.close()
        self._order_fetcher.close()
        return cut_off

    def apply_settings(self, settings: NodeSettings) -> list[str]:
        """Take changed bounds over; return what has changed and needs a restart or took effect.

        Addresses and names hold until the next start.
        """
        changed = [
            name for name, value in vars(settings).items() if value != vars(self.settings)[name]
        ]
        self.settings = replace(self.settings, bounds=settings.bounds)
        self.forwarder.set_bounds(settings.bounds)
        return changed

    def cancel_tasks(self) -> None:
        """Cancel all tasks at once, as a kill does."""
        for task in self._tasks:
            task.cancel()
        self.peers.close()

    def _encoded_status(self, path: str) -> bytes | None:
        status = self.feed.status()
        return None if status is None else encode(status)

    def _watch(self, table: FedTable) -> TableWatch:
        return TableWatch(self.store, table, self.store_contact, self._rng, self._follows_store)

    def _follows_store(self) -> bool:
        """Tell whether this node reads the tables itself, as hubs do for the others."""
        membership, now_ms = self.membership, self.clock.now_ms()
        return membership.is_hub(now_ms) or not any(
            membership.is_alive(hub, now_ms) for hub in membership.own_hub_ids(now_ms)
        )

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(_raise_failure)
        self._tasks.append(task)

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_MS / 1000)
            self.registry.expire(self.clock.now_ms())
            self.forwarder.close_idle()
            self._loads.report()

    def _limits(self) -> CallerLimits:
        manifest = self.forwarder.manifest
        limits = manifest.limits if manifest is not None else ClientLimits()
        return CallerLimits(
            limits.head_size_bytes,
            limits.body_size_bytes,
            limits.head_timeout_ms,
            limits.idle_timeout_ms,
        )

    # ---- readiness ----

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return not self.missing_parts()

    def missing_parts(self) -> list[str]:
        """Name what keeps callers from being sent here."""
        missing = ["the process is stopping"] if self.is_stopping else []
        if self.forwarder.manifest is None:
            missing.append("no manifest is known")
        if self.feed.status() is not None:
            missing += [
                f"{name}: no range map"
                for name, controller in self.controllers.items()
                if controller.ranges is None
            ]
        return missing

    async def _answer_ready(self, exchange: CallerExchange) -> None:
        if exchange.head.target.partition(b"?")[0] != READY_TARGET:
            await exchange.respond(404, [], b"")
            return
        missing = self.missing_parts()
        body = json.dumps({"ready": not missing, "missing": missing}).encode()
        await exchange.respond(503 if missing else 200, [], body)

    # ---- the store's tables ----

    def follow_manifest(self) -> None:
        """Control the ranges of the services that the manifest in force divides by key."""
        manifest = self.forwarder.manifest
        if manifest is None:
            return
        for spec in manifest.services.values():
            if spec.has_keys and spec.takes_grants and spec.name not in self.controllers:
                self._add_controller(spec.name)

    def _add_controller(self, service: ServiceName) -> None:
        node_id = self.settings.node_id
        rows = RoleRows(self.store, service, node_id, self.incarnation)
        context = ControllerContext(
            node_id,
            self.incarnation,
            self.clock,
            self.membership,
            self.registry,
            GrantClient(self._order_fetcher),
            self.settings.bounds.max_hold_ms,
            self.store_age_ms,
            self._health_path,
            self.operator_version,
            self.peers.send_delta,
            self.peers.send_report,
            self.forwarder.set_ranges,
        )
        controller = RangeController(service, rows, context)
        self.controllers[service] = controller
        self._spawn(controller.run())

    def _health_path(self, service: ServiceName) -> str:
        return self.forwarder.services[service].spec.health_path

    # ---- peers ----

    def views(self) -> list[ServiceView]:
        """Return what this node knows of each service with keys."""
        return [controller.view() for controller in self.controllers.values()]

    def table_versions(self) -> dict[str, int]:
        """Return the version of the newest change known of each copied table."""
        return {watch.table: watch.changed_version for watch in self._copied}

    def store_age_ms(self) -> int:
        """Return the time since the store last served this node, 0 while it does."""
        return max(self.store_contact.age_ms, self.store.unanswered_ms())

    def store_age_s(self) -> float:
        """Return the time since the store last served this node, in seconds."""
        return self.store_age_ms() / 1000

    def manifest_number(self) -> int:
        """Return the version of the manifest in force, 0 for none."""
        manifest = self.forwarder.manifest
        return 0 if manifest is None else manifest.version

    def operator_version(self) -> int:
        """Return the number of the ticket or the version of the manifest in force."""
        status = self.feed.status()
        return self.manifest_number() if status is None else int(status.ticket_number)

    def alive_count(self) -> int:
        """Count the entry VMs that are heard, with this one."""
        return len(self.membership.alive_ids(self.clock.now_ms()))

    def in_flight_by_tag(self) -> Mapping[int, int]:
        """Return the requests in flight per server tag."""
        return self.forwarder.in_flight_by_tag()

    def witnesses(self) -> set[NodeId]:
        """Return the nodes that may renew grants of any service."""
        known = (controller.ranges for controller in self.controllers.values())
        return {node_id for ranges in known if ranges is not None for node_id in ranges.renewers}

    def on_heartbeat(self, peer: Peer) -> None:
        """Apply a peer's views, and place waiting requests after its new in-flight counts."""
        for controller in self.controllers.values():
            view = peer.views.get(controller.service)
            if view is not None:
                controller.apply_view(view.view)
        now_ms = self.clock.now_ms()
        if now_ms - self._dispatched_ms >= DISPATCH_INTERVAL_MS:
            self._dispatched_ms = now_ms
            self.forwarder.dispatch_waiting()

    def on_map_delta(self, delta: MapDelta) -> None:
        """Take changes of a range map."""
        controller = self.controllers.get(ServiceName(delta.changes.service_name))
        if controller is None:
            return
        try:
            controller.apply_delta(delta)
        except (ValueError, IndexError) as error:
            log_event(logger, Event.MESSAGE_REFUSED, sender=delta.node_id, error=str(error))

    def on_order_report(self, report: OrderReport) -> None:
        """Take what a node that renews has heard of its orders."""
        controller = self.controllers.get(ServiceName(report.service_name))
        if controller is not None:
            controller.apply_report(report)

    def count_key(self, service: ServiceName, key: int) -> None:
        """Count a request for a key."""
        self._loads.count_key(service, key)

    def on_load_report(self, report: LoadReport) -> None:
        """Enter the keys of a peer's requests."""
        self._loads.take(report)


def _raise_failure(task: "asyncio.Task[None]") -> None:
    """End the process when a part of it has failed; the platform starts it again."""
    if task.cancelled() or task.exception() is None:
        return
    logger.critical("a part of the process failed", exc_info=task.exception())
    raise SystemExit(70) from task.exception()
