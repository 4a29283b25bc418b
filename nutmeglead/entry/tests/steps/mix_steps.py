"""Steps for random troubles, on virtual time."""

from behave import then, when

from nutmeglead.entry.tests.mix import Mix


@when("random troubles run with seed {seed:d}")
def step_run(context, seed):
    context.mix = Mix(seed).run()


@when("random troubles run with seed {seed:d}, mostly cuts of owners")
def step_run_cuts(context, seed):
    context.mix = Mix(seed, cuts_owners=True).run()


@when("random troubles run with seed {seed:d} on {nodes:d} nodes")
def step_run_on(context, seed, nodes):
    context.mix = Mix(seed, nodes).run()


@then("no key had two holders and all keys are held at the end")
def step_check(context):
    mix = context.mix
    assert not mix.faults and not mix.unheld_count, (mix.faults[:2], mix.unheld_count, mix.log)
