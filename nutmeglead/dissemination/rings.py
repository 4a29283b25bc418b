"""Choose whom to exchange heartbeats with: the next member in each of several hash rings."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

__all__ = ["Rings"]

_MODULUS = 1 << 64


class Rings:
    """Keep this node's successor in each ring.

    Each ring orders the members by a hash with its own seed. Every node has one successor and one
    predecessor per ring, so each member is watched by as many nodes as there are rings, and the
    union of the rings has a diameter of about log(members) / log(rings) steps for news. The
    construction follows Law and Siu, "Distributed construction of random expander networks"
    (INFOCOM 2003), with hashes in place of a join protocol.
    """

    def __init__(self, own_id: str, count: int) -> None:
        self._own_id = own_id
        self._own_places = [_place(own_id, ring) for ring in range(count)]
        self._successors: list[tuple[int, str] | None] = [None] * count
        self._stale: set[int] = set()

    def add(self, node_id: str) -> None:
        """Take a member in; costs one hash per ring."""
        for ring, successor in enumerate(self._successors):
            entry = (self._distance(node_id, ring), node_id)
            if successor is None or entry < successor:
                self._successors[ring] = entry

    def remove(self, node_id: str) -> None:
        """Take a member out; its rings are searched again when they are next read."""
        for ring, successor in enumerate(self._successors):
            if successor is not None and successor[1] == node_id:
                self._stale.add(ring)

    def successors(self, members: Iterable[str]) -> set[str]:
        """Return the successors; `members` are those added and not removed."""
        if self._stale:
            present = [node_id for node_id in members if node_id != self._own_id]
            for ring in self._stale:
                entries = ((self._distance(node_id, ring), node_id) for node_id in present)
                self._successors[ring] = min(entries, default=None)
            self._stale.clear()
        return {successor[1] for successor in self._successors if successor is not None}

    def _distance(self, node_id: str, ring: int) -> int:
        return (_place(node_id, ring) - self._own_places[ring]) % _MODULUS


def _place(node_id: str, ring: int) -> int:
    return int(xxh64_intdigest(node_id.encode(), seed=ring))
