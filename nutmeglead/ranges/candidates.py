"""Determine which servers of a service may own key ranges, and the capacity of each."""

import logging
from collections.abc import Iterable, Mapping

from nutmeglead._generated.peers.ttypes import OrderReport
from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import ServiceName
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord, ServerState
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.peers.codec import decode_keys, server_tag
from nutmeglead.ranges.balance import ServerCapacity
from nutmeglead.ranges.health import HolderHealth
from nutmeglead.ranges.model import RangeMap
from nutmeglead.ranges.moves import MoveReason
from nutmeglead.ranges.speed import ServerSpeeds

__all__ = ["OwnerCandidates"]

logger = logging.getLogger(__name__)

# Ratio of a server's service time during its warm-up to the time after it.
COLD_FACTOR = 2.0


class OwnerCandidates:
    """Track the health and the service times of one service's servers."""

    def __init__(self, service: ServiceName, registry: ServerRegistry, clock: Clock) -> None:
        self.health = HolderHealth()
        self._speeds = ServerSpeeds()
        self._service = service
        self._registry = registry
        self._clock = clock
        self._lost: set[ServerIncarnation] = set()

    def ready(self) -> dict[ServerIncarnation, ServerRecord]:
        """Return the servers whose state is ready, including those that count as lost."""
        return self._registry.ready(self._service)

    def usable(self) -> dict[ServerIncarnation, ServerCapacity]:
        """Return the ready servers that are not lost, with their capacities in requests/s.

        Those of evacuated failure domains are left out. Log an event for each server that is
        newly lost.
        """
        now_ms = self._clock.now_ms()
        ready = self.ready()
        lost = {incarnation for incarnation in ready if self._is_lost(incarnation, now_ms)}
        for incarnation in lost - self._lost:
            log_event(
                logger, Event.SERVER_LOST, service=self._service, server=incarnation.server_id
            )
        self._lost = lost
        return {
            incarnation: self._capacity(record, now_ms)
            for incarnation, record in ready.items()
            if incarnation not in lost
            and not self._registry.evacuations.is_evacuated(record.failure_domain)
        }

    def _is_lost(self, incarnation: ServerIncarnation, now_ms: int) -> bool:
        """Return whether a server does not answer, or another one has its address."""
        has_lost_address = self._registry.addresses.is_lost(incarnation)
        return has_lost_address or self.health.is_lost(incarnation, now_ms)

    def departures(
        self, owners: Iterable[ServerIncarnation | None]
    ) -> dict[ServerIncarnation | None, MoveReason]:
        """Return those of some owners that are not usable whose keys are to move now, and why.

        They are lost, leaving, or evacuated and in a group whose turn it is. Ranks are those among
        all evacuated servers, so that groups stay the same while owners lose their keys.
        """
        owners = list(owners)
        if not owners:
            return {}
        now_ms, evacuations = self._clock.now_ms(), self._registry.evacuations
        evacuated = {
            incarnation: record.failure_domain
            for incarnation, record in sorted(self.ready().items())
            if evacuations.is_evacuated(record.failure_domain) and incarnation not in self._lost
        }
        ranks = {incarnation: rank for rank, incarnation in enumerate(evacuated)}
        reasons: dict[ServerIncarnation | None, MoveReason] = {}
        for owner in owners:
            if owner is None or owner not in evacuated:
                reasons[owner] = self._orphan_reason(owner)
            elif evacuations.is_departure_due(evacuated[owner], ranks[owner], len(ranks), now_ms):
                reasons[owner] = MoveReason.EVACUATION
        return reasons

    def evacuated_keys(self, ranges: RangeMap) -> int:
        """Return the number of keys in a map whose owners are in evacuated failure domains."""
        evacuations = self._registry.evacuations
        count = 0
        for entry in ranges:
            record = None if entry.owner is None else self._registry.find(entry.owner)
            if record is not None and evacuations.is_evacuated(record.failure_domain):
                count += entry.size
        return count

    def _orphan_reason(self, owner: ServerIncarnation | None) -> MoveReason:
        """Return why a range's owner is not usable: it is leaving or lost."""
        record = None if owner is None else self._registry.find(owner)
        is_leaving = record is not None and record.state is ServerState.LEAVING
        return MoveReason.SERVER_LEAVING if is_leaving else MoveReason.SERVER_LOST

    def add_samples(self, samples: Mapping[int, tuple[int, float]]) -> None:
        """Add the number and mean service time of each server's answers to a node.

        `samples` maps server tags to these two figures.
        """
        now_ms = self._clock.now_ms()
        for tag, (count, mean_ms) in samples.items():
            self._speeds.add(tag, count, mean_ms, now_ms)
        for record in self._registry.records(self._service):
            if server_tag(record.server_id) in samples:
                self.health.on_answer(record.incarnation, now_ms)

    def apply_report(self, report: OrderReport) -> None:
        """Record which servers answered, failed or refused another node's grants."""
        now_ms = self._clock.now_ms()
        incarnations = {
            server_tag(record.server_id): record.incarnation
            for record in self._registry.records(self._service)
        }
        for tag in decode_keys(report.answered):
            if tag in incarnations:
                self.health.on_answer(incarnations[tag], now_ms)
        for tags, is_refused in ((report.failed, False), (report.refused, True)):
            for tag in decode_keys(tags):
                if tag in incarnations:
                    self.health.on_failure(incarnations[tag], is_refused, now_ms)

    def _capacity(self, record: ServerRecord, now_ms: int) -> ServerCapacity:
        """Return a server's capacity; few keys go to one that is warming up with a limit."""
        warmups, server = self._registry.warmups, record.incarnation
        capacity = record.slots * 1000 / self._service_time_ms(record, now_ms)
        return ServerCapacity(
            warmups.key_capacity(self._service, server, capacity, now_ms),
            warmups.is_limited(self._service, server, now_ms),
            wants_keys=self._service in warmups.warming_services,
        )

    def _service_time_ms(self, record: ServerRecord, now_ms: int) -> float:
        """Return a server's expected service time, longer while the server warms up."""
        time_ms = self._speeds.expected_time_ms(server_tag(record.server_id), now_ms)
        is_cold = now_ms < self._registry.warmups.until_ms(record.incarnation)
        return time_ms * COLD_FACTOR if is_cold else time_ms
