"""Measure how a node that missed changes catches up: delta log, whole pages or tree."""

import random
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from xxhash import xxh3_128_digest

from benchmarks.dissemination import SERVICE
from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import PageDelta, PlacementPage
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.codec import decode, encode
from nutmeglead.dissemination.deltas import apply_delta, make_delta
from nutmeglead.dissemination.machine import DisseminationMachine
from nutmeglead.dissemination.members import Identity
from nutmeglead.dissemination.pages import encode_page
from nutmeglead.dissemination.sends import Send

__all__ = ["Cost", "main", "run_log", "run_pages", "run_tree"]

# 64 buckets for each of 6,500 servers round up to 2**19 buckets, 2,048 pages of 256.
PAGES = 2048
UNITS = 256
SERVERS = 6500
SERVERS_PER_PAGE = 64
MISSED = (10, 1_000, 100_000)
SEEDS = 5
# Both ways between two failure domains.
ROUND_TRIP_MS = 8.0
SENDER = Sender("entry-0001", "1700000000000-1")
ADDRESS = Address("10.0.0.1", 8083)
# The tree: leaves of 16 units, inner nodes of 16 children. A node is named by a hash of 16 bytes,
# because equal names must mean equal content.
LEAF_UNITS = 16
FANOUT = 16


@dataclass
class Cost:
    """Hold what one catch-up took: bytes both ways, round trips and processor time."""

    size_bytes: int = 0
    round_trips: int = 0
    spent_ms: float = 0.0
    kept_bytes: int = 0


@dataclass
class History:
    """Hold the pages before and after the missed changes, and the deltas between."""

    old: list[PlacementPage]
    new: list[PlacementPage]
    deltas: list[bytes] = field(default_factory=list)


def _page(number: int, rng: random.Random) -> PlacementPage:
    names = [f"lb-{server:04d}" for server in rng.sample(range(SERVERS), SERVERS_PER_PAGE)]
    owners = [rng.randrange(SERVERS_PER_PAGE) for _ in range(UNITS)]
    return PlacementPage(SERVICE, False, number, 1, 1, 1, names, owners, [1] * UNITS, {})


def _move(page: PlacementPage, rng: random.Random) -> PlacementPage:
    """Give one unit another owner of the same page."""
    position = rng.randrange(UNITS)
    owners, epochs = list(page.owners), list(page.epochs)
    owners[position] = rng.randrange(SERVERS_PER_PAGE)
    epochs[position] += 1
    version = page.version + 1
    return PlacementPage(
        SERVICE, False, page.page_number, version, 1, version, page.servers, owners, epochs, {}
    )


def make_history(seed: int, missed: int, pages: int = PAGES) -> History:
    """Return a history of single moves on random pages."""
    rng = random.Random(seed)
    old = [_page(number, rng) for number in range(pages)]
    history = History(old, list(old))
    for _ in range(missed):
        number = rng.randrange(pages)
        before = history.new[number]
        after = history.new[number] = _move(before, rng)
        history.deltas.append(encode(make_delta(before, after, SENDER, 0)))
    return history


def run_log(history: History) -> Cost:
    """Replay every delta in order, in messages of 64 kB, with full checks of each result."""
    cost = Cost(sum(map(len, history.deltas)), 1, 0.0, sum(map(len, history.deltas)))
    pages: dict[int, PlacementPage] = {page.page_number: page for page in history.old}
    started = time.process_time()
    for data in history.deltas:
        delta = decode(PageDelta, data).unwrap()
        page = apply_delta(pages[delta.page_number], delta).unwrap()
        assert page is not None
        pages[delta.page_number] = page
    cost.spent_ms = (time.process_time() - started) * 1000
    assert [page.version for page in pages.values()] == [page.version for page in history.new]
    return cost


def _machine(pages: Sequence[PlacementPage], node_id: str) -> DisseminationMachine:
    identity = Identity(node_id, "1700000000000-1", "halle-a", ADDRESS)
    machine = DisseminationMachine(
        identity, DisseminationSettings(), [SERVICE], random.Random(1), 0
    )
    for page in pages:
        machine.copies[SERVICE].store.put(page)
    return machine


def run_pages(history: History) -> Cost:
    """Run the product's repair: compare versions, fetch whole pages 64 at a time."""
    behind, ahead = _machine(history.old, "entry-0002"), _machine(history.new, "entry-0001")
    cost = Cost()
    started = time.process_time()
    sends: list[Send] = [behind._repairer.compare(SERVICE, "entry-0001", ADDRESS, 0)]
    while sends:
        send = sends.pop()
        request = encode(send.message)
        message = decode(type(send.message), request).unwrap()
        handle = ahead.handle_digest if hasattr(message, "digest") else ahead.handle_pages
        reply = encode(handle(message, 0))
        sends += behind.settle(send, decode(send.reply_struct, reply).unwrap(), 0)
        cost.size_bytes += len(request) + len(reply)
        cost.round_trips += 1
    cost.spent_ms = (time.process_time() - started) * 1000
    assert behind.copies[SERVICE].store.digest == ahead.copies[SERVICE].store.digest
    return cost


