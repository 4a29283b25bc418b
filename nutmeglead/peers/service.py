"""Send and receive the datagrams of one entry VM."""

import asyncio
import logging
from collections.abc import Collection, Iterable, Mapping

from result import Err

from nutmeglead._generated.peers.ttypes import (
    Heartbeat,
    LoadReport,
    MapDelta,
    NodeRow,
    OrderReport,
    Scope,
    ServiceView,
)
from nutmeglead.core.clock import Clock
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import NodeId
from nutmeglead.peers.codec import (
    decode_datagram,
    decode_work,
    encode_datagram,
    encode_states,
    encode_work,
)
from nutmeglead.peers.membership import (
    HEARTBEAT_INTERVAL_MS,
    SILENT_AFTER_MS,
    Membership,
    Peer,
)
from nutmeglead.peers.work import InFlightTotals

__all__ = ["PeerHandler", "PeerService"]

logger = logging.getLogger(__name__)

# A silent node of the own domain may have started again without the store; a hub calls it so often.
CALL_SILENT_EVERY = 7
# A larger map is fetched instead of sent; datagrams end at 64 KiB.
MAX_DATAGRAM_BYTES = 32_768


class PeerHandler:
    """Be told of what peers send, and tell what this node sends."""

    def views(self) -> list[ServiceView]:
        """Return what this node knows of each service with keys."""
        return []

    def witnesses(self) -> set[NodeId]:
        """Return the nodes that may renew grants, which tell each other what they know."""
        return set()

    def table_versions(self) -> dict[str, int]:
        """Return the version of the newest change known of each of the store's tables."""
        return {}

    def store_age_ms(self) -> int:
        """Return the time since the store last answered."""
        return 0

    def in_flight_by_tag(self) -> Mapping[int, int]:
        """Return the requests in flight per server tag."""
        return {}

    def on_heartbeat(self, peer: Peer) -> None:
        """Take a newer heartbeat."""

    def on_load_report(self, report: LoadReport) -> None:
        """Take a load report."""

    def on_order_report(self, report: OrderReport) -> None:
        """Take what a node has heard of its orders."""

    def on_map_delta(self, delta: MapDelta) -> None:
        """Take changes of a range map."""


