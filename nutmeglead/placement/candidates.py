"""Choose which unit of an overloaded server to move."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Collection, Iterable
from typing import NamedTuple

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead.placement.ledger import Ledger
from nutmeglead.placement.model import HotKey, Pin, Unit

__all__ = ["Candidate", "Candidates", "collect", "pinnable_keys"]


class Candidate(NamedTuple):
    """Hold a unit that may move and its rate in requests/s; tuples sort by rate."""

    rate: float
    order: str
    unit: Unit


class Candidates:
    """Hold one server's movable units: single keys and buckets, each sorted by rate."""

    def __init__(self) -> None:
        self._keys: list[Candidate] = []
        self._buckets: list[Candidate] = []

    def add(self, unit: Unit, rate: float) -> None:
        """Enter a unit."""
        if isinstance(unit, Pin):
            insort(self._keys, Candidate(rate, f"{unit.kind:d}{unit.key}", unit))
        else:
            insort(self._buckets, Candidate(rate, f"{unit:08d}", unit))

    def take(self, need: float, limit: float, least: float) -> Candidate | None:
        """Remove and return the unit that covers the need with the least churn.

        Single keys come before buckets, because a bucket moves all of its keys for the same load.
        Among equals it is the smallest rate that covers `need`, else the largest; never more than
        `limit` nor less than `least`.
        """
        for pool in (self._keys, self._buckets):
            position = _best_fit(pool, need, limit, least)
            if position is not None:
                return pool.pop(position)
        return None

    def discard_bucket(self, bucket: int) -> None:
        """Remove a bucket whose rate has changed."""
        self._buckets = [entry for entry in self._buckets if entry.unit != bucket]


def _best_fit(pool: list[Candidate], need: float, limit: float, least: float) -> int | None:
    position = bisect_left(pool, need, key=lambda entry: entry.rate)
    if position < len(pool) and least <= pool[position].rate <= limit:
        return position
    position = bisect_right(pool, limit, key=lambda entry: entry.rate) - 1
    if position >= 0 and pool[position].rate >= least:
        return position
    return None


def collect(
    ledger: Ledger, donors: Iterable[int], fixed: Collection[Unit], hot_keys: Iterable[HotKey]
) -> dict[int, Candidates]:
    """Return the movable units of some servers; `fixed` units and hot keys in them do not move."""
    found = {donor: Candidates() for donor in donors}
    for bucket, owner in enumerate(ledger.owners.buckets):
        if owner in found and bucket not in fixed:
            found[owner].add(bucket, ledger.rate(bucket))
    for pin, owner in ledger.owners.pins.items():
        if owner in found and pin not in fixed:
            found[owner].add(pin, ledger.rate(pin))
    for hot in hot_keys:
        pin = Pin(UnitKind.EXACT, hot.key)
        bucket = ledger.owners.bucket(hot.key)
        owner = ledger.owners.buckets[bucket]
        if owner in found:
            found[owner].add(pin, hot.requests_per_s)
    return found


def pinnable_keys(
    ledger: Ledger, hot_keys: Iterable[HotKey], least: float, fixed: Collection[Unit]
) -> list[HotKey]:
    """Return the hot keys that the policy may pin, the hottest first.

    A key under a prefix pin counts for that pin and not for its bucket, and a prefix is a ticket's
    claim, so such a key is never pinned apart.
    """
    found = []
    for hot in hot_keys:
        pin = Pin(UnitKind.EXACT, hot.key)
        bucket = ledger.owners.bucket(hot.key)
        if pin in fixed or bucket in fixed or ledger.owners.holds(pin):
            continue
        # Requests for the key were counted for the pin and not for the bucket so far.
        if ledger.removes_pin_of(hot.key):
            continue
        # The sketch may overestimate a key; it cannot have more load than its bucket.
        rate = min(hot.requests_per_s, ledger.measured_rate(bucket))
        if rate >= least and ledger.owners.enclosing_prefix(pin) is None:
            found.append(HotKey(hot.key, rate))
    return sorted(found, key=lambda hot: (-hot.requests_per_s, hot.key))
