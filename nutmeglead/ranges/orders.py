"""Send grants and releases of key ranges, together called orders, to the servers of a service.

Orders are sent only while this node knows that its map is the newest.
"""

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.forwarding.address_checks import AddressChecks
from nutmeglead.forwarding.addresses import AddressHolder
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.platform.grants import (
    AddressLost,
    GrantClient,
    GrantError,
    GrantRefused,
    OrderNotPermitted,
    ServerUnreachable,
)
from nutmeglead.ranges.health import HolderHealth
from nutmeglead.ranges.model import KeyRange, RangeMap
from nutmeglead.ranges.rights import RenewalRights

__all__ = ["OrderResults", "OrderSender"]

logger = logging.getLogger(__name__)

RENEW_INTERVAL_MS = 400
# Pauses before a refused renewal is repeated; later ones last for the renewal interval. The first
# repetition comes at once, since two refusals are taken as the loss of the server.
REFUSED_REPEAT_MS = (0, 50, 100, 200)
# An order and its answer take under 30 ms between failure domains. Four unanswered orders fit into
# a hold.
GRANT_TIMEOUT_MS = 160
PROBE_INTERVAL_MS = 500
# Longer than for a grant, since a server answers a release when the work on the keys has ended.
RELEASE_TIMEOUT_MS = 1_500


@dataclass
class OrderResults:
    """Collect the servers that answered grants, failed to, or refused them."""

    answered: set[ServerIncarnation] = field(default_factory=set)
    failed: list[ServerIncarnation] = field(default_factory=list)
    refused: list[ServerIncarnation] = field(default_factory=list)
    # The first keys of ranges whose owners have seen a higher fence.
    stale: set[int] = field(default_factory=set)

    def clear(self) -> None:
        """Remove all collected results."""
        for collection in (self.answered, self.failed, self.refused, self.stale):
            collection.clear()


