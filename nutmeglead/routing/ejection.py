"""Reduce the load of failing servers in steps, above a floor, and return them slowly."""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from nutmeglead._generated.settings.ttypes import EjectionSettings
from nutmeglead.core.ids import FailureDomainName, ServerId
from nutmeglead.core.registry import Registry

__all__ = ["EJECTION", "EjectionPolicy", "NoEjection", "StepwiseEjection"]

# Share of its normal load that a server gets after one, two and three rounds of failures. The last
# step is an ejection; the floor may hold a server at FLOOR_SHARE instead.
STEPS = (1.0, 0.5, 0.25, 0.0)
FLOOR_SHARE = 0.25
# A returning server starts with a tenth of its load, because its caches are cold.
SLOW_START_SHARE = 0.1


class EjectionPolicy(Protocol):
    """Tell how much of its normal load a server gets; pure, `now_ms` is always an argument."""

    def set_servers(self, domains: Mapping[ServerId, FailureDomainName]) -> None:
        """Replace the known servers and their failure domains."""
        ...

    def record(self, server_id: ServerId, ok: bool, now_ms: int) -> None:
        """Count one finished exchange."""
        ...

    def share(self, server_id: ServerId, now_ms: int) -> float:
        """Return the part of its normal load, from 0 (ejected) to 1."""
        ...


EJECTION: Registry[type] = Registry("ejection")


@dataclass
class _Health:
    failures: int = 0
    step: int = 0
    ejections: int = 0
    ejected_until_ms: int | None = None
    returned_ms: int | None = None


@EJECTION.register("stepwise")
class StepwiseEjection:
    """Lower a server by one step per `failures_to_eject` consecutive failures."""

    def __init__(self, settings: EjectionSettings) -> None:
        self._settings = settings
        self._domains: dict[ServerId, FailureDomainName] = {}
        self._health: dict[ServerId, _Health] = {}

    def set_servers(self, domains: Mapping[ServerId, FailureDomainName]) -> None:
        """Replace the known servers; those that remain keep their state."""
        self._domains = dict(domains)
        self._health = {s: h for s, h in self._health.items() if s in self._domains}

    def record(self, server_id: ServerId, ok: bool, now_ms: int) -> None:
        """Count one finished exchange."""
        health = self._health.setdefault(server_id, _Health())
        self._end_ejection(health, now_ms)
        if ok:
            health.failures = 0
            if health.ejected_until_ms is None:
                health.step = max(0, health.step - 1)
                health.ejections = 0 if self._is_warm(health, now_ms) else health.ejections
            return
        health.failures += 1
        if health.failures >= self._settings.failures_to_eject:
            health.failures = 0
            self._lower(server_id, health, now_ms)

    def _lower(self, server_id: ServerId, health: _Health, now_ms: int) -> None:
        last_step = len(STEPS) - 1
        if health.step < last_step - 1:
            health.step += 1
            return
        if health.ejected_until_ms is not None or not self._may_eject(server_id, now_ms):
            return
        health.step = last_step
        duration_ms = self._settings.base_ejection_ms * 2**health.ejections
        health.ejections += 1
        health.ejected_until_ms = now_ms + min(duration_ms, self._settings.max_ejection_ms)

    def _may_eject(self, server_id: ServerId, now_ms: int) -> bool:
        """Tell whether enough servers of the failure domain stay in use.

        One router's view may be wrong about a whole failure domain, for example if only its own
        links to it are lossy. The floor of each domain keeps the floor over all servers too.
        """
        domain = self._domains.get(server_id)
        if domain is None:
            return False
        in_domain = [s for s, d in self._domains.items() if d == domain]
        return self._keeps_floor(in_domain, now_ms)

    def _keeps_floor(self, servers: list[ServerId], now_ms: int) -> bool:
        ejected = sum(1 for server_id in servers if self._is_ejected(server_id, now_ms))
        floor = math.ceil(len(servers) * self._settings.min_available_percent / 100)
        return len(servers) - ejected - 1 >= max(1, floor)

    def _is_ejected(self, server_id: ServerId, now_ms: int) -> bool:
        health = self._health.get(server_id)
        if health is None:
            return False
        self._end_ejection(health, now_ms)
        return health.ejected_until_ms is not None

    def _end_ejection(self, health: _Health, now_ms: int) -> None:
        if health.ejected_until_ms is not None and health.ejected_until_ms <= now_ms:
            health.returned_ms = health.ejected_until_ms
            health.ejected_until_ms = None
            # One more round of failures ejects the server again.
            health.step = len(STEPS) - 2

    def _is_warm(self, health: _Health, now_ms: int) -> bool:
        if health.returned_ms is None:
            return True
        return now_ms - health.returned_ms >= self._settings.slow_start_ms

    def share(self, server_id: ServerId, now_ms: int) -> float:
        """Return the part of its normal load, from 0 (ejected) to 1."""
        health = self._health.get(server_id)
        if health is None:
            return 1.0
        self._end_ejection(health, now_ms)
        if health.ejected_until_ms is not None:
            return 0.0
        ramp = self._ramp(health, now_ms)
        return max(min(FLOOR_SHARE, ramp), STEPS[health.step] * ramp)

    def _ramp(self, health: _Health, now_ms: int) -> float:
        """Return the slow start's linear rise from SLOW_START_SHARE to 1."""
        if health.returned_ms is None or self._is_warm(health, now_ms):
            return 1.0
        progress = (now_ms - health.returned_ms) / self._settings.slow_start_ms
        return SLOW_START_SHARE + (1 - SLOW_START_SHARE) * progress


@EJECTION.register("none")
class NoEjection:
    """Send every server its full load; the naive baseline."""

    def __init__(self, settings: EjectionSettings) -> None:
        pass

    def set_servers(self, domains: Mapping[ServerId, FailureDomainName]) -> None:
        """Ignore the servers."""

    def record(self, server_id: ServerId, ok: bool, now_ms: int) -> None:
        """Ignore the result."""

    def share(self, server_id: ServerId, now_ms: int) -> float:
        """Return 1."""
        return 1.0
