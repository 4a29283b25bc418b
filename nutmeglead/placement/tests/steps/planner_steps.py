"""Steps for the planner's mandatory moves."""

import re
from array import array
from collections import Counter

from behave import given, then, when

from nutmeglead.placement.model import NO_OWNER, MoveReason, ServerStatus
from nutmeglead.placement.planner import plan
from nutmeglead.placement.tests.cases import Case, exact, prefix


def _lose(case, *server_ids):
    for server_id in server_ids:
        case.set_status(server_id, ServerStatus.LOST)


def _claim_overload(case):
    case.rates[0] = 100.0
    case.claim_bucket(0, 0, "s0")


def _claim_hot_bucket(case):
    bucket = case.bucket("gear")
    case.owners[bucket] = 0
    # s0 is overloaded, and a pin of 15 would fit on any other server.
    case.rates[bucket] = 40.0
    case.hot["gear"] = 15.0
    case.claim_bucket(bucket, bucket, "s0")


def _withdraw_hot(case):
    case.pins[prefix("gear")] = 1
    bucket = case.bucket("gear")
    case.owners[bucket] = 0
    case.rates[bucket] = 40.0
    case.hot["gear"] = 15.0


def _claim_bucket_of_pin(case):
    case.pins[exact("gear")] = 1
    case.pin_rates[exact("gear")] = 10.0
    bucket = case.bucket("gear")
    case.claim_bucket(bucket, bucket, "s5")


def _lose_claimed(case):
    _lose(case, "s0")
    case.claim_bucket(0, 0, "s0")


def _leave_claimed(case):
    case.set_status("s0", ServerStatus.LEAVING)
    case.pins[exact("gear")] = 0
    case.pin_claims[exact("gear")] = "s0"


def _claimed_server_back(case):
    case.owners[0] = 3
    case.claim_bucket(0, 0, "s0")


def _two_claims(case):
    case.claim_bucket(0, 3, "s4")
    case.claim_bucket(0, 0, "s5")


def _urgency(case):
    _lose(case, "s1")
    case.set_status("s2", ServerStatus.LEAVING)
    case.claim_bucket(0, 0, "s5")
    for key in (f"gear-{number}" for number in range(6)):
        bucket = case.bucket(key)
        case.owners[bucket] = 3
        case.rates[bucket] += 30.0
        case.hot[key] = 30.0


def _lose_claimed_elsewhere(case):
    _lose(case, "s1")
    case.claim_bucket(1, 1, "s5")


def _lose_idle(case):
    for bucket, owner in enumerate(case.owners):
        # The other servers have 10 buckets with load each.
        if owner == 1 or bucket >= 60:
            case.rates[bucket] = 0.0
    _lose(case, "s1")


def _lose_uneven(case):
    # s4 and s5 have 100 requests/s, so 200 is the least possible for the largest unit's server.
    case.rates[61] = 100.0
    _lose(case, "s1")


def _disown(case):
    case.owners = array("i", [NO_OWNER] * len(case.owners))


EVENTS = {
    "no unit has an owner": _disown,
    'the claim of prefix "gear" is withdrawn from a hot key': _withdraw_hot,
    "s1 is lost and none of its 11 units had load": _lose_idle,
    "s1 is lost and its bucket 1 is claimed for s5": _lose_claimed_elsewhere,
    "s1 is lost with one unit of 100 requests/s after its units of 10": _lose_uneven,
    "s1 is lost": lambda c: _lose(c, "s1"),
    "s1 and s2 are lost": lambda c: _lose(c, "s1", "s2"),
    "failure domain d0 is lost": lambda c: _lose(c, "s0", "s3"),
    "5 of 6 servers are lost": lambda c: _lose(c, "s0", "s1", "s2", "s3", "s4"),
    "6 of 6 servers are lost": lambda c: _lose(c, *[s.server_id for s in c.servers]),
    "s2 leaves": lambda c: c.set_status("s2", ServerStatus.LEAVING),
    "bucket 0 is claimed for s5": lambda c: c.claim_bucket(0, 0, "s5"),
    "bucket 0 is claimed for s4 and then for s5": _two_claims,
    'key "gear" is claimed for s5': lambda c: c.pin_claims.update({exact("gear"): "s5"}),
    'prefix "gear" is claimed for s5': lambda c: c.pin_claims.update({prefix("gear"): "s5"}),
    "bucket 0 is claimed for s9": lambda c: c.claim_bucket(0, 0, "s9"),
    "bucket 99 is claimed for s1": lambda c: c.claim_bucket(99, 99, "s1"),
    "bucket 0 is claimed for s0, which overloads": _claim_overload,
    "hot key in a bucket claimed for s0": _claim_hot_bucket,
    "a pinned key's bucket is claimed for s5": _claim_bucket_of_pin,
    'the claim of prefix "gear" is withdrawn': lambda c: c.pins.update({prefix("gear"): 1}),
    "s0 is lost and bucket 0 is claimed for s0": _lose_claimed,
    's0 leaves with a claimed key "gear"': _leave_claimed,
    "a claimed server is back": _claimed_server_back,
    "s1 is lost, s2 leaves, bucket 0 is claimed for s5 and s3 is overloaded by hot keys": _urgency,
}


