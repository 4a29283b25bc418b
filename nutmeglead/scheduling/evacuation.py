"""Keep the evacuated failure domains, and the time until which their servers are still used."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from nutmeglead.core.ids import FailureDomainName

__all__ = [
    "EVACUATE_MARGIN_MS",
    "EvacuationChanges",
    "EvacuationRow",
    "Evacuations",
    "departure_ms",
]

# Taken off the bound for the use of an evacuated owner of keys. A hub that stands still delays a
# copy by up to 550 ms without being noticed, a request needs up to 250 ms to arrive, and two lost
# packets in a row delay it by another 600 ms (retransmissions after 200 and 400 ms).
EVACUATE_MARGIN_MS = 1_500
# Keys leave an evacuated domain in this time, and not all at once: callers wait for keys that are
# on their way. A release takes as long as the requests that run, about 0.5 s, and a write of the
# map 0.2 s, so that the last keys have moved before the bound less its margin.
DEPARTURE_MS = 1_600
# The servers of the domains leave in this many groups, each with one write of the map.
DEPARTURE_GROUPS = 5


@dataclass(frozen=True)
class EvacuationRow:
    """State of the row that evacuates a domain.

    `changed_ms` is the earliest time at which the row can have changed, or None if unknown.
    """

    domain: FailureDomainName
    is_present: bool
    changed_ms: int | None


@dataclass(frozen=True)
class EvacuationChanges:
    """List the domains whose evacuation has begun or ended with an update."""

    began: tuple[FailureDomainName, ...] = ()
    ended: tuple[FailureDomainName, ...] = ()


class Evacuations:
    """Hold the evacuated domains with the earliest time at which each evacuation can have begun.

    `bound_ms` is the time after which no request may reach an evacuated server.
    """

    def __init__(self, bound_ms: int = 5_000) -> None:
        self.bound_ms = bound_ms
        self._since_ms: dict[FailureDomainName, float] = {}
        self._has_state = False

    def __len__(self) -> int:
        return len(self._since_ms)

    @property
    def domains(self) -> Collection[FailureDomainName]:
        """Return the evacuated domains."""
        return self._since_ms.keys()

    def apply(self, rows: Iterable[EvacuationRow], is_snapshot: bool) -> EvacuationChanges:
        """Follow changed rows; in a snapshot, domains without a row are no longer evacuated.

        The first state that a node learns may be older than the node itself, so its evacuations
        count as begun long ago.
        """
        before = set(self._since_ms)
        present: set[FailureDomainName] = set()
        for row in rows:
            if not row.is_present:
                present.discard(row.domain)
                self._since_ms.pop(row.domain, None)
                continue
            present.add(row.domain)
            is_dated = self._has_state and row.changed_ms is not None
            since_ms = row.changed_ms if is_dated and row.changed_ms is not None else -math.inf
            # A row that is written again does not begin the evacuation anew.
            self._since_ms.setdefault(row.domain, since_ms)
        if is_snapshot:
            for domain in set(self._since_ms) - present:
                del self._since_ms[domain]
        self._has_state = True
        after = set(self._since_ms)
        return EvacuationChanges(tuple(sorted(after - before)), tuple(sorted(before - after)))

    def is_evacuated(self, domain: FailureDomainName) -> bool:
        """Return whether a domain's servers get no new work."""
        return domain in self._since_ms

    def age_ms(self, domain: FailureDomainName, now_ms: int) -> int | None:
        """Return the longest time since a domain's evacuation can have begun, or None if unknown.

        Also None if the domain is not evacuated.
        """
        since_ms = self._since_ms.get(domain, -math.inf)
        return None if math.isinf(since_ms) else max(0, round(now_ms - since_ms))

    def may_send_to(self, domain: FailureDomainName, owns_keys: bool, now_ms: int) -> bool:
        """Return whether a server of a domain may get a request now.

        Of an evacuated domain, only the owners of keys may, until shortly before the bound: their
        keys are on their way to other servers. Any other server has others in its place at once.
        """
        since_ms = self._since_ms.get(domain)
        if since_ms is None:
            return True
        return owns_keys and now_ms - since_ms < self.bound_ms - EVACUATE_MARGIN_MS

    def is_departure_due(
        self, domain: FailureDomainName, rank: int, count: int, now_ms: int
    ) -> bool:
        """Return whether an owner's keys are to leave an evacuated domain now.

        `rank` is the owner's place among the `count` owners of keys in evacuated domains.
        """
        since_ms = self._since_ms.get(domain)
        return since_ms is not None and now_ms - since_ms >= departure_ms(
            rank, count, self.bound_ms
        )


def departure_ms(rank: int, count: int, bound_ms: int) -> float:
    """Return how long after the begin of an evacuation the keys of an owner leave.

    The owners leave in groups of equal size. A bound that is shorter than usual shortens the time.
    """
    span_ms = max(0, min(DEPARTURE_MS, (bound_ms - EVACUATE_MARGIN_MS) / 2))
    group = rank * DEPARTURE_GROUPS // max(1, count)
    return span_ms * group / (DEPARTURE_GROUPS - 1)
