"""Place keys by well-known hashing schemes, as baselines for benchmarks."""

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from typing import Protocol

import xxhash

from nutmeglead.core.ids import ServerId

__all__ = ["Baseline", "BoundedLoadRing", "HashRing", "Rendezvous", "StickyBoundedLoadRing"]

VIRTUAL_NODES = 100


class Baseline(Protocol):
    """Assign each key a server; `rates` are the keys' loads, `present` their owners so far."""

    def place(
        self,
        servers: Sequence[ServerId],
        rates: Mapping[str, float],
        present: Mapping[str, ServerId],
    ) -> dict[str, ServerId]:
        """Return the owner of each key."""
        ...


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


class _Ring:
    """Hold the points of all servers on the ring in order."""

    def __init__(self, servers: Sequence[ServerId], virtual_nodes: int) -> None:
        points = sorted(
            (_hash(f"{server}#{replica}"), server)
            for server in servers
            for replica in range(virtual_nodes)
        )
        self.positions = [position for position, _ in points]
        self.owners = [server for _, server in points]
        self._firsts: dict[str, int] = {}

    def first(self, key: str) -> int:
        """Return the index of the first point at or after a key."""
        if key not in self._firsts:
            self._firsts[key] = bisect_left(self.positions, _hash(key)) % len(self.positions)
        return self._firsts[key]


class HashRing:
    """Give a key to the next virtual node on a ring (Karger et al. 1997)."""

    def __init__(self, virtual_nodes: int = VIRTUAL_NODES) -> None:
        self._virtual_nodes = virtual_nodes

    def place(
        self,
        servers: Sequence[ServerId],
        rates: Mapping[str, float],
        present: Mapping[str, ServerId],
    ) -> dict[str, ServerId]:
        """Return the owner of each key; load has no influence."""
        ring = _Ring(servers, self._virtual_nodes)
        return {key: ring.owners[ring.first(key)] for key in rates}


class Rendezvous:
    """Give a key to the server with the highest hash of both (Thaler and Ravishankar 1998)."""

    def place(
        self,
        servers: Sequence[ServerId],
        rates: Mapping[str, float],
        present: Mapping[str, ServerId],
    ) -> dict[str, ServerId]:
        """Return the owner of each key; load has no influence."""
        seeds = [_hash(server) for server in servers]
        digest = xxhash.xxh64_intdigest
        placed = {}
        for key in rates:
            data = key.encode()
            scores = [digest(data, seed) for seed in seeds]
            placed[key] = servers[scores.index(max(scores))]
        return placed


class BoundedLoadRing:
    """Skip servers whose load would exceed a multiple of the mean (Mirrokni et al. 2016).

    The paper counts keys of equal load; here a key weighs its rate, and keys are placed in the
    order of the mapping. A key heavier than the bound goes to the first server without load.
    """

    def __init__(self, bound: float = 1.1, virtual_nodes: int = VIRTUAL_NODES) -> None:
        self._bound = bound
        self._virtual_nodes = virtual_nodes
        self._rings: dict[tuple[ServerId, ...], _Ring] = {}

    def place(
        self,
        servers: Sequence[ServerId],
        rates: Mapping[str, float],
        present: Mapping[str, ServerId],
    ) -> dict[str, ServerId]:
        """Return the owner of each key, computed anew."""
        return self._fill(servers, rates, dict.fromkeys(servers, 0.0), list(rates))

    def _fill(
        self,
        servers: Sequence[ServerId],
        rates: Mapping[str, float],
        loads: dict[ServerId, float],
        keys: Sequence[str],
    ) -> dict[str, ServerId]:
        usable = tuple(servers)
        if usable not in self._rings:
            self._rings[usable] = _Ring(usable, self._virtual_nodes)
        ring = self._rings[usable]
        limit = self._bound * sum(rates.values()) / len(servers)
        return {key: _place_key(ring, key, rates[key], loads, limit) for key in keys}


class StickyBoundedLoadRing(BoundedLoadRing):
    """Move a key only when its owner is gone or exceeds the bound.

    This is a stronger baseline than the paper's scheme, which places all keys anew: it needs every
    key's owner to be stored.
    """

    def place(
        self,
        servers: Sequence[ServerId],
        rates: Mapping[str, float],
        present: Mapping[str, ServerId],
    ) -> dict[str, ServerId]:
        """Return the owner of each key; keys within the bound stay."""
        limit = self._bound * sum(rates.values()) / len(servers)
        loads = dict.fromkeys(servers, 0.0)
        placed: dict[str, ServerId] = {}
        homeless = []
        for key, rate in rates.items():
            owner = present.get(key)
            if owner not in loads or (loads[owner] + rate > limit and loads[owner] > 0.0):
                homeless.append(key)
                continue
            loads[owner] += rate
            placed[key] = owner
        return placed | self._fill(servers, rates, loads, homeless)


def _place_key(
    ring: _Ring, key: str, rate: float, loads: dict[ServerId, float], limit: float
) -> ServerId:
    start = ring.first(key)
    count = len(ring.owners)
    for step in range(count):
        server = ring.owners[(start + step) % count]
        if loads[server] + rate <= limit or loads[server] == 0.0:
            break
    else:
        server = min(loads, key=lambda name: (loads[name], name))
    loads[server] += rate
    return server
