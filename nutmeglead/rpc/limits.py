"""Bound what an rpc client may use."""

from dataclasses import dataclass

from nutmeglead.rpc.frames import MAX_FRAME_BYTES

__all__ = ["RpcLimits"]


@dataclass(frozen=True)
class RpcLimits:
    """Bound what the client may use.

    The backoff ends below the 500 ms after which a server is suspected, so that a renewer whose
    peer restarted reconnects in time. Two consecutive timeouts without any received byte close the
    connection: it may lead to a VM that is gone, and TCP itself notices that only after minutes.
    """

    max_in_flight_per_peer: int = 256
    max_connections: int = 512
    max_frame_bytes: int = MAX_FRAME_BYTES
    connect_timeout_ms: int = 1000
    backoff_base_ms: int = 20
    backoff_max_ms: int = 400
    timeouts_to_reconnect: int = 2
