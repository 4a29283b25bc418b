"""Steps for the choice between the store and copies from hubs, with explicit times."""

from behave import given, then, when

from nutmeglead._generated.peers.ttypes import Heartbeat, NodeRow, Scope
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.events import Event
from nutmeglead.core.ids import FailureDomainName, NodeId
from nutmeglead.entry.table_source import TableSource
from nutmeglead.entry.tests.collected_events import collect
from nutmeglead.peers.membership import Membership

ZONE = FailureDomainName("zone")
HUBS = (NodeId("n-0"), NodeId("n-1"))
OWN = NodeId("n-2")
ADDRESS = ("10.0.0.2", 7_000)


class SourceNode:
    """Hold the choice of a node with two hubs, and let it hear them."""

    def __init__(self, clock, cpu_cores=1.0):
        self.clock = clock
        self.membership = Membership(OWN, ZONE, cpu_cores, clock.now_ms())
        for hub in HUBS:
            self.membership.set_node(hub, NodeRow(*ADDRESS, 1, ZONE, 1.0), clock.now_ms())
        self.source = TableSource(self.membership, clock)
        self.hear(HUBS)

    def hear(self, hubs):
        now_ms = self.clock.now_ms()
        for hub in hubs:
            heartbeat = Heartbeat(
                hub, 1, now_ms + 1, 0, False, {}, 0, [], b"", Scope.ALL, b"", False
            )
            self.membership.on_heartbeat(heartbeat, ADDRESS, now_ms)


@given("a node that takes copies and has just heard both hubs of its failure domain")
def step_node(context):
    context.events = collect(context, "nutmeglead.entry.table_source")
    context.source_node = SourceNode(ManualClock())
    assert not context.source_node.source.follows_store()


@given("the node has more processor cores than its hubs")
def step_more_cores(context):
    context.source_node = SourceNode(ManualClock(), cpu_cores=2.0)


@when("it hears no hub for {silent_ms:d} ms")
def step_silence(context, silent_ms):
    context.source_node.clock.advance(silent_ms)


@when("nothing else happens")
def step_nothing(context):
    pass


@when("one hub is heard")
def step_heard(context):
    context.source_node.hear(HUBS[:1])


@when("a hub that it does not hear has answered")
def step_answered(context):
    context.source_node.source.record_answer()


@then("it asks {hubs} for copies without a heartbeat")
def step_asks(context, hubs):
    found = tuple(context.source_node.source.unheard_hubs())
    assert found == {"both": HUBS, "none": ()}[hubs], found


@then("its tables come from {source}")
def step_source(context, source):
    found = "the store" if context.source_node.source.follows_store() else "copies"
    assert found == source, found


@then("TABLE_SOURCE_CHANGED is logged once, with source {source} after {silent_ms:d} ms of silence")
def step_logged(context, source, silent_ms):
    context.source_node.source.follows_store()
    expected = [{"source": source, "silent_ms": silent_ms}]
    found = context.events.fields_of(Event.TABLE_SOURCE_CHANGED)
    assert found == expected, found
