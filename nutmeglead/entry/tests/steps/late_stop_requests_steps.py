"""Steps for requests that are late in the stop of a node."""

from behave import given, then, when

from nutmeglead.entry.tests import late_stop_ways
from nutmeglead.entry.tests.late_stop_requests import LateStop

# Importing the module registers them.
assert late_stop_ways.WAYS.names()


@given('a service {kind} keys and a request that is "{way}" in a stop')
def step_way(context, kind, way):
    context.stop = LateStop(kind == "with", way)


@when("its node is stopped, and its server needs longer than the node expects, seed {seed:d}")
def step_stop(context, seed):
    context.stop.run(seed)


@then("what was passed on later than 3 s after the signal got its server's answer")
def step_not_given_up(context):
    given_up = context.stop.given_up
    assert not given_up, [str(each) for each in given_up[:3]]


@then("what was sent and passed on later than 3 s after the signal got its server's answer")
def step_none_counted(context):
    counted = [each for each in context.stop.given_up if not each.is_excused]
    assert not counted, [str(each) for each in counted[:3]]


@then("no request that had arrived was left without an answer")
def step_answered(context):
    stop = context.stop
    assert stop.requests and not stop.unanswered, stop.unanswered
