"""Renew the grants of a map: each witness those of its part of the servers."""

from __future__ import annotations

import asyncio
import logging
import zlib
from collections.abc import Callable

from result import Err

from nutmeglead._generated.peers.ttypes import OrderReport
from nutmeglead.core.ids import NodeId, ServerId, ServiceName
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.peers.codec import encode_keys, server_tag
from nutmeglead.ranges.context import ControllerContext
from nutmeglead.ranges.model import RangeMap
from nutmeglead.ranges.orders import OrderSender
from nutmeglead.ranges.rights import RENEW_RIGHT_MS, RenewalRights
from nutmeglead.ranges.role import RoleRows

__all__ = ["TICK_MS", "Renewals", "renewer_of"]

logger = logging.getLogger(__name__)

TICK_MS = 50
# Answers are told this often; failures at the next tick, since a lost server must be noticed soon.
ANSWERS_INTERVAL_MS = 300


def renewer_of(server_id: ServerId, node_ids: tuple[NodeId, ...]) -> NodeId:
    """Choose a server's node by rendezvous hashing: the loss of a node moves its part only."""
    return max(
        node_ids, key=lambda node_id: (zlib.crc32(f"{server_id}/{node_id}".encode()), node_id)
    )


class Renewals:
    """Renew while this node is a witness, and report to the acting node."""

    def __init__(
        self,
        service: ServiceName,
        rows: RoleRows,
        context: ControllerContext,
        rights: RenewalRights,
        order_sender: OrderSender,
        current_map: Callable[[], RangeMap | None],
        take_stored: Callable[[RangeMap], None],
        acting_id: Callable[[], NodeId | None],
    ) -> None:
        self._service = service
        self._rows = rows
        self._context = context
        self._clock = context.clock
        self._rights = rights
        self._order_sender = order_sender
        self._current_map = current_map
        self._take_stored = take_stored
        self._acting_id = acting_id
        self._next_check_ms = 0
        self._store_check: asyncio.Task[None] | None = None
        self._assigned: tuple[RangeMap, tuple[NodeId, ...], set[ServerIncarnation]] | None = None
        self._next_answers_ms = 0

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            now_ms = self._clock.now_ms()
            ranges = self._current_map()
            if ranges is not None and self._context.node_id in ranges.renewers:
                self._renew(ranges, now_ms)
            self._report(now_ms)
            await asyncio.sleep(TICK_MS / 1000)

    def _renew(self, ranges: RangeMap, now_ms: int) -> None:
        if not self._rights.is_confirmed_by_majority(ranges, now_ms):
            self._ask_store(now_ms)
        if self._context.node_id in ranges.witnesses:
            self._order_sender.renew_due(self._part(ranges, now_ms))

    def _part(self, ranges: RangeMap, now_ms: int) -> set[ServerIncarnation]:
        """Return the servers that this node renews, as far as it knows who lives."""
        membership = self._context.membership
        alive = tuple(n for n in ranges.witnesses if membership.is_alive(n, now_ms))
        if self._assigned is None or self._assigned[:2] != (ranges, alive):
            own_id = self._context.node_id
            part = {
                incarnation
                for incarnation in ranges.owners()
                if renewer_of(incarnation.server_id, alive) == own_id
            }
            self._assigned = ranges, alive, part
        return self._assigned[2]

    def _ask_store(self, now_ms: int) -> None:
        """Let the store confirm the map while most witnesses do not."""
        if now_ms < self._next_check_ms or self._store_check is not None:
            return
        self._next_check_ms = now_ms + RENEW_RIGHT_MS // 2
        task = asyncio.get_running_loop().create_task(self._confirm_by_store(now_ms))
        self._store_check = task

        def forget(_: object) -> None:
            self._store_check = None

        task.add_done_callback(forget)

    async def _confirm_by_store(self, asked_ms: int) -> None:
        read = await self._rows.read_map()
        if isinstance(read, Err):
            logger.info("%s: the map was not confirmed: %s", self._service, read.err_value)
            return
        stored = read.ok_value
        if stored is not None:
            self._take_stored(stored)
        self._rights.confirm_by_store(0 if stored is None else stored.version, asked_ms)

    def _report(self, now_ms: int) -> None:
        """Tell the acting node what this one has heard of its orders."""
        acting_id = self._acting_id()
        results = self._order_sender.results
        if acting_id in (None, self._context.node_id):
            results.clear()
            return
        has_news = results.failed or results.refused or results.stale
        if not has_news and now_ms < self._next_answers_ms:
            return
        self._next_answers_ms = now_ms + ANSWERS_INTERVAL_MS
        if not (has_news or results.answered):
            return
        report = OrderReport(
            self._context.node_id,
            self._service,
            _tags(results.answered),
            _tags(results.failed),
            _tags(results.refused),
            sorted(results.stale),
        )
        results.clear()
        assert acting_id is not None
        self._context.send_report(report, acting_id)


def _tags(incarnations: list[ServerIncarnation] | set[ServerIncarnation]) -> bytes:
    return encode_keys(server_tag(incarnation.server_id) for incarnation in incarnations)
