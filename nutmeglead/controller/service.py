"""Run the controller process of one entry VM."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from prometheus_client import CollectorRegistry
from result import Err, Ok

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    Acknowledged,
    AssignRenewer,
    AssignReply,
    InForceReply,
    InForceRequest,
    LoadReport,
    MessageType,
    StoppedReply,
    StopRenewing,
    SuspectServer,
)
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.admin.server import AdminServer, Readiness
from nutmeglead.audit.buffer import AuditBuffer
from nutmeglead.controller.acting import ActingService
from nutmeglead.controller.decisions import EntryNode
from nutmeglead.controller.executor import RPC_TIMEOUT_MS, ExecutorParts
from nutmeglead.controller.metrics import ControllerMetrics
from nutmeglead.controller.renewals import RenewalLoop
from nutmeglead.controller.ticket_feed import TicketFeed
from nutmeglead.core.clock import Clock
from nutmeglead.core.errors import NutmegleadError
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import (
    FailureDomainName,
    Incarnation,
    NodeId,
    RoleEpoch,
    ServiceName,
    TicketNumber,
)
from nutmeglead.dissemination.members import Identity, MemberState
from nutmeglead.dissemination.service import DisseminationService
from nutmeglead.http.client import HttpFetcher
from nutmeglead.ownership.renewer import Renewer
from nutmeglead.platform.http_backend import HttpBackendControl
from nutmeglead.platform.http_objects import HttpObjectStore
from nutmeglead.platform.http_table import HttpTable
from nutmeglead.platform.http_vms import HttpVmList
from nutmeglead.rpc.client import RpcClient
from nutmeglead.rpc.server import HandlerRegistry, RpcServer

__all__ = ["ControllerService", "StaleStopOrder"]

logger = logging.getLogger(__name__)

TICKET_POLL_INTERVAL_MS = 500
METRICS_INTERVAL_MS = 1000
# A renewal that is not answered by then is useless: the next one is on its way.
BACKEND_TIMEOUT_MS = 240


class StaleStopOrder(NutmegleadError):
    """Report a stop order of a controller that has lost its role."""


class ControllerService:
    """Combine membership, renewals, the acting services and the audit trail."""

    def __init__(self, settings: Settings, clock: Clock, rng: random.Random) -> None:
        node = settings.node
        incarnation = Incarnation(f"{node.node_id}-{clock.wall_ms():x}-{rng.getrandbits(32):08x}")
        self._settings = settings
        self._clock = clock
        self.sender = Sender(node.node_id, incarnation)
        self.address = Address(node.ip, node.controller_rpc_port)
        self._fetcher = HttpFetcher()
        self._rpc = RpcClient(clock, rng)
        platform, timeout_ms = settings.platform, settings.platform.request_timeout_ms
        self._table = HttpTable(platform.table_service, timeout_ms, self._fetcher)
        objects = HttpObjectStore(platform.object_store, timeout_ms, self._fetcher)
        self._vms = HttpVmList(platform.vm_list, timeout_ms, self._fetcher)
        self._audit = AuditBuffer(objects, settings.audit, self.sender, clock)
        self._backend = HttpBackendControl(BACKEND_TIMEOUT_MS, HttpFetcher(max_idle_count=2))
        identity = Identity(
            NodeId(node.node_id),
            incarnation,
            FailureDomainName(node.failure_domain),
            self.address,
            Address(node.ip, node.router_rpc_port),
            Address(node.ip, node.router_gate_port),
        )
        names = [ServiceName(service.name) for service in settings.services]
        self.dissemination = DisseminationService(
            identity, settings.dissemination, names, self._rpc, clock, rng
        )
        self._renewer = Renewer(
            NodeId(node.node_id), incarnation, settings.ownership, clock.now_ms()
        )
        self._renewals = RenewalLoop(
            self._renewer, self._backend, self._rpc, clock, self._acting_address
        )
        self._tickets = TicketFeed(self._table)
        parts = ExecutorParts(
            self._table,
            self._backend,
            self._rpc,
            self._audit,
            clock,
            self._address_of,
            self.dissemination.publish,
        )
        self.services = {
            ServiceName(service.name): ActingService(
                service,
                settings,
                self.sender,
                parts,
                self.dissemination,
                self._tickets,
                self._entry_nodes,
            )
            for service in settings.services
        }
        self._handlers = HandlerRegistry()
        self._rpc_server = RpcServer(self._handlers)
        self._metrics = ControllerMetrics(CollectorRegistry())
        self._admin = AdminServer(self._metrics.registry, self._readiness)
        self._loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Bind the ports and begin the periodic work."""
        self._register()
        node = self._settings.node
        await self._rpc_server.start(node.ip, node.controller_rpc_port)
        await self._admin.start(node.ip, node.controller_admin_port)
        await self._read_vms()
        await self.dissemination.start()
        audit_ms = self._settings.audit.flush_interval_ms
        vm_poll_ms = self._settings.platform.vm_list_poll_interval_ms
        self._loops = [
            asyncio.ensure_future(self._renewals.run()),
            asyncio.ensure_future(self._repeat(self._poll_tickets, TICKET_POLL_INTERVAL_MS)),
            asyncio.ensure_future(self._repeat(self._read_vms, vm_poll_ms)),
            asyncio.ensure_future(self._repeat(self._flush_audit, audit_ms)),
            asyncio.ensure_future(self._repeat(self._update_metrics, METRICS_INTERVAL_MS)),
            *(asyncio.ensure_future(service.run()) for service in self.services.values()),
        ]

    async def stop(self) -> None:
        """Give up the roles, send what the audit buffer holds, and close."""
        for loop in self._loops:
            loop.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        for service in self.services.values():
            await service.close()
        await self.dissemination.stop()
        await self._audit.close()
        await self._rpc_server.close()
        await self._admin.stop()
        await self._rpc.close()
        self._fetcher.close()

    # ---- handlers ----

    def _register(self) -> None:
        self.dissemination.register(self._handlers)
        add = self._handlers.add
        add(MessageType.ASSIGN_RENEWER, AssignRenewer, self._handle_assign)
        add(MessageType.STOP_RENEWING, StopRenewing, self._handle_stop)
        add(MessageType.SUSPECT_SERVER, SuspectServer, self._handle_suspect)
        add(MessageType.LOAD_REPORT, LoadReport, self._handle_load)
        add(MessageType.IN_FORCE, InForceRequest, self._handle_in_force)

    async def _handle_assign(self, message: AssignRenewer) -> AssignReply:
        service_name, role_epoch = ServiceName(message.service_name), RoleEpoch(message.role_epoch)
        self.dissemination.learn_acting(service_name, role_epoch, message.sender.node_id)
        return self._renewer.assign(message, self._clock.now_ms())

    async def _handle_stop(self, message: StopRenewing) -> StoppedReply:
        reply = self._renewer.stop(message, self._clock.now_ms())
        if reply is None:
            raise StaleStopOrder(f"role epoch {message.role_epoch} of {message.sender.node_id}")
        return reply

    async def _handle_suspect(self, message: SuspectServer) -> Acknowledged:
        service = self.services.get(ServiceName(message.service_name))
        if service is not None:
            service.on_suspect(message)
        return Acknowledged(self.sender)

    async def _handle_load(self, message: LoadReport) -> Acknowledged:
        """Merge a report, or pass it on to the acting controller."""
        service = self.services.get(ServiceName(message.service_name))
        if service is not None and service.machine is not None:
            service.on_load(message)
        elif message.sender.node_id == f"{self.sender.node_id}/router":
            address = self._acting_address(ServiceName(message.service_name))
            if address is not None and address != self.address:
                await self._rpc.call(
                    address, MessageType.LOAD_REPORT, message, Acknowledged, RPC_TIMEOUT_MS
                )
        return Acknowledged(self.sender)

    async def _handle_in_force(self, message: InForceRequest) -> InForceReply:
        number = TicketNumber(message.ticket_number)
        acting = [service for service in self.services.values() if service.machine is not None]
        missing = [party for service in acting for party in service.missing(number)]
        names = [str(service.name) for service in acting]
        return InForceReply(self.sender, number, not missing, missing, names)

    # ---- membership ----

    def _entry_nodes(self) -> dict[NodeId, EntryNode]:
        node = self._settings.node
        own = EntryNode(
            NodeId(node.node_id),
            self.sender.incarnation,
            node.failure_domain,
            self.address,
            True,
            Address(node.ip, node.router_gate_port),
        )
        nodes = {own.node_id: own}
        for member in self.dissemination.members():
            if member.node_id == own.node_id or not member.incarnation:
                continue
            is_alive = member.state is MemberState.ALIVE
            nodes[NodeId(member.node_id)] = EntryNode(
                NodeId(member.node_id),
                member.incarnation,
                member.failure_domain,
                member.address,
                is_alive,
                member.gate_address,
            )
        return nodes

    def _address_of(self, node_id: NodeId) -> Address | None:
        if node_id == self.sender.node_id:
            return self.address
        member = self.dissemination.member(node_id)
        return member.address if member and member.incarnation else None

    def _acting_address(self, service_name: ServiceName) -> Address | None:
        acting = self.dissemination.acting(service_name)
        return self._address_of(NodeId(acting.node_id)) if acting else None

    # ---- periodic work ----

    async def _repeat(self, action: Callable[[], Awaitable[None]], interval_ms: int) -> None:
        while True:
            try:
                await action()
            except Exception:  # a fault in one round must not end the periodic work
                logger.exception("a periodic round failed")
            await asyncio.sleep(interval_ms / 1000)

    async def _poll_tickets(self) -> None:
        """Read new tickets while this node acts for any service; others need none."""
        acting = [service for service in self.services.values() if service.machine is not None]
        if acting and await self._tickets.poll():
            for service in acting:
                service.wake()

    async def _read_vms(self) -> None:
        listed = await self._vms.read()
        if isinstance(listed, Ok):
            self.dissemination.update_vms([e for e in listed.ok_value if e.role == "entry"])
            for service in self.services.values():
                service.on_vms(listed.ok_value)

    async def _flush_audit(self) -> None:
        lost = self._audit.lost
        if lost is not None:
            log_event(logger, Event.AUDIT_GAP, first=lost.first, last=lost.last)
        flushed = await self._audit.flush()
        if isinstance(flushed, Err):
            log_event(logger, Event.AUDIT_DELAYED, waiting=self._audit.waiting_count)

    async def _update_metrics(self) -> None:
        self._metrics.update(
            self.services.values(), self._audit.waiting_count, self._clock.now_ms()
        )

    def _readiness(self) -> Readiness:
        missing = []
        if self.dissemination.is_cut_off():
            missing.append("no other entry VM is heard")
        return Readiness(missing)
