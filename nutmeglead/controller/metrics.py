"""Export what a controller does as Prometheus metrics."""

from collections import Counter as CountOf
from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from nutmeglead.controller.acting import ActingService
from nutmeglead.controller.activity import ServiceActivity, units_of_lost
from nutmeglead.controller.machine import ControllerMachine
from nutmeglead.core.ids import ServiceName
from nutmeglead.placement.model import MoveReason

__all__ = ["ControllerMetrics"]

# A key is served again within 2 s of a loss and a planned move takes some ten ms.
HANDOVER_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0)

# Values that only the acting controller knows; another one exports none for the service.
_ACTING_GAUGES = {
    "nutmeglead_units_pending": "Units whose previous holders are listed in the table",
    "nutmeglead_servers_lost": "Servers that answer no renewals",
    "nutmeglead_units_of_lost_servers": "Units that lost servers own until a page write moves them",
    "nutmeglead_placement_imbalance": "Load of the fullest server over the mean at the last plan",
    "nutmeglead_unserved_oldest_seconds": "Time for which the unit that waits longest has had no"
    " serving owner",
}


class ControllerMetrics:
    """Hold the metrics of one controller process."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self._acting = Gauge(
            "nutmeglead_controller_acting",
            "1 while this controller acts for the service",
            ["service"],
            registry=registry,
        )
        self._gauges = {
            name: Gauge(name, text, ["service"], registry=registry)
            for name, text in _ACTING_GAUGES.items()
        }
        self._moves = Counter(
            "nutmeglead_units_moved",
            "Units that this controller gave to another server, by reason",
            ["service", "reason"],
            registry=registry,
        )
        self._handovers = Histogram(
            "nutmeglead_handover_seconds",
            "Longest time without an owner per handed over unit, from the page write or the last"
            " sign of a lost server to the acknowledged grant",
            ["service"],
            buckets=HANDOVER_BUCKETS_S,
            registry=registry,
        )
        self._audit_waiting = Gauge(
            "nutmeglead_audit_waiting_records",
            "Audit records that the object store does not have yet",
            registry=registry,
        )
        self._exported_moves: dict[ServiceName, CountOf[MoveReason]] = {}

    def update(self, services: Iterable[ActingService], audit_waiting: int, now_ms: int) -> None:
        """Take over the present values."""
        self._audit_waiting.set(audit_waiting)
        for service in services:
            machine = service.machine
            self._acting.labels(service.name).set(machine is not None)
            self._export_activity(service)
            activity = service.activity
            values = {} if machine is None else _gauge_values(machine, activity, now_ms)
            for name, gauge in self._gauges.items():
                if name in values:
                    gauge.labels(service.name).set(values[name])
                else:
                    # A value from an earlier time in the role would contradict the acting node.
                    gauge.remove_by_labels({"service": service.name})

    def _export_activity(self, service: ActingService) -> None:
        exported = self._exported_moves.setdefault(service.name, CountOf())
        for reason, count in service.activity.moves.items():
            self._moves.labels(service.name, reason.name.lower()).inc(count - exported[reason])
            exported[reason] = count
        for duration_ms in service.activity.take_finished_ms():
            self._handovers.labels(service.name).observe(duration_ms / 1000)


def _gauge_values(
    machine: ControllerMachine, activity: ServiceActivity, now_ms: int
) -> dict[str, float]:
    lost = units_of_lost(machine)
    values: dict[str, float] = {
        "nutmeglead_units_pending": sum(1 for _ in machine.placer.unit_map.pending()),
        "nutmeglead_servers_lost": len(lost),
        "nutmeglead_units_of_lost_servers": sum(lost.values()),
        "nutmeglead_unserved_oldest_seconds": activity.oldest_ms(lost, now_ms) / 1000,
    }
    if machine.writer.imbalance is not None:
        values["nutmeglead_placement_imbalance"] = machine.writer.imbalance
    return values
