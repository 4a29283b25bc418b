"""Hold one dissemination machine with members for the scenarios of single nodes."""

import random

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import (
    Acknowledged,
    DigestReply,
    MessageType,
    PageChanges,
)
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.codec import decode, encode
from nutmeglead.dissemination.deltas import make_delta
from nutmeglead.dissemination.fanout import MAX_HOPS
from nutmeglead.dissemination.machine import DisseminationMachine
from nutmeglead.dissemination.members import Identity
from nutmeglead.dissemination.tests.page_cases import SERVICE, make_page
from nutmeglead.platform.ports import VmEntry, VmState

ADDRESS = Address("10.0.0.1", 8083)


def vm_entries(node_ids):
    return [
        VmEntry(
            n, "entry", "10.0.0.1", 8083, ["halle-a", "halle-b"][int(n[-2:]) % 2], VmState.LIVE, "v"
        )
        for n in node_ids
    ]


class NodeScenario:
    def __init__(self, holds_page=True, feeder=None):
        # Digests are off unless a scenario asks for them: they would repair every other fault too.
        self.configured = DisseminationSettings(digest_interval_ms=10**9, fanout=1)
        identity = Identity("entry-00", "1", "halle-a", ADDRESS)
        self.now_ms = 1_000_000
        self.node = DisseminationMachine(
            identity, self.configured, [SERVICE], random.Random(4), self.now_ms, feeder
        )
        self.node.learn_vms(vm_entries(f"entry-{n:02d}" for n in range(9)), self.now_ms)
        self.pages = {version: make_page(version) for version in (1, 2, 3)}
        self.copy = self.node.copies[SERVICE]
        if holds_page:
            self.copy.put(self.pages[1])
        # The predecessor in the tree: its only child is this node.
        order = self.node._view.order("halle-a", f"{SERVICE}/False/0".encode())
        self.sender_id = order[order.index("entry-00") - 1]
        self.sends = []

    def delta(self, text):
        low, high = int(text.split()[0]), int(text.split()[2])
        sender = Sender(self.sender_id, "1")
        delta = make_delta(self.pages.get(low), self.pages[high], sender, MAX_HOPS - 1)
        if text.endswith("altered"):
            changes = decode(PageChanges, delta.changes).unwrap()
            changes.page_digest += 1
            delta.changes = encode(changes)
        if text.endswith("corrupt"):
            delta.changes = delta.changes[:-4] + b"\x15" + delta.changes[-3:]
        return delta

    def receive(self, text):
        for part in text.split(", "):
            if part.startswith("p"):
                kind, version = part.split()
                take = self.copy.put if kind == "page" else self.copy.originate
                take(self.pages[int(version)])
                continue
            self.sends += self.node.handle_delta(self.delta(part), self.now_ms)[1]

    def of_type(self, message_type, sends=None):
        return [
            s for s in (self.sends if sends is None else sends) if s.message_type == message_type
        ]

    def tick(self):
        self.now_ms += 500
        return self.node.tick(self.now_ms)

    def tick_alive(self):
        """Tick while every member answers heartbeats."""
        sends = self.tick()
        for send in self.of_type(MessageType.HEARTBEAT, sends):
            reply = Acknowledged(Sender(send.node_id, "1"), 1)
            self.node.settle(send, reply, self.now_ms)
        return sends

    def compare(self, digest, versions, age_ms):
        """Answer a comparison 500 ms after it was sent."""
        target = self.node._peer("entry-03")
        send = self.node._compare(SERVICE, target, self.now_ms)[0]
        self.now_ms += 500
        reply = DigestReply(Sender("entry-03", "1"), SERVICE, digest, versions, age_ms)
        return self.node.settle(send, reply, self.now_ms)


__all__ = ["ADDRESS", "NodeScenario", "vm_entries"]
