"""Send and receive the datagrams of one entry VM."""

import asyncio
import logging
from collections.abc import Mapping

from result import Err

from nutmeglead._generated.peers.ttypes import (
    Heartbeat,
    LoadReport,
    MapPush,
    NodeRow,
    ServiceView,
)
from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId
from nutmeglead.peers.codec import decode_datagram, decode_work, encode_datagram, encode_work
from nutmeglead.peers.membership import HEARTBEAT_INTERVAL_MS, Membership, Peer

__all__ = ["PeerHandler", "PeerService"]

logger = logging.getLogger(__name__)


class PeerHandler:
    """Be told of what peers send, and tell what this node sends."""

    def views(self) -> list[ServiceView]:
        """Return what this node knows of each service with keys."""
        return []

    def table_versions(self) -> dict[str, int]:
        """Return the version of the newest change known of each of the store's tables."""
        return {}

    def store_age_ms(self) -> int:
        """Return the time since the store last answered."""
        return 0

    def work(self) -> Mapping[int, int]:
        """Return the requests in flight per server tag."""
        return {}

    def on_heartbeat(self, peer: Peer, work: dict[int, int]) -> None:
        """Take a newer heartbeat."""

    def on_load_report(self, report: LoadReport) -> None:
        """Take a load report."""

    def on_map_push(self, push: MapPush) -> None:
        """Take a range map."""


class PeerService(asyncio.DatagramProtocol):
    """Tell all peers at each interval that this node lives and what it knows."""

    def __init__(
        self, membership: Membership, incarnation: int, handler: PeerHandler, clock: Clock
    ) -> None:
        self.is_leaving = False
        self._membership = membership
        self._incarnation = incarnation
        self._handler = handler
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        # Newest `sent_ms` of each peer, by incarnation, to be echoed.
        self._echoes: dict[NodeId, tuple[int, int]] = {}
        self._alive: set[NodeId] = set()

    async def start(self, ip: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Pass over errors of single datagrams; a silent peer is noticed by its heartbeats."""
        logger.debug("datagram: %s", exc)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass it on."""
        decoded = decode_datagram(data)
        if isinstance(decoded, Err):
            log_event(logger, Event.MESSAGE_REFUSED, sender=addr[0], error=str(decoded.err_value))
            return
        message = decoded.ok_value
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message, addr)
        elif isinstance(message, LoadReport):
            self._handler.on_load_report(message)
        elif isinstance(message, MapPush):
            self._handler.on_map_push(message)

    def _on_heartbeat(self, heartbeat: Heartbeat, address: tuple[str, int]) -> None:
        peer = self._membership.on_heartbeat(heartbeat, address, self._clock.now_ms())
        if peer is None:
            return
        self._echoes[peer.node_id] = (heartbeat.incarnation, heartbeat.sent_ms)
        self._handler.on_heartbeat(peer, decode_work(heartbeat.in_flight))

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            self._note_changes()
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)

    def send_heartbeats(self) -> None:
        """Send one heartbeat to each peer."""
        now_ms = self._clock.now_ms()
        heartbeat = Heartbeat(
            self._membership.own_id,
            self._incarnation,
            now_ms,
            0,
            self.is_leaving,
            self._handler.table_versions(),
            min(self._handler.store_age_ms(), 2**31 - 1),
            self._handler.views(),
            encode_work(self._handler.work()),
        )
        for peer in self._membership:
            heartbeat.echo_ms = self._echo(peer)
            self._send(encode_datagram(heartbeat=heartbeat), peer.row)

    def _echo(self, peer: Peer) -> int:
        incarnation, sent_ms = self._echoes.get(peer.node_id, (0, 0))
        return sent_ms if incarnation == peer.row.incarnation else 0

    def push(self, push: MapPush, to: Peer | None = None) -> None:
        """Send a range map to one peer or to all."""
        data = encode_datagram(map_push=push)
        for peer in [to] if to is not None else list(self._membership):
            self._send(data, peer.row)

    def report(self, report: LoadReport, to: NodeId) -> None:
        """Send a load report to a peer."""
        peer = self._membership.get(to)
        if peer is not None:
            self._send(encode_datagram(load_report=report), peer.row)

    def _send(self, data: bytes, row: NodeRow) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (row.ip, row.peer_port))

    def _note_changes(self) -> None:
        alive = set(self._membership.alive_ids(self._clock.now_ms()))
        for node_id in alive - self._alive:
            log_event(logger, Event.PEER_SEEN, peer=node_id)
        for node_id in self._alive - alive:
            log_event(logger, Event.PEER_SILENT, peer=node_id)
        self._alive = alive

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
