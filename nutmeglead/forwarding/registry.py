"""Keep the records of the servers that the store lists."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace
from types import MappingProxyType

from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName
from nutmeglead.forwarding.addresses import AddressHolder, ServerAddresses
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord, ServerState
from nutmeglead.scheduling.evacuation import EvacuationChanges, EvacuationRow, Evacuations
from nutmeglead.scheduling.warmup import Warmups

__all__ = ["ServerRegistry"]

# Time for which records of removed servers are kept: orders to them still need their address.
REMOVED_RECORD_RETENTION_MS = 20_000
# Time for which an announcement of a server without an entry is kept; an outage of the store, in
# which entries lapse, may be long.
ANNOUNCEMENT_RETENTION_MS = 600_000
# Entries that expired during a store outage are listed again within this time of the store's return
# (a rule of the platform).
OUTAGE_RECOVERY_GRACE_MS = 2_000


class ServerRegistry:
    """Hold the current record of each server; listeners are called after each change.

    `first_seen_ms` holds the time at which each incarnation was listed first, and `evacuations`
    the failure domains whose servers get no new work, `warmups` the servers that are warming up,
    `addresses` those at whose addresses another server has answered.
    """

    def __init__(self) -> None:
        self._records: dict[ServerId, ServerRecord] = {}
        self._removed: dict[ServerIncarnation, tuple[int, ServerRecord]] = {}
        # Since when each listed server that is leaving can have announced it at the earliest.
        self._leaving_since_ms: dict[ServerIncarnation, int] = {}
        # Servers that have stated themselves that they are leaving, with the time of their answer.
        self._announced_ms: dict[ServerIncarnation, int] = {}
        # Servers whose entries say that they are leaving.
        self._listed_leaving: set[ServerIncarnation] = set()
        # Servers that want no requests of this node, with the end of that time.
        self._backoff_until_ms: dict[ServerIncarnation, int] = {}
        # Servers missing since a store outage, with the time of the update that left them out.
        self._missing_after_outage: dict[ServerId, int] = {}
        self._listeners: list[Callable[[], None]] = []
        self.first_seen_ms: dict[ServerIncarnation, int] = {}
        self.evacuations = Evacuations()
        self.warmups = Warmups()
        self.addresses = ServerAddresses()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a function that is called after each change."""
        self._listeners.append(listener)

    def apply(
        self,
        changed: Iterable[ServerRecord],
        removed: Iterable[ServerId],
        now_ms: int,
        after_outage: bool = False,
        changed_ms: Mapping[ServerId, int] = MappingProxyType({}),
        entry_versions: Mapping[ServerId, int] = MappingProxyType({}),
    ) -> None:
        """Enter changed records and remove others.

        `changed_ms` holds since when a record can have changed at the earliest; others change now.
        `entry_versions` holds the versions of the servers' rows.

        After a store outage, removal waits until `expire` finds that the entry has not been listed
        again within `OUTAGE_RECOVERY_GRACE_MS`.
        """
        for record in changed:
            self._missing_after_outage.pop(record.server_id, None)
            since_ms = changed_ms.get(record.server_id, now_ms)
            self._update_leaving_since(self._put_record(record, now_ms), since_ms)
            version = entry_versions.get(record.server_id, 0)
            self.warmups.apply_entry(record.incarnation, record.warmup_left_ms, version, since_ms)
        for server_id in removed:
            if after_outage and server_id in self._records:
                self._missing_after_outage.setdefault(server_id, now_ms)
            else:
                self._remove_record(server_id, now_ms)
        self._notify()

    def _update_leaving_since(self, record: ServerRecord, changed_ms: int) -> None:
        if record.state is ServerState.LEAVING:
            since_ms = min(changed_ms, self._announced_ms.get(record.incarnation, changed_ms))
            self._leaving_since_ms.setdefault(record.incarnation, since_ms)
        else:
            self._leaving_since_ms.pop(record.incarnation, None)

    def apply_evacuations(
        self, rows: Iterable[EvacuationRow], is_snapshot: bool
    ) -> EvacuationChanges:
        """Follow changed evacuations of failure domains; return what has changed."""
        changes = self.evacuations.apply(rows, is_snapshot)
        if changes.began or changes.ended:
            self._notify()
        return changes

    def count_servers_in(self, domain: FailureDomainName) -> int:
        """Return the number of listed servers of a failure domain."""
        return sum(record.failure_domain == domain for record in self._records.values())

    def announce_leaving(self, incarnation: ServerIncarnation, now_ms: int) -> bool:
        """Treat a server as leaving, whatever its entry says; return whether that is new.

        It ends with a newer incarnation, or when an entry that said the same says ready again. It
        stands while the server has no entry, since the entry may only have lapsed in an outage.
        """
        if incarnation in self._announced_ms or self.is_superseded(incarnation):
            return False
        self._announced_ms[incarnation] = now_ms
        record = self._records.get(incarnation.server_id)
        if record is not None and record.incarnation == incarnation:
            self._records[incarnation.server_id] = replace(record, state=ServerState.LEAVING)
            self._leaving_since_ms.setdefault(incarnation, now_ms)
            self._notify()
        return True

    def announced_leaving(self, service: ServiceName) -> list[ServerIncarnation]:
        """Return the listed servers of a service that have stated that they are leaving."""
        return [
            incarnation
            for incarnation in self._announced_ms
            if (record := self._records.get(incarnation.server_id)) is not None
            and record.incarnation == incarnation
            and record.service == service
        ]

    def record_address(
        self, incarnation: ServerIncarnation, holder: AddressHolder, now_ms: int
    ) -> None:
        """Record which server has answered at the address of an incarnation."""
        if self.addresses.record(incarnation, holder, now_ms):
            self._notify()

    def back_off(self, incarnation: ServerIncarnation, until_ms: int) -> int:
        """Record until when a server wants no requests; return the latest such time."""
        until_ms = max(until_ms, self._backoff_until_ms.get(incarnation, 0))
        self._backoff_until_ms[incarnation] = until_ms
        return until_ms

    def backoff_until_ms(self, incarnation: ServerIncarnation) -> int:
        """Return until when a server wants no requests of this node, or 0.

        The time holds also if the server's entry has lapsed meanwhile.
        """
        return self._backoff_until_ms.get(incarnation, 0)

    def is_backing_off(self, incarnation: ServerIncarnation, now_ms: int) -> bool:
        """Return whether a server wants no requests of this node now."""
        return now_ms < self.backoff_until_ms(incarnation)

    def confirm_removals(self, now_ms: int) -> None:
        """Remove the servers whose entries went missing, since the store had no outage."""
        missing, self._missing_after_outage = self._missing_after_outage, {}
        for server_id in missing:
            self._remove_record(server_id, now_ms)
        if missing:
            self._notify()

    def expire(self, now_ms: int) -> None:
        """Remove servers that were not listed again after an outage, and old removed records."""
        expired = [
            missing_id
            for missing_id, since_ms in self._missing_after_outage.items()
            if now_ms - since_ms >= OUTAGE_RECOVERY_GRACE_MS
        ]
        for server_id in expired:
            del self._missing_after_outage[server_id]
            self._remove_record(server_id, now_ms)
        self._announced_ms = {
            incarnation: announced_ms
            for incarnation, announced_ms in self._announced_ms.items()
            if now_ms - announced_ms < ANNOUNCEMENT_RETENTION_MS
            or incarnation.server_id in self._records
        }
        if len(self.addresses):
            self.addresses.retain({record.incarnation for record in self._records.values()})
        self._backoff_until_ms = {
            incarnation: until_ms
            for incarnation, until_ms in self._backoff_until_ms.items()
            if now_ms < until_ms
        }
        self._removed = {
            incarnation: removed_entry
            for incarnation, removed_entry in self._removed.items()
            if now_ms - removed_entry[0] < REMOVED_RECORD_RETENTION_MS
        }
        if expired:
            self._notify()

    def ids(self) -> set[ServerId]:
        """Return the ids of all listed servers."""
        return set(self._records)

    def records(self, service: ServiceName) -> list[ServerRecord]:
        """Return the records of a service's listed servers, ready or leaving."""
        return [record for record in self._records.values() if record.service == service]

    def ready(self, service: ServiceName) -> dict[ServerIncarnation, ServerRecord]:
        """Return the records of a service's ready servers by incarnation."""
        return {
            record.incarnation: record
            for record in self._records.values()
            if record.service == service and record.state is ServerState.READY
        }

    def find(self, incarnation: ServerIncarnation) -> ServerRecord | None:
        """Return the record of an incarnation, listed or recently removed, or None."""
        record = self._records.get(incarnation.server_id)
        if record is not None and record.incarnation == incarnation:
            return record
        removed_entry = self._removed.get(incarnation)
        return None if removed_entry is None else removed_entry[1]

    def leaving_since_ms(self, incarnation: ServerIncarnation) -> int | None:
        """Return since when a listed server can have announced its leaving, or None."""
        return self._leaving_since_ms.get(incarnation)

    def missing_since_ms(self, server_id: ServerId) -> int | None:
        """Return when a listed server's entry went missing after a store outage, or None."""
        return self._missing_after_outage.get(server_id)

    def newest_record(self, incarnation: ServerIncarnation) -> ServerRecord | None:
        """Return the listed record of a server in any incarnation, or else what `find` returns."""
        return self._records.get(incarnation.server_id) or self.find(incarnation)

    def is_superseded(self, incarnation: ServerIncarnation) -> bool:
        """Return whether a later incarnation of the server is listed; it holds none of the keys."""
        record = self._records.get(incarnation.server_id)
        return record is not None and record.incarnation.started_ms > incarnation.started_ms

    def _put_record(self, record: ServerRecord, now_ms: int) -> ServerRecord:
        """Replace a server's record, unless the known one is of a later incarnation.

        Return the server's record in force.
        """
        known = self._records.get(record.server_id)
        if known is not None and known.incarnation != record.incarnation:
            if known.incarnation.started_ms > record.incarnation.started_ms:
                return known
            self._removed[known.incarnation] = (now_ms, known)
            self.warmups.forget(known.incarnation)
            self._leaving_since_ms.pop(known.incarnation, None)
            self._announced_ms.pop(known.incarnation, None)
            self._listed_leaving.discard(known.incarnation)
        self.first_seen_ms.setdefault(record.incarnation, now_ms)
        self._removed.pop(record.incarnation, None)
        record = self._with_announced_state(record)
        self._records[record.server_id] = record
        return record

    def _with_announced_state(self, record: ServerRecord) -> ServerRecord:
        """Return a listed record, as leaving if the server has announced that itself."""
        incarnation = record.incarnation
        if record.state is ServerState.LEAVING:
            self._listed_leaving.add(incarnation)
        elif incarnation in self._listed_leaving:
            self._listed_leaving.remove(incarnation)
            self._announced_ms.pop(incarnation, None)
        if incarnation in self._announced_ms:
            return replace(record, state=ServerState.LEAVING)
        return record

    def _remove_record(self, server_id: ServerId, now_ms: int) -> None:
        record = self._records.pop(server_id, None)
        if record is not None:
            self._removed[record.incarnation] = (now_ms, record)
            self.first_seen_ms.pop(record.incarnation, None)
            self.warmups.forget(record.incarnation)
            self._leaving_since_ms.pop(record.incarnation, None)
            self._listed_leaving.discard(record.incarnation)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
