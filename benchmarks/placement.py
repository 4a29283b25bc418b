"""Compare the planner's imbalance and churn with three hashing schemes on one trace."""

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from benchmarks.registry import BENCHMARKS, Options
from benchmarks.report import Report, Spread, Table
from benchmarks.strategies import BaselineStrategy, PlannerStrategy, Strategy, make_servers
from benchmarks.zipf import Change, Round, Trace, TraceSettings
from nutmeglead.core.ids import ServerId
from nutmeglead.placement.baselines import (
    BoundedLoadRing,
    HashRing,
    Rendezvous,
    StickyBoundedLoadRing,
)
from nutmeglead.placement.model import ServerInfo, ServerStatus

__all__ = ["placement"]

TARGET = 1.10
# Rounds this close after a change are counted apart: counters and budgets need some rounds.
SETTLING_ROUNDS = 6
TRACES = (
    TraceSettings(servers=24, keys=50_000, exponent=0.8),
    TraceSettings(servers=24, keys=50_000, exponent=1.0),
    TraceSettings(servers=430, keys=60_000, exponent=0.4),
    TraceSettings(servers=430, keys=60_000, exponent=0.8),
)


@dataclass
class Score:
    """Hold what one strategy did on one trace."""

    imbalances: list[float] = field(default_factory=list)
    settled: list[float] = field(default_factory=list)
    keys_moved: int = 0
    keys_forced: int = 0
    load_moved: float = 0.0

    @property
    def excess(self) -> int:
        """Return the keys moved beyond those that had to."""
        return self.keys_moved - self.keys_forced


class Run:
    """Drive one strategy through the rounds of a trace."""

    def __init__(self, strategy: Strategy, settings: TraceSettings, names: list[str]) -> None:
        self.strategy = strategy
        self.score = Score()
        self._settings = settings
        self._key_count = len(names)
        self._placed: list[ServerId] = []
        # Keys that may still move to a server that came, without counting as excess.
        self._allowance: Counter[ServerId] = Counter()

    def step(self, servers: Sequence[ServerInfo], current: Round, settled: bool) -> None:
        """Place the keys, rate the placement on the round's true load, then learn from it."""
        placed = self.strategy.place(servers, current)
        if current.number >= self._settings.warm_up_rounds:
            self._rate(servers, placed, current, settled)
            self._count_moves(servers, placed, current)
        self._placed = placed
        self.strategy.learn(current)

    def allow(self, server_id: ServerId, servers: int) -> None:
        """Let a server that came take its share of the keys."""
        self._allowance[server_id] = self._key_count // servers

    def _rate(
        self,
        servers: Sequence[ServerInfo],
        placed: Sequence[ServerId],
        current: Round,
        settled: bool,
    ) -> None:
        loads = {s.server_id: 0.0 for s in servers if s.status is ServerStatus.PRESENT}
        for owner, rate in zip(placed, current.rates, strict=True):
            loads[owner] += rate
        mean = sum(loads.values()) / len(loads)
        imbalance = max(loads.values()) / mean
        self.score.imbalances.append(imbalance)
        if settled:
            self.score.settled.append(imbalance)

    def _count_moves(
        self, servers: Sequence[ServerInfo], placed: Sequence[ServerId], current: Round
    ) -> None:
        unusable = {s.server_id for s in servers if s.status is not ServerStatus.PRESENT}
        for before, after, rate in zip(self._placed, placed, current.rates, strict=True):
            if before == after:
                continue
            self.score.keys_moved += 1
            self.score.load_moved += rate
            if before in unusable:
                self.score.keys_forced += 1
            elif self._allowance[after] > 0:
                self._allowance[after] -= 1
                self.score.keys_forced += 1


