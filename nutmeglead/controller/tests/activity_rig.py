"""Observe a controller rig and measure independently what its activity and metrics say."""

from collections import Counter
from types import SimpleNamespace

from prometheus_client import CollectorRegistry

from nutmeglead._generated.messages.ttypes import AuditKind
from nutmeglead.controller.activity import ServiceActivity
from nutmeglead.controller.metrics import ControllerMetrics
from nutmeglead.controller.tests.rig import SERVICE, ControllerRig
from nutmeglead.platform.memory import TableFault

__all__ = ["OLDEST", "VICTIM", "ActivityScenario"]

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
