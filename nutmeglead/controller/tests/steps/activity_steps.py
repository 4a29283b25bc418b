"""Steps for the measured activity of a controller, in virtual time."""

from behave import given, then, when

from nutmeglead.controller.tests.activity_rig import OLDEST, SERVICE, VICTIM, ActivityScenario
from nutmeglead.platform.memory import TableFault


@given("a placed service whose activity is observed")
def step_service(context):
    context.activity = ActivityScenario()


@when("a frozen server is not replaced for {duration_ms:d} ms because the table is down")
def step_outage(context, duration_ms):
    context.activity.freeze(VICTIM)
    context.activity.table(TableFault.UNAVAILABLE)
    context.activity.run_ms(duration_ms)
    context.activity.update()


@when("the table is up again for {duration_ms:d} ms")
def step_up(context, duration_ms):
    context.activity.table(TableFault.NONE)
    context.activity.run_ms(duration_ms)


@when("{event} happens")
def step_event(context, event):
    context.activity.happen(event)
    context.activity.update()


@when("the metrics are updated again")
def step_again(context):
    context.activity.update()


@when("the controller loses its role")
def step_lose(context):
    context.activity.update(is_acting=False)


@then(
    "each key without an owner was measured for at least that time and at most {excess_ms:d} ms more"
)
def step_measured(context, excess_ms):
    found = context.activity
    longest_ms = found.longest_gap_ms()
    measured_ms = max(found.finished_ms)
    assert longest_ms > 0 and found.finished_ms
    # A reply that was on its way when the server froze makes it heard up to 7 ms later.
    assert longest_ms - 10 <= measured_ms <= longest_ms + excess_ms, (longest_ms, measured_ms)


@then("all moves of the audit trail are counted, with the reasons {reasons}")
def step_reasons(context, reasons):
    found = context.activity
    names = {reason.name.lower() for reason in found.activity.moves}
    assert names == set(reasons.split(", ")), names
    assert sum(found.activity.moves.values()) == len(found.moved()) > 0


@then("the unit that waits longest has waited from {low_ms:d} to {high_ms:d} ms")
def step_oldest(context, low_ms, high_ms):
    shown = context.activity.value(OLDEST)
    assert low_ms <= shown * 1000 <= high_ms, shown


@then("no unit waits")
def step_none(context):
    context.activity.update()
    assert context.activity.value(OLDEST) == 0
    assert context.activity.value(f'nutmeglead_handover_seconds_count{{service="{SERVICE}"}}') > 0


@then("the metrics show units of lost servers")
def step_lost_units(context):
    found = context.activity
    owned = len(found.rig.acting().machine.placer.unit_map.units_of(VICTIM))
    shown = found.value(f'nutmeglead_units_of_lost_servers{{service="{SERVICE}"}}')
    assert shown == owned > 0, (shown, owned)


@then("the metrics show")
def step_values(context):
    found = context.activity
    moves = float(len(found.moved()))
    assert moves > 0
    for row in context.table:
        expected = {"absent": None, "moves": moves}.get(row["value"], row["value"])
        shown = found.value(row["metric"])
        wanted = float(expected) if expected is not None else None
        assert shown == wanted, (row["metric"], shown, wanted)


@then("the imbalance is the load of the fullest server over the mean")
def step_imbalance(context):
    found = context.activity
    unit_map = found.rig.acting().machine.placer.unit_map
    # Without measured load every bucket counts the same.
    counts = [len(unit_map.units_of(name)) for name in found.rig.servers if name != VICTIM]
    expected = max(counts) / (sum(counts) / len(counts))
    shown = found.value(f'nutmeglead_placement_imbalance{{service="{SERVICE}"}}')
    assert abs(shown - expected) < 1e-6, (shown, expected)
