"""Define the permitted names, log levels, log formats and ranges of numbers in the settings."""

from dataclasses import dataclass

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import BoundsSettings, NodeSettings, ServiceSettings

__all__ = ["LOG_LEVELS", "LOG_FORMATS", "NAME_PATTERN", "RANGES", "Range"]

LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
LOG_FORMATS = ("json", "text")
# Names become parts of row keys and URL paths, so a slash, percent sign or space is not permitted.
NAME_PATTERN = "[a-z0-9][a-z0-9-]*"


@dataclass(frozen=True)
class Range:
    """Define the lowest and highest permitted value of a number.

    `whole` only changes the description; the type of the field decides about fractions.
    """

    low: float
    high: float
    unit: str = ""
    whole: bool = True

    def __str__(self) -> str:
        kind = "a whole number" if self.whole else "a number"
        unit = f" {self.unit}" if self.unit else ""
        return f"{kind} from {self.low:_} to {self.high:_}{unit}".replace("_", " ")


_HOUR_MS = 3_600_000
_PORT = Range(1, 65_535)
_DURATION = Range(1, _HOUR_MS, "ms")

RANGES: dict[type, dict[str, Range]] = {
    Address: {"port": _PORT},
    NodeSettings: {
        "front_port": _PORT,
        "ready_port": _PORT,
        "peer_port": _PORT,
        "metrics_port": _PORT,
        "cpu_cores": Range(0.01, 1_000, whole=False),
    },
    BoundsSettings: {
        # A leaving server gets requests until 500 ms before the end of this time.
        "leave_ms": Range(1_000, 60_000, "ms"),
        # The load balancer takes 2.3 s to stop sending requests to a stopping node.
        "stop_grace_ms": Range(3_000, _HOUR_MS, "ms"),
        "retry_ratio": Range(0, 1, whole=False),
        "retry_window_ms": Range(1_000, _HOUR_MS, "ms"),
        "retry_base_count": Range(0, 1_000_000),
        # The hold of a grant lasts 1.2 s; a shorter hold would end before two renewals.
        "max_hold_ms": Range(1_200, _HOUR_MS, "ms"),
    },
    ServiceSettings: {
        "slots_per_instance": Range(1, 10_000),
        "connections_per_instance": Range(1, 100_000),
        "timeout_ms": _DURATION,
        "target_latency_ms": _DURATION,
        "priority": Range(0, 9),
        "max_servers_per_request": Range(1, 10),
        "cold_keys_ms": Range(0, _HOUR_MS, "ms"),
    },
}
