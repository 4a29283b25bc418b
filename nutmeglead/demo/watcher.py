"""Sample the backend stand-ins: who would serve a key, and for how long nobody would."""

import asyncio
from collections import defaultdict

from result import Ok

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead.demo.fleet import Backend, Fleet
from nutmeglead.demo.report import Counts
from nutmeglead.ownership.keys import Unit, bucket_shift, hash_key

__all__ = ["OwnerWatcher"]

SAMPLE_INTERVAL_MS = 10
KEYS_PER_SERVICE = 24


class OwnerWatcher:
    """Ask each stand-in's grant holder, by its own clock, which of some keys it would serve."""

    def __init__(self, fleet: Fleet, counts: Counts) -> None:
        self._fleet = fleet
        self._counts = counts
        self._keys: dict[str, list[str]] = {}
        self._shifts: dict[str, int] = {}
        for service in fleet.settings.services:
            if not service.checks_grants:
                # Its holders are the gates; the ledger of runs still shows two owners.
                continue
            self._keys[service.name] = [f"k{number}" for number in range(1, KEYS_PER_SERVICE + 1)]
            self._shifts[service.name] = bucket_shift(service.hash_buckets)
        self._served_ms: dict[tuple[str, str], int] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to sample; every key should have an owner from now on."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """End sampling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self._sample(self._fleet.clock.now_ms())
            await asyncio.sleep(SAMPLE_INTERVAL_MS / 1000)

    def _sample(self, now_ms: int) -> None:
        owners: dict[tuple[str, str], list[Backend]] = defaultdict(list)
        for backend in self._fleet.backends.values():
            for key in self._served_keys(backend, now_ms):
                owners[backend.service_name, key].append(backend)
        for service_name, keys in self._keys.items():
            for key in keys:
                place = (service_name, key)
                self._note(place, owners[place], now_ms)

    def _note(self, place: tuple[str, str], owners: list[Backend], now_ms: int) -> None:
        if len(owners) > 1:
            self._counts.two_owner_moments += 1
        if any(not owner.standin.is_frozen for owner in owners):
            self._served_ms[place] = now_ms
            return
        gap_ms = now_ms - self._served_ms.setdefault(place, now_ms)
        self._counts.longest_unavailable_ms = max(self._counts.longest_unavailable_ms, gap_ms)

    def _served_keys(self, backend: Backend, now_ms: int) -> list[str]:
        if backend.service_name not in self._keys:
            return []
        holder = backend.standin.holder
        if holder.lease_end_ms(now_ms) is None:
            return []
        granted = holder.granted()
        prefixes = [unit for unit in granted if unit.kind == UnitKind.PREFIX]
        shift = self._shifts[backend.service_name]
        served = []
        for key in self._keys[backend.service_name]:
            units = [Unit.of_key(key), Unit.of_bucket(hash_key(key) >> shift)]
            units += [unit for unit in prefixes if key.startswith(unit.key)]
            for epoch in {granted[unit] for unit in units if unit in granted}:
                admitted = holder.admit(key, epoch, now_ms)
                if isinstance(admitted, Ok):
                    holder.finish(admitted.ok_value)
                    served.append(key)
                    break
        return served
