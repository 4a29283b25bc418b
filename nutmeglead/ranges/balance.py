"""Choose key ranges to move so that no server has much more work for its capacity than others.

The work of a server is the number of hits, that is of sampled recent requests, on its keys.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.moves import Move, MoveReason
from nutmeglead.ranges.pins import Interval, subtract_intervals, without_pinned

__all__ = [
    "BalanceSettings",
    "ServerCapacity",
    "initial_moves",
    "plan_moves",
    "reassignment_moves",
    "work_imbalance",
]


@dataclass(frozen=True)
class BalanceSettings:
    """Bound the moves of one round of the balancer.

    A server whose work per capacity, relative to the mean, is above `high_ratio` gives keys away;
    one below `low_ratio` takes some. Its work must also exceed what its capacity calls for by
    `min_deviations` standard deviations of a count of random requests.
    """

    high_ratio: float = 1.25
    min_deviations: float = 3.0
    low_ratio: float = 0.9
    max_moves: int = 8
    max_ranges_per_server: int = 8
    # With fewer sampled requests per server, differences between servers are random.
    min_hits_per_server: int = 4
    # A server that wants keys and whose work per capacity, relative to the mean, is below this gets
    # one piece in each round.
    fill_ratio: float = 0.5


@dataclass(frozen=True)
class ServerCapacity:
    """Hold a server's estimated capacity in requests/s.

    A server that is limited, since it is warming up, gets few keys, and by the balancer only.
    One that wants keys gets a share of them also while no other server has too much work.
    """

    capacity: float
    is_limited: bool = False
    wants_keys: bool = False


class _Hits:
    """Count the sampled requests, or hits, on intervals of keys."""

    def __init__(self, keys: Sequence[int]) -> None:
        self.keys = sorted(keys)

    def count(self, first: int, last: int) -> int:
        return bisect_right(self.keys, last) - bisect_left(self.keys, first)

    def key_at(self, first: int, hit_count: int) -> int:
        """Return the key of the last of `hit_count` hits, counted from `first` upwards."""
        return self.keys[bisect_left(self.keys, first) + hit_count - 1]


def work_imbalance(
    ranges: RangeMap, servers: Mapping[ServerIncarnation, ServerCapacity], hits: Sequence[int]
) -> float:
    """Return the highest work per capacity, relative to the mean; 1 if there is no work."""
    work = _hits_by_owner(ranges, servers, _Hits(hits))
    total = sum(work.values())
    if not total:
        return 1.0
    mean = total / sum(server.capacity for server in servers.values())
    return max(work[incarnation] / servers[incarnation].capacity for incarnation in servers) / mean


def initial_moves(servers: Mapping[ServerIncarnation, ServerCapacity]) -> list[Move]:
    """Return the moves of the first map: each server gets keys in proportion to its capacity."""
    total = sum(server.capacity for server in servers.values())
    moves: list[Move] = []
    first, capacity_so_far = 0, 0.0
    for incarnation in sorted(servers):
        capacity_so_far += servers[incarnation].capacity
        end = round(KEY_COUNT * capacity_so_far / total)
        if end > first:
            moves.append(Move(first, end - 1, incarnation, MoveReason.FIRST_PLACEMENT))
        first = end
    return moves


def reassignment_moves(
    ranges: RangeMap,
    orphaned: Mapping[KeyRange, MoveReason],
    servers: Mapping[ServerIncarnation, ServerCapacity],
    hits: Sequence[int],
) -> list[Move]:
    """Return the moves that give ranges without a usable owner to the least loaded servers.

    `orphaned` maps these ranges to the reasons of their moves. A range with many hits is divided
    into pieces of about half the mean hits per server.
    """
    counted = _Hits(hits)
    work = _hits_by_owner(ranges, servers, counted)
    moves: list[Move] = []
    if not servers:
        return moves
    servers = {key: server for key, server in servers.items() if not server.is_limited} or servers
    target_hits = len(hits) / len(servers) / 2
    for entry in sorted(orphaned, key=lambda found: -counted.count(found.first, found.last)):
        for first, last in _split_by_hits(entry, counted, target_hits):
            target = min(
                servers,
                key=lambda incarnation: (
                    work[incarnation] / servers[incarnation].capacity,
                    incarnation,
                ),
            )
            # The share of all keys counts too, or all pieces without hits would go to one server.
            work[target] += counted.count(first, last) + len(hits) * (last - first) / KEY_COUNT / 8
            moves.append(Move(first, last, target, orphaned[entry]))
    return moves


def plan_moves(
    ranges: RangeMap,
    servers: Mapping[ServerIncarnation, ServerCapacity],
    hits: Sequence[int],
    settings: BalanceSettings,
    pinned: Sequence[Interval] = (),
) -> list[Move]:
    """Return moves from servers with much work for their capacity to servers with little.

    With too few hits to compare servers, return only moves to servers without ranges. Pending
    ranges do not move, nor do the keys of `pinned`, which the operator has assigned.
    """
    if len(servers) < 2 or len(hits) < settings.min_hits_per_server * len(servers):
        return without_pinned(_empty_server_moves(ranges, servers), pinned) if servers else []
    planner = _MovePlanner(ranges, servers, _Hits(hits), settings, pinned)
    moves: list[Move] = []
    while len(moves) < settings.max_moves:
        move = planner.next_move() or planner.fill_move()
        if move is None:
            break
        moves.append(move)
    return moves


class _MovePlanner:
    """Plan the moves of one round one by one, each from the work that the earlier ones leave."""

    def __init__(
        self,
        ranges: RangeMap,
        servers: Mapping[ServerIncarnation, ServerCapacity],
        hits: _Hits,
        settings: BalanceSettings,
        pinned: Sequence[Interval],
    ) -> None:
        self._servers = servers
        self._hits = hits
        self._settings = settings
        self._work = _hits_by_owner(ranges, servers, hits)
        self._ranges: dict[ServerIncarnation, list[tuple[int, int]]] = {
            incarnation: [] for incarnation in servers
        }
        self._range_counts = dict.fromkeys(servers, 0)
        self._filled: set[ServerIncarnation] = set()
        for entry in ranges:
            if entry.owner not in self._ranges:
                continue
            self._range_counts[entry.owner] += 1
            if not entry.is_pending:
                self._ranges[entry.owner] += subtract_intervals(entry.first, entry.last, pinned)
        total_capacity = sum(server.capacity for server in servers.values())
        self._mean = sum(self._work.values()) / total_capacity

    def next_move(self) -> Move | None:
        """Return the next move and apply it to the plan, or None if none would help."""
        for source in sorted(self._servers, key=self._ratio, reverse=True):
            if self._ratio(source) <= self._settings.high_ratio * self._mean:
                return None
            if not self._is_significant(source):
                continue
            target = self._find_target()
            if target is None:
                return None
            move = self._split_off(source, target)
            if move is not None:
                return move
        return None

    def fill_move(self) -> Move | None:
        """Return a move to a server that wants keys and has few, or None.

        Each server gets one such move in a round, so that its share grows by degrees.
        """
        wanting = [
            incarnation
            for incarnation, server in self._servers.items()
            if server.wants_keys
            and incarnation not in self._filled
            and self._ratio(incarnation) < self._settings.fill_ratio * self._mean
            and self._range_counts[incarnation] < self._settings.max_ranges_per_server
        ]
        for target in sorted(wanting, key=lambda found: (self._ratio(found), found)):
            self._filled.add(target)
            for source in sorted(self._servers, key=self._ratio, reverse=True):
                if self._ratio(source) <= self._mean:
                    break
                move = self._split_off(source, target)
                if move is not None:
                    return move
        return None

    def _is_significant(self, source: ServerIncarnation) -> bool:
        """Return whether a server's surplus is unlikely to be chance.

        The square root of a Poisson count has a standard deviation of about 1/2, whatever its mean.
        """
        expected = self._mean * self._servers[source].capacity
        deviations = 2 * (math.sqrt(self._work[source]) - math.sqrt(expected))
        return deviations >= self._settings.min_deviations

    def _ratio(self, incarnation: ServerIncarnation) -> float:
        return self._work[incarnation] / self._servers[incarnation].capacity

    def _find_target(self) -> ServerIncarnation | None:
        """Return the server with the least work per capacity among those that may get a range.

        Return None if there is none below `low_ratio`.
        """
        limit = self._settings.max_ranges_per_server
        below_limit = [
            incarnation for incarnation in self._servers if self._range_counts[incarnation] < limit
        ]
        target = min(
            below_limit,
            key=lambda incarnation: (self._ratio(incarnation), incarnation),
            default=None,
        )
        if target is None or self._ratio(target) >= self._settings.low_ratio * self._mean:
            return None
        return target

    def _split_off(self, source: ServerIncarnation, target: ServerIncarnation) -> Move | None:
        """Return the move of a piece of a source's ranges to a target, or None if none fits.

        The piece is the one whose hits come closest to the lower of the source's surplus and the
        target's deficit.
        """
        surplus = (self._ratio(source) - self._mean) * self._servers[source].capacity
        deficit = (self._mean - self._ratio(target)) * self._servers[target].capacity
        wanted_hits = max(1, round(min(surplus, deficit)))
        best: tuple[int, int, int] | None = None
        for first, last in self._ranges[source]:
            piece = _leading_piece(self._hits, first, last, wanted_hits)
            if piece is None:
                continue
            count = self._hits.count(*piece)
            # More than twice the deficit would only swap the two servers: the target would end up
            # further above the mean than it was below.
            if 0 < count <= 2 * deficit and (
                best is None or _is_closer(count, best[2], wanted_hits)
            ):
                best = (*piece, count)
        if best is None:
            return None
        first, last, count = best
        self._apply_move(source, target, first, last, count)
        return Move(first, last, target)

    def _apply_move(
        self,
        source: ServerIncarnation,
        target: ServerIncarnation,
        first: int,
        last: int,
        count: int,
    ) -> None:
        """Update the servers' work and ranges as if a move had been made."""
        self._work[source] -= count
        self._work[target] += count
        self._range_counts[target] += 1
        remaining: list[tuple[int, int]] = []
        for start, end in self._ranges[source]:
            if last < start or end < first:
                remaining.append((start, end))
                continue
            if start < first:
                remaining.append((start, first - 1))
            if last < end:
                remaining.append((last + 1, end))
        self._ranges[source] = remaining


