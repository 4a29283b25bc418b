"""Measure what membership costs hubs and other nodes, on virtual time and in one process.

Each node has heartbeats of two services and requests in flight at ten servers. Processor time is
that of sending and of taking datagrams, without sockets. Used for docs/CAPACITY.md.
"""

import argparse
import statistics
import time
from collections import defaultdict
from collections.abc import Callable

from nutmeglead._generated.peers.ttypes import NodeRow, ServiceView
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.peers.membership import HEARTBEAT_INTERVAL_MS, Membership
from nutmeglead.peers.service import PeerHandler, PeerService

SERVICES = ("one", "two")
BUSY_SERVERS = 10
# Nodes choose their hubs and ask one of them for all states in the first intervals.
SETTLE_TICKS = 8


class Handler(PeerHandler):
    """Tell two services' views and the same work always."""

    def __init__(self, number: int) -> None:
        self._in_flight_by_tag = {(number * 7 + place) & 0xFFFF: 2 for place in range(BUSY_SERVERS)}

    def views(self) -> list[ServiceView]:
        """Return two views."""
        return [ServiceView(name, 12, 3, 4, "n-0", True, 0, []) for name in SERVICES]

    def in_flight_by_tag(self) -> dict[int, int]:
        """Return the requests in flight."""
        return self._in_flight_by_tag


class Wire:
    """Collect datagrams until the next interval."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, tuple[str, int]]] = []

    def is_closing(self) -> bool:
        """Return false."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Keep a datagram."""
        self.sent.append((data, address))


class Fleet:
    """Hold nodes that know each other's rows, and count what each sends, takes and spends."""

    def __init__(self, node_count: int, domain_count: int) -> None:
        self.clock = ManualClock(1_000)
        self.nodes: dict[str, PeerService] = {}
        self._wires: dict[str, Wire] = {}
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
            service = PeerService(membership, 1, Handler(number), self.clock)
            self._wires[row.ip] = Wire()
            service.connection_made(self._wires[row.ip])
            self.nodes[row.ip] = service

    def forget(self) -> None:
        """Begin to count anew."""
        self.counts = {name: defaultdict(float) for name in ("sent", "taken", "bytes", "spent_s")}

    def _run(self, ip: str, action: Callable[..., None], *arguments: object) -> None:
        begun = time.process_time()
        action(*arguments)
        self.counts["spent_s"][ip] += time.process_time() - begun

    def tick(self) -> None:
        """Let one heartbeat interval pass."""
        for ip, service in self.nodes.items():
            self._run(ip, service.send_heartbeats)
        for ip, wire in self._wires.items():
            batch, wire.sent = wire.sent, []
            for data, (receiver, _) in batch:
                self.counts["sent"][ip] += 1
                self.counts["taken"][receiver] += 1
                self.counts["bytes"][ip] += len(data)
                self.counts["bytes"][receiver] += len(data)
                self._run(receiver, self.nodes[receiver].datagram_received, data, (ip, 7))
        self.clock.advance(HEARTBEAT_INTERVAL_MS)

    def hub_ips(self) -> set[str]:
        """Return the hubs, once every node takes every other one for alive."""
        for service in self.nodes.values():
            alive = len(service.membership.alive_ids(self.clock.now_ms()))
            if alive != len(self.nodes):
                raise RuntimeError(f"a node takes {alive} of {len(self.nodes)} nodes for alive")
        first = next(iter(self.nodes.values()))
        return {str(node_id) for node_id in first.membership.hub_ids(self.clock.now_ms())}


def measure(node_count: int, domain_count: int, ticks: int) -> None:
    """Print a line per role."""
    fleet = Fleet(node_count, domain_count)
    fleet.forget()
    for _ in range(SETTLE_TICKS):
        fleet.tick()
    fleet.forget()
    for _ in range(ticks):
        fleet.tick()
    span_s = ticks * HEARTBEAT_INTERVAL_MS / 1000
    hubs = fleet.hub_ips()
    for role, ips in (("hub", hubs), ("other", set(fleet.nodes) - hubs)):
        sent, taken, size, spent_s = (
            statistics.fmean(counts[ip] for ip in ips) / span_s for counts in fleet.counts.values()
        )
        print(
            f"{node_count} nodes, {domain_count} domains, {role}: {sent:.1f} datagrams/s sent,"
            f" {taken:.1f} taken, {size / 1000:.1f} KB/s both ways,"
            f" {spent_s * 1000:.1f} ms/s of processor time"
        )


def main() -> None:
    """Measure the sizes that are given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, nargs="+", default=[12, 60, 240])
    parser.add_argument("--domains", type=int, default=3)
    parser.add_argument("--ticks", type=int, default=20)
    options = parser.parse_args()
    for node_count in options.nodes:
        measure(node_count, options.domains, options.ticks)


if __name__ == "__main__":
    main()
