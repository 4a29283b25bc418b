"""Limit the requests to servers that are warming up, over all nodes and without a shared counter.

Each node may send a server one request in each of its own time slots. Slots begin at random times,
so that the nodes' slots are spread evenly, and a slot that is not used lapses soon: however many
nodes have callers for a server at the same moment, only those with an open slot send one.
"""

from __future__ import annotations

import math
import random
from collections.abc import Hashable
from dataclasses import dataclass, field

from nutmeglead.core.ids import ServiceName

__all__ = ["NodeCountMemory", "WarmupBounds", "WarmupLimiter", "Warmups", "shared_rate_per_s"]

# A slot that was not used within this time lapses. It is longer than the mean time between two
# requests to a service at a node with 5 requests a second, which then uses every slot.
SLOT_MS = 200
# Factor by which the sum of the nodes' rates may be too high, because some of them count fewer live
# nodes than others: up to a third of the nodes are missing after the loss of a failure domain.
DISAGREEMENT_FACTOR = 1.5
# How many standard deviations the limit is above the expected requests of a second. The sum of
# many independent slots is close to a Poisson count: with 7, a limit of 15.5 is passed about 2.6
# times in a million seconds in which every node uses every slot, at the worst disagreement.
DEVIATIONS = 7.0
# A node counts as many nodes as it has known within this time: one that loses contact with others
# must not take over their shares, since they still send.
NODE_COUNT_MEMORY_MS = 60_000
# A node that has just started does not know how many others there are.
START_PAUSE_MS = 2_000
# Added to the end of a limit: the earliest time of an entry's change may be up to 300 ms (pause
# between feed calls), 100 ms (answer) and 550 ms (a hub that stands still) before the real one.
END_MARGIN_MS = 1_000
# Part of a server's usual capacity for which it gets keys while its requests are limited. Most
# requests for its keys are refused then, since their nodes have no open slot.
KEY_SHARE = 1 / 16


@dataclass(frozen=True)
class WarmupBounds:
    """Bound the requests of any second to `overage` times a server's rate, plus `slack`."""

    overage: float = 1.5
    slack: float = 8.0


def shared_rate_per_s(per_s: float, bounds: WarmupBounds) -> float:
    """Return the sum of the rates at which all nodes have slots for a server.

    In a window of 1 s, the slots that begin in it and those still open at its begin are used. Their
    expected number x, at the highest disagreement, satisfies x + DEVIATIONS * sqrt(x) = limit.
    """
    limit = per_s * bounds.overage + bounds.slack
    root = (math.sqrt(DEVIATIONS**2 + 4 * limit) - DEVIATIONS) / 2
    window_s = 1 + SLOT_MS / 1000
    return min(per_s, root**2 / (window_s * DISAGREEMENT_FACTOR))


class NodeCountMemory:
    """Remember the highest number of live nodes within NODE_COUNT_MEMORY_MS."""

    def __init__(self) -> None:
        self._started_ms: int | None = None
        # Time and count of samples, with falling counts.
        self._samples: list[tuple[int, int]] = []

    def add(self, count: int, now_ms: int) -> None:
        """Add the number of nodes that are alive now."""
        if self._started_ms is None:
            self._started_ms = now_ms
        oldest_ms = now_ms - NODE_COUNT_MEMORY_MS
        kept = [entry for entry in self._samples if entry[0] >= oldest_ms and entry[1] > count]
        self._samples = [*kept, (now_ms, count)]

    def highest(self, now_ms: int) -> int | None:
        """Return the highest number, or None on a node that has just started."""
        if self._started_ms is None or now_ms - self._started_ms < START_PAUSE_MS:
            return None
        return max(1, self._samples[0][1])


class WarmupLimiter:
    """Give this node's slots for one server; `taken_count` counts those used."""

    def __init__(self, rng: random.Random) -> None:
        self.taken_count = 0
        self._rng = rng
        self._slot_ms: float | None = None
        self._interval_ms = 0.0

    def wait_ms(self, interval_ms: float, now_ms: int) -> int:
        """Return the time until this node may send the server a request, 0 if it may now.

        `interval_ms` is the mean time between two of this node's slots. The first slot begins at a
        random time within it, also when all nodes hear of the warm-up at the same moment.
        """
        if self._slot_ms is None:
            self._slot_ms = now_ms + self._rng.random() * interval_ms
        elif interval_ms > self._interval_ms and self._slot_ms > now_ms:
            # More nodes are known now, and this one's share is smaller.
            self._slot_ms = now_ms + (self._slot_ms - now_ms) * interval_ms / self._interval_ms
        self._interval_ms = interval_ms
        if now_ms - self._slot_ms > interval_ms * 2:
            # Nobody has asked for a long time.
            self._slot_ms = now_ms + self._rng.random() * interval_ms
        while now_ms >= self._slot_ms + SLOT_MS:
            self._slot_ms += self._next_interval_ms()
        return max(0, math.ceil(self._slot_ms - now_ms))

    def take(self, now_ms: int) -> None:
        """Use the open slot."""
        self.taken_count += 1
        assert self._slot_ms is not None
        self._slot_ms = max(self._slot_ms + self._next_interval_ms(), now_ms + 1)

    def _next_interval_ms(self) -> float:
        """Return a random interval; without it, slots that coincide once do so for ever."""
        return self._interval_ms * (0.5 + self._rng.random())


