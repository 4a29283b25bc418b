"""Deliver events in virtual time between processes that pause, die and are cut off."""

import heapq
import itertools

from nutmeglead._generated.settings.ttypes import OwnershipSettings

DRIFT_PPM = OwnershipSettings().clock_drift_ppm
TABLE = "table"


class Process:
    """Have an own clock, of any origin and within the drift bound; keep messages while paused."""

    def __init__(self, network, name, domain):
        self.network, self.name, self.domain = network, name, domain
        self.origin_ms = network.rng.randrange(10_000, 1_000_000)
        self.rate = 1 + network.rng.choice((-1, 0, 1)) * DRIFT_PPM / 1e6
        self.is_paused = self.is_dead = False
        self.life = 1
        self.inbox = []
        network.processes[name] = self

    def clock_ms(self):
        return int(self.origin_ms + self.network.now_ms * self.rate)

    @property
    def incarnation(self):
        return f"{self.name}#{self.life}"

    @property
    def is_running(self):
        return not (self.is_paused or self.is_dead)

    def resume(self):
        self.is_paused = False
        waiting, self.inbox = self.inbox, []
        for action in waiting:
            action()

    def new_life(self):
        """Start again with empty memory; what waited for the earlier life is lost."""
        self.life += 1
        self.inbox = []
        self.is_paused = self.is_dead = False


class Network:
    """Run events in order of time and apply the faults of links."""

    def __init__(self, rng, one_way_ms):
        self.rng, self.one_way_ms = rng, one_way_ms
        self.now_ms = 1_000
        self.processes = {}
        self.cut_domains = set()
        self.cut_links = set()  # pairs of processes; heartbeats take other ways
        self.loss = self.doubling = self.lateness = 0.0
        self._queue, self._order = [], itertools.count()

    def at(self, time_ms, action):
        heapq.heappush(self._queue, (time_ms, next(self._order), action))

    def run_until(self, end_ms):
        queue = self._queue
        while queue and queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(queue)
            action()
        self.now_ms = end_ms

    def is_cut(self, source, target):
        return self.is_domain_cut(source, target) or frozenset((source, target)) in self.cut_links

    def is_domain_cut(self, source, target):
        return frozenset((self._domain(source), self._domain(target))) in self.cut_domains

    def cut(self, domain, others):
        self.cut_domains |= {frozenset((domain, other)) for other in others if other != domain}

    def send(self, source, target, action):
        """Deliver to a process or the table after the one-way delay, once, twice or never."""
        for _ in range(self._copies(source, target)):
            delay_ms = self.one_way_ms + self.rng.randrange(3)
            if self.rng.random() < self.lateness:
                delay_ms += self.rng.randrange(600)
            self.at(self.now_ms + delay_ms, lambda: self.deliver(target, action))

    def deliver(self, target, action):
        process = self.processes.get(target)
        if process is None or process.is_running:
            action()
        elif process.is_paused and not process.is_dead:
            process.inbox.append(action)

    def _copies(self, source, target):
        if self.is_cut(source, target):
            return 0
        if TABLE in (source, target):
            return 1
        if self.rng.random() < self.loss:
            return 0
        return 2 if self.rng.random() < self.doubling else 1

    def _domain(self, name):
        return TABLE if name == TABLE else self.processes[name].domain


__all__ = ["TABLE", "Network", "Process"]
