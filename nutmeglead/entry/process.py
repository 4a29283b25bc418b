"""Run one entry VM: request path, membership and range controllers in one event loop."""

import asyncio
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
from nutmeglead.core.tasks import start_essential_task
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.copies import TICKET_STATUS_PATH, TableCopies
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.load_reports import LoadReports
from nutmeglead.entry.loop_monitor import LoopMonitor
from nutmeglead.entry.map_copies import MAP_PATH, MapCopies
from nutmeglead.entry.metrics import MetricsServer
from nutmeglead.entry.node_rows import NODES_TABLE, NodeRows
from nutmeglead.entry.operator_feed import OperatorFeed, PlatformFeed
from nutmeglead.entry.ports import PortBinder
from nutmeglead.entry.readiness import answer_readiness
from nutmeglead.entry.role_views import ROLE_PATH, RoleViews
from nutmeglead.entry.stop_schedule import StopSchedule
from nutmeglead.entry.store_era import StoreEra
from nutmeglead.entry.table_source import TableSource
from nutmeglead.entry.table_states import TableStates
from nutmeglead.entry.watch import TableWatch
from nutmeglead.forwarding.forwarder import Forwarder
from nutmeglead.forwarding.model import ClientLimits
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.held_bytes import HeldBytes
from nutmeglead.http.pipeline import CutOff, PipelineServer
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import Peer
from nutmeglead.peers.service import PeerService
from nutmeglead.platform.grants import GrantClient
from nutmeglead.platform.node_settings import NodeSettings
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.wire import REQUEST_ID_HEADER
from nutmeglead.ranges.balance import BalanceSettings
from nutmeglead.ranges.context import ControllerContext
from nutmeglead.ranges.controller import RangeController
from nutmeglead.ranges.role import RoleRows

__all__ = ["EntryProcess"]

logger = logging.getLogger(__name__)

STORE_TIMEOUT_MS = 1_500
HOUSEKEEPING_INTERVAL_MS = 250
# Heartbeats of peers trigger a dispatch of waiting requests at most once in this interval.
DISPATCH_INTERVAL_MS = 30
NODES_SETTLE_MS = 300
# The grants of all ranges of a server are renewed at once, each on a connection. With fewer idle
# ones, renewals open new connections.
ORDER_CONNECTIONS = BalanceSettings().max_ranges_per_server


