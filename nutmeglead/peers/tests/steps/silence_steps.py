"""Steps for what the silence of a node shows, with explicit times."""

from behave import given, then, when

from nutmeglead._generated.peers.ttypes import NodeRow
from nutmeglead.core.ids import NodeId
from nutmeglead.peers.silence import is_loss_shown
from nutmeglead.peers.tests.steps.membership_steps import ADDRESS, NOW_MS, MembershipFixture

NAMES = [f"n-{number:02}" for number in range(11)]
LOST = NodeId("n-00")
HEARTBEAT_STEP_MS = 50


@given("a node that lists 11 others, of which {names} are silent")
def step_silent(context, names):
    context.silent = [] if names == "none" else names.split()
    context.fixture = MembershipFixture(silent=context.silent)
    context.fixture.membership.is_list_known = True
    context.now_ms = NOW_MS


def hear_others(context, duration_ms):
    """Let all nodes be heard that are not silent, but for n-00."""
    names = [name for name in NAMES if name not in (LOST, *context.silent)]
    for at_ms in range(HEARTBEAT_STEP_MS, duration_ms + 1, HEARTBEAT_STEP_MS):
        for name in names:
            context.fixture.hear(name, context.now_ms + at_ms)
    context.now_ms += duration_ms


@when("the other nodes are heard for {duration_ms:d} ms more")
def step_heard(context, duration_ms):
    hear_others(context, duration_ms)


@when("n-00 has no row")
def step_no_row(context):
    context.fixture.membership.remove_node(LOST)
    hear_others(context, 2_000)


@when("n-00 has had its row for {duration_ms:d} ms")
def step_new_row(context, duration_ms):
    row = NodeRow(*ADDRESS, 2, "zone-0", 1.0)
    context.fixture.membership.set_node(LOST, row, context.now_ms)
    hear_others(context, duration_ms)


@when("n-00 says that it is leaving")
def step_leaving(context):
    context.fixture.hear(LOST, context.now_ms, is_leaving=True)


@when("n-00 was heard, but not all rows were read")
def step_no_list(context):
    context.fixture.membership.is_list_known = False
    hear_others(context, 2_000)


@then("the loss of n-00 is {shown}")
def step_shown(context, shown):
    is_shown = is_loss_shown(context.fixture.membership, LOST, context.now_ms)
    assert is_shown is (shown == "shown"), is_shown


@then("{time_ms:d} ms after its last heartbeat, the loss of n-00 is {shown}")
def step_shown_after(context, time_ms, shown):
    is_shown = is_loss_shown(context.fixture.membership, LOST, NOW_MS + time_ms)
    assert is_shown is (shown == "shown"), is_shown
