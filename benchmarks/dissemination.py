"""Measure how long a page change takes to reach all nodes, against polling of the table."""

import random
import statistics
import sys
from collections.abc import Iterator

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.messages.ttypes import MessageType, PlacementPage
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import ServiceName
from nutmeglead.dissemination.tests.fake_network import FakeNetwork
from nutmeglead.platform.ports import VmEntry, VmState

__all__ = ["Propagation", "bench_page", "main", "run_polling", "run_propagation"]

SERVICE = ServiceName("lagerblick")
NODE_COUNTS = (50, 100, 200, 300)
SEEDS = 5
CHANGES_PER_SEED = 10
CHANGE_GAP_MS = 1500
LOSS = 0.01
# One-way delays of the design page: about 4 ms between failure domains; 0.5 ms inside one is an
# assumption. Each message varies between 0.8 and 1.5 times that.
BETWEEN_DOMAINS_MS = 4.0
INSIDE_DOMAIN_MS = 0.5
DOMAINS = ("halle-a", "halle-b", "buero")
# Six pages per service and three services; the table takes about 2,000 reads/s in all, and half of
# them are left for other work.
ROWS_PER_POLL = 18
TABLE_READS_PER_S = 1000
TARGET_MS = 3000


def bench_page(version: int, number: int = 0, servers: int = 24) -> PlacementPage:
    """Return a page of 256 units; each version moves one unit."""
    owners = [position % servers for position in range(256)]
    epochs = [1] * 256
    for moved in range(1, version):
        owners[moved % 256] = (owners[moved % 256] + 1) % servers
        epochs[moved % 256] += 1
    names = [f"lb-{server:04d}" for server in range(servers)]
    return PlacementPage(SERVICE, False, number, version, 1, version, names, owners, epochs, {})


def delay_ms(source: str, target: str, rng: random.Random) -> float:
    """Return the one-way delay of one message."""
    base = INSIDE_DOMAIN_MS if source == target else BETWEEN_DOMAINS_MS
    return base * rng.uniform(0.8, 1.5)


class Propagation:
    """Run one network of pure machines in virtual time."""

    def __init__(self, node_count: int, strategy: str, seed: int) -> None:
        configured = DisseminationSettings(push_strategy=strategy)
        self.network = FakeNetwork(seed, configured, delay_ms, LOSS, count_bytes=True)
        for number in range(node_count):
            domain = DOMAINS[number % len(DOMAINS)]
            self.network.add(f"entry-{number:04d}", domain, [SERVICE])
        self.entries = [
            VmEntry(node_id, "entry", "10.0.0.1", 8083, n.machine.identity.failure_domain,
                    VmState.LIVE, "v")
            for node_id, n in self.network.nodes.items()
        ]  # fmt: skip
        for node in self.network.nodes.values():
            node.machine.learn_vms(self.entries, int(self.network.now_ms))
        self.network.publish("entry-0000", bench_page(1))
        self.network.run(8000)

    def change(self, version: int) -> tuple[float, float, float]:
        """Publish a version; return ms until the last node, mean and most bytes sent by a node."""
        nodes = self.network.nodes.values()
        before = [node.sent_bytes[MessageType.PAGE_DELTA] for node in nodes]
        start_ms = self.network.now_ms
        self.network.publish("entry-0000", bench_page(version))
        self.network.run(CHANGE_GAP_MS * 4, until=lambda: self._is_everywhere(version))
        took_ms = self.network.now_ms - start_ms
        self.network.run(CHANGE_GAP_MS)
        sent = [
            node.sent_bytes[MessageType.PAGE_DELTA] - old
            for node, old in zip(nodes, before, strict=True)
        ]
        return took_ms, statistics.mean(sent), max(sent)

    def _is_everywhere(self, version: int) -> bool:
        store_of = (node.machine.copies[SERVICE].store for node in self.network.nodes.values())
        return all(store.version((False, 0)) >= version for store in store_of)