class EntryProcess(TableStates):
    """Create, connect, start and stop the parts of one entry VM."""

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
        self.store_contact = StoreContact(clock)
        self._store_fetcher = store_fetcher or HttpFetcher(max_idle_count=6)
        self.store_era = StoreEra()
        self.store = StoreClient(
            settings.store.ip,
            settings.store.port,
            self._store_fetcher,
            STORE_TIMEOUT_MS,
            clock,
            self.store_era,
        )
        self._order_fetcher = order_fetcher or HttpFetcher(
            max_idle_count=ORDER_CONNECTIONS, max_body_bytes=8_388_608
        )
        self.membership = Membership(
            settings.node_id, settings.failure_domain, settings.cpu_cores, clock.now_ms()
        )
        self._table_source = TableSource(self.membership, clock)
        self.registry = ServerRegistry()
        self.peers = PeerService(self.membership, self.incarnation, self, clock)
        self.controllers: dict[ServiceName, RangeController] = {}
        self._last_dispatch_ms = 0
        self.forwarder = Forwarder(
            self.registry,
            self,
            clock,
            rng,
            settings.failure_domain,
            settings.bounds,
            self.alive_count,
            lambda: self.membership.listed_count,
            self.peers.in_flight_totals.in_flight_elsewhere,
            self._order_fetcher,
            may_move_keys=self.may_write_maps,
        )
        self._load_reports = LoadReports(
            settings.node_id, self.controllers, self.forwarder, self.registry, self.peers, clock
        )
        self._metrics = MetricsServer(self, clock)
        self._loop_monitor = LoopMonitor(clock)
        self.held_bytes = HeldBytes(settings.memory_bytes)
        self.front_server = PipelineServer(
            self.forwarder.handle, self._caller_limits, clock, self.held_bytes, settings.sockets
        )
        self.front_server.ends.identify_by(REQUEST_ID_HEADER)
        self.readiness_server = PipelineServer(
            lambda exchange: answer_readiness(exchange, self.unready_reasons()),
            self._caller_limits,
            clock,
            self.held_bytes,
        )
        self._node_rows = NodeRows(
            self.store,
            settings,
            self.incarnation,
            self.membership,
            clock,
            self.store_contact,
            self.witnesses,
            lambda: any(controller.is_acting for controller in self.controllers.values()),
        )
        self.store_era.subscribe(self._node_rows.on_new_era)
        self.feed = make_feed(self)
        tables = [
            *self.feed.tables(),
            FollowedTable(NODES_TABLE, self._node_rows.apply, NODES_SETTLE_MS),
        ]
        self._table_watches = [
            TableWatch(
                self.store,
                table,
                self.store_contact,
                clock,
                rng,
                self._table_source.follows_store,
                self._table_source.checks_calls,
                lambda: self.store_era.era,
            )
            for table in tables
        ]
        self._map_copies = MapCopies(
            settings.node_id, self.controllers, self.membership, self._order_fetcher, clock
        )
        self._role_views = RoleViews(self.controllers, self.membership, self._order_fetcher, clock)
        self._table_copies = TableCopies(
            self._table_watches,
            self.membership,
            self._table_source,
            self._order_fetcher,
            clock,
            settings,
            {
                TICKET_STATUS_PATH: self._encoded_ticket_status,
                MAP_PATH: self._map_copies.encoded_map,
                ROLE_PATH: self._role_views.encoded_view,
            },
        )
        self._tasks: list[asyncio.Task[None]] = []
        self.is_stopping = False

    # ---- start and stop ----

    async def start(self) -> None:
        """Bind the ports and start the tasks that follow the store and the peers."""
        await self.bind()
        self.begin()

    async def bind(self) -> None:
        """Bind the ports; raise OSError if another one than that of the metrics stays in use."""
        settings, binder = self.settings, PortBinder(self.settings.ip, self.clock)
        await binder.bind(self.readiness_server.start, settings.ready_port)
        await binder.bind(self.front_server.start, settings.front_port)
        await binder.bind(self.peers.start, settings.peer_port)
        await binder.bind(self._table_copies.start, settings.peer_port)
        if not await binder.try_bind(self._metrics.start, settings.metrics_port):
            self._spawn(binder.bind_optional(self._metrics.start, settings.metrics_port))

    def begin(self) -> None:
        """Start the tasks that follow the store and the peers."""
        self.feed.begin()
        for watch in self._table_watches:
            self._spawn(watch.run())
        self._spawn(self._table_copies.run())
        self._spawn(self._map_copies.run())
        self._spawn(self._node_rows.run())
        self._spawn(self.peers.run())
        self._spawn(self._loop_monitor.run())
        self._spawn(self._run_housekeeping())

    async def stop(self) -> CutOff:
        """Leave load balancing, answer accepted requests and stop all parts.

        Return what was cut off when the stop grace ended.
        """
        schedule = StopSchedule.plan(self.clock.now_ms(), self.settings.bounds.stop_grace_ms)
        self.is_stopping = self.membership.is_leaving = True
        for controller in self.controllers.values():
            controller.is_node_stopping = True
        self.peers.send_heartbeats()
        self.front_server.begin_stop()
        self.forwarder.begin_stop(schedule.last_start_ms, schedule.answers_due_ms)
        await asyncio.sleep((schedule.rotation_end_ms - self.clock.now_ms()) / 1000)
        await self.front_server.stop_listening()
        cut_off = await self.front_server.wait_closed(schedule.end_ms - self.clock.now_ms())
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.peers.close()
        for server in (self.readiness_server, self._table_copies, self._metrics):
            await server.close()
        self.forwarder.close()
        self._store_fetcher.close()
        self._order_fetcher.close()
        return cut_off

    def apply_settings(self, settings: NodeSettings) -> list[str]:
        """Put changed bounds into effect; return the names of all settings that differ.

        All other settings, such as addresses and names, take effect at the next start.
        """
        old = vars(self.settings)
        changed = [name for name, value in vars(settings).items() if value != old[name]]
        self.settings = replace(self.settings, bounds=settings.bounds)
        self.forwarder.set_bounds(settings.bounds)
        for controller in self.controllers.values():
            controller.order_sender.max_hold_ms = settings.bounds.max_hold_ms
        return changed

    def cancel_tasks(self) -> None:
        """Cancel all tasks and close the peer socket at once, to emulate a kill."""
        for task in self._tasks:
            task.cancel()
        self.peers.close()

    def _encoded_ticket_status(self, path: str) -> bytes | None:
        status = self.feed.status()
        return None if status is None else encode(status)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        self._tasks.append(start_essential_task(coroutine))

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_MS / 1000)
            self.registry.expire(self.clock.now_ms())
            self.registry.warmups.nodes.add(self.alive_count(), self.clock.now_ms())
            self.forwarder.maintain_servers()
            self._load_reports.send_reports()

    def _caller_limits(self) -> CallerLimits:
        manifest = self.forwarder.manifest
        limits = manifest.limits if manifest is not None else ClientLimits()
        return CallerLimits(**vars(limits))

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this node."""
        return not self.unready_reasons()

    def unready_reasons(self) -> list[str]:
        """Return the reasons why the load balancer should send no callers to this node."""
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

    # ---- the store's tables ----

    def start_controllers(self) -> None:
        """Start a range controller for each service with keys and grants that has none yet."""
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
            GrantClient(self._order_fetcher, self.forwarder.apply_notice),
            self.forwarder.address_checks,
            self.settings.bounds.max_hold_ms,
            self.forwarder.target_latency_ms,
            self.store_age_ms,
            self.operator_version,
            self.peers.send_delta,
            self.peers.send_report,
            self.forwarder.set_ranges,
            self._role_views.ask,
        )
        controller = RangeController(service, rows, context)
        controller.is_node_stopping = self.is_stopping
        self.controllers[service] = controller
        self._spawn(controller.run())

    # ---- peers ----

    def views(self) -> list[ServiceView]:
        """Return this node's view of each service with keys."""
        return [controller.view() for controller in self.controllers.values()]

    def max_stall_s(self) -> float:
        """Return the longest delay of a timer since the start, in seconds."""
        return self._loop_monitor.max_late_ms / 1000

    def manifest_version(self) -> int:
        """Return the version of the manifest in force, or 0 if there is none."""
        manifest = self.forwarder.manifest
        return 0 if manifest is None else manifest.version

    def operator_version(self) -> int:
        """Return the number of the followed ticket, or without tickets the manifest's version."""
        status = self.feed.status()
        return self.manifest_version() if status is None else int(status.ticket_number)

    def alive_count(self) -> int:
        """Return the number of entry VMs that are alive, this one included."""
        return self.peers.alive_count

    def in_flight_by_tag(self) -> Mapping[int, int]:
        """Return the number of this node's requests in flight per server tag."""
        return self.forwarder.in_flight_by_tag()

    def witnesses(self) -> set[NodeId]:
        """Return the nodes that may renew grants of any service."""
        maps = (controller.ranges for controller in self.controllers.values())
        return {node_id for ranges in maps if ranges is not None for node_id in ranges.renewers}

    def on_heartbeat(self, peer: Peer) -> None:
        """Apply a peer's views, and dispatch waiting requests by its new in-flight counts."""
        self.store_era.observe_peer(peer.store_era)
        for controller in self.controllers.values():
            view = peer.views.get(controller.service)
            if view is not None:
                controller.apply_view(view.view)
        now_ms = self.clock.now_ms()
        if now_ms - self._last_dispatch_ms >= DISPATCH_INTERVAL_MS:
            self._last_dispatch_ms = now_ms
            self.forwarder.dispatch_waiting()

    def on_map_delta(self, delta: MapDelta) -> None:
        """Apply changes of a range map; log those that are not valid."""
        controller = self.controllers.get(ServiceName(delta.changes.service_name))
        if controller is None:
            return
        try:
            controller.apply_delta(delta)
        except (ValueError, IndexError) as error:
            log_event(logger, Event.MESSAGE_REFUSED, sender=delta.node_id, error=str(error))

    def on_order_report(self, report: OrderReport) -> None:
        """Pass a witness's report of its orders' answers to the service's controller."""
        controller = self.controllers.get(ServiceName(report.service_name))
        if controller is not None:
            controller.apply_report(report)

    def count_key(self, service: ServiceName, key: int) -> None:
        """Add a request for a key to the next load report."""
        self._load_reports.count_key(service, key)

    def on_load_report(self, report: LoadReport) -> None:
        """Apply a peer's report of requested keys and of service times."""
        self._load_reports.apply(report)
