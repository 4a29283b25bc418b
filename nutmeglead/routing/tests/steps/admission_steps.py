"""Steps for the admission policies."""

import re

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from result import Err, Ok

from nutmeglead._generated.settings.ttypes import AdmissionSettings, ServiceSettings
from nutmeglead.routing.admission import ADMISSION, FifoAdmission, QueuedRequest

ARRIVAL = re.compile(r"(\w+)=(\w+)/(\w+)@(\d+)(?:#(\d+))?")
QUEUE_COUNT, QUEUE_BYTES, UNIT_COUNT = 8, 1000, 2


def make_services():
    def admission(**changes):
        return AdmissionSettings(
            max_queue_count=QUEUE_COUNT, max_queue_bytes=QUEUE_BYTES, **changes
        )

    common = {"slots_per_instance": 4, "connections_per_instance": 130}
    return [
        ServiceSettings(name="lookups", admission=admission(), **common),
        ServiceSettings(name="orders", admission=admission(priority=2), **common),
        ServiceSettings(name="files", admission=admission(share_percent=25), **common),
    ]


class AdmissionScenario:
    """Offer requests, then start all with one free slot at a time."""

    def __init__(self, policy, max_exchanges=100):
        self.policy = ADMISSION.get(policy)(make_services(), max_exchanges)
        self.names = {}
        self.refused = {}

    def measure(self, service_time_ms):
        for service in ("lookups", "orders"):
            probe = QueuedRequest(0, service, "probe", "s1", 10**9)
            self.policy.offer(probe, 1, 0)
            self.policy.dispatch(lambda server: True, 0)
            self.policy.finish(probe, service_time_ms)

    def arrive(self, arrivals, slots, now_ms=0):
        for number, match in enumerate(ARRIVAL.finditer(arrivals), 1):
            name, service, unit, deadline_ms, size = match.groups()
            request = QueuedRequest(number, service, unit, "s1", int(deadline_ms), int(size or 0))
            self.names[number] = name
            offered = self.policy.offer(request, slots, now_ms)
            if isinstance(offered, Err):
                self.refused[name] = offered.err_value.kind

    def drain(self, now_ms=0):
        result = self.policy.dispatch(lambda server: True, now_ms)
        self.started = [self.names[r.request_id] for r in result.started]
        self.expired = [self.names[r.request_id] for r in result.expired]


class GeneratedScenario:
    """Compare a policy with a plain account of what was offered."""

    def check(self, policy):
        event = st.tuples(
            st.sampled_from(["offer", "offer", "offer", "dispatch", "finish", "withdraw", "time"]),
            st.sampled_from(["lookups", "orders", "files"]),
            st.integers(0, 3),
            st.integers(1, 400),
        )

        @settings(derandomize=True, deadline=None, max_examples=150, database=None)
        @for_all(st.lists(event, min_size=20, max_size=120))
        def play(events):
            self._play(ADMISSION.get(policy)(make_services(), 8), events)

        play()

    def _play(self, policy, events):
        now_ms, waiting, running = 0, {}, []
        for number, (kind, service, choice, amount) in enumerate(events):
            if kind == "offer":
                request = QueuedRequest(
                    number, service, f"u{choice}", f"s{choice % 2}", now_ms + amount, amount
                )
                if isinstance(policy.offer(request, 2, now_ms), Ok):
                    waiting[number] = request
            elif kind == "dispatch":
                running += self._dispatch(policy, waiting, choice, now_ms)
            elif kind == "finish" and running:
                policy.finish(running.pop(choice % len(running)), amount)
            elif kind == "withdraw" and waiting:
                chosen = sorted(waiting)[choice % len(waiting)]
                assert policy.withdraw(chosen) and not policy.withdraw(chosen)
                del waiting[chosen]
            elif kind == "time":
                now_ms += amount
            self._check(policy, waiting, running)
        for request in running:
            policy.finish(request, None)
        self._check_all_places_free(policy, waiting, now_ms)

    def _check_all_places_free(self, policy, waiting, now_ms):
        alive = [r.service_name for r in waiting.values() if r.deadline_ms > now_ms]
        files = alive.count("files")
        expected = min(2, files) + min(6, len(alive) - files)
        if isinstance(policy, FifoAdmission):
            expected = min(8, len(alive))
        result = policy.dispatch(lambda server: True, now_ms)
        # Nothing runs, so each server is idle and gets what waits for it, however slow it was.
        assert not result.hopeless
        assert len(result.started) == expected

    def _dispatch(self, policy, waiting, free_slots, now_ms):
        slots = iter(range(free_slots))
        result = policy.dispatch(lambda server: next(slots, None) is not None, now_ms)
        assert all(request.deadline_ms > now_ms for request in result.started)
        assert all(request.deadline_ms <= now_ms for request in result.expired)
        for request in result.started + result.expired + result.hopeless:
            # A request that ended before is missing here.
            del waiting[request.request_id]
        return result.started

    def _check(self, policy, waiting, running):
        assert policy.waiting_count == len(waiting)
        assert len(running) <= 8
        for service in ("lookups", "orders", "files"):
            own = [r for r in waiting.values() if r.service_name == service]
            assert len(own) <= QUEUE_COUNT
            assert sum(r.size_bytes for r in own) <= QUEUE_BYTES
        assert policy._queue.counts == {
            s: sum(r.service_name == s for r in waiting.values())
            for s in ("lookups", "orders", "files")
        }


