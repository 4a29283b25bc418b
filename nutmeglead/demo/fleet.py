"""Start the platform stand-in, backend servers, controllers and routers in one process."""

import random
import socket
from copy import deepcopy
from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import (
    NodeSettings,
    PlatformSettings,
    ServiceSettings,
    Settings,
)
from nutmeglead._generated.tickets.ttypes import ServerItem, ServerState
from nutmeglead.controller.service import ControllerService
from nutmeglead.core.clock import SystemClock
from nutmeglead.routing.process import RouterProcess
from nutmeglead.standin.backend import BackendOptions, BackendStandin
from nutmeglead.standin.ledger import RunLedger
from nutmeglead.standin.platform import PlatformStandin
from nutmeglead.standin.process import entry_vm

__all__ = ["Backend", "EntryVm", "Fleet", "FleetOptions"]

IP = "127.0.0.1"
# One way between failure domains; the platform stand-in answers after a round trip.
PLATFORM_LATENCY_MS = 8


@dataclass(frozen=True)
class FleetOptions:
    """Set the size of the demo."""

    servers_per_service: dict[str, int]
    large_body_bytes: dict[str, int] = field(default_factory=dict)
    seed: int = 1


@dataclass
class Backend:
    """Hold one backend stand-in and its place."""

    service_name: str
    standin: BackendStandin
    address: Address
    failure_domain: str


@dataclass
class EntryVm:
    """Hold the two processes of one entry VM."""

    settings: Settings
    controller: ControllerService
    router: RouterProcess


class Fleet:
    """Own everything that the demo runs."""

    def __init__(self, settings: Settings, options: FleetOptions) -> None:
        self.settings = settings
        self.options = options
        self.clock = SystemClock()
        self.rng = random.Random(options.seed)
        self.ledger = RunLedger()
        self.platform = PlatformStandin(PLATFORM_LATENCY_MS)
        self.backends: dict[str, Backend] = {}
        self.vms: list[EntryVm] = []

    async def start(self) -> None:
        """Start all processes; nothing is placed before the first ticket."""
        port = await self.platform.start(IP, 0)
        address = Address(IP, port)
        self.settings.platform = PlatformSettings(address, address, address, 1000, 1000)
        for service in self.settings.services:
            await self._start_backends(service)
        vm_settings = [self._vm_settings(domain.name) for domain in self.settings.failure_domains]
        self.platform.vms.entries = [entry_vm(settings.node) for settings in vm_settings]
        for settings in vm_settings:
            controller = ControllerService(settings, self.clock, self.rng)
            router = RouterProcess(settings, self.clock, self.rng)
            self.vms.append(EntryVm(settings, controller, router))
        for vm in self.vms:
            await vm.controller.start()
        for vm in self.vms:
            await vm.router.start()

    async def stop(self) -> None:
        """Stop all processes, routers first."""
        for vm in self.vms:
            await vm.router.stop()
        for vm in self.vms:
            await vm.controller.stop()
        for backend in self.backends.values():
            await backend.standin.stop(0)
        await self.platform.stop()

    def server_items(self) -> list[ServerItem]:
        """Return the items of the first ticket."""
        return [
            ServerItem(
                service_name=backend.service_name,
                server_id=server_id,
                state=ServerState.PRESENT,
                address=backend.address,
                failure_domain=backend.failure_domain,
                weight=1.0,
            )
            for server_id, backend in self.backends.items()
        ]

    async def _start_backends(self, service: ServiceSettings) -> None:
        domains = [domain.name for domain in self.settings.failure_domains]
        for index in range(self.options.servers_per_service[service.name]):
            server_id = f"{service.name}-{index + 1:02}"
            body_bytes = self.options.large_body_bytes.get(service.name, 0)
            options = BackendOptions(server_id, large_body_bytes=body_bytes)
            standin = BackendStandin(options, service, self.ledger, self.clock, self.rng)
            port = await standin.start(IP, 0)
            domain = domains[index % len(domains)]
            self.backends[server_id] = Backend(service.name, standin, Address(IP, port), domain)

    def _vm_settings(self, domain: str) -> Settings:
        settings = deepcopy(self.settings)
        ports = _free_ports(6)
        settings.node = NodeSettings(f"entry-{domain}", IP, domain, *ports)
        return settings


def _free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for candidate in sockets:
        candidate.bind((IP, 0))
    ports = [int(candidate.getsockname()[1]) for candidate in sockets]
    for candidate in sockets:
        candidate.close()
    return ports
