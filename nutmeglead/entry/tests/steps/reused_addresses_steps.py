"""Steps for servers that get the addresses of servers that have ended."""

from behave import given, then, when

from nutmeglead.emulator.store_host import StoreFault
from nutmeglead.entry.tests.reused_addresses import (
    ReusedAddresses,
    end_after_leaving,
    end_silently,
)
from nutmeglead.entry.tests.steady_load import repeat_count

MANNERS = {"silently": end_silently, "after leaving": end_after_leaving}
FAULTS = {
    "answers": StoreFault.NONE,
    "does not answer": StoreFault.SILENT,
    "refuses all calls": StoreFault.BUSY,
}
DURATION_S = 9
# A refusal that waits for nothing needs two ways of 8 ms.
AT_ONCE_MS = 40


@given("callers of a service with keys, seed {seed:d}")
def step_callers(context, seed):
    context.run = ReusedAddresses(seed)


@given(
    "callers of a service with keys, seed {seed:d}, and another service that refuses orders with {status:d}"
)
def step_other_service(context, seed, status):
    context.run = ReusedAddresses(seed, status)


@when("two owners end {manner} while the store {state}")
def step_end(context, manner, state):
    async def trouble(run):
        run.cluster.store.fault = FAULTS[state]
        await MANNERS[manner](run)

    context.run.run(trouble, DURATION_S)


@then("at most {count:d} repeats arrive at the other service")
def step_repeats(context, count):
    repeats = repeat_count(context.run.others)
    assert repeats <= count, repeats


@then("none arrives there later than {limit_ms:d} ms after the reuse")
def step_arrivals(context, limit_ms):
    assert context.run.arrival_span_ms() <= limit_ms, context.run.arrival_span_ms()


@then("at most {count:d} orders arrive at the other service")
def step_orders(context, count):
    arrivals_ms = context.run.order_arrivals_ms()
    assert len(arrivals_ms) <= count, (len(arrivals_ms), arrivals_ms[:count])


@then("no order arrives there later than {limit_ms:d} ms after the reuse")
def step_last_order(context, limit_ms):
    arrivals_ms = context.run.order_arrivals_ms()
    assert max(arrivals_ms, default=0) <= limit_ms, arrivals_ms[-5:]


@then("all keys are served in the end")
def step_served(context):
    assert set(context.run.late_statuses) == {200}, context.run.late_statuses


@then("all keys without an owner are refused at once in the end")
def step_refused(context):
    run = context.run
    assert run.refused_ms and max(run.refused_ms) <= AT_ONCE_MS, sorted(run.refused_ms)[-5:]
    assert set(run.late_statuses) == {200, 503}, run.late_statuses
