"""Run a service's controllers, renewers and servers with a table in virtual time."""

import random
from dataclasses import dataclass, field

from result import Err, Ok

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import (
    OwnershipSettings,
    PlacementSettings,
    ServiceSettings,
)
from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.controller.machine import MachineSettings
from nutmeglead.controller.tests.rig_checks import RigChecks
from nutmeglead.controller.tests.rig_network import TABLE, Network, Process
from nutmeglead.controller.tests.rig_nodes import TABLE_TIMEOUT_MS, RigNode
from nutmeglead.core.ids import ServerId
from nutmeglead.ownership.holder import GrantHolder
from nutmeglead.platform.errors import TableAnswerLost, TableUnavailable
from nutmeglead.platform.memory import MemoryTable, TableFault
from nutmeglead.tickets.state import Claim, DesiredServer, ServiceState

HEARTBEAT_MS = 500
VM_POLL_MS = 1000


@dataclass
class RigOptions:
    domains: tuple[str, ...] = ("halle-a", "halle-b", "buero")
    nodes_per_domain: int = 2
    server_count: int = 6
    hash_buckets: int = 256
    one_way_ms: int = 4
    seed: int = 1
    sample_ms: int = 5
    key_count: int = 8
    vm_list_delay_ms: int = 30_000
    # How long a controller acts on after it heard of a higher role epoch.
    stale_ms: int = 3_000
    checks_grants: bool = True
    ownership: OwnershipSettings = field(default_factory=OwnershipSettings)
    placement: PlacementSettings = field(
        default_factory=lambda: PlacementSettings(policy="steady", round_interval_ms=1000)
    )


class RigServer(Process):
    def __init__(self, rig, name, domain):
        super().__init__(rig.network, name, domain)
        self.rig = rig
        self.holder = GrantHolder(self.incarnation)

    def handle(self, operation, message):
        reply = getattr(self.holder, operation)(message, self.clock_ms())
        self.rig.checks.server_changed(self, operation)
        return reply

    def restart(self):
        self.new_life()
        self.holder = GrantHolder(self.incarnation)
        self.rig.checks.server_changed(self, "restart")


