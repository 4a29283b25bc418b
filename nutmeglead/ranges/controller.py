"""Control the key ranges of one service: hold the role, place ranges, renew grants."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from result import Err

from nutmeglead._generated.audit.ttypes import AuditRecord
from nutmeglead._generated.peers.ttypes import ServiceView
from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.forwarding.model import ServerLife, ServerState
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.peers.membership import STORE_SILENT_AFTER_MS, Membership
from nutmeglead.platform.grants import GrantClient
from nutmeglead.platform.store import StoreAnswerLost, StoreUnavailable
from nutmeglead.ranges.audit import move_record, role_record
from nutmeglead.ranges.balance import (
    BalanceSettings,
    ServerLoad,
    initial_moves,
    plan_moves,
    rescue_moves,
    work_imbalance,
)
from nutmeglead.ranges.candidates import OwnerCandidates
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.load import HitWindow
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.moves import Move, MoveReason
from nutmeglead.ranges.orders import Orders
from nutmeglead.ranges.pins import Pin, held_pins, pin_moves
from nutmeglead.ranges.rights import RENEW_RIGHT_MS, RenewalRights
from nutmeglead.ranges.role import RoleLost, RoleRows
from nutmeglead.ranges.transfer import Transfers

__all__ = ["ControllerContext", "RangeController"]

logger = logging.getLogger(__name__)

TICK_MS = 50
# The first map waits until the list of servers has not grown for this time.
FIRST_MAP_QUIET_MS = 1_000
BALANCE_INTERVAL_MS = 500
# Confirmations are written with the next move, or alone after this time, for a successor to read.
SETTLE_AFTER_MS = 1_000
# Each rank waits longer before it takes a silent controller's role, so that few try at once.
RANK_DELAY_MS = 250
STORE_RETRY_MS = 250
# Half of the time after which a node counts as not served by the store.
SLOW_READ_MS = STORE_SILENT_AFTER_MS // 2


@dataclass(frozen=True)
class ControllerContext:
    """Group what the controllers of all services on a node share."""

    node_id: NodeId
    incarnation: int
    clock: Clock
    membership: Membership
    registry: ServerRegistry
    grants: GrantClient
    max_hold_ms: int
    store_age_ms: Callable[[], int]
    health_path: Callable[[ServiceName], str]
    manifest_version: Callable[[], int]
    push_map: Callable[[RangeMap, int], None]
    on_map: Callable[[RangeMap], None]


class RangeController:
    """Follow the map of one service, and place its ranges while holding the role."""

    def __init__(self, service: ServiceName, rows: RoleRows, context: ControllerContext) -> None:
        self.service = service
        self.ranges: RangeMap | None = None
        self.step = 0
        self.role_epoch = 0
        self.acting_id: NodeId | None = None
        self.hits = HitWindow()
        self.keys_moved = 0
        # Keys that the operator has given to servers; the balancer leaves them there.
        self.pins: tuple[Pin, ...] = ()
        self._rows = rows
        self._context = context
        self._clock = context.clock
        self.candidates = OwnerCandidates(service, context.registry, context.clock)
        self._rights = RenewalRights(service, context.membership, self._clock.now_ms())
        self.orders = Orders(
            context.grants,
            context.registry,
            self._rights,
            self.candidates.health,
            context.clock,
            context.max_hold_ms,
            lambda: self.ranges,
        )
        self._transfers = Transfers(self.orders, self._rights, context, self._confirm)
        # A node that stops lets another one take the role.
        self.is_leaving_node = False
        self._has_role = False
        self._silent_since_ms: int | None = None
        self._next_balance_ms = 0
        self._next_store_ms = 0
        self._next_check_ms = 0
        self._unsettled_since_ms: int | None = None
        self._servers_seen = (0, 0)
        self._store_check: asyncio.Task[None] | None = None

    # ---- what other nodes tell ----

    def take_map(self, ranges: RangeMap, step: int, sender: NodeId) -> None:
        """Take a pushed map if it is newer than the own one."""
        own = self.ranges
        if own is not None and (ranges.version, step) <= (own.version, self.step):
            return
        if own is not None and ranges.version == own.version and self._has_role:
            return
        self.ranges = ranges
        self.step = step
        if ranges.epoch > self.role_epoch or self.acting_id is None:
            self._follow(ranges.epoch, sender)
        self._context.on_map(ranges)

    def take_view(self, view: ServiceView) -> None:
        """Follow the role that a peer knows of."""
        if view.role_epoch > self.role_epoch and view.acting_node_id:
            self._follow(view.role_epoch, NodeId(view.acting_node_id))

    def view(self) -> ServiceView:
        """Return what this node knows, for its heartbeats."""
        return ServiceView(
            self.service,
            self.ranges.version if self.ranges is not None else 0,
            self.step,
            self.role_epoch,
            self.acting_id or "",
            min(self._rights.sent_ago_ms(self._clock.now_ms()), 2**31 - 1),
        )

    @property
    def is_acting(self) -> bool:
        """Tell whether this node holds the role, as far as it knows."""
        return self._has_role

    def speaks(self, now_ms: int) -> bool:
        """Tell whether this node renews and pushes: it acts, or stands in for a silent one."""
        if self._has_role:
            return True
        membership = self._context.membership
        if self.acting_id is not None and membership.is_alive(self.acting_id, now_ms):
            return False
        return membership.rank(now_ms) == 0

    def _follow(self, epoch: int, acting_id: NodeId) -> None:
        self.role_epoch = epoch
        self.acting_id = acting_id
        self._silent_since_ms = None
        if acting_id != self._context.node_id:
            self._drop_role("another node has a higher epoch")

    def _drop_role(self, reason: str) -> None:
        if self._has_role:
            self._has_role = False
            self._transfers.stop()
            log_event(
                logger, Event.ROLE_LOST, service=self.service, epoch=self.role_epoch, reason=reason
            )

    # ---- the loop ----

    async def run(self) -> None:
        """Follow the service until cancelled."""
        # Renewals must not wait for a slow store.
        renewals = asyncio.get_running_loop().create_task(self._renew())
        try:
            while True:
                if not self._has_role and not self.is_leaving_node:
                    await self._watch_role(self._clock.now_ms())
                if self._has_role:
                    await self._place(self._clock.now_ms())
                await asyncio.sleep(TICK_MS / 1000)
        finally:
            renewals.cancel()
            self._transfers.stop()
            self.orders.close()

    async def _renew(self) -> None:
        while True:
            now_ms = self._clock.now_ms()
            if self.ranges is not None and self.speaks(now_ms):
                if not self._rights.is_confirmed_by_majority(self.ranges.version, now_ms):
                    self._ask_store(now_ms)
                self.orders.renew_due()
            await asyncio.sleep(TICK_MS / 1000)

    def _ask_store(self, now_ms: int) -> None:
        """Let the store confirm the map while no majority does."""
        if now_ms < self._next_check_ms or self._store_check is not None:
            return
        self._next_check_ms = now_ms + RENEW_RIGHT_MS // 2
        task = asyncio.get_running_loop().create_task(self._confirm_by_store(now_ms))
        self._store_check = task

        def forget(_: object) -> None:
            self._store_check = None

        task.add_done_callback(forget)

    async def _confirm_by_store(self, asked_ms: int) -> None:
        read = await self._rows.read_map_version()
        if isinstance(read, Err):
            logger.info("%s: the map was not confirmed: %s", self.service, read.err_value)
            return
        self._rights.confirm_by_store(read.ok_value, asked_ms)

    async def _watch_role(self, now_ms: int) -> None:
        """Take the role when its holder is silent and this node is next in rank."""
        membership = self._context.membership
        acting_id = self.acting_id
        if acting_id is not None and acting_id != self._context.node_id:
            # One that the store turns away cannot move keys; it gives way to one that can.
            is_served = membership.reaches_store(acting_id) or self._context.store_age_ms() > 0
            if is_served and membership.is_alive(acting_id, now_ms):
                self._silent_since_ms = None
                return
        if self._silent_since_ms is None:
            self._silent_since_ms = now_ms
        waited_ms = now_ms - self._silent_since_ms
        if waited_ms < membership.rank(now_ms) * RANK_DELAY_MS or now_ms < self._next_store_ms:
            return
        if not self._context.registry.records(self.service):
            return
        self._next_store_ms = now_ms + STORE_RETRY_MS
        await self._take_role()

    async def _take_role(self) -> None:
        asked_ms = self._clock.now_ms()
        state = await self._rows.read()
        if isinstance(state, Err):
            logger.info("%s: the role was not read: %s", self.service, state.err_value)
            return
        role, stored = state.ok_value.role, state.ok_value.ranges
        membership = self._context.membership
        is_slow = self._clock.now_ms() - asked_ms > SLOW_READ_MS
        if is_slow and self.acting_id and membership.is_alive(self.acting_id, asked_ms):
            # The acting node waits for the same slow store; another one would move keys no sooner.
            return
        if role is not None and role.epoch > self.role_epoch:
            self._follow(role.epoch, NodeId(role.node_id))
            acting_id = self.acting_id or self._context.node_id
            is_alive = membership.is_alive(acting_id, self._clock.now_ms())
            is_served = is_alive and membership.reaches_store(acting_id)
            if acting_id != self._context.node_id and is_served:
                return
        epoch = max(self.role_epoch, role.epoch if role else 0) + 1
        taken = await self._rows.take(epoch, self._role_record(epoch))
        if isinstance(taken, Err):
            logger.info("%s: the role was not taken: %s", self.service, taken.err_value)
            return
        self.role_epoch = epoch
        self.acting_id = self._context.node_id
        self._has_role = True
        self._silent_since_ms = None
        if stored is not None and (self.ranges is None or stored.version > self.ranges.version):
            self.ranges = stored
            self.step = 0
        self._rights.confirm_by_store(stored.version if stored else 0, asked_ms)
        log_event(logger, Event.ROLE_TAKEN, service=self.service, epoch=epoch)
        if self.ranges is not None:
            self._publish()
            self._transfers.start(self.ranges)

    # ---- placement ----

    async def _place(self, now_ms: int) -> None:
        health_path = self._context.health_path(self.service)
        self.orders.probe_lost(self.candidates.ready().values(), health_path)
        servers = self.candidates.usable()
        if self.ranges is None:
            await self._place_first(servers, now_ms)
            return
        moves = self._urgent_moves(servers, now_ms)
        if not moves and now_ms >= self._next_balance_ms:
            self._next_balance_ms = now_ms + BALANCE_INTERVAL_MS
            sample, held = self.hits.sample(now_ms), held_pins(self.pins, servers)
            moves = plan_moves(self.ranges, servers, sample, BalanceSettings(), held)
        if moves:
            await self._commit(self.ranges, moves)
        elif self._is_settling_due(now_ms):
            await self._commit(self.ranges, [])

    def _is_settling_due(self, now_ms: int) -> bool:
        since_ms = self._unsettled_since_ms
        return since_ms is not None and now_ms - since_ms >= SETTLE_AFTER_MS

    async def _place_first(self, servers: dict[ServerLife, ServerLoad], now_ms: int) -> None:
        count, since_ms = self._servers_seen
        if len(servers) != count:
            self._servers_seen = (len(servers), now_ms)
            return
        if not servers or now_ms - since_ms < FIRST_MAP_QUIET_MS:
            return
        empty = RangeMap(self.service, [KeyRange(0, KEY_COUNT - 1, None, 0)])
        await self._commit(empty, initial_moves(servers))

    def _urgent_moves(self, servers: dict[ServerLife, ServerLoad], now_ms: int) -> list[Move]:
        """Give away what lost or leaving servers own, and renew fences that are too low."""
        assert self.ranges is not None
        if not servers:
            return []
        moves: list[Move] = []
        for entry in self.orders.stale:
            if entry in self.ranges.ranges and entry.owner in servers:
                moves.append(Move(entry.first, entry.last, entry.owner, MoveReason.STALE_FENCE))
        self.orders.stale.clear()
        stranded = {
            entry: self._reason_to_leave(entry.owner)
            for entry in self.ranges
            if entry.owner not in servers
        }
        if stranded:
            sample = self.hits.sample(now_ms)
            moves += rescue_moves(self.ranges, stranded, servers, sample)
        return moves + pin_moves(self.ranges, self.pins, servers)

    def _reason_to_leave(self, owner: ServerLife | None) -> MoveReason:
        record = None if owner is None else self._context.registry.find(owner)
        is_leaving = record is not None and record.state is ServerState.LEAVING
        return MoveReason.SERVER_LEAVING if is_leaving else MoveReason.SERVER_LOST

    async def _commit(self, ranges: RangeMap, moves: Sequence[Move]) -> None:
        """Write the next map before any order is sent; retry while the result is unknown."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_store_ms:
            return
        target = ranges.assign(moves, self.role_epoch)
        record = self._move_record(moves, ranges, target)
        asked_ms = now_ms
        written = await self._rows.commit(target, record)
        while isinstance(written, Err) and isinstance(written.err_value, StoreAnswerLost):
            log_event(logger, Event.TABLE_ANSWER_LOST, service=self.service, map=target.version)
            await asyncio.sleep(STORE_RETRY_MS / 1000)
            if not self._has_role:
                return
            asked_ms = self._clock.now_ms()
            written = await self._rows.commit(target, record)
        if isinstance(written, Err):
            self._on_refused(written.err_value)
            return
        if not self._has_role:
            return
        # Confirmations that arrived during the write hold for the ranges that did not change.
        confirmed = self.ranges
        if confirmed is not None:
            for entry in confirmed:
                if not entry.is_pending:
                    target = target.confirm(entry.first, entry.last, entry.fence)
        self._rights.confirm_by_store(target.version, asked_ms)
        self._unsettled_since_ms = None
        self.ranges = target
        self.step = 0
        self._note_moves(moves, target)
        self._publish()
        self._transfers.start(target)

    def _role_record(self, epoch: int) -> AuditRecord:
        context = self._context
        return role_record(
            context.node_id,
            self._clock.wall_ms(),
            self.service,
            context.manifest_version(),
            epoch,
        )

    def _move_record(
        self, moves: Sequence[Move], before: RangeMap, after: RangeMap
    ) -> AuditRecord | None:
        if not moves:
            return None
        context = self._context
        return move_record(
            context.node_id,
            self._clock.wall_ms(),
            context.manifest_version(),
            moves,
            before,
            after,
        )

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
            self._drop_role(str(error))
            return
        self._next_store_ms = self._clock.now_ms() + STORE_RETRY_MS
        log_event(logger, Event.TABLE_UNAVAILABLE, service=self.service, error=str(error))

    def _confirm(self, entry: KeyRange) -> None:
        """Note that a range's owner has its grant."""
        if self.ranges is None or not self._has_role:
            return
        self.ranges = self.ranges.confirm(entry.first, entry.last, entry.fence)
        self.step += 1
        if self._unsettled_since_ms is None:
            self._unsettled_since_ms = self._clock.now_ms()
        self._publish()

    def _publish(self) -> None:
        assert self.ranges is not None
        self._context.on_map(self.ranges)
        self._context.push_map(self.ranges, self.step)

    def imbalance(self) -> float:
        """Return the work of the fullest server over the mean, for equal capacities."""
        now_ms = self._clock.now_ms()
        assert self.ranges is not None
        return work_imbalance(self.ranges, self.candidates.usable(), self.hits.sample(now_ms))
