"""Take the store's tables from hubs, or from any peer while the store does not serve a hub."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence

from nutmeglead._generated.peers.ttypes import TableCopy
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import encode
from nutmeglead.core.events import Event, log_event
from nutmeglead.entry.watch import TableWatch
from nutmeglead.forwarding.model import ClientLimits
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.peers.fetch import fetch_from_peer
from nutmeglead.peers.membership import Membership, Peer
from nutmeglead.platform.node_settings import NodeSettings

__all__ = ["TICKET_STATUS_PATH", "TableCopies"]

logger = logging.getLogger(__name__)

COPY_PATH = "/copies/"
# Asks for changes after a version of the store.
AFTER = "?after="
TICKET_STATUS_PATH = "/ticket-status"
CHECK_INTERVAL_MS = 100
# The own feed brings a change within this time while the store serves this node.
FEED_DELAY_MS = 500


class TableCopies:
    """Serve copies of tables to peers, and fetch newer ones from them."""

    def __init__(
        self,
        watches: Sequence[TableWatch],
        membership: Membership,
        fetcher: HttpFetcher,
        clock: Clock,
        settings: NodeSettings,
        others: Mapping[str, Callable[[str], bytes | None]],
    ) -> None:
        """`others` serves more paths, by their beginnings."""
        self._watches = {watch.table: watch for watch in watches}
        self._membership = membership
        self._fetcher = fetcher
        self._clock = clock
        self._settings = settings
        self._others = others
        self._behind_since_ms: dict[str, int] = {}
        limits = ClientLimits()
        edge = CallerLimits(
            limits.head_size_bytes, 0, limits.head_timeout_ms, limits.idle_timeout_ms
        )
        self._server = PipelineServer(self._answer, lambda: edge, clock)

    async def start(self) -> None:
        """Listen for peers."""
        await self._server.start(self._settings.ip, self._settings.peer_port)

    async def close(self) -> None:
        """Close the port and all connections."""
        await self._server.close()

    async def _answer(self, exchange: CallerExchange) -> None:
        copy = self.encoded(exchange.head.target.decode("latin-1"))
        if copy is None:
            await exchange.respond(404, [], b"")
        else:
            await exchange.respond(200, [], copy)

    def encoded(self, path: str) -> bytes | None:
        """Return what a path names, or None."""
        for prefix, serve in self._others.items():
            if path.startswith(prefix):
                return serve(path)
        table, _, after = path.removeprefix(COPY_PATH).partition(AFTER)
        watch = self._watches.get(table)
        if watch is None:
            return None
        return encode(watch.copy(int(after) if after.isdecimal() else 0))

    async def run(self) -> None:
        """Look for newer copies until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            for table, watch in self._watches.items():
                peer = self._find_newer(table, watch)
                if peer is not None:
                    await self._fetch(table, watch, peer)

    def _find_newer(self, table: str, watch: TableWatch) -> Peer | None:
        """Return the peer with the newest copy, once the own feed is late."""
        now_ms = self._clock.now_ms()
        newest: Peer | None = None
        version = watch.changed_version
        for peer in self._membership:
            if peer.heartbeat is None or not self._membership.is_alive(peer.node_id, now_ms):
                continue
            told = peer.heartbeat.table_versions.get(table, 0)
            if told > version:
                newest, version = peer, told
        if newest is None:
            self._behind_since_ms.pop(table, None)
            return None
        since_ms = self._behind_since_ms.setdefault(table, now_ms)
        delay_ms = FEED_DELAY_MS if watch.follows_store() else 0
        return newest if now_ms - since_ms >= delay_ms else None

    async def _fetch(self, table: str, watch: TableWatch, peer: Peer) -> None:
        path = f"{COPY_PATH}{table}{AFTER}{watch.version}"
        copy = await fetch_from_peer(self._fetcher, peer, path, TableCopy)
        if copy is None:
            return
        watch.apply_copy(copy)
        log_event(
            logger,
            Event.TABLE_COPIED,
            table=table,
            peer=peer.node_id,
            version=copy.changed_version,
        )
