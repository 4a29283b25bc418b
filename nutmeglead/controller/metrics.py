"""Export what a controller does as Prometheus metrics."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Gauge

from nutmeglead.controller.acting import ActingService

__all__ = ["ControllerMetrics"]


class ControllerMetrics:
    """Hold the gauges of one controller process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self._acting = Gauge(
            "nutmeglead_controller_acting",
            "1 while this controller acts for the service",
            ["service"],
            registry=registry,
        )
        self._pending = Gauge(
            "nutmeglead_units_pending",
            "Units whose previous holders are listed in the table",
            ["service"],
            registry=registry,
        )
        self._lost = Gauge(
            "nutmeglead_servers_lost",
            "Servers that answer no renewals",
            ["service"],
            registry=registry,
        )
        self._audit_waiting = Gauge(
            "nutmeglead_audit_waiting_records",
            "Audit records that the object store does not have yet",
            registry=registry,
        )

    def update(self, services: Iterable[ActingService], audit_waiting: int) -> None:
        """Take over the present values."""
        self._audit_waiting.set(audit_waiting)
        for service in services:
            machine = service.machine
            self._acting.labels(service.name).set(machine is not None)
            if machine is None:
                continue
            pending = sum(1 for _ in machine.placer.unit_map.pending())
            lost = sum(lease.is_lost for lease in machine.leases.servers.values())
            self._pending.labels(service.name).set(pending)
            self._lost.labels(service.name).set(lost)
