"""Steps for counting and merging load."""

import math

from behave import given, then, when

from nutmeglead._generated.common.ttypes import Sender, UnitId, UnitKind
from nutmeglead._generated.messages.ttypes import LoadReport, UnitLoad
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import ServiceName
from nutmeglead.placement.load import UNKNOWN_AGE_MS, LoadCounter, LoadMerger
from nutmeglead.placement.model import Move, MoveReason
from nutmeglead.placement.tests.cases import Case, exact

HALF_LIFE_MS = 5000
WINDOW_MS = 1000
BUCKETS = 64
SERVICE = ServiceName("lagerblick")


class LoadScenario:
    """Hold routers, their reports in order of making, and one merger."""

    def __init__(self, routers):
        self.counters = {f"r{i}": LoadCounter(BUCKETS, 0) for i in range(routers)}
        self.incarnations = dict.fromkeys(self.counters, 1)
        self.merger = LoadMerger(BUCKETS, HALF_LIFE_MS, 240, 0)
        self.now_ms = 0

    def reports(self, seconds, silent=()):
        """Return (arrival time, report) of all routers for some seconds from now on."""
        made = []
        for _ in range(seconds):
            self.now_ms += WINDOW_MS
            for name, counter in self.counters.items():
                if name in silent:
                    continue
                for _ in range(100):
                    counter.count(5)
                for _ in range(50):
                    counter.count(exact("gear"))
                sender = Sender(name, str(self.incarnations[name]))
                report = counter.report(sender, SERVICE, [], self.now_ms)
                made.append((self.now_ms, decode(LoadReport, encode(report)).unwrap()))
        return made

    def restart(self, name):
        self.counters[name] = LoadCounter(BUCKETS, self.now_ms)
        self.incarnations[name] += 1

    def merge(self, reports):
        for arrival_ms, report in reports:
            self.merger.merge(report, arrival_ms)

    def snapshot(self):
        return self.merger.snapshot(self.now_ms)

    def hear(self, seconds):
        self.merge(self.reports(seconds))


def _grouped(reports, size, copies):
    """Reverse groups of reports; each group arrives when its last report was made."""
    for start in range(0, len(reports), size):
        group = reports[start : start + size]
        arrival = group[-1][0]
        for _, report in reversed(group):
            for _ in range(copies):
                yield arrival, report


