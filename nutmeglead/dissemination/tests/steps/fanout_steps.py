"""Steps for push strategies."""

import random
from collections import Counter

from behave import given, then
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.errors import UnknownVariantError
from nutmeglead.dissemination.fanout import FANOUTS, MAX_HOPS, FanoutView, Push, PushRound
from nutmeglead.dissemination.members import Identity
from nutmeglead.dissemination.membership import Membership
from nutmeglead.platform.ports import VmEntry, VmState

DOMAINS = ["halle-a", "halle-b", "buero", "recife-a"]


class FanoutScenario:
    def __init__(self, sizes, strategy="domain_tree", fanout=3):
        self.domain_of = {
            f"{domain}-{number}": domain
            for domain, size in zip(DOMAINS, sizes, strict=False)
            for number in range(size)
        }
        self.strategy = FANOUTS.get(strategy)(fanout)
        self.views = {node_id: self.view(node_id) for node_id in self.domain_of}

    def view(self, own_id):
        address = Address("10.0.0.1", 8083)
        identity = Identity(own_id, "1", self.domain_of[own_id], address)
        membership = Membership(identity, DisseminationSettings(), random.Random(1), 0)
        entries = [
            VmEntry(node_id, "entry", "10.0.0.2", 8083, domain, VmState.LIVE, "v")
            for node_id, domain in self.domain_of.items()
        ]
        membership.learn_vms(entries, 0)
        return FanoutView(membership)

    def spread(self, origin, page_key=b"page", failed=()):
        """Return how often each node received the delta, and how many pushes each node made."""
        received, pushed = Counter({origin: 1}), Counter()
        made = set()
        work = [(origin, self.strategy.start(self.views[origin], page_key), PushRound(page_key))]
        while work:
            node_id, pushes, push_round = work.pop()
            view = self.views[node_id]
            for push in push_round.fresh(pushes, node_id):
                assert (node_id, push.node_id) not in made, "the same push twice"
                made.add((node_id, push.node_id))
                pushed[node_id] += 1
                if push.node_id in failed:
                    others = self.strategy.replace(view, page_key, push, push_round.tried)
                    work.append((node_id, others, push_round))
                    continue
                received[push.node_id] += 1
                if received[push.node_id] == 1:
                    there = self.views[push.node_id]
                    others = self.strategy.forward(there, page_key, push.hops_left)
                    work.append((push.node_id, others, PushRound(page_key, {node_id})))
        return received, pushed


SIZES = st.lists(st.integers(1, 12), min_size=1, max_size=4)


@given("{domains:d} failure domains of {members:d} members")
def step_domains(context, domains, members):
    context.fanout = FanoutScenario([members] * domains)


@then("{strategy} reaches all members of up to 4 failure domains once, each node with {bound}")
def step_reaches_all(context, strategy, bound):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @generated(SIZES, st.integers(1, 4), st.integers(0, 99), st.binary(max_size=3))
    def check(sizes, fanout, pick, page_key):
        scenario = FanoutScenario(sizes, strategy, fanout)
        nodes = sorted(scenario.domain_of)
        origin = nodes[pick % len(nodes)]
        received, pushed = scenario.spread(origin, page_key)
        assert set(received) - {origin} == set(nodes) - {origin}, received
        assert all(count == 1 for node_id, count in received.items() if node_id != origin)
        if strategy == "domain_tree":
            assert all(count <= 2 * fanout + len(sizes) for count in pushed.values()), pushed

    check()


@then("domain_tree reaches all other members whichever members do not answer")
def step_replaced(context):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @generated(SIZES, st.integers(1, 4), st.sets(st.integers(0, 47)), st.integers(0, 99))
    def check(sizes, fanout, failed_numbers, pick):
        scenario = FanoutScenario(sizes, "domain_tree", fanout)
        nodes = sorted(scenario.domain_of)
        origin = nodes[pick % len(nodes)]
        failed = {n for i, n in enumerate(nodes) if i in failed_numbers and n != origin}
        received, _ = scenario.spread(origin, failed=failed)
        assert set(received) - {origin} == set(nodes) - failed - {origin}, (failed, received)

    check()


@then("a round of pushes leaves out this node, the sender and receivers that were tried")
def step_round(context):
    push_round = PushRound(b"page", {"sender"})
    names = ["own", "sender", "first", "first"]
    first = push_round.fresh([Push(name, 3) for name in names], "own")
    second = push_round.fresh([Push(name, 3) for name in ["first", "second"]], "own")
    assert (first, second) == ([Push("first", 3)], [Push("second", 3)]), (first, second)


@then("two deltas of one page have the same first receivers")
def step_same_path(context):
    scenario = context.fanout
    view = scenario.views["halle-a-0"]
    first = scenario.strategy.start(view, b"page")
    assert first and first == scenario.strategy.start(view, b"page")


@then("{pages:d} pages use all members of another failure domain as relays")
def step_relays(context, pages):
    scenario = context.fanout
    relays = {
        push.node_id
        for page in range(pages)
        for push in scenario.strategy.start(scenario.views["halle-a-0"], str(page).encode())
        if push.hops_left == MAX_HOPS and push.node_id.startswith("halle-b")
    }
    assert relays == {f"halle-b-{number}" for number in range(5)}, relays


@then("a delta with no hops left is not forwarded")
def step_no_hops(context):
    for view in context.fanout.views.values():
        assert context.fanout.strategy.forward(view, b"page", 0) == []


@then('the strategy "{name}" is refused and the known ones are named')
def step_unknown(context, name):
    try:
        FANOUTS.get(name)
    except UnknownVariantError as error:
        assert "direct" in str(error) and "domain_tree" in str(error), error
    else:
        raise AssertionError(f"{name} was accepted")