class ControllerRig:
    def __init__(self, options=None):
        self.options = options or RigOptions()
        self.rng = random.Random(self.options.seed)
        self.network = Network(self.rng, self.options.one_way_ms)
        self.table = MemoryTable()
        self.audit, self.notes = [], {}
        self.service, self.stale_ms = "lagerblick", self.options.stale_ms
        service = ServiceSettings(
            name=self.service,
            slots_per_instance=4,
            connections_per_instance=130,
            checks_grants=self.options.checks_grants,
            hash_buckets=self.options.hash_buckets,
            placement=self.options.placement,
        )
        self.settings = MachineSettings(service, self.options.ownership)
        self.number, self.claims, self.leaving, self.gone = 0, {}, set(), {}
        self.servers, self.nodes = {}, {}
        self._triggers = []
        self.checks = RigChecks(self)
        for number in range(self.options.nodes_per_domain):
            for index, domain in enumerate(self.options.domains):
                name = f"entry-{index}-{number}"
                self.nodes[name] = RigNode(self, name, domain)
        for index in range(self.options.server_count):
            self.add_server(
                f"lb-{index:02}", self.options.domains[index % len(self.options.domains)]
            )
        for node in self.nodes.values():
            self.network.at(self.now_ms, lambda n=node: self._heartbeat(n))
            phase_ms = self.rng.randrange(HEARTBEAT_MS)
            self.network.at(self.now_ms + phase_ms, lambda n=node: self._heartbeat(n, True))
        self._poll_vms()
        self.checks.sample()

    # ---- time ----

    @property
    def now_ms(self):
        return self.network.now_ms

    def run_ms(self, duration_ms):
        self.network.run_until(self.now_ms + duration_ms)

    def run_until(self, condition, limit_ms):
        """Run until a condition holds; return the time it took, or None."""
        begun_ms = self.now_ms
        while not condition():
            if self.now_ms - begun_ms >= limit_ms:
                return None
            self.run_ms(20)
        return self.now_ms - begun_ms

    def at_step(self, when, step, action):
        """Run an action before or after the next time that a machine takes a step; see `note`."""
        self._triggers.append((step, when, action))

    def note(self, step):
        """Count a step of a machine and run what waits for it."""
        self.notes[step] = self.notes.get(step, 0) + 1
        due = [trigger for trigger in self._triggers if trigger[0] == step]
        self._triggers = [trigger for trigger in self._triggers if trigger[0] != step]
        for _, when, action in due:
            if when == "before":
                action()
            else:
                self.network.at(self.now_ms, action)

    def _heartbeat(self, node, again=False):
        """Have a node heard by all that it reaches; lost heartbeats are left to other tests."""
        if again:
            self.network.at(self.now_ms + HEARTBEAT_MS, lambda: self._heartbeat(node, True))
        if not node.is_running:
            return
        for peer in self.nodes.values():
            if peer.is_running and (
                peer is node or not self.network.is_domain_cut(node.name, peer.name)
            ):
                peer.hear(node, self.now_ms)

    def _poll_vms(self):
        """Show the list of gone VMs, as late as the options say, to those who act."""
        self.network.at(self.now_ms + VM_POLL_MS, self._poll_vms)
        for (name, incarnation), gone_ms in self.gone.items():
            if self.now_ms < gone_ms + self.options.vm_list_delay_ms:
                continue
            for node in self.nodes.values():
                if node.machine is not None and node.is_running:
                    node.machine.on_server_gone(ServerId(name), incarnation, node.clock_ms())

    # ---- actors ----

    def add_server(self, name, domain):
        self.servers[name] = RigServer(self, name, domain)

    def lose_server(self, name):
        server = self.servers[name]
        server.is_dead = True
        self.gone[name, server.incarnation] = self.now_ms
        self.checks.server_changed(server, "lost")

    def lose_domain(self, domain):
        for node in self.nodes.values():
            if node.domain == domain:
                node.is_dead = True
        for name, server in self.servers.items():
            if server.domain == domain:
                self.lose_server(name)

    def acting(self):
        """Return the node that runs the machine with the highest role epoch."""
        found = [node for node in self.nodes.values() if node.machine is not None]
        return max(found, key=lambda node: node.machine.role_epoch, default=None)

    def renewers_of(self, server):
        acting = self.acting()
        row = acting.machine.leases.servers[ServerId(server)].row
        return [self.nodes[node_id] for node_id in row.current.node_ids]

    # ---- table ----

    def table_is_up(self):
        return self.table.fault is TableFault.NONE

    def table_call(self, node, operation, on_done):
        """Run an operation at the table; a caller that is cut off or waits too long gets an error."""
        if not node.is_running:
            node.inbox.append(lambda: self.table_call(node, operation, on_done))
            return
        state = {"life": node.life, "is_done": False, "has_arrived": False}

        def finish(done):
            if state["is_done"] or state["life"] != node.life:
                return
            state["is_done"] = True
            on_done(done)

        def arrive():
            state["has_arrived"] = True
            before = self.table.write_count
            done = run(operation(self.table))
            if self.table.write_count != before:
                self.checks.table_changed()
            self.network.send(TABLE, node.name, lambda: finish(done))

        def time_out():
            error = TableAnswerLost if state["has_arrived"] else TableUnavailable
            self.network.deliver(node.name, lambda: finish(Err(error("no answer in time"))))

        self.network.send(node.name, TABLE, arrive)
        self.network.at(self.now_ms + TABLE_TIMEOUT_MS, time_out)

    # ---- tickets ----

    def file_ticket(self, leaving=(), present=(), claims=None):
        """File a ticket; the machines read it at their next poll."""
        assert self.table_is_up(), "a ticket is accepted only once it is durable"
        self.number += 1
        self.leaving = (self.leaving | set(leaving)) - set(present)
        for key, server_id in (claims or {}).items():
            self.claims[key] = Claim(ServerId(server_id), self.number)

    def desired(self):
        servers = {}
        for server in self.servers.values():
            is_leaving = server.name in self.leaving
            state = ServerState.LEAVING if is_leaving else ServerState.PRESENT
            servers[ServerId(server.name)] = DesiredServer(
                ServerId(server.name), state, Address(server.name, 80), server.domain, 1.0, 1
            )
        return ServiceState(servers=servers, exact=dict(self.claims))

    def in_force(self):
        acting = self.acting()
        return (
            acting is not None
            and acting.desired_number == self.number
            and not acting.machine.missing(self.number, [])
        )

    # ---- faults ----

    def cut_domain(self, domain, with_table):
        """Cut a failure domain off from the others; `with_table` if it still reaches the table."""
        self.network.cut(domain, self.options.domains)
        if not with_table:
            self.network.cut(domain, [TABLE])

    def heal(self):
        """End the faults; what is dead stays dead."""
        self.network.cut_domains.clear()
        self.network.cut_links.clear()
        self.network.loss = self.network.doubling = self.network.lateness = 0.0
        self.table.fault = TableFault.NONE
        self.table.next_commit_faults.clear()
        for process in list(self.network.processes.values()):
            if process.is_paused and not process.is_dead:
                process.resume()


def run(coroutine):
    """Run a coroutine of the in-memory table, which never waits."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the in-memory table must not wait")


__all__ = ["ControllerRig", "Ok", "RigOptions", "run"]
