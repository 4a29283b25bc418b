"""Define the limits and penalties by which requests are assigned to servers."""

from dataclasses import dataclass, field

from nutmeglead.forwarding.admission import AdmissionSettings
from nutmeglead.scheduling.return_times import ReturnSettings
from nutmeglead.scheduling.shares import ShareSettings
from nutmeglead.scheduling.time_used import TimeUsedSettings

__all__ = ["DispatchSettings"]


@dataclass(frozen=True)
class DispatchSettings:
    """Limit the requests in flight at one server and those waiting on this node.

    `max_requests_per_slot` counts the requests that a server runs or queues, from all nodes. The
    penalties are added to a server's expected duration when servers are compared: the
    `cross_domain` ones for a server in another failure domain, `failure_penalty_ms` for each point
    of its failure score. The `retry_after_ms` values are sent to callers whose request is refused.
    """

    max_requests_per_slot: float = 2.5
    max_waiting_requests: int = 200
    cross_domain_penalty_ms: float = 8.0
    large_answer_cross_domain_penalty_ms: float = 40.0
    failure_penalty_ms: float = 150.0
    # Added for a server without an idle connection by the policies that prefer connected servers.
    new_connection_penalty_ms: float = 40.0
    # Name of the policy that chooses servers of services without keys.
    selection: str = "by-node-count"
    min_retry_after_ms: int = 100
    # A request with no usable server waits this long, or for as long as it can be answered within
    # the target latency. Most planned moves of keys end sooner; a key without an owner for longer
    # has lost its server.
    max_hold_ms: int = 300
    no_server_retry_after_ms: int = 450
    # A server still receives requests for this long after its leaving began, if it owns the key or
    # its entry may have lapsed in an outage of the store.
    leaving_use_ms: int = 1_200
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    # Shares and return times where nodes are many in relation to the places at a server.
    shares: ShareSettings = field(default_factory=ShareSettings)
    returns: ReturnSettings = field(default_factory=ReturnSettings)
    time_used: TimeUsedSettings = field(default_factory=TimeUsedSettings)
    # Part of a server's backoff time over which the nodes' first requests after it are spread.
    backoff_spread: float = 0.1