class OrderSender:
    """Send orders to the servers of one service, and record which servers answer them."""

    def __init__(
        self,
        client: GrantClient,
        address_checks: AddressChecks,
        registry: ServerRegistry,
        rights: RenewalRights,
        health: HolderHealth,
        clock: Clock,
        max_hold_ms: int,
        current_map: Callable[[], RangeMap | None],
    ) -> None:
        self.max_hold_ms = max_hold_ms
        self._client = client
        self._address_checks = address_checks
        self._registry = registry
        self._rights = rights
        self._health = health
        self._clock = clock
        self._current_map = current_map
        self._renewal_due_ms: dict[ServerIncarnation, int] = {}
        # Refused renewals in a row.
        self._refusal_counts: dict[ServerIncarnation, int] = {}
        self._renewing: dict[ServerIncarnation, asyncio.Task[None]] = {}
        self._probed_ms: dict[ServerIncarnation, int] = {}
        self._probes: set[asyncio.Task[None]] = set()
        # Ranges whose owners have seen a higher fence; the next map gives them a new one.
        self.stale_ranges: set[KeyRange] = set()
        # The results of grants since the last report to the acting node.
        self.results = OrderResults()

    async def grant(
        self, owner: ServerIncarnation, keys: KeyRange, handover: str | None
    ) -> Result[None, GrantError]:
        """Grant a range to its owner under the current map, or return why it was not granted.

        A grant of a range that the owner already holds renews it.
        """
        current = self._current_map()
        record = self._registry.find(owner)
        if record is None or self._registry.is_superseded(owner):
            return Err(
                ServerUnreachable(
                    owner.server_id,
                    "this incarnation is unknown or was superseded by a later one",
                )
            )
        if current is None or not self._may_grant(keys):
            return Err(OrderNotPermitted())
        if self._registry.addresses.is_lost(owner):
            lost: Result[None, GrantError] = Err(AddressLost(owner.server_id))
            self._record_result(record, lost)
            return lost
        self._rights.begin_grant(owner)
        # True also after an exception or a cancellation.
        may_have_arrived = True
        try:
            sent = await self._client.grant(
                record,
                (keys.first, keys.last),
                keys.fence,
                min(current.hold_ms, self.max_hold_ms),
                handover,
                GRANT_TIMEOUT_MS,
                lambda: self._may_grant(keys),
            )
            may_have_arrived = not _is_unsent(sent)
        finally:
            self._rights.end_grant(owner, may_have_arrived, self._clock.now_ms())
        self._record_result(record, sent)
        return sent

    def _may_grant(self, keys: KeyRange) -> bool:
        """Return whether the newest map is known and still gives the range to its owner.

        This reads the clock, which counts suspended time: while a connection was opened, the VM may
        have been suspended, or a newer map may have come.
        """
        current = self._current_map()
        if current is None or not self._rights.may_send(current, self._clock.now_ms()):
            return False
        entry = current.locate(keys.first)
        return (entry.first, entry.last, entry.owner, entry.fence) == (
            keys.first,
            keys.last,
            keys.owner,
            keys.fence,
        )

    def _may_release(self) -> bool:
        current = self._current_map()
        return current is not None and self._rights.may_send(current, self._clock.now_ms())

    async def release(
        self, holder: ServerIncarnation, keys: KeyRange
    ) -> Result[str | None, GrantError]:
        """Withdraw a range from a holder with the fence of its next owner; return the handover.

        The release goes to the server's newest incarnation: if the server has restarted at the same
        address, a repeated grant may have reached that one. Servers never refuse a release, so a
        node that was replaced must not send one: the holder may own the range again by now.
        """
        return await self._send_release(holder, keys, RELEASE_TIMEOUT_MS, self._may_release)

    async def fence(
        self, holder: ServerIncarnation, keys: KeyRange
    ) -> Result[str | None, GrantError]:
        """Release a range at a server whose hold has ended, unless it owns some of the keys again.

        The release has the short timeout of a grant, since the server has no work on the keys.
        """

        def may_fence() -> bool:
            current = self._current_map()
            is_owner = current is not None and current.gives_any(holder.server_id, keys)
            return self._may_release() and not is_owner

        return await self._send_release(holder, keys, GRANT_TIMEOUT_MS, may_fence)

    async def _send_release(
        self,
        holder: ServerIncarnation,
        keys: KeyRange,
        timeout_ms: int,
        may_send: Callable[[], bool],
    ) -> Result[str | None, GrantError]:
        if not may_send():
            return Err(OrderNotPermitted())
        record = self._registry.newest_record(holder)
        if record is None:
            return Err(ServerUnreachable(holder.server_id, "no address is known for the release"))
        if self._registry.addresses.is_lost(record.incarnation):
            return Err(AddressLost(holder.server_id))
        released = await self._client.release(
            record,
            (keys.first, keys.last),
            keys.fence,
            timeout_ms,
            may_send,
        )
        if isinstance(released, Ok):
            self._health.on_answer(holder, self._clock.now_ms())
        elif isinstance(released.err_value, GrantRefused):
            self._check_address(record, released.err_value)
        return released

    def _check_address(self, record: ServerRecord, refusal: GrantRefused) -> None:
        """Find out who has refused an order as the server itself does not."""
        if refusal.is_misdirected:
            now_ms = self._clock.now_ms()
            self._registry.record_address(record.incarnation, AddressHolder.ANOTHER, now_ms)
        else:
            self._address_checks.check(record)

    def probe_lost(self, records: Iterable[ServerRecord]) -> None:
        """Start health checks of the servers that count as lost and are due for one.

        Without them, nothing would show that such a server answers again. A server that wants no
        requests gets none of them either; grants, which are no requests, go on. Lost addresses are
        checked at longer intervals, by `AddressChecks`.
        """
        now_ms = self._clock.now_ms()
        for record in records:
            due_ms = self._probed_ms.get(record.incarnation, -PROBE_INTERVAL_MS) + PROBE_INTERVAL_MS
            if now_ms < due_ms or not self._health.is_lost(record.incarnation, now_ms):
                continue
            if self._registry.is_backing_off(record.incarnation, now_ms):
                continue
            if self._registry.addresses.is_lost(record.incarnation):
                continue
            self._probed_ms[record.incarnation] = now_ms
            task = asyncio.get_running_loop().create_task(self._probe(record))
            self._probes.add(task)
            task.add_done_callback(self._probes.discard)

    async def _probe(self, record: ServerRecord) -> None:
        check = self._address_checks.check(record)
        # Others wait for the same check.
        if check is not None and await asyncio.shield(check) is AddressHolder.ITSELF:
            self._health.on_answer(record.incarnation, self._clock.now_ms())

    def renew_due(self, owners: Collection[ServerIncarnation]) -> None:
        """Start the renewals of the given servers that are due, in one task for each server."""
        current = self._current_map()
        now_ms = self._clock.now_ms()
        if current is None or not self._rights.may_send(current, now_ms):
            return
        by_owner: dict[ServerIncarnation, list[KeyRange]] = {}
        for entry in current:
            if entry.owner in owners and not entry.is_pending:
                assert entry.owner is not None
                by_owner.setdefault(entry.owner, []).append(entry)
        for owner, owned_ranges in by_owner.items():
            if now_ms >= self._renewal_due_ms.get(owner, 0) and owner not in self._renewing:
                self._start_renewal(owner, owned_ranges, now_ms)

    def _start_renewal(
        self, owner: ServerIncarnation, owned_ranges: list[KeyRange], now_ms: int
    ) -> None:
        self._renewal_due_ms[owner] = now_ms + RENEW_INTERVAL_MS
        task = asyncio.get_running_loop().create_task(self._renew(owner, owned_ranges))
        self._renewing[owner] = task
        task.add_done_callback(lambda _: self._renewing.pop(owner, None))

    async def _renew(self, owner: ServerIncarnation, owned_ranges: list[KeyRange]) -> None:
        errors = await asyncio.gather(*(self._renew_range(owner, entry) for entry in owned_ranges))
        if any(_is_refusal(error) for error in errors):
            self._pause_renewals(owner)
            return
        self._refusal_counts.pop(owner, None)
        if any(errors):
            # Without an answer, the next call of `renew_due` renews without waiting for the
            # interval: the timeout is pause enough.
            self._renewal_due_ms.pop(owner, None)

    def _pause_renewals(self, owner: ServerIncarnation) -> None:
        """Delay the next renewals of a server that has refused one, longer with each refusal."""
        count = self._refusal_counts.get(owner, 0)
        self._refusal_counts[owner] = count + 1
        is_first_ones = count < len(REFUSED_REPEAT_MS)
        pause_ms = REFUSED_REPEAT_MS[count] if is_first_ones else RENEW_INTERVAL_MS
        self._renewal_due_ms[owner] = self._clock.now_ms() + pause_ms

    async def _renew_range(self, owner: ServerIncarnation, entry: KeyRange) -> GrantError | None:
        """Renew one range; return the error if the renewal failed and has to be repeated."""
        current = self._current_map()
        if current is None or current.locate(entry.first) != entry:
            return None
        sent = await self.grant(owner, entry, None)
        if isinstance(sent, Err) and isinstance(sent.err_value, GrantRefused):
            if sent.err_value.is_stale:
                self.stale_ranges.add(entry)
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
        return sent.err_value if isinstance(sent, Err) else None

    def _record_result(self, record: ServerRecord, sent: Result[None, GrantError]) -> None:
        """Record the result of a grant for the server's health and the next report.

        A server that refuses a fence as too low has answered.
        """
        owner, now_ms = record.incarnation, self._clock.now_ms()
        error = None if isinstance(sent, Ok) else sent.err_value
        if isinstance(error, GrantRefused) and not error.is_stale:
            self._check_address(record, error)
        if error is None or (isinstance(error, GrantRefused) and error.is_stale):
            self._registry.record_address(owner, AddressHolder.ITSELF, now_ms)
            self._health.on_answer(owner, now_ms)
            self.results.answered.add(owner)
        elif not isinstance(error, OrderNotPermitted):
            is_refused = _is_refusal(error)
            self._health.on_failure(owner, is_refused, now_ms)
            (self.results.refused if is_refused else self.results.failed).append(owner)

    def close(self) -> None:
        """Cancel the renewals and health checks in progress."""
        for task in [*self._renewing.values(), *self._probes]:
            task.cancel()


def _is_unsent(sent: Result[None, GrantError]) -> bool:
    return isinstance(sent, Err) and isinstance(
        sent.err_value, ServerUnreachable | OrderNotPermitted
    )


def _is_refusal(error: GrantError | None) -> bool:
    """Return whether a server, or the VM without one, refuses orders for the server at once."""
    if isinstance(error, ServerUnreachable):
        return error.is_refused
    return isinstance(error, GrantRefused | AddressLost)
