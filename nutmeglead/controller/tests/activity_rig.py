"""Observe a controller rig and compare its activity and metrics with what the servers serve."""

from types import SimpleNamespace

from prometheus_client import CollectorRegistry

from nutmeglead._generated.messages.ttypes import AuditKind
from nutmeglead.controller.activity import ServiceActivity
from nutmeglead.controller.metrics import ControllerMetrics
from nutmeglead.controller.tests.rig import ControllerRig, RigOptions
from nutmeglead.platform.memory import TableFault

__all__ = ["OLDEST", "SERVICE", "VICTIM", "ActivityScenario"]

SERVICE = "lagerblick"
VICTIM = "lb-01"
CLAIMED = "auftrag-1"
OBSERVE_MS = 5
OLDEST = f'nutmeglead_unserved_oldest_seconds{{service="{SERVICE}"}}'


class ActivityScenario:
    """Run a placed service and observe the acting controller every few ms of virtual time."""

    def __init__(self):
        self.rig = ControllerRig(RigOptions(key_count=40))
        self.activity = ServiceActivity()
        self.finished_ms = []
        self.event_ms = 0
        self._machine = None
        self.registry = CollectorRegistry()
        self.metrics = ControllerMetrics(self.registry)
        for node in self.rig.nodes.values():
            self._listen(node)
        self._observe()
        self.rig.file_ticket()
        self.run_ms(8000)
        assert not self.rig.checks.unserved()
        self.activity.take_finished_ms()
        self.activity.moves.clear()
        self.rig.audit.clear()
        self.event_ms = self.rig.now_ms

    def _listen(self, node):
        report = node.on_suspect

        def on_suspect(message):
            if node.machine is not None:
                self.activity.on_suspect(message, node.clock_ms())
            report(message)

        node.on_suspect = on_suspect

    def _observe(self):
        rig = self.rig
        rig.network.at(rig.now_ms + OBSERVE_MS, self._observe)
        acting = rig.acting()
        if acting is None or not acting.is_running:
            return
        if acting.machine is not self._machine:
            self._machine = acting.machine
            self.activity.begin()
        self.activity.count(acting.machine.writer.take_written())
        self.activity.observe(acting.machine, acting.clock_ms())

    def run_ms(self, duration_ms):
        self.rig.run_ms(duration_ms)

    def table(self, fault):
        self.rig.table.fault = fault

    def freeze(self, server_id):
        self.rig.servers[server_id].is_paused = True

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
        # The metrics take what has finished, too.
        self.activity._finished_ms.extend(self.finished_ms)

    def claim(self, event):
        """Claim a key for another server, with a late grant or while its owner runs a request."""
        rig, domain = self.rig, self.rig.acting().domain
        found = rig.acting().machine.placer.unit_map.locate(CLAIMED)
        others = [s for s in rig.servers.values() if s.name != found.owner]
        first = next(server for server in others if server.domain != domain)
        second = next(server for server in others if server is not first)
        rig.file_ticket(claims={CLAIMED: first.name})
        if event.endswith("is late"):
            rig.at_step("before", "release", lambda: rig.network.cut(domain, [first.domain]))
        elif event.endswith("claimed again"):
            owner = rig.servers[found.owner]
            ticket = owner.holder.admit(CLAIMED, found.epoch, owner.clock_ms()).unwrap()
        if event == "a claimed key":
            return
        self.run_ms(1300)
        rig.network.cut_domains.clear()
        if event.endswith("claimed again"):
            rig.file_ticket(claims={CLAIMED: second.name})
            self.run_ms(1000)
            owner.holder.finish(ticket)

    def longest_gap_ms(self):
        """Return the longest time without an owner since the event, as the servers show it."""
        return self.rig.checks.longest_gap_ms(self.event_ms)

    def moved(self):
        return [r for r in self.rig.audit if r.kind == AuditKind.UNIT_MOVED]

    def update(self, is_acting=True):
        acting = self.rig.acting()
        machine = acting.machine if is_acting else None
        service = SimpleNamespace(name=SERVICE, machine=machine, activity=self.activity)
        self.metrics.update([service], 0, acting.clock_ms())

    def value(self, metric):
        name, _, labels = metric.rstrip("}").partition("{")
        pairs = dict(pair.split("=") for pair in labels.split(","))
        return self.registry.get_sample_value(name, {k: v.strip('"') for k, v in pairs.items()})
