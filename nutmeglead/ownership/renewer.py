"""Renew the leases of many servers on behalf of one entry VM."""

from dataclasses import dataclass

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    AssignRenewer,
    AssignReply,
    RenewLease,
    RenewReply,
    RenewStatus,
    StoppedReply,
    StopRenewing,
    SuspectServer,
)
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.core.ids import Incarnation, LeaseEpoch, NodeId, RoleEpoch, ServerId, ServiceName
from nutmeglead.ownership.server_rows import holder_name

__all__ = ["RenewalOrder", "Renewer", "lapse_margin_ms"]

# Each of two clocks is read in whole ms, so a difference may be 1 ms too long on either.
ROUNDING_MARGIN_MS = 2
# A single lost message must not make a server suspect.
SUSPECT_AFTER_UNANSWERED = 2


def lapse_margin_ms(lease_ttl_ms: int, clock_drift_ppm: int) -> int:
    """Return how much longer than the ttl a lease may last on another VM's clock.

    The holder's clock may be slow and the observer's fast, each by `clock_drift_ppm`.
    """
    drift_ms = -(-2 * lease_ttl_ms * clock_drift_ppm // (1_000_000 - clock_drift_ppm))
    return drift_ms + ROUNDING_MARGIN_MS


@dataclass(frozen=True)
class RenewalOrder:
    """Tell the caller to send a renewal to a server."""

    service_name: ServiceName
    server_id: ServerId
    address: Address
    message: RenewLease


@dataclass
class _Target:
    """Hold what is known of one server; local times are the renewer's, in ms."""

    assignment: AssignRenewer
    next_send_ms: int
    last_reply_ms: int
    next_suspect_ms: int = 0
    basis_holder_ms: int = 0
    basis_local_ms: int | None = None
    # When the reply arrived on which the last renewal of this lease epoch was based.
    sent_basis_ms: int | None = None
    # The same for the renewals of all lower lease epochs.
    lower_sent_basis_ms: int | None = None
    has_ended: bool = False
    last_sent_ms: int = 0
    unanswered_count: int = 0
    seen_incarnation: Incarnation | None = None

    @property
    def lease_epoch(self) -> LeaseEpoch:
        return LeaseEpoch(self.assignment.renewers.lease_epoch)


class Renewer:
    """Decide what one entry VM's renewer sends, and state how long its renewals may last."""

    def __init__(
        self, node_id: NodeId, incarnation: Incarnation, settings: OwnershipSettings, now_ms: int
    ) -> None:
        self._sender = Sender(node_id, incarnation)
        self._settings = settings
        self._started_ms = now_ms
        self._last_due_ms = now_ms
        self._targets: dict[tuple[str, str], _Target] = {}
        self._stopped_epochs: dict[tuple[str, str], LeaseEpoch] = {}
        self._role_epochs: dict[str, RoleEpoch] = {}

    def assign(self, message: AssignRenewer, now_ms: int) -> AssignReply:
        """Take over a lease epoch if it is newer than all known ones and was not stopped.

        The reply to a refused assignment names the highest epoch that was stopped, so that a
        controller that has just taken the role learns of its predecessor's stop orders.
        """
        place = (message.service_name, message.server_id)
        if self._take(message, place, now_ms):
            return AssignReply(self._sender, True, self._targets[place].lease_epoch)
        return AssignReply(self._sender, False, self._stopped_epochs.get(place, LeaseEpoch(0)))

    def due(self, now_ms: int) -> list[RenewalOrder]:
        """List the renewals to send now and note them as sent."""
        # After a pause of this VM the silence was its own, not the servers'.
        if now_ms - self._last_due_ms >= self._settings.suspect_after_ms:
            for target in self._targets.values():
                target.last_reply_ms, target.unanswered_count = now_ms, 0
        self._last_due_ms = now_ms
        return [
            self._renewal(target, now_ms)
            for place, target in self._targets.items()
            if now_ms >= target.next_send_ms and not self._is_stopped(place, target)
        ]

    def on_reply(
        self,
        service_name: ServiceName,
        server_id: ServerId,
        sent: RenewLease,
        reply: RenewReply,
        now_ms: int,
    ) -> None:
        """Take a server's reply to a renewal of this incarnation."""
        target = self._targets.get((service_name, server_id))
        if target is None or sent.holder_incarnation != target.assignment.holder_incarnation:
            return
        if reply.holder_incarnation != sent.holder_incarnation:
            target.has_ended = True
            target.seen_incarnation = Incarnation(reply.holder_incarnation)
            return
        target.last_reply_ms = max(target.last_reply_ms, now_ms)
        target.unanswered_count = 0
        if target.basis_local_ms is None or reply.holder_now_ms > target.basis_holder_ms:
            if target.basis_local_ms is None:
                target.next_send_ms = now_ms
            target.basis_holder_ms, target.basis_local_ms = reply.holder_now_ms, now_ms
        if sent.lease_epoch == target.lease_epoch and reply.status not in (
            RenewStatus.RENEWED,
            RenewStatus.TIME_ONLY,
        ):
            target.has_ended = True

    def stop(self, message: StopRenewing, now_ms: int) -> StoppedReply | None:
        """Stop a lease epoch for good and state how long its renewals may last.

        Returns None for the order of a controller that has lost its role.
        """
        if not self._note_role(message.service_name, message.role_epoch):
            return None
        place = (message.service_name, message.server_id)
        epoch = LeaseEpoch(message.lease_epoch)
        self._stopped_epochs[place] = max(epoch, self._stopped_epochs.get(place, LeaseEpoch(0)))
        return StoppedReply(
            sender=self._sender,
            server_id=message.server_id,
            lease_epoch=epoch,
            remaining_ms=self._remaining_ms(place, epoch, now_ms),
        )

    def suspects(self, now_ms: int) -> list[SuspectServer]:
        """List the servers that are silent, lapsed or restarted and not reported recently."""
        found = []
        for place, target in self._targets.items():
            silent_ms = now_ms - target.last_reply_ms
            is_silent = self._is_silent(target, now_ms)
            if self._is_stopped(place, target) or not (is_silent or target.has_ended):
                continue
            if now_ms >= target.next_suspect_ms:
                target.next_suspect_ms = now_ms + self._settings.renew_interval_ms
                found.append(self._suspicion(place, target, silent_ms))
        return found

    def _is_silent(self, target: _Target, now_ms: int) -> bool:
        """Tell whether a server has left several renewals without an answer.

        Renewals are sent a little more than one interval apart. With the time alone, one lost
        message at each of two renewers would count as the loss of a server.
        """
        if now_ms - target.last_reply_ms < self._settings.suspect_after_ms:
            return False
        reply_wait_ms = self._settings.renew_interval_ms // 4
        has_waited = now_ms - target.last_sent_ms >= reply_wait_ms
        return target.unanswered_count >= SUSPECT_AFTER_UNANSWERED and has_waited

    def _take(self, message: AssignRenewer, place: tuple[str, str], now_ms: int) -> bool:
        renewers = message.renewers
        if not self._note_role(message.service_name, message.role_epoch):
            return False
        # A renewer that restarted has forgotten its stop statements. Were it to take an assignment
        # to its earlier incarnation, a lease that a mover counts as ended would be renewed.
        mine = dict(zip(renewers.node_ids, renewers.incarnations or (), strict=False))
        if mine.get(self._sender.node_id) != self._sender.incarnation:
            return False
        if renewers.lease_epoch <= self._stopped_epochs.get(place, 0):
            return False
        known = self._targets.get(place)
        if known is not None and renewers.lease_epoch <= known.lease_epoch:
            return bool(renewers.lease_epoch == known.lease_epoch)
        self._targets[place] = self._new_target(message, known, now_ms)
        return True

    def _new_target(self, message: AssignRenewer, known: _Target | None, now_ms: int) -> _Target:
        target = _Target(message, next_send_ms=now_ms, last_reply_ms=now_ms)
        if known is None:
            return target
        bases = (known.sent_basis_ms, known.lower_sent_basis_ms)
        target.lower_sent_basis_ms = max((b for b in bases if b is not None), default=None)
        # A lease that begins on an old basis lapses before the renewal after it arrives.
        is_fresh = (
            known.basis_local_ms is not None
            and now_ms - known.basis_local_ms < self._settings.lease_ttl_ms // 2
        )
        if is_fresh and known.assignment.holder_incarnation == message.holder_incarnation:
            target.basis_holder_ms = known.basis_holder_ms
            target.basis_local_ms = known.basis_local_ms
        return target

    def _renewal(self, target: _Target, now_ms: int) -> RenewalOrder:
        assignment = target.assignment
        target.next_send_ms = now_ms + self._settings.renew_interval_ms
        target.last_sent_ms = now_ms
        target.unanswered_count += 1
        end_ms = 0  # asks for the holder's time only
        if target.basis_local_ms is not None and not target.has_ended:
            end_ms = target.basis_holder_ms + self._settings.lease_ttl_ms
            target.sent_basis_ms = target.basis_local_ms
        message = RenewLease(
            sender=self._sender,
            holder_incarnation=assignment.holder_incarnation,
            lease_epoch=target.lease_epoch,
            renewer_node_ids=list(assignment.renewers.node_ids),
            lease_end_ms=end_ms,
            role_epoch=assignment.renewers.role_epoch,
            holder_name=holder_name(assignment.service_name, assignment.server_id),
        )
        return RenewalOrder(
            ServiceName(assignment.service_name),
            ServerId(assignment.server_id),
            assignment.address,
            message,
        )

    def _remaining_ms(self, place: tuple[str, str], epoch: LeaseEpoch, now_ms: int) -> int:
        # An earlier incarnation of this renewer may have renewed until this one started.
        bases = [self._started_ms]
        target = self._targets.get(place)
        if target is not None:
            covered = target.sent_basis_ms if target.lease_epoch <= epoch else None
            bases += [b for b in (covered, target.lower_sent_basis_ms) if b is not None]
        ttl_ms = self._settings.lease_ttl_ms
        longest_ms = ttl_ms + lapse_margin_ms(ttl_ms, self._settings.clock_drift_ppm)
        return max(0, longest_ms - (now_ms - max(bases)))

    def _suspicion(self, place: tuple[str, str], target: _Target, silent_ms: int) -> SuspectServer:
        service_name, server_id = place
        return SuspectServer(
            sender=self._sender,
            service_name=service_name,
            server_id=server_id,
            lease_epoch=target.lease_epoch,
            silent_ms=silent_ms,
            holder_incarnation=target.seen_incarnation or target.assignment.holder_incarnation,
        )

    def _is_stopped(self, place: tuple[str, str], target: _Target) -> bool:
        return target.lease_epoch <= self._stopped_epochs.get(place, 0)

    def _note_role(self, service_name: str, role_epoch: int) -> bool:
        if role_epoch < self._role_epochs.get(service_name, 0):
            return False
        if role_epoch > self._role_epochs.get(service_name, 0):
            # The earlier controller may not have acted on what was reported to it.
            for (service, _), target in self._targets.items():
                if service == service_name:
                    target.next_suspect_ms = 0
        self._role_epochs[service_name] = RoleEpoch(role_epoch)
        return True
