"""Keep keys with the server that the operator has named for them."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from nutmeglead.core.ids import ServerId
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.ranges.model import RangeMap
from nutmeglead.ranges.moves import Move, MoveReason

__all__ = ["Interval", "Pin", "cut_out", "held_pins", "pin_moves", "without_pinned"]

Interval = tuple[int, int]


@dataclass(frozen=True)
class Pin:
    """Name the server of the keys from `first` to `last`, both included."""

    first: int
    last: int
    server_id: ServerId


def pin_moves(
    ranges: RangeMap, pins: Iterable[Pin], servers: Iterable[ServerIncarnation]
) -> list[Move]:
    """Return the moves that give pinned keys to their servers, where these are usable."""
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


def held_pins(pins: Iterable[Pin], servers: Mapping[ServerIncarnation, object]) -> list[Interval]:
    """Return the keys whose pinned server is usable; they stay where they are."""
    usable = {incarnation.server_id for incarnation in servers}
    return [(pin.first, pin.last) for pin in pins if pin.server_id in usable]


def without_pinned(moves: Iterable[Move], held: Sequence[Interval]) -> list[Move]:
    """Return the moves without the keys that are pinned."""
    return [
        Move(first, last, move.owner, move.reason)
        for move in moves
        for first, last in cut_out(move.first, move.last, held)
    ]


def cut_out(first: int, last: int, held: Sequence[Interval]) -> Iterator[Interval]:
    """Yield the parts of a range outside some intervals, which do not overlap and are in order."""
    for held_first, held_last in held:
        if held_last < first or last < held_first:
            continue
        if first < held_first:
            yield first, held_first - 1
        first = held_last + 1
    if first <= last:
        yield first, last
