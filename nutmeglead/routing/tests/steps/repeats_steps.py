"""Steps for retries and hedges."""

import random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from nutmeglead._generated.settings.ttypes import RetrySettings
from nutmeglead.routing.errors import AnswerLate, ServerFailed, ServerRefused, ServerUnreachable
from nutmeglead.routing.retries import RETRIES, RetryRequest
from nutmeglead.routing.tests.memory_wire import settle, until
from nutmeglead.routing.tests.rig import Rig, make_services, run
from nutmeglead.routing.tests.server_faults import FAULTS

REQUESTS = {
    "lookup": ("GET", "/lookups/k", b""),
    "order": ("POST", "/orders/k", b"one saw blade"),
    "new file": ("POST", "/files/k", b"f" * 1_000_000),
    "upload": ("POST", "/orders/k", b"u" * 1_000_000),
}
ERRORS = [
    ServerUnreachable("no connection"),
    ServerFailed("reset"),
    AnswerLate("late"),
    ServerRefused("503 overloaded", 503),
]


class RepeatScenario:
    """Earn a budget, then play one failing request."""

    def __init__(self, earned=0, hedge_after_ms=0):
        self.earned = earned
        self.retries = RetrySettings(hedge_after_ms=hedge_after_ms)
        self.fault = None
        self.outcome = None

    async def play(self, request, time_left_ms):
        rig = Rig(make_services(retries=self.retries))
        server = rig.servers["s1"]
        server.make_thaw()
        service = REQUESTS[request][1].split("/")[1]
        for _ in range(self.earned):
            await rig.ask("GET", f"/{service}/earlier")
        rig.router.pool.close()
        server.runs.clear()
        earlier = len(server.requests)
        if self.fault == "is refused":
            server.connect_failures = 1
        else:
            server.scripts.append(FAULTS[self.fault])
        method, target, body = REQUESTS[request]
        headers = [("nutmeglead-deadline-ms", str(time_left_ms))]
        caller = rig.begin(method, target, body, headers)
        await settle(300)
        await rig.advance(time_left_ms + 50)
        await until(caller.reading.done, "an answer")
        await settle(100)
        self.told = caller.told
        self.runs, self.sent = len(server.runs), len(server.requests) - earlier
        self.slow_closed = server.sides[-2].is_closed_by_router if len(server.sides) > 1 else True
        self.in_flight = sum(
            state.in_flight
            for route in rig.router._routes.values()
            for state in route.servers._states.values()
        )
        await rig.close()

    async def wait_for_slot(self, wait_ms):
        rig = Rig(make_services(retries=self.retries, slots_per_instance=1))
        server = rig.servers["s1"]
        server.make_thaw()
        for _ in range(self.earned):
            await rig.ask("GET", "/lookups/earlier")
        rig.router.pool.close()
        server.scripts.append(FAULTS["freezes and comes back"])
        rig.begin("POST", "/lookups/blocker", b"u" * 100_000)
        await settle()
        caller = rig.begin("GET", "/lookups/k")
        await rig.advance(wait_ms)
        self.queued = rig.router.waiting_count()
        server.thawed.set()
        await until(caller.reading.done, "an answer")
        await settle(200)
        self.runs = sum(1 for request in server.runs if request.target == "/lookups/k")
        await rig.close()

    async def flood(self, count):
        rig = Rig(make_services(retries=self.retries))
        server = rig.servers["s1"]
        server.connect_failures = 10**6
        for _ in range(count):
            caller = rig.begin("GET", "/lookups/k")
            await settle(40)
            while not caller.is_whole:
                await rig.advance(10)
        self.connect_count = server.connecting
        await rig.close()


class PolicyScenario:
    """Drive the pure policy with generated histories."""

    def check(self, policy):
        self.worst_percent = 0.0
        self.bad_backoffs = []
        event = st.tuples(
            st.sampled_from(["request", "request", "failure", "hedge"]),
            st.integers(1, 3),
            st.sampled_from(ERRORS),
            st.integers(1, 200),
        )

        @settings(derandomize=True, deadline=None, max_examples=60, database=None)
        @for_all(st.lists(event, min_size=80, max_size=200), st.integers(0, 99))
        def play(history, seed):
            self._play(RETRIES.get(policy)(RetrySettings(), random.Random(seed)), history)

        play()

    def _play(self, retries, history):
        requests = paid = 0
        for kind, attempts, error, time_left_ms in history:
            if kind == "request":
                requests += 1
                retries.count_request()
            elif kind == "hedge":
                paid += retries.take_hedge()
            else:
                retry = RetryRequest(error, attempts, True, True, 1000 + time_left_ms)
                when_ms = retries.retry_at(retry, 1000)
                paid += when_ms is not None
                if when_ms is not None and not (
                    1000 <= when_ms < 1000 + time_left_ms
                    and when_ms - 1000 <= min(100, 5 * 2 ** (attempts - 1))
                ):
                    self.bad_backoffs.append((attempts, when_ms))
            if paid:
                self.worst_percent = max(self.worst_percent, 100 * paid / max(1, requests))


@given("a router that has answered {earned:d} earlier requests")
def step_earned(context, earned):
    context.repeat = RepeatScenario(earned)


@given("a router that hedges after {delay:d} ms and has answered {earned:d} earlier requests")
def step_hedging(context, delay, earned):
    context.repeat = RepeatScenario(earned, delay)


@given("a server that {fault} at first")
def step_fault(context, fault):
    context.repeat.fault = fault


@given("a server that refuses every connection")
def step_refusing(context):
    context.repeat = RepeatScenario()


@when("a {request} comes with {time:d} ms left and its course is run")
def step_play(context, request, time):
    run(context.repeat.play, request, time)


@when("a lookup waits {wait:d} ms for the only slot")
def step_wait_for_slot(context, wait):
    run(context.repeat.wait_for_slot, wait)


@then("it took one place in the queue and the server ran it once")
def step_ran_once(context):
    assert context.repeat.queued == 1, context.repeat.queued
    assert context.repeat.runs == 1, context.repeat.runs


@when("{count:d} lookups come one after another")
def step_flood(context, count):
    run(context.repeat.flood, count)


@when("generated requests, failures and hedges meet the policy {policy}")
def step_policy(context, policy):
    context.policy = PolicyScenario()
    context.policy.check(policy)


@then("the repeated request ran {runs:d} times at the server in {sent:d} sendings")
def step_runs(context, runs, sent):
    repeat = context.repeat
    assert (repeat.runs, repeat.sent) == (runs, sent), (repeat.runs, repeat.sent)


@then('it is told "{told}"')
def step_told(context, told):
    assert context.repeat.told == told, context.repeat.told


@then("the connection of the slow sending is closed and every slot is free")
def step_closed(context):
    assert context.repeat.slow_closed
    assert context.repeat.in_flight == 0, context.repeat.in_flight


@then("the server saw at most {most:d} connection attempts and at least {least:d}")
def step_attempts(context, most, least):
    assert least <= context.repeat.connect_count <= most, context.repeat.connect_count


@then("paid repeats never exceed {percent:d} percent of the requests so far")
def step_percent(context, percent):
    assert context.policy.worst_percent <= percent, context.policy.worst_percent


@then("every back-off ends before its deadline and within the capped step")
def step_backoff(context):
    assert not context.policy.bad_backoffs, context.policy.bad_backoffs[:3]
