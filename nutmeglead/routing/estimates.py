"""Estimate service times from those measured."""

from collections.abc import Hashable
from dataclasses import dataclass

from nutmeglead.core.ids import ServiceName

__all__ = ["ServiceTimes", "SmoothedTime"]

# Gains of the smoothed mean and mean deviation. The smoothing is that of RFC 6298, but its gain of
# 1/4 for the deviation makes the estimate jump and refuses requests that have waited.
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.125
# RFC 6298 adds four mean deviations: a request started with only its mean time left would end in
# every second case with an unknown outcome.
DEVIATIONS = 4


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

    def mean_ms(self, service_name: ServiceName, server: Hashable) -> float:
        """Return the mean, which a request waits for each one ahead; 0 without any measurement."""
        smoothed = self._get(service_name, server)
        return smoothed.mean_ms if smoothed else 0.0

    def pace_ms(self, service_name: ServiceName, server: Hashable) -> float:
        """Return mean plus mean deviation, a cautious wait for each request ahead."""
        smoothed = self._get(service_name, server)
        return smoothed.mean_ms + smoothed.deviation_ms if smoothed else 0.0

    def bound_ms(self, service_name: ServiceName, server: Hashable) -> float:
        """Return what one request rarely exceeds; 0 without any measurement."""
        smoothed = self._get(service_name, server)
        return smoothed.mean_ms + DEVIATIONS * smoothed.deviation_ms if smoothed else 0.0

    def _get(self, service_name: ServiceName, server: Hashable) -> SmoothedTime | None:
        return self._servers.get(server) or self._services.get(service_name)
