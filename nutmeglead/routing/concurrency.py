"""Limit the requests and connections that a router has at one server."""

import math
from typing import Protocol

from nutmeglead._generated.settings.ttypes import ConcurrencySettings, ServiceSettings
from nutmeglead.core.registry import Registry

__all__ = [
    "CONCURRENCY",
    "ConcurrencyLimit",
    "FixedShare",
    "GradientLimit",
    "LentShare",
    "SlotShares",
    "connection_share",
    "split_share",
]


class ConcurrencyLimit(Protocol):
    """Bound the requests in flight from this router to one server; pure."""

    def limit(self, now_ms: int, routers: int) -> int:
        """Return how many requests may be in flight; `routers` share the server at present."""
        ...

    def observe(self, latency_ms: float, ok: bool, in_flight: int) -> None:
        """Learn from one finished exchange; `ok` is False for a refusal or a failure."""
        ...


CONCURRENCY: Registry[type] = Registry("concurrency")


def split_share(total: int, parts: int, position: int) -> int:
    """Return one of `parts` shares of a total; all shares add up to exactly the total."""
    if not 0 <= position < parts:
        raise ValueError(f"position must be from 0 to {parts - 1}, got {position}")
    return total // parts + (1 if position < total % parts else 0)


def connection_share(service: ServiceSettings, routers: int) -> int:
    """Return how many connections one router may have open to one server.

    130 connections among 12 routers give 10 each; the remainder stays free for a router that
    replaces another one while the old connections are still open.
    """
    return max(1, int(service.connections_per_instance) // max(1, routers))


@CONCURRENCY.register("fixed")
class FixedShare:
    """Give each router the same part of the slots, but at least `min_limit`."""

    def __init__(self, service: ServiceSettings) -> None:
        self._settings = service.concurrency or ConcurrencySettings()
        self._slots = int(service.slots_per_instance)

    def limit(self, now_ms: int, routers: int) -> int:
        """Return the share."""
        share = math.ceil(self._slots / max(1, routers))
        return max(1, self._settings.min_limit, min(share, self._settings.max_limit))

    def observe(self, latency_ms: float, ok: bool, in_flight: int) -> None:
        """Learn nothing."""


# Latency may rise to 1.5 times its long-term mean before the limit falls: below that, the change
# is within the variation of the links between failure domains.
LATENCY_TOLERANCE = 1.5
LONG_GAIN = 0.02
SHORT_GAIN = 0.3
SMOOTHING = 0.2
REFUSAL_FACTOR = 0.7


@CONCURRENCY.register("gradient")
class GradientLimit:
    """Raise the limit while latency is steady; lower it as latency rises above its mean."""

    def __init__(self, service: ServiceSettings) -> None:
        settings = service.concurrency or ConcurrencySettings()
        self._slots = int(service.slots_per_instance)
        self._min = max(1, settings.min_limit)
        self._max = max(self._min, settings.max_limit)
        # The first limit is the fixed share; it is known when the limit is first asked for.
        self._limit = 0.0
        self._long_ms: float | None = None
        self._short_ms = 0.0

    def limit(self, now_ms: int, routers: int) -> int:
        """Return the present limit."""
        if not self._limit:
            self._set(math.ceil(self._slots / max(1, routers)))
        return int(self._limit)

    def observe(self, latency_ms: float, ok: bool, in_flight: int) -> None:
        """Adapt to one finished exchange."""
        if not ok:
            self._set(self._limit * REFUSAL_FACTOR)
            return
        latency_ms = max(latency_ms, 1.0)
        if self._long_ms is None:
            self._long_ms = self._short_ms = latency_ms
        self._short_ms += SHORT_GAIN * (latency_ms - self._short_ms)
        self._long_ms += LONG_GAIN * (latency_ms - self._long_ms)
        # After a slow phase the mean would stay high and hide the next rise.
        self._long_ms = min(self._long_ms, 2 * self._short_ms)
        gradient = max(0.5, min(1.0, LATENCY_TOLERANCE * self._long_ms / self._short_ms))
        target = self._limit * gradient + 1
        # An unused limit says nothing about how much the server could take.
        if target > self._limit and in_flight < self._limit / 2:
            return
        self._set(self._limit + SMOOTHING * (target - self._limit))

    def _set(self, value: float) -> None:
        self._limit = min(float(self._max), max(float(self._min), value))


@CONCURRENCY.register("lent")
class LentShare:
    """Use the router's own slots and those that others lend it.

    The router sets `shares` to the server's nutmeglead.routing.lending.SlotLedger.
    """

    def __init__(self, service: ServiceSettings) -> None:
        self.shares: SlotShares = _NoShares()

    def limit(self, now_ms: int, routers: int) -> int:
        """Return own slots minus those lent plus those borrowed."""
        return self.shares.share(now_ms)

    def observe(self, latency_ms: float, ok: bool, in_flight: int) -> None:
        """Learn nothing."""


class SlotShares(Protocol):
    """Tell how many of a server's slots a router may use."""

    def share(self, now_ms: int) -> int:
        """Return the number of slots."""
        ...


class _NoShares:
    def share(self, now_ms: int) -> int:
        return 0
