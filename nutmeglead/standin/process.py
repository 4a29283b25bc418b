"""Run the platform stand-in and the backend stand-ins of one process."""

import ipaddress
import random
from collections import defaultdict
from collections.abc import Sequence

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import NodeSettings, Settings
from nutmeglead._generated.tickets.ttypes import ServerItem, ServerState
from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import FailureDomainName, Incarnation
from nutmeglead.platform.ports import VmEntry, VmState
from nutmeglead.standin.backend import BackendOptions, BackendStandin
from nutmeglead.standin.ledger import RunLedger
from nutmeglead.standin.platform import PlatformService, PlatformStandin

__all__ = ["StandinProcess"]


class StandinProcess:
    """Serve the addresses of the settings' `platform` section and the backend servers.

    Only server items that are not removed and whose IP address is on loopback are served, so that
    a ticket for real servers starts nothing by mistake.
    """

    def __init__(
        self,
        settings: Settings,
        entry_vms: Sequence[NodeSettings],
        servers: Sequence[ServerItem],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._entry_vms = entry_vms
        self._servers = [item for item in servers if _is_served(item)]
        self._clock = clock
        self._rng = rng
        self.ledger = RunLedger()
        self.platforms: dict[PlatformService, PlatformStandin] = {}
        self.backends: dict[str, BackendStandin] = {}

    async def start(self) -> None:
        """Bind all ports."""
        await self._start_platform()
        for item in self._servers:
            await self._start_backend(item)
        vms = self.platforms[PlatformService.VM_LIST].vms
        vms.entries = [entry_vm(node) for node in self._entry_vms]
        vms.entries += [_backend_vm(item) for item in self._servers]

    async def stop(self) -> None:
        """Finish the requests in flight and release the ports."""
        for backend in self.backends.values():
            await backend.stop(self._settings.graceful_stop_ms)
        for platform in set(self.platforms.values()):
            await platform.stop()

    async def _start_platform(self) -> None:
        """Serve services of one address together, and others apart as the platform does."""
        platform = self._settings.platform
        places: dict[tuple[str, int], set[PlatformService]] = defaultdict(set)
        for service, address in (
            (PlatformService.TABLE, platform.table_service),
            (PlatformService.OBJECTS, platform.object_store),
            (PlatformService.VM_LIST, platform.vm_list),
        ):
            places[address.ip, address.port].add(service)
        for (ip, port), services in places.items():
            standin = PlatformStandin(services=frozenset(services))
            await standin.start(ip, port)
            self.platforms.update(dict.fromkeys(services, standin))

    async def _start_backend(self, item: ServerItem) -> None:
        services = {service.name: service for service in self._settings.services}
        service = services[item.service_name]
        options = BackendOptions(item.server_id)
        backend = BackendStandin(options, service, self.ledger, self._clock, self._rng)
        await backend.start(item.address.ip, item.address.port)
        self.backends[item.server_id] = backend


def _is_served(item: ServerItem) -> bool:
    address: Address | None = item.address
    if address is None or item.state == ServerState.REMOVED:
        return False
    return ipaddress.ip_address(address.ip).is_loopback


def entry_vm(node: NodeSettings) -> VmEntry:
    """Return the VM list's entry of an entry VM."""
    return VmEntry(
        vm_id=node.node_id,
        role="entry",
        ip=node.ip,
        port=node.controller_rpc_port,
        failure_domain=FailureDomainName(node.failure_domain),
        state=VmState.LIVE,
        incarnation=Incarnation(""),
    )


def _backend_vm(item: ServerItem) -> VmEntry:
    return VmEntry(
        vm_id=item.server_id,
        role="backend",
        ip=item.address.ip,
        port=item.address.port,
        failure_domain=FailureDomainName(item.failure_domain),
        state=VmState.LIVE,
        incarnation=Incarnation(""),
    )
