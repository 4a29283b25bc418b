"""Run the router process of one entry VM."""

import asyncio
import contextlib
import logging
import random

from prometheus_client import CollectorRegistry

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import (
    Acknowledged,
    LendReply,
    LendSlots,
    MessageType,
)
from nutmeglead._generated.settings.ttypes import Settings
from nutmeglead.admin.server import AdminServer, Readiness
from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import FailureDomainName, Incarnation, NodeId, ServiceName
from nutmeglead.dissemination.feeder import Feeder
from nutmeglead.dissemination.members import Identity, MemberState
from nutmeglead.dissemination.service import DisseminationService
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.server import HttpServer
from nutmeglead.platform.http_vms import HttpVmList
from nutmeglead.routing.gate import GateService
from nutmeglead.routing.load_reports import LoadReporter, RequestMetrics
from nutmeglead.routing.map_view import MapView
from nutmeglead.routing.router import RouterService
from nutmeglead.routing.router_peers import RpcRouterPeers
from nutmeglead.routing.timers import LoopTimers
from nutmeglead.rpc.client import RpcClient
from nutmeglead.rpc.server import HandlerRegistry, RpcServer

__all__ = ["RouterProcess"]

logger = logging.getLogger(__name__)

LOAD_REPORT_INTERVAL_MS = 2000
RPC_TIMEOUT_MS = 250


class RouterProcess:
    """Connect the request path with the disseminated map, metrics and the admin port."""

    def __init__(self, settings: Settings, clock: Clock, rng: random.Random) -> None:
        node = settings.node
        incarnation = Incarnation(f"{node.node_id}-{clock.wall_ms():x}-{rng.getrandbits(32):08x}")
        self._settings = settings
        self._clock = clock
        self._rpc = RpcClient(clock, rng)
        self._fetcher = HttpFetcher()
        identity = Identity(
            NodeId(_router_id(node.node_id)),
            incarnation,
            FailureDomainName(node.failure_domain),
            Address(node.ip, node.router_rpc_port),
        )
        self._sender = identity.sender
        self._controller = Address(node.ip, node.controller_rpc_port)
        platform = settings.platform
        vms = HttpVmList(platform.vm_list, platform.request_timeout_ms, self._fetcher)
        self.dissemination = DisseminationService(
            identity,
            settings.dissemination,
            [ServiceName(service.name) for service in settings.services],
            self._rpc,
            clock,
            rng,
            Feeder(node.node_id, self._controller),
            vms,
            platform.vm_list_poll_interval_ms,
        )
        self.map_view = MapView(settings.services, self._count_routers)
        self.dissemination.subscribe(self.map_view.apply)
        metrics = RequestMetrics(CollectorRegistry())
        self._reporter = LoadReporter(settings.services, metrics, rng, clock.now_ms())
        timers = LoopTimers(clock)
        self.router = RouterService(
            settings,
            self.map_view,
            self.map_view,
            timers,
            rng,
            observer=self._reporter,
            peers=RpcRouterPeers(self._sender, self._routers, self._rpc),
        )
        self.dissemination.subscribe_routers(self.router.refresh_routers)
        self._http = HttpServer(self.router.handle)
        services = {service.name: service for service in settings.services}
        self.gate = GateService(services, self.map_view.server_address, timers, rng)
        self._gate_http = HttpServer(self.gate.handle)
        self._handlers = HandlerRegistry()
        self._rpc_server = RpcServer(self._handlers)
        self._admin = AdminServer(metrics.registry, self._readiness)
        self._loop: asyncio.Task[None] | None = None
        self.cut_off_count = 0
        self.is_stopping = False

    async def start(self) -> None:
        """Bind the ports; the balancer sends requests once /readyz answers 200."""
        node = self._settings.node
        self.dissemination.register(self._handlers)
        self._handlers.add(MessageType.LEND_SLOTS, LendSlots, self._lend)
        await self._rpc_server.start(node.ip, node.router_rpc_port)
        await self._admin.start(node.ip, node.router_admin_port)
        await self.dissemination.start()
        await self._gate_http.start(node.ip, node.router_gate_port)
        await self._http.start(node.ip, node.router_port)
        self._loop = asyncio.ensure_future(self._report_load())

    async def stop(self) -> None:
        """Answer the requests that have arrived, then close everything."""
        if self.is_stopping:
            return
        self.is_stopping = True
        self.router.begin_stop()
        self.cut_off_count = await self._http.stop(self._settings.graceful_stop_ms)
        if self._loop is not None:
            self._loop.cancel()
        self.router.close()
        await self._stop_gate()
        self.gate.close()
        await self.dissemination.stop()
        await self._rpc_server.close()
        await self._admin.stop()
        await self._rpc.close()
        self._fetcher.close()

    async def _stop_gate(self) -> None:
        """Let go of the servers behind this gate, so that the next gate waits for no lapse."""
        self.gate.begin_stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.graceful_stop_ms / 1000):
                while not self.gate.has_let_go():
                    await asyncio.sleep(0.02)
        await self._gate_http.stop(0)

    async def _lend(self, message: LendSlots) -> LendReply:
        return self.router.lend(message)

    def _count_routers(self) -> int:
        return len({self._sender.node_id, *self._routers()})

    def _routers(self) -> dict[str, Address | None]:
        """Map the routers' node ids to their rpc addresses.

        Only controllers hear of each other's state, so the list comes from the one that feeds this
        router. Before its first answer, the VMs of the VM list count, without addresses.
        """
        told = self.dissemination.routers()
        if told:
            return {_router_id(entry.vm_id): entry.rpc_address for entry in told}
        members = self.dissemination.members()
        return {_router_id(m.node_id): None for m in members if m.state is not MemberState.GONE}

    def _readiness(self) -> Readiness:
        missing = []
        if self.is_stopping:
            # The balancer would else send new requests to a port that is closed already.
            missing.append("the router is stopping")
        if not self.map_view.is_complete():
            missing.append("the unit map is not complete")
        if self.dissemination.is_cut_off():
            missing.append("no controller is heard")
        return Readiness(missing)

    async def _report_load(self) -> None:
        """Send the counted load to the controller on this VM, which passes it on."""
        while True:
            await asyncio.sleep(LOAD_REPORT_INTERVAL_MS / 1000)
            for report in self._reporter.reports(self._sender, self._clock.now_ms()):
                await self._rpc.call(
                    self._controller,
                    MessageType.LOAD_REPORT,
                    report,
                    Acknowledged,
                    RPC_TIMEOUT_MS,
                )


def _router_id(vm_id: str) -> str:
    return f"{vm_id}/router"
