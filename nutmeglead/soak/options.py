"""Options of a soak run."""

from dataclasses import dataclass

from nutmeglead.soak.faults import DEFAULT_FAULTS

__all__ = ["SoakOptions"]


@dataclass(frozen=True)
class SoakOptions:
    """Set the size of a run and the duration and rate of its faults."""

    entries: int = 5
    servers: int = 4
    fault_s: float = 25.0
    # Mean time between the starts of two faults; faults may overlap.
    mean_interval_s: float = 1.2
    # Third part of the entry programs' loopback addresses; concurrent runs need others.
    net: int = 1
    # Names of the faults to draw from.
    faults: tuple[str, ...] = DEFAULT_FAULTS
    # Requests that a caller of each entry program keeps outstanding on its connection.
    pipeline_depth: int = 3
    # Callers of each entry program that keep a connection until the process ends it.
    kept_connections: int = 3
    work_ms: float = 20.0
