"""Act as a controller that moves units at random, for the runs in `model`."""

from result import Ok

from nutmeglead._generated.common.ttypes import Address, Sender
from nutmeglead._generated.messages.ttypes import PlacementPage, RoleRow, ServerRow
from nutmeglead._generated.settings.ttypes import OwnershipSettings
from nutmeglead.core.codec import decode, encode
from nutmeglead.ownership import pages, server_rows
from nutmeglead.ownership.commands import CommandFactory
from nutmeglead.ownership.handover import HandoverTable, Proof, SendRelease, Suspicion
from nutmeglead.ownership.units import Unit, UnitMap
from nutmeglead.platform.ports import RowCheck, RowWrite

SERVICE = "lagerblick"
BUCKETS = 8
SERVERS = ("s0", "s1", "s2")
NODES = ("n0", "n1", "n2", "n3")
KEYS = ("ord-1", "ord-2", "ord-22", "cut-1", "cut-2", "pat-7")
PINS = (Unit.of_key("ord-1"), Unit.of_key("cut-1"), Unit.of_prefix("ord"), Unit.of_prefix("ord-2"))
SETTINGS = OwnershipSettings()


def run(coroutine):
    """Finish a coroutine of the in-memory table, which never waits."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the in-memory table must not wait")


class Controller:
    """Act for the service: a small planner with random moves around pages and handover."""

    def __init__(self, node):
        self.node, self.world = node, node.world
        self.incarnations = {}
        self.sender = Sender(node.name, node.incarnation)
        self.stage = "idle"
        self.new_incarnations = {}

    def tick(self, now):
        rng = self.world.random
        if self.stage == "idle":
            if rng.random() < self.takeover_chance():
                self.take_role()
        elif self.stage == "taken":
            self.load(now)
        elif self.stage == "acting":
            self.act(now)

    def takeover_chance(self):
        """Stand in for the detection of a silent acting controller, which is sometimes wrong."""
        acting = any(
            not self.world.processes[name].is_paused()
            and self.world.processes[name].controller.stage != "idle"
            for name in NODES[:2]
        )
        return 0.002 * self.world.has_faults if acting else 0.05

    def take_role(self):
        key = pages.role_key(SERVICE)
        read = run(self.world.table.read(key))
        if not isinstance(read, Ok):
            return
        row = read.ok_value
        old_epoch = decode(RoleRow, row.value).unwrap().epoch if row else 0
        role = RoleRow(SERVICE, self.node.name, self.node.incarnation, old_epoch + 1)
        write = RowWrite(key, encode(role))
        check = RowCheck(key, row.version if row else 0)
        done = run(self.world.table.commit([check], [write]))
        if isinstance(done, Ok):
            self.role_epoch, self.role_version = role.epoch, done.ok_value[key]
            self.commands = CommandFactory(self.sender, SERVICE, role.epoch)
            self.stage, self.found_pages = "taken", None

    def load(self, now):
        """Read the pages, and later the rows, once the role is taken.

        The role is not read again, so a controller that is paused in between acts on old pages.
        """
        if self.world.random.random() < 0.8:
            return
        prefix = "server/" if self.found_pages is not None else "page/"
        found = run(self.world.table.scan(prefix))
        if not isinstance(found, Ok):
            return
        if self.found_pages is None:
            self.found_pages = found.ok_value
            return
        self.versions = {}
        self.pages, self.rows = {}, {}
        self.map = UnitMap(SERVICE, BUCKETS)
        self.handover = HandoverTable(SETTINGS)
        for row in self.found_pages:
            self.take_page(row.key, row.version, decode(PlacementPage, row.value).unwrap())
        for row in found.ok_value:
            self.take_row(row.key, row.version, decode(ServerRow, row.value).unwrap())
        self.handover.set_pending(self.map.pending())
        self.moved, self.needs_lease, self.acted_ms = set(), set(), now
        self.changed_ms = {}
        self.stage = "acting"

    def take_page(self, key, version, page):
        self.versions[key], self.pages[key] = version, page
        self.map.apply(page)

    def take_row(self, key, version, row):
        self.versions[key], self.rows[row.server_id] = version, row
        self.handover.set_server(row)

    def commit(self, value, key, take):
        role = RowCheck(pages.role_key(SERVICE), self.role_version)
        check = RowCheck(key, self.versions.get(key, 0))
        done = run(self.world.table.commit([role, check], [RowWrite(key, encode(value))]))
        if isinstance(done, Ok):
            take(key, done.ok_value[key], value)
            self.handover.set_pending(self.map.pending())
            return True
        reason = type(done.err_value).__name__
        # A conflict means that the role is lost; a lost answer, that everything is read again.
        self.stage = {"RowConflict": "idle", "TableAnswerLost": "taken"}.get(reason, self.stage)
        self.found_pages = None
        return False

    def write_page(self, result):
        if not isinstance(result, Ok):
            return
        page = result.ok_value
        self.commit(page, pages.page_key_of(page), self.take_page)

    def write_row(self, row):
        key = pages.server_key(SERVICE, row.server_id)
        return self.commit(row, key, self.take_row)

    def act(self, now):
        for step in (self.keep_leases, self.plan, self.clear, self.hand_over, self.grant):
            if self.stage == "acting":
                step(now)

    def stamp(self):
        return pages.WriteStamp(self.role_epoch, 0)

    def pin_page(self, unit):
        key = pages.page_key(SERVICE, *pages.page_of_unit(unit))
        empty = pages.empty_pin_page(SERVICE, pages.page_of_unit(unit)[1], self.stamp())
        return self.pages.get(key, empty)

    def plan(self, now):
        rng = self.world.random
        for server in sorted(self.moved):
            self.move_all(server)
        if not self.world.has_faults or rng.random() > 0.03:
            return
        if rng.random() < 0.1:
            # Most faults of a lapse show soon after a change of renewers.
            changed = [server for server in SERVERS if now - self.changed_ms.get(server, 0) < 500]
            self.evict(rng.choice(changed or SERVERS))
            return
        unit, owner = rng.choice(PINS), rng.choice(SERVERS)
        if rng.random() < 0.5:
            unit = Unit.of_bucket(rng.randrange(BUCKETS))
        known = self.map.record(unit)
        below = self.map.records_below(unit)
        if known is None:
            self.write_page(pages.add_unit(self.pin_page(unit), unit, owner, below, self.stamp()))
            return
        page = self.pages[pages.page_key(SERVICE, *pages.page_of_unit(unit))]
        if below and rng.random() < 0.5:
            if below[0].owner == known.owner:
                self.write_page(pages.remove_unit(page, unit, below, self.stamp()))
                return
            owner = below[0].owner
        self.write_page(pages.move_units(page, {unit: owner}, self.stamp()))

    def evict(self, server):
        """Take all units from a server whose lease has to be stopped, whether it is silent or not."""
        self.handover.require_lapse(server)
        self.world.burst_until = self.world.time_ms + 600
        self.moved.add(server)

    def move_all(self, server):
        others = [name for name in SERVERS if name not in self.moved]
        if self.stage != "acting" or not others:
            return
        for key, units in pages.pages_touched_by_loss(self.map, server).items():
            moves = {unit: self.world.random.choice(others) for unit in units}
            if self.stage == "acting":
                self.write_page(pages.move_units(self.pages[key], moves, self.stamp()))

    def clear(self, now):
        proven = self.handover.proven()
        if proven and self.world.random.random() < 0.05:
            key = pages.page_key(SERVICE, *pages.page_of_unit(next(iter(proven))))
            page = pages.clear_previous(self.pages[key], proven, self.stamp())
            self.write_page(Ok(page))

    def renewers(self):
        names = sorted(name for name in NODES if name in self.incarnations)
        chosen = self.world.random.sample(names, min(3, len(names)))
        return {name: self.incarnations[name] for name in chosen}

    def keep_leases(self, now):
        for server, row in list(self.rows.items()):
            if self.stage != "acting" or len(self.incarnations) < 3:
                return
            proof = self.handover.ended(server)
            incarnation = row.incarnation
            if proof is Proof.GONE:
                incarnation = self.new_incarnations.get(server, incarnation)
            stale = any(
                self.incarnations.get(name, incarnation_) != incarnation_
                for name, incarnation_ in zip(
                    row.current.node_ids, row.current.incarnations, strict=True
                )
            )
            swap = self.world.has_faults and self.world.random.random() < 0.004
            calm = now - self.changed_ms.get(server, 0) > 1000
            if proof or swap or server in self.needs_lease or (stale and calm):
                renewers = self.renewers()
                args = (incarnation, renewers, self.role_epoch, proof is not None)
                if self.write_row(server_rows.next_lease(row, *args)):
                    self.changed_ms[server] = now
                    self.moved.discard(server)
                    self.needs_lease.discard(server)

    def hand_over(self, now):
        for decision in self.handover.decide(now):
            if isinstance(decision, SendRelease):
                self.send_release(decision)
            else:
                message = self.commands.stop(decision)
                self.ask(
                    decision.node_id,
                    lambda node, m=message: node.renewer.stop(m, node.now_ms()),
                    lambda reply, now_: reply and self.handover.on_stopped(reply, now_),
                )

    def ask(self, target, handle, take):
        """Send a request whose reply reaches only this incarnation of the controller."""
        role_epoch = self.role_epoch

        def on_reply(node, reply):
            is_current = node.controller is self and self.stage == "acting"
            if is_current and role_epoch == self.role_epoch:
                take(reply, node.now_ms())

        def answer(process):
            reply = handle(process)
            self.world.send(process, self.node.name, lambda node: on_reply(node, reply))

        self.world.send(self.node, target, answer)

    def send_release(self, decision):
        message = self.commands.release(decision, self.map)
        self.ask(
            decision.server_id,
            lambda server: server.holder.begin_release(message, server.now_ms()),
            lambda reply, now: self.handover.on_release_reply(
                decision.server_id, message, reply, now
            ),
        )

    def grant(self, now):
        if now - self.acted_ms < 100:
            return
        self.acted_ms = now
        for server, row in self.rows.items():
            self.send_grants(server, row)
            for node in row.current.node_ids:
                message = self.commands.assign(row, Address("127.0.0.1", 1))
                self.ask(
                    node,
                    lambda n, m=message: n.renewer.assign(m, n.now_ms()),
                    lambda reply, now_, s=server: self.on_assigned(s, reply),
                )

    def send_grants(self, server, row):
        message = self.commands.grants(row, self.map, self.handover)
        self.ask(
            server,
            lambda process: process.holder.set_grants(message, process.now_ms()),
            lambda reply, now: self.on_granted(server, reply),
        )

    def on_assigned(self, server, reply):
        if self.handover.on_assign_reply(server, reply) is Suspicion.LEASE_ENDED:
            self.needs_lease.add(server)

    def on_granted(self, server, reply):
        row = self.rows[server]
        if row.former and server_rows.is_confirmed(row, reply):
            self.write_row(server_rows.confirm_lease(row))

    def on_suspect(self, message, now):
        if self.stage != "acting":
            return
        suspicion = self.handover.on_suspect(message, now)
        if suspicion is Suspicion.RESTARTED:
            self.new_incarnations[message.server_id] = message.holder_incarnation
        elif suspicion is Suspicion.LEASE_ENDED:
            self.needs_lease.add(message.server_id)
        elif suspicion is Suspicion.SILENT:
            self.evict(message.server_id)
