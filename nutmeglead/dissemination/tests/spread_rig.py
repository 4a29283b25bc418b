"""Run dissemination machines over a fake network for the spread scenarios."""

import random

from nutmeglead._generated.messages.ttypes import MessageType
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.dissemination.tests.fake_network import FakeNetwork
from nutmeglead.dissemination.tests.page_cases import SERVICE, make_page
from nutmeglead.platform.ports import VmEntry, VmState

DOMAINS = ["halle-a", "halle-b", "buero", "recife-a"]


class SpreadScenario:
    def __init__(self, node_count, domain_count, page_count=0, seed=1):
        self.network = FakeNetwork(seed, DisseminationSettings())
        self.rng = random.Random(seed)
        self.acting = "entry-00"
        self.domain_count = domain_count
        self.versions = {}
        self.published_ms = {}
        self.role_epoch = 1
        self.is_table_out = False
        for number in range(node_count):
            self.start(f"entry-{number:02d}")
        self.learn_vms()
        self.set_acting(self.acting)
        self.run(2000)
        for number in range(page_count):
            self.change(number)
        self.run(5000)

    @property
    def nodes(self):
        return self.network.nodes

    def start(self, node_id, incarnation="1"):
        domain = DOMAINS[int(node_id[-2:]) % self.domain_count]
        return self.network.add(node_id, domain, [SERVICE], incarnation)

    def restart(self, node_id):
        incarnation = self.nodes[node_id].machine.identity.incarnation
        self.network.stop(node_id)
        self.start(node_id, str(int(incarnation) + 1))
        self.learn_vms()

    def learn_vms(self):
        entries = [
            VmEntry(
                node_id,
                "entry",
                identity.rpc_address.ip,
                8083,
                identity.failure_domain,
                VmState.LIVE,
                "v",
            )
            for node_id, identity in ((n, v.machine.identity) for n, v in self.nodes.items())
        ]
        for node in self.nodes.values():
            node.machine.learn_vms(entries, int(self.network.now_ms))

    def set_acting(self, node_id):
        if self.acting in self.nodes:
            self.nodes[self.acting].machine.set_role(SERVICE, None)
        self.acting = node_id
        self.nodes[node_id].machine.set_role(SERVICE, self.role_epoch)
        self.role_epoch += 1

    def change(self, number=0):
        """Write the next version of a page and publish it on the acting node."""
        version = self.versions.get(number, 0) + 1
        self.versions[number] = version
        self.published_ms[number, version] = self.network.now_ms
        self.network.publish(self.acting, make_page(version, number=number))

    def run(self, duration_ms, until=None):
        """Run in steps; the acting node reads the table in each."""
        for _ in range(int(duration_ms // 250)):
            acting = self.nodes.get(self.acting)
            if acting and not acting.is_paused and not self.is_table_out:
                acting.machine.confirm(SERVICE, int(self.network.now_ms))
            self.network.run(250)
            self.check_ages()
            if until is not None and until():
                return True
        return until is None

    def versions_of(self, node):
        return {p.page_number: v for p, v in node.machine.copies[SERVICE].store.versions().items()}

    def is_converged(self):
        running = [node for node in self.nodes.values() if not node.is_paused]
        return all(self.versions_of(node) == self.versions for node in running)

    def check_ages(self):
        """A node that lacks a version must not claim to be younger than that version."""
        now_ms = int(self.network.now_ms)
        for node_id, node in self.nodes.items():
            age_ms = node.machine.age_ms(SERVICE, now_ms)
            held = self.versions_of(node)
            for (number, version), published_ms in self.published_ms.items():
                if age_ms is not None and held.get(number, 0) < version:
                    missed_ms = now_ms - published_ms
                    assert age_ms >= int(missed_ms), (node_id, age_ms, missed_ms)

    def check_forwards(self):
        for node_id, node in self.nodes.items():
            seen = {}
            for page in node.changed:
                assert page.version > seen.get(page.page_number, 0), (node_id, page)
                seen[page.page_number] = page.version

    def change_some(self, count=4, gap_ms=250):
        for step in range(count):
            self.change(step % 3)
            self.run(gap_ms)

    def tamper(self, edit):
        """Let `edit(delta) -> [(extra delay, message)]` replace each delta."""

        def replace(send):
            if send.message_type != MessageType.PAGE_DELTA:
                return [(0.0, send.message)]
            return edit(send.message)

        self.network.tamper = replace

    def relay(self, domain):
        key = f"{SERVICE}/False/0".encode()
        view = self.nodes[self.acting].machine._view
        return view.order(domain, key)[0]

    def is_in_domain(self, domain):
        return lambda identity: identity.failure_domain == domain

    def cut(self, is_inside):
        self.network.blocked = lambda a, b: is_inside(a) != is_inside(b)

    def heal(self):
        self.network.blocked = lambda a, b: False


__all__ = ["DOMAINS", "SpreadScenario"]
