"""Steps for servers that leave during a trouble."""

from behave import given, then, when

from nutmeglead.core.ids import ServiceName
from nutmeglead.entry.tests.leaving import LeavingRun, Troubles


@given("a settled cluster of nine nodes with seed {seed:d}")
def step_cluster(context, seed):
    context.leaving_run = LeavingRun(seed)


@when("a server of {service} leaves while {trouble}")
def step_leaves(context, service, trouble):
    context.leaving_run.service = ServiceName(service)
    context.leaving_run.run(getattr(Troubles(), trouble.replace(" ", "_")))


@then("no calm node assigns a request to it later than {bound_ms:d} ms after its announcement")
def step_bound(context, bound_ms):
    late = {
        node_id: age_ms
        for node_id, age_ms in context.leaving_run.last_assigned_ms.items()
        if age_ms > bound_ms
    }
    assert not late, late
