"""List the permitted range of each number in the settings."""

from dataclasses import dataclass

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import (
    AdmissionSettings,
    AuditSettings,
    ConcurrencySettings,
    DisseminationSettings,
    EjectionSettings,
    NodeSettings,
    OwnershipSettings,
    PlacementSettings,
    PlatformSettings,
    RetrySettings,
    ServiceSettings,
    Settings,
)

__all__ = ["LEVELS", "LOG_FORMATS", "NAME_PATTERN", "RANGES", "Range"]

LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
LOG_FORMATS = ("json", "text")
# Names become parts of row keys and URL paths, so they hold no slash, percent sign or space.
NAME_PATTERN = "[a-z0-9][a-z0-9-]*"


@dataclass(frozen=True)
class Range:
    """Hold the lowest and the highest permitted value."""

    low: float
    high: float
    unit: str = ""
    whole: bool = True

    def __str__(self) -> str:
        kind = "a whole number" if self.whole else "a number"
        unit = f" {self.unit}" if self.unit else ""
        return f"{kind} from {self.low:_} to {self.high:_}{unit}".replace("_", " ")


_HOUR_MS = 3_600_000
_GIB = 1 << 30
_PORT = Range(1, 65_535)
_WEIGHT = Range(0, 1000, whole=False)
_WAIT = Range(1, _HOUR_MS, "ms")

RANGES: dict[type, dict[str, Range]] = {
    Settings: {"graceful_stop_ms": Range(0, _HOUR_MS, "ms")},
    Address: {"port": _PORT},
    NodeSettings: {
        "router_port": _PORT,
        "router_rpc_port": _PORT,
        "router_admin_port": _PORT,
        "controller_rpc_port": _PORT,
        "controller_admin_port": _PORT,
        "router_gate_port": _PORT,
    },
    PlatformSettings: {"request_timeout_ms": _WAIT, "vm_list_poll_interval_ms": _WAIT},
    RetrySettings: {
        "budget_ratio": Range(0, 1, whole=False),
        "max_attempts": Range(1, 10),
        "backoff_base_ms": Range(0, 60_000, "ms"),
        "backoff_max_ms": Range(0, 60_000, "ms"),
        "hedge_after_ms": Range(0, 60_000, "ms"),
    },
    AdmissionSettings: {
        "priority": Range(0, 9),
        "max_queue_count": Range(1, 1_000_000),
        "max_queue_bytes": Range(1, _GIB, "bytes"),
        "share_percent": Range(1, 100, "%"),
    },
    ConcurrencySettings: {"min_limit": Range(1, 10_000), "max_limit": Range(1, 10_000)},
    EjectionSettings: {
        "failures_to_eject": Range(1, 1000),
        "base_ejection_ms": _WAIT,
        "max_ejection_ms": _WAIT,
        # 0 would let one router's view eject a whole failure domain.
        "min_available_percent": Range(1, 100, "%"),
        "slow_start_ms": Range(0, _HOUR_MS, "ms"),
    },
    PlacementSettings: {
        "imbalance_weight": _WEIGHT,
        "churn_weight": _WEIGHT,
        "unavailable_weight": _WEIGHT,
        "max_imbalance": Range(1, 10, whole=False),
        "max_moves_per_round": Range(1, 100_000),
        "round_interval_ms": _WAIT,
        "max_pins": Range(0, 100_000),
        "cold_start_ms": Range(0, _HOUR_MS, "ms"),
    },
    ServiceSettings: {
        "slots_per_instance": Range(1, 10_000),
        "connections_per_instance": Range(1, 100_000),
        "expected_instances": Range(1, 6500),
        # 64 buckets for each of 6,500 nodes round up to 2**19.
        "hash_buckets": Range(1, 1 << 19),
        "request_timeout_ms": _WAIT,
        "max_body_bytes": Range(1, _GIB, "bytes"),
        "handover_max_wait_ms": Range(1, 60_000, "ms"),
        "handover_max_count": Range(1, 1_000_000),
        "handover_max_bytes": Range(1, _GIB, "bytes"),
    },
    OwnershipSettings: {
        # A lost server's keys are served again within 2 s, so a lease ends well before that.
        "lease_ttl_ms": Range(100, 1500, "ms"),
        "renew_interval_ms": Range(10, 1500, "ms"),
        "renewers_per_server": Range(3, 5),
        "suspect_after_ms": Range(10, 1500, "ms"),
        "clock_drift_ppm": Range(0, 100_000, "ppm"),
        "table_writes_per_s": Range(1, 1000, "writes/s"),
        "role_silent_ms": Range(100, 60_000, "ms"),
        "release_timeout_ms": _WAIT,
    },
    DisseminationSettings: {
        "heartbeat_interval_ms": Range(10, 60_000, "ms"),
        "silent_after_ms": Range(10, _HOUR_MS, "ms"),
        "digest_interval_ms": Range(10, 60_000, "ms"),
        "fanout": Range(1, 64),
        "push_timeout_ms": Range(1, 3000, "ms"),
        # Fewer than 3 watchers would leave a member unwatched when two of them stop together.
        "heartbeat_peers": Range(3, 64),
        "mesh_max_members": Range(2, 64),
        "gone_after_ms": Range(10, _HOUR_MS, "ms"),
    },
    AuditSettings: {
        "buffer_max_records": Range(1, 1_000_000),
        "batch_max_records": Range(1, 100_000),
        "flush_interval_ms": _WAIT,
    },
}