def run_propagation(
    seed: int, node_count: int, strategy: str, seeds: int = SEEDS
) -> tuple[list[float], list[float], list[float]]:
    """Return ms until the last node, and mean and highest bytes per node, for each change."""
    figures = [
        network.change(version)
        for offset in range(seeds)
        for network in [Propagation(node_count, strategy, seed + offset)]
        for version in range(2, 2 + CHANGES_PER_SEED)
    ]
    times, means, most = zip(*figures, strict=True)
    return list(times), list(means), list(most)


def run_polling(seed: int, node_count: int) -> tuple[float, list[float], float]:
    """Return the shortest permitted interval, ms until the last node, and bytes/s per node."""
    rng = random.Random(seed)
    interval_ms = max(1000.0, node_count * ROWS_PER_POLL / TABLE_READS_PER_S * 1000)
    times = [
        max(_polled(rng, interval_ms) for _ in range(node_count))
        for _ in range(SEEDS * CHANGES_PER_SEED)
    ]
    row_bytes = len(encode(bench_page(1)))
    return interval_ms, times, ROWS_PER_POLL * row_bytes / interval_ms * 1000


def _polled(rng: random.Random, interval_ms: float) -> float:
    """Return when one node's first successful poll after the change ends."""
    wait_ms = rng.uniform(0, interval_ms)
    while rng.random() < 1 - (1 - LOSS) ** 2:
        wait_ms += interval_ms
    return wait_ms + sum(delay_ms("a", "b", rng) for _ in range(2))


def _push_rows(options: Options, counts: tuple[int, ...]) -> Iterator[list[object]]:
    seeds = 1 if options.quick else SEEDS
    for strategy in ("domain_tree", "direct"):
        for count in counts:
            times, means, most = run_propagation(options.seed, count, strategy, seeds)
            slow = sum(took > TARGET_MS for took in times)
            yield [strategy, count, Spread.of(times), slow, Spread.of(means), Spread.of(most)]


@BENCHMARKS.register("dissemination")
def run(options: Options) -> Report:
    """Measure pushes with both strategies, and polling."""
    counts = NODE_COUNTS[:1] if options.quick else NODE_COUNTS
    push = Table(
        "Pushed changes",
        ["strategy", "nodes", "until the last node [ms]", "above 3000 ms [changes]",
         "delta bytes sent per change, mean of nodes", "delta bytes sent per change, busiest node"],
        list(_push_rows(options, counts)),
    )  # fmt: skip
    poll = Table(
        "Polling of the table, 18 rows per poll",
        ["nodes", "interval that 1000 reads/s permit [ms]", "until the last node [ms]",
         "bytes received per node [B/s]"],
    )  # fmt: skip
    for count in counts:
        interval_ms, times, rate = run_polling(options.seed, count)
        poll.rows.append([count, interval_ms, Spread.of(times), rate])
    method = [
        "Virtual time over the pure machines of nutmeglead.dissemination: nodes in 3 failure "
        f"domains, one-way delay {BETWEEN_DOMAINS_MS} ms between and {INSIDE_DOMAIN_MS} ms inside "
        f"domains, times 0.8 to 1.5 at random, each message and reply lost with {LOSS:.0%}. The "
        "time that nodes take to process messages is not part of it (see dissemination_cost).",
        "",
        f"Each row: {SEEDS} seeds with {CHANGES_PER_SEED} changes of one unit of a page of 256. "
        "Polling is computed from random phases, the same delays and losses; the interval is the "
        "shortest at which all nodes together stay below half of the table's 2,000 reads/s.",
    ]
    return Report("Time until a change is in force everywhere", method, [push, poll])


def main() -> int:
    """Run this benchmark as a trial and print its tables."""
    report = run(Options(seed=int(sys.argv[1]) if len(sys.argv) > 1 else 1, quick=True))
    print(report.tables)
    return 0


if __name__ == "__main__":
    sys.exit(main())
