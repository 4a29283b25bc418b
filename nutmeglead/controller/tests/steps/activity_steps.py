"""Steps for the measured activity of a controller, in virtual time."""

from collections import Counter
from types import SimpleNamespace

from behave import given, then, when
from prometheus_client import CollectorRegistry

from nutmeglead._generated.messages.ttypes import AuditKind
from nutmeglead.controller.activity import ServiceActivity
from nutmeglead.controller.metrics import ControllerMetrics
from nutmeglead.controller.tests.rig import SERVICE, ControllerRig
from nutmeglead.platform.memory import TableFault

VICTIM = "lb-01"
KEYS = [f"k{number}" for number in range(40)]
OLDEST = f'nutmeglead_unserved_oldest_seconds{{service="{SERVICE}"}}'


class ActivityScenario:
    """Observe a rig at each step and note how long its keys had no serving owner."""

    def __init__(self):
        self.rig = ControllerRig()
        self.activity = ServiceActivity()
        self.finished_ms = []
        self.gaps_ms = Counter()
        self._served_ms = {}
        report = self.rig.machine.on_suspect

        def on_suspect(message, now_ms):
            self.activity.on_suspect(message, now_ms)
            report(message, now_ms)

        self.rig.machine.on_suspect = on_suspect
        self.rig.file_ticket()
        self.run_ms(4000)
        self.activity.take_finished_ms()
        self.activity.moves.clear()
        self.rig.audit.clear()
        self.gaps_ms.clear()
        self.registry = CollectorRegistry()
        self.metrics = ControllerMetrics(self.registry)
        self.service = SimpleNamespace(
            name=SERVICE, machine=self.rig.machine, activity=self.activity
        )

    def run_ms(self, duration_ms):
        self.rig.run_ms(duration_ms, self._observe)

    def _observe(self):
        rig = self.rig
        self.activity.count(rig.machine.writer.take_written())
        self.activity.observe(rig.machine, rig.now_ms)
        for key, owners in rig.serving(KEYS).items():
            if any(answers for _, answers in owners):
                self._served_ms[key] = rig.now_ms
            elif key in self._served_ms:
                gap_ms = rig.now_ms - self._served_ms[key]
                self.gaps_ms[key] = max(self.gaps_ms[key], gap_ms)

    def table(self, fault):
        self.rig.table.fault = fault

    def freeze(self, server_id):
        self.rig.servers[server_id].is_frozen = True

    def happen(self, event):
        if event == "a planned move":
            self.rig.file_ticket(leaving=[VICTIM])
        elif event.startswith("a claimed key"):
            self.claim(event)
        elif event == "a frozen server in a table outage":
            self.freeze(VICTIM)
            self.table(TableFault.UNAVAILABLE)
            self.run_ms(2500)
            self.table(TableFault.NONE)
        else:
            self.freeze(VICTIM)
            if event == "a frozen server and its new owner":
                self.run_ms(900)
                self.freeze("lb-02")
        self.run_ms(4000)
        self.finished_ms = self.activity.take_finished_ms()
        for duration_ms in self.finished_ms:
            # The metrics take what has finished, too.
            self.activity._finished_ms.append(duration_ms)

    def claim(self, event):
        """Claim k1 for another server, with a late grant or while its owner still runs requests."""
        rig = self.rig
        found = rig.machine.placer.unit_map.locate("k1")
        first, second = [name for name in rig.servers if name != found.owner][:2]
        link = (rig.acting, first)
        if event.endswith("is late"):
            rig.cut.add(link)
        elif event.endswith("claimed again"):
            server = rig.servers[found.owner]
            clock_ms = rig.now_ms + server.clock_offset_ms
            ticket = server.holder.admit("k1", found.epoch, clock_ms).unwrap()
        rig.file_ticket(claims={"k1": first})
        if event == "a claimed key":
            return
        self.run_ms(1000)
        rig.cut.discard(link)
        if event.endswith("claimed again"):
            rig.file_ticket(claims={"k1": second})
            self.run_ms(500)
            server.holder.finish(ticket)

    def moved(self):
        return [r for r in self.rig.audit if r.kind == AuditKind.UNIT_MOVED]

    def update(self):
        self.metrics.update([self.service], 0, self.rig.now_ms)

    def value(self, metric):
        name, _, labels = metric.rstrip("}").partition("{")
        pairs = dict(pair.split("=") for pair in labels.split(","))
        return self.registry.get_sample_value(name, {k: v.strip('"') for k, v in pairs.items()})


