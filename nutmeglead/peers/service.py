"""Send and receive the UDP datagrams that one entry VM exchanges with its peers."""

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
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import HEARTBEAT_INTERVAL_MS, SILENT_AFTER_MS, Peer
from nutmeglead.peers.work import InFlightTotals

__all__ = ["PeerHandler", "PeerService"]

logger = logging.getLogger(__name__)

# A silent node of the own domain may have restarted without the store and know no peers, so a hub
# sends it a heartbeat once in this many intervals.
SILENT_PEER_CONTACT_INTERVALS = 7
# Peers fetch a larger map delta over HTTP; a UDP datagram holds at most 64 KiB.
MAX_DATAGRAM_BYTES = 32_768


class PeerHandler:
    """Supply the content of this node's heartbeats, and receive the messages of its peers.

    The defaults supply nothing and ignore every message.
    """

    def views(self) -> list[ServiceView]:
        """Return this node's view of each service with keys."""
        return []

    def witnesses(self) -> set[NodeId]:
        """Return the nodes that may renew grants; they exchange their views in heartbeats."""
        return set()

    def table_versions(self) -> dict[str, int]:
        """Return the version of the newest change that this node has of each followed table."""
        return {}

    def table_era(self) -> int:
        """Return the era of the store to which the reported versions of tables belong."""
        return 0

    def unconfirmed_versions(self) -> dict[str, int]:
        """Return by table the version of rows whose missing entries may have lapsed, if any."""
        return {}

    def store_age_ms(self) -> int:
        """Return for how long the store has not answered this node, or 0 while it does."""
        return 0

    def in_flight_by_tag(self) -> Mapping[int, int]:
        """Return the number of this node's requests in flight per server tag."""
        return {}

    def on_heartbeat(self, peer: Peer) -> None:
        """Process a peer's heartbeat that is newer than its last one."""

    def on_load_report(self, report: LoadReport) -> None:
        """Process a peer's report of requested keys and of service times."""

    def on_order_report(self, report: OrderReport) -> None:
        """Process a peer's report of how servers answered its orders."""

    def on_map_delta(self, delta: MapDelta) -> None:
        """Process changes of a range map."""


