"""Build plan requests and apply plans to them, for the planner's features."""

from array import array
from dataclasses import replace

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead._generated.settings.ttypes import PlacementSettings
from nutmeglead.placement.hashing import bucket_of
from nutmeglead.placement.model import (
    NO_OWNER,
    BucketClaim,
    HotKey,
    LoadSnapshot,
    MoveBudget,
    Pin,
    Placement,
    PlanRequest,
    ServerInfo,
    ServerStatus,
)


def exact(key):
    return Pin(UnitKind.EXACT, key)


def prefix(key):
    return Pin(UnitKind.PREFIX, key)


class Case:
    """Hold one service: 6 servers in 3 failure domains with 8 buckets of 10 requests/s each."""

    def __init__(self, servers=6, buckets=64, settings=None):
        self.servers = [ServerInfo(f"s{i}", f"d{i % 3}") for i in range(servers)]
        self.owners = array("i", [i % servers for i in range(buckets)])
        self.rates = array("d", [10.0] * buckets)
        self.pins = {}
        self.pin_rates = {}
        self.hot = {}
        self.age_ms = 0
        self.now_ms = 1_000_000
        self.settings = settings or PlacementSettings()
        self.bucket_claims = []
        self.pin_claims = {}
        self.recent = frozenset()
        self.budget = None

    def request(self):
        return PlanRequest(
            servers=tuple(self.servers),
            placement=Placement(array("i", self.owners), dict(self.pins)),
            load=LoadSnapshot(
                array("d", self.rates),
                dict(self.pin_rates),
                [HotKey(key, rate) for key, rate in self.hot.items()],
                self.age_ms,
            ),
            settings=self.settings,
            now_ms=self.now_ms,
            bucket_claims=tuple(self.bucket_claims),
            pin_claims=dict(self.pin_claims),
            recently_moved=self.recent,
            budget=self.budget,
        )

    def index(self, server_id):
        return [s.server_id for s in self.servers].index(server_id)

    def set_status(self, server_id, status):
        i = self.index(server_id)
        self.servers[i] = replace(self.servers[i], status=status)

    def join(self, server_id, since_ms):
        server = ServerInfo(server_id, "d0", ServerStatus.PRESENT, 1.0, since_ms)
        self.servers.append(server)

    def claim_bucket(self, first, last, server_id):
        self.bucket_claims.append(BucketClaim(first, last, server_id))

    def limit(self, policy_moves, ticket_moves):
        self.budget = MoveBudget(policy_moves, ticket_moves)

    def bucket(self, key):
        return bucket_of(key, len(self.owners))

    def owner_index(self, unit):
        """Look up an owner anew, by the rules of the design page and not by the planner's code."""
        if not isinstance(unit, Pin):
            return self._known(self.owners[unit])
        if unit in self.pins:
            return self._known(self.pins[unit])
        return self.enclosing_index(unit)

    def enclosing_index(self, pin):
        shorter = [
            other
            for other in self.pins
            if other.kind == UnitKind.PREFIX and other != pin and pin.key.startswith(other.key)
        ]
        if shorter:
            return self._known(self.pins[max(shorter, key=lambda other: len(other.key))])
        if pin.kind == UnitKind.PREFIX:
            return NO_OWNER
        return self._known(self.owners[self.bucket(pin.key)])

    def _known(self, index):
        return index if 0 <= index < len(self.servers) else NO_OWNER

    def id_of(self, index):
        return None if index == NO_OWNER else self.servers[index].server_id

    def owner(self, unit):
        return self.id_of(self.owner_index(unit))

    def apply(self, plan):
        """Apply moves one by one; each must begin where the unit is."""
        for move in plan.moves:
            assert move.from_server == self.owner(move.unit), (move, self.owner(move.unit))
            if move.removes_pin:
                self._remove_pin(move)
            elif not isinstance(move.unit, Pin):
                self.owners[move.unit] = self.index(move.to_server)
            else:
                if move.unit not in self.pins:
                    self._fill_new_pin(move)
                self.pins[move.unit] = self.index(move.to_server)

    def _remove_pin(self, move):
        pin = move.unit
        del self.pins[pin]
        assert move.to_server == self.id_of(self.enclosing_index(pin)), move
        rate = self.pin_rates.pop(pin, 0.0)
        outer = [p for p in self.pins if p.kind == UnitKind.PREFIX and pin.key.startswith(p.key)]
        if outer:
            longest = max(outer, key=lambda other: len(other.key))
            self.pin_rates[longest] = self.pin_rates.get(longest, 0.0) + rate
        elif pin.kind == UnitKind.EXACT:
            self.rates[self.bucket(pin.key)] += rate

    def _fill_new_pin(self, move):
        pin = move.unit
        inside = any(p.kind == UnitKind.PREFIX and pin.key.startswith(p.key) for p in self.pins)
        if pin.kind == UnitKind.EXACT and not inside:
            bucket = self.bucket(pin.key)
            rate = min(self.hot.get(pin.key, 0.0), self.rates[bucket])
            self.rates[bucket] -= rate
            self.pin_rates[pin] = rate

    def server_load(self, server_id):
        index = self.index(server_id)
        load = sum(r for o, r in zip(self.owners, self.rates, strict=True) if o == index)
        return load + sum(self.pin_rates.get(p, 0.0) for p, o in self.pins.items() if o == index)

    def units(self):
        return [*range(len(self.owners)), *self.pins]

    def live_ids(self):
        return {s.server_id for s in self.servers if s.status is ServerStatus.PRESENT}
