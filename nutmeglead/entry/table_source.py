"""Decide whether this node reads the store's tables itself or takes copies from its hubs."""

import logging

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import HEARTBEAT_INTERVAL_MS

__all__ = ["TableSource"]

logger = logging.getLogger(__name__)

# A hub that is not heard for longer has sent two heartbeats that did not arrive.
UNHEARD_AFTER_MS = 2 * HEARTBEAT_INTERVAL_MS + 50
# How many hubs make sure that the store has received their feed calls. The others learn of changes
# from them if their own calls were lost; the second one is there for a loss of the first.
CHECKING_HUBS = 2
# A hub that has answered within this time counts as up, whether it is heard or not.
ANSWER_VALID_MS = 1_000


class TableSource:
    """Choose where this node's tables come from, and log each change of the choice."""

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._last_answer_ms: int | None = None
        # None before the first choice, which every node makes before it knows any hub.
        self._is_store: bool | None = None

    def follows_store(self) -> bool:
        """Return whether this node reads the tables from the store, as hubs do.

        Another node does so only while none of its hubs is alive or answers requests.
        """
        membership, now_ms = self._membership, self._clock.now_ms()
        is_without_hub = membership.is_hub(now_ms) or not any(
            membership.is_alive(hub, now_ms) for hub in membership.own_hub_ids(now_ms)
        )
        is_store = is_without_hub and not self._is_answered(now_ms)
        if self._is_store is not None and is_store != self._is_store:
            source = "store" if is_store else "copies"
            log_event(
                logger, Event.TABLE_SOURCE_CHANGED, source=source, silent_ms=self._silent_ms()
            )
        self._is_store = is_store
        return is_store

    def checks_calls(self) -> bool:
        """Return whether this node is one of the first hubs that the store answers.

        In an outage, each hub that has noticed it makes another one check its calls.
        """
        membership, now_ms = self._membership, self._clock.now_ms()
        answered = [
            hub
            for hub in membership.hub_ids(now_ms)
            if hub == membership.own_id or membership.reaches_store(hub)
        ]
        return membership.own_id in answered[:CHECKING_HUBS]

    def unheard_hubs(self) -> list[NodeId]:
        """Return the regular hubs of a node that hears none of them, or an empty list.

        A full link loses heartbeats, while requests over it are only delayed.
        """
        hubs = self._membership.regular_hub_ids()
        silent_ms = self._silent_ms()
        if self._membership.own_id in hubs or silent_ms is None or silent_ms <= UNHEARD_AFTER_MS:
            return []
        return hubs

    def record_answer(self) -> None:
        """Record that a regular hub which is not heard has sent a copy."""
        self._last_answer_ms = self._clock.now_ms()

    def _is_answered(self, now_ms: int) -> bool:
        answer_ms = self._last_answer_ms
        return answer_ms is not None and now_ms - answer_ms <= ANSWER_VALID_MS

    def _silent_ms(self) -> int | None:
        """Return the time since the newest heartbeat of a regular hub, or None before the first."""
        peers = map(self._membership.get, self._membership.regular_hub_ids())
        received = [peer.heartbeat_received_ms for peer in peers if peer is not None]
        times = [at_ms for at_ms in received if at_ms is not None]
        return self._clock.now_ms() - max(times) if times else None
