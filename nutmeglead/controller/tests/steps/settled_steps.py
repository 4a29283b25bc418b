from behave import given, then, when

from nutmeglead.controller.tests.rig import ControllerRig

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
