"""Bring a controller machine into the state in which nothing is due."""

import random
from collections.abc import Sequence

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    AssignReply,
    GrantReply,
    OrderStatus,
    RenewReply,
    RenewStatus,
)
from nutmeglead._generated.settings.ttypes import (
    OwnershipSettings,
    PlacementSettings,
    ServiceSettings,
)
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.controller.decisions import (
    Commit,
    Decision,
    EntryNode,
    ProbeServer,
    SendAssign,
    SendGrants,
)
from nutmeglead.controller.machine import ControllerMachine, MachineSettings
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import NodeId, RoleEpoch, ServerId, ServiceName, TicketNumber
from nutmeglead.ownership.pages import WriteStamp, hash_pages, page_key
from nutmeglead.platform.ports import Row
from nutmeglead.tickets.state import DesiredServer, ServiceState

__all__ = ["NODES", "IdleMachine", "first_page_rows", "server_name"]

DOMAINS = ("halle-a", "halle-b", "buero")
NODES = {
    NodeId(f"entry-{number:02}"): EntryNode(
        NodeId(f"entry-{number:02}"),
        f"entry-{number:02}#1",
        DOMAINS[number % 3],
        Address(f"10.0.0.{number}", 8083),
        True,
    )
    for number in range(12)
}
# Far beyond the benchmark: planning is measured by planner_cost.
ROUND_INTERVAL_MS = 10**9
STEP_MS = 100
MAX_STEPS = 2000
# More than any size needs, so that the write budget does not stretch the start.
WRITES_PER_S = 100_000


def server_name(number: int) -> str:
    """Return a server id."""
    return f"lb-{number:05}"


def first_page_rows(service_name: ServiceName, buckets: int, servers: int) -> list[Row]:
    """Return the encoded hash pages of equal shares in random order."""
    owners = [ServerId(server_name(bucket % servers)) for bucket in range(buckets)]
    random.Random(buckets).shuffle(owners)
    stamp = WriteStamp(RoleEpoch(1), TicketNumber(1))
    pages = hash_pages(service_name, buckets, owners.__getitem__, stamp)
    return [Row(page_key(service_name, False, page.page_number), 1, encode(page)) for page in pages]


class IdleMachine:
    """Answer everything that a machine asks for until it asks for nothing more."""

    def __init__(
        self, service_name: ServiceName, buckets: int, servers: int, rows: Sequence[Row]
    ) -> None:
        settings = MachineSettings(
            ServiceSettings(
                name=service_name,
                hash_buckets=buckets,
                placement=PlacementSettings(policy="steady", round_interval_ms=ROUND_INTERVAL_MS),
            ),
            OwnershipSettings(table_writes_per_s=WRITES_PER_S),
        )
        sender = Sender("entry-00", "entry-00#1")
        self.now_ms = 1000
        self.machine = ControllerMachine(settings, sender, RoleEpoch(1), 1, self.now_ms)
        desired = {
            ServerId(server_name(number)): DesiredServer(
                ServerId(server_name(number)),
                ServerState.PRESENT,
                Address(f"10.1.{number // 250}.{number % 250}", 80),
                DOMAINS[number % 3],
                1.0,
                TicketNumber(1),
            )
            for number in range(servers)
        }
        self.machine.set_desired(ServiceState(servers=desired), TicketNumber(1), self.now_ms)
        self.machine.load_pages(rows)
        self._settle()

    def tick(self) -> list[Decision]:
        """Run one round; the result is empty."""
        self.now_ms += STEP_MS
        return self.machine.tick(self.now_ms, NODES)

    def _settle(self) -> None:
        quiet = 0
        for _ in range(MAX_STEPS):
            decisions = self.tick()
            for decision in decisions:
                self._answer(decision)
            quiet = 0 if decisions or self.machine.is_busy else quiet + 1
            if quiet == 3:
                return
        raise RuntimeError(f"the machine is still busy after {MAX_STEPS} rounds")

    def _answer(self, decision: Decision) -> None:
        machine, now_ms = self.machine, self.now_ms
        if isinstance(decision, ProbeServer):
            lease = decision.message.lease_epoch
            incarnation = f"{decision.server_id}#1"
            reply = RenewReply(RenewStatus.TIME_ONLY, incarnation, now_ms, lease, 0)
            sent = decision.message
            machine.on_probe_reply(decision.server_id, sent, reply, now_ms, now_ms)
        elif isinstance(decision, Commit):
            versions = {check.key: check.version for check in decision.checks}
            written = {write.key: versions[write.key] + 1 for write in decision.writes}
            machine.on_committed(decision.tag, written, now_ms)
        elif isinstance(decision, SendAssign):
            message = decision.message
            accepted = AssignReply(Sender(decision.node_id, ""), True, message.renewers.lease_epoch)
            machine.on_assign_reply(ServerId(message.server_id), accepted, now_ms)
        elif isinstance(decision, SendGrants):
            order = decision.message
            granted = GrantReply(
                OrderStatus.DONE, order.holder_incarnation, now_ms, order.role_epoch,
                order.sequence, order.lease_epoch,
            )  # fmt: skip
            machine.on_grant_reply(decision.server_id, order.lease_epoch, granted, now_ms, now_ms)
