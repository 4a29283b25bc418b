"""Steps for callers that keep their connections to an entry VM whose manifest changes."""

from behave import given, then, when

from nutmeglead.emulator.kept_connection import SENDINGS
from nutmeglead.entry.tests import kept_callers
from nutmeglead.entry.tests.kept_callers import CHANGE_COUNT, KeptRun

CHANGES = {
    "routes come and go": kept_callers.routes_come_and_go,
    "another service goes and returns": kept_callers.another_service_goes_and_returns,
    "the callers' service goes and returns": kept_callers.callers_service_goes_and_returns,
    "the limits are raised and lowered": kept_callers.limits_change,
}


@given("callers that send requests {sending} to an entry VM of a cluster, seed {seed:d}")
def step_callers(context, sending, seed):
    sendings = SENDINGS.names() if sending == "in any way" else (sending,)
    context.run = KeptRun(seed, sendings)


@when("it happens {count:d} times that {change}")
def step_change(context, count, change):
    assert count == CHANGE_COUNT
    context.run.run(CHANGES[change])


@then("no request is lost and each gets its own answer")
def step_none_lost(context):
    run = context.run
    callers = run.callers
    assert callers.answered and run.stall_count == CHANGE_COUNT, run.stall_count
    assert not callers.lost, f"{len(callers.lost)} of {len(callers.sent)}: {callers.lost[:3]}"
    assert not callers.unanswered, callers.unanswered[:3]
    assert not callers.wrong_answers, callers.wrong_answers
