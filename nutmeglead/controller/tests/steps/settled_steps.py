from behave import given, then, when

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.controller.grants import GrantSender
from nutmeglead.controller.leases import ServerLease
from nutmeglead.controller.tests.rig import ControllerRig
from nutmeglead.core.ids import Incarnation, NodeId, RoleEpoch, ServerId, ServiceName
from nutmeglead.ownership.commands import CommandFactory
from nutmeglead.ownership.handover import HandoverTable, SendRelease
from nutmeglead.ownership.server_rows import first_row
from nutmeglead.ownership.units import UnitMap

SETTLE_MS = 15_000
# Silence shows after 1.5 s; the bound of 3 s for changes begins then.
LIMIT_MS = 4_500


class SettledScenario:
    def __init__(self):
        self.rig = ControllerRig()
        self.rig.file_ticket()
        assert self.rig.run_until(self.rig.in_force, SETTLE_MS) is not None
        self.rig.run_ms(SETTLE_MS)
        self.leases = self.rig.acting().machine.leases
        assert not self.leases.attended(), self.leases.attended()

    def renewer(self):
        """Return a renewer that does not act."""
        acting = self.rig.acting()
        found = {
            node.name: node for name in self.rig.servers for node in self.rig.renewers_of(name)
        }
        return next(found[name] for name in sorted(found) if found[name] is not acting)

    def are_renewers_running(self):
        running = {n.name: n.incarnation for n in self.rig.nodes.values() if n.is_running}
        rows = [lease.row.current for lease in self.leases.servers.values()]
        return all(
            running.get(node_id) == incarnation
            for row in rows
            for node_id, incarnation in zip(row.node_ids, row.incarnations, strict=True)
        )


@given("settled servers")
def step_settled(context):
    context.settled = SettledScenario()
    assert context.settled.are_renewers_running()


@when("a renewer of a settled server is lost")
def step_renewer_lost(context):
    context.settled.renewer().is_dead = True


@when("a renewer of a settled server restarts")
def step_renewer_restarts(context):
    context.settled.renewer().restart()


@then("the rows of all settled servers name running renewers again")
def step_rows(context):
    settled = context.settled
    assert not settled.are_renewers_running()
    took_ms = settled.rig.run_until(settled.are_renewers_running, LIMIT_MS)
    assert took_ms is not None, [lease.row for lease in settled.leases.servers.values()]


class OvertakenScenario:
    def __init__(self):
        name, incarnation = ServiceName("lagerblick"), Incarnation("lb-00#1")
        self.grants = GrantSender(CommandFactory(Sender("a", "a#1"), name, RoleEpoch(1)))
        self.parts = UnitMap(name, 256), HandoverTable(OwnershipSettings())
        renewers = {NodeId("a"): Incarnation("a#1")}
        row = first_row(name, ServerId("lb-00"), incarnation, renewers, RoleEpoch(1))
        self.lease = ServerLease(ServerId("lb-00"), Address("10.0.0.1", 80), "halle-a", row=row)
        self.lease.incarnation = incarnation

    def sent(self, leases, now_ms):
        return [m.message.sequence for m in self.grants.decide(leases, *self.parts, now_ms)]


@given("a settled server whose grant set is on its way")
def step_on_its_way(context):
    context.overtaken = OvertakenScenario()
    assert len(context.overtaken.sent([context.overtaken.lease], 0)) == 1


@when("a release is sent to it")
def step_release(context):
    scenario, lease = context.overtaken, context.overtaken.lease
    order = SendRelease(lease.server_id, lease.incarnation, ())
    release = scenario.grants.release(lease, order, scenario.parts[0])
    scenario.release_sequence = release.message.sequence


@then("it waits for a grant set with a higher sequence than the release")
def step_waits(context):
    scenario = context.overtaken
    assert scenario.grants.waiting() == [scenario.lease.server_id]
    (sequence,) = scenario.sent([scenario.lease], 1)
    assert sequence > scenario.release_sequence, sequence
