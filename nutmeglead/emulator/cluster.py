"""Run the entry processes, the servers and the store of an emulated deployment, with faults."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import FailureDomainName, NodeId, ServerId, ServiceName
from nutmeglead.emulator.hosts import HOST
from nutmeglead.emulator.judge import Holder, OwnershipChecker
from nutmeglead.emulator.key_server import KeyServer
from nutmeglead.emulator.network import EmulatedLoop, Network
from nutmeglead.emulator.notice_checker import NoticeChecker
from nutmeglead.emulator.rows import RowStore
from nutmeglead.emulator.server_host import ExecutionLog, ServerHost, ServerOptions
from nutmeglead.emulator.store_host import StoreFault, StoreHost
from nutmeglead.entry.operator_feed import OperatorFeed, PlatformFeed
from nutmeglead.entry.process import EntryProcess
from nutmeglead.forwarding.model import Manifest, ServerIncarnation, ServerRecord, ServerState
from nutmeglead.platform.evacuation import evacuation_key
from nutmeglead.platform.manifest import encode_manifest
from nutmeglead.platform.node_settings import Bounds, NodeSettings, StoreSettings
from nutmeglead.platform.registry import encode_server
from nutmeglead.platform.wire import MANIFEST_KEY, MANIFEST_TABLE, SERVERS_TABLE
from nutmeglead.ranges.keys import KEY_COUNT

__all__ = ["Cluster", "ClusterOptions", "EmulatedServer", "ServiceOptions"]

STORE = StoreSettings("10.0.0.1", 80)
SERVER_PORT = 80
FRONT_PORT, READY_PORT, PEER_PORT = 8_000, 8_001, 7_000
# Step between the keys that are checked for a holder.
KEY_SAMPLE_STEP = 97


@dataclass(frozen=True)
class ServiceOptions:
    """Set the number and behaviour of a service's servers."""

    name: ServiceName
    servers: int
    server: ServerOptions = field(default_factory=ServerOptions)
    has_keys: bool = True


@dataclass(frozen=True)
class ClusterOptions:
    """Set the size of a deployment, its network delays, its bounds and its first manifest."""

    services: tuple[ServiceOptions, ...]
    manifest: Manifest
    nodes: int = 5
    failure_domains: int = 3
    # One-way delays between failure domains, and between callers and all other hosts.
    domain_delay_ms: float = 4.0
    client_delay_ms: float = 8.0
    bounds: Bounds = field(default_factory=lambda: Bounds(2_000, 6_000, 0.2, 10_000, 64, 10_000))


@dataclass
class EmulatedServer:
    """Hold the record, the emulated process and the ownership entry of a server incarnation."""

    record: ServerRecord
    host: ServerHost
    holder: Holder

    @property
    def ip(self) -> str:
        """Return the IP address of the server's host."""
        return self.record.ip

    @property
    def keys(self) -> KeyServer:
        """Return the part of the server that holds keys."""
        return self.host.keys


