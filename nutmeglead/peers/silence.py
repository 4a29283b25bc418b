"""Tell a node that is lost from one that this node does not hear."""

from nutmeglead.core.ids import NodeId
from nutmeglead.peers.membership import Membership
from nutmeglead.peers.peer import HEARTBEAT_INTERVAL_MS, REPORTED_SILENT_AFTER_MS

__all__ = ["is_loss_shown"]

# Nodes fall silent within this time of each other when this node stops receiving: a heartbeat is
# one interval old at most, and a hub's report of it another one.
SILENCE_SPREAD_MS = 2 * HEARTBEAT_INTERVAL_MS


def is_loss_shown(membership: Membership, node_id: NodeId, now_ms: int) -> bool:
    """Return whether a peer that cannot act is known to be stopping, cut off or lost.

    Its silence shows a loss only if at least half of the listed nodes, this one included, were
    heard later. If not, this node may have just started, have a full link or be cut off itself.
    """
    peer = membership.get(node_id)
    if peer is None:
        # Its row may not have arrived yet.
        return False
    if peer.is_leaving or peer.is_recently_seen(now_ms):
        return True
    if peer.last_seen_ms is None and now_ms - peer.added_ms <= REPORTED_SILENT_AFTER_MS:
        return False
    silent_since_ms = max(peer.added_ms, peer.last_seen_ms or 0)
    return membership.is_list_known and _are_most_seen_since(
        membership, silent_since_ms + SILENCE_SPREAD_MS
    )


def _are_most_seen_since(membership: Membership, since_ms: int) -> bool:
    """Return whether half of the nodes that are not stopping were heard since a time."""
    times = [peer.last_seen_ms for peer in membership if not peer.is_leaving]
    seen_count = 1 + sum(at_ms is not None and at_ms >= since_ms for at_ms in times)
    return 2 * seen_count >= 1 + len(times)
