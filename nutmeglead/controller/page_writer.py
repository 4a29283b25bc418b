"""Plan moves and write them to the placement pages, one transaction at a time."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import AuditRecord, ServerEntry
from nutmeglead._generated.settings.ttypes import ServiceSettings
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.controller.audit_trail import AuditTrail
from nutmeglead.controller.budget import WriteBudget
from nutmeglead.controller.decisions import Commit, CommitTag
from nutmeglead.controller.leases import ServerLease
from nutmeglead.controller.placer import EditBatch, PagePlacer, unit_of_move
from nutmeglead.controller.planning import PlanInput, build_request
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import Epoch, RoleEpoch, RowKey, ServerId, TicketNumber
from nutmeglead.ownership.keys import Unit
from nutmeglead.ownership.pages import WriteStamp
from nutmeglead.ownership.units import Holder
from nutmeglead.placement.model import Move, MoveReason, UnmetReason
from nutmeglead.placement.planner import plan
from nutmeglead.placement.recent import RecentMoves
from nutmeglead.platform.ports import Row, RowCheck
from nutmeglead.tickets.state import ServiceState

__all__ = ["PageWriter", "TicketProgress"]

# Proven previous holders are cleared from the pages in batches; nothing waits for it.
CLEAR_INTERVAL_MS = 500
# A move that cannot be made yet, for example because of four unproven holders, is tried again.
REPLAN_INTERVAL_MS = 250
# The first placement waits this long for the servers of the first ticket to answer; otherwise the
# first one to answer would get all units.
FIRST_PLACEMENT_WAIT_MS = 1000

_OPTIONAL_REASONS = (MoveReason.IMBALANCE, MoveReason.HOT_KEY_PINNED, MoveReason.PIN_REMOVED)


@dataclass
class TicketProgress:
    """Tell how far the newest ticket is."""

    ticket_number: TicketNumber = TicketNumber(0)
    is_planned: bool = False
    postponed: list[str] = field(default_factory=list)
    # Claims on servers that are lost; the policy places their keys until the servers are back.
    unmet: list[str] = field(default_factory=list)

    def covers(self, ticket_number: TicketNumber) -> bool:
        """Tell whether all that a ticket asks for is written."""
        return self.is_planned and self.ticket_number >= ticket_number


@dataclass
class _InFlight:
    """Hold the page transaction whose result is awaited."""

    batch: EditBatch
    moves: Sequence[Move]


class PageWriter:
    """Decide which page transaction comes next; pure."""

    def __init__(
        self,
        settings: ServiceSettings,
        placer: PagePlacer,
        role_check: RowCheck,
        role_epoch: RoleEpoch,
        trail: AuditTrail,
    ) -> None:
        self.plan_input = PlanInput()
        self.progress = TicketProgress()
        self.in_flight: _InFlight | None = None
        # Load of the fullest server over the mean when the last plan was made; None before that.
        self.imbalance: float | None = None
        self._settings = settings
        self._placer = placer
        self._role_check = role_check
        self._role_epoch = role_epoch
        self._trail = trail
        self._plan_ms = 0
        self._balance_ms = 0
        self._clear_ms = 0
        self._first_placement_ms: int | None = None
        self._recent = RecentMoves(settings.placement.round_interval_ms)
        self._written: list[Move] = []
        self._unaudited: list[Move] = []
        # The desired state, row version and gates for which the directory page is right.
        self._written_directory: tuple[
            ServiceState | None, tuple[int, Mapping[ServerId, Address]]
        ] = (None, (0, {}))

    def replan(self, at_ms: int) -> None:
        """Plan again at a time, or earlier if that is due already."""
        self._plan_ms = min(self._plan_ms, at_ms)

    def next_commit(
        self,
        leases: Mapping[ServerId, ServerLease],
        proven: Mapping[Unit, Sequence[Holder]],
        budget: WriteBudget,
        now_ms: int,
        gates: Mapping[ServerId, Address],
    ) -> Commit | None:
        """Return the transaction that is due, if none is in flight."""
        if self.in_flight is not None or budget.available(now_ms) < 1:
            return None
        commit = self._write_directory(budget, now_ms, gates)
        if commit is None and now_ms >= self._plan_ms:
            commit = self._write_moves(leases, budget, now_ms)
        if commit is None and proven and now_ms >= self._clear_ms:
            self._clear_ms = now_ms + CLEAR_INTERVAL_MS
            holders = {unit: set(done) for unit, done in proven.items()}
            batch = self._placer.clear(holders, self._stamp(), budget.available(now_ms))
            commit = self._commit(batch, (), budget, now_ms)
        return commit

    def committed(self, versions: Mapping[RowKey, int], now_ms: int) -> list[Row]:
        """Return the rows that the transaction in flight has written."""
        if self.in_flight is None:
            return []
        edits, moves = self.in_flight.batch.edits, self.in_flight.moves
        self.in_flight = None
        self._recent.add(moves, now_ms)
        self._written += moves
        self._unaudited = list(moves)
        if moves or not self._placer.has_pages:
            self.replan(now_ms)
        return [Row(key, versions[key], encode(edit.page)) for key, edit in edits.items()]

    def take_written(self) -> list[Move]:
        """Return the moves written since the last call, so that their load is carried along."""
        written, self._written = self._written, []
        return written

    def failed(self, now_ms: int) -> list[RowKey]:
        """Return the rows to read again; the plan is made anew from what they hold."""
        if self.in_flight is None:
            return []
        keys = list(self.in_flight.batch.edits)
        self.in_flight = None
        self._plan_ms = now_ms + REPLAN_INTERVAL_MS
        return keys

    def audit_moves(self) -> list[AuditRecord]:
        """Return the records of the moves written last; called when the map holds them."""
        records = []
        moves, self._unaudited = self._unaudited, []
        for move in moves:
            unit = unit_of_move(move)
            evidence = f"{move.reason.name.lower()}, load {move.load:.1f}/s"
            records.append(
                self._trail.moved(
                    unit, move.from_server, move.to_server, self._epoch(unit), evidence
                )
            )
        return records

    def _epoch(self, unit: Unit) -> Epoch:
        """Return a unit's epoch; a pin that was removed has that of the unit below."""
        unit_map = self._placer.unit_map
        found = unit_map.record(unit)
        records = [found] if found else unit_map.records_below(unit)
        return max((record.epoch for record in records), default=Epoch(0))

    def _write_directory(
        self, budget: WriteBudget, now_ms: int, gates: Mapping[ServerId, Address]
    ) -> Commit | None:
        """Write the addresses of the ticket's servers before any unit moves to them."""
        desired, version = self.plan_input.desired, self._placer.directory_version()
        known, places = self._written_directory
        if known is desired and places == (version, gates):
            return None
        entries = [
            ServerEntry(
                server.server_id,
                server.address,
                server.failure_domain or "",
                gates.get(server.server_id),
            )
            for server in desired.servers.values()
            if server.address is not None and server.state != ServerState.REMOVED
        ]
        if not entries:
            return None
        batch = self._placer.directory(entries, self._stamp())
        if not batch.edits:
            self._written_directory = (desired, (version, dict(gates)))
        return self._commit(batch, (), budget, now_ms)

    def _write_moves(
        self, leases: Mapping[ServerId, ServerLease], budget: WriteBudget, now_ms: int
    ) -> Commit | None:
        if not self._placer.has_pages:
            return self._write_first_pages(leases, budget, now_ms)
        moves = self._plan(leases, now_ms)
        self._plan_ms = now_ms + self._settings.placement.round_interval_ms
        if not moves:
            self.progress.is_planned = not (self.progress.postponed or self.progress.unmet)
            return None
        batch = self._placer.move(moves, self._stamp(), budget.available(now_ms))
        self.progress.postponed = [str(error) for _, error in batch.postponed]
        if len(batch.done) < len(moves):
            self._plan_ms = now_ms + REPLAN_INTERVAL_MS
        return self._commit(batch, batch.done, budget, now_ms)

    def _plan(self, leases: Mapping[ServerId, ServerLease], now_ms: int) -> list[Move]:
        """Return the moves that are due; optional ones only once per round."""
        self.plan_input.recently_moved = self._recent.units(now_ms)
        request = build_request(self._settings, self._placer, leases, self.plan_input, now_ms)
        planned = plan(request)
        self.imbalance = planned.imbalance_before
        moves = planned.moves
        self.progress.unmet = [
            f"{unmet.server_id}: {unmet.reason.value}"
            for unmet in planned.unmet_claims
            if unmet.reason is UnmetReason.SERVER_LOST
        ]
        if now_ms < self._balance_ms:
            return [move for move in moves if move.reason not in _OPTIONAL_REASONS]
        self._balance_ms = now_ms + self._settings.placement.round_interval_ms
        return moves

    def _write_first_pages(
        self, leases: Mapping[ServerId, ServerLease], budget: WriteBudget, now_ms: int
    ) -> Commit | None:
        """Create the hash pages when the servers of the first ticket have answered."""
        servers = self.plan_input.desired.servers.values()
        present = [s.server_id for s in servers if s.state == ServerState.PRESENT]
        ready = [s for s in present if s in leases and leases[s].is_confirmed]
        if not ready:
            return None
        if self._first_placement_ms is None:
            self._first_placement_ms = now_ms + FIRST_PLACEMENT_WAIT_MS
        if len(ready) < len(present) and now_ms < self._first_placement_ms:
            return None
        request = build_request(self._settings, self._placer, leases, self.plan_input, now_ms)
        owners: list[ServerId | None] = [None] * self._placer.hash_buckets
        for move in plan(request).moves:
            if isinstance(move.unit, int):
                owners[move.unit] = move.to_server
        batch = self._placer.first_pages(owners, self._stamp())
        return self._commit(batch, (), budget, now_ms)

    def _commit(
        self, batch: EditBatch, moves: Sequence[Move], budget: WriteBudget, now_ms: int
    ) -> Commit | None:
        if not batch.edits:
            return None
        budget.take_up_to(len(batch.edits), now_ms)
        self.in_flight = _InFlight(batch, moves)
        return Commit(CommitTag.PAGES, [self._role_check, *batch.checks()], batch.writes())

    def _stamp(self) -> WriteStamp:
        return WriteStamp(self._role_epoch, self.progress.ticket_number)
