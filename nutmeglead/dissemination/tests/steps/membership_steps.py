"""Steps for membership."""

import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import Heartbeat, MemberNews, MemberStatus
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.dissemination.members import Identity
from nutmeglead.dissemination.membership import Membership
from nutmeglead.dissemination.rings import Rings
from nutmeglead.platform.ports import VmEntry, VmState

ADDRESS = Address("10.0.0.1", 8083)
SELF = Identity("entry-own", "1", "halle-a", ADDRESS)


def vm(node_id, state=VmState.LIVE):
    return VmEntry(node_id, "entry", "10.0.0.2", 8083, "halle-b", state, "vm-1")


class MembershipScenario:
    def __init__(self, configured, others=()):
        self.now_ms = 1_000_000
        self.member_id = "entry-02"
        self.membership = Membership(SELF, configured, random.Random(5), self.now_ms)
        self.others = [vm(node_id) for node_id in others]
        self.membership.learn_vms(self.others, self.now_ms)
        self.targets = self.membership.tick(self.now_ms)

    def experience(self, text):
        for event in text.split(", "):
            words = event.split()
            process = "1"
            if words[0] == "process":
                process, words = words[1], words[2:]
            getattr(self, "on_" + words[0].lower())(process, *words[1:])

    def on_heartbeat(self, process, sequence, leaving=False):
        message = Heartbeat(
            Sender(self.member_id, process), "halle-b", int(sequence), ADDRESS, {}, {}
        )
        message.leaving = leaving
        self.membership.hear_heartbeat(message, self.now_ms)

    def on_leaving(self, process, _, sequence):
        self.on_heartbeat(process, sequence, leaving=True)

    def on_reply(self, process, sequence=None, another=None):
        if another:
            self.on_another()
            return
        number = int(sequence) if sequence else None
        self.membership.hear_reply(Sender(self.member_id, process), number, self.now_ms)

    def on_another(self):
        """Hear another member, so that this node does not count as cut off."""
        message = Heartbeat(Sender("entry-99", "1"), "halle-b", self.now_ms, ADDRESS, {}, {})
        self.membership.hear_heartbeat(message, self.now_ms)

    def on_wait(self, _, duration_ms):
        for _step in range(int(duration_ms) // 500):
            self.now_ms += 500
            self.targets = self.membership.tick(self.now_ms)

    def on_own(self, _, __, duration_ms):
        self.now_ms += int(duration_ms)
        self.targets = self.membership.tick(self.now_ms)

    def on_vm(self, _, __, state):
        entries = [*self.others, vm(self.member_id, VmState(state))]
        self.membership.learn_vms(entries, self.now_ms)

    def on_nameless(self, _, __, status, sequence):
        """Hear news from a node that knows the member from the VM list only."""
        self.on_news("", status, sequence)

    def on_news(self, process, status, sequence):
        subject = Sender(self.member_id, process)
        self.hear_news(subject, int(sequence), MemberStatus[status.upper()])

    def hear_news(self, subject, sequence, status):
        news = MemberNews(subject, sequence, status, "halle-b", ADDRESS)
        message = Heartbeat(Sender("entry-99", "1"), "halle-b", self.now_ms, ADDRESS, {}, {})
        message.news = [news]
        self.now_ms += 1
        self.membership.hear_heartbeat(message, self.now_ms)

    def next_news(self):
        target = self.targets[0] if self.targets else self.membership.members()[0]
        return self.membership.heartbeat(target, {}, {}).news or []


@given("a node with the settings heartbeat 500 ms, silent after 1500 ms and gone after 30000 ms")
def step_member_node(context):
    context.membership = MembershipScenario(DisseminationSettings())


@given("a node among {count:d} members that does not watch the member")
def step_ring_node(context, count):
    others = [f"entry-{number:02d}" for number in range(count)]
    scenario = context.membership = MembershipScenario(DisseminationSettings(), others)
    watched = {member.node_id for member in scenario.targets}
    scenario.member_id = next(node_id for node_id in others if node_id not in watched)


@when("it experiences {events}")
def step_experience(context, events):
    context.membership.experience(events)


@when("it hears news that it is silent itself")
def step_accused(context):
    scenario = context.membership
    scenario.hear_news(SELF.sender, 10, MemberStatus.SILENT)


@then("it believes that the member is {state}")
def step_state(context, state):
    member = context.membership.membership.member(context.membership.member_id)
    assert member is not None and member.state.value == state, member


@then("its next heartbeats tell that the member is {status} at sequence {sequence:d}")
def step_tells(context, status, sequence):
    scenario = context.membership
    target = scenario.membership.member(scenario.member_id)
    told = {}
    for _ in range(30):
        for news in scenario.membership.heartbeat(target, {}, {}).news or []:
            told[news.member.node_id] = (MemberStatus(news.status).name, news.sequence)
    assert told.get(scenario.member_id) == (status, sequence), told


@then("its {count:d}th heartbeat to the member still tells it")
def step_still_tells(context, count):
    scenario = context.membership
    target = scenario.membership.member(scenario.member_id)
    news = [scenario.membership.heartbeat(target, {}, {}).news for _ in range(count)][-1]
    assert [n.member.node_id for n in news or []] == [scenario.member_id], news


@then("it knows process {process} of the member")
def step_process(context, process):
    member = context.membership.membership.member(context.membership.member_id)
    assert member.incarnation == process, member


@then("its next heartbeat carries news of itself with a higher sequence")
def step_refutes(context):
    own = [n for n in context.membership.next_news() if n.member == SELF.sender]
    assert own and own[0].status == MemberStatus.ALIVE and own[0].sequence > 10, own


@then("its next heartbeat reports nobody as silent")
def step_no_news(context):
    scenario = context.membership
    news = [n for n in scenario.next_news() if n.status == MemberStatus.SILENT]
    told = {n.member.node_id for n in news if n.member.incarnation}
    assert scenario.targets and not news and not told, news


@then("it says that it is {answer}")
def step_cut_off(context, answer):
    scenario = context.membership
    is_cut_off = scenario.membership.is_cut_off(scenario.now_ms)
    assert is_cut_off == (answer == "cut off"), is_cut_off


@then("every member has the same number of watchers, and heartbeats are bounded, at any size")
def step_rings(context):
    @settings(derandomize=True, deadline=None, max_examples=25)
    @generated(st.integers(17, 60), st.lists(st.integers(0, 59), max_size=10), st.integers(3, 6))
    def check(count, removed, rings):
        nodes = [f"entry-{number:02d}" for number in range(count)]
        left = [node_id for n, node_id in enumerate(nodes) if n not in removed]
        watchers = Counter()
        for own_id in left:
            choice = Rings(own_id, rings)
            for node_id in nodes:
                if node_id != own_id:
                    choice.add(node_id)
            for number in removed:
                if number < count:
                    choice.remove(nodes[number])
            successors = choice.successors(left)
            assert own_id not in successors and len(successors) <= rings
            watchers.update(successor for _, successor in choice._successors)
        assert set(watchers.values()) == {rings} and len(watchers) == len(left), watchers

    check()
