"""Control the key ranges of one service: follow the map, and place its ranges while acting."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from result import Err

from nutmeglead._generated.audit.ttypes import AuditRecord
from nutmeglead._generated.peers.ttypes import MapDelta, OrderReport, ServiceView
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.forwarding.model import ServerIncarnation, ServerState
from nutmeglead.platform.store import StoreAnswerLost, StoreUnavailable
from nutmeglead.ranges.audit import move_record
from nutmeglead.ranges.balance import (
    BalanceSettings,
    ServerLoad,
    initial_moves,
    plan_moves,
    rescue_moves,
    work_imbalance,
)
from nutmeglead.ranges.candidates import OwnerCandidates
from nutmeglead.ranges.context import ControllerContext
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.load import RecentKeyWindow
from nutmeglead.ranges.model import KeyRange, RangeMap, WitnessSets, from_wire
from nutmeglead.ranges.moves import Move, MoveReason
from nutmeglead.ranges.orders import OrderSender
from nutmeglead.ranges.pins import Pin, held_pins, pin_moves
from nutmeglead.ranges.publish import MapPublisher
from nutmeglead.ranges.renewal import Renewals
from nutmeglead.ranges.rights import RenewalRights
from nutmeglead.ranges.role import RoleLost, RoleRows
from nutmeglead.ranges.role_watch import STORE_RETRY_MS, RoleWatch
from nutmeglead.ranges.transfer import Transfers

__all__ = ["RangeController"]

logger = logging.getLogger(__name__)

TICK_MS = 100
# The first map waits until the list of servers has not grown for this time.
FIRST_MAP_QUIET_MS = 1_000
BALANCE_INTERVAL_MS = 500
# Confirmations are written with the next move, or alone after this time, for a successor to read.
SETTLE_AFTER_MS = 1_000
# A witness that was silent for so long is replaced; a killed process is back sooner.
WITNESS_GONE_MS = 6_000
MAX_WITNESSES = 9


class RangeController:
    """Follow the map of one service, and place its ranges while holding the role."""

    def __init__(self, service: ServiceName, rows: RoleRows, context: ControllerContext) -> None:
        self.service = service
        self.ranges: RangeMap | None = None
        self.step = 0
        self.recent_keys = RecentKeyWindow()
        self.keys_moved = 0
        # Keys that the operator has given to servers; the balancer leaves them there.
        self.pins: tuple[Pin, ...] = ()
        # A node that stops lets another one take the role.
        self.is_node_stopping = False
        self.candidates = OwnerCandidates(service, context.registry, context.clock)
        self._rows = rows
        self._context = context
        self._clock = context.clock
        self._rights = RenewalRights(service, context.membership, self._clock.now_ms())
        self.order_sender = OrderSender(
            context.grants,
            context.registry,
            self._rights,
            self.candidates.health,
            context.clock,
            context.max_hold_ms,
            lambda: self.ranges,
        )
        self._transfers = Transfers(
            self.order_sender, self._rights, context, self._confirm, lambda: self.ranges
        )
        self.role = RoleWatch(service, rows, context, self._on_role_taken, self._transfers.stop)
        self._renewals = Renewals(
            service,
            rows,
            context,
            self._rights,
            self.order_sender,
            lambda: self.ranges,
            self._take_stored,
            lambda: self.role.acting_id,
        )
        self._publisher = MapPublisher(context.node_id, context.send_delta)
        self._next_balance_ms = 0
        self._next_store_ms = 0
        self._unsettled_since_ms: int | None = None
        self._servers_seen = (0, 0)

    # ---- what other nodes tell ----

    def apply_copy(self, ranges: RangeMap, step: int) -> None:
        """Apply a whole map if it is newer than the own one."""
        own = self.ranges
        if own is not None and (ranges.version, step) <= (own.version, self.step):
            return
        if own is not None and ranges.version == own.version and self.role.is_held:
            return
        self._set_map(ranges, step)

    def apply_delta(self, delta: MapDelta) -> None:
        """Apply changes that follow the own state; a node that lacks it fetches the map."""
        own = self.ranges
        changes = from_wire(delta.changes)
        self.role.follow(changes.epoch, NodeId(delta.node_id))
        state = (0, 0) if own is None else (own.version, self.step)
        if state != (delta.from_version, delta.from_step) or self.role.is_held:
            return
        self._set_map(changes if own is None else own.overlaid(changes), delta.step)

    def _take_stored(self, stored: RangeMap) -> None:
        self.apply_copy(stored, 0)

    def _set_map(self, ranges: RangeMap, step: int) -> None:
        self.ranges = ranges
        self.step = step
        self._context.on_map(ranges)

    def apply_view(self, view: ServiceView) -> None:
        """Follow the role that a peer knows of."""
        if view.role_epoch > self.role.epoch and view.acting_node_id:
            self.role.follow(view.role_epoch, NodeId(view.acting_node_id))

    def apply_report(self, report: OrderReport) -> None:
        """Apply the results of another node's orders."""
        self.candidates.apply_report(report)
        if self.ranges is not None:
            located = (self.ranges.locate(first) for first in report.stale)
            self.order_sender.stale.update(
                entry for entry in located if entry.first in report.stale
            )

    def view(self) -> ServiceView:
        """Return what this node knows, for its heartbeats."""
        now_ms, ranges = self._clock.now_ms(), self.ranges
        waited_for = {
            incarnation
            for entry in ranges or ()
            if entry.is_pending
            for incarnation in entry.previous
        }
        return ServiceView(
            self.service,
            ranges.version if ranges is not None else 0,
            self.step,
            self.role.epoch,
            self.role.acting_id or "",
            self._rights.is_confirmed,
            self._rights.quiet_ms(now_ms),
            self._rights.sent_orders(waited_for, now_ms),
        )

    @property
    def is_acting(self) -> bool:
        """Tell whether this node holds the role, as far as it knows."""
        return self.role.is_held

    # ---- the loop ----

    async def run(self) -> None:
        """Follow the service until cancelled."""
        # Renewals must not wait for a slow store.
        renewals = asyncio.get_running_loop().create_task(self._renewals.run())
        try:
            while True:
                if not self.role.is_held and not self.is_node_stopping:
                    await self.role.watch(self._clock.now_ms())
                if self.role.is_held:
                    await self._place(self._clock.now_ms())
                await asyncio.sleep(TICK_MS / 1000)
        finally:
            renewals.cancel()
            self._transfers.stop()
            self._publisher.close()
            self.order_sender.close()

    def _on_role_taken(self, stored: RangeMap | None, asked_ms: int) -> None:
        self._publisher.begin(self.ranges, self.step)
        if stored is not None and (self.ranges is None or stored.version > self.ranges.version):
            self._set_map(stored, 0)
        self._rights.confirm_by_store(stored.version if stored else 0, asked_ms)
        if self.ranges is not None:
            self._publish()
            self._transfers.start(self.ranges)

    # ---- placement ----

    async def _place(self, now_ms: int) -> None:
        health_path = self._context.health_path(self.service)
        self.order_sender.probe_lost(self.candidates.ready().values(), health_path)
        servers = self.candidates.usable()
        if self.ranges is None:
            await self._place_first(servers, now_ms)
            return
        moves = self._urgent_moves(servers, now_ms)
        if not moves and now_ms >= self._next_balance_ms:
            self._next_balance_ms = now_ms + BALANCE_INTERVAL_MS
            sample, held = self.recent_keys.sample(now_ms), held_pins(self.pins, servers)
            moves = plan_moves(self.ranges, servers, sample, BalanceSettings(), held)
        sets = self._next_witness_sets(self.ranges, now_ms)
        if moves or sets != self.ranges.witness_sets or self._is_settling_due(now_ms):
            await self._commit(self.ranges, moves, sets)

    def _is_settling_due(self, now_ms: int) -> bool:
        since_ms = self._unsettled_since_ms
        return since_ms is not None and now_ms - since_ms >= SETTLE_AFTER_MS

    def _next_witness_sets(self, ranges: RangeMap, now_ms: int) -> WitnessSets:
        """Replace witnesses that are gone, and drop earlier sets whose rights have ended."""
        membership, own_id = self._context.membership, self._context.node_id
        sets = ranges.witness_sets
        if len(sets) > 1:
            sets = self._rights.live_sets(ranges, now_ms)
        is_sound = own_id in ranges.witnesses and not any(
            membership.is_absent_for(node_id, WITNESS_GONE_MS, now_ms)
            for node_id in ranges.witnesses
        )
        if is_sound:
            return sets
        chosen = self._choose_witnesses(now_ms)
        return sets if chosen == ranges.witnesses else (*sets, chosen)

    def _choose_witnesses(self, now_ms: int) -> tuple[NodeId, ...]:
        own_id = self._context.node_id
        hubs = [n for n in self._context.membership.hub_ids(now_ms) if n != own_id]
        return (own_id, *hubs[: MAX_WITNESSES - 1])

    async def _place_first(self, servers: dict[ServerIncarnation, ServerLoad], now_ms: int) -> None:
        count, since_ms = self._servers_seen
        if len(servers) != count:
            self._servers_seen = (len(servers), now_ms)
            return
        if not servers or now_ms - since_ms < FIRST_MAP_QUIET_MS:
            return
        empty = RangeMap(self.service, [KeyRange(0, KEY_COUNT - 1, None, 0)])
        await self._commit(empty, initial_moves(servers), (self._choose_witnesses(now_ms),))

    def _urgent_moves(
        self, servers: dict[ServerIncarnation, ServerLoad], now_ms: int
    ) -> list[Move]:
        """Give away what lost or leaving servers own, and renew fences that are too low."""
        assert self.ranges is not None
        if not servers:
            return []
        moves: list[Move] = []
        for entry in self.order_sender.stale:
            if entry in self.ranges.ranges and entry.owner in servers:
                moves.append(Move(entry.first, entry.last, entry.owner, MoveReason.STALE_FENCE))
        self.order_sender.stale.clear()
        stranded = {
            entry: self._reason_to_leave(entry.owner)
            for entry in self.ranges
            if entry.owner not in servers
        }
        if stranded:
            sample = self.recent_keys.sample(now_ms)
            moves += rescue_moves(self.ranges, stranded, servers, sample)
        return moves + pin_moves(self.ranges, self.pins, servers)

    def _reason_to_leave(self, owner: ServerIncarnation | None) -> MoveReason:
        record = None if owner is None else self._context.registry.find(owner)
        is_leaving = record is not None and record.state is ServerState.LEAVING
        return MoveReason.SERVER_LEAVING if is_leaving else MoveReason.SERVER_LOST

    async def _commit(
        self, ranges: RangeMap, moves: Sequence[Move], witness_sets: WitnessSets
    ) -> None:
        """Write the next map before any order is sent; retry while the result is unknown."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_store_ms:
            return
        target = ranges.assign(moves, self.role.epoch, witness_sets)
        record = self._move_record(moves, ranges, target)
        asked_ms = now_ms
        written = await self._rows.commit(target, record)
        while isinstance(written, Err) and isinstance(written.err_value, StoreAnswerLost):
            log_event(logger, Event.TABLE_ANSWER_LOST, service=self.service, map=target.version)
            await asyncio.sleep(STORE_RETRY_MS / 1000)
            if not self.role.is_held:
                return
            asked_ms = self._clock.now_ms()
            written = await self._rows.commit(target, record)
        if isinstance(written, Err):
            self._on_refused(written.err_value)
            return
        if not self.role.is_held:
            return
        # Confirmations that arrived during the write hold for the ranges that did not change.
        confirmed = self.ranges
        if confirmed is not None:
            for entry in confirmed:
                if not entry.is_pending:
                    target = target.confirm(entry.first, entry.last, entry.fence)
        self._rights.confirm_by_store(target.version, asked_ms)
        self._unsettled_since_ms = None
        self._set_map(target, 0)
        self._note_moves(moves, target)
        self._publish()
        self._transfers.start(target)

    def _move_record(
        self, moves: Sequence[Move], before: RangeMap, after: RangeMap
    ) -> AuditRecord | None:
        if not moves:
            return None
        context = self._context
        wall_ms, version = self._clock.wall_ms(), context.manifest_version()
        return move_record(context.node_id, wall_ms, version, moves, before, after)

    def _note_moves(self, moves: Sequence[Move], target: RangeMap) -> None:
        for first, last, owner, reason in moves:
            self.keys_moved += last - first + 1
            log_event(
                logger,
                Event.RANGE_MOVED,
                service=self.service,
                first=first,
                last=last,
                server=owner.server_id,
                map=target.version,
                fence=target.fence,
                reason=reason.value,
            )

    def _on_refused(self, error: RoleLost | StoreUnavailable | StoreAnswerLost) -> None:
        if isinstance(error, RoleLost):
            self.role.drop(str(error))
            return
        self._next_store_ms = self._clock.now_ms() + STORE_RETRY_MS
        log_event(logger, Event.TABLE_UNAVAILABLE, service=self.service, error=str(error))

    def _confirm(self, entry: KeyRange) -> None:
        """Note that a range's owner has its grant."""
        if self.ranges is None or not self.role.is_held:
            return
        self._set_map(self.ranges.confirm(entry.first, entry.last, entry.fence), self.step + 1)
        if self._unsettled_since_ms is None:
            self._unsettled_since_ms = self._clock.now_ms()
        self._publish()

    def _publish(self) -> None:
        assert self.ranges is not None
        self._publisher.publish(self.ranges, self.step)

    def imbalance(self) -> float:
        """Return the work of the fullest server over the mean, for equal capacities."""
        now_ms = self._clock.now_ms()
        assert self.ranges is not None
        return work_imbalance(
            self.ranges, self.candidates.usable(), self.recent_keys.sample(now_ms)
        )
