"""Turn the choices of a push strategy into calls, and replace receivers that do not answer."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import Acknowledged, MessageType, PageDelta
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.dissemination.fanout import FANOUTS, FanoutView, Push, PushRound
from nutmeglead.dissemination.membership import Membership
from nutmeglead.dissemination.sends import PushCall, Send

__all__ = ["Pusher"]

# Each entry VM has one router. While a neighbour's controller is paused, its router attaches here
# as well; the bound keeps a wrong sender from growing the table.
_MAX_ATTACHED = 64


@dataclass
class _Attached:
    address: Address
    heard_ms: int


class Pusher:
    """Push deltas to members and to the routers that are attached to this node."""

    def __init__(
        self, membership: Membership, view: FanoutView, settings: DisseminationSettings
    ) -> None:
        self._membership = membership
        self._settings = settings
        self._view = view
        self._strategy = FANOUTS.get(settings.push_strategy)(settings.fanout)
        self._attached: dict[str, _Attached] = {}

    def attach(self, node_id: str, address: Address, now_ms: int) -> None:
        """Push to a router from now on, until it is not heard for silent_after_ms."""
        if node_id in self._attached or len(self._attached) < _MAX_ATTACHED:
            self._attached[node_id] = _Attached(address, now_ms)

    def attached(self) -> list[str]:
        """List the attached routers."""
        return sorted(self._attached)

    def expire(self, now_ms: int) -> None:
        """Forget the routers that are silent."""
        silent_ms = self._settings.silent_after_ms
        for node_id, entry in list(self._attached.items()):
            if now_ms - entry.heard_ms > silent_ms:
                del self._attached[node_id]

    def start(self, delta: PageDelta) -> list[Send]:
        """Return the first pushes of a delta that originates here."""
        page_key = _page_key(delta)
        pushes = self._strategy.start(self._view, page_key)
        return self._sends(pushes, delta, PushRound(page_key))

    def forward(self, delta: PageDelta) -> list[Send]:
        """Return the pushes of a delta that was received."""
        page_key = _page_key(delta)
        pushes = self._strategy.forward(self._view, page_key, delta.hops_left)
        return self._sends(pushes, delta, PushRound(page_key, {delta.sender.node_id}))

    def replace(self, send: Send, call: PushCall) -> list[Send]:
        """Return the pushes in place of one that was not answered.

        A single lost message is more frequent than a node that is gone, so the same node gets the
        delta once more; it ignores a second copy.
        """
        page_key = call.round.page_key
        pushes = self._strategy.replace(self._view, page_key, call.push, call.round.tried)
        sends = self._member_sends(pushes, send.message, call.round)
        if not call.is_retry:
            retry = PushCall(call.push, call.round, is_retry=True)
            sends.append(replace(send, context=retry))
        return sends

    def _sends(self, pushes: list[Push], delta: PageDelta, push_round: PushRound) -> list[Send]:
        to_routers = [
            self._send(Push(node_id, 0), entry.address, delta, push_round)
            for node_id, entry in self._attached.items()
        ]
        return to_routers + self._member_sends(pushes, delta, push_round)

    def _member_sends(
        self, pushes: Iterable[Push], delta: PageDelta, push_round: PushRound
    ) -> list[Send]:
        sends = []
        for push in push_round.fresh(list(pushes), self._view.own_id):
            member = self._membership.member(push.node_id)
            if member is not None:
                sends.append(self._send(push, member.address, delta, push_round))
        return sends

    def _send(self, push: Push, address: Address, delta: PageDelta, push_round: PushRound) -> Send:
        message = PageDelta(
            sender=self._membership.identity.sender,
            service_name=delta.service_name,
            role_epoch=delta.role_epoch,
            pins=delta.pins,
            page_number=delta.page_number,
            from_version=delta.from_version,
            to_version=delta.to_version,
            changes=delta.changes,
            hops_left=push.hops_left,
        )
        return Send(
            push.node_id,
            address,
            MessageType.PAGE_DELTA,
            message,
            Acknowledged,
            self._settings.push_timeout_ms,
            PushCall(push, push_round),
        )


def _page_key(delta: PageDelta) -> bytes:
    """Return a key without the version, so that successive deltas of a page take the same path."""
    return f"{delta.service_name}/{delta.pins}/{delta.page_number}".encode()
