"""Decide what one node sends: heartbeats, pushes, comparisons and fetches. No sockets, no clock."""

import random
from collections.abc import Iterable, Sequence
from typing import Any

from nutmeglead._generated.messages.ttypes import (
    Acknowledged,
    DigestReply,
    DigestRequest,
    Heartbeat,
    MessageType,
    PageDelta,
    PagesReply,
    PagesRequest,
    PageVersion,
    PlacementPage,
)
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.events import Event
from nutmeglead.core.ids import RoleEpoch, ServiceName
from nutmeglead.dissemination.deltas import make_delta
from nutmeglead.dissemination.facts import Acting, Notice
from nutmeglead.dissemination.fanout import FanoutView
from nutmeglead.dissemination.feeder import Feeder, FeederChoice
from nutmeglead.dissemination.members import Identity, Member, MemberState
from nutmeglead.dissemination.membership import Membership
from nutmeglead.dissemination.page_ids import page_id
from nutmeglead.dissemination.pushes import Pusher
from nutmeglead.dissemination.repair import Repairer
from nutmeglead.dissemination.routers import RouterList, answer_routers
from nutmeglead.dissemination.sends import Compare, Fetch, PushCall, Send
from nutmeglead.dissemination.service_copy import ServiceCopy
from nutmeglead.platform.ports import VmEntry

__all__ = ["DisseminationMachine"]

# Links between failure domains are costly; one comparison in this many crosses one.
_COMPARISONS_PER_CROSSING = 4
# A node without any pages asks this many neighbours at once, because some may have none either.
_FIRST_COMPARISONS = 3
# After this many ticks without any page it asks at the usual interval; a new service has no pages.
_FIRST_TICKS = 20


