"""Define the range map: the key ranges of a service with their owners and fences.

A fence is a number that grows with each version of the map. A server refuses a grant whose fence is
lower than one that it has seen on the same keys, so an outdated grant has no effect.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from nutmeglead._generated.peers import ttypes
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.errors import CodecError
from nutmeglead.core.ids import NodeId, ServerId, ServiceName
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.ranges.hold import MIN_HOLD_MS
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.moves import Move
from nutmeglead.ranges.numbers import first_number

__all__ = [
    "KeyRange",
    "RangeMap",
    "WitnessSets",
    "decode_map",
    "encode_map",
    "from_wire",
    "to_wire",
]

# Sets of nodes that may send grants: replaced sets first, the current one last.
WitnessSets = tuple[tuple[NodeId, ...], ...]


@dataclass(frozen=True)
class KeyRange:
    """Hold the keys from `first` to `last`, both included, with their owner.

    A pending range has not been granted to its owner yet; until then, the servers in `previous`
    may still hold its keys.
    """

    first: int
    last: int
    owner: ServerIncarnation | None
    fence: int
    is_pending: bool = False
    previous: tuple[ServerIncarnation, ...] = ()

    @property
    def size(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1


class RangeMap:
    """Hold the ranges that divide all keys of a service; an instance is never changed.

    `version` grows with each map that is written, and `fence` with it; ranges that this version has
    moved have this fence. `epoch` is that of the role under which the map was written, and `era` is
    the era of the store at that time.
    """

    def __init__(
        self,
        service: ServiceName,
        ranges: Iterable[KeyRange],
        version: int = 0,
        epoch: int = 0,
        fence: int = 0,
        witness_sets: WitnessSets = (),
        hold_ms: int = MIN_HOLD_MS,
        era: int = 0,
    ) -> None:
        """Create a map whose `ranges` are in the order of their keys.

        The last of `witness_sets` may renew grants under this map. Nodes of the earlier sets may
        still renew grants under older maps. Grants under this map and the older ones are in force
        for `hold_ms` at most.
        """
        self.service = service
        self.version = version
        self.epoch = epoch
        self.fence = fence
        self.witness_sets = witness_sets
        self.hold_ms = hold_ms
        self.era = era
        self.ranges = tuple(ranges)
        self._first_keys = [entry.first for entry in self.ranges]

    @property
    def witnesses(self) -> tuple[NodeId, ...]:
        """Return the nodes that may renew grants under this map."""
        return self.witness_sets[-1] if self.witness_sets else ()

    @property
    def renewers(self) -> frozenset[NodeId]:
        """Return all nodes that may renew grants under this map or an older one."""
        return frozenset(node_id for nodes in self.witness_sets for node_id in nodes)

    def __iter__(self) -> Iterator[KeyRange]:
        return iter(self.ranges)

    def locate(self, key: int) -> KeyRange:
        """Return the range that holds a key."""
        return self.ranges[bisect_right(self._first_keys, key) - 1]

    def owned_by(self, owner: ServerIncarnation) -> list[KeyRange]:
        """Return the ranges that one incarnation of a server owns."""
        return [entry for entry in self.ranges if entry.owner == owner]

    def gives_any(self, server_id: ServerId, keys: KeyRange) -> bool:
        """Return whether any incarnation of a server owns some of the keys."""
        return any(
            entry.owner is not None and entry.owner.server_id == server_id
            for entry in self
            if entry.first <= keys.last and keys.first <= entry.last
        )

    def previous_holders(self) -> set[ServerIncarnation]:
        """Return the earlier holders of the ranges whose grants are not confirmed yet."""
        pending = (entry for entry in self.ranges if entry.is_pending)
        return {incarnation for entry in pending for incarnation in entry.previous}

    def owners(self) -> set[ServerIncarnation]:
        """Return the server incarnations that own at least one range."""
        return {entry.owner for entry in self.ranges if entry.owner is not None}

    def confirm(self, first: int, last: int, fence: int) -> RangeMap:
        """Return the map with one range no longer pending.

        The map stays as it is if it has no range with these keys and this fence.
        """
        ranges = tuple(
            (
                replace(entry, is_pending=False, previous=())
                if (entry.first, entry.last, entry.fence) == (first, last, fence)
                else entry
            )
            for entry in self.ranges
        )
        return self._with_ranges(ranges)

    def _with_ranges(self, ranges: Iterable[KeyRange]) -> RangeMap:
        return RangeMap(
            self.service,
            ranges,
            self.version,
            self.epoch,
            self.fence,
            self.witness_sets,
            self.hold_ms,
            self.era,
        )

    def for_era(self, era: int) -> RangeMap:
        """Return the map from which the first one of an era of the store is made.

        Pending ranges get the fence of that map, above all fences that their servers may have seen.
        """
        version, fence = first_number(era, self.version), first_number(era, self.fence)
        ranges = [
            replace(entry, fence=fence + 1) if entry.is_pending else entry for entry in self.ranges
        ]
        sets, hold_ms = self.witness_sets, self.hold_ms
        return RangeMap(self.service, ranges, version, self.epoch, fence, sets, hold_ms, era)

    def assign(
        self,
        moves: Iterable[Move],
        epoch: int,
        witness_sets: WitnessSets | None = None,
        hold_ms: int = MIN_HOLD_MS,
    ) -> RangeMap:
        """Return the next version, in which each move's server owns the move's keys.

        The ranges that a move overlaps are split at its ends. A moved range gets the next fence,
        and lists its earlier holders until the grant to its new owner is confirmed. The hold never
        becomes shorter, as earlier holders may have keys under grants of older maps.
        """
        fence = self.fence + 1
        ranges: list[KeyRange] = list(self.ranges)
        for first, last, owner, _ in moves:
            ranges = [
                part
                for entry in ranges
                for part in _split_for_move(entry, first, last, owner, fence)
            ]
        sets = self.witness_sets if witness_sets is None else witness_sets
        hold_ms = max(self.hold_ms, hold_ms)
        merged, version = _merged(ranges), self.version + 1
        return RangeMap(self.service, merged, version, epoch, fence, sets, hold_ms, self.era)

    def changes_since(self, earlier: RangeMap) -> list[KeyRange]:
        """Return the ranges that an earlier state of the map does not have."""
        known = set(earlier.ranges)
        return [entry for entry in self.ranges if entry not in known]

    def with_changes(self, changes: RangeMap) -> RangeMap:
        """Return the map that `changes` leads to: its version, with its ranges over the own ones.

        Own ranges that a changed range overlaps in part are cut at its ends.
        """
        ranges: list[KeyRange] = list(changes.ranges)
        for entry in self.ranges:
            first = entry.first
            for change in changes.ranges:
                if change.last < entry.first or entry.last < change.first:
                    continue
                if first < change.first:
                    ranges.append(replace(entry, first=first, last=change.first - 1))
                first = change.last + 1
            if first <= entry.last:
                ranges.append(replace(entry, first=first))
        ranges.sort(key=lambda entry: entry.first)
        return changes._with_ranges(ranges)


def _split_for_move(
    entry: KeyRange, first: int, last: int, owner: ServerIncarnation, fence: int
) -> Iterator[KeyRange]:
    """Yield the parts of a range around a move, and the moved part with its new owner."""
    if last < entry.first or entry.last < first:
        yield entry
        return
    if entry.first < first:
        yield replace(entry, last=first - 1)
    yield KeyRange(
        max(first, entry.first),
        min(last, entry.last),
        owner,
        fence,
        is_pending=True,
        previous=_possible_holders(entry, owner),
    )
    if last < entry.last:
        yield replace(entry, first=last + 1)


def _possible_holders(
    entry: KeyRange, new_owner: ServerIncarnation
) -> tuple[ServerIncarnation, ...]:
    """Return the servers that may hold a range when it moves, without its new owner."""
    holders = dict.fromkeys(entry.previous)
    if entry.owner is not None:
        holders[entry.owner] = None
    # If the new owner still holds the range, its grant under the higher fence replaces the old one.
    holders.pop(new_owner, None)
    return tuple(holders)


def _merged(ranges: list[KeyRange]) -> list[KeyRange]:
    """Return the ranges with neighbours joined that differ in nothing but their keys."""
    merged: list[KeyRange] = []
    for entry in ranges:
        last = merged[-1] if merged else None
        if last is not None and replace(last, first=entry.first, last=entry.last) == entry:
            merged[-1] = replace(last, last=entry.last)
        else:
            merged.append(entry)
    return merged


def to_wire(ranges: RangeMap, part: Sequence[KeyRange] | None = None) -> ttypes.RangeMap:
    """Return the message for a map, or for the ranges in `part`.

    The message lists each server once, and ranges name servers by their position in that list.
    """
    index: dict[ServerIncarnation, int] = {}

    def index_of(incarnation: ServerIncarnation) -> int:
        return index.setdefault(incarnation, len(index))

    entries = ranges.ranges if part is None else part
    owners = [-1 if entry.owner is None else index_of(entry.owner) for entry in entries]
    previous = {
        position: [index_of(incarnation) for incarnation in entry.previous]
        for position, entry in enumerate(entries)
        if entry.previous
    }
    return ttypes.RangeMap(
        ranges.service,
        ranges.version,
        ranges.epoch,
        ranges.fence,
        [ttypes.Life(incarnation.server_id, incarnation.started_ms) for incarnation in index],
        [entry.first for entry in entries],
        owners,
        [entry.fence for entry in entries],
        [position for position, entry in enumerate(entries) if entry.is_pending],
        previous,
        [list(nodes) for nodes in ranges.witness_sets],
        None if part is None else [entry.last for entry in entries],
        ranges.hold_ms,
        ranges.era or None,
    )


def from_wire(message: ttypes.RangeMap) -> RangeMap:
    """Return the map in a message.

    A message with last keys holds only some of a map's ranges. Raise ValueError if the lists of a
    message do not match, or if one without last keys does not cover all keys exactly once.
    """
    firsts, lasts = message.first_keys, message.last_keys
    count = len(firsts)
    if len(message.owners) != count or len(message.fences) != count:
        raise ValueError(
            f"expected one owner and one fence for each of {count} ranges, "
            f"got {len(message.owners)} owners and {len(message.fences)} fences"
        )
    if firsts != sorted(set(firsts)):
        raise ValueError(f"expected ascending first keys without repeats, got {firsts[:3]}")
    if lasts is None:
        if not firsts or firsts[0] != 0 or firsts[-1] >= KEY_COUNT:
            raise ValueError(
                f"expected the first of {count} ranges to start at key 0 and the last one below "
                f"{KEY_COUNT}, got {firsts[:1]} and {firsts[-1:]}"
            )
        lasts = [first - 1 for first in firsts[1:]] + [KEY_COUNT - 1]
    incarnations = [
        ServerIncarnation(ServerId(life.server_id), life.born_ms) for life in message.servers
    ]
    pending = set(message.pending)
    ranges = [
        KeyRange(
            first,
            last,
            None if owner < 0 else incarnations[owner],
            fence,
            position in pending,
            tuple(incarnations[holder] for holder in message.previous.get(position, ())),
        )
        for position, (first, last, owner, fence) in enumerate(
            zip(firsts, lasts, message.owners, message.fences, strict=True)
        )
    ]
    sets = tuple(tuple(NodeId(node_id) for node_id in nodes) for nodes in message.witness_sets)
    service = ServiceName(message.service_name)
    return RangeMap(
        service,
        ranges,
        message.version,
        message.epoch,
        message.fence,
        sets,
        message.hold_ms or MIN_HOLD_MS,
        message.era or 0,
    )


def encode_map(ranges: RangeMap) -> bytes:
    """Return the value of a map's row in the store."""
    return encode(to_wire(ranges))


def decode_map(data: bytes) -> Result[RangeMap, CodecError]:
    """Return the map in the value of a row, or an error if the value is not a valid map."""
    decoded = decode(ttypes.RangeMap, data)
    if isinstance(decoded, Err):
        return decoded
    try:
        return Ok(from_wire(decoded.ok_value))
    except (ValueError, IndexError) as error:
        return Err(CodecError("a range map", str(error)))
