"""Choose who gets a new page delta from whom."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Protocol

from xxhash import xxh64_intdigest

from nutmeglead.core.registry import Registry
from nutmeglead.dissemination.membership import Membership

__all__ = [
    "FANOUTS",
    "MAX_HOPS",
    "DirectPush",
    "DomainTree",
    "FanoutStrategy",
    "FanoutView",
    "Push",
]

# Bounds forwarding if members disagree about each other. A tree of fan-out 2 over 433 members, a
# failure domain of the target size, is 8 deep.
MAX_HOPS = 16
# Each page uses one of this many orders of the members, so that inner nodes of the trees and relays
# differ between pages, and each order is computed once per change of membership.
_ORDERS = 16


@dataclass(frozen=True)
class Push:
    """Name a receiver; one with MAX_HOPS left is the relay of its failure domain."""

    node_id: str
    hops_left: int


class FanoutView:
    """Order the members of each failure domain, this node included, the same on all nodes."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._version = -1
        self._domains: dict[str, list[str]] = {}
        self._orders: dict[tuple[str, int], list[str]] = {}
        self.own_id: str = membership.identity.node_id
        self.own_domain: str = membership.identity.failure_domain

    def alive(self) -> Collection[str]:
        """Return the members that are believed to be alive, this node excluded."""
        return self._membership.alive()

    def domains(self) -> list[str]:
        """List the failure domains that have members."""
        self._refresh()
        return sorted(self._domains)

    def members(self, domain: str) -> list[str]:
        """List the members of a failure domain; the caller must not change it."""
        self._refresh()
        return self._domains.get(domain, [])

    def order(self, domain: str, page_key: bytes) -> list[str]:
        """Return a domain's members by rendezvous rank for a page."""
        self._refresh()
        seed = xxh64_intdigest(page_key) % _ORDERS
        order = self._orders.get((domain, seed))
        if order is None:
            members = self._domains.get(domain, [])
            order = sorted(
                members, key=lambda node_id: xxh64_intdigest(node_id.encode(), seed=seed)
            )
            self._orders[domain, seed] = order
        return order

    def domain_of(self, node_id: str) -> str | None:
        """Return the failure domain of a member."""
        member = self._membership.member(node_id)
        return member.failure_domain if member else None

    def _refresh(self) -> None:
        if self._version == self._membership.version:
            return
        self._version = self._membership.version
        self._orders = {}
        self._domains = {self.own_domain: [self.own_id]}
        for node_id, member in self._membership.alive().items():
            self._domains.setdefault(member.failure_domain, []).append(node_id)


@dataclass
class PushRound:
    """Remember who was tried with one delta, so that nobody gets it twice from this node."""

    page_key: bytes
    tried: set[str] = field(default_factory=set)

    def fresh(self, pushes: list[Push], own_id: str) -> list[Push]:
        """Return the pushes to nodes that were not tried, and count them as tried."""
        chosen = {
            push.node_id: push
            for push in pushes
            if push.node_id not in self.tried and push.node_id != own_id
        }
        self.tried.update(chosen)
        return list(chosen.values())


class FanoutStrategy(Protocol):
    """Choose receivers; each method returns receivers that a PushRound then filters."""

    def start(self, view: FanoutView, page_key: bytes) -> list[Push]:
        """Choose the receivers of a delta that originates here."""
        ...

    def forward(self, view: FanoutView, page_key: bytes, hops_left: int) -> list[Push]:
        """Choose the receivers of a delta that was received with hops left."""
        ...

    def replace(
        self, view: FanoutView, page_key: bytes, failed: Push, tried: Collection[str]
    ) -> list[Push]:
        """Choose the receivers in place of one that did not answer."""
        ...


FANOUTS: Registry[Callable[[int], FanoutStrategy]] = Registry("push strategy")


@FANOUTS.register("direct")
class DirectPush:
    """Push from the origin to every member, without relays."""

    def __init__(self, fanout: int) -> None:
        pass

    def start(self, view: FanoutView, page_key: bytes) -> list[Push]:
        """Choose all members."""
        return [Push(node_id, 0) for node_id in view.alive()]

    def forward(self, view: FanoutView, page_key: bytes, hops_left: int) -> list[Push]:
        """Choose nobody."""
        return []

    def replace(
        self, view: FanoutView, page_key: bytes, failed: Push, tried: Collection[str]
    ) -> list[Push]:
        """Choose nobody; the member repairs the gap itself."""
        return []


@FANOUTS.register("domain_tree")
class DomainTree:
    """Push to a tree inside the own failure domain and to one relay per other failure domain.

    The tree is a heap over the domain's order: ranks 0 to fanout - 1 hang below the node that
    brought the delta into the domain, and rank r has the children fanout * (r + 1) and following.
    A node knows its children from its own rank alone. Members that disagree about the order leave
    gaps or doubles, which digests repair.
    """

    def __init__(self, fanout: int) -> None:
        self._fanout = fanout

    def start(self, view: FanoutView, page_key: bytes) -> list[Push]:
        """Choose the top of the own tree and the first relay of each other domain."""
        pushes = self._top(view, page_key)
        for domain in view.domains():
            if domain != view.own_domain:
                pushes.append(Push(view.order(domain, page_key)[0], MAX_HOPS))
        return pushes

    def forward(self, view: FanoutView, page_key: bytes, hops_left: int) -> list[Push]:
        """Choose the top of the tree as a relay, else the children of the own rank."""
        if hops_left >= MAX_HOPS:
            return self._top(view, page_key)
        return self._below(view, page_key, view.own_id, hops_left)

    def replace(
        self, view: FanoutView, page_key: bytes, failed: Push, tried: Collection[str]
    ) -> list[Push]:
        """Choose the next relay of the domain, or the children of the node that failed."""
        if failed.hops_left < MAX_HOPS:
            return self._below(view, page_key, failed.node_id, failed.hops_left)
        domain = view.domain_of(failed.node_id)
        order = view.order(domain, page_key) if domain else []
        return [Push(node_id, MAX_HOPS) for node_id in order if node_id not in tried][:1]

    def _top(self, view: FanoutView, page_key: bytes) -> list[Push]:
        order = view.order(view.own_domain, page_key)
        first = [Push(node_id, MAX_HOPS - 1) for node_id in order[: self._fanout]]
        return first + self._below(view, page_key, view.own_id, MAX_HOPS)

    def _below(self, view: FanoutView, page_key: bytes, node_id: str, hops_left: int) -> list[Push]:
        order = view.order(view.own_domain, page_key)
        if hops_left <= 0 or node_id not in order:
            return []
        first = self._fanout * (order.index(node_id) + 1)
        return [Push(child, hops_left - 1) for child in order[first : first + self._fanout]]