class DisseminationMachine:
    """Combine membership, pushes and repair of one process.

    Each method takes the time and returns the calls to make; the replies go back to `settle`.
    Changed pages and log events wait in `take_changed` and `take_notices`.
    """

    def __init__(
        self,
        identity: Identity,
        settings: DisseminationSettings,
        services: Iterable[ServiceName],
        rng: random.Random,
        now_ms: int,
        feeder: Feeder | None = None,
    ) -> None:
        """Begin with empty memory; with a feeder the process is passive, as a router is."""
        self.identity = identity
        self.membership = Membership(identity, settings, rng, now_ms)
        self.copies = {service_name: ServiceCopy(service_name) for service_name in services}
        self._settings = settings
        self._rng = rng
        self._last_feeder = feeder
        self._feeder = FeederChoice(feeder, settings, rng, now_ms) if feeder else None
        self._view = FanoutView(self.membership)
        self._pusher = Pusher(self.membership, self._view, settings)
        self._repairer = Repairer(identity.sender, self.copies)
        self.routers = RouterList()
        self._own_roles: dict[str, int] = {}
        self._acting: dict[str, Acting] = {}
        # Own digest at the time when a heartbeat showed another one, by service and sender.
        self._differing: dict[ServiceName, tuple[str, int]] = {}
        # Spread over the first interval, so that nodes that start together do not ask together.
        self._next_compare_ms = now_ms + rng.uniform(0, settings.digest_interval_ms)
        self._tick_count = 0
        self._changed: list[PlacementPage] = []
        self._notices: list[Notice] = []

    # ---- questions ----

    def age_ms(self, service_name: ServiceName, now_ms: int) -> int | None:
        """Return how old a service's copy is, or None if it was never confirmed."""
        return self.copies[service_name].age_ms(now_ms)

    def is_cut_off(self, now_ms: int) -> bool:
        """Tell whether no other entry VM, or no feeder, was heard for silent_after_ms."""
        if self._feeder is not None:
            return self._feeder.is_cut_off(now_ms)
        return self.membership.is_cut_off(now_ms)

    def acting(self, service_name: str) -> Acting | None:
        """Return the controller with the highest announced role epoch of a service."""
        return self._acting.get(service_name)

    def attached(self) -> list[str]:
        """List the routers that this node feeds."""
        return self._pusher.attached()

    def take_changed(self) -> list[PlacementPage]:
        """Return the pages that changed since the last call, each version in order."""
        changed, self._changed = self._changed, []
        return changed

    def take_notices(self) -> list[Notice]:
        """Return the log events since the last call."""
        for event in self.membership.take_events():
            if event.before is not event.after or event.after is MemberState.ALIVE:
                kind = Event.PEER_SEEN if event.after is MemberState.ALIVE else Event.PEER_SILENT
                fields = {"node_id": event.node_id, "state": event.after.value}
                self._notices.append(Notice(kind, {**fields, "incarnation": event.incarnation}))
        notices, self._notices = self._notices, []
        return notices

    # ---- the acting controller ----

    def set_role(self, service_name: ServiceName, role_epoch: RoleEpoch | None) -> None:
        """Announce from now on that this node acts for a service, or no longer."""
        if role_epoch is None:
            self._own_roles.pop(service_name, None)
        else:
            self._own_roles[service_name] = role_epoch
            self._learn_acting(service_name, role_epoch, self.identity.node_id)

    def learn_acting(self, service_name: str, role_epoch: RoleEpoch, node_id: str) -> None:
        """Take over from a command who acts, up to a heartbeat interval before it is announced."""
        self._learn_acting(service_name, role_epoch, node_id)

    def confirm(self, service_name: ServiceName, now_ms: int) -> None:
        """Note that the table was just read or written: the copy is what the table holds."""
        self.copies[service_name].confirm(now_ms)

    def publish(self, page: PlacementPage, now_ms: int) -> list[Send]:
        """Take over a page that is in the table and push it to the others."""
        copy = self.copies[ServiceName(page.service_name)]
        old = copy.store.get(page_id(page))
        changed = copy.originate(page)
        self._changed += changed
        if not changed:
            return []
        return self._pusher.start(make_delta(old, page, self.identity.sender, 0))

    # ---- time ----

    def learn_vms(self, entries: Iterable[VmEntry], now_ms: int) -> None:
        """Take over the lagging VM list."""
        self.membership.learn_vms(entries, now_ms)

    def tick(self, now_ms: int) -> list[Send]:
        """Return the periodic calls; to be called every heartbeat_interval_ms."""
        self._tick_count += 1
        self._pusher.expire(now_ms)
        sends = self._heartbeats(now_ms)
        sends += self._close_gaps(now_ms)
        sends += self._compare_with_new_feeder(now_ms)
        sends += self._compare_differing(now_ms)
        sends += self._compare_first(now_ms)
        if now_ms >= self._next_compare_ms:
            self._next_compare_ms = now_ms + self._settings.digest_interval_ms
            for service_name in self.copies:
                sends += self._compare(service_name, self._neighbour(service_name, now_ms), now_ms)
        return sends

    def leave(self, now_ms: int) -> list[Send]:
        """Return the last heartbeats of a planned stop."""
        if self._feeder is not None:
            return []
        targets = self.membership.tick(now_ms)
        return [self._heartbeat_to(member, {}, leaving=True) for member in targets]

    def _heartbeats(self, now_ms: int) -> list[Send]:
        if self._feeder is not None:
            others = [
                Feeder(member.node_id, member.address)
                for member in self.membership.members()
                if member.state is not MemberState.GONE
            ]
            return [self._attach_to(f) for f in self._feeder.targets(others, now_ms)]
        targets = self.membership.tick(now_ms)
        # Each heartbeat to one target in turn carries the digests; all of them would double it.
        turn = self._tick_count % max(1, len(targets))
        digests = {str(name): copy.store.digest for name, copy in self.copies.items()}
        return [
            self._heartbeat_to(member, digests if index == turn else {})
            for index, member in enumerate(targets)
        ]

    def _heartbeat_to(self, member: Member, digests: dict[str, int], leaving: bool = False) -> Send:
        message = self.membership.heartbeat(member, dict(self._own_roles), digests, leaving=leaving)
        return self._heartbeat_send(Feeder(member.node_id, member.address), message)

    def _attach_to(self, feeder: Feeder) -> Send:
        message = Heartbeat(
            sender=self.identity.sender,
            failure_domain=self.identity.failure_domain,
            sequence=self._tick_count,
            rpc_address=self.identity.rpc_address,
            role_epochs={},
            map_digests={},
            relay_address=self.identity.relay_address,
            passive=True,
            routers_digest=self.routers.digest,
        )
        return self._heartbeat_send(feeder, message)

    def _heartbeat_send(self, target: Feeder, message: Heartbeat) -> Send:
        return Send(
            target.node_id,
            target.address,
            MessageType.HEARTBEAT,
            message,
            Acknowledged,
            self._settings.heartbeat_interval_ms,
        )

    def _close_gaps(self, now_ms: int) -> list[Send]:
        """Fetch pages whose deltas did not arrive in order since the last tick."""
        sends: list[Send] = []
        for service_name, copy in self.copies.items():
            by_node: dict[str, list[PageVersion]] = {}
            for place, gap in copy.gaps.items():
                entry = PageVersion(place.pins, place.page_number, gap.version)
                by_node.setdefault(gap.node_id, []).append(entry)
                gap.node_id = ""  # a second attempt goes to another node
            for node_id, wanted in by_node.items():
                target = self._peer(node_id) or self._neighbour(service_name, now_ms)
                sends += self._fetch(service_name, target, wanted, now_ms)
        return sends

    def _compare_differing(self, now_ms: int) -> list[Send]:
        """Compare with nodes whose heartbeat differed, unless a delta arrived in the meantime."""
        differing, self._differing = self._differing, {}
        sends: list[Send] = []
        for service_name, (node_id, own_digest) in differing.items():
            if self.copies[service_name].store.digest == own_digest:
                sends += self._compare(service_name, self._peer(node_id), now_ms)
        return sends

    def _compare_with_new_feeder(self, now_ms: int) -> list[Send]:
        """Compare at once after a change of feeder; deltas were pushed in the meantime."""
        feeder = self._feeder.current(now_ms) if self._feeder else None
        if feeder == self._last_feeder:
            return []
        self._last_feeder = feeder
        return [send for name in self.copies for send in self._compare(name, feeder, now_ms)]

    def _compare_first(self, now_ms: int) -> list[Send]:
        sends: list[Send] = []
        if self._tick_count > _FIRST_TICKS:
            return sends
        for service_name, copy in self.copies.items():
            if copy.age_ms(now_ms) is None and not len(copy.store):
                asked = [self._neighbour(service_name, now_ms) for _ in range(_FIRST_COMPARISONS)]
                by_id = {target.node_id: target for target in asked if target}
                for target in by_id.values():
                    sends += self._compare(service_name, target, now_ms)
        return sends

    def _compare(self, service_name: ServiceName, target: Feeder | None, now_ms: int) -> list[Send]:
        if target is None:
            return []
        return [self._repairer.compare(service_name, target.node_id, target.address, now_ms)]

    def _fetch(
        self,
        service_name: ServiceName,
        target: Feeder | None,
        wanted: Sequence[PageVersion],
        now_ms: int,
    ) -> list[Send]:
        if target is None:
            return []
        return self._repairer.fetch(service_name, target.node_id, target.address, wanted, now_ms)

    def _peer(self, node_id: str) -> Feeder | None:
        member = self.membership.member(node_id)
        return Feeder(node_id, member.address) if member else None

    def _neighbour(self, service_name: ServiceName, now_ms: int) -> Feeder | None:
        """Choose whom to compare with: the feeder, the acting controller or a random member."""
        if self._feeder is not None:
            return self._feeder.current(now_ms)
        alive = self.membership.alive()
        acting = self._acting.get(service_name)
        is_reachable = acting is not None and acting.node_id in alive
        if acting and is_reachable and self.membership.is_mesh() and self._rng.random() < 0.5:
            return self._peer(acting.node_id)
        near = self._view.members(self.identity.failure_domain)
        stays = len(near) > 1 and self._rng.randrange(_COMPARISONS_PER_CROSSING) > 0
        candidates = [n for n in (near if stays else alive) if n != self.identity.node_id]
        return self._peer(self._rng.choice(candidates)) if candidates else None

    # ---- messages ----

    def handle_heartbeat(self, message: Heartbeat, now_ms: int) -> Acknowledged:
        """Take over a heartbeat of a member or of an attached router."""
        if message.passive:
            self._pusher.attach(message.sender.node_id, message.rpc_address, now_ms)
            members = self.membership.members()
            return answer_routers(message, self._acknowledge(), self.identity, members)
        if self.membership.hear_heartbeat(message, now_ms):
            for service_name, role_epoch in message.role_epochs.items():
                self._learn_acting(service_name, RoleEpoch(role_epoch), message.sender.node_id)
            for service_name, digest in message.map_digests.items():
                copy = self.copies.get(ServiceName(service_name))
                if copy is not None and copy.store.digest != digest:
                    entry = (message.sender.node_id, copy.store.digest)
                    self._differing[ServiceName(service_name)] = entry
        return self._acknowledge()

    def handle_delta(self, delta: PageDelta, now_ms: int) -> tuple[Acknowledged, list[Send]]:
        """Apply a delta, forward it if it is new, and fetch the page if it is corrupt."""
        acknowledged = self._acknowledge()
        copy = self.copies.get(ServiceName(delta.service_name))
        if copy is None:
            return acknowledged, []
        verdict, changed = copy.offer(delta)
        self._changed += changed
        sends: list[Send] = []
        if verdict.is_forwardable and self._feeder is None:
            sends += self._pusher.forward(delta)
        if verdict.fetch is not None:
            service_name = ServiceName(delta.service_name)
            sender = self._peer(delta.sender.node_id)
            self._notices.append(Notice(Event.MESSAGE_REFUSED, _delta_fields(delta)))
            sends += self._fetch(service_name, sender, [verdict.fetch], now_ms)
        return acknowledged, sends

    def handle_digest(self, request: DigestRequest, now_ms: int) -> DigestReply:
        """Answer a comparison."""
        return self._repairer.answer_digest(request, now_ms)

    def handle_pages(self, request: PagesRequest, now_ms: int) -> PagesReply:
        """Answer a fetch."""
        return self._repairer.answer_pages(request, now_ms)

    def settle(self, send: Send, reply: Any | None, now_ms: int) -> list[Send]:
        """Take over the reply to a call, or None if there was none."""
        self._note_sign_of_life(send, reply, now_ms)
        context = send.context
        if isinstance(context, PushCall):
            return [] if reply is not None else self._pusher.replace(send, context)
        if isinstance(context, Compare):
            return [] if reply is None else self._repairer.settle_compare(send, reply, now_ms)
        if isinstance(context, Fetch):
            changed, sends = self._repairer.settle_fetch(send, reply, now_ms)
            self._note_repair(send, context, changed)
            return sends
        return []

    def _note_sign_of_life(self, send: Send, reply: Any | None, now_ms: int) -> None:
        if reply is not None:
            sequence = reply.sequence if isinstance(reply, Acknowledged) else None
            self.membership.hear_reply(reply.sender, sequence, now_ms)
        if self._feeder is None:
            return
        if reply is None:
            self._feeder.fail(send.node_id)
        else:
            self._feeder.hear(reply.sender.node_id, now_ms)
            if isinstance(reply, Acknowledged):
                self.routers.take_over(reply)

    def _note_repair(self, send: Send, context: Fetch, changed: list[PlacementPage]) -> None:
        self._changed += changed
        if changed:
            fields = {"service": context.service_name, "pages": len({*map(page_id, changed)})}
            self._notices.append(Notice(Event.MAP_REPAIRED, {**fields, "from": send.node_id}))

    def _acknowledge(self) -> Acknowledged:
        return Acknowledged(self.identity.sender, self.membership.sequence)

    def _learn_acting(self, service_name: str, role_epoch: RoleEpoch, node_id: str) -> None:
        known = self._acting.get(service_name)
        if known is None or role_epoch >= known.role_epoch:
            self._acting[service_name] = Acting(node_id, role_epoch)


def _delta_fields(delta: PageDelta) -> dict[str, object]:
    place = page_id(delta)
    fields = {"service": delta.service_name, "page": tuple(place), "version": delta.to_version}
    return {**fields, "from": delta.sender.node_id}
