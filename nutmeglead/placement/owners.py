"""Look up and change the owners of buckets and pins."""

from __future__ import annotations

from array import array
from collections import Counter

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead.placement.hashing import bucket_of
from nutmeglead.placement.model import NO_OWNER, Pin, Placement, Unit

__all__ = ["Owners"]


class Owners:
    """Hold a copy of a placement; owner indexes beyond `server_count` become NO_OWNER."""

    def __init__(self, placement: Placement, server_count: int) -> None:
        self.buckets: array[int] = array("i", placement.bucket_owners)
        if self.buckets and max(self.buckets) >= server_count:
            known = (i if i < server_count else NO_OWNER for i in self.buckets)
            self.buckets = array("i", known)
        self.pins = {
            pin: owner if owner < server_count else NO_OWNER
            for pin, owner in placement.pins.items()
        }
        lengths = (len(pin.key) for pin in self.pins if pin.kind == UnitKind.PREFIX)
        self._prefix_lengths = Counter(lengths)

    def owner(self, unit: Unit) -> int:
        """Return the owner's index; a pin that does not exist has its enclosing unit's owner."""
        if not isinstance(unit, Pin):
            return self.buckets[unit]
        return self.pins[unit] if unit in self.pins else self.enclosing_owner(unit)

    def holds(self, unit: Unit) -> bool:
        """Tell whether a unit exists; buckets always do."""
        return not isinstance(unit, Pin) or unit in self.pins

    def bucket(self, key: str) -> int:
        """Return a key's bucket."""
        return bucket_of(key, len(self.buckets))

    def enclosing_prefix(self, pin: Pin) -> Pin | None:
        """Return the longest other prefix pin that matches the pin's keys."""
        longest = len(pin.key) - (pin.kind == UnitKind.PREFIX)
        for length in sorted(self._prefix_lengths, reverse=True):
            prefix = Pin(UnitKind.PREFIX, pin.key[:length])
            if length <= longest and prefix in self.pins:
                return prefix
        return None

    def enclosing_owner(self, pin: Pin) -> int:
        """Return the owner of the unit that would hold the pin's keys; NO_OWNER if many would."""
        prefix = self.enclosing_prefix(pin)
        if prefix is not None:
            return self.pins[prefix]
        return NO_OWNER if pin.kind == UnitKind.PREFIX else self.buckets[self.bucket(pin.key)]

    def assign(self, unit: Unit, owner: int) -> None:
        """Set a unit's owner; creates a pin that does not exist."""
        if not isinstance(unit, Pin):
            self.buckets[unit] = owner
            return
        if unit.kind == UnitKind.PREFIX and unit not in self.pins:
            self._prefix_lengths[len(unit.key)] += 1
        self.pins[unit] = owner

    def remove(self, pin: Pin) -> None:
        """Delete a pin."""
        del self.pins[pin]
        if pin.kind == UnitKind.PREFIX:
            self._prefix_lengths[len(pin.key)] -= 1
            self._prefix_lengths += Counter()  # drops lengths whose count is 0
