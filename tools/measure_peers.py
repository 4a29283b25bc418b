"""Measure the datagrams and processor time of membership for hubs and other nodes.

All nodes run in one process on virtual time. Each node has heartbeats with the views of two
services and requests in flight at ten servers. Processor time is that of sending and of handling
datagrams, without sockets. Used for docs/CAPACITY.md.
"""

import argparse
import statistics
import time
from collections import defaultdict
from collections.abc import Callable

from nutmeglead._generated.peers.ttypes import NodeRow, ServiceView
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import HEARTBEAT_INTERVAL_MS
from nutmeglead.peers.service import PeerHandler, PeerService

SERVICES = ("one", "two")
BUSY_SERVERS = 10
# Intervals in which nodes choose their hubs and ask one of them for all states.
SETTLE_TICKS = 8


class ConstantHandler(PeerHandler):
    """Return constant views of two services and constant requests in flight."""

    def __init__(self, number: int) -> None:
        self._in_flight_by_tag = {(number * 7 + index) & 0xFFFF: 2 for index in range(BUSY_SERVERS)}

    def views(self) -> list[ServiceView]:
        """Return a view of each service."""
        return [ServiceView(name, 12, 3, 4, "n-0", True, 0, []) for name in SERVICES]

    def in_flight_by_tag(self) -> dict[int, int]:
        """Return two requests in flight for each of `BUSY_SERVERS` server tags."""
        return self._in_flight_by_tag


class RecordingTransport:
    """Record sent datagrams; `Fleet.tick` delivers them."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def is_closing(self) -> bool:
        """Return False; the transport is never closed."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Record a datagram and its receiver."""
        self.sent.append((data, address))


class Fleet:
    """Hold nodes that know each other's rows; count their datagrams, bytes and processor time."""

    def __init__(self, node_count: int, domain_count: int) -> None:
        self.clock = ManualClock(1_000)
        self.nodes: dict[str, PeerService] = {}
        self._transports: dict[str, RecordingTransport] = {}
        self.counts: dict[str, dict[str, float]] = {}
        rows = [
            NodeRow(f"10.0.{number}", 7, 1, f"zone-{number % domain_count}", 2.0)
            for number in range(node_count)
        ]
        for number, row in enumerate(rows):
            domain = FailureDomainName(row.failure_domain)
            membership = Membership(NodeId(row.ip), domain, 2.0, self.clock.now_ms())
            for other in rows:
                membership.set_node(NodeId(other.ip), other, self.clock.now_ms())
            service = PeerService(membership, 1, ConstantHandler(number), self.clock)
            self._transports[row.ip] = RecordingTransport()
            service.connection_made(self._transports[row.ip])
            self.nodes[row.ip] = service

    def reset_counts(self) -> None:
        """Reset the counts per node of datagrams, bytes and processor time."""
        self.counts = {name: defaultdict(float) for name in ("sent", "received", "bytes", "cpu_s")}

    def _run_timed(self, ip: str, action: Callable[..., None], *arguments: object) -> None:
        started_s = time.process_time()
        action(*arguments)
        self.counts["cpu_s"][ip] += time.process_time() - started_s

    def tick(self) -> None:
        """Send the heartbeats of all nodes, deliver them and advance the clock by an interval."""
        for ip, service in self.nodes.items():
            self._run_timed(ip, service.send_heartbeats)
        for ip, transport in self._transports.items():
            batch, transport.sent = transport.sent, []
            for data, (receiver, _) in batch:
                self.counts["sent"][ip] += 1
                self.counts["received"][receiver] += 1
                self.counts["bytes"][ip] += len(data)
                self.counts["bytes"][receiver] += len(data)
                self._run_timed(receiver, self.nodes[receiver].datagram_received, data, (ip, 7))
        self.clock.advance(HEARTBEAT_INTERVAL_MS)

    def hub_ips(self) -> set[str]:
        """Return the hubs' addresses; raise RuntimeError if a node does not see all nodes alive."""
        for service in self.nodes.values():
            alive = len(service.membership.alive_ids(self.clock.now_ms()))
            if alive != len(self.nodes):
                raise RuntimeError(f"a node sees {alive} of {len(self.nodes)} nodes alive")
        first = next(iter(self.nodes.values()))
        return {str(node_id) for node_id in first.membership.hub_ids(self.clock.now_ms())}


def measure(node_count: int, domain_count: int, ticks: int) -> None:
    """Print the mean rates per node for hubs and for other nodes."""
    fleet = Fleet(node_count, domain_count)
    fleet.reset_counts()
    for _ in range(SETTLE_TICKS):
        fleet.tick()
    fleet.reset_counts()
    for _ in range(ticks):
        fleet.tick()
    span_s = ticks * HEARTBEAT_INTERVAL_MS / 1000
    hubs = fleet.hub_ips()
    for role, ips in (("hub", hubs), ("other", set(fleet.nodes) - hubs)):
        sent, received, byte_rate, cpu_s = (
            statistics.fmean(counts[ip] for ip in ips) / span_s for counts in fleet.counts.values()
        )
        print(
            f"{node_count} nodes, {domain_count} domains, {role}: {sent:.1f} datagrams/s sent,"
            f" {received:.1f} received, {byte_rate / 1000:.1f} KB/s both ways,"
            f" {cpu_s * 1000:.1f} ms/s of processor time"
        )


def main() -> None:
    """Measure each number of nodes on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[12, 60, 240])
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--ticks", type=int, default=20)
    options = parser.parse_args()
    for node_count in options.nodes:
        measure(node_count, options.domains, options.ticks)


if __name__ == "__main__":
    main()