class Fleet:
    """Change the servers as the trace says."""

    def __init__(self, count: int) -> None:
        self.servers = make_servers(count)

    def apply(self, change: Change, now_ms: int) -> ServerId | None:
        """Apply a change; return the server that came, if one did."""
        lost, leaving = 1, 2
        if change is Change.LOST:
            self.servers[lost] = replace(self.servers[lost], status=ServerStatus.LOST)
        elif change is Change.LEAVING:
            self.servers[leaving] = replace(self.servers[leaving], status=ServerStatus.LEAVING)
        elif change is Change.RETURNED:
            present = ServerStatus.PRESENT
            server = replace(self.servers[lost], status=present, present_since_ms=now_ms)
            self.servers[lost] = server
            return server.server_id
        elif change is Change.JOINED:
            server = make_servers(len(self.servers) + 1)[-1]
            self.servers.append(replace(server, present_since_ms=now_ms))
            return server.server_id
        return None


def _strategies(settings: TraceSettings, names: list[str], seed: int) -> list[Strategy]:
    return [
        PlannerStrategy("balanced", settings, names, random.Random(seed)),
        PlannerStrategy("steady", settings, names, random.Random(seed)),
        BaselineStrategy("hash ring, 100 virtual nodes", HashRing(), False, names),
        BaselineStrategy("rendezvous", Rendezvous(), False, names),
        BaselineStrategy("bounded-load ring, 1.1", BoundedLoadRing(), True, names),
        BaselineStrategy("bounded-load ring, 1.1, sticky", StickyBoundedLoadRing(), True, names),
    ]


def run_trace(settings: TraceSettings, seed: int) -> dict[str, Score]:
    """Run all strategies side by side on one trace."""
    trace = Trace(settings, seed)
    fleet = Fleet(settings.servers)
    runs = [Run(s, settings, trace.names) for s in _strategies(settings, trace.names, seed)]
    last_change = -SETTLING_ROUNDS
    for current in trace.rounds():
        for change in current.changes:
            last_change = current.number
            came = fleet.apply(change, current.now_ms - settings.round_ms)
            if came is not None:
                for run in runs:
                    run.allow(came, len(fleet.servers))
        settled = current.number - last_change >= SETTLING_ROUNDS
        for run in runs:
            run.step(tuple(fleet.servers), current, settled)
    return {run.strategy.name: run.score for run in runs}


def _percentile(values: Sequence[float], part: float) -> float:
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def _row(name: str, scores: Sequence[Score], total_rate: float) -> list[str | Spread]:
    within = [sum(i <= TARGET for i in s.settled) / len(s.settled) for s in scores]
    return [
        name,
        Spread.of([_percentile(s.settled, 0.5) for s in scores]),
        Spread.of([max(s.settled) for s in scores]),
        Spread.of([part * 100 for part in within]),
        Spread.of([max(s.imbalances) for s in scores]),
        Spread.of([float(s.keys_moved) for s in scores]),
        Spread.of([float(s.excess) for s in scores]),
        Spread.of([100 * s.load_moved / total_rate for s in scores]),
    ]


COLUMNS = (
    "strategy",
    "settled imbalance, median round",
    "settled imbalance, worst round",
    "settled rounds within 1.10, %",
    "imbalance, worst of all rounds",
    "keys moved",
    "keys moved in excess",
    "load moved, % of total",
)


@BENCHMARKS.register("placement")
def placement(options: Options) -> Report:
    """Run every trace with several seeds."""
    seeds = [options.seed + i for i in range(1 if options.quick else 3)]
    report = Report("Placement: imbalance and churn", METHOD)
    for settings in TRACES[:1] if options.quick else TRACES:
        trace = Trace(settings, options.seed)
        results = [run_trace(settings, seed) for seed in seeds]
        share = settings.servers * max(trace.top_rate, 0.0) / trace.total_rate
        table = Table(_title(settings, share), COLUMNS)
        for name in results[0]:
            scores = [result[name] for result in results]
            table.rows.append(_row(name, scores, trace.total_rate))
        report.tables.append(table)
    return report


def _title(settings: TraceSettings, share: float) -> str:
    return (
        f"{settings.servers} servers, {settings.keys} keys, Zipf exponent {settings.exponent}, "
        f"hottest key {share:.2f} of a server's even share"
    )


METHOD = ()
