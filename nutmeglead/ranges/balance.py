"""Choose key ranges to move so that no server has much more work than the others."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.moves import Move, MoveReason
from nutmeglead.ranges.pins import Interval, cut_out, without_pinned

__all__ = [
    "BalanceSettings",
    "ServerLoad",
    "initial_moves",
    "plan_moves",
    "rescue_moves",
    "work_imbalance",
]


@dataclass(frozen=True)
class BalanceSettings:
    """Bound what one round of the balancer may do.

    `high_ratio` is the work per capacity, relative to the mean, above which a server gives keys
    away; `low_ratio` is the one below which it takes some.
    """

    high_ratio: float = 1.25
    low_ratio: float = 0.9
    max_moves: int = 8
    max_ranges_per_server: int = 8
    # Below this many requests per server in the window, differences are chance.
    min_hits_per_server: int = 4


@dataclass(frozen=True)
class ServerLoad:
    """Hold a server's capacity in requests/s, as far as it is known."""

    capacity: float


class _Hits:
    """Count sampled requests by key."""

    def __init__(self, keys: Sequence[int]) -> None:
        self.keys = sorted(keys)

    def count(self, first: int, last: int) -> int:
        return bisect_right(self.keys, last) - bisect_left(self.keys, first)

    def key_at(self, first: int, hit_count: int) -> int:
        """Return the key that the last of some hits from a key on falls on."""
        return self.keys[bisect_left(self.keys, first) + hit_count - 1]


def work_imbalance(
    ranges: RangeMap, servers: Mapping[ServerIncarnation, ServerLoad], hits: Sequence[int]
) -> float:
    """Return the highest work per capacity over the mean; 1 if there is no work."""
    work = _work(ranges, servers, _Hits(hits))
    total = sum(work.values())
    if not total:
        return 1.0
    mean = total / sum(load.capacity for load in servers.values())
    return max(work[incarnation] / servers[incarnation].capacity for incarnation in servers) / mean


def initial_moves(servers: Mapping[ServerIncarnation, ServerLoad]) -> list[Move]:
    """Divide all keys by capacity."""
    total = sum(load.capacity for load in servers.values())
    moves: list[Move] = []
    first, passed = 0, 0.0
    for incarnation in sorted(servers):
        passed += servers[incarnation].capacity
        end = round(KEY_COUNT * passed / total)
        if end > first:
            moves.append(Move(first, end - 1, incarnation, MoveReason.FIRST_PLACEMENT))
        first = end
    return moves


def rescue_moves(
    ranges: RangeMap,
    stranded: Mapping[KeyRange, MoveReason],
    servers: Mapping[ServerIncarnation, ServerLoad],
    hits: Sequence[int],
) -> list[Move]:
    """Give ranges whose owner is lost or leaving to the servers with the most room.

    Ranges are divided where they carry more than one server's fair share.
    """
    counted = _Hits(hits)
    work = _work(ranges, servers, counted)
    moves: list[Move] = []
    if not servers:
        return moves
    fair = len(hits) / len(servers) / 2
    for entry in sorted(stranded, key=lambda found: -counted.count(found.first, found.last)):
        for first, last in _pieces(entry, counted, fair):
            target = min(
                servers,
                key=lambda incarnation: (
                    work[incarnation] / servers[incarnation].capacity,
                    incarnation,
                ),
            )
            # A piece without hits still counts, or all such pieces go to one server.
            work[target] += counted.count(first, last) + len(hits) * (last - first) / KEY_COUNT / 8
            moves.append(Move(first, last, target, stranded[entry]))
    return moves


def plan_moves(
    ranges: RangeMap,
    servers: Mapping[ServerIncarnation, ServerLoad],
    hits: Sequence[int],
    settings: BalanceSettings,
    held: Sequence[Interval] = (),
) -> list[Move]:
    """Return moves from servers with much work to servers with little.

    Pending ranges and the keys of `held`, which have their servers from the operator, stay.
    """
    if len(servers) < 2 or len(hits) < settings.min_hits_per_server * len(servers):
        return without_pinned(_empty_server_moves(ranges, servers), held) if servers else []
    round_ = _Round(ranges, servers, _Hits(hits), settings, held)
    moves: list[Move] = []
    while len(moves) < settings.max_moves and (move := round_.next_move()) is not None:
        moves.append(move)
    return moves


