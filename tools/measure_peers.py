"""Measure what membership costs hubs and other nodes, on virtual time and in one process.

Each node has heartbeats of two services and requests in flight at ten servers. Processor time is
that of sending and of taking datagrams, without sockets. Used for docs/CAPACITY.md.
"""

import argparse
import statistics
import time
from collections import defaultdict

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
        self._work = {(number * 7 + place) & 0xFFFF: 2 for place in range(BUSY_SERVERS)}

    def views(self) -> list[ServiceView]:
        """Return two views."""
        return [ServiceView(name, 12, 3, 4, "n-0", True, 0, []) for name in SERVICES]

    def work(self) -> dict[int, int]:
        """Return the requests in flight."""
        return self._work


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


def measure(node_count: int, domain_count: int, ticks: int) -> None:
    """Print a line per role."""
    clock = ManualClock(1_000)
    rows = {
        NodeId(f"n-{number}"): NodeRow(f"10.0.{number}", 7, 1, f"zone-{number % domain_count}", 2.0)
        for number in range(node_count)
    }
    nodes, wires = {}, {}
    for number, (node_id, row) in enumerate(rows.items()):
        membership = Membership(node_id, FailureDomainName(row.failure_domain), 2.0, 1_000)
        for other, other_row in rows.items():
            membership.set_node(other, other_row, clock.now_ms())
        service = PeerService(membership, 1, Handler(number), clock)
        wires[row.ip] = Wire()
        service.connection_made(wires[row.ip])
        nodes[row.ip] = service
    spent, sent, taken, size = (defaultdict(float) for _ in range(4))
    for tick in range(SETTLE_TICKS + ticks):
        if tick == SETTLE_TICKS:
            for counts in (spent, sent, taken, size):
                counts.clear()
        for ip, service in nodes.items():
            begun = time.process_time()
            service.send_heartbeats()
            spent[ip] += time.process_time() - begun
        for ip, wire in wires.items():
            batch, wire.sent = wire.sent, []
            for data, address in batch:
                sent[ip] += 1
                taken[address[0]] += 1
                size[ip] += len(data)
                size[address[0]] += len(data)
                begun = time.process_time()
                nodes[address[0]].datagram_received(data, (ip, 7))
                spent[address[0]] += time.process_time() - begun
        clock.advance(HEARTBEAT_INTERVAL_MS)
    span_s = ticks * HEARTBEAT_INTERVAL_MS / 1000
    for service in nodes.values():
        alive = len(service.membership.alive_ids(clock.now_ms()))
        if alive != node_count:
            raise RuntimeError(f"a node takes {alive} of {node_count} nodes for alive")
    first = nodes[rows[NodeId("n-0")].ip]
    hubs = {rows[node_id].ip for node_id in first.membership.hub_ids(clock.now_ms())}
    for role, ips in (("hub", hubs), ("other", set(nodes) - hubs)):
        figures = [
            statistics.fmean(counts[ip] for ip in ips) / span_s
            for counts in (sent, taken, size, spent)
        ]
        print(
            f"{node_count} nodes, {domain_count} domains, {role}: {figures[0]:.1f} datagrams/s sent,"
            f" {figures[1]:.1f} taken, {figures[2] / 1000:.1f} KB/s both ways,"
            f" {figures[3] * 1000:.1f} ms/s of processor time"
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
