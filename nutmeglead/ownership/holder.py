"""Hold a lease and grants on behalf of one server, and admit requests under them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from nutmeglead._generated.common.ttypes import UnitId, UnitKind
from nutmeglead._generated.messages.ttypes import (
    GrantReply,
    OrderStatus,
    ReleaseReply,
    ReleaseUnits,
    RenewLease,
    RenewReply,
    RenewStatus,
    SetGrants,
)
from nutmeglead.core.ids import Epoch, Incarnation, LeaseEpoch
from nutmeglead.ownership.errors import EpochMismatch, LeaseLapsed, LeaseNotHeld, NotOwner, Refusal
from nutmeglead.ownership.keys import PrefixTable, Unit, bucket_shift, hash_key, unit_from_id

__all__ = ["GrantHolder", "Lease", "RunTicket"]


@dataclass(frozen=True)
class RunTicket:
    """Identify one admitted request."""

    number: int
    key: str
    unit: Unit
    epoch: Epoch


@dataclass
class Lease:
    """Combine the renewals of one lease epoch; all times are the holder's own, in ms."""

    epoch: LeaseEpoch = LeaseEpoch(0)
    renewers: tuple[str, ...] = ()
    ends_ms: dict[str, int] = field(default_factory=dict)
    # End of the earlier lease epoch's lease, until enough renewals of this one are in.
    carried_end_ms: int = 0
    carried_epoch: LeaseEpoch = LeaseEpoch(0)
    begun: bool = False
    lapsed_epoch: LeaseEpoch = LeaseEpoch(0)

    def own_end_ms(self) -> int:
        """Return the time until which a majority of this epoch's renewals are unexpired."""
        majority = len(self.renewers) // 2 + 1
        ends = sorted(self.ends_ms.values(), reverse=True)
        return ends[majority - 1] if len(ends) >= majority else 0

    def end_ms(self) -> int:
        """Return the end of the lease, or 0 if none has begun."""
        return self.own_end_ms() if self.begun else self.carried_end_ms

    def is_valid(self, now_ms: int) -> bool:
        """Tell whether the lease is in force."""
        return self.lapsed_epoch < self.epoch and now_ms < self.end_ms()

    def supporting_epoch(self) -> LeaseEpoch:
        """Return the epoch whose renewals carry the lease.

        A controller drops the earlier renewer sets only when this reaches the newest epoch. With
        the adopted epoch instead, it would forget renewers that still carry the lease.
        """
        return self.epoch if self.begun else self.carried_epoch

    def adopt(self, epoch: LeaseEpoch, renewers: Iterable[str], now_ms: int) -> None:
        """Begin a higher lease epoch and keep the end of a lease that is in force."""
        valid = self.is_valid(now_ms)
        supporting, end = self.supporting_epoch(), self.end_ms()
        self.carried_end_ms = end if valid else 0
        self.carried_epoch = supporting if valid else LeaseEpoch(0)
        self.epoch, self.renewers, self.ends_ms = epoch, tuple(renewers), {}
        self.begun = False

    def renew(self, node_id: str, end_ms: int, now_ms: int) -> None:
        """Take one renewal; the epoch's lease begins when a majority is unexpired at once."""
        self.ends_ms[node_id] = max(end_ms, self.ends_ms.get(node_id, 0))
        if now_ms < self.own_end_ms():
            self.begun = True

    def latch(self, now_ms: int) -> bool:
        """Record that a lease that had begun has ended; return True at that moment."""
        if self.lapsed_epoch >= self.epoch or self.end_ms() == 0 or now_ms < self.end_ms():
            return False
        self.lapsed_epoch = self.epoch
        return True