class PeerService(asyncio.DatagramProtocol):
    """Send heartbeats, reports and map deltas to peers, and pass received ones to the handler."""

    def __init__(
        self, membership: Membership, incarnation: int, handler: PeerHandler, clock: Clock
    ) -> None:
        self.in_flight_totals = InFlightTotals()
        self.membership = membership
        self._incarnation = incarnation
        self._handler = handler
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        # Incarnation and `sent_ms` of each peer's newest heartbeat, to be echoed to it.
        self._last_sent_ms: dict[NodeId, tuple[int, int]] = {}
        self._alive_ids: set[NodeId] = set()
        # When each node that this one serves as a hub last sent a heartbeat.
        self._served_heard_ms: dict[NodeId, int] = {}
        self._serving_hub: NodeId | None = None
        self._interval_count = 0

    @property
    def alive_count(self) -> int:
        """Return how many nodes were alive at the start of the current interval, with this one.

        Each request asks several times, and a pass over all peers costs more than the request's
        other admission checks.
        """
        return max(1, len(self._alive_ids))

    async def start(self, ip: str, port: int) -> None:
        """Bind the UDP socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport that datagrams are sent on."""
        self._transport = transport  # type: ignore[assignment]

    def error_received(self, exc: Exception) -> None:
        """Log an error of a single datagram; missing heartbeats show that a peer is lost."""
        logger.debug("sending or receiving a datagram failed: %s", exc)

    # ---- received datagrams ----

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and process its message; log one that cannot be decoded."""
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
        self._last_sent_ms[node_id] = (heartbeat.incarnation, heartbeat.sent_ms)
        if heartbeat.wants_all:
            self._served_heard_ms[node_id] = now_ms
        elif self._served_heard_ms.pop(node_id, None) is not None:
            self.in_flight_totals.remove_sender(Scope.NODE, node_id)
        if scope != Scope.NODE or heartbeat.wants_all:
            in_flight = decode_work(heartbeat.in_flight)
            self.in_flight_totals.apply(scope, node_id, in_flight, heartbeat.echo_ms, now_ms)
        self._handler.on_heartbeat(peer)

    def _on_map_delta(self, delta: MapDelta, data: bytes) -> None:
        self._handler.on_map_delta(delta)
        # The acting controller sends map deltas to hubs and witnesses; hubs forward them to the
        # nodes that they serve.
        now_ms = self._clock.now_ms()
        if self.membership.is_hub(now_ms):
            self._send_datagram_to(data, self.served_ids(now_ms) - {NodeId(delta.node_id)})

    def served_ids(self, now_ms: int) -> set[NodeId]:
        """Return the nodes whose newest heartbeat asked this hub for heartbeats of all nodes."""
        return {
            n for n, at_ms in self._served_heard_ms.items() if now_ms - at_ms <= SILENT_AFTER_MS
        }

    # ---- sent datagrams ----

    async def run(self) -> None:
        """Send heartbeats and log changes of liveness at each interval, until cancelled."""
        late_ms = 0
        while True:
            self.send_heartbeats()
            self._log_liveness_changes(late_ms)
            due_ms = self._clock.now_ms() + HEARTBEAT_INTERVAL_MS
            await asyncio.sleep(HEARTBEAT_INTERVAL_MS / 1000)
            late_ms = self._clock.now_ms() - due_ms

    def send_heartbeats(self) -> None:
        """Send this interval's heartbeats, whose scope depends on the receiver.

        A hub sends the sums of its group, which is itself and the nodes that it serves, to hubs and
        witnesses, and those of all nodes to the nodes that it serves. Any other node sends its own
        counts to the hubs of its domain, and as a witness also a heartbeat to the other hubs and
        witnesses.
        """
        now_ms = self._clock.now_ms()
        self._interval_count += 1
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
            handler.unconfirmed_versions() or None,
            handler.table_era() or None,
        )
        own_in_flight = handler.in_flight_by_tag()
        hubs = set(membership.hub_ids(now_ms))
        witnesses = handler.witnesses()
        is_hub = membership.own_id in hubs
        served = self.served_ids(now_ms)
        if is_hub:
            self._send_group_heartbeat(
                heartbeat, (hubs | witnesses) - served, served, own_in_flight, now_ms
            )
        elif membership.own_id in witnesses:
            others = (hubs | witnesses) - set(membership.own_hub_ids(now_ms))
            self._send_heartbeat(heartbeat, others - {membership.own_id})
        if is_hub and self._interval_count % SILENT_PEER_CONTACT_INTERVALS == 0:
            served |= self._silent_own_domain_ids(now_ms)
        if served:
            self._send_all_nodes_heartbeat(heartbeat, served, own_in_flight, now_ms)
        if not is_hub:
            self._send_own_heartbeat(heartbeat, own_in_flight, now_ms)

    def _send_group_heartbeat(
        self,
        heartbeat: Heartbeat,
        to: set[NodeId],
        served: set[NodeId],
        own_in_flight: Mapping[int, int],
        now_ms: int,
    ) -> None:
        heartbeat.scope = Scope.GROUP
        heartbeat.in_flight = encode_work(self.in_flight_totals.group_sum(own_in_flight, now_ms))
        heartbeat.nodes = encode_states(self.membership.node_states(served, now_ms))
        self._send_heartbeat(heartbeat, to - {self.membership.own_id})

    def _send_all_nodes_heartbeat(
        self, heartbeat: Heartbeat, to: set[NodeId], own_in_flight: Mapping[int, int], now_ms: int
    ) -> None:
        peer_ids = [peer.node_id for peer in self.membership]
        heartbeat.scope = Scope.ALL
        heartbeat.in_flight = encode_work(self.in_flight_totals.total(own_in_flight, now_ms))
        heartbeat.nodes = encode_states(self.membership.node_states(peer_ids, now_ms))
        self._send_heartbeat(heartbeat, to)

    def _send_own_heartbeat(
        self, heartbeat: Heartbeat, own_in_flight: Mapping[int, int], now_ms: int
    ) -> None:
        hubs = self.membership.own_hub_ids(now_ms)
        self._serving_hub = self._choose_serving_hub(hubs, now_ms)
        self.in_flight_totals.record_report(now_ms, dict(own_in_flight))
        heartbeat.scope = Scope.NODE
        heartbeat.in_flight = encode_work(own_in_flight)
        heartbeat.nodes = b""
        for hub in hubs:
            heartbeat.wants_all = hub == self._serving_hub
            self._send_heartbeat(heartbeat, {hub})

    def _choose_serving_hub(self, hubs: list[NodeId], now_ms: int) -> NodeId | None:
        """Return the current serving hub while its heartbeats arrive, else choose one.

        The choice is a hash of the own id, so that nodes spread over the hubs.
        """
        reachable = [hub for hub in hubs if self._receives_from(hub, now_ms)]
        if self._serving_hub in reachable:
            return self._serving_hub
        candidates = reachable or hubs
        if not candidates:
            return None
        return candidates[sum(self.membership.own_id.encode()) % len(candidates)]

    def _receives_from(self, node_id: NodeId, now_ms: int) -> bool:
        peer = self.membership.get(node_id)
        heartbeat_received_ms = None if peer is None else peer.heartbeat_received_ms
        return (
            heartbeat_received_ms is not None and now_ms - heartbeat_received_ms <= SILENT_AFTER_MS
        )

    def _silent_own_domain_ids(self, now_ms: int) -> set[NodeId]:
        domain = self.membership.own_domain_peer_ids()
        return {n for n in domain if not self.membership.is_alive(n, now_ms)}

    def _send_heartbeat(self, heartbeat: Heartbeat, to: Iterable[NodeId]) -> None:
        for node_id in to:
            peer = self.membership.get(node_id)
            if peer is not None:
                heartbeat.echo_ms = self._echo_ms_for(peer)
                self._send_datagram(encode_datagram(heartbeat=heartbeat), peer.row)

    def _echo_ms_for(self, peer: Peer) -> int:
        # Only a heartbeat of the peer's current incarnation is echoed.
        incarnation, sent_ms = self._last_sent_ms.get(peer.node_id, (0, 0))
        return sent_ms if incarnation == peer.row.incarnation else 0

    def send_delta(self, delta: MapDelta) -> None:
        """Send changes of a range map to hubs, to witnesses and to the nodes served by this one."""
        data = encode_datagram(map_delta=delta)
        if len(data) > MAX_DATAGRAM_BYTES:
            logger.info(
                "a map delta of %d bytes is too large for a datagram; peers fetch the map",
                len(data),
            )
            return
        now_ms = self._clock.now_ms()
        hubs = set(self.membership.hub_ids(now_ms))
        self._send_datagram_to(data, hubs | self._handler.witnesses() | self.served_ids(now_ms))

    def send_report(self, report: LoadReport | OrderReport, to: NodeId) -> None:
        """Send a load or order report to a peer; without a row of the peer it is dropped."""
        if isinstance(report, LoadReport):
            self._send_datagram_to(encode_datagram(load_report=report), [to])
        else:
            self._send_datagram_to(encode_datagram(order_report=report), [to])

    def _send_datagram_to(self, data: bytes, to: Collection[NodeId]) -> None:
        for node_id in to:
            peer = self.membership.get(node_id)
            if peer is not None:
                self._send_datagram(data, peer.row)

    def _send_datagram(self, data: bytes, row: NodeRow) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, (row.ip, row.peer_port))

    def _log_liveness_changes(self, late_ms: int) -> None:
        # A peer may seem silent because this node did not run; `late_ms` tells by how much this
        # interval was late.
        alive = set(self.membership.alive_ids(self._clock.now_ms()))
        for node_id in alive - self._alive_ids - {self.membership.own_id}:
            log_event(logger, Event.PEER_SEEN, peer=node_id)
        for node_id in self._alive_ids - alive:
            log_event(logger, Event.PEER_SILENT, peer=node_id, late_ms=late_ms)
        self._alive_ids = alive

    def close(self) -> None:
        """Close the UDP socket."""
        if self._transport is not None:
            self._transport.close()
