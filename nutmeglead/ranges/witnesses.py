"""Choose the witnesses of a map: the nodes that may send its grants."""

from nutmeglead.core.ids import NodeId
from nutmeglead.peers.membership import Membership
from nutmeglead.ranges.model import RangeMap, WitnessSets
from nutmeglead.ranges.rights import RenewalRights

__all__ = ["choose_witnesses", "next_witness_sets"]

# A witness that was silent for this time is replaced; a killed process restarts sooner.
WITNESS_REPLACED_AFTER_MS = 6_000
MAX_WITNESSES = 9


def choose_witnesses(membership: Membership, now_ms: int) -> tuple[NodeId, ...]:
    """Return this node and the first of the other hubs, at most MAX_WITNESSES in all."""
    hubs = [n for n in membership.hub_ids(now_ms) if n != membership.own_id]
    return (membership.own_id, *hubs[: MAX_WITNESSES - 1])


def next_witness_sets(
    ranges: RangeMap, rights: RenewalRights, membership: Membership, now_ms: int
) -> WitnessSets:
    """Return the witness sets for the map after `ranges`.

    Earlier sets that may no longer send grants are dropped. A new set is added when this node is no
    witness, or a witness is stopping or was silent for WITNESS_REPLACED_AFTER_MS. One that is
    stopping still learns of the new map, which ends its rights.
    """
    sets = rights.unexpired_witness_sets(ranges, now_ms)
    are_witnesses_present = membership.own_id in ranges.witnesses and not any(
        membership.is_stopping(node_id)
        or membership.is_absent_for(node_id, WITNESS_REPLACED_AFTER_MS, now_ms)
        for node_id in ranges.witnesses
    )
    if are_witnesses_present:
        return sets
    chosen = choose_witnesses(membership, now_ms)
    return sets if chosen == ranges.witnesses else (*sets, chosen)
