"""Steps for the soak: real processes on loopback."""

import asyncio

from behave import then, when

from nutmeglead.soak.run import SoakOptions, SoakRun

# Runs by hand use the default; the test's processes must not meet theirs.
TEST_NET = 77


@when("the soak runs seed {seed:d} for {fault_s:d} s with {entries:d} entry processes")
def step_run(context, seed, fault_s, entries):
    options = SoakOptions(entries=entries, servers=3, fault_s=fault_s, net=TEST_NET)
    context.report = asyncio.run(SoakRun(seed, options).run())


@then("it kept every promise")
def step_kept(context):
    assert not context.report.broken, (context.report.broken, context.report.log)