def _deliver(scenario, delivery, seconds):
    if delivery == "with a restart of one router":
        scenario.hear(seconds // 2)
        scenario.restart("r0")
        scenario.hear(seconds - seconds // 2)
        return
    reports = scenario.reports(seconds)
    orders = {
        "in order": lambda: reports,
        "twice each": lambda: [entry for entry in reports for _ in range(2)],
        "in pairs of exchanged order": lambda: _grouped(reports, 6, 1),
        "twice each, in reversed groups of ten": lambda: _grouped(reports, 10, 2),
    }
    scenario.merge(orders[delivery]())


@given(
    "{count:d} routers that each count 100 requests/s on bucket 5 and 50 requests/s on the pin "
    '"gear"'
)
def step_routers(context, count):
    context.load = LoadScenario(count)


@when("their reports of {seconds:d} s arrive {delivery}")
def step_arrive(context, seconds, delivery):
    _deliver(context.load, delivery, seconds)


@when("one router is silent for {seconds:d} s while the others go on")
def step_silent(context, seconds):
    context.load.merge(context.load.reports(seconds, silent=("r0",)))


@then("bucket 5 is at {bucket:g} requests/s and the pin at {pin:g} requests/s, within 10%")
def step_rates(context, bucket, pin):
    snapshot = context.load.snapshot()
    measured = (snapshot.bucket_rates[5], snapshot.pin_rates[exact("gear")])
    assert abs(measured[0] / bucket - 1.0) <= 0.1, measured
    assert abs(measured[1] / pin - 1.0) <= 0.1, measured
    assert sum(snapshot.bucket_rates) == snapshot.bucket_rates[5]


@given("a merger that {history}")
def step_history(context, history):
    scenario = context.load = LoadScenario(1)
    if history == "has heard one router for 2 s":
        scenario.hear(2)
    elif history != "has heard nothing":
        scenario.hear(60)
    if history == "has heard nothing for the last 40 s":
        scenario.now_ms += 40_000


@then("its snapshot is {state}")
def step_state(context, state):
    age_ms = context.load.snapshot().age_ms
    expected = {"unknown": UNKNOWN_AGE_MS, "fresh": 0, "stale": 40_000}
    assert age_ms == expected[state], age_ms


@when("a report gives {value:g} for bucket {bucket:d}")
def step_malformed(context, value, bucket):
    unit = UnitId(kind=UnitKind.HASH_BUCKET, bucket=bucket)
    hot = UnitLoad(UnitId(kind=UnitKind.EXACT, key="gear"), value)
    report = LoadReport(Sender("r9", "1"), SERVICE, 1, 1000, [UnitLoad(unit, value)], [hot])
    context.before = list(context.load.snapshot().bucket_rates)
    context.load.merger.merge(report, context.load.now_ms)


@when("a report of 10 requests/s covers {window_ms:d} ms")
def step_window(context, window_ms):
    scenario = context.load
    unit = UnitId(kind=UnitKind.HASH_BUCKET, bucket=5)
    loads = [UnitLoad(unit, 10.0)]
    report = LoadReport(Sender("r9", "1"), SERVICE, 1, window_ms, loads, [])
    context.before = list(scenario.snapshot().bucket_rates)
    context.merged = scenario.merger.merge(report, scenario.now_ms)


@then("the report is refused and no rate changes")
def step_window_refused(context):
    assert context.merged is False
    assert list(context.load.snapshot().bucket_rates) == context.before


@then("all rates are finite and not negative")
def step_finite(context):
    snapshot = context.load.snapshot()
    rates = [*snapshot.bucket_rates, *(hot.requests_per_s for hot in snapshot.hot_keys)]
    assert all(math.isfinite(rate) and rate >= 0.0 for rate in rates), rates
    assert list(snapshot.bucket_rates) == context.before


def _pin_move(load, removes):
    return Move(exact("saw"), "s0", "s1", MoveReason.HOT_KEY_PINNED, load, removes)


@when('a plan that pins "saw" with 40 requests/s is written')
def step_pin(context):
    scenario = context.load
    # "saw" is a key of some bucket; give that bucket load first.
    bucket = context.bucket = Case(buckets=BUCKETS).bucket("saw")
    unit = UnitId(kind=UnitKind.HASH_BUCKET, bucket=bucket)
    report = LoadReport(Sender("r8", "1"), SERVICE, 1, 1000, [UnitLoad(unit, 2000.0)], [])
    scenario.merger.merge(report, scenario.now_ms)
    context.before = scenario.snapshot().bucket_rates[bucket]
    scenario.merger.apply([_pin_move(40.0, False)], scenario.now_ms)


@then("the pin has 40 requests/s and its bucket has 40 requests/s less")
def step_pinned(context):
    snapshot = context.load.snapshot()
    change = context.before - snapshot.bucket_rates[context.bucket]
    assert abs(snapshot.pin_rates[exact("saw")] - 40.0) < 1e-6, snapshot.pin_rates
    assert abs(change - 40.0) < 1e-6, change


@when("a plan that removes the pin is written")
def step_unpin(context):
    context.load.merger.apply([_pin_move(40.0, True)], context.load.now_ms)


@then("the bucket has its load back and no pin is left")
def step_unpinned(context):
    snapshot = context.load.snapshot()
    assert exact("saw") not in snapshot.pin_rates
    assert abs(snapshot.bucket_rates[context.bucket] - context.before) < 1e-6


@given("a router that counted {requests:d} requests on each of {buckets:d} buckets")
def step_many(context, requests, buckets):
    context.counter = LoadCounter(128, 0)
    for bucket in range(buckets):
        for _ in range(requests):
            context.counter.count(bucket)


@when("it makes {count:d} reports of at most {units:d} units")
def step_reports(context, count, units):
    sender = Sender("r0", "1")
    context.reports = [
        context.counter.report(sender, SERVICE, [], 1000 * (i + 1), units) for i in range(count)
    ]
    assert all(len(report.loads) <= units for report in context.reports)


@then("the reports hold {requests:d} requests of {buckets:d} buckets")
def step_complete(context, requests, buckets):
    loads = [
        (load.unit.bucket, load.requests_per_s * report.window_ms / 1000)
        for report in context.reports
        for load in report.loads
    ]
    assert round(sum(count for _, count in loads)) == requests, loads
    assert len({bucket for bucket, _ in loads}) == buckets
