"""Renew the grants of a map; each witness renews those of the servers assigned to it."""

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
from nutmeglead.ranges.expiry import RENEW_RIGHT_MS
from nutmeglead.ranges.model import RangeMap
from nutmeglead.ranges.orders import OrderSender
from nutmeglead.ranges.rights import RenewalRights
from nutmeglead.ranges.role import RoleRows

__all__ = ["LOOP_INTERVAL_MS", "Renewals", "renewer_of"]

logger = logging.getLogger(__name__)

LOOP_INTERVAL_MS = 50
# Intervals of reads of the store, where a node may send no more grants without one, and where the
# witnesses go on for a while.
NEEDED_READ_INTERVAL_MS = RENEW_RIGHT_MS // 2
DUE_READ_INTERVAL_MS = 2_000
# Interval of reports that only name servers that answered. Failures are reported in the next pass
# of the loop, since a lost server must be noticed soon.
ANSWER_REPORT_INTERVAL_MS = 300


def renewer_of(server_id: ServerId, node_ids: tuple[NodeId, ...]) -> NodeId:
    """Return the node that renews a server's grants, chosen by rendezvous hashing.

    When a node is lost, only the servers that were assigned to it change their node.
    """
    return max(
        node_ids, key=lambda node_id: (zlib.crc32(f"{server_id}/{node_id}".encode()), node_id)
    )


class Renewals:
    """Renew the grants of assigned servers, and report the results to the acting node."""

    def __init__(
        self,
        service: ServiceName,
        rows: RoleRows,
        context: ControllerContext,
        rights: RenewalRights,
        order_sender: OrderSender,
        current_map: Callable[[], RangeMap | None],
        apply_stored_map: Callable[[RangeMap], None],
        acting_id: Callable[[], NodeId | None],
    ) -> None:
        self._service = service
        self._rows = rows
        self._context = context
        self._clock = context.clock
        self._rights = rights
        self._order_sender = order_sender
        self._current_map = current_map
        self._apply_stored_map = apply_stored_map
        self._acting_id = acting_id
        self._store_checked_ms = -NEEDED_READ_INTERVAL_MS
        self._store_check: asyncio.Task[None] | None = None
        self._assignment: tuple[RangeMap, tuple[NodeId, ...], set[ServerIncarnation]] | None = None
        self._next_answer_report_ms = 0

    async def run(self) -> None:
        """Renew grants and report results until cancelled."""
        while True:
            now_ms = self._clock.now_ms()
            ranges = self._current_map()
            if ranges is not None and self._context.node_id in ranges.renewers:
                self._renew(ranges, now_ms)
            self._report(now_ms)
            await asyncio.sleep(LOOP_INTERVAL_MS / 1000)

    def _renew(self, ranges: RangeMap, now_ms: int) -> None:
        """Start a store check if it is needed or due; as a witness, renew due grants.

        A node of an earlier witness set only reads the map, and so learns that it is replaced.
        """
        is_witness = self._context.node_id in ranges.witnesses
        if not self._rights.is_confirmed_by_witnesses(ranges, now_ms):
            self._start_store_check(now_ms, NEEDED_READ_INTERVAL_MS)
        elif is_witness and self._rights.is_store_read_due(ranges, now_ms):
            self._start_store_check(now_ms, DUE_READ_INTERVAL_MS)
        if is_witness:
            self._order_sender.renew_due(self._assigned_servers(ranges, now_ms))

    def _assigned_servers(self, ranges: RangeMap, now_ms: int) -> set[ServerIncarnation]:
        """Return the owners assigned to this node among the witnesses that it sees alive."""
        membership = self._context.membership
        alive = tuple(n for n in ranges.witnesses if membership.is_alive(n, now_ms))
        if self._assignment is None or self._assignment[:2] != (ranges, alive):
            own_id = self._context.node_id
            assigned = {
                incarnation
                for incarnation in ranges.owners()
                if renewer_of(incarnation.server_id, alive) == own_id
            }
            self._assignment = ranges, alive, assigned
        return self._assignment[2]

    def _start_store_check(self, now_ms: int, interval_ms: int) -> None:
        """Start reading the map in the store, unless a read began within the interval."""
        is_recent = now_ms - self._store_checked_ms < interval_ms
        if is_recent or self._store_check is not None:
            return
        self._store_checked_ms = now_ms
        task = asyncio.get_running_loop().create_task(self._confirm_by_store(now_ms))
        self._store_check = task

        def clear_store_check(_: object) -> None:
            self._store_check = None

        task.add_done_callback(clear_store_check)

    async def _confirm_by_store(self, asked_ms: int) -> None:
        """Read the map in the store, apply it if it is newer, and record its version."""
        read = await self._rows.read_map()
        if isinstance(read, Err):
            logger.info(
                "%s: cannot confirm the range map, reading it in the store failed: %s",
                self._service,
                read.err_value,
            )
            return
        stored = read.ok_value.ranges
        if stored is not None:
            self._apply_stored_map(stored)
        if read.ok_value.is_of_present_era:
            self._rights.confirm_by_store(0 if stored is None else stored.version, asked_ms)

    def _report(self, now_ms: int) -> None:
        """Send the acting node the results of this node's grants since the last report."""
        acting_id = self._acting_id()
        results = self._order_sender.results
        if acting_id in (None, self._context.node_id):
            results.clear()
            return
        has_urgent_results = results.failed or results.refused or results.stale
        if not has_urgent_results and now_ms < self._next_answer_report_ms:
            return
        self._next_answer_report_ms = now_ms + ANSWER_REPORT_INTERVAL_MS
        if not (has_urgent_results or results.answered):
            return
        report = OrderReport(
            self._context.node_id,
            self._service,
            _encode_server_tags(results.answered),
            _encode_server_tags(results.failed),
            _encode_server_tags(results.refused),
            sorted(results.stale),
        )
        results.clear()
        assert acting_id is not None
        self._context.send_report(report, acting_id)


def _encode_server_tags(incarnations: list[ServerIncarnation] | set[ServerIncarnation]) -> bytes:
    return encode_keys(server_tag(incarnation.server_id) for incarnation in incarnations)
