"""Read and check the file of an emulated day."""

from pathlib import Path

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.emulator.ttypes import Day, DayFlow, DayService, DayTrouble
from nutmeglead._generated.settings.ttypes import (
    BoundsSettings,
    FailureDomain,
    LogSettings,
    NodeSettings,
    Settings,
)
from nutmeglead.emulator.cluster import STORE
from nutmeglead.emulator.troubles import TROUBLES
from nutmeglead.settings.checks import check_ranges, check_settings
from nutmeglead.settings.errors import Fault, FileUnreadable, SettingsFaults, describe_value
from nutmeglead.settings.loader import load_struct, read_text
from nutmeglead.settings.ranges import Range

__all__ = ["day_settings", "load_day"]

_MAX_DURATION_S = 600
_RANGES = {
    Day: {
        "duration_s": Range(1, _MAX_DURATION_S, "s", whole=False),
        "failure_domains": Range(1, 15),
        "entry_vms": Range(1, 200),
        "domain_delay_ms": Range(0, 1_000, "ms", whole=False),
        "client_delay_ms": Range(0, 1_000, "ms", whole=False),
    },
    DayService: {
        "servers": Range(1, 500),
        "work_ms": Range(1, 60_000, "ms", whole=False),
        "queue": Range(0, 1_000),
        "answer_bytes": Range(1, 10_000_000, "bytes"),
    },
    DayFlow: {
        "requests_per_s": Range(0.01, 100_000, whole=False),
        "time_limit_ms": Range(1, 600_000, "ms"),
        "target_latency_ms": Range(1, 600_000, "ms"),
        "retries": Range(0, 10),
        "keys": Range(1, 1_000_000),
        "hot_share": Range(0, 1, whole=False),
    },
    DayTrouble: {
        "at_s": Range(0, _MAX_DURATION_S, "s", whole=False),
        "for_s": Range(0, _MAX_DURATION_S, "s", whole=False),
        "count": Range(1, 500),
        "factor": Range(0.01, 100, whole=False),
    },
}


def day_settings(day: Day) -> Settings:
    """Return the settings of a day's entry VMs; the node settings are a placeholder."""
    domains = [FailureDomain(f"zone-{number}", "default") for number in range(day.failure_domains)]
    return Settings(
        "emulator",
        NodeSettings("entry", "10.1.0.0", domains[0].name),
        Address(STORE.ip, STORE.port),
        domains,
        [service.settings for service in day.services],
        BoundsSettings(),
        LogSettings(),
    )


def load_day(path: Path) -> Result[Day, SettingsFaults | FileUnreadable]:
    """Return the day in a file, all faults of the file, or why it cannot be read."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    loaded = load_struct(text.ok_value, Day, str(path))
    if isinstance(loaded, Err):
        return loaded
    faults = _check(loaded.ok_value)
    return Err(SettingsFaults(str(path), faults)) if faults else Ok(loaded.ok_value)


def _check(day: Day) -> tuple[Fault, ...]:
    faults = [*check_ranges(day, _RANGES)]
    if day.services:
        faults += check_settings(day_settings(day))
    names = [service.settings.name for service in day.services]
    service_references = [
        (f"flows[{n}].service_name", flow.service_name) for n, flow in enumerate(day.flows)
    ]
    for position, trouble in enumerate(day.troubles or []):
        if trouble.kind not in TROUBLES.names():
            expected = "one of " + ", ".join(TROUBLES.names())
            faults.append(
                Fault(f"troubles[{position}].kind", expected, describe_value(trouble.kind))
            )
        if trouble.service_name is not None:
            service_references.append((f"troubles[{position}].service_name", trouble.service_name))
    for path, name in service_references:
        if name not in names:
            expected = "one of " + ", ".join(names)
            faults.append(Fault(path, expected, describe_value(name)))
    return tuple(sorted(faults, key=lambda fault: fault.path))
