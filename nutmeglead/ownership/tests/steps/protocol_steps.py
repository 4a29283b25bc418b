"""Steps for the runs of all machines together."""

from behave import given, then, when
from hypothesis import HealthCheck, settings, strategies
from hypothesis import given as given_cases

from nutmeglead.ownership.tests.model import FAULTS, World, run_seed

SCHEDULES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(FAULTS),
        strategies.integers(0, 3),
        strategies.sampled_from((300, 1500, 4000)),
        strategies.integers(1, 150),
    ),
    max_size=30,
)


@when("the machines run {steps:d} steps with seed {seed:d}")
def step_run(context, steps, seed):
    context.world = run_seed(seed, steps)


@then("keys moved at least {moves:d} times and all are served again")
def step_moved(context, moves):
    assert context.world.moves >= moves, context.world.moves
    assert not context.world.unserved()


@then("no generated fault schedule breaks a rule")
def step_generated(context):
    @settings(
        max_examples=25, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
    )
    @given_cases(SCHEDULES, strategies.integers(0, 10**6))
    def check(schedule, seed):
        world = World(seed)
        for fault, target, duration_ms, steps in schedule:
            world.inject(fault, target, duration_ms)
            for _ in range(steps):
                world.step()
        world.settle(20_000)

    check()


@given("machines without faults, seed {seed:d}")
def step_calm(context, seed):
    context.world = World(seed)
    context.world.settle(20_000)


@when("server s0 freezes for good")
def step_freeze(context):
    context.world.processes["s0"].paused_until = 10**9


@then("all keys are served by others within {limit:d} ms")
def step_served(context, limit):
    world = context.world
    for _ in range(limit // 10):
        world.step()
    assert not world.unserved(), world.unserved()
    assert not world.table_map().units_of("s0")
