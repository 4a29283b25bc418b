"""Follow the tickets in the store, and report what keeps the newest one from being in force."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from result import Err

from nutmeglead._generated.peers.ttypes import TicketStatus
from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead._generated.tickets.ttypes import Ticket
from nutmeglead.core.codec import decode
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import ServerId, ServiceName
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.lost_tickets import LostTickets
from nutmeglead.forwarding.model import ServerState
from nutmeglead.platform.store import StoreRows
from nutmeglead.tickets.interface import build_manifest, pins_of, server_records
from nutmeglead.tickets.rows import ITEM_PREFIX, TICKETS_TABLE
from nutmeglead.tickets.state import DesiredState, apply_tickets

if TYPE_CHECKING:
    from nutmeglead.entry.process import EntryProcess

__all__ = ["TicketFeed"]

logger = logging.getLogger(__name__)

TICKETS_SETTLE_MS = 50


class TicketFeed:
    """Apply the tickets' item rows to the server registry and to the range controllers."""

    def __init__(self, settings: Settings, process: EntryProcess) -> None:
        self.state = DesiredState()
        self._manifest = build_manifest(settings)
        self._services: dict[ServiceName, ServiceSettings] = {
            ServiceName(service.name): service for service in settings.services
        }
        self._process = process
        # The part of a ticket in each item row, by row key; the last ticket that changed an item
        # wrote its row.
        self._item_parts: dict[str, Ticket] = {}
        self._lost_tickets = LostTickets()
        # The keys of item rows that a restored store lacks.
        self._lost_items: set[str] = set()

    def begin(self) -> None:
        """Apply the manifest that is built from the settings, and start its controllers."""
        self._process.forwarder.apply_manifest(self._manifest)
        self._process.start_controllers()

    def tables(self) -> list[FollowedTable]:
        """Return the tickets table."""
        return [FollowedTable(TICKETS_TABLE, self.apply, TICKETS_SETTLE_MS)]

    def apply(self, rows: StoreRows, is_snapshot: bool, after_outage: bool) -> None:
        """Apply changed item rows; log one that cannot be decoded and keep its item as it was.

        Tickets never remove a row. One that the restored store lacks stays in force on this node
        until its item is written again, as an accepted ticket must not revert.
        """
        self._lost_tickets.record(rows.rows)
        if is_snapshot:
            lost = self._lost_items.intersection(self._item_parts)
            self._item_parts = {key: self._item_parts[key] for key in lost}
        for row in rows.rows:
            if not row.key.startswith(ITEM_PREFIX):
                continue
            if row.value is None:
                self._lost_items.add(row.key)
                continue
            self._lost_items.discard(row.key)
            decoded = decode(Ticket, row.value)
            if isinstance(decoded, Err) or decoded.ok_value.number is None:
                log_event(logger, Event.TICKET_UNREADABLE, row=row.key)
                continue
            self._item_parts[row.key] = decoded.ok_value
        self._apply_state(apply_tickets(self._item_parts.values()))

    def _apply_state(self, state: DesiredState) -> None:
        if state == self.state:
            return
        self.state = state
        registry = self._process.registry
        records = server_records(state, self._services)
        removed = registry.ids() - {record.server_id for record in records}
        registry.apply(records, removed, self._process.clock.now_ms())
        for name, controller in self._process.controllers.items():
            controller.pins = pins_of(state.service(name))
        log_event(logger, Event.TICKET_FOLLOWED, ticket=state.number, servers=len(records))

    def status(self) -> TicketStatus:
        """Return the ticket that this node follows, and what keeps it from being in force."""
        missing = [text for name in self._services for text in self._missing_conditions(name)]
        missing += self._lost_tickets.missing_conditions()
        return TicketStatus(self._process.settings.node_id, self.state.number, missing)

    def _missing_conditions(self, name: ServiceName) -> Iterator[str]:
        controller = self._process.controllers.get(name)
        ranges = None if controller is None else controller.ranges
        if ranges is None:
            yield f"{name}: no range map"
            return
        for pin in pins_of(self.state.service(name)):
            for entry in ranges:
                if entry.last < pin.first or pin.last < entry.first:
                    continue
                holder = None if entry.owner is None else entry.owner.server_id
                if holder != pin.server_id or entry.is_pending:
                    yield f"{name}: keys {pin.first} to {pin.last} are not yet with {pin.server_id}"
                    break
        # Earlier owners may still hold a pending range.
        holders = {
            incarnation
            for entry in ranges
            for incarnation in (entry.owner, *entry.previous)
            if incarnation
        }
        for server_id in sorted(
            {incarnation.server_id for incarnation in holders} - set(self._ready_server_ids(name))
        ):
            yield f"{name}: {server_id} may still hold keys"

    def _ready_server_ids(self, name: ServiceName) -> Iterable[ServerId]:
        records = self._process.registry.records(name)
        return (record.server_id for record in records if record.state is ServerState.READY)
