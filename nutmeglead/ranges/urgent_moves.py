"""Choose the moves of keys that do not wait for the balancer."""

from collections.abc import Callable, Collection, Mapping, Sequence

from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.ranges.balance import ServerCapacity, reassignment_moves
from nutmeglead.ranges.candidates import OwnerCandidates
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.moves import Move, MoveReason
from nutmeglead.ranges.pins import Pin, pin_moves

__all__ = ["urgent_moves"]


def urgent_moves(
    ranges: RangeMap,
    stale: Collection[KeyRange],
    candidates: OwnerCandidates,
    servers: Mapping[ServerIncarnation, ServerCapacity],
    pins: Sequence[Pin],
    sample_keys: Callable[[], Sequence[int]],
) -> list[Move]:
    """Return the moves of a map that some usable servers are to carry out at once.

    They give ranges without a usable owner to other servers, raise the fences of ranges whose
    owners have seen a higher one, and give keys that the operator has assigned to their servers.
    `sample_keys` returns recent keys.
    """
    moves: list[Move] = []
    for entry in stale:
        if entry.owner is not None and entry in ranges.ranges and entry.owner in servers:
            moves.append(Move(entry.first, entry.last, entry.owner, MoveReason.STALE_FENCE))
    unusable = {entry.owner for entry in ranges} - servers.keys()
    departures = candidates.departures(unusable)
    orphaned = {entry: departures[entry.owner] for entry in ranges if entry.owner in departures}
    if orphaned:
        moves += reassignment_moves(ranges, orphaned, servers, sample_keys())
    return moves + pin_moves(ranges, pins, servers)
