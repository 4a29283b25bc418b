"""Measure the moves and the handovers of one service while its controller acts; pure."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from nutmeglead._generated.messages.ttypes import SuspectServer
from nutmeglead.controller.machine import ControllerMachine
from nutmeglead.core.ids import Epoch, ServerId
from nutmeglead.ownership.keys import Unit
from nutmeglead.ownership.units import UnitRecord
from nutmeglead.placement.model import Move, MoveReason

__all__ = ["ServiceActivity", "units_of_lost"]


@dataclass
class _Handover:
    """Hold since when a unit has no owner that serves it."""

    epoch: Epoch
    began_ms: int
    is_served: bool = False


class ServiceActivity:
    """Count moves by reason and measure how long units have no serving owner.

    A handover begins when its page is written, because the release is sent at once, and ends when
    the new owner has acknowledged its grants. That is at least the time without an owner. After a
    loss it begins when a renewer heard the server last. A controller that takes the role sees the
    handovers under way from then on.
    """

    def __init__(self) -> None:
        self.moves: Counter[MoveReason] = Counter()
        self._handovers: dict[Unit, _Handover] = {}
        self._heard_ms: dict[ServerId, int] = {}
        self._finished_ms: list[int] = []

    def count(self, moves: Iterable[Move]) -> None:
        """Count moves that were written."""
        self.moves.update(move.reason for move in moves)

    def on_suspect(self, message: SuspectServer, now_ms: int) -> None:
        """Note when a renewer heard a server last; the latest of all renewers counts."""
        server_id, heard_ms = ServerId(message.server_id), now_ms - message.silent_ms
        self._heard_ms[server_id] = max(heard_ms, self._heard_ms.get(server_id, heard_ms))

    def begin(self) -> None:
        """Forget the handovers of an earlier time in the role."""
        self._handovers.clear()
        self._heard_ms.clear()

    def observe(self, machine: ControllerMachine, now_ms: int) -> None:
        """Note which handovers have begun and which have ended."""
        waiting = set(machine.grants.unacknowledged())
        pending = {record.unit: record for record in machine.placer.unit_map.pending()}
        for record in pending.values():
            known = self._handovers.get(record.unit)
            if known is None or (known.is_served and known.epoch != record.epoch):
                known = _Handover(record.epoch, self._began_ms(machine, record, now_ms))
                self._handovers[record.unit] = known
            known.epoch = record.epoch
        for unit, handover in list(self._handovers.items()):
            present = pending.get(unit) or machine.placer.unit_map.record(unit)
            if not handover.is_served and _is_served(machine, present, waiting):
                handover.is_served = True
                self._finished_ms.append(now_ms - handover.began_ms)
            if present is None or (handover.is_served and unit not in pending):
                del self._handovers[unit]

    def take_finished_ms(self) -> list[int]:
        """Return the durations of the handovers that ended since the last call."""
        finished, self._finished_ms = self._finished_ms, []
        return finished

    def oldest_ms(self, lost: Mapping[ServerId, int], now_ms: int) -> int:
        """Return for how long the unit that waits longest has had no serving owner, or 0.

        `lost` is what `units_of_lost` gives. Their units wait, too, while the table is down and no
        page can be written.
        """
        began = [h.began_ms for h in self._handovers.values() if not h.is_served]
        began += [self._heard_ms.get(server, now_ms) for server, count in lost.items() if count]
        return max(0, now_ms - min(began)) if began else 0

    def _began_ms(self, machine: ControllerMachine, record: UnitRecord, now_ms: int) -> int:
        leases = machine.leases.servers
        lost = [
            holder.server_id
            for holder in record.previous
            if holder.server_id in leases and leases[holder.server_id].is_lost
        ]
        return min((self._heard_ms.get(server, now_ms) for server in lost), default=now_ms)


def _is_served(
    machine: ControllerMachine, record: UnitRecord | None, waiting: set[ServerId]
) -> bool:
    """Tell whether a unit's owner holds its grant as far as the controller knows."""
    if record is None or record.owner is None or record.owner in waiting:
        return False
    lease = machine.leases.servers.get(record.owner)
    if lease is None or lease.is_lost or lease.has_ended:
        return False
    return all(machine.handover.is_proven(record.unit, holder) for holder in record.previous)


def units_of_lost(machine: ControllerMachine) -> dict[ServerId, int]:
    """Map each lost server to the number of units that the pages still give it."""
    lost = {lease.server_id: 0 for lease in machine.leases.servers.values() if lease.is_lost}
    if not lost:
        return lost
    for page in machine.placer.pages.values():
        owners = Counter(page.owners)
        for index, server_id in enumerate(map(ServerId, page.servers)):
            if server_id in lost:
                lost[server_id] += owners[index]
    return lost
