"""Control the key ranges of one service on one entry VM.

Every node follows the service's range map. One of them, the acting node, holds the service's role:
it alone writes new maps to the store, and moves ranges between servers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from functools import partial

from result import Err

from nutmeglead._generated.peers.ttypes import MapDelta, OrderReport, ServiceView
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.core.tasks import start_essential_task
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.platform.store import StoreAnswerLost, StoreUnavailable
from nutmeglead.ranges.audit import log_moves, move_record
from nutmeglead.ranges.balance import (
    ServerCapacity,
    initial_moves,
    work_imbalance,
)
from nutmeglead.ranges.candidates import OwnerCandidates
from nutmeglead.ranges.context import ControllerContext
from nutmeglead.ranges.era import EraStart, refencing_moves
from nutmeglead.ranges.hold import hold_for
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.load import RecentKeyWindow
from nutmeglead.ranges.model import KeyRange, RangeMap, WitnessSets, from_wire
from nutmeglead.ranges.moves import Move
from nutmeglead.ranges.orders import OrderSender
from nutmeglead.ranges.pins import Pin, pinned_intervals
from nutmeglead.ranges.publish import MapPublisher
from nutmeglead.ranges.renewal import Renewals
from nutmeglead.ranges.rights import RenewalRights
from nutmeglead.ranges.role import MapOutdated, RoleLost, RoleRows, StoredState
from nutmeglead.ranges.role_watch import STORE_RETRY_MS, RoleWatch
from nutmeglead.ranges.rounds import BalanceRounds
from nutmeglead.ranges.transfer import Transfers
from nutmeglead.ranges.urgent_moves import urgent_moves
from nutmeglead.ranges.witnesses import choose_witnesses, next_witness_sets

__all__ = ["RangeController"]

logger = logging.getLogger(__name__)

LOOP_INTERVAL_MS = 100
# The first map is written once the number of usable servers has not changed for this time.
FIRST_MAP_STABLE_MS = 1_000
# Confirmed grants are written with the next move, or alone after this time, so that the next acting
# node reads them in the store.
CONFIRMATION_WRITE_DELAY_MS = 1_000


class RangeController:
    """Follow the map of one service, and assign its ranges to servers while holding the role.

    `step` counts the confirmed grants since the current map version was written.
    """

    def __init__(self, service: ServiceName, rows: RoleRows, context: ControllerContext) -> None:
        self.service = service
        self.ranges: RangeMap | None = None
        self.step = 0
        self.recent_keys = RecentKeyWindow()
        self.keys_moved = 0
        # Keys that the operator has assigned to servers; the balancer does not move them away.
        self.pins: tuple[Pin, ...] = ()
        # A node that is stopping does not take the role.
        self.is_node_stopping = False
        self.candidates = OwnerCandidates(service, context.registry, context.clock)
        self._rows = rows
        self._context = context
        self._clock = context.clock
        self._rights = RenewalRights(service, context.membership, self._clock.now_ms())
        self.order_sender = OrderSender(
            context.grants,
            context.address_checks,
            context.registry,
            self._rights,
            self.candidates.health,
            context.clock,
            context.max_hold_ms,
            lambda: self.ranges,
        )
        self._transfers = Transfers(
            self.order_sender, self._rights, context, self._confirm_grant, lambda: self.ranges
        )
        self.role = RoleWatch(service, rows, context, self._on_role_taken, self._transfers.stop)
        self._renewals = Renewals(
            service,
            rows,
            context,
            self._rights,
            self.order_sender,
            lambda: self.ranges,
            self._apply_stored_map,
            lambda: self.role.acting_id,
        )
        self._era_start = EraStart(service, context.membership)
        self._publisher = MapPublisher(context.node_id, context.send_delta)
        self._rounds = BalanceRounds()
        self._next_write_ms = 0
        self._unwritten_since_ms: int | None = None
        # Whether the store may have a newer map than this node, which acts.
        self._is_stored_map_newer = False
        self._server_count_since = (0, 0)

    # ---- messages from other nodes ----

    def apply_copy(self, ranges: RangeMap, step: int) -> None:
        """Replace the map by a peer's or the store's whole map if that one is newer.

        While acting, ignore one of the same version: only this node confirms grants. A newer one
        was written by this node without its knowledge, or by its successor; the store's rows tell.
        """
        own = self.ranges
        if own is not None and (ranges.version, step) <= (own.version, self.step):
            return
        if own is not None and self.role.is_held and not self.awaits_first_map:
            self._is_stored_map_newer |= ranges.version > own.version
            return
        if own is not None and ranges.version == own.version and self.role.is_held:
            return
        self._set_map(ranges, step)

    def apply_delta(self, delta: MapDelta) -> None:
        """Follow a delta's sender, and apply its changes if they start from this node's state.

        A node with another state fetches the whole map from a peer. While this node holds the role,
        it ignores the changes.
        """
        own = self.ranges
        changes = from_wire(delta.changes)
        self.role.follow(changes.epoch, NodeId(delta.node_id))
        state = (0, 0) if own is None else (own.version, self.step)
        if state != (delta.from_version, delta.from_step) or self.role.is_held:
            return
        self._set_map(changes if own is None else own.with_changes(changes), delta.step)

    def _apply_stored_map(self, stored: RangeMap) -> None:
        self.apply_copy(stored, 0)

    def _set_map(self, ranges: RangeMap, step: int) -> None:
        """Replace the map and its step, and pass the map on to the entry process."""
        self.ranges = ranges
        self.step = step
        self._context.on_map(ranges)

    def apply_view(self, view: ServiceView) -> None:
        """Follow the acting node that a peer reports, if its epoch is newer."""
        if view.role_epoch > self.role.epoch and view.acting_node_id:
            self.role.follow(view.role_epoch, NodeId(view.acting_node_id))

    def apply_report(self, report: OrderReport) -> None:
        """Record which servers answered, failed or refused another node's renewals.

        Ranges whose owners have seen a higher fence get a new fence with the next map.
        """
        self.candidates.apply_report(report)
        if self.ranges is not None:
            located = (self.ranges.locate(first) for first in report.stale)
            self.order_sender.stale_ranges.update(
                entry for entry in located if entry.first in report.stale
            )

    def view(self) -> ServiceView:
        """Return the map version, role and recent grants that this node's heartbeats report."""
        now_ms, ranges = self._clock.now_ms(), self.ranges
        previous_holders = ranges.previous_holders() if ranges is not None else set()
        return ServiceView(
            self.service,
            ranges.version if ranges is not None else 0,
            self.step,
            self.role.epoch,
            self.role.acting_id or "",
            self._rights.is_confirmed,
            self._rights.grant_history_ms(now_ms),
            self._rights.sent_orders(previous_holders, now_ms),
            self._rights.store_read_ago_ms(now_ms),
        )

    @property
    def is_acting(self) -> bool:
        """Return whether this node holds the role, as far as it knows."""
        return self.role.is_held

    # ---- main loop ----

    async def run(self) -> None:
        """Watch the role, place ranges while holding it and renew grants, until cancelled."""
        # A separate task, since renewals must not wait for a slow store.
        renewals = start_essential_task(self._renewals.run())
        try:
            while True:
                self.role.check_era()
                if not self.role.is_held and not self.is_node_stopping:
                    await self.role.watch(self._clock.now_ms())
                if self.role.is_held:
                    await self._update_placement(self._clock.now_ms())
                await asyncio.sleep(LOOP_INTERVAL_MS / 1000)
        finally:
            renewals.cancel()
            self._transfers.stop()
            self._publisher.close()
            self.order_sender.close()

    @property
    def awaits_first_map(self) -> bool:
        """Return whether this node acts and has yet to write the first map of the store's era."""
        era = 0 if self.ranges is None else self.ranges.era
        return self.role.is_held and self.role.era != era

    def _on_role_taken(self, state: StoredState, asked_ms: int) -> None:
        """Start from the newer of the own and the stored map, and resume its transfers.

        After a return of the store, transfers wait for the first map of the era.
        """
        stored = state.ranges
        self._publisher.start_from(self.ranges, self.step)
        if stored is not None and (self.ranges is None or stored.version > self.ranges.version):
            self._set_map(stored, 0)
        if self.awaits_first_map:
            was_acting, now_ms = self.role.was_held_in_last_era, self._clock.now_ms()
            self._era_start.begin(self.ranges, was_acting, self._rights, self._hold_ms(), now_ms)
            return
        self._rights.confirm_by_store(stored.version if stored else 0, asked_ms)
        if self.ranges is not None:
            self._publish()
            self._transfers.start(self.ranges)

    # ---- placement ----

    async def _update_placement(self, now_ms: int) -> None:
        """Probe lost servers, plan moves and witness changes, and write a map if any is due."""
        self.order_sender.probe_lost(self.candidates.ready().values())
        if self._is_stored_map_newer and now_ms >= self._next_write_ms:
            await self._adopt_stored_map()
            return
        servers = self.candidates.usable()
        own = self.ranges
        if self.awaits_first_map:
            if not self._era_start.is_due(0 if own is None else own.version, now_ms):
                return
            if own is not None:
                base = own.for_era(self.role.era)
                # A server that cannot be reached may have had its keys under a lower fence than
                # others since.
                moves = refencing_moves(base) if self._era_start.may_miss_grants else []
                await self._write_and_start_map(base, moves, own.witness_sets)
                return
        if self.ranges is None:
            await self._create_first_map(servers, now_ms)
            return
        moves = self._urgent_moves(servers, now_ms)
        if not moves:
            pinned = pinned_intervals(self.pins, servers)
            moves = self._rounds.plan(self.ranges, servers, self.recent_keys, pinned, now_ms)
        membership = self._context.membership
        sets = next_witness_sets(self.ranges, self._rights, membership, now_ms)
        if moves or sets != self.ranges.witness_sets or self._is_confirmation_write_due(now_ms):
            await self._write_and_start_map(self.ranges, moves, sets)

    def _is_confirmation_write_due(self, now_ms: int) -> bool:
        """Return whether confirmed grants have waited CONFIRMATION_WRITE_DELAY_MS for a write."""
        since_ms = self._unwritten_since_ms
        return since_ms is not None and now_ms - since_ms >= CONFIRMATION_WRITE_DELAY_MS

    async def _create_first_map(
        self, servers: dict[ServerIncarnation, ServerCapacity], now_ms: int
    ) -> None:
        """Write the first map once the number of usable servers has stayed the same."""
        count, since_ms = self._server_count_since
        if len(servers) != count:
            self._server_count_since = (len(servers), now_ms)
            return
        if not servers or now_ms - since_ms < FIRST_MAP_STABLE_MS:
            return
        empty = RangeMap(self.service, [KeyRange(0, KEY_COUNT - 1, None, 0)])
        if self.role.era:
            empty = empty.for_era(self.role.era)
        witnesses = choose_witnesses(self._context.membership, now_ms)
        await self._write_and_start_map(empty, initial_moves(servers), (witnesses,))

    def _urgent_moves(
        self, servers: dict[ServerIncarnation, ServerCapacity], now_ms: int
    ) -> list[Move]:
        """Return the moves that do not wait for the balancer."""
        assert self.ranges is not None
        if not servers:
            return []
        stale = set(self.order_sender.stale_ranges)
        self.order_sender.stale_ranges.clear()
        sample = partial(self.recent_keys.sample, now_ms)
        return urgent_moves(self.ranges, stale, self.candidates, servers, self.pins, sample)

    def _hold_ms(self) -> int:
        """Return the longest hold of the known map and of the next one."""
        wanted_ms = hold_for(self._context.target_latency_ms(self.service))
        return wanted_ms if self.ranges is None else max(wanted_ms, self.ranges.hold_ms)

    async def _write_and_start_map(
        self, ranges: RangeMap, moves: Sequence[Move], witness_sets: WitnessSets
    ) -> None:
        """Write the next map to the store, and then publish it and start its transfers.

        The write comes before any order of the new map is sent. It is retried while its answer is
        lost, since it may have been applied.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._next_write_ms:
            return
        target = ranges.assign(moves, self.role.epoch, witness_sets, self._hold_ms())
        context, wall_ms = self._context, self._clock.wall_ms()
        details = (context.node_id, wall_ms, context.manifest_version(), moves, ranges, target)
        record = move_record(*details) if moves else None
        asked_ms = now_ms
        written = await self._rows.write_map(target, record)
        while isinstance(written, Err) and isinstance(written.err_value, StoreAnswerLost):
            log_event(logger, Event.TABLE_ANSWER_LOST, service=self.service, map=target.version)
            await asyncio.sleep(STORE_RETRY_MS / 1000)
            if not self.role.is_held:
                return
            asked_ms = self._clock.now_ms()
            written = await self._rows.write_map(target, record)
        if isinstance(written, Err):
            if isinstance(written.err_value, MapOutdated):
                await self._adopt_stored_map()
            else:
                self._on_write_failed(written.err_value)
            return
        if not self.role.is_held:
            return
        self._start_map(target, asked_ms)
        self.keys_moved += log_moves(moves, target)

    async def _adopt_stored_map(self) -> None:
        """Go on from the map in the store, which an earlier write of this node has put there.

        The answer to that write was lost, and the next map was planned without it.
        """
        self._is_stored_map_newer = False
        asked_ms = self._clock.now_ms()
        read = await self._rows.read()
        if isinstance(read, Err):
            self._is_stored_map_newer = True
            self._next_write_ms = self._clock.now_ms() + STORE_RETRY_MS
        elif not self._rows.is_own(read.ok_value.role) or read.ok_value.ranges is None:
            self.role.give_up("another node acts")
        elif self.role.is_held and read.ok_value.is_of_present_era:
            self._start_map(read.ok_value.ranges, asked_ms)

    def _start_map(self, target: RangeMap, asked_ms: int) -> None:
        """Follow a map that the store had at a time, publish it and start its transfers."""
        # Grants that were confirmed during the write stay confirmed in ranges that did not change.
        current = self.ranges
        if current is not None:
            for entry in current:
                if not entry.is_pending:
                    target = target.confirm(entry.first, entry.last, entry.fence)
        self._rights.confirm_by_store(target.version, asked_ms)
        self._unwritten_since_ms = None
        self._set_map(target, 0)
        self._publish()
        self._transfers.start(target)

    def _on_write_failed(self, error: RoleLost | StoreUnavailable | StoreAnswerLost) -> None:
        """Give the role up if another node has taken it; otherwise delay the next write."""
        if isinstance(error, RoleLost):
            self.role.give_up(str(error))
            return
        self._next_write_ms = self._clock.now_ms() + STORE_RETRY_MS
        log_event(logger, Event.TABLE_UNAVAILABLE, service=self.service, error=str(error))

    def _confirm_grant(self, entry: KeyRange) -> None:
        """Mark a range's grant as confirmed, and publish the change."""
        if self.ranges is None or not self.role.is_held:
            return
        self._set_map(self.ranges.confirm(entry.first, entry.last, entry.fence), self.step + 1)
        if self._unwritten_since_ms is None:
            self._unwritten_since_ms = self._clock.now_ms()
        self._publish()

    def _publish(self) -> None:
        assert self.ranges is not None
        self._publisher.publish(self.ranges, self.step)

    def imbalance(self) -> float:
        """Return the highest work per capacity of a usable server, relative to the mean."""
        now_ms = self._clock.now_ms()
        assert self.ranges is not None
        return work_imbalance(
            self.ranges, self.candidates.usable(), self.recent_keys.sample(now_ms)
        )
