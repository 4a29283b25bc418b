"""Run a controller machine against grant holders, renewers and a table in virtual time."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from result import Err, Ok

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import RoleRow
from nutmeglead._generated.settings.ttypes import (
    OwnershipSettings,
    PlacementSettings,
    ServiceSettings,
)
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.controller.decisions import (
    Commit,
    EntryNode,
    ProbeServer,
    ReadRows,
    RecordAudit,
    SendAssign,
    SendGrants,
    SendRelease,
    SendStop,
)
from nutmeglead.controller.machine import ControllerMachine, MachineSettings
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import Incarnation, NodeId, RoleEpoch, ServerId
from nutmeglead.ownership.holder import GrantHolder
from nutmeglead.ownership.keys import Unit, hash_key
from nutmeglead.ownership.pages import role_key
from nutmeglead.ownership.renewer import Renewer
from nutmeglead.platform.errors import TableUnavailable
from nutmeglead.platform.memory import MemoryTable
from nutmeglead.platform.ports import RowCheck, RowWrite
from nutmeglead.tickets.state import Claim, DesiredServer, ServiceState

SERVICE = "lagerblick"
STEP_MS = 5


@dataclass
class RigServer:
    server_id: ServerId
    failure_domain: str
    clock_offset_ms: int
    holder: GrantHolder
    restarts: int = 1
    is_frozen: bool = False


@dataclass
class RigNode:
    node_id: NodeId
    failure_domain: str
    renewer: Renewer
    incarnation: str
    is_down: bool = False


@dataclass
class RigOptions:
    domains: tuple[str, ...] = ("halle-a", "halle-b", "buero")
    nodes_per_domain: int = 4
    server_count: int = 6
    hash_buckets: int = 256
    one_way_ms: int = 4
    loss: float = 0.0
    seed: int = 1
    checks_grants: bool = True
    placement: PlacementSettings = field(
        default_factory=lambda: PlacementSettings(policy="steady", round_interval_ms=1000)
    )


class ControllerRig:
    """Deliver the machine's decisions after a delay; drop what a fault cuts off."""

    def __init__(self, options: RigOptions | None = None) -> None:
        self.options = options or RigOptions()
        self.now_ms = 1_000
        self.rng = random.Random(self.options.seed)
        self.table = MemoryTable()
        self.cut: set[tuple[str, str]] = set()
        self.audit = []
        self.settings = MachineSettings(
            ServiceSettings(
                name=SERVICE,
                slots_per_instance=4,
                connections_per_instance=130,
                checks_grants=self.options.checks_grants,
                hash_buckets=self.options.hash_buckets,
                placement=self.options.placement,
            ),
            OwnershipSettings(),
        )
        self._queue = []
        self._order = itertools.count()
        self.servers = {}
        self.nodes = {}
        for index, domain in enumerate(self.options.domains):
            for number in range(self.options.nodes_per_domain):
                self._add_node(f"entry-{index}-{number}", domain)
        for index in range(self.options.server_count):
            self.add_server(
                f"lb-{index:02}", self.options.domains[index % len(self.options.domains)]
            )
        self.number = 0
        self.claims = {}
        self.leaving = set()
        self.acting = NodeId("entry-0-0")
        self.machine = None
        self.take_role(self.acting)

    # ---- actors ----

    def _add_node(self, node_id, domain):
        node = NodeId(node_id)
        incarnation = f"{node_id}#1"
        renewer = Renewer(node, Incarnation(incarnation), self.settings.ownership, self.now_ms)
        self.nodes[node] = RigNode(node, domain, renewer, incarnation)

    def add_server(self, server_id, domain):
        holder = GrantHolder(Incarnation(f"{server_id}#1"))
        offset = self.rng.randrange(1_000_000)
        self.servers[ServerId(server_id)] = RigServer(ServerId(server_id), domain, offset, holder)

    def restart_node(self, node_id):
        node = self.nodes[NodeId(node_id)]
        node.incarnation = f"{node_id}#{int(node.incarnation.split('#')[1]) + 1}"
        node.renewer = Renewer(
            node.node_id, Incarnation(node.incarnation), self.settings.ownership, self.now_ms
        )

    def restart_server(self, server_id):
        server = self.servers[ServerId(server_id)]
        server.restarts += 1
        server.holder = GrantHolder(Incarnation(f"{server_id}#{server.restarts}"))

    def take_role(self, node_id):
        """Let a node's controller take the role, with the state that the table holds."""
        key = role_key(SERVICE)
        present = run(self.table.read(key)).unwrap()
        epoch = 1 if present is None else self.role_epoch + 1
        row = RoleRow(SERVICE, node_id, self.nodes[node_id].incarnation, epoch)
        check = RowCheck(key, present.version if present else 0)
        version = run(self.table.commit([check], [RowWrite(key, encode(row))])).unwrap()[key]
        self.acting, self.role_epoch = node_id, epoch
        sender = Sender(node_id, self.nodes[node_id].incarnation)
        self.machine = ControllerMachine(
            self.settings, sender, RoleEpoch(epoch), version, self.now_ms
        )
        if self.number:
            self._give_desired()
        self.machine.load_servers(run(self.table.scan(f"server/{SERVICE}/")).unwrap())
        self.machine.load_pages(run(self.table.scan(f"page/{SERVICE}/")).unwrap())

    # ---- tickets ----

    def file_ticket(self, leaving=(), claims=None):
        self.number += 1
        self.leaving |= set(leaving)
        for key, server_id in (claims or {}).items():
            self.claims[key] = Claim(ServerId(server_id), self.number)
        self._give_desired()

    def _give_desired(self):
        servers = {}
        for server in self.servers.values():
            is_leaving = server.server_id in self.leaving
            state = ServerState.LEAVING if is_leaving else ServerState.PRESENT
            address = Address(server.server_id, 80)
            servers[server.server_id] = DesiredServer(
                server.server_id, state, address, server.failure_domain, 1.0, self.number
            )
        desired = ServiceState(servers=servers, exact=dict(self.claims))
        self.machine.set_desired(desired, self.number, self.now_ms)

    # ---- time ----

    def run_ms(self, duration_ms, each_step=None):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._deliver()
            self._renew()
            if not self.nodes[self.acting].is_down:
                for decision in self.machine.tick(self.now_ms, self._entry_nodes()):
                    self._carry_out(decision)
            if each_step:
                each_step()

    def serving(self, keys):
        """Map each key to the servers that would serve it now, by their own clocks.

        The flag tells whether the server also answers: a frozen one still counts as an owner.
        """
        shift = self.machine.placer.unit_map.shift
        found = {key: [] for key in keys}
        for server in self.servers.values():
            if server.holder.lease_end_ms(self.now_ms + server.clock_offset_ms) is None:
                continue
            granted = server.holder.granted()
            for key in keys:
                units = (Unit.of_key(key), Unit.of_bucket(hash_key(key) >> shift))
                epochs = [granted[unit] for unit in units if unit in granted]
                if epochs and self._admits(server, key, epochs):
                    found[key].append((server.server_id, not server.is_frozen))
        return found

    def _admits(self, server, key, epochs):
        now_ms = self.now_ms + server.clock_offset_ms
        for epoch in epochs:
            admitted = server.holder.admit(key, epoch, now_ms)
            if isinstance(admitted, Ok):
                server.holder.finish(admitted.ok_value)
                return True
        return False

    def in_force(self):
        return not self.machine.missing(self.number, [])

    def _entry_nodes(self):
        nodes = {}
        for node in self.nodes.values():
            alive = not node.is_down and (self.acting, node.node_id) not in self.cut
            address = Address(node.node_id, 1)
            nodes[node.node_id] = EntryNode(
                node.node_id, node.incarnation, node.failure_domain, address, alive
            )
        return nodes

    def _later(self, action, source, target):
        """Deliver after the one-way delay unless the link is cut or the message is lost."""
        if (source, target) in self.cut or (target, source) in self.cut:
            return
        is_table = source == "table"
        if self.options.loss and not is_table and self.rng.random() < self.options.loss:
            return
        jitter = self.rng.randrange(3)
        at_ms = self.now_ms + self.options.one_way_ms + jitter
        heapq.heappush(self._queue, (at_ms, next(self._order), action))

    def _deliver(self):
        while self._queue and self._queue[0][0] <= self.now_ms:
            heapq.heappop(self._queue)[2]()

    def _call_server(self, source, server_id, operation, message, on_reply):
        machine, sent_ms = self.machine, self.now_ms

        def arrive():
            server = self.servers[server_id]
            if server.is_frozen:
                return
            handler = getattr(server.holder, operation)
            reply = handler(message, self.now_ms + server.clock_offset_ms)
            self._later(lambda: on_reply(machine, reply, sent_ms), server_id, source)

        self._later(arrive, source, server_id)

    def _call_node(self, target, operation, message, on_reply):
        machine, source = self.machine, self.acting

        def arrive():
            node = self.nodes[target]
            if node.is_down:
                return
            reply = getattr(node.renewer, operation)(message, self.now_ms)
            if reply is not None:
                self._later(lambda: on_reply(machine, reply), target, source)

        self._later(arrive, source, target)

    def _renew(self):
        for node in self.nodes.values():
            if node.is_down:
                continue
            for order in node.renewer.due(self.now_ms):
                self._send_renewal(node, order)
            for suspicion in node.renewer.suspects(self.now_ms):
                machine = self.machine
                self._later(
                    lambda m=machine, s=suspicion: m.on_suspect(s, self.now_ms),
                    node.node_id,
                    self.acting,
                )

    def _send_renewal(self, node, order):
        renewer = node.renewer

        def on_reply(_, reply, __):
            renewer.on_reply(order.service_name, order.server_id, order.message, reply, self.now_ms)

        self._call_server(node.node_id, order.server_id, "renew", order.message, on_reply)

    def _carry_out(self, decision):
        name = type(decision).__name__
        getattr(self, f"_do_{name}")(decision)

    def _do_ProbeServer(self, d: ProbeServer):
        def on_reply(machine, reply, sent_ms):
            machine.on_probe_reply(d.server_id, d.message, reply, sent_ms, self.now_ms)

        self._call_server(self.acting, d.server_id, "renew", d.message, on_reply)

    def _do_SendGrants(self, d: SendGrants):
        def on_reply(machine, reply, sent_ms):
            epoch = d.message.lease_epoch
            machine.on_grant_reply(d.server_id, epoch, reply, sent_ms, self.now_ms)

        self._call_server(self.acting, d.server_id, "set_grants", d.message, on_reply)

    def _do_SendRelease(self, d: SendRelease):
        def on_reply(machine, reply, _):
            machine.on_release_reply(d.server_id, d.message, reply, self.now_ms)

        self._call_server(self.acting, d.server_id, "begin_release", d.message, on_reply)

    def _do_SendAssign(self, d: SendAssign):
        def on_reply(machine, reply):
            machine.on_assign_reply(ServerId(d.message.server_id), reply)

        self._call_node(d.node_id, "assign", d.message, on_reply)

    def _do_SendStop(self, d: SendStop):
        def on_reply(machine, reply):
            machine.on_stopped(reply, self.now_ms)

        self._call_node(d.node_id, "stop", d.message, on_reply)

    def _do_RecordAudit(self, d: RecordAudit):
        self.audit.append(d.record)

    def _do_Commit(self, d: Commit):
        machine = self.machine

        def arrive():
            done = run(self.table.commit(d.checks, d.writes))

            def answer():
                if isinstance(done, Ok):
                    machine.on_committed(d.tag, done.ok_value, self.now_ms)
                else:
                    machine.on_commit_failed(d.tag, self.now_ms)

            self._later(answer, "table", "table")

        self._later(arrive, "table", "table")

    def _do_ReadRows(self, d: ReadRows):
        machine = self.machine
        reads = [run(self.table.read(key)) for key in d.keys]
        if any(isinstance(read, Err) for read in reads):
            assert all(isinstance(r.err_value, TableUnavailable) for r in reads if r.is_err())
            return
        rows = [read.ok_value for read in reads if read.ok_value is not None]
        machine.on_rows_read(d.keys, rows)


def run(coroutine):
    """Run a coroutine of the in-memory table, which never waits."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the in-memory table must not wait")


__all__ = ["STEP_MS", "ControllerRig", "RigOptions", "run"]
