"""Tell the acting nodes which keys were asked for and how fast servers answered."""

from collections.abc import Mapping

from nutmeglead._generated.peers.ttypes import LoadReport
from nutmeglead.core.clock import Clock
from nutmeglead.core.ids import NodeId, ServiceName
from nutmeglead.forwarding.forwarder import Forwarder
from nutmeglead.peers.codec import decode_keys, decode_samples, encode_keys, encode_samples
from nutmeglead.peers.service import PeerService
from nutmeglead.ranges.controller import RangeController

__all__ = ["LoadReports"]

# Keys beyond this many since the last report are left out.
MAX_REPORTED_KEYS = 2_000


class LoadReports:
    """Collect the load of this node, and enter that of others where this node acts."""

    def __init__(
        self,
        node_id: NodeId,
        controllers: Mapping[ServiceName, RangeController],
        forwarder: Forwarder,
        peers: PeerService,
        clock: Clock,
    ) -> None:
        self._node_id = node_id
        self._controllers = controllers
        self._forwarder = forwarder
        self._peers = peers
        self._clock = clock
        self._keys: dict[ServiceName, list[int]] = {}

    def count_key(self, service: ServiceName, key: int) -> None:
        """Count a request for a key."""
        keys = self._keys.setdefault(service, [])
        if len(keys) < MAX_REPORTED_KEYS:
            keys.append(key)

    def report(self) -> None:
        """Tell the acting nodes of the requests and answers since the last report."""
        now_ms = self._clock.now_ms()
        for service, controller in self._controllers.items():
            keys = self._keys.pop(service, [])
            samples = self._forwarder.drain_samples(service)
            acting_id = controller.role.acting_id
            if controller.is_acting:
                controller.recent_keys.add(keys, now_ms)
                controller.candidates.add_samples(samples)
            elif acting_id is not None and (keys or samples):
                encoded = encode_keys(keys), encode_samples(samples)
                self._peers.send_report(LoadReport(self._node_id, service, *encoded), acting_id)

    def take(self, report: LoadReport) -> None:
        """Enter what another node has told."""
        controller = self._controllers.get(ServiceName(report.service_name))
        if controller is not None:
            controller.recent_keys.add(decode_keys(report.keys), self._clock.now_ms())
            controller.candidates.add_samples(decode_samples(report.samples))
