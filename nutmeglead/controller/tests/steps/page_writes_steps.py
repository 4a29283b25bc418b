"""Steps for page rows that conflict or cannot be read, and for moves that must wait."""

from behave import given, then, when

from nutmeglead._generated.common.ttypes import UnitKind
from nutmeglead._generated.messages.ttypes import AuditKind
from nutmeglead.controller.placer import PagePlacer
from nutmeglead.controller.tests.rig import run
from nutmeglead.core.codec import encode
from nutmeglead.ownership.keys import Unit, unit_from_id
from nutmeglead.ownership.pages import WriteStamp, page_key
from nutmeglead.ownership.units import Holder
from nutmeglead.placement.model import Move, MoveReason
from nutmeglead.platform.ports import Row, RowWrite

STAMP = WriteStamp(1, 1)
PAGE = page_key("x", False, 0)


def write_row(table, key, value):
    run(table.commit([], [RowWrite(key, value)])).unwrap()


@when('the first hash page in the table is {state} and server "{server}" is to leave')
def step_change_row(context, state, server):
    rig = context.recovery.rig
    key = page_key(rig.service, False, 0)
    context.row = run(rig.table.read(key)).unwrap()
    values = {"written by someone else": context.row.value, "unreadable": b"\xff"}
    if state in values:
        write_row(rig.table, key, values[state])
    rig.file_ticket(leaving=[server])


@then("the ticket is in force within 10 s: {expected}")
def step_in_force_within(context, expected):
    rig = context.recovery.rig
    took_ms = rig.run_until(rig.in_force, 10_000)
    assert (took_ms is not None) == (expected == "yes"), took_ms


@then("once the row is as before, every key is served and the ticket is in force")
def step_repaired(context):
    rig = context.recovery.rig
    if not rig.in_force():
        write_row(rig.table, context.row.key, context.row.value)
    context.recovery.settle()


@when('keys are claimed and server "{server}" leaves')
def step_claims(context, server):
    rig = context.recovery.rig
    rig.file_ticket(claims={"auftrag-1": "lb-01", "auftrag-3": "lb-02"})
    assert rig.run_until(rig.in_force, 5_000) is not None
    rig.file_ticket(leaving=[server])
    assert rig.run_until(rig.in_force, 5_000) is not None


@then("the last record of each moved unit names its epoch in the table")
def step_audit_epochs(context):
    rig = context.recovery.rig
    moved = {unit_from_id(r.unit): r for r in rig.audit if r.kind == AuditKind.UNIT_MOVED}
    assert {unit.kind for unit in moved} == {UnitKind.EXACT, UnitKind.HASH_BUCKET}
    unit_map = rig.acting().machine.placer.unit_map
    for unit, record in moved.items():
        assert record.epoch == unit_map.record(unit).epoch, (unit, record)


class PlacerScenario:
    """Hold a page of 4 buckets; bucket 0 goes from s0 to s1, s2 and so on, without any proof."""

    def __init__(self, move_count):
        self.placer, self.version = PagePlacer("x", 4), 0
        batch = self.placer.first_pages(["s0"] * 4, STAMP)
        self.first = self.take(batch)
        for number in range(move_count):
            batch = self.move([0], f"s{number + 1}")
            assert not batch.postponed, batch.postponed
            self.take(batch)

    def move(self, buckets, target):
        moves = [Move(b, None, target, MoveReason.TICKET_CLAIM, 1.0) for b in buckets]
        return self.placer.move(moves, STAMP, 10)

    def take(self, batch):
        self.version += 1
        row = Row(PAGE, self.version, encode(batch.edits[PAGE].page))
        assert self.placer.load_rows([row]) == []
        return row

    def record(self, bucket=0):
        return self.placer.unit_map.record(Unit.of_bucket(bucket))


@given("a hash page of 4 buckets whose bucket 0 has moved {count:d} times without any proof")
def step_page(context, count):
    context.page = PlacerScenario(count)


@when('buckets 0 and 1 are to move to "{target}"')
def step_move(context, target):
    context.batch = context.page.move([0, 1], target)


@then("the buckets {done} are moved and {postponed} are postponed")
def step_moved(context, done, postponed):
    batch = context.batch
    found = " ".join(str(move.unit) for move in batch.done)
    waiting = " ".join(str(move.unit) for move, _ in batch.postponed) or "none"
    assert (found, waiting) == (done, postponed), (found, waiting)
    context.page.take(batch)
    for bucket in range(2):
        owner = context.page.record(bucket).owner
        assert (owner == "s9") == (str(bucket) in done), (bucket, owner)


@when("the first previous holder of bucket 0 is cleared")
def step_clear(context):
    page = context.page
    context.before = page.record().previous
    proven = {Unit.of_bucket(0): {context.before[0]}}
    page.take(page.placer.clear(proven, STAMP, 10))


@then("only the other one is left")
def step_left(context):
    assert all(isinstance(holder, Holder) for holder in context.before)
    assert context.page.record().previous == context.before[1:], context.page.record()


@when("the row is read again as {row}")
def step_read(context, row):
    page = context.page
    read = page.first if row == "its first version" else Row(PAGE, page.version + 1, b"\xff")
    context.unreadable = page.placer.load_rows([read])


@then('the owner of bucket 0 is "{owner}" and the unreadable rows are {unreadable}')
def step_owner(context, owner, unreadable):
    assert context.page.record().owner == owner, context.page.record()
    assert (" ".join(context.unreadable) or "none") == unreadable, context.unreadable
