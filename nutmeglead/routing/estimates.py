"""Estimate service times from those measured."""

from collections.abc import Hashable
from dataclasses import dataclass

from nutmeglead.core.ids import ServiceName

__all__ = ["ServiceTimes", "SmoothedTime"]

# Gains of the smoothed mean and mean deviation, as in RFC 6298: 1/8 and 1/4.
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25


@dataclass
class SmoothedTime:
    """Smooth samples into a mean and a mean deviation."""

    mean_ms: float
    deviation_ms: float = 0.0

    def observe(self, sample_ms: float) -> None:
        """Add a sample."""
        error_ms = sample_ms - self.mean_ms
        self.deviation_ms += DEVIATION_GAIN * (abs(error_ms) - self.deviation_ms)
        self.mean_ms += MEAN_GAIN * error_ms


class ServiceTimes:
    """Keep smoothed service times per server, and per service for servers not measured yet."""

    def __init__(self) -> None:
        self._servers: dict[Hashable, SmoothedTime] = {}
        self._services: dict[ServiceName, SmoothedTime] = {}

    def observe(self, service_name: ServiceName, server: Hashable, sample_ms: float) -> None:
        """Add a measured time from the start of the exchange to its end."""
        self._servers.setdefault(server, SmoothedTime(sample_ms)).observe(sample_ms)
        self._services.setdefault(service_name, SmoothedTime(sample_ms)).observe(sample_ms)

    def expected_ms(self, service_name: ServiceName, server: Hashable) -> float:
        """Return mean plus mean deviation, or 0 without any measurement."""
        smoothed = self._servers.get(server) or self._services.get(service_name)
        if smoothed is None:
            return 0.0
        return smoothed.mean_ms + smoothed.deviation_ms
