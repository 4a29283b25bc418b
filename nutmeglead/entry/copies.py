"""Copy the store's tables between entry VMs, for nodes that do not or cannot read the store."""

import asyncio
import logging
from collections.abc import Callable, Iterator, Mapping, Sequence

from nutmeglead._generated.peers.ttypes import TableCopy
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import encode
from nutmeglead.core.compression import compress
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId
from nutmeglead.entry.table_source import TableSource
from nutmeglead.entry.watch import TableWatch
from nutmeglead.forwarding.model import ClientLimits
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerExchange, CallerLimits
from nutmeglead.http.messages import header_value
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.peers.fetch import COMPRESSED_ENCODING, fetch_from_peer
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import Peer
from nutmeglead.platform.node_settings import NodeSettings

__all__ = ["TICKET_STATUS_PATH", "TableCopies"]

logger = logging.getLogger(__name__)

COPY_PATH = "/copies/"
# Query that requests only the changes after a version of the store, in the era that follows it.
AFTER_QUERY = "?after="
ERA_QUERY = "&era="
TICKET_STATUS_PATH = "/ticket-status"
# A smaller body fits into one packet.
MIN_COMPRESSED_BYTES = 1_024
CHECK_INTERVAL_MS = 100
# While the store answers this node, its own feed delivers a change within this time.
MAX_FEED_DELAY_MS = 500
# After a failed fetch, other peers are preferred; a lost one is noticed within this time.
FAILED_PEER_AVOIDED_MS = 1_000


