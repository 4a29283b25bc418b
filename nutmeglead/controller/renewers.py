"""Choose the entry VMs that renew a server's lease."""

from collections.abc import Iterable, Sequence

import xxhash

from nutmeglead.controller.decisions import EntryNode
from nutmeglead.core.ids import NodeId, ServerId

__all__ = ["choose_gate", "choose_renewers", "replace_renewer"]


def _rank(node: EntryNode, server_id: ServerId) -> int:
    """Return the rendezvous rank, which spreads servers evenly over entry VMs."""
    return xxhash.xxh64_intdigest(f"{node.node_id}\0{server_id}".encode())


def choose_renewers(
    server_id: ServerId, server_domain: str, nodes: Iterable[EntryNode], count: int
) -> list[NodeId]:
    """Choose live entry VMs in different failure domains, the server's own domain included.

    One renewer per domain: the loss of any one domain leaves a majority of three. With fewer
    domains than renewers, a domain gives more than one.
    """
    ranked = sorted(
        (node for node in nodes if node.is_alive), key=lambda node: -_rank(node, server_id)
    )
    own_first = sorted(ranked, key=lambda node: node.failure_domain != server_domain)
    chosen: list[EntryNode] = []
    while len(chosen) < min(count, len(ranked)):
        domains = {node.failure_domain for node in chosen}
        rest = [node for node in own_first if node not in chosen]
        fresh = [node for node in rest if node.failure_domain not in domains]
        chosen.append((fresh or rest)[0])
    return sorted(node.node_id for node in chosen)


def choose_gate(
    server_id: ServerId, server_domain: str, nodes: Iterable[EntryNode], last: NodeId | None
) -> EntryNode | None:
    """Choose the entry VM whose router is the gate of a server, if possible in its domain.

    After one whose lease has ended, the next in rank is chosen: its VM may be alive while its
    router is not.
    """
    possible = [node for node in nodes if node.is_alive and node.gate_address is not None]
    if not possible:
        return None
    ranked = sorted(
        possible, key=lambda n: (n.failure_domain != server_domain, -_rank(n, server_id))
    )
    ids = [node.node_id for node in ranked]
    position = ids.index(last) + 1 if last in ids else 0
    return ranked[position % len(ranked)]


def replace_renewer(
    server_id: ServerId, present: Sequence[NodeId], lost: NodeId, nodes: Iterable[EntryNode]
) -> list[NodeId] | None:
    """Replace one lost renewer from a failure domain that is not yet used.

    While a whole failure domain is silent there is no replacement from a domain that is in use: a
    domain that is cut off would get a majority of its servers' renewers, and their leases could not
    be stopped from outside. Once the VM list or the silence has removed its nodes, there is one.
    """
    by_id = {node.node_id: node for node in nodes}
    kept = [node_id for node_id in present if node_id != lost]
    used = {by_id[node_id].failure_domain for node_id in kept if node_id in by_id}
    free = [node for node in by_id.values() if node.is_alive and node.node_id not in present]
    has_other_domain = any(node.failure_domain not in used for node in by_id.values())
    if has_other_domain:
        free = [node for node in free if node.failure_domain not in used]
    if not free:
        return None
    best = min(free, key=lambda node: -_rank(node, server_id))
    return sorted([*kept, best.node_id])
