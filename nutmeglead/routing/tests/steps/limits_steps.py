"""Steps for limits, ejection and selection."""

import random
import re

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from nutmeglead._generated.settings.ttypes import (
    ConcurrencySettings,
    EjectionSettings,
    ServiceSettings,
)
from nutmeglead.routing.concurrency import CONCURRENCY, connection_share
from nutmeglead.routing.ejection import EJECTION
from nutmeglead.routing.selection import SELECTION, LoadHints, ProbeBudget
from nutmeglead.routing.slot_exchange import own_slots

DOMAINS = {f"s{n}": "a" if n <= 4 else "b" for n in range(1, 9)}


def make_service(slots=4):
    return ServiceSettings(
        name="lookups",
        slots_per_instance=slots,
        connections_per_instance=130,
        concurrency=ConcurrencySettings(),
    )


class LimitScenario:
    """Feed answers to a limit that is always or never full."""

    def __init__(self, routers):
        self.routers = routers

    def see(self, policy, history):
        self.limit = CONCURRENCY.get(policy)(make_service())
        self.limit.limit(0, self.routers)
        phases = {
            "nothing": [],
            "200 answers in 10 ms when full": [(200, 10, True)],
            "200 answers in 10 ms when idle": [(200, 10, False)],
            "latency rising to 200 ms": [(50, 10, True), (20, 200, True)],
            "slow, fast and slow again": [
                (50, 10, True),
                (100, 200, True),
                (20, 10, True),
                (20, 100, True),
            ],
            "a slow phase and its end": [(50, 10, True), (100, 200, True), (200, 10, True)],
        }
        if history == "20 refusals":
            for _ in range(20):
                self.limit.observe(1, False, 1)
            return
        for count, latency_ms, is_full in phases[history]:
            for _ in range(count):
                in_flight = self.limit.limit(0, self.routers) if is_full else 0
                self.limit.observe(latency_ms, True, in_flight)


class EjectionScenario:
    """Follow histories such as `s1 s2 fail 15 times and 1000 ms pass`."""

    def __init__(self):
        self.policy = EJECTION.get("stepwise")(EjectionSettings())
        self.policy.set_servers(DOMAINS)
        self.now_ms = 0

    def fail(self, servers, times):
        for server in servers:
            for _ in range(times):
                self.policy.record(server, False, self.now_ms)

    def follow(self, history):
        servers = re.findall(r"\bs\d\b", history)
        if "ejected twice" in history:
            self.fail(servers, 15)
            self.now_ms += 1000
            self.fail(servers, 5)
        else:
            self.fail(servers, int(re.search(r"(\d+) times", history).group(1)))
        if "answers" in history:
            # Successes of requests that were in flight count after the ejection has ended.
            for _ in range(4):
                self.now_ms += 1000 if "pass" in history else 0
                self.policy.record(servers[0], True, self.now_ms)
                if "once" in history:
                    break
        passing = re.search(r"(\d+) ms pass", history)
        if passing:
            self.now_ms += int(passing.group(1))

    def shares(self, servers):
        return [round(self.policy.share(server, self.now_ms), 2) for server in servers]


@given("a service with 4 slots and 130 connections among {routers:d} routers")
def step_service(context, routers):
    context.limits = LimitScenario(routers)


@when("the policy {policy} sees {history}")
def step_sees(context, policy, history):
    context.limits.see(policy, history)


@then("its limit is {relation} {limit:d}")
def step_limit(context, relation, limit):
    actual = context.limits.limit.limit(0, context.limits.routers)
    holds = {"exactly": actual == limit, "above": actual > limit, "below": actual < limit}
    assert holds[relation], actual


@then("a router may open {connections:d} connections to a server")
def step_connections(context, connections):
    assert connection_share(make_service(), context.limits.routers) == connections


@then("all routers together stay within 130")
def step_all_connections(context):
    routers = context.limits.routers
    assert routers * connection_share(make_service(), routers) <= 130


@when("routers of any number divide the slots of any server")
def step_divide(context):
    @settings(derandomize=True, deadline=None, max_examples=100, database=None)
    @for_all(st.integers(1, 14), st.integers(1, 9), st.integers(0, 50))
    def divide(routers, slots, server):
        names = [f"r{n}" for n in range(routers)]
        service = make_service(slots)
        parts = [own_slots(service, f"s{server}", name, names) for name in names]
        assert sum(parts) == slots and max(parts) - min(parts) <= 1, parts

    context.divide = divide


@then("the parts add up to exactly the slots")
def step_parts(context):
    context.divide()


@given("servers s1 to s4 in failure domain a and s5 to s8 in b")
def step_servers(context):
    context.ejection = EjectionScenario()


@when("the health history is {history}")
def step_history(context, history):
    context.ejection.follow(history)


@then("the shares of {servers} are {shares}")
def step_shares(context, servers, shares):
    actual = context.ejection.shares(servers.split())
    assert actual == [float(share) for share in shares.split()], actual


@given("own requests in flight {in_flight} and load hints {hints} of age {age:d} ms")
def step_loads(context, in_flight, hints, age):
    servers = ["s1", "s2", "s3"]
    context.in_flight = dict(zip(servers, map(int, in_flight.split()), strict=True))
    context.hints = LoadHints()
    for server, load in zip(servers, map(float, hints.split()), strict=True):
        context.hints.report(server, load, 0)
    context.age_ms = age


@when("the policy {policy} selects")
def step_select(context, policy):
    choose = SELECTION.get(policy)
    context.chosen = {
        choose(
            ["s1", "s2", "s3"],
            context.in_flight,
            context.hints,
            context.age_ms,
            random.Random(seed),
        )
        for seed in range(50)
    }


@then("it takes {server}")
def step_takes(context, server):
    expected = {"s1", "s2", "s3"} if server == "any" else {server}
    assert context.chosen == expected, context.chosen


@when("a probe is wanted every 10 ms for 10 s")
def step_probes(context):
    budget = ProbeBudget(5.0)
    context.probes = sum(budget.take(now_ms) for now_ms in range(0, 10_000, 10))


@then("at most 51 probes are made")
def step_probe_count(context):
    assert 40 <= context.probes <= 51, context.probes
