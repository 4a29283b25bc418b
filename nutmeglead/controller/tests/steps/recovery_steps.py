"""Steps for faults of a whole service: servers, renewers, controllers and the table."""

from behave import given, then, when

from nutmeglead.controller.tests.faults import FAULTS, PAIRED, pause
from nutmeglead.controller.tests.rig import ControllerRig, RigOptions
from nutmeglead.platform.memory import TableFault

SETTLE_LIMIT_MS = 20_000
FAULT_MS = 6_000


class RecoveryScenario:
    """Hold a rig whose first ticket is in force, and the moment of the first fault."""

    def __init__(self, seed):
        self.rig = rig = ControllerRig(RigOptions(seed=seed))
        rig.run_ms(500)
        rig.file_ticket(claims={"auftrag-1": "lb-03", "auftrag-2": "lb-01"})
        assert rig.run_until(rig.in_force, 10_000) is not None, "the first ticket"
        # The fault comes at any phase of the renewals.
        rig.run_ms(1_500 + rig.rng.randrange(250))
        assert not rig.checks.unserved(), rig.checks.unserved()
        self.begun_ms = rig.now_ms

    def inject(self, *names):
        for index, name in enumerate(names):
            if index:
                self.rig.run_ms(self.rig.rng.randrange(1_500))
            FAULTS.get(name)(self.rig)

    def run_on(self, duration_ms=FAULT_MS):
        self.rig.run_ms(max(0, self.begun_ms + duration_ms - self.rig.now_ms))

    def settle(self):
        """End the faults; every key has to be served and to stay so, and the ticket in force."""
        rig = self.rig
        rig.heal()
        is_settled = lambda: not rig.checks.unserved() and rig.in_force()  # noqa: E731
        took_ms = rig.run_until(is_settled, SETTLE_LIMIT_MS)
        assert took_ms is not None, (rig.checks.unserved(), self.missing())
        rig.run_ms(1_000)
        assert not rig.checks.unserved(), rig.checks.unserved()

    def missing(self):
        acting = self.rig.acting()
        return acting and acting.machine.missing(self.rig.number, [])

    def check_bound(self, bound_ms):
        gap_ms = self.rig.checks.longest_gap_ms(self.begun_ms)
        assert gap_ms <= bound_ms, f"a key had no serving owner for {gap_ms} ms"


@given("a service in force with seed {seed:d}")
def step_service(context, seed):
    context.recovery = RecoveryScenario(seed)


@when('"{fault}" happens and lasts {duration_ms:d} ms')
def step_fault(context, fault, duration_ms):
    context.recovery.inject(fault)
    context.recovery.run_on(duration_ms)


@when('"{fault}" happens and the acting controller is paused {moment} "{step}"')
def step_paused_in_move(context, fault, moment, step):
    scenario = context.recovery
    rig = scenario.rig
    reached = []

    def pause_acting():
        reached.append(rig.now_ms)
        pause(rig, rig.acting(), 4_000)

    rig.at_step(moment, step, pause_acting)
    scenario.inject(fault)
    scenario.run_on(8_000)
    assert reached, f"the step {step!r} was not reached"
    # The bound counts from the later fault, the loss of the controller.
    scenario.begun_ms = reached[0]


@when('the table goes down {moment} "{fault}" and stays down {duration_ms:d} ms')
def step_table_down(context, moment, fault, duration_ms):
    scenario = context.recovery
    rig = scenario.rig

    def go_down():
        rig.table.fault = TableFault.UNAVAILABLE

    if moment == "before":
        go_down()
        rig.run_ms(100)
        scenario.inject(fault)
    else:
        step = "pages write" if moment == "during" else "pages written"
        rig.at_step("after", step, go_down)
        scenario.inject(fault)
    scenario.run_on(duration_ms)


@when('"{fault}" is followed by each other fault')
def step_pairs(context, fault):
    context.unsettled = []
    for second in PAIRED:
        scenario = RecoveryScenario(context.recovery.rig.options.seed + PAIRED.index(second))
        try:
            scenario.inject(fault, second)
            scenario.run_on()
            scenario.settle()
        except AssertionError as error:
            context.unsettled.append((second, str(error)))


@then("no key is without a serving owner for longer than {bound_ms:d} ms")
def step_bound(context, bound_ms):
    context.recovery.check_bound(bound_ms)


@then("when it is over every key is served and the ticket is in force")
def step_settled(context):
    context.recovery.settle()


@then("every key is served in the end after each of them")
def step_no_failed(context):
    assert not context.unsettled, context.unsettled