def _is_closer(count: int, other: int, wanted_hits: int) -> bool:
    return abs(count - wanted_hits) < abs(other - wanted_hits)


def _leading_piece(hits: _Hits, first: int, last: int, wanted_hits: int) -> tuple[int, int] | None:
    """Return the piece at a range's start with about the wanted hits, or the whole range.

    Return None if the range has no hits, or one key at its start has too many of them.
    """
    count = hits.count(first, last)
    if count == 0:
        return None
    if count <= wanted_hits:
        return first, last
    end = hits.key_at(first, wanted_hits)
    if end >= last or hits.count(first, end) > 2 * wanted_hits:
        # The key at the end has too many hits by itself; the keys before it may still move.
        end = end - 1
    return (first, end) if first <= end < last else None


def _split_by_hits(entry: KeyRange, hits: _Hits, target_hits: float) -> list[tuple[int, int]]:
    """Divide a range into pieces of about `target_hits` hits each."""
    pieces = []
    first = entry.first
    while target_hits >= 1 and hits.count(first, entry.last) > 1.5 * target_hits:
        end = hits.key_at(first, max(1, round(target_hits)))
        if end >= entry.last:
            break
        pieces.append((first, end))
        first = end + 1
    pieces.append((first, entry.last))
    return pieces


def _hits_by_owner(
    ranges: RangeMap, servers: Mapping[ServerIncarnation, ServerCapacity], hits: _Hits
) -> dict[ServerIncarnation, float]:
    """Return the number of hits on the ranges of each server."""
    work = dict.fromkeys(servers, 0.0)
    for entry in ranges:
        if entry.owner in work:
            work[entry.owner] += hits.count(entry.first, entry.last)
    return work


def _empty_server_moves(
    ranges: RangeMap, servers: Mapping[ServerIncarnation, ServerCapacity]
) -> list[Move]:
    """Return moves that give servers without ranges half of one of the largest ranges each.

    They are used when there are too few hits to balance by.
    """
    owners = ranges.owners()
    moves: list[Move] = []
    confirmed = sorted((entry for entry in ranges if not entry.is_pending), key=lambda e: -e.size)
    new = {incarnation for incarnation in servers if not servers[incarnation].is_limited}
    for incarnation in sorted(new - owners):
        if len(moves) == len(confirmed) or confirmed[len(moves)].size < 2:
            break
        entry = confirmed[len(moves)]
        moves.append(Move(entry.first + entry.size // 2, entry.last, incarnation))
    return moves
