"""Count load per unit in routers and merge the routers' reports in the acting controller."""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterable
from heapq import nlargest

from nutmeglead._generated.common.ttypes import Sender, UnitId, UnitKind
from nutmeglead._generated.messages.ttypes import LoadReport, UnitLoad
from nutmeglead.core.ids import ServiceName
from nutmeglead.placement.decay import DecayingArray, DecayingDict
from nutmeglead.placement.hashing import bucket_of
from nutmeglead.placement.model import HotKey, LoadSnapshot, Move, Pin, Unit, unit_id
from nutmeglead.placement.sequences import SequenceWindow

__all__ = ["LoadCounter", "LoadMerger"]

# A unit takes 17 bytes in a report and a hot key about 27. Reports of 1,024 units and 240 hot keys
# for three services every 5 s are 14 KB/s at most, and 12.6 KB/s for brunner's 24, 9 and 6 servers;
# a node may use 13 KB/s for control.
MAX_UNITS_PER_REPORT = 1024
# A router that has been silent for this many half-lives has lost all but 0.1% of its share, and
# its sequence numbers are forgotten.
FORGET_HALF_LIVES = 10
# The merger keeps this many hot keys for each that may be pinned, so that a key which several
# routers each see a little of is not cut off too early.
HOT_KEYS_PER_PIN = 4
# A pin slower than one request in 1,000 s is dropped from the counters.
LEAST_PIN_RATE = 0.001
UNKNOWN_AGE_MS = 2**31


class LoadCounter:
    """Count a router's requests per unit until they are reported."""

    def __init__(self, hash_buckets: int, now_ms: int) -> None:
        self._buckets = array("q", bytes(8 * hash_buckets))
        self._pins: dict[Pin, int] = {}
        self._sequence = 0
        self._since_ms = now_ms

    def count(self, unit: Unit) -> None:
        """Count one request that was routed by this unit."""
        if isinstance(unit, Pin):
            self._pins[unit] = self._pins.get(unit, 0) + 1
        else:
            self._buckets[unit] += 1

    def report(
        self,
        sender: Sender,
        service_name: ServiceName,
        hot_counts: Iterable[tuple[str, int]],
        now_ms: int,
        max_units: int = MAX_UNITS_PER_REPORT,
    ) -> LoadReport:
        """Return the largest counts since they were last reported, and begin them again at 0.

        Counts that do not fit stay and grow until they do, so no unit is left out for good.
        `hot_counts` are the keys and counts of HotKeyFinder.take_window.
        """
        window_ms = max(1, now_ms - self._since_ms)
        self._since_ms = now_ms
        self._sequence += 1
        per_s = 1000.0 / window_ms
        return LoadReport(
            sender=sender,
            service_name=service_name,
            sequence=self._sequence,
            window_ms=window_ms,
            loads=[UnitLoad(unit_id(u), n * per_s) for u, n in self._take_largest(max_units)],
            hot_keys=[
                UnitLoad(UnitId(kind=UnitKind.EXACT, key=key), count * per_s)
                for key, count in hot_counts
            ],
        )

    def _take_largest(self, max_units: int) -> list[tuple[Unit, int]]:
        counted: list[tuple[Unit, int]] = [(u, n) for u, n in enumerate(self._buckets) if n]
        counted += self._pins.items()
        largest = nlargest(max_units, counted, key=lambda entry: entry[1])
        for unit, _ in largest:
            if isinstance(unit, Pin):
                del self._pins[unit]
            else:
                self._buckets[unit] = 0
        return largest


