"""Track which node acts for a service, and take the role when that node cannot act."""

import logging
from collections.abc import Callable

from result import Err, Ok

from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.peers.fetch import PEER_TIMEOUT_MS
from nutmeglead.peers.peer import SILENT_AFTER_MS, STORE_SILENT_AFTER_MS
from nutmeglead.peers.silence import is_loss_shown
from nutmeglead.ranges.audit import role_record
from nutmeglead.ranges.context import ControllerContext, NoViewReason
from nutmeglead.ranges.numbers import first_epoch
from nutmeglead.ranges.role import RoleRows, StoredState

__all__ = ["STORE_RETRY_MS", "RoleWatch"]

logger = logging.getLogger(__name__)

# Each rank waits this much longer before it tries to take a vacant role, so that few nodes try at
# once.
RANK_DELAY_MS = 250
STORE_RETRY_MS = 250
# A node that cannot tell whether the acting node is lost takes the role after this time without a
# sign of it, and looks for one at this interval.
DOUBT_WAIT_MS = 3_000
DOUBT_CHECK_INTERVAL_MS = 500
# Half of the silence after which the store counts as not serving a node.
SLOW_READ_MS = STORE_SILENT_AFTER_MS // 2
# A node without an answer for this time is cut off also from a slow store: two calls in a row, with
# a timeout of 1,500 ms each, have failed. One transaction may take much longer than a read.
SLOW_STORE_SILENT_AFTER_MS = 3_000

RoleTakenCallback = Callable[[StoredState, int], None]