class Tree:
    """Hold pages as content-addressed nodes; equal parts of two versions are the same node."""

    def __init__(self, pages: Sequence[PlacementPage]) -> None:
        self.nodes: dict[bytes, bytes] = {}
        level = [self._put(leaf) for page in pages for leaf in _leaves(page)]
        self.depth = 1
        while len(level) > 1:
            level = [
                self._put(b"".join(level[first : first + FANOUT]))
                for first in range(0, len(level), FANOUT)
            ]
            self.depth += 1
        self.root = level[0]

    def _put(self, content: bytes) -> bytes:
        name: bytes = xxh3_128_digest(content)
        self.nodes[name] = content
        return name


def _leaves(page: PlacementPage) -> Iterator[bytes]:
    """Yield a page's leaves; each has the names of its own servers, so that it stands alone."""
    for first in range(0, UNITS, LEAF_UNITS):
        part = slice(first, first + LEAF_UNITS)
        used = [page.servers[owner] for owner in page.owners[part]]
        names = list(dict.fromkeys(used))
        leaf = PlacementPage(
            SERVICE, False, page.page_number * UNITS + first, 1, 1, 1, names,
            [names.index(server) for server in used], page.epochs[part], {},
        )  # fmt: skip
        yield encode_page(leaf)


def run_tree(history: History) -> Cost:
    """Fetch level by level the nodes of the new tree that the old one lacks."""
    behind, ahead = Tree(history.old), Tree(history.new)
    cost = Cost(kept_bytes=sum(len(name) + len(data) for name, data in behind.nodes.items()))
    started = time.process_time()
    wanted, level = [ahead.root], behind.depth
    while wanted:
        level -= 1
        missing = [name for name in wanted if name not in behind.nodes]
        if not missing:
            break
        cost.round_trips += 1
        received = [ahead.nodes[name] for name in missing]
        cost.size_bytes += sum(len(name) for name in missing) + sum(map(len, received))
        wanted = []
        for name, content in zip(missing, received, strict=True):
            assert xxh3_128_digest(content) == name
            behind.nodes[name] = content
            if level > 0:
                wanted += [content[at : at + 16] for at in range(0, len(content), 16)]
            else:
                decode(PlacementPage, content).unwrap()
    cost.spent_ms = (time.process_time() - started) * 1000
    return cost


WAYS = {"delta log": run_log, "whole pages (in use)": run_pages, "tree": run_tree}


def _rows(options: Options) -> Iterator[list[object]]:
    seeds = 1 if options.quick else SEEDS
    for missed in MISSED[:2] if options.quick else MISSED:
        histories = [make_history(options.seed + offset, missed) for offset in range(seeds)]
        for name, way in WAYS.items():
            costs = [way(history) for history in histories]
            total_ms = [cost.spent_ms + cost.round_trips * ROUND_TRIP_MS for cost in costs]
            yield [
                missed,
                name,
                Spread.of([cost.size_bytes for cost in costs]),
                Spread.of([cost.round_trips for cost in costs]),
                Spread.of([cost.spent_ms for cost in costs]),
                Spread.of(total_ms),
            ]


def _single_rows(seed: int) -> Iterator[list[object]]:
    """Yield the bytes of one new change for a node that is up to date."""
    history = make_history(seed, 1)
    changed = next(page for page in history.new if page.version > 1)
    behind, ahead = Tree(history.old), Tree(history.new)
    fresh = [data for name, data in ahead.nodes.items() if name not in behind.nodes]
    yield ["delta", len(history.deltas[0])]
    yield ["whole page", len(encode_page(changed))]
    yield ["new nodes of the tree, pushed without asking", sum(map(len, fresh))]


def _kept_rows(seed: int) -> Iterator[list[object]]:
    history = make_history(seed, 1000)
    yield ["delta log of 1,000 changes", sum(map(len, history.deltas))]
    yield ["encoded pages (in use)", sum(len(encode_page(page)) for page in history.old)]
    yield ["tree", run_tree(history).kept_bytes]


@BENCHMARKS.register("dissemination_catchup")
def run(options: Options) -> Report:
    """Compare three ways to catch up, and what each needs for one change."""
    catch_up = Table(
        "Catch-up of one node over 2,048 pages",
        ["missed changes", "way", "bytes both ways", "round trips", "processor time [ms]",
         "with round trips of 8 ms [ms]"],
        list(_rows(options)),
    )  # fmt: skip
    single = Table("One new change", ["what is sent", "bytes"], list(_single_rows(options.seed)))
    kept = Table("What a node keeps", ["what", "bytes"], list(_kept_rows(options.seed)))
    method = [
        f"One service of {PAGES * UNITS} buckets on {PAGES} pages, {SERVERS_PER_PAGE} of {SERVERS} "
        "servers per page. Each change moves one unit of a random page. "
        f"{SEEDS} seeds; processor time is that of both sides for whole pages, of the receiving "
        "side for the log and the tree. Messages pass the codec, not sockets.",
        "",
        "The log replays every delta. Whole pages is the product's repair: version list, then 64 "
        f"pages per message. The tree has leaves of {LEAF_UNITS} units, inner nodes of {FANOUT} "
        "names of 16 bytes, and is fetched level by level; it is a prototype of this benchmark.",
    ]
    return Report("Catch-up: delta log, whole pages or tree", method, [catch_up, single, kept])


def main() -> int:
    """Run this benchmark as a trial and print its tables."""
    report = run(Options(seed=int(sys.argv[1]) if len(sys.argv) > 1 else 1, quick=True))
    print(report.tables)
    return 0


if __name__ == "__main__":
    sys.exit(main())
