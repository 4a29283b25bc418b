"""Let the addresses of servers that own keys go to servers of another service."""

import asyncio
from dataclasses import replace

from nutmeglead.core.ids import ServerId, ServiceName
from nutmeglead.emulator.cluster import ServiceOptions
from nutmeglead.entry.tests.deployment import HEARTBEAT_MS, OPTIONS, SERVICE, SPEC
from nutmeglead.entry.tests.steady_load import SteadyLoad
from nutmeglead.forwarding.model import ServerState

OTHER = ServiceOptions(ServiceName("orders"), 2, has_keys=False)
OTHER_SPEC = replace(SPEC, name=OTHER.name, has_keys=False, takes_grants=False)
REUSE_AFTER_S = 2.0
# The owners whose addresses are reused, of six.
REUSED_COUNT = 2


class ReusedAddresses(SteadyLoad):
    """Let the addresses of some owners be reused under load; `others` are the servers there.

    They refuse orders with `order_status`.
    """

    def __init__(self, seed, order_status=421):
        self.order_status = order_status
        options = replace(OPTIONS, services=(*OPTIONS.services, OTHER))
        super().__init__(seed, options, {SERVICE: SPEC, OTHER.name: OTHER_SPEC})

    def owners(self, count):
        """Return the ids of the servers with the most keys."""
        servers = self.cluster.servers.items()
        stock = [item for item in servers if item[1].record.service == SERVICE]
        key_counts = {
            server_id: sum(hold.last - hold.first + 1 for hold in server.keys.holds)
            for server_id, server in stock
        }
        return sorted(key_counts, key=key_counts.get)[-count:]

    async def reuse(self, ended):
        """Start servers of the other service at the addresses of servers that have ended."""
        self.reused_ms = self.clock.now_ms()
        self.others = [
            await self.cluster.reuse_address(server_id, ServerId(f"o-{number}"), OTHER)
            for number, server_id in enumerate(ended)
        ]
        for server in self.others:
            server.host.misdirected_order_status = self.order_status

    def arrival_span_ms(self):
        """Return for how long after the reuse requests have arrived at the other service."""
        arrivals = [arrival for server in self.others for arrival in server.host.arrivals]
        return max((at_ms - self.reused_ms for at_ms, _ in arrivals), default=0)

    def order_arrivals_ms(self):
        """Return for each order that has arrived at the other service how long after the reuse."""
        return [
            at_ms - self.reused_ms
            for server in self.others
            for at_ms in server.host.order_arrivals_ms
        ]


async def end_silently(run):
    """End the owners without any sign, and let their addresses be reused."""
    ended = run.owners(REUSED_COUNT)
    for server_id in ended:
        run.cluster.disconnect_host(run.cluster.servers[server_id].ip)
        run.cluster.servers[server_id].holder.is_up = False
    await asyncio.sleep(REUSE_AFTER_S)
    for server_id in ended:
        ip = run.cluster.servers[server_id].ip
        run.cluster.crash_server(server_id)
        run.cluster.reconnect_host(ip)
    await run.reuse(ended)


async def end_after_leaving(run):
    """Let the owners leave, and let their addresses be reused."""
    ended = run.owners(REUSED_COUNT)
    for server_id in ended:
        run.cluster.write_entry(server_id, ServerState.LEAVING)
    await asyncio.sleep(REUSE_AFTER_S)
    for server_id in ended:
        run.cluster.crash_server(server_id)
    await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
    await run.reuse(ended)
