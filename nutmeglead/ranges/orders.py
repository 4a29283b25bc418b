"""Send grants and releases, each only while this node has the right to."""

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.platform.grants import GrantClient, GrantError, GrantRefused, ServerUnreachable
from nutmeglead.ranges.health import HolderHealth
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.rights import RenewalRights

__all__ = ["HOLD_MS", "NoRight", "OrderResults", "OrderSender"]

logger = logging.getLogger(__name__)

# A key is served again within 2 s of a loss (target): the interval of renewals, the timeout of the
# last one, the hold with its drift and the next grant lie between.
HOLD_MS = 1_200
RENEW_INTERVAL_MS = 400
# An order and its answer take under 30 ms between failure domains. Four orders without an answer
# fit into a hold.
GRANT_TIMEOUT_MS = 160
PROBE_INTERVAL_MS = 500
# A release is answered when the work on its keys has ended.
RELEASE_TIMEOUT_MS = 1_500


class NoRight(GrantError):
    """Report a grant that was not sent, because a newer map may exist."""

    def __str__(self) -> str:
        return "the map is not confirmed to be the newest"


@dataclass
class OrderResults:
    """Collect the servers that answered orders, did not, or refused them."""

    answered: set[ServerIncarnation] = field(default_factory=set)
    failed: list[ServerIncarnation] = field(default_factory=list)
    refused: list[ServerIncarnation] = field(default_factory=list)
    # First keys of ranges whose owners have seen a higher fence.
    stale: set[int] = field(default_factory=set)

    def clear(self) -> None:
        """Forget everything."""
        for part in (self.answered, self.failed, self.refused, self.stale):
            part.clear()