class TableCopies:
    """Serve copies of tables to peers over HTTP, and fetch newer ones from them."""

    def __init__(
        self,
        watches: Sequence[TableWatch],
        membership: Membership,
        source: TableSource,
        fetcher: HttpFetcher,
        clock: Clock,
        settings: NodeSettings,
        other_paths: Mapping[str, Callable[[str], bytes | None]],
    ) -> None:
        """`other_paths` maps prefixes of further paths to functions that return a response body."""
        self._watches = {watch.table: watch for watch in watches}
        self._membership = membership
        self._source = source
        self._fetcher = fetcher
        self._clock = clock
        self._settings = settings
        self._other_paths = other_paths
        self._behind_since_ms: dict[str, int] = {}
        # When the last fetch failed, by the peer; without peers that have answered since.
        self._failed_ms: dict[NodeId, int] = {}
        limits = ClientLimits()
        caller_limits = CallerLimits(
            limits.head_size_bytes, 0, limits.head_timeout_ms, limits.idle_timeout_ms
        )
        self._server = PipelineServer(self._answer, lambda: caller_limits, clock)

    async def start(self, ip: str, port: int) -> None:
        """Listen for requests of peers."""
        await self._server.start(ip, port)

    async def close(self) -> None:
        """Close the port and all connections."""
        await self._server.close()

    async def _answer(self, exchange: CallerExchange) -> None:
        headers = exchange.head.headers
        # A node of an earlier version accepts neither compressed bodies nor patches.
        accepts_compressed = header_value(headers, b"accept-encoding") == COMPRESSED_ENCODING
        body = self.encoded_body(exchange.head.target.decode("latin-1"), accepts_compressed)
        if body is None:
            await exchange.respond(404, [], b"")
        elif accepts_compressed and len(body) >= MIN_COMPRESSED_BYTES:
            encoding = (b"content-encoding", COMPRESSED_ENCODING)
            await exchange.respond(200, [encoding], compress(body))
        else:
            await exchange.respond(200, [], body)

    def encoded_body(self, path: str, with_patches: bool) -> bytes | None:
        """Return the response body for a path before compression, or None if there is none."""
        for prefix, serve in self._other_paths.items():
            if path.startswith(prefix):
                return serve(path)
        table, _, after = path.removeprefix(COPY_PATH).partition(AFTER_QUERY)
        after, _, era = after.partition(ERA_QUERY)
        watch = self._watches.get(table)
        if watch is None:
            return None
        return encode(watch.copy(_parse_number(after), with_patches, _parse_number(era)))

    async def run(self) -> None:
        """Check for newer tables at each interval and fetch them, until cancelled."""
        # Each table has loops of its own, so that none waits for the copy of another one.
        watches = self._watches.values()
        await asyncio.gather(
            *(self._run_table(watch) for watch in watches),
            *(self._run_without_heartbeats(watch) for watch in watches),
        )

    async def _run_table(self, watch: TableWatch) -> None:
        table = watch.table
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            watch.expire_missing()
            watch.confirm_by_peers(self._peer_versions(watch))
            peer = self._find_newer_peer(table, watch)
            if peer is not None:
                await self._fetch(table, watch, peer)

    async def _run_without_heartbeats(self, watch: TableWatch) -> None:
        # A node that hears no hub does not know whether there are changes, and asks all the same:
        # the store would send it large rows whole.
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            now_ms = self._clock.now_ms()
            hubs = self._source.unheard_hubs()
            usable = [hub for hub in hubs if not self._has_failed_lately(hub, now_ms)]
            peer = self._membership.get(usable[0]) if usable else None
            if peer is not None and await self._fetch(watch.table, watch, peer):
                self._source.record_answer()

    def _peer_versions(self, watch: TableWatch) -> Iterator[tuple[int, int]]:
        """Yield the newest and the unconfirmed version of a table at each peer that is heard.

        Versions of another era of the store cannot be compared with this node's.
        """
        table, now_ms = watch.table, self._clock.now_ms()
        for peer in self._membership:
            heartbeat = peer.heartbeat
            if heartbeat is None or not self._membership.is_alive(peer.node_id, now_ms):
                continue
            if peer.store_era != watch.era:
                continue
            unconfirmed = heartbeat.unconfirmed_versions or {}
            yield heartbeat.table_versions.get(table, 0), unconfirmed.get(table, 0)

    def _find_newer_peer(self, table: str, watch: TableWatch) -> Peer | None:
        """Return the peer to copy newer rows from, once the own feed is late or if there is none.

        The newest rows count first, and then the own failure domain.
        """
        now_ms = self._clock.now_ms()
        newer = [
            (
                -peer.store_era,
                -reported,
                peer.row.failure_domain != self._settings.failure_domain,
                peer.node_id,
            )
            for peer in self._membership
            if peer.heartbeat is not None
            and self._membership.is_alive(peer.node_id, now_ms)
            and (reported := peer.heartbeat.table_versions.get(table, 0))
            and (peer.store_era, reported) > (watch.era, watch.changed_version)
        ]
        if not newer:
            self._behind_since_ms.pop(table, None)
            return None
        since_ms = self._behind_since_ms.setdefault(table, now_ms)
        delay_ms = MAX_FEED_DELAY_MS if watch.follows_store() else 0
        if now_ms - since_ms < delay_ms:
            return None
        # A node hears one hub. The other hubs of its failure domain, whose versions it does not
        # know, are asked after that one has failed.
        hubs = [
            hub
            for hub in self._membership.own_hub_ids(now_ms)
            if self._membership.is_alive(hub, now_ms)
        ]
        candidates = [*(entry[-1] for entry in sorted(newer)), *hubs]
        usable = (n for n in candidates if not self._has_failed_lately(n, now_ms))
        return self._membership.get(next(usable, candidates[0]))

    def _has_failed_lately(self, node_id: NodeId, now_ms: int) -> bool:
        failed_ms = self._failed_ms.get(node_id)
        return failed_ms is not None and now_ms - failed_ms <= FAILED_PEER_AVOIDED_MS

    async def _fetch(self, table: str, watch: TableWatch, peer: Peer) -> bool:
        """Apply a copy from a peer; return whether the peer has sent rows that are not outdated."""
        path = f"{COPY_PATH}{table}{AFTER_QUERY}{watch.copy_after}"
        if watch.era:
            path += f"{ERA_QUERY}{watch.era}"
        started_ms = self._clock.now_ms()
        fetched = await fetch_from_peer(self._fetcher, peer, path, TableCopy, self._clock)
        if fetched is None:
            self._failed_ms[peer.node_id] = self._clock.now_ms()
            return False
        self._failed_ms.pop(peer.node_id, None)
        copy, duration_ms = fetched.message, self._clock.now_ms() - started_ms
        if not watch.apply_copy(copy, duration_ms):
            known = (watch.era, watch.changed_version)
            return ((copy.era or 0), copy.changed_version) >= known
        log_event(
            logger,
            Event.TABLE_COPIED,
            table=table,
            peer=peer.node_id,
            version=copy.changed_version,
            size_bytes=fetched.size_bytes,
            duration_ms=duration_ms,
        )
        return True


def _parse_number(text: str) -> int:
    return int(text) if text.isascii() and text.isdecimal() else 0