class RoleWatch:
    """Hold what this node knows of a service's role, and take the role when it is vacant.

    `on_taken` is called with the stored state and the time just before it was read, `on_lost` when
    this node has lost the role.
    """

    def __init__(
        self,
        service: ServiceName,
        rows: RoleRows,
        context: ControllerContext,
        on_taken: RoleTakenCallback,
        on_lost: Callable[[], None],
    ) -> None:
        self.epoch = 0
        self.acting_id: NodeId | None = None
        self.is_held = False
        # Whether this node held the role when it learned that the store has returned.
        self.was_held_in_last_era = False
        # The era of the store in which this node took the role.
        self.era = 0
        self._service = service
        self._rows = rows
        self._context = context
        self._clock = context.clock
        self._on_taken = on_taken
        self._on_lost = on_lost
        self._vacant_since_ms: int | None = None
        # The acting node if its host has answered that its process is gone.
        self._gone_id: NodeId | None = None
        # The role epoch and the map version in the store when this node last looked for a sign.
        self._last_sign: tuple[int, int] | None = None
        self._next_attempt_ms = 0

    def follow(self, epoch: int, acting_id: NodeId) -> None:
        """Record the node that acts under an epoch, unless a node of that or a newer one is known.

        Give the role up if that is another node.
        """
        if epoch < self.epoch or (epoch == self.epoch and self.acting_id is not None):
            return
        self.epoch = epoch
        self.acting_id = acting_id
        self._vacant_since_ms = self._last_sign = self._gone_id = None
        if acting_id != self._context.node_id:
            self.give_up(f"node {acting_id} acts under epoch {epoch}")

    def give_up(self, reason: str) -> None:
        """Give the role up if this node holds it, and log the reason."""
        if not self.is_held:
            return
        self.is_held = False
        self._on_lost()
        log_event(logger, Event.ROLE_LOST, service=self._service, epoch=self.epoch, reason=reason)

    def check_era(self) -> None:
        """Give the role up if the store has returned, since the write that took it may be lost."""
        if self.is_held and self._rows.is_outdated:
            self.give_up("the store has returned from an older copy")
            self.was_held_in_last_era = True

    async def watch(self, now_ms: int) -> None:
        """Try to take the role if the acting node is not able and this node is next in rank.

        A service without listed servers gets no acting node. A node that cannot tell whether the
        acting node is lost waits until there was no sign of it for DOUBT_WAIT_MS.
        """
        membership = self._context.membership
        if self.acting_id not in (None, self._context.node_id) and self._is_acting_able(now_ms):
            self._vacant_since_ms = self._last_sign = self._gone_id = None
            return
        if self._vacant_since_ms is None:
            self._vacant_since_ms = now_ms
        if now_ms < self._next_attempt_ms:
            return
        vacant_ms = now_ms - self._vacant_since_ms
        if self._is_in_doubt(now_ms):
            vacant_ms -= DOUBT_WAIT_MS
            if vacant_ms < 0:
                await self._look_for_sign(now_ms)
                return
        allowed_rank = vacant_ms // RANK_DELAY_MS
        is_next = self.acting_id == self._context.node_id
        if not is_next and membership.rank(now_ms, allowed_rank) > allowed_rank:
            return
        if not self._context.registry.records(self._service):
            return
        self._next_attempt_ms = now_ms + STORE_RETRY_MS
        await self._try_take_role()

    def _is_acting_able(self, now_ms: int) -> bool:
        """Return whether the acting node is alive and the store serves it no worse than this node.

        An acting node that the store does not serve cannot move keys, and gives way to one that
        can.
        """
        membership, acting_id = self._context.membership, self.acting_id
        if acting_id is None or not membership.is_alive(acting_id, now_ms):
            return False
        return membership.reaches_store(acting_id) or self._context.store_age_ms() > 0

    def _is_in_doubt(self, now_ms: int) -> bool:
        """Return whether another node acts that may be able to, although this one cannot tell."""
        if self.acting_id in (None, self._context.node_id, self._gone_id):
            return False
        return not is_loss_shown(self._context.membership, self.acting_id, now_ms)

    async def _look_for_sign(self, now_ms: int) -> None:
        """Restart the wait on a sign of the acting node, or if this node could not see one.

        A sign is an answer to a request, or a change of its rows in the store since the last look.
        A doubt that has just begun soon ends, unless this node is cut off or its link is full.
        """
        assert self.acting_id is not None and self._vacant_since_ms is not None
        if now_ms - self._vacant_since_ms < DOUBT_CHECK_INTERVAL_MS:
            return
        self._next_attempt_ms = now_ms + DOUBT_CHECK_INTERVAL_MS
        acting_id = self.acting_id
        answer = await self._context.ask_view(self._service, acting_id)
        if isinstance(answer, Ok):
            if answer.ok_value.acting_node_id:
                self.follow(answer.ok_value.role_epoch, NodeId(answer.ok_value.acting_node_id))
            self._vacant_since_ms = self._clock.now_ms()
            return
        if answer.err_value is NoViewReason.PROCESS_GONE and acting_id == self.acting_id:
            self._gone_id, self._next_attempt_ms = acting_id, now_ms
            return
        asked_ms = self._clock.now_ms()
        state = await self._rows.read()
        read_ms = self._clock.now_ms()
        if isinstance(state, Err) or read_ms - asked_ms > PEER_TIMEOUT_MS:
            # An answer of the acting node would have come too late as well.
            self._vacant_since_ms = read_ms
            return
        role, ranges = state.ok_value.role, state.ok_value.ranges
        if role is not None:
            self.follow(role.epoch, NodeId(role.node_id))
        last_sign = self._last_sign
        self._last_sign = (role.epoch if role else 0, ranges.version if ranges else 0)
        if last_sign not in (None, self._last_sign):
            self._vacant_since_ms = read_ms

    async def _try_take_role(self) -> None:
        """Read the role and the map, and take the role unless another node should act."""
        asked_ms, known_epoch = self._clock.now_ms(), self.epoch
        state = await self._rows.read()
        if isinstance(state, Err):
            logger.info(
                "%s: reading the role and the range map in the store failed: %s",
                self._service,
                state.err_value,
            )
            return
        role, context = state.ok_value.role, self._context
        if context.membership.is_leaving:
            # This node has begun to stop while it read the role.
            return
        if self._rows.is_own(role) and self._is_newest(state.ok_value):
            # The answer to the write was lost, or what followed was taken for a loss of the role.
            assert role is not None
            self._hold(state.ok_value, role.epoch, asked_ms)
            return
        if self._waits_for_same_store(asked_ms):
            # This node would move keys no sooner.
            return
        if role is not None:
            self.follow(role.epoch, NodeId(role.node_id))
        # Another acting node may be known from the row, or from a heartbeat during the read.
        if self.epoch > known_epoch and self.acting_id != context.node_id:
            read_ms = self._clock.now_ms()
            if self._is_acting_able(read_ms) or self._is_in_doubt(read_ms):
                return
        epoch = first_epoch(state.ok_value.era, max(self.epoch, role.epoch if role else 0))
        record = role_record(
            context.node_id,
            self._clock.wall_ms(),
            self._service,
            context.manifest_version(),
            epoch,
        )
        taken = await self._rows.write_role(epoch, record)
        if isinstance(taken, Err):
            logger.info(
                "%s: taking the role under epoch %d failed: %s",
                self._service,
                epoch,
                taken.err_value,
            )
            return
        self._hold(state.ok_value, epoch, asked_ms)

    def _waits_for_same_store(self, asked_ms: int) -> bool:
        """Return whether the acting node waits for a store that is as slow for this node.

        One that has left the acting node without an answer for long does not answer it at all.
        """
        read_ms = self._clock.now_ms() - asked_ms
        if read_ms <= SLOW_READ_MS or self.acting_id in (None, self._context.node_id):
            return False
        membership, acting_id = self._context.membership, self.acting_id
        if acting_id is None or not membership.is_alive(acting_id, asked_ms):
            return False
        peer = membership.get(acting_id)
        if peer is None or peer.heartbeat is None or peer.heartbeat_received_ms is None:
            return True
        is_heard = peer.heartbeat_received_ms >= asked_ms - SILENT_AFTER_MS
        return not is_heard or peer.heartbeat.store_age_ms <= SLOW_STORE_SILENT_AFTER_MS

    def _is_newest(self, state: StoredState) -> bool:
        """Return whether the stored role is of the store's era and of no older epoch than known."""
        epoch = 0 if state.role is None else state.role.epoch
        return epoch >= max(self.epoch, first_epoch(state.era, 0))

    def _hold(self, state: StoredState, epoch: int, asked_ms: int) -> None:
        """Act under an epoch, from a state of the rows in which this node holds the role."""
        self.epoch = epoch
        self.acting_id = self._context.node_id
        self.is_held = True
        self._vacant_since_ms = None
        log_event(logger, Event.ROLE_TAKEN, service=self._service, epoch=epoch)
        self.era = state.era
        self._on_taken(state, asked_ms)
        self.was_held_in_last_era = False