class OrderSender:
    """Send orders to the servers of one service."""

    def __init__(
        self,
        client: GrantClient,
        registry: ServerRegistry,
        rights: RenewalRights,
        health: HolderHealth,
        clock: Clock,
        max_hold_ms: int,
        current_map: Callable[[], RangeMap | None],
    ) -> None:
        self.hold_ms = min(HOLD_MS, max_hold_ms)
        self._client = client
        self._registry = registry
        self._rights = rights
        self._health = health
        self._clock = clock
        self._current_map = current_map
        self._renewed_ms: dict[ServerIncarnation, int] = {}
        self._renewing: dict[ServerIncarnation, asyncio.Task[None]] = {}
        self._probed_ms: dict[ServerIncarnation, int] = {}
        self._probes: set[asyncio.Task[None]] = set()
        # Ranges whose owner has seen a higher fence; they need a new one.
        self.stale: set[KeyRange] = set()
        # What was heard since the acting node was told.
        self.results = OrderResults()

    async def grant(
        self, owner: ServerIncarnation, keys: KeyRange, handover: str | None
    ) -> Result[None, GrantError]:
        """Grant a range under the current map."""
        current = self._current_map()
        record = self._registry.find(owner)
        if record is None or self._registry.is_superseded(owner):
            return Err(ServerUnreachable(owner.server_id, "this incarnation of the server is over"))
        # The boot-time clock is read right before the send; a VM may have been suspended.
        if current is None or not self._rights.may_send(current, self._clock.now_ms()):
            return Err(NoRight())
        self._rights.begin_order(owner)
        # Until its connection ended, the order may have been on its way.
        may_have_arrived = True
        try:
            sent = await self._client.grant(
                owner.server_id,
                (record.ip, record.port),
                (keys.first, keys.last),
                keys.fence,
                self.hold_ms,
                handover,
                GRANT_TIMEOUT_MS,
            )
            may_have_arrived = not _was_not_sent(sent)
        finally:
            self._rights.end_order(owner, may_have_arrived, self._clock.now_ms())
        self._note(owner, sent)
        return sent

    async def release(
        self, holder: ServerIncarnation, keys: KeyRange
    ) -> Result[str | None, GrantError]:
        """Take a range back with the fence of its next owner; return the handover.

        A repeat of an old grant may have reached the next incarnation of a server that restarted at
        its address, so the release goes to the newest incarnation.
        """
        record = self._registry.newest_record(holder)
        if record is None:
            return Err(ServerUnreachable(holder.server_id, "no address is known"))
        released = await self._client.release(
            holder.server_id,
            (record.ip, record.port),
            (keys.first, keys.last),
            keys.fence,
            RELEASE_TIMEOUT_MS,
        )
        if isinstance(released, Ok):
            self._health.on_answer(holder, self._clock.now_ms())
        return released

    def probe_lost(self, records: Iterable[ServerRecord], health_path: str) -> None:
        """Ask servers that are taken for lost whether they live; nothing else would tell."""
        now_ms = self._clock.now_ms()
        for record in records:
            due_ms = self._probed_ms.get(record.incarnation, -PROBE_INTERVAL_MS) + PROBE_INTERVAL_MS
            if now_ms < due_ms or not self._health.is_lost(record.incarnation, now_ms):
                continue
            self._probed_ms[record.incarnation] = now_ms
            task = asyncio.get_running_loop().create_task(self._probe(record, health_path))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)

    async def _probe(self, record: ServerRecord, health_path: str) -> None:
        address = (record.ip, record.port)
        if await self._client.is_alive(record.server_id, address, health_path, GRANT_TIMEOUT_MS):
            self._health.on_answer(record.incarnation, self._clock.now_ms())

    def renew_due(self, owners: Collection[ServerIncarnation]) -> None:
        """Begin the renewals of some servers that are due; each server's run at the same time."""
        current = self._current_map()
        now_ms = self._clock.now_ms()
        if current is None or not self._rights.may_send(current, now_ms):
            return
        by_owner: dict[ServerIncarnation, list[KeyRange]] = {}
        for entry in current:
            if entry.owner in owners and not entry.is_pending:
                assert entry.owner is not None
                by_owner.setdefault(entry.owner, []).append(entry)
        for owner, owned in by_owner.items():
            due_ms = self._renewed_ms.get(owner, -RENEW_INTERVAL_MS) + RENEW_INTERVAL_MS
            if now_ms >= due_ms and owner not in self._renewing:
                self._begin_renewal(owner, owned, now_ms)

    def _begin_renewal(self, owner: ServerIncarnation, owned: list[KeyRange], now_ms: int) -> None:
        self._renewed_ms[owner] = now_ms
        task = asyncio.get_running_loop().create_task(self._renew(owner, owned))
        self._renewing[owner] = task
        task.add_done_callback(lambda _: self._renewing.pop(owner, None))

    async def _renew(self, owner: ServerIncarnation, owned: list[KeyRange]) -> None:
        sent = await asyncio.gather(*(self._renew_range(owner, entry) for entry in owned))
        if not all(sent):
            # The next round repeats what failed without waiting for the interval.
            self._renewed_ms.pop(owner, None)

    async def _renew_range(self, owner: ServerIncarnation, entry: KeyRange) -> bool:
        current = self._current_map()
        if current is None or current.locate(entry.first) != entry:
            return True
        sent = await self.grant(owner, entry, None)
        if isinstance(sent, Err) and isinstance(sent.err_value, GrantRefused):
            if sent.err_value.is_stale:
                self.stale.add(entry)
                self.results.stale.add(entry.first)
            log_event(
                logger,
                Event.GRANT_REFUSED,
                server=owner.server_id,
                first=entry.first,
                last=entry.last,
                fence=entry.fence,
                status=sent.err_value.status,
            )
        return not isinstance(sent, Err)

    def _note(self, owner: ServerIncarnation, sent: Result[None, GrantError]) -> None:
        now_ms = self._clock.now_ms()
        error = None if isinstance(sent, Ok) else sent.err_value
        if error is None or (isinstance(error, GrantRefused) and error.is_stale):
            self._health.on_answer(owner, now_ms)
            self.results.answered.add(owner)
        elif not isinstance(error, NoRight):
            refused = isinstance(error, ServerUnreachable) and "refused" in error.reason.lower()
            is_refused = refused or isinstance(error, GrantRefused)
            self._health.on_failure(owner, is_refused, now_ms)
            (self.results.refused if is_refused else self.results.failed).append(owner)

    def close(self) -> None:
        """Cancel the renewals under way."""
        for task in [*self._renewing.values(), *self._probes]:
            task.cancel()


def _was_not_sent(sent: Result[None, GrantError]) -> bool:
    return isinstance(sent, Err) and isinstance(sent.err_value, ServerUnreachable)
