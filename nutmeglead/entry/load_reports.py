"""Report requested keys, servers' service times and leaving servers to the acting nodes."""

from collections.abc import Mapping

from nutmeglead._generated.peers.ttypes import Life, LoadReport
from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import NodeId, ServerId, ServiceName
from nutmeglead.forwarding.forwarder import Forwarder
from nutmeglead.forwarding.model import ServerIncarnation
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.peers.codec import decode_keys, decode_samples, encode_keys, encode_samples
from nutmeglead.peers.service import PeerService
from nutmeglead.ranges.controller import RangeController

__all__ = ["LoadReports"]

# A report holds at most this many keys; further ones are not counted.
MAX_REPORTED_KEYS = 2_000


class LoadReports:
    """Collect this node's load and send it to the acting nodes.

    Where this node acts itself, its own load and that in peers' reports go to its controller.
    """

    def __init__(
        self,
        node_id: NodeId,
        controllers: Mapping[ServiceName, RangeController],
        forwarder: Forwarder,
        registry: ServerRegistry,
        peers: PeerService,
        clock: Clock,
    ) -> None:
        self._node_id = node_id
        self._controllers = controllers
        self._forwarder = forwarder
        self._registry = registry
        self._peers = peers
        self._clock = clock
        self._requested_keys: dict[ServiceName, list[int]] = {}

    def count_key(self, service: ServiceName, key: int) -> None:
        """Add a request for a key to the next report, unless the report is full."""
        keys = self._requested_keys.setdefault(service, [])
        if len(keys) < MAX_REPORTED_KEYS:
            keys.append(key)

    def send_reports(self) -> None:
        """Send each acting node the keys and service times since the last report.

        Where this node acts itself, they are applied directly.
        """
        now_ms = self._clock.now_ms()
        for service, controller in self._controllers.items():
            keys = self._requested_keys.pop(service, [])
            samples = self._forwarder.drain_samples(service)
            leaving = self._registry.announced_leaving(service)
            acting_id = controller.role.acting_id
            if controller.is_acting:
                controller.recent_keys.add(keys, now_ms)
                controller.candidates.add_samples(samples)
            elif acting_id is not None and (keys or samples or leaving):
                lives = [Life(server.server_id, server.started_ms) for server in leaving]
                encoded = encode_keys(keys), encode_samples(samples), lives or None
                self._peers.send_report(LoadReport(self._node_id, service, *encoded), acting_id)

    def apply(self, report: LoadReport) -> None:
        """Add the keys and service times of a peer's report to the service's controller.

        Servers that have told the peer that they are leaving count as leaving here too, so that
        their keys move although the store may not say so.
        """
        for life in report.leaving or ():
            incarnation = ServerIncarnation(ServerId(life.server_id), life.born_ms)
            self._registry.announce_leaving(incarnation, self._clock.now_ms())
        controller = self._controllers.get(ServiceName(report.service_name))
        if controller is not None:
            controller.recent_keys.add(decode_keys(report.keys), self._clock.now_ms())
            controller.candidates.add_samples(decode_samples(report.samples))
