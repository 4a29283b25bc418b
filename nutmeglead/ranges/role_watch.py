"""Know which node acts for a service, and take the role when that one is silent."""

import logging
from collections.abc import Callable

from result import Err

from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.peers.membership import STORE_SILENT_AFTER_MS
from nutmeglead.ranges.audit import role_record
from nutmeglead.ranges.context import ControllerContext
from nutmeglead.ranges.model import RangeMap
from nutmeglead.ranges.role import RoleRows

__all__ = ["STORE_RETRY_MS", "RoleWatch"]

logger = logging.getLogger(__name__)

# Each rank waits longer before it takes a silent controller's role, so that few try at once.
RANK_DELAY_MS = 250
STORE_RETRY_MS = 250
# Half of the time after which a node counts as not served by the store.
SLOW_READ_MS = STORE_SILENT_AFTER_MS // 2

Taken = Callable[[RangeMap | None, int], None]


class RoleWatch:
    """Hold what this node knows of the role.

    `on_taken` gets the stored map and the time at which it was asked for, `on_lost` is called when
    this node has lost the role.
    """

    def __init__(
        self,
        service: ServiceName,
        rows: RoleRows,
        context: ControllerContext,
        on_taken: Taken,
        on_lost: Callable[[], None],
    ) -> None:
        self.epoch = 0
        self.acting_id: NodeId | None = None
        self.is_held = False
        self._service = service
        self._rows = rows
        self._context = context
        self._clock = context.clock
        self._on_taken = on_taken
        self._on_lost = on_lost
        self._silent_since_ms: int | None = None
        self._next_store_ms = 0

    def follow(self, epoch: int, acting_id: NodeId) -> None:
        """Follow a node that acts under an epoch, if it is newer than what is known."""
        if epoch < self.epoch or (epoch == self.epoch and self.acting_id is not None):
            return
        self.epoch = epoch
        self.acting_id = acting_id
        self._silent_since_ms = None
        if acting_id != self._context.node_id:
            self.drop("another node has a higher epoch")

    def drop(self, reason: str) -> None:
        """Give the role up, if this node has it."""
        if not self.is_held:
            return
        self.is_held = False
        self._on_lost()
        log_event(logger, Event.ROLE_LOST, service=self._service, epoch=self.epoch, reason=reason)

    async def watch(self, now_ms: int) -> None:
        """Take the role when its holder is silent and this node is next in rank."""
        membership = self._context.membership
        if self.acting_id not in (None, self._context.node_id) and self._is_served(now_ms):
            self._silent_since_ms = None
            return
        if self._silent_since_ms is None:
            self._silent_since_ms = now_ms
        if now_ms < self._next_store_ms:
            return
        turn = (now_ms - self._silent_since_ms) // RANK_DELAY_MS
        if membership.rank(now_ms, turn) > turn:
            return
        if not self._context.registry.records(self._service):
            return
        self._next_store_ms = now_ms + STORE_RETRY_MS
        await self._take()

    def _is_served(self, now_ms: int) -> bool:
        """Tell whether the acting node lives, and the store serves it no worse than this node.

        One that the store turns away cannot move keys; it gives way to one that can.
        """
        membership, acting_id = self._context.membership, self.acting_id
        if acting_id is None or not membership.is_alive(acting_id, now_ms):
            return False
        return membership.reaches_store(acting_id) or self._context.store_age_ms() > 0

    async def _take(self) -> None:
        asked_ms = self._clock.now_ms()
        state = await self._rows.read()
        if isinstance(state, Err):
            logger.info("%s: the role was not read: %s", self._service, state.err_value)
            return
        role, stored = state.ok_value.role, state.ok_value.ranges
        membership = self._context.membership
        is_slow = self._clock.now_ms() - asked_ms > SLOW_READ_MS
        if is_slow and self.acting_id and membership.is_alive(self.acting_id, asked_ms):
            # The acting node waits for the same slow store; another one would move keys no sooner.
            return
        if role is not None and role.epoch > self.epoch:
            self.follow(role.epoch, NodeId(role.node_id))
            is_other = self.acting_id != self._context.node_id
            if is_other and self._is_served(self._clock.now_ms()):
                return
        epoch = max(self.epoch, role.epoch if role else 0) + 1
        context = self._context
        record = role_record(
            context.node_id,
            self._clock.wall_ms(),
            self._service,
            context.manifest_version(),
            epoch,
        )
        taken = await self._rows.take(epoch, record)
        if isinstance(taken, Err):
            logger.info("%s: the role was not taken: %s", self._service, taken.err_value)
            return
        self.epoch = epoch
        self.acting_id = context.node_id
        self.is_held = True
        self._silent_since_ms = None
        log_event(logger, Event.ROLE_TAKEN, service=self._service, epoch=epoch)
        self._on_taken(stored, asked_ms)
