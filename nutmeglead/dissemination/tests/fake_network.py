"""Connect dissemination machines in virtual time, with delays, losses, pauses and partitions."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from nutmeglead._generated.common.ttypes import Address
from nutmeglead._generated.messages.ttypes import MessageType
from nutmeglead._generated.settings.ttypes import DisseminationSettings
from nutmeglead.core.codec import encode
from nutmeglead.dissemination.machine import DisseminationMachine
from nutmeglead.dissemination.members import Identity

# Length prefix (4 bytes) and envelope (type, request id, reply flag, body length, stop).
FRAME_BYTES = 16


@dataclass
class FakeNode:
    """Hold one machine and what its process did."""

    machine: DisseminationMachine
    is_running: bool = True
    paused: list = field(default_factory=list)
    is_paused: bool = False
    sent_bytes: Counter = field(default_factory=Counter)
    received_bytes: Counter = field(default_factory=Counter)
    changed: list = field(default_factory=list)
    changed_ms: dict = field(default_factory=dict)
    notices: list = field(default_factory=list)


class FakeNetwork:
    """Deliver calls between machines; a lost call or reply ends in the caller's timeout."""

    def __init__(self, seed, settings=None, delay=None, loss=0.0, count_bytes=False):
        self.rng = random.Random(seed)
        self.settings = settings or DisseminationSettings()
        self.now_ms = 1000.0
        self.nodes = {}
        self.loss = loss
        self.count_bytes = count_bytes
        self.blocked = lambda a, b: False
        # Returns the messages that arrive in place of one, with extra delays in ms.
        self.tamper = lambda send: [(0.0, send.message)]
        self._delay = delay or (lambda a, b, rng: 4.0)
        self._queue = []
        self._order = itertools.count()

    # ---- nodes ----

    def add(self, node_id, domain, services, incarnation="1", feeder=None, passive_of=None):
        ip = f"10.{len(node_id) % 250}.{sum(map(ord, node_id)) % 250}.1"
        identity = Identity(node_id, incarnation, domain, Address(ip, 8083))
        rng = random.Random(self.rng.random())
        machine = DisseminationMachine(
            identity, self.settings, services, rng, int(self.now_ms), feeder
        )
        node = FakeNode(machine)
        self.nodes[node_id] = node
        self._at(self.rng.uniform(0, self.settings.heartbeat_interval_ms), self._tick, node)
        return node

    def stop(self, node_id):
        self.nodes.pop(node_id).is_running = False

    def pause(self, node_id):
        self.nodes[node_id].is_paused = True

    def resume(self, node_id):
        node = self.nodes[node_id]
        node.is_paused = False
        waiting, node.paused = node.paused, []
        for action, arguments in waiting:
            action(*arguments)

    def publish(self, node_id, page):
        node = self.nodes[node_id]
        self._dispatch(node, node.machine.publish(page, int(self.now_ms)))

    # ---- time ----

    def run(self, duration_ms, until=None):
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
            if until is not None and until():
                return True
        self.now_ms = end_ms
        return False

    def _at(self, delay_ms, action, *arguments):
        entry = (self.now_ms + delay_ms, next(self._order), action, arguments)
        heapq.heappush(self._queue, entry)

    def _on(self, node, action, *arguments):
        """Run an action of a process now, when it resumes, or never."""
        if not node.is_running:
            return
        if node.is_paused:
            node.paused.append((action, arguments))
        else:
            action(*arguments)

    def _tick(self, node):
        if node.is_running:
            self._on(node, self._tick_now, node)

    def _tick_now(self, node):
        self._dispatch(node, node.machine.tick(int(self.now_ms)))
        self._at(self.settings.heartbeat_interval_ms, self._tick, node)

    # ---- calls ----

    def _dispatch(self, node, sends):
        self._collect(node)
        for send in sends:
            state = {"settled": False}
            self._at(send.timeout_ms, self._settle, node, send, None, state)
            target = self.nodes.get(send.node_id)
            for extra_ms, message in self.tamper(send):
                self._count(node.sent_bytes, send.message_type, message)
                if target is not None and self._arrives(node, target):
                    delay_ms = self._delay_ms(node, target) + extra_ms
                    arguments = (node, target, send, message, state)
                    self._at(delay_ms, self._on, target, self._deliver, *arguments)

    def _deliver(self, node, target, send, message, state):
        self._count(target.received_bytes, send.message_type, message)
        machine, now_ms = target.machine, int(self.now_ms)
        sends = []
        if send.message_type == MessageType.HEARTBEAT:
            reply = machine.handle_heartbeat(message, now_ms)
        elif send.message_type == MessageType.PAGE_DELTA:
            reply, sends = machine.handle_delta(message, now_ms)
        elif send.message_type == MessageType.DIGEST:
            reply = machine.handle_digest(message, now_ms)
        else:
            reply = machine.handle_pages(message, now_ms)
        self._count(target.sent_bytes, "reply", reply)
        self._dispatch(target, sends)
        if self._arrives(target, node):
            delay_ms = self._delay_ms(target, node)
            self._at(delay_ms, self._on, node, self._settle, node, send, reply, state)

    def _settle(self, node, send, reply, state):
        if state["settled"] or not node.is_running:
            return
        if node.is_paused:
            node.paused.append((self._settle, (node, send, reply, state)))
            return
        state["settled"] = True
        self._count(node.received_bytes, "reply", reply)
        self._dispatch(node, node.machine.settle(send, reply, int(self.now_ms)))

    def _arrives(self, source, target):
        ends = (source.machine.identity, target.machine.identity)
        return not self.blocked(*ends) and self.rng.random() >= self.loss

    def _delay_ms(self, source, target):
        a, b = source.machine.identity, target.machine.identity
        return self._delay(a.failure_domain, b.failure_domain, self.rng)

    def _count(self, counter, kind, message):
        if self.count_bytes and message is not None:
            counter[kind] += len(encode(message)) + FRAME_BYTES

    def _collect(self, node):
        for page in node.machine.take_changed():
            node.changed.append(page)
            node.changed_ms[page.page_number, page.version] = self.now_ms
        node.notices += node.machine.take_notices()
