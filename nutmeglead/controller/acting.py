"""Hold the controller role of one service and run its machine while it is held."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from result import Err, Ok

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    DigestReply,
    DigestRequest,
    LoadReport,
    MessageType,
    MissingParty,
    RoleRow,
    SuspectServer,
)
from nutmeglead._generated.settings.ttypes import ServiceSettings, Settings
from nutmeglead.audit.records import AuditContext, ticket_in_force
from nutmeglead.controller.activity import ServiceActivity
from nutmeglead.controller.decisions import EntryNode
from nutmeglead.controller.executor import RPC_TIMEOUT_MS, DecisionExecutor, ExecutorParts
from nutmeglead.controller.machine import ControllerMachine, MachineSettings
from nutmeglead.controller.role import RoleKeeper, RoleState
from nutmeglead.controller.ticket_feed import TicketFeed
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.events import Event, log_event
from nutmeglead.core.ids import (
    NodeId,
    RoleEpoch,
    RowKey,
    ServerId,
    ServiceName,
    TicketNumber,
)
from nutmeglead.core.waiting import wait_at_most
from nutmeglead.dissemination.service import DisseminationService
from nutmeglead.ownership.pages import role_key
from nutmeglead.placement.load import LoadMerger
from nutmeglead.platform.ports import RowCheck, RowWrite, VmEntry, VmState

__all__ = ["ActingService"]

logger = logging.getLogger(__name__)

BUSY_INTERVAL_MS = 25
IDLE_INTERVAL_MS = 100
# The role row is read this often while another controller acts, and after each doubt.
ROLE_READ_INTERVAL_MS = 10_000
ROLE_RETRY_INTERVAL_MS = 500
DIGEST_POLL_INTERVAL_MS = 300
LOAD_SNAPSHOT_INTERVAL_MS = 1000
# With 5 s the imbalance stays within 1.10, with 10 s it does not (docs/decisions/placement.md).
LOAD_HALF_LIFE_MS = 5_000


@dataclass
class _Due:
    """Hold when periodic work is due, in ms of the process's clock."""

    role_read_ms: int = 0
    digest_poll_ms: int = 0
    load_ms: int = 0


