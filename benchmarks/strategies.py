"""Run the planner and the baselines on the same rounds."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from typing import Protocol

from benchmarks.zipf import Round, TraceSettings
from nutmeglead._generated.common.ttypes import Sender, UnitId, UnitKind
from nutmeglead._generated.messages.ttypes import LoadReport, UnitLoad
from nutmeglead._generated.settings.ttypes import PlacementSettings
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName
from nutmeglead.placement.baselines import Baseline
from nutmeglead.placement.hashing import bucket_of
from nutmeglead.placement.load import LoadMerger
from nutmeglead.placement.model import (
    NO_OWNER,
    Pin,
    Placement,
    PlanRequest,
    ServerInfo,
    ServerStatus,
    unit_id,
)
from nutmeglead.placement.planner import plan
from nutmeglead.placement.recent import RecentMoves

__all__ = ["BaselineStrategy", "PlannerStrategy", "Strategy", "hash_buckets"]

HALF_LIFE_MS = 5_000
MAX_PINS = 240
BUCKETS_PER_SERVER = 64


def hash_buckets(servers: int) -> int:
    """Return the power of two that gives each server at least 64 buckets."""
    return 1 << (servers * BUCKETS_PER_SERVER - 1).bit_length()


class Strategy(Protocol):
    """Decide the owner of every key, once a round."""

    name: str

    def place(self, servers: Sequence[ServerInfo], current: Round) -> list[ServerId]:
        """Return each key's owner for the round."""
        ...

    def learn(self, current: Round) -> None:
        """Take in what routers counted in the round."""
        ...


class BaselineStrategy:
    """Place keys by a hashing scheme; it is given the exact rates of the previous round."""

    def __init__(self, name: str, baseline: Baseline, uses_load: bool, names: list[str]) -> None:
        self.name = name
        self._baseline = baseline
        self._uses_load = uses_load
        self._rates = dict.fromkeys(names, 1.0)
        self._placed: dict[str, ServerId] = {}
        self._cache: dict[tuple[ServerId, ...], dict[str, ServerId]] = {}

    def place(self, servers: Sequence[ServerInfo], current: Round) -> list[ServerId]:
        """Return each key's owner for the round."""
        usable = tuple(s.server_id for s in servers if s.status is ServerStatus.PRESENT)
        if self._uses_load or usable not in self._cache:
            self._cache[usable] = self._baseline.place(usable, self._rates, self._placed)
        self._placed = self._cache[usable]
        return [self._placed[name] for name in self._rates]

    def learn(self, current: Round) -> None:
        """Keep the exact rates, which is more than a router can measure."""
        self._rates = dict(zip(self._rates, current.rates, strict=True))


class PlannerStrategy:
    """Run the planner on measured load: counts, decayed counters and the sketch of hot keys."""

    def __init__(self, policy: str, settings: TraceSettings, names: list[str]) -> None:
        self.name = f"planner, {policy}"
        self._settings = PlacementSettings(policy=policy, max_moves_per_round=64)
        self._buckets = hash_buckets(settings.servers)
        self._bucket_of = [bucket_of(name, self._buckets) for name in names]
        self._index_of = {name: index for index, name in enumerate(names)}
        self._merger = LoadMerger(self._buckets, HALF_LIFE_MS, MAX_PINS, now_ms=0)
        self._recent = RecentMoves(self._settings.round_interval_ms)
        self._placement = Placement(array("i", [NO_OWNER] * self._buckets))

    def place(self, servers: Sequence[ServerInfo], current: Round) -> list[ServerId]:
        """Return each key's owner for the round."""
        start_ms = current.now_ms - self._settings.round_interval_ms
        made = plan(
            PlanRequest(
                servers=servers,
                placement=self._placement,
                load=self._merger.snapshot(start_ms),
                settings=self._settings,
                now_ms=start_ms,
                recently_moved=self._recent.units(start_ms),
            )
        )
        self._merger.apply(made.moves, start_ms)
        self._recent.add(made.moves, start_ms)
        index: dict[ServerId | None, int] = {s.server_id: i for i, s in enumerate(servers)}
        for move in made.moves:
            if isinstance(move.unit, Pin) and move.removes_pin:
                del self._placement.pins[move.unit]
            elif isinstance(move.unit, Pin):
                self._placement.pins[move.unit] = index[move.to_server]
            else:
                self._placement.bucket_owners[move.unit] = index[move.to_server]
        owners = self._placement.bucket_owners
        pins = self._placement.pins
        ids = [server.server_id for server in servers]
        placed = [ids[owners[bucket]] for bucket in self._bucket_of]
        for pin, owner in pins.items():
            placed[self._index_of[pin.key]] = ids[owner]
        return placed

    def learn(self, current: Round) -> None:
        """Merge one report that stands for the reports of all routers."""
        seconds = self._settings.round_interval_ms / 1000.0
        buckets = [0] * self._buckets
        for bucket, count in zip(self._bucket_of, current.counts, strict=True):
            buckets[bucket] += count
        loads = []
        for pin in self._placement.pins:
            index = self._index_of[pin.key]
            count = current.counts[index]
            buckets[self._bucket_of[index]] -= count
            loads.append(UnitLoad(unit_id(pin), count / seconds))
        loads += [UnitLoad(unit_id(b), n / seconds) for b, n in enumerate(buckets) if n]
        scale = sum(current.counts) / current.sample_requests / seconds
        hot = [
            UnitLoad(UnitId(kind=UnitKind.EXACT, key=key), count * scale)
            for key, count in current.hot_counts
        ]
        report = LoadReport(
            sender=Sender("entry-1", "1"),
            service_name=ServiceName("catalogo"),
            sequence=current.number + 1,
            window_ms=self._settings.round_interval_ms,
            loads=loads,
            hot_keys=hot,
        )
        self._merger.merge(report, current.now_ms)


def make_servers(count: int) -> list[ServerInfo]:
    """Return servers of equal weight in three failure domains."""
    return [
        ServerInfo(ServerId(f"cat-{i:04d}"), FailureDomainName(f"domain-{i % 3}"))
        for i in range(count)
    ]