@given("a placed service whose activity is observed")
def step_service(context):
    context.activity = ActivityScenario()


@when("a frozen server is not replaced for {duration_ms:d} ms because the table is down")
def step_outage(context, duration_ms):
    context.activity.freeze(VICTIM)
    context.activity.table(TableFault.UNAVAILABLE)
    context.activity.run_ms(duration_ms)
    context.activity.update()


@when("the table is up again for {duration_ms:d} ms")
def step_up(context, duration_ms):
    context.activity.table(TableFault.NONE)
    context.activity.run_ms(duration_ms)


@when("{event} happens")
def step_event(context, event):
    context.activity.happen(event)
    context.activity.update()


@when("the metrics are updated again")
def step_again(context):
    context.activity.update()


@when("the controller loses its role")
def step_lose(context):
    context.activity.service.machine = None
    context.activity.update()


@then(
    "each key without an owner was measured for at least that time and at most {excess_ms:d} ms more"
)
def step_measured(context, excess_ms):
    found = context.activity
    longest_ms = max(found.gaps_ms.values())
    measured_ms = max(found.finished_ms)
    assert longest_ms > 0 and found.finished_ms
    # A reply that was on its way when the server froze makes it heard up to 7 ms later.
    assert longest_ms - 10 <= measured_ms <= longest_ms + excess_ms, (longest_ms, measured_ms)


@then("all moves of the audit trail are counted, with the reasons {reasons}")
def step_reasons(context, reasons):
    found = context.activity
    names = {reason.name.lower() for reason in found.activity.moves}
    assert names == set(reasons.split(", ")), names
    assert sum(found.activity.moves.values()) == len(found.moved()) > 0


@then("the unit that waits longest has waited from {low_ms:d} to {high_ms:d} ms")
def step_oldest(context, low_ms, high_ms):
    shown = context.activity.value(OLDEST)
    assert low_ms <= shown * 1000 <= high_ms, shown


@then("no unit waits")
def step_none(context):
    context.activity.update()
    assert context.activity.value(OLDEST) == 0
    assert context.activity.value(f'nutmeglead_handover_seconds_count{{service="{SERVICE}"}}') > 0


@then("the metrics show units of lost servers")
def step_lost_units(context):
    found = context.activity
    owned = len(found.rig.machine.placer.unit_map.units_of(VICTIM))
    shown = found.value(f'nutmeglead_units_of_lost_servers{{service="{SERVICE}"}}')
    assert shown == owned > 0, (shown, owned)


@then("the metrics show")
def step_values(context):
    found = context.activity
    moves = float(len(found.moved()))
    assert moves > 0
    for row in context.table:
        expected = {"absent": None, "moves": moves}.get(row["value"], row["value"])
        shown = found.value(row["metric"])
        wanted = float(expected) if expected is not None else None
        assert shown == wanted, (row["metric"], shown, wanted)


@then("the imbalance is the load of the fullest server over the mean")
def step_imbalance(context):
    found = context.activity
    unit_map = found.rig.machine.placer.unit_map
    # Without measured load every bucket counts the same.
    counts = [len(unit_map.units_of(name)) for name in found.rig.servers if name != VICTIM]
    expected = max(counts) / (sum(counts) / len(counts))
    shown = found.value(f'nutmeglead_placement_imbalance{{service="{SERVICE}"}}')
    assert abs(shown - expected) < 1e-6, (shown, expected)
