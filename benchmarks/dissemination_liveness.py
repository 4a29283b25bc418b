"""Measure how long it takes until all nodes know of a stop, a restart and a cut-off domain."""

import sys
from collections.abc import Callable

from benchmarks.dissemination import DOMAINS, NODE_COUNTS, SERVICE, Propagation
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead.dissemination.tests.fake_network import FakeNode

__all__ = ["EVENTS", "main", "run_event"]

SEEDS = 3
COUNTS = NODE_COUNTS[:3]
STOPPED = "entry-0007"
LONGEST_MS = 120_000
CUT_OFF_MS = 10_000


def _alive_elsewhere(network: Propagation, node_id: str) -> int:
    """Count the nodes that hold a node for alive."""
    others = (node for other, node in network.network.nodes.items() if other != node_id)
    return sum(node_id in node.machine.membership.alive() for node in others)


def _stop(network: Propagation) -> Callable[[], bool]:
    network.network.stop(STOPPED)
    return lambda: _alive_elsewhere(network, STOPPED) == 0


def _restart(network: Propagation) -> Callable[[], bool]:
    """Start a new process at once; all must know its incarnation."""
    domain = network.network.nodes[STOPPED].machine.identity.failure_domain
    network.network.stop(STOPPED)
    node = network.network.add(STOPPED, domain, [SERVICE], incarnation="2")
    node.machine.learn_vms(network.entries, int(network.network.now_ms))

    def knows(other: FakeNode) -> bool:
        member = other.machine.membership.member(STOPPED)
        return member is None or member.incarnation == "2"

    return lambda: all(map(knows, network.network.nodes.values()))


def _heal(network: Propagation) -> Callable[[], bool]:
    """Cut one failure domain off and reconnect it; all must hold all for alive again."""
    nodes = network.network.nodes
    network.network.blocked = lambda a, b: (a.failure_domain == DOMAINS[0]) != (
        b.failure_domain == DOMAINS[0]
    )
    network.network.run(CUT_OFF_MS)
    network.network.blocked = lambda a, b: False
    full = len(nodes) - 1
    return lambda: all(len(n.machine.membership.alive()) == full for n in nodes.values())


EVENTS = {
    "one node stops": _stop,
    "one node restarts at once": _restart,
    f"a failure domain is cut off for {CUT_OFF_MS // 1000} s; time after it": _heal,
}


def run_event(seed: int, node_count: int, event: str) -> float:
    """Return virtual ms from an event until all nodes know of it."""
    network = Propagation(node_count, "domain_tree", seed)
    is_known = EVENTS[event](network)
    start_ms = network.network.now_ms
    while not is_known() and network.network.now_ms - start_ms < LONGEST_MS:
        network.network.run(250)
    return network.network.now_ms - start_ms


@BENCHMARKS.register("dissemination_liveness")
def run(options: Options) -> Report:
    """Measure each event at each size."""
    table = Table("Time until all running nodes know", ["event", "nodes", "time [ms]"])
    seeds = 1 if options.quick else SEEDS
    for event in EVENTS:
        for count in COUNTS[:1] if options.quick else COUNTS:
            times = [run_event(options.seed + offset, count, event) for offset in range(seeds)]
            table.rows.append([event, count, Spread.of(times)])
    method = [
        "Virtual time over the pure machines, with the delays and losses of the benchmark "
        f"dissemination, steps of 250 ms, {SEEDS} seeds. Heartbeats every 500 ms, silent after "
        f"1500 ms, 6 hash rings. {LONGEST_MS} ms means that it was not reached in that time."
    ]
    return Report("Time until all nodes know of a stop or a return", method, [table])


def main() -> int:
    """Run this benchmark as a trial and print its tables."""
    report = run(Options(seed=int(sys.argv[1]) if len(sys.argv) > 1 else 1, quick=True))
    print(report.tables)
    return 0


if __name__ == "__main__":
    sys.exit(main())