class LoadMerger:
    """Sum the reports of all routers in decayed counters.

    Reports carry counts and not totals, so their order does not matter, a lost report costs only
    its own counts, and the share of a silent router decays by itself. Memory does not grow with the
    number of routers.
    """

    def __init__(self, hash_buckets: int, half_life_ms: int, max_pins: int, now_ms: int) -> None:
        self._half_life_ms = half_life_ms
        self._max_hot_keys = max_pins * HOT_KEYS_PER_PIN
        self._buckets = DecayingArray(hash_buckets, half_life_ms, now_ms)
        self._pins = DecayingDict[Pin](half_life_ms, now_ms)
        self._hot_keys = DecayingDict[str](half_life_ms, now_ms)
        self._windows: dict[tuple[str, str], SequenceWindow] = {}
        self._start_ms = now_ms
        self._last_report_ms: int | None = None

    def merge(self, report: LoadReport, now_ms: int) -> bool:
        """Add a report; return False if it was merged before, is too late or has no sane window."""
        if not 0 < report.window_ms <= FORGET_HALF_LIVES * self._half_life_ms:
            return False
        source = (report.sender.node_id, report.sender.incarnation)
        window = self._windows.setdefault(source, SequenceWindow())
        behind = window.accept(report.sequence, now_ms)
        if behind is None:
            return False
        for counters in (self._buckets, self._pins, self._hot_keys):
            counters.clock.cover(now_ms - report.window_ms)
        seconds = report.window_ms / 1000.0
        # A report that was overtaken covers an earlier window; its counts are older.
        middle_ms = now_ms - report.window_ms // 2 - behind * report.window_ms
        for load in report.loads:
            self._add(load.unit, load.requests_per_s * seconds, middle_ms)
        for load in report.hot_keys:
            if load.unit.key is not None and _is_count(load.requests_per_s):
                self._hot_keys.add(load.unit.key, load.requests_per_s * seconds, middle_ms)
        self._last_report_ms = now_ms
        return True

    def snapshot(self, now_ms: int) -> LoadSnapshot:
        """Return the present rates for the planner."""
        self._forget(now_ms)
        return LoadSnapshot(
            bucket_rates=self._buckets.rates(now_ms),
            pin_rates=self._pins.rates(now_ms),
            hot_keys=[HotKey(k, rate) for k, rate in self._hot_keys.rates(now_ms).items()],
            age_ms=self._age_ms(now_ms),
        )

    def apply(self, moves: Iterable[Move], now_ms: int) -> None:
        """Carry the load of keys between buckets and pins as a written plan does.

        Otherwise a new pin would look cold and its bucket hot until the counters had decayed, and
        the next plans would undo the pin.
        """
        for move in moves:
            unit = move.unit
            if not isinstance(unit, Pin):
                continue
            if move.removes_pin:
                rate = self._pins.remove(unit, now_ms)
                self._shift_bucket(unit, rate, now_ms)
            elif unit not in self._pins:
                self._shift_bucket(unit, -move.load, now_ms)
                self._pins.set_rate(unit, move.load, now_ms)

    def _age_ms(self, now_ms: int) -> int:
        """Return the age of the newest report.

        A controller that has just taken its role has heard only some routers. What it has merged
        so far is not the load, so until one half-life has passed the load counts as unknown.
        """
        if self._last_report_ms is None or now_ms - self._start_ms < self._half_life_ms:
            return UNKNOWN_AGE_MS
        return now_ms - self._last_report_ms

    def _shift_bucket(self, pin: Pin, rate: float, now_ms: int) -> None:
        if pin.kind == UnitKind.EXACT:
            self._buckets.shift(bucket_of(pin.key, len(self._buckets)), rate, now_ms)

    def _add(self, unit: UnitId, count: float, now_ms: int) -> None:
        if not _is_count(count):
            return
        if unit.kind != UnitKind.HASH_BUCKET:
            if unit.key is not None:
                self._pins.add(Pin(UnitKind(unit.kind), unit.key), count, now_ms)
        elif unit.bucket is not None and 0 <= unit.bucket < len(self._buckets):
            self._buckets.add(unit.bucket, count, now_ms)

    def _forget(self, now_ms: int) -> None:
        before_ms = now_ms - FORGET_HALF_LIVES * self._half_life_ms
        self._windows = {
            source: window
            for source, window in self._windows.items()
            if window.last_accepted_ms >= before_ms
        }
        self._hot_keys.keep_largest(self._max_hot_keys)
        for pin, rate in self._pins.rates(now_ms).items():
            if rate < LEAST_PIN_RATE:
                self._pins.remove(pin, now_ms)


def _is_count(value: float) -> bool:
    """Tell whether a reported number may be added; one NaN would make every later sum NaN."""
    return math.isfinite(value) and value >= 0.0