class PeerService(asyncio.DatagramProtocol):
    """Tell the right peers at each interval that this node lives and what it knows."""

    def __init__(
        self, membership: Membership, incarnation: int, handler: PeerHandler, clock: Clock
    ) -> None:
        self.in_flight_totals = InFlightTotals()
        self.membership = membership
        self._incarnation = incarnation
        self._handler = handler
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        # Newest `sent_ms` of each peer, by incarnation, to be echoed.
        self._echoes: dict[NodeId, tuple[int, int]] = {}
        self._alive: set[NodeId] = set()
        # Nodes that this one serves as their hub, with the time of their last word.
        self._served: dict[NodeId, int] = {}
        self._home: NodeId | None = None
        self._ticks = 0

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

    # ---- what arrives ----

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
        elif isinstance(message, OrderReport):
            self._handler.on_order_report(message)
        elif isinstance(message, MapDelta):
            self._on_map_delta(message, data)

    def _on_heartbeat(self, heartbeat: Heartbeat, address: tuple[str, int]) -> None:
        now_ms = self._clock.now_ms()
        peer = self.membership.on_heartbeat(heartbeat, address, now_ms)
        if peer is None:
            return
        node_id, scope = peer.node_id, Scope(heartbeat.scope)
        self._echoes[node_id] = (heartbeat.incarnation, heartbeat.sent_ms)
        if heartbeat.wants_all:
            self._served[node_id] = now_ms
        elif self._served.pop(node_id, None) is not None:
            self.in_flight_totals.drop(Scope.NODE, node_id)
        if scope != Scope.NODE or heartbeat.wants_all:
            in_flight = decode_work(heartbeat.in_flight)
            self.in_flight_totals.take(scope, node_id, in_flight, heartbeat.echo_ms, now_ms)
        self._handler.on_heartbeat(peer)

    def _on_map_delta(self, delta: MapDelta, data: bytes) -> None:
        self._handler.on_map_delta(delta)
        # The node that places the ranges sends to hubs and witnesses; these pass it on.
        now_ms = self._clock.now_ms()
        if self.membership.is_hub(now_ms):
            self._send_to(data, self._served_ids(now_ms) - {NodeId(delta.node_id)})

    def _served_ids(self, now_ms: int) -> set[NodeId]:
        return {n for n, at_ms in self._served.items() if now_ms - at_ms <= SILENT_AFTER_MS}

    # ---- what is sent ----

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.send_heartbeats()
            self._note_changes()
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)

    def send_heartbeats(self) -> None:
        """Send one heartbeat to each node that needs one of this node's."""
        now_ms = self._clock.now_ms()
        self._ticks += 1
        membership, handler = self.membership, self._handler
        heartbeat = Heartbeat(
            membership.own_id,
            self._incarnation,
            now_ms,
            0,
            membership.is_leaving,
            handler.table_versions(),
            min(handler.store_age_ms(), 2**31 - 1),
            handler.views(),
            b"",
            Scope.NODE,
            b"",
            False,
        )
        own_in_flight = handler.in_flight_by_tag()
        hubs = set(membership.hub_ids(now_ms))
        witnesses = handler.witnesses()
        is_hub = membership.own_id in hubs
        served = self._served_ids(now_ms)
        if is_hub:
            self._send_group(heartbeat, (hubs | witnesses) - served, served, own_in_flight, now_ms)
        elif membership.own_id in witnesses:
            others = (hubs | witnesses) - set(membership.own_hub_ids(now_ms))
            self._send_heartbeat(heartbeat, others - {membership.own_id})
        if is_hub and self._ticks % CALL_SILENT_EVERY == 0:
            served |= self._silent_ids(now_ms)
        if served:
            self._send_all(heartbeat, served, own_in_flight, now_ms)
        if not is_hub:
            self._send_own(heartbeat, own_in_flight, now_ms)

    def _send_group(
        self,
        heartbeat: Heartbeat,
        to: set[NodeId],
        served: set[NodeId],
        own_in_flight: Mapping[int, int],
        now_ms: int,
    ) -> None:
        heartbeat.scope = Scope.GROUP
        heartbeat.in_flight = encode_work(self.in_flight_totals.group_sum(own_in_flight, now_ms))
        heartbeat.nodes = encode_states(self.membership.states(served, now_ms))
        self._send_heartbeat(heartbeat, to - {self.membership.own_id})

    def _send_all(
        self, heartbeat: Heartbeat, to: set[NodeId], own_in_flight: Mapping[int, int], now_ms: int
    ) -> None:
        known = [peer.node_id for peer in self.membership]
        heartbeat.scope = Scope.ALL
        heartbeat.in_flight = encode_work(self.in_flight_totals.total(own_in_flight, now_ms))
        heartbeat.nodes = encode_states(self.membership.states(known, now_ms))
        self._send_heartbeat(heartbeat, to)

    def _send_own(
        self, heartbeat: Heartbeat, own_in_flight: Mapping[int, int], now_ms: int
    ) -> None:
        hubs = self.membership.own_hub_ids(now_ms)
        self._home = self._choose_home(hubs, now_ms)
        self.in_flight_totals.note_report(now_ms, dict(own_in_flight))
        heartbeat.scope = Scope.NODE
        heartbeat.in_flight = encode_work(own_in_flight)
        heartbeat.nodes = b""
        for hub in hubs:
            heartbeat.wants_all = hub == self._home
            self._send_heartbeat(heartbeat, {hub})

    def _choose_home(self, hubs: list[NodeId], now_ms: int) -> NodeId | None:
        """Keep the hub that answers; half of the nodes begin with each hub."""
        heard = [hub for hub in hubs if self._hears(hub, now_ms)]
        if self._home in heard:
            return self._home
        candidates = heard or hubs
        if not candidates:
            return None
        return candidates[sum(self.membership.own_id.encode()) % len(candidates)]

    def _hears(self, node_id: NodeId, now_ms: int) -> bool:
        peer = self.membership.get(node_id)
        heartbeat_received_ms = None if peer is None else peer.heartbeat_received_ms
        return (
            heartbeat_received_ms is not None and now_ms - heartbeat_received_ms <= SILENT_AFTER_MS
        )

    def _silent_ids(self, now_ms: int) -> set[NodeId]:
        domain = self.membership.domain_ids()
        return {n for n in domain if not self.membership.is_alive(n, now_ms)}

    def _send_heartbeat(self, heartbeat: Heartbeat, to: Iterable[NodeId]) -> None:
        for node_id in to:
            peer = self.membership.get(node_id)
            if peer is not None:
                heartbeat.echo_ms = self._echo(peer)
                self._send(encode_datagram(heartbeat=heartbeat), peer.row)

    def _echo(self, peer: Peer) -> int:
        incarnation, sent_ms = self._echoes.get(peer.node_id, (0, 0))
        return sent_ms if incarnation == peer.row.incarnation else 0

    def send_delta(self, delta: MapDelta) -> None:
        """Send changes of a range map to hubs and witnesses, and to the nodes served here."""
        data = encode_datagram(map_delta=delta)
        if len(data) > MAX_DATAGRAM_BYTES:
            logger.info("a map delta of %d bytes is left to be fetched", len(data))
            return
        now_ms = self._clock.now_ms()
        hubs = set(self.membership.hub_ids(now_ms))
        self._send_to(data, hubs | self._handler.witnesses() | self._served_ids(now_ms))

    def report(self, report: LoadReport | OrderReport, to: NodeId) -> None:
        """Send a report to a peer."""
        if isinstance(report, LoadReport):
            self._send_to(encode_datagram(load_report=report), [to])
        else:
            self._send_to(encode_datagram(order_report=report), [to])

    def _send_to(self, data: bytes, to: Collection[NodeId]) -> None:
        for node_id in to:
            peer = self.membership.get(node_id)
            if peer is not None:
                self._send(data, peer.row)

    def _send(self, data: bytes, row: NodeRow) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (row.ip, row.peer_port))

    def _note_changes(self) -> None:
        alive = set(self.membership.alive_ids(self._clock.now_ms()))
        for node_id in alive - self._alive - {self.membership.own_id}:
            log_event(logger, Event.PEER_SEEN, peer=node_id)
        for node_id in self._alive - alive:
            log_event(logger, Event.PEER_SILENT, peer=node_id)
        self._alive = alive

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