@dataclass
class _Warmup:
    """Hold the end of a server's warm-up, and the version of the entry that stated it last."""

    until_ms: int = 0
    # How much later than `until_ms` the real end may be.
    margin_ms: int = 0
    version: int = 0
    stated_ms: int | None = None


@dataclass
class Warmups:
    """Hold until when servers warm up, and the rates to which their services limit requests then.

    `rates_per_s` holds the services with a limit.
    """

    bounds: WarmupBounds = field(default_factory=WarmupBounds)
    rates_per_s: dict[ServiceName, float] = field(default_factory=dict)
    # Services whose servers warm up by the manifest, with a limit or without.
    warming_services: set[ServiceName] = field(default_factory=set)
    nodes: NodeCountMemory = field(default_factory=NodeCountMemory)
    # No server of any service warms up after this time.
    latest_end_ms: int = 0
    _warmups: dict[Hashable, _Warmup] = field(default_factory=dict)

    def apply_entry(self, server: Hashable, left_ms: int, version: int, since_ms: int) -> None:
        """Follow what a server's entry states; it counts from the entry's change at `since_ms`.

        An entry of the same version that is read once more states nothing new; without versions, as
        with tickets, neither does the same value.
        """
        known = self._warmups.setdefault(server, _Warmup())
        is_same = known.version == version and (version > 0 or known.stated_ms == left_ms)
        if known.stated_ms is not None and is_same:
            return
        known.version, known.stated_ms = version, left_ms
        known.until_ms = since_ms + left_ms if left_ms > 0 else 0
        known.margin_ms = END_MARGIN_MS if left_ms > 0 else 0
        self.latest_end_ms = max(self.latest_end_ms, known.until_ms + known.margin_ms)

    def apply_answer(self, server: Hashable, left_ms: int, now_ms: int) -> None:
        """Follow what a server states in an answer."""
        known = self._warmups.setdefault(server, _Warmup())
        known.until_ms, known.margin_ms = now_ms + max(0, left_ms), 0
        self.latest_end_ms = max(self.latest_end_ms, known.until_ms)

    def forget(self, server: Hashable) -> None:
        """Drop a server that is no longer listed."""
        self._warmups.pop(server, None)

    def until_ms(self, server: Hashable) -> int:
        """Return when a server's warm-up ends, or 0 if none is known."""
        known = self._warmups.get(server)
        return 0 if known is None else known.until_ms

    def limited_until_ms(self, server: Hashable) -> int:
        """Return when a server's warm-up has surely ended, or 0 if none is known."""
        known = self._warmups.get(server)
        return 0 if known is None else known.until_ms + known.margin_ms

    def is_limited(self, service: ServiceName, server: Hashable, now_ms: int) -> bool:
        """Return whether requests to a server are limited now."""
        if now_ms >= self.latest_end_ms:
            return False
        return service in self.rates_per_s and now_ms < self.limited_until_ms(server)

    def set_service(self, service: ServiceName, warmup_ms: int, per_s: float) -> None:
        """Set whether a service's servers warm up, and their limit meanwhile, or 0 for none."""
        self.warming_services.discard(service)
        if warmup_ms > 0 or per_s > 0:
            self.warming_services.add(service)
        self.rates_per_s.pop(service, None)
        if per_s > 0:
            self.rates_per_s[service] = per_s

    def interval_ms(self, service: ServiceName, now_ms: int) -> float | None:
        """Return the mean time between two of this node's slots for a server of a service.

        Return None on a node that has just started and sends nothing to such servers yet.
        """
        count = self.nodes.highest(now_ms)
        if count is None:
            return None
        return 1000 * count / shared_rate_per_s(self.rates_per_s[service], self.bounds)

    def key_capacity(
        self, service: ServiceName, server: Hashable, capacity: float, now_ms: int
    ) -> float:
        """Return the capacity, in requests/s, for which a server gets keys."""
        if not self.is_limited(service, server, now_ms):
            return capacity
        return min(capacity * KEY_SHARE, self.rates_per_s[service])