class _Round:
    """Simulate moves one after another."""

    def __init__(
        self,
        ranges: RangeMap,
        servers: Mapping[ServerIncarnation, ServerLoad],
        hits: _Hits,
        settings: BalanceSettings,
        held: Sequence[Interval],
    ) -> None:
        self._servers = servers
        self._hits = hits
        self._settings = settings
        self._work = _work(ranges, servers, hits)
        self._ranges: dict[ServerIncarnation, list[tuple[int, int]]] = {
            incarnation: [] for incarnation in servers
        }
        self._range_counts = dict.fromkeys(servers, 0)
        for entry in ranges:
            if entry.owner not in self._ranges:
                continue
            self._range_counts[entry.owner] += 1
            if not entry.is_pending:
                self._ranges[entry.owner] += cut_out(entry.first, entry.last, held)
        total_capacity = sum(load.capacity for load in servers.values())
        self._mean = sum(self._work.values()) / total_capacity

    def next_move(self) -> Move | None:
        for source in sorted(self._servers, key=self._ratio, reverse=True):
            if self._ratio(source) <= self._settings.high_ratio * self._mean:
                return None
            target = self._find_target()
            if target is None:
                return None
            move = self._cut(source, target)
            if move is not None:
                return move
        return None

    def _ratio(self, incarnation: ServerIncarnation) -> float:
        return self._work[incarnation] / self._servers[incarnation].capacity

    def _find_target(self) -> ServerIncarnation | None:
        limit = self._settings.max_ranges_per_server
        open_ = [
            incarnation for incarnation in self._servers if self._range_counts[incarnation] < limit
        ]
        target = min(
            open_, key=lambda incarnation: (self._ratio(incarnation), incarnation), default=None
        )
        if target is None or self._ratio(target) >= self._settings.low_ratio * self._mean:
            return None
        return target

    def _cut(self, source: ServerIncarnation, target: ServerIncarnation) -> Move | None:
        """Move the piece of a source's range that comes closest to what both ends need."""
        surplus = (self._ratio(source) - self._mean) * self._servers[source].capacity
        room = (self._mean - self._ratio(target)) * self._servers[target].capacity
        wanted = max(1, round(min(surplus, room)))
        best: tuple[int, int, int] | None = None
        for first, last in self._ranges[source]:
            piece = _piece(self._hits, first, last, wanted)
            if piece is None:
                continue
            count = self._hits.count(*piece)
            # More than twice the room would only swap the two servers' roles.
            if 0 < count <= 2 * room and (best is None or _is_closer(count, best[2], wanted)):
                best = (*piece, count)
        if best is None:
            return None
        first, last, count = best
        self._take(source, target, first, last, count)
        return Move(first, last, target)

    def _take(
        self,
        source: ServerIncarnation,
        target: ServerIncarnation,
        first: int,
        last: int,
        count: int,
    ) -> None:
        self._work[source] -= count
        self._work[target] += count
        self._range_counts[target] += 1
        kept: list[tuple[int, int]] = []
        for start, end in self._ranges[source]:
            if last < start or end < first:
                kept.append((start, end))
                continue
            if start < first:
                kept.append((start, first - 1))
            if last < end:
                kept.append((last + 1, end))
        self._ranges[source] = kept


def _is_closer(count: int, other: int, wanted: int) -> bool:
    return abs(count - wanted) < abs(other - wanted)


def _piece(hits: _Hits, first: int, last: int, wanted: int) -> tuple[int, int] | None:
    """Return a piece at the start of a range with about the wanted hits, or the whole range."""
    count = hits.count(first, last)
    if count == 0:
        return None
    if count <= wanted:
        return first, last
    end = hits.key_at(first, wanted)
    if end >= last or hits.count(first, end) > 2 * wanted:
        # One key carries more than is wanted; what lies before it may still go.
        end = end - 1
    return (first, end) if first <= end < last else None


def _pieces(entry: KeyRange, hits: _Hits, fair: float) -> list[tuple[int, int]]:
    """Divide a range into pieces of about a fair share of the hits."""
    pieces = []
    first = entry.first
    while fair >= 1 and hits.count(first, entry.last) > 1.5 * fair:
        end = hits.key_at(first, max(1, round(fair)))
        if end >= entry.last:
            break
        pieces.append((first, end))
        first = end + 1
    pieces.append((first, entry.last))
    return pieces


def _work(
    ranges: RangeMap, servers: Mapping[ServerIncarnation, ServerLoad], hits: _Hits
) -> dict[ServerIncarnation, float]:
    work = dict.fromkeys(servers, 0.0)
    for entry in ranges:
        if entry.owner in work:
            work[entry.owner] += hits.count(entry.first, entry.last)
    return work


def _empty_server_moves(
    ranges: RangeMap, servers: Mapping[ServerIncarnation, ServerLoad]
) -> list[Move]:
    """Halve the largest ranges for servers that own nothing, when there is no load to go by."""
    owners = ranges.owners()
    moves: list[Move] = []
    settled = sorted((entry for entry in ranges if not entry.is_pending), key=lambda e: -e.size)
    for incarnation in sorted(set(servers) - owners):
        if len(moves) == len(settled) or settled[len(moves)].size < 2:
            break
        entry = settled[len(moves)]
        moves.append(Move(entry.first + entry.size // 2, entry.last, incarnation))
    return moves