class GrantHolder:
    """Decide for one server or gate incarnation what it may run."""

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self._lease = Lease()
        self._order = (0, 0)  # role epoch and sequence of the last command
        self._installed: tuple[int, int] | None = None
        self._installed_role = 0
        self._installed_lease_epoch = LeaseEpoch(0)
        self._grants: dict[Unit, Epoch] = {}
        self._carve_outs: set[Unit] = set()
        self._prefixes: PrefixTable[Unit] = PrefixTable()
        self._shift = bucket_shift(1)
        self._runs: dict[int, RunTicket] = {}
        self._run_count = 0
        self._revoked_count = 0

    def renew(self, message: RenewLease, now_ms: int) -> RenewReply:
        """Take a renewal; a late or repeated one extends nothing."""
        return RenewReply(
            status=self._renew(message, now_ms),
            holder_incarnation=self.incarnation,
            holder_now_ms=now_ms,
            lease_epoch=self._lease.supporting_epoch(),
            lease_end_ms=self._lease.end_ms(),
        )

    def set_grants(self, message: SetGrants, now_ms: int) -> GrantReply:
        """Replace the grant set unless a newer command has been seen."""
        status = self._set_grants(message, now_ms)
        role_epoch, sequence = self._order
        return GrantReply(
            status=status,
            holder_incarnation=self.incarnation,
            holder_now_ms=now_ms,
            role_epoch=role_epoch,
            sequence=sequence,
            lease_epoch=self._lease.supporting_epoch(),
        )

    def begin_release(self, message: ReleaseUnits, now_ms: int) -> ReleaseReply:
        """Stop admitting requests for units; a unit is released when its last run finished."""
        status = self._begin_release(message, now_ms)
        released: list[UnitId] = []
        draining: list[UnitId] = []
        if status == OrderStatus.DONE:
            for grant in message.units:
                unit, epoch = unit_from_id(grant.unit), Epoch(grant.epoch)
                done = not self._is_held(unit, epoch) and not self._has_runs(unit, epoch)
                (released if done else draining).append(grant.unit)
        if draining:
            # An overtaken release was not carried out, so what is still held does not drain.
            is_overtaken = (message.role_epoch, message.sequence) < self._order
            status = OrderStatus.STALE_ROLE_EPOCH if is_overtaken else OrderStatus.DRAINING
        return ReleaseReply(
            status=status,
            holder_incarnation=self.incarnation,
            released=released,
            draining=draining,
            role_epoch=self._order[0],
        )

    def admit(self, key: str, epoch: Epoch, now_ms: int) -> Result[RunTicket, Refusal]:
        """Admit a request under a valid lease and a grant of exactly its epoch."""
        refusal = self._lease_refusal(now_ms)
        if refusal is not None:
            return Err(refusal)
        unit = self._most_specific(key)
        granted = None if unit is None else self._grants.get(unit)
        if unit is None or granted is None:
            return Err(NotOwner(key))
        if granted != epoch:
            return Err(EpochMismatch(epoch, granted))
        self._run_count += 1
        ticket = RunTicket(self._run_count, key, unit, epoch)
        self._runs[ticket.number] = ticket
        return Ok(ticket)

    def may_commit(self, ticket: RunTicket, now_ms: int) -> bool:
        """Tell whether an admitted request may still take effect.

        A lapse ends the right to the unit without waiting for runs, so a server asks again right
        before it applies what the request does.
        """
        if self._lease_refusal(now_ms) is not None:
            return False
        return ticket.number in self._runs and ticket.number > self._revoked_count

    def finish(self, ticket: RunTicket) -> None:
        """Record that an admitted request has ended."""
        self._runs.pop(ticket.number, None)

    def serves(self, key: str, now_ms: int) -> tuple[Unit, Epoch] | None:
        """Return the unit and epoch at which a request would be admitted; changes nothing."""
        unit = self._most_specific(key) if self._lease.is_valid(now_ms) else None
        return None if unit is None or unit not in self._grants else (unit, self._grants[unit])

    def holds(self, key: str, now_ms: int) -> bool:
        """Tell whether a request for a key may run or take effect; changes nothing."""
        if self.serves(key, now_ms) is not None:
            return True
        runs = (run for run in self._runs.values() if run.number > self._revoked_count)
        return self._lease.is_valid(now_ms) and any(run.key == key for run in runs)

    def lease_end_ms(self, now_ms: int) -> int | None:
        """Return when the lease ends, or None if it is not in force."""
        return None if self._lease_refusal(now_ms) else self._lease.end_ms()

    def granted(self) -> dict[Unit, Epoch]:
        """Return the granted units and their epochs."""
        return dict(self._grants)

    def runs_in_flight(self) -> int:
        """Return how many admitted requests have not finished."""
        return len(self._runs)

    def _lease_refusal(self, now_ms: int) -> Refusal | None:
        self._note_time(now_ms)
        if self._lease.lapsed_epoch >= self._lease.epoch > 0:
            return LeaseLapsed(self._lease.lapsed_epoch)
        if not self._lease.is_valid(now_ms):
            return LeaseNotHeld(self._lease.epoch)
        return None

    def _note_time(self, now_ms: int) -> None:
        """Latch a lapse before anything else happens at this time.

        A server that was frozen learns of its lapse here; were the grants kept, the next lease
        epoch would revive units that have moved meanwhile.
        """
        if self._lease.latch(now_ms):
            self._revoke()

    def _adopt(self, epoch: LeaseEpoch, renewers: Iterable[str], now_ms: int) -> None:
        if not self._lease.is_valid(now_ms):
            self._revoke()
        self._lease.adopt(epoch, renewers, now_ms)

    def _renew(self, message: RenewLease, now_ms: int) -> RenewStatus:
        self._note_time(now_ms)
        lease = self._lease
        if message.holder_incarnation != self.incarnation:
            return RenewStatus.WRONG_INCARNATION
        if message.lease_epoch <= lease.lapsed_epoch:
            return RenewStatus.LAPSED
        if message.lease_epoch < lease.epoch:
            return RenewStatus.STALE_LEASE_EPOCH
        if message.sender.node_id not in message.renewer_node_ids:
            return RenewStatus.NOT_A_RENEWER
        if message.lease_end_ms == 0:
            return RenewStatus.TIME_ONLY
        if message.lease_epoch > lease.epoch:
            self._adopt(LeaseEpoch(message.lease_epoch), message.renewer_node_ids, now_ms)
        if message.sender.node_id not in lease.renewers:
            return RenewStatus.NOT_A_RENEWER
        self._raise_role_epoch(message)
        lease.renew(message.sender.node_id, message.lease_end_ms, now_ms)
        return RenewStatus.RENEWED

    def _raise_role_epoch(self, message: RenewLease) -> None:
        """Refuse grants of role epochs below the one that wrote the lease epoch.

        Otherwise a controller that lost its role could read the new lease epoch and grant from its
        old pages, which lack the moves made while this server was lapsed.
        """
        floor = message.role_epoch or 0
        self._order = max(self._order, (floor, 0))
        if self._installed_role < floor and self._installed_lease_epoch >= message.lease_epoch:
            self._revoke()

    def _set_grants(self, message: SetGrants, now_ms: int) -> OrderStatus:
        self._note_time(now_ms)
        order = (message.role_epoch, message.sequence)
        if message.holder_incarnation != self.incarnation:
            return OrderStatus.WRONG_INCARNATION
        if message.lease_epoch <= self._lease.lapsed_epoch:
            return OrderStatus.LAPSED
        if message.lease_epoch < self._lease.epoch:
            return OrderStatus.STALE_LEASE_EPOCH
        if order <= self._order:
            repeated = order == self._installed
            return OrderStatus.DONE if repeated else OrderStatus.STALE_ROLE_EPOCH
        if message.lease_epoch > self._lease.epoch:
            self._adopt(LeaseEpoch(message.lease_epoch), message.renewer_node_ids, now_ms)
        self._install(message)
        self._order = self._installed = order
        return OrderStatus.DONE

    def _install(self, message: SetGrants) -> None:
        self._drop_grants()
        self._shift = bucket_shift(message.hash_buckets)
        self._installed_role = message.role_epoch
        self._installed_lease_epoch = LeaseEpoch(message.lease_epoch)
        self._grants = {unit_from_id(g.unit): Epoch(g.epoch) for g in message.grants}
        self._carve_outs = {unit_from_id(unit) for unit in message.carve_outs} - set(self._grants)
        for unit in (*self._grants, *self._carve_outs):
            if unit.kind == UnitKind.PREFIX:
                self._prefixes.put(unit.key, unit)

    def _revoke(self) -> None:
        self._drop_grants()
        self._revoked_count = self._run_count

    def _drop_grants(self) -> None:
        self._grants, self._carve_outs, self._prefixes = {}, set(), PrefixTable()
        self._installed = None

    def _begin_release(self, message: ReleaseUnits, now_ms: int) -> OrderStatus:
        self._note_time(now_ms)
        order = (message.role_epoch, message.sequence)
        if message.holder_incarnation != self.incarnation:
            return OrderStatus.WRONG_INCARNATION
        if message.role_epoch < self._order[0]:
            return OrderStatus.STALE_ROLE_EPOCH
        # A release that a newer grant set of the same role overtook changes nothing, but its answer
        # is as good a proof: that grant set came from the table after the move was written.
        if order > self._order:
            self._order = order
            self._installed = None  # a repetition of the last SetGrants is no longer in effect
            self._drop_removed_pins(message)
            for grant in message.units:
                self._drop_unit(unit_from_id(grant.unit), Epoch(grant.epoch))
        return OrderStatus.DONE

    def _drop_removed_pins(self, message: ReleaseUnits) -> None:
        """Drop pins that the table no longer gives to this server.

        The key of a removed pin belongs to the unit below. Released alone, that unit would leave
        the pin granted here while its key is granted elsewhere.
        """
        kept = {(unit_from_id(grant.unit), grant.epoch) for grant in message.kept or ()}
        for unit, epoch in list(self._grants.items()):
            if unit.kind != UnitKind.HASH_BUCKET and (unit, epoch) not in kept:
                self._drop_unit(unit, epoch)

    def _drop_unit(self, unit: Unit, epoch: Epoch) -> None:
        granted = self._grants.get(unit)
        if granted is not None and granted > epoch:
            return
        self._grants.pop(unit, None)
        if unit.kind != UnitKind.HASH_BUCKET:
            self._carve_outs.add(unit)
        if unit.kind == UnitKind.PREFIX:
            self._prefixes.put(unit.key, unit)

    def _most_specific(self, key: str) -> Unit | None:
        exact = Unit.of_key(key)
        if exact in self._grants or exact in self._carve_outs:
            return exact
        return self._prefixes.longest(key) or self._bucket_unit(key)

    def _bucket_unit(self, key: str) -> Unit | None:
        unit = Unit.of_bucket(hash_key(key) >> self._shift)
        return unit if unit in self._grants else None

    def _is_held(self, unit: Unit, epoch: Epoch) -> bool:
        """Tell whether a request in this unit could be admitted at this epoch or a lower one."""
        if unit in self._grants:
            return self._grants[unit] <= epoch
        if unit in self._carve_outs or unit.kind == UnitKind.HASH_BUCKET:
            return False
        if unit.kind == UnitKind.EXACT:
            return self._most_specific(unit.key) in self._grants
        shorter = self._prefixes.longest(unit.key)
        if shorter is not None:
            return shorter in self._grants
        return any(granted.kind == UnitKind.HASH_BUCKET for granted in self._grants)

    def _has_runs(self, unit: Unit, epoch: Epoch) -> bool:
        return any(self._blocks(run, unit, epoch) for run in self._runs.values())

    def _blocks(self, run: RunTicket, unit: Unit, epoch: Epoch) -> bool:
        """Tell whether a run uses a unit that is to be released.

        Runs under a more specific unit that is still granted do not. Runs under one that was
        removed do: their key now belongs to the unit below.
        """
        if not unit.matches(run.key, self._shift):
            return False
        if run.unit == unit:
            return run.epoch <= epoch
        still_granted = self._grants.get(run.unit) == run.epoch
        return not (still_granted and run.unit.is_more_specific_than(unit))
