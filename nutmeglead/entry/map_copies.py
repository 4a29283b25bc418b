"""Fetch range maps from peers that have a newer version or step."""

import asyncio
import logging
from collections.abc import Mapping

from nutmeglead._generated.peers.ttypes import MapCopy
from nutmeglead.core.clock import Clock
from nutmeglead.core.codec import encode
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.http.client import HttpFetcher
from nutmeglead.peers.fetch import fetch_from_peer
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import Peer
from nutmeglead.ranges.controller import RangeController
from nutmeglead.ranges.model import from_wire, to_wire

__all__ = ["MAP_PATH", "MapCopies"]

logger = logging.getLogger(__name__)

MAP_PATH = "/ranges/"
CHECK_INTERVAL_MS = 100
# Map deltas are sent in batches and forwarded once; a node that is behind for longer has lost one.
MAX_DELTA_DELAY_MS = 200


class MapCopies:
    """Serve this node's range maps to peers, and fetch newer ones from them."""

    def __init__(
        self,
        node_id: NodeId,
        controllers: Mapping[ServiceName, RangeController],
        membership: Membership,
        fetcher: HttpFetcher,
        clock: Clock,
    ) -> None:
        self._node_id = node_id
        self._controllers = controllers
        self._membership = membership
        self._fetcher = fetcher
        self._clock = clock
        self._behind_since_ms: dict[ServiceName, int] = {}

    def encoded_map(self, path: str) -> bytes | None:
        """Return the encoded map of the service in a path, or None if this node has none."""
        controller = self._controllers.get(ServiceName(path.removeprefix(MAP_PATH)))
        if controller is None or controller.ranges is None:
            return None
        return encode(MapCopy(self._node_id, controller.step, to_wire(controller.ranges)))

    async def run(self) -> None:
        """Check for newer maps at each interval and fetch them, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            for controller in list(self._controllers.values()):
                peer = self._find_newer_peer(controller)
                if peer is not None:
                    await self._fetch(controller, peer)

    def _find_newer_peer(self, controller: RangeController) -> Peer | None:
        """Return the peer with the newest map, once the own map is behind for the maximum delay.

        The acting controller's own map is the newest, so it fetches none, unless it has yet to
        write the first map after a return of the store.
        """
        own = controller.ranges
        newest, state = None, (0, 0) if own is None else (own.version, controller.step)
        now_ms = self._clock.now_ms()
        for peer in self._membership:
            peer_view = peer.views.get(controller.service)
            if peer_view is None or not peer.is_recently_seen(now_ms):
                continue
            reported = (peer_view.view.map_version, peer_view.view.step)
            if reported > state:
                newest, state = peer, reported
        if newest is None or (controller.is_acting and not controller.awaits_first_map):
            self._behind_since_ms.pop(controller.service, None)
            return None
        since_ms = self._behind_since_ms.setdefault(controller.service, now_ms)
        return newest if now_ms - since_ms >= MAX_DELTA_DELAY_MS else None

    async def _fetch(self, controller: RangeController, peer: Peer) -> None:
        path = MAP_PATH + controller.service
        started_ms = self._clock.now_ms()
        fetched = await fetch_from_peer(self._fetcher, peer, path, MapCopy, self._clock)
        if fetched is None:
            return
        copy = fetched.message
        try:
            ranges = from_wire(copy.ranges)
        except (ValueError, IndexError) as error:
            log_event(logger, Event.MESSAGE_REFUSED, sender=peer.node_id, error=str(error))
            return
        self._behind_since_ms.pop(controller.service, None)
        controller.apply_copy(ranges, copy.step)
        log_event(
            logger,
            Event.MAP_COPIED,
            service=controller.service,
            peer=peer.node_id,
            map=ranges.version,
            step=copy.step,
            size_bytes=fetched.size_bytes,
            duration_ms=self._clock.now_ms() - started_ms,
        )
