"""Keep pinned keys, those that the operator has assigned to a server, with that server."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from nutmeglead.core.ids import ServerId
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.ranges.model import RangeMap
from nutmeglead.ranges.moves import Move, MoveReason

__all__ = [
    "Interval",
    "Pin",
    "pin_moves",
    "pinned_intervals",
    "subtract_intervals",
    "without_pinned",
]

Interval = tuple[int, int]


@dataclass(frozen=True)
class Pin:
    """Assign the keys from `first` to `last`, both included, to a server."""

    first: int
    last: int
    server_id: ServerId


def pin_moves(
    ranges: RangeMap, pins: Iterable[Pin], servers: Iterable[ServerIncarnation]
) -> list[Move]:
    """Return the moves of pinned keys to their servers, as far as these are in `servers`."""
    incarnations = {incarnation.server_id: incarnation for incarnation in servers}
    moves: list[Move] = []
    for pin in pins:
        owner = incarnations.get(pin.server_id)
        if owner is None:
            continue
        for entry in ranges:
            first, last = max(entry.first, pin.first), min(entry.last, pin.last)
            if first <= last and entry.owner != owner:
                moves.append(Move(first, last, owner, MoveReason.CLAIM))
    return moves


def pinned_intervals(
    pins: Iterable[Pin], servers: Mapping[ServerIncarnation, object]
) -> list[Interval]:
    """Return the pinned intervals of usable servers, which the balancer must not move.

    Keys that are pinned to another server may move until that one is usable.
    """
    usable = {incarnation.server_id for incarnation in servers}
    return [(pin.first, pin.last) for pin in pins if pin.server_id in usable]


def without_pinned(moves: Iterable[Move], pinned: Sequence[Interval]) -> list[Move]:
    """Return the moves with the pinned keys cut out of them."""
    return [
        Move(first, last, move.owner, move.reason)
        for move in moves
        for first, last in subtract_intervals(move.first, move.last, pinned)
    ]


def subtract_intervals(first: int, last: int, pinned: Sequence[Interval]) -> Iterator[Interval]:
    """Yield the parts of a range outside `pinned`, which is sorted and without overlaps."""
    for pinned_first, pinned_last in pinned:
        if pinned_last < first or last < pinned_first:
            continue
        if first < pinned_first:
            yield first, pinned_first - 1
        first = pinned_last + 1
    if first <= last:
        yield first, last