class ActingService:
    """Run one service's role and machine."""

    def __init__(
        self,
        service: ServiceSettings,
        settings: Settings,
        sender: Sender,
        parts: ExecutorParts,
        dissemination: DisseminationService,
        tickets: TicketFeed,
        nodes: Callable[[], Mapping[NodeId, EntryNode]],
    ) -> None:
        self.name = ServiceName(service.name)
        self.machine: ControllerMachine | None = None
        self.activity = ServiceActivity()
        self._settings = MachineSettings(service, settings.ownership)
        self._sender = sender
        self._parts = parts
        self._dissemination = dissemination
        self._tickets = tickets
        self._nodes = nodes
        self._own_router = Address(settings.node.ip, settings.node.router_rpc_port)
        self._executor: DecisionExecutor | None = None
        self._role_row: RowKey = role_key(self.name)
        self._role = RoleKeeper(
            self.name,
            NodeId(sender.node_id),
            sender.incarnation,
            # A member that is not alive has been silent for `silent_after_ms` already.
            max(0, settings.ownership.role_silent_ms - settings.dissemination.silent_after_ms),
            parts.clock.now_ms() + settings.dissemination.silent_after_ms // 3,
        )
        self._load = self._new_load()
        self._due = _Due()
        self._wake = asyncio.Event()
        self._in_force_number = TicketNumber(0)
        self._desired_number = TicketNumber(-1)

    async def run(self) -> None:
        """Follow the role until cancelled."""
        while True:
            try:
                await self._step()
            except Exception:  # a fault in one round must not end the service
                logger.exception("a round of service %s failed", self.name)
            is_busy = self.machine is not None and self.machine.is_busy
            interval_ms = BUSY_INTERVAL_MS if is_busy else IDLE_INTERVAL_MS
            await wait_at_most(self._wake, interval_ms)
            self._wake.clear()

    async def close(self) -> None:
        """Stop acting; the row stays until another controller takes it."""
        self._dissemination.set_role(self.name, None)
        if self._executor is not None:
            await self._executor.close()
        self.machine = self._executor = None

    def wake(self) -> None:
        """Run the next round at once."""
        self._wake.set()

    # ---- messages ----

    def on_suspect(self, message: SuspectServer) -> None:
        """Take a renewer's report."""
        if self.machine is not None:
            self.activity.on_suspect(message, self._now_ms())
            self.machine.on_suspect(message, self._now_ms())
            self.wake()

    def on_load(self, report: LoadReport) -> None:
        """Take a router's load report."""
        self._load.merge(report, self._now_ms())

    def on_vms(self, entries: Sequence[VmEntry]) -> None:
        """Take the platform's list: a VM that is gone holds nothing."""
        if self.machine is None:
            return
        now_ms = self._now_ms()
        backends = [entry for entry in entries if entry.role == "backend"]
        for entry in backends:
            if entry.state is VmState.GONE:
                self.machine.on_server_gone(ServerId(entry.vm_id), entry.incarnation, now_ms)
        leaving = (entry.vm_id for entry in backends if entry.state is VmState.LEAVING)
        self.machine.on_leaving_vms(frozenset(map(ServerId, leaving)), now_ms)

    def missing(self, number: TicketNumber) -> list[MissingParty]:
        """List who keeps a ticket from being in force for this service."""
        if self.machine is None:
            return []
        parties = [(name, "") for name, _ in self._parties()]
        return self.machine.missing(number, parties)

    # ---- rounds ----

    async def _step(self) -> None:
        if self.machine is None:
            await self._consider_role()
        elif self._is_superseded():
            await self._check_role()
        if self.machine is None or self._executor is None:
            return
        now_ms = self._now_ms()
        self._update_inputs(self.machine, now_ms)
        self._executor.carry_out(self.machine.tick(now_ms, self._nodes()))
        self.activity.observe(self.machine, now_ms)
        if self._in_force_number < self._tickets.state.number:
            await self._follow_ticket(self.machine, now_ms)

    def _update_inputs(self, machine: ControllerMachine, now_ms: int) -> None:
        state = self._tickets.state
        if state.number != self._desired_number:
            self._desired_number = state.number
            machine.set_desired(state.service(self.name), state.number, now_ms)
        if now_ms >= self._due.load_ms:
            self._due.load_ms = now_ms + LOAD_SNAPSHOT_INTERVAL_MS
            written = machine.writer.take_written()
            self.activity.count(written)
            self._load.apply(written, now_ms)
            machine.set_load(self._load.snapshot(now_ms))

    async def _follow_ticket(self, machine: ControllerMachine, now_ms: int) -> None:
        """Poll the nodes' digests until the newest ticket is in force."""
        number = self._tickets.state.number
        if now_ms >= self._due.digest_poll_ms:
            self._due.digest_poll_ms = now_ms + DIGEST_POLL_INTERVAL_MS
            await asyncio.gather(*(self._poll_digest(*party) for party in self._parties()))
        if self.missing(number):
            return
        self._in_force_number = number
        log_event(logger, Event.TICKET_IN_FORCE, service=self.name, ticket=number)
        names = ", ".join(name for name, _ in self._parties())
        context = AuditContext(
            self._sender, self._parts.clock.wall_ms(), self.name, machine.role_epoch, number
        )
        self._parts.audit.append(ticket_in_force(context, f"confirmed by {names}"))

    def _parties(self) -> list[tuple[str, Address]]:
        """List every other live process that has a copy of the map."""
        parties: list[tuple[str, Address]] = [("own router", self._own_router)]
        nodes = self._nodes()
        for member in self._dissemination.members():
            node = nodes.get(member.node_id)
            if node is None or not node.is_alive:
                continue
            if member.node_id != self._sender.node_id:
                parties.append((member.node_id, member.address))
            if member.relay_address is not None:
                parties.append((f"{member.node_id} router", member.relay_address))
        return parties

    async def _poll_digest(self, name: str, address: Address) -> None:
        machine = self.machine
        request = DigestRequest(self._sender, self.name, machine.placer.digest() if machine else 0)
        reply = await self._parts.rpc.call(
            address, MessageType.DIGEST, request, DigestReply, RPC_TIMEOUT_MS
        )
        if isinstance(reply, Ok) and machine is not None:
            machine.in_force.node_reported(name, "", reply.ok_value.digest)

    # ---- role ----

    def _is_superseded(self) -> bool:
        acting = self._dissemination.acting(self.name)
        machine = self.machine
        return acting is not None and machine is not None and acting.role_epoch > machine.role_epoch

    async def _consider_role(self) -> None:
        now_ms = self._now_ms()
        is_due = now_ms >= self._due.role_read_ms and not self._is_acting_heard()
        if is_due or self._is_row_outdated():
            await self._read_role(now_ms)
        row = self._role.row_to_write(now_ms, self._nodes().values())
        if row is None or self._role.state is None:
            # The role may be held already: an answer that was lost, or rows that could not be read
            # when it was taken. No other controller takes a role whose holder is alive.
            await self._begin()
            return
        check = RowCheck(self._role_row, self._role.state.version)
        write = RowWrite(self._role_row, encode(row))
        done = await self._parts.table.commit([check], [write])
        if isinstance(done, Ok):
            self._role.observe(RoleState(row, done.ok_value[self._role_row]))
        else:
            await self._read_role(now_ms)
        await self._begin()

    def _is_acting_heard(self) -> bool:
        """Tell whether the controller that the row names is alive and announces the row's epoch.

        Then the row need not be read: with thousands of entry VMs these reads alone would take the
        table service's whole read budget.
        """
        acting = self._dissemination.acting(self.name)
        row = self._role.state.row if self._role.state else None
        if acting is None or row is None or acting.role_epoch != row.epoch:
            return False
        node = self._nodes().get(NodeId(acting.node_id))
        return node is not None and node.is_alive and node.incarnation == row.incarnation

    def _is_row_outdated(self) -> bool:
        acting = self._dissemination.acting(self.name)
        state = self._role.state
        if acting is None or state is None:
            return False
        return acting.role_epoch > (state.row.epoch if state.row else 0)

    async def _read_role(self, now_ms: int) -> None:
        self._due.role_read_ms = now_ms + ROLE_RETRY_INTERVAL_MS
        read = await self._parts.table.read(self._role_row)
        if isinstance(read, Err):
            return
        self._due.role_read_ms = now_ms + ROLE_READ_INTERVAL_MS
        row = read.ok_value
        if row is None:
            self._role.observe(RoleState(None, 0))
            return
        decoded = decode(RoleRow, row.value)
        if isinstance(decoded, Ok):
            self._role.observe(RoleState(decoded.ok_value, row.version))

    async def _begin(self) -> None:
        """Build the machine from the table, if the role is held."""
        epoch, state = self._role.epoch, self._role.state
        if epoch is None or state is None:
            return
        await self._tickets.poll()
        pages = await self._parts.table.scan(f"page/{self.name}/")
        servers = await self._parts.table.scan(f"server/{self.name}/")
        if isinstance(pages, Err) or isinstance(servers, Err):
            return
        now_ms = self._now_ms()
        machine = ControllerMachine(self._settings, self._sender, epoch, state.version, now_ms)
        desired = self._tickets.state
        machine.set_desired(desired.service(self.name), desired.number, now_ms)
        machine.load_servers(servers.ok_value)
        machine.load_pages(pages.ok_value)
        self._desired_number = desired.number
        self._load = self._new_load()
        self.activity.begin()
        self.machine = machine
        self._executor = DecisionExecutor(machine, self._parts, self.wake, self._check_role)
        self._announce(machine, epoch)

    def _announce(self, machine: ControllerMachine, epoch: RoleEpoch) -> None:
        log_event(logger, Event.ROLE_TAKEN, service=self.name, role_epoch=epoch)
        self._dissemination.set_role(self.name, epoch)
        for page in machine.placer.pages.values():
            self._dissemination.publish(page)
        self._dissemination.confirm(self.name)

    async def _check_role(self) -> None:
        """Stop acting if the row names another controller."""
        await self._read_role(self._now_ms())
        machine = self.machine
        if machine is None or self._role.epoch == machine.role_epoch:
            return
        log_event(logger, Event.ROLE_LOST, service=self.name, role_epoch=machine.role_epoch)
        self._dissemination.set_role(self.name, None)
        executor, self._executor, self.machine = self._executor, None, None
        if executor is not None:
            # The conflict may have been reported by one of the executor's own tasks, which must
            # not wait for itself.
            asyncio.get_running_loop().create_task(executor.close())

    def _new_load(self) -> LoadMerger:
        service = self._settings.service
        return LoadMerger(
            service.hash_buckets, LOAD_HALF_LIFE_MS, service.placement.max_pins, self._now_ms()
        )

    def _now_ms(self) -> int:
        return self._parts.clock.now_ms()