class PlannerScenario:
    def __init__(self):
        self.case = Case()
        self.plans = []

    def run(self):
        self.plans.append(plan(self.case.request()))
        self.case.apply(self.plans[-1])

    @property
    def moves(self):
        return self.plans[-1].moves

    def move_of(self, unit):
        found = [move for move in self.moves if move.unit == unit]
        assert len(found) == 1, (unit, self.moves)
        return found[0]

    def unmet(self):
        return [claim.reason.name for claim in self.plans[-1].unmet_claims]


@given("6 servers in 3 failure domains with even load")
def step_servers(context):
    context.planner = PlannerScenario()


@given("a budget of {policy:d} policy moves and {ticket:d} ticket moves")
def step_budget(context, policy, ticket):
    context.planner.case.limit(policy, ticket)


@when("the planner runs")
def step_run(context):
    context.planner.run()


@when("the planner runs until it moves nothing")
def step_run_all(context):
    for _ in range(100):
        context.planner.run()
        if not context.planner.moves:
            return
    raise AssertionError("the planner still moves units after 100 plans")


@when("pins, hot keys and rates are given in two orders")
def step_orders(context):
    case = context.planner.case
    keys = [f"key-{i}" for i in range(12)]
    context.pair = []
    for order in (keys, keys[::-1]):
        case.hot = {key: 20.0 for key in order}
        case.pins = {exact(key): 0 for key in order[3:9]}
        case.pin_rates = {exact(key): 9.0 for key in order[3:9]}
        case.pin_claims = {exact(key): "s4" for key in order[5:7]}
        context.pair.append(plan(case.request()))


@when("it happens that {event}")
def step_event(context, event):
    EVENTS[event](context.planner.case)


@then("every unit has one present owner")
def step_owned(context):
    case = context.planner.case
    for unit in case.units():
        assert case.owner(unit) in case.live_ids(), (unit, case.owner(unit))


@then("the remaining servers differ by at most one unit of load")
def step_even(context):
    case = context.planner.case
    loads = [case.server_load(server_id) for server_id in case.live_ids()]
    assert max(loads) - min(loads) <= 10.0, loads


@then("no server receives more than {count:d} units")
def step_receives(context, count):
    received = Counter(move.to_server for move in context.planner.moves)
    assert sum(received.values()) == 11 and max(received.values()) <= count, received


@then("no remaining server has more than {limit:g} requests/s")
def step_highest(context, limit):
    case = context.planner.case
    loads = {server_id: case.server_load(server_id) for server_id in case.live_ids()}
    assert max(loads.values()) <= limit, loads


@then("the reasons are {name}")
def step_reasons(context, name):
    reasons = {move.reason for move in context.planner.moves}
    assert reasons == {MoveReason[name]}, reasons


def _unit(kind, name):
    return {"bucket": int, "key": exact, "prefix": prefix}[kind](name.strip('"'))


@then("{kind:w} {name} moves to {server} for {reason:w}")
def step_moves_to(context, kind, name, server, reason):
    move = context.planner.move_of(_unit(kind, name))
    assert (move.to_server, move.reason.name) == (server, reason), move
    assert context.planner.unmet() == []


@then("{kind:w} {name} moves for {reason:w}, unmet {unmet:w}")
def step_moves_unmet(context, kind, name, reason, unmet):
    move = context.planner.move_of(_unit(kind, name))
    assert move.reason.name == reason, move
    assert move.to_server in context.planner.case.live_ids(), move
    assert context.planner.unmet() == [unmet], context.planner.unmet()


@then("nothing moves and the claim is {reason:w}")
def step_unmet(context, reason):
    assert context.planner.moves == []
    assert context.planner.unmet() == [reason], context.planner.unmet()


@then("bucket 0 stays on s0")
def step_stays(context):
    assert context.planner.case.owner(0) == "s0"
    assert context.planner.moves, "the other buckets of s0 must move instead"


@then("no key is pinned")
def step_no_pin(context):
    assert context.planner.case.pins == {}, context.planner.case.pins


@then("the pin is removed for {reason:w}")
def step_pin_removed(context, reason):
    removed = [move for move in context.planner.moves if move.removes_pin]
    assert [move.reason.name for move in removed] == [reason], context.planner.moves
    assert context.planner.case.pins == {}


@then("the reasons come in the order {names}")
def step_order(context, names):
    order = list(dict.fromkeys(move.reason.name for move in context.planner.moves))
    assert order == re.split(", ", names), order


@then("no plan had more than {count:d} moves")
def step_bounded(context, count):
    sizes = [len(made.moves) for made in context.planner.plans]
    assert max(sizes) == count, sizes


@then("nothing moves and {count:d} units are unplaced")
def step_unplaced(context, count):
    assert context.planner.moves == []
    assert context.planner.plans[-1].unplaced_units == count


@then("both plans are equal")
def step_equal(context):
    first, second = context.pair
    assert first.moves and first == second, (first.moves, second.moves)