@given("the admission policy {policy} with measured service times of {measured:d} ms")
def step_policy(context, policy, measured):
    context.admission = AdmissionScenario(policy)
    if measured:
        context.admission.measure(measured)


@given("a service time of {measured:d} ms after them")
def step_measure_again(context, measured):
    context.admission.measure(measured)


@given("{exchanges:d} exchanges of which files have 25 percent")
def step_lanes(context, exchanges):
    context.admission = AdmissionScenario("deadline", exchanges)


@when("{arrivals} arrive for a server with {slots:d} slots")
def step_arrive(context, arrivals, slots):
    context.admission.arrive(arrivals, slots)
    context.admission.drain()


@when("{arrivals} arrive for a server with {slots:d} slots and {time:d} ms pass")
def step_arrive_and_wait(context, arrivals, slots, time):
    context.admission.arrive(arrivals, slots)
    context.admission.drain(time)


@when("{first:d} of {service} run and {others:d} of {other} come")
def step_lane_load(context, first, service, others, other):
    policy = context.admission.policy
    for number in range(first):
        policy.offer(QueuedRequest(number, service, f"u{number}", "s1", 1000), 9, 0)
    policy.dispatch(lambda server: True, 0)
    for number in range(100, 100 + others):
        policy.offer(QueuedRequest(number, other, f"u{number}", "s2", 1000), 9, 0)
    context.other_started = policy.dispatch(lambda server: True, 0).started


@when("6 requests with 190 ms left come for 2 slots and the first one takes 100 ms")
def step_became_slow(context):
    policy = context.admission.policy
    for number in range(1, 7):
        request = QueuedRequest(number, "lookups", f"u{number}", "s1", 190)
        assert isinstance(policy.offer(request, 2, 0), Ok)
    free_slots = iter(range(2))
    started = policy.dispatch(lambda server: next(free_slots, None) is not None, 0).started
    policy.finish(started[0], 100)
    context.dispatch = policy.dispatch(lambda server: False, 100)


@then("the last request is refused then, and the others still wait or run")
def step_last_refused(context):
    assert [r.request_id for r in context.dispatch.hopeless] == [6], context.dispatch
    assert context.admission.policy.waiting_count == 3


@when("generated events meet the admission policy {policy}")
def step_generated(context, policy):
    context.generated = GeneratedScenario()
    context.policy_name = policy


@then("{refused} are refused as {kind}")
def step_refused(context, refused, kind):
    expected = {} if refused == "none" else dict.fromkeys(refused.split(), kind)
    assert context.admission.refused == expected, context.admission.refused


@then("the others start in the order {started}")
def step_started(context, started):
    assert context.admission.started == started.split(), context.admission.started


@then("{started:d} of {other} start")
def step_lane_started(context, started, other):
    names = [request.service_name for request in context.other_started]
    assert names == [other] * started, names


@then("a is expired and b starts")
def step_expired(context):
    assert context.admission.expired == ["a"], context.admission.expired
    assert context.admission.started == ["b"], context.admission.started


@then("each request ends in exactly one way and no bound is ever exceeded")
def step_generated_ok(context):
    context.generated.check(context.policy_name)