class Cluster:
    """Own the parts of a deployment; methods inject faults and emulate the operator."""

    def __init__(
        self,
        clock: Clock,
        seed: int,
        options: ClusterOptions,
        make_feed: Callable[[EntryProcess], OperatorFeed] = PlatformFeed,
    ) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, EmulatedLoop)
        self.clock = clock
        self.options = options
        self.rng = random.Random(seed)
        self.network: Network = loop.network
        self.network.one_way_ms = self._one_way_ms
        self.rows = RowStore(clock)
        self.store = StoreHost(self.rows, clock)
        self.ownership_checker = OwnershipChecker(clock)
        self.notice_checker = NoticeChecker(clock, options.bounds.leave_ms)
        self.executions = ExecutionLog()
        self.servers: dict[ServerId, EmulatedServer] = {}
        self.nodes: dict[NodeId, EntryProcess] = {}
        self.node_ids = [NodeId(f"entry-{number}") for number in range(options.nodes)]
        # With the platform feed, servers write their own rows and the operator writes a manifest;
        # with a ticket feed, tickets name both.
        self._uses_platform_feed = make_feed is PlatformFeed
        self._make_feed = make_feed
        self._loop = loop

    # ---- start ----

    async def start(self) -> None:
        """Start the store, the servers and the entry processes."""
        await self.run_on(STORE.ip, self.store.start(STORE.ip, STORE.port))
        if self._uses_platform_feed:
            self.put_manifest(self.options.manifest)
        for service in self.options.services:
            for _ in range(service.servers):
                await self.add_server(service)
        for node_id in self.node_ids:
            await self.start_node(node_id)

    def run_on(self, ip: str, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Return a task that runs a coroutine on the host with this IP address."""
        context = contextvars.copy_context()
        context.run(HOST.set, ip)
        return self._loop.create_task(coroutine, context=context)

    def _one_way_ms(self, sender: str, receiver: str) -> float:
        """Return the one-way delay in ms between two hosts.

        Addresses are `10.<kind>.<failure domain>.<number>`. Kind 0 is the store, 1 the entry VMs,
        2 the servers, 8 the operator and 9 the callers.
        """
        if sender == receiver:
            return 0.05
        kinds = {sender.split(".")[1], receiver.split(".")[1]}
        if "9" in kinds:
            return self.options.client_delay_ms
        if "0" in kinds:
            return 4.0
        is_same_domain = sender.split(".")[2] == receiver.split(".")[2]
        return 0.25 if is_same_domain else self.options.domain_delay_ms

    def failure_domain_number(self, number: int) -> int:
        """Return the number of the failure domain of the node or server with this number."""
        return number % self.options.failure_domains

    # ---- the operator ----

    def put_manifest(self, manifest: Manifest) -> None:
        """Write the manifest row as the operator does."""
        self.rows.put(MANIFEST_TABLE, MANIFEST_KEY, encode_manifest(manifest))

    def evacuate(self, domain: FailureDomainName, value: bytes = b"{}") -> None:
        """Evacuate a failure domain as the operator does; any value of the row will do."""
        self.rows.put(MANIFEST_TABLE, evacuation_key(domain), value)

    def end_evacuation(self, domain: FailureDomainName) -> None:
        """Remove the row that evacuates a failure domain."""
        self.rows.put(MANIFEST_TABLE, evacuation_key(domain), None)

    # ---- servers ----

    async def add_server(self, service: ServiceOptions) -> EmulatedServer:
        """Start another server of a service and return it."""
        number = len(self.servers)
        domain = self.failure_domain_number(number)
        record = ServerRecord(
            ServerIncarnation(ServerId(f"s-{number}"), self.clock.wall_ms()),
            service.name,
            f"10.2.{domain}.{number}",
            SERVER_PORT,
            FailureDomainName(f"zone-{domain}"),
            service.server.slots,
            ServerState.READY,
            0,
        )
        return await self._start_server(record, service)

    async def reuse_address(
        self, server_id: ServerId, new_id: ServerId, service: ServiceOptions
    ) -> EmulatedServer:
        """Start a server with another id at the address of a server that has ended."""
        ended = self.servers[server_id].record
        incarnation = ServerIncarnation(new_id, self.clock.wall_ms())
        record = replace(ended, incarnation=incarnation, service=service.name)
        return await self._start_server(record, service)

    async def restart_server(self, server_id: ServerId) -> EmulatedServer:
        """End a server's process and return a new incarnation of it, which holds no keys."""
        ended = self.servers[server_id]
        self.crash_server(server_id)
        # Incarnations are distinguished by the millisecond of their start.
        await asyncio.sleep(0.001)
        incarnation = ServerIncarnation(server_id, self.clock.wall_ms())
        return await self._start_server(
            replace(ended.record, incarnation=incarnation), self._service_options(ended)
        )

    def _service_options(self, server: EmulatedServer) -> ServiceOptions:
        services = self.options.services
        return next(options for options in services if options.name == server.record.service)

    async def _start_server(self, record: ServerRecord, service: ServiceOptions) -> EmulatedServer:
        on_change = partial(self.ownership_checker.on_change, service.name)
        keys = KeyServer(record.server_id, self.clock, on_change)
        rng = random.Random(self.rng.random())
        host = ServerHost(keys, service.server, self.executions, self.clock, rng)
        host.has_keys = service.has_keys
        host.notice_checker = self.notice_checker
        holder = Holder(service.name, keys)
        self.ownership_checker.holders.append(holder)
        server = EmulatedServer(record, host, holder)
        self.servers[record.server_id] = server
        await self.run_on(record.ip, host.start(record.ip, record.port))
        self.write_entry(record.server_id)
        return server

    def write_entry(self, server_id: ServerId, state: ServerState = ServerState.READY) -> None:
        """Set a server's state and, with the platform feed, write its row as the server does."""
        server = self.servers[server_id]
        server.record = replace(server.record, state=state)
        if self._uses_platform_feed:
            self.rows.put(SERVERS_TABLE, server_id, encode_server(server.record))

    def remove_entry(self, server_id: ServerId) -> None:
        """With the platform feed, remove a server's row as the store does after its silence."""
        if self._uses_platform_feed:
            self.rows.put(SERVERS_TABLE, server_id, None)

    def crash_server(self, server_id: ServerId) -> None:
        """End a server's process; its connections are reset and new ones refused."""
        server = self.servers[server_id]
        server.holder.is_up = False
        server.host.cancel_late_orders()
        self.network.close_host(server.ip)

    def disconnect_host(self, ip: str) -> None:
        """Block all traffic of a host; its processes keep running."""
        self.network.isolated.add(ip)
        for name in self._checked_names(ip):
            self.notice_checker.begin_fault(name)

    def reconnect_host(self, ip: str) -> None:
        """Allow the traffic of a disconnected host again, and transmit what was held back."""
        self.network.isolated.discard(ip)
        self.network.deliver_held()
        for name in self._checked_names(ip):
            self.notice_checker.end_fault(name)

    def _checked_names(self, ip: str) -> list[str]:
        """Return the names by which the notice checker knows the processes of a host."""
        return [ip, *(server.host.name for server in self.servers.values() if server.ip == ip)]

    def is_up(self, server_id: ServerId) -> bool:
        """Return whether a server's process runs and its host is connected."""
        server = self.servers[server_id]
        return server.holder.is_up and server.ip not in self.network.isolated

    def server_with_most_keys(self, service: ServiceName | None = None) -> ServerId:
        """Return the id of the reachable server with the most keys, of one service or of all."""
        key_counts = {
            server_id: sum(hold.last - hold.first + 1 for hold in server.keys.holds)
            for server_id, server in self.servers.items()
            if self.is_up(server_id) and service in (None, server.record.service)
        }
        return max(sorted(key_counts), key=lambda server_id: key_counts[server_id])

    def unheld_keys(self, service: ServiceName | None = None) -> int:
        """Return how many of the sampled keys no reachable server holds."""
        reachable = [
            server.keys
            for server_id, server in self.servers.items()
            if self.is_up(server_id) and service in (None, server.record.service)
        ]
        sample = range(0, KEY_COUNT, KEY_SAMPLE_STEP)
        return sum(not any(keys.holds_key(key) for keys in reachable) for key in sample)

    # ---- entry VMs ----

    def node_ip(self, node_id: NodeId) -> str:
        """Return the IP address of an entry VM."""
        number = self.node_ids.index(node_id)
        return f"10.1.{self.failure_domain_number(number)}.{number}"

    def node_settings(self, node_id: NodeId) -> NodeSettings:
        """Return the settings of an entry VM."""
        domain = FailureDomainName(
            f"zone-{self.failure_domain_number(self.node_ids.index(node_id))}"
        )
        ip = self.node_ip(node_id)
        bounds = self.options.bounds
        return NodeSettings(
            node_id, ip, domain, PEER_PORT, FRONT_PORT, READY_PORT, STORE, bounds, 1.0
        )

    async def start_node(self, node_id: NodeId) -> None:
        """Start the entry process of a node, which knows nothing of earlier notices."""
        settings = self.node_settings(node_id)
        self.notice_checker.end_fault(settings.ip)
        rng = random.Random(self.rng.random())

        async def start() -> EntryProcess:
            process = EntryProcess(settings, self.clock, rng, make_feed=self._make_feed)
            await process.start()
            return process

        self.nodes[node_id] = await self.run_on(settings.ip, start())

    def kill_node(self, node_id: NodeId) -> None:
        """End an entry process without a graceful stop, and reset its connections."""
        self.nodes.pop(node_id).cancel_tasks()
        self.network.close_host(self.node_ip(node_id))

    async def stop_node(self, node_id: NodeId) -> int:
        """Stop an entry process gracefully, as on SIGTERM; return how many requests it cut off."""
        process = self.nodes[node_id]
        cut_off = await self.run_on(self.node_ip(node_id), process.stop())
        self.nodes.pop(node_id, None)
        self.network.close_host(self.node_ip(node_id))
        return cut_off.exchanges

    def set_store_faults(self, node_ids: Sequence[NodeId], fault: StoreFault) -> None:
        """Set how the store treats the calls of some nodes."""
        for node_id in node_ids:
            self.store.faults_by_ip[self.node_ip(node_id)] = fault

    def acting(self, service: ServiceName) -> NodeId | None:
        """Return the acting node of a service, or None.

        If several nodes take themselves for acting, it is the one with the highest role epoch.
        """
        acting = [
            (process.controllers[service].role.epoch, node_id)
            for node_id, process in self.nodes.items()
            if service in process.controllers and process.controllers[service].is_acting
        ]
        return max(acting)[1] if acting else None
