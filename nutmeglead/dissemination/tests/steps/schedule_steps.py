"""Steps for generated schedules of faults."""

from behave import then
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from nutmeglead.dissemination.deltas import make_delta
from nutmeglead.dissemination.page_ids import PageId
from nutmeglead.dissemination.service_copy import ServiceCopy
from nutmeglead.dissemination.tests.page_cases import SENDER, SERVICE, make_page, same
from nutmeglead.dissemination.tests.spread_rig import SpreadScenario

ACTIONS = st.sampled_from(
    [
        "change 0",
        "change 0",
        "change 1",
        "pause",
        "resume",
        "cut",
        "heal",
        "restart",
        "lose",
        "keep",
    ]
)


class ScheduleRun:
    """Apply one generated schedule to five nodes; entry-00 acts and is never restarted."""

    def __init__(self, seed):
        self.scenario = SpreadScenario(5, 2, 2, seed=seed)

    def apply(self, action, number):
        scenario, node_id = self.scenario, f"entry-{1 + number % 4:02d}"
        network = scenario.network
        if action.startswith("change"):
            scenario.change(int(action[-1]))
        elif action == "pause":
            network.pause(node_id)
        elif action == "resume":
            self.resume_all()
        elif action == "cut":
            scenario.cut(lambda identity: identity.node_id in (node_id, "entry-01"))
        elif action == "heal":
            scenario.heal()
        elif action == "restart" and not scenario.nodes[node_id].is_paused:
            scenario.restart(node_id)
        elif action in ("lose", "keep"):
            network.loss = 0.3 if action == "lose" else 0.0
        scenario.run(250 * (number % 3))

    def resume_all(self):
        for node_id, node in self.scenario.nodes.items():
            if node.is_paused:
                self.scenario.network.resume(node_id)

    def finish(self):
        scenario = self.scenario
        self.resume_all()
        scenario.heal()
        scenario.network.loss = 0.0
        assert scenario.run(10000, until=scenario.is_converged), scenario.versions
        scenario.check_forwards()


@then("any schedule of changes, losses, pauses, restarts and partitions converges")
def step_schedules(context):
    actions = st.lists(st.tuples(ACTIONS, st.integers(0, 11)), max_size=14)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @generated(actions, st.integers(0, 99))
    def check(schedule, seed):
        run = ScheduleRun(seed)
        for action, number in schedule:
            run.apply(action, number)
        run.finish()

    check()


@then("a copy that gets any deltas and pages in any order only goes forwards")
def step_copy_forwards(context):
    pages = {version: make_page(version) for version in range(1, 7)}
    deltas = [
        make_delta(pages.get(low), pages[high], SENDER, 0) for high in pages for low in range(high)
    ]
    offers = st.lists(st.one_of(st.sampled_from(deltas), st.integers(1, 6)), max_size=12)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @generated(offers)
    def check(offered):
        copy, version = ServiceCopy(SERVICE), 0
        for offer in offered:
            is_page = isinstance(offer, int)
            changed = copy.put(pages[offer]) if is_page else copy.offer(offer)[1]
            for page in changed:
                assert page.version > version and same(page, pages[page.version])
                version = page.version
        assert copy.store.version(PageId(False, 0)) == version
        last = {offer if isinstance(offer, int) else 0 for offer in offered} | {0}
        assert version >= max(last)
        assert all(gap.version > version for gap in copy.gaps.values())

    check()
