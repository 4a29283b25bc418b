"""Steps for the baselines."""

from collections import Counter

from behave import given, then, when

from nutmeglead.placement.baselines import (
    BoundedLoadRing,
    HashRing,
    Rendezvous,
    StickyBoundedLoadRing,
)

SCHEMES = {
    "hash ring": HashRing,
    "rendezvous": Rendezvous,
    "bounded-load ring": BoundedLoadRing,
    "sticky bounded-load ring": StickyBoundedLoadRing,
}


class BaselineScenario:
    def __init__(self, scheme, rates, servers):
        self.scheme = SCHEMES[scheme]()
        self.servers = servers
        self.rates = rates
        self.before = self.scheme.place(servers, rates, {})
        self.after = self.before

    def place(self, scheme=None):
        return (scheme or self.scheme).place(self.servers, self.rates, self.before)

    def moved(self, after):
        return [key for key in self.before if self.before[key] != after[key]]


@given("{keys:d} keys of {load} load on {servers:d} servers placed by {scheme}")
def step_keys(context, keys, load, servers, scheme):
    exponent = {"equal": 0.0, "Zipf": 0.5}[load]
    rates = {f"part-{i}": (i + 1) ** -exponent for i in range(keys)}
    context.baseline = BaselineScenario(scheme, rates, [f"s{i}" for i in range(servers)])


@when("one server is lost")
def step_lost(context):
    context.baseline.servers = context.baseline.servers[1:]
    context.baseline.after = context.baseline.place()


@when("the load of the keys is reversed")
def step_reversed(context):
    scenario = context.baseline
    scenario.rates = dict(zip(scenario.rates, reversed(scenario.rates.values()), strict=True))
    scenario.after = scenario.place()


@then("only keys of the lost server move")
def step_only(context):
    scenario = context.baseline
    moved = scenario.moved(scenario.after)
    assert moved and {scenario.before[key] for key in moved} == {"s0"}
    assert "s0" not in scenario.after.values()


@then("no server exceeds 1.1 times the mean load")
def step_bound(context):
    scenario = context.baseline
    loads = Counter()
    for key, server in scenario.after.items():
        loads[server] += scenario.rates[key]
    mean = sum(loads.values()) / len(scenario.servers)
    assert max(loads.values()) <= 1.1 * mean * (1 + 1e-9), loads


@then("fewer keys move than by {scheme}")
def step_fewer(context, scheme):
    scenario = context.baseline
    first = BaselineScenario(scheme, scenario.rates, scenario.servers)
    reverse = dict(zip(scenario.rates, reversed(scenario.rates.values()), strict=True))
    other = first.scheme.place(scenario.servers, reverse, {})
    assert 0 < len(scenario.moved(scenario.after)) < len(first.moved(other))
