"""Steps for the audit buffer and trail."""

import asyncio

from behave import given, then, when
from result import Err

from nutmeglead._generated.common.ttypes import Sender, UnitId, UnitKind
from nutmeglead._generated.messages.ttypes import AuditKind
from nutmeglead._generated.settings.ttypes import AuditSettings
from nutmeglead._generated.tickets.ttypes import Ticket
from nutmeglead.audit import records
from nutmeglead.audit.buffer import AuditBuffer
from nutmeglead.audit.records import AuditContext, LostRange
from nutmeglead.audit.trail import read_trail
from nutmeglead.core.clock import ManualClock
from nutmeglead.platform.errors import ObjectStoreUnavailable
from nutmeglead.platform.memory import MemoryObjectStore


class RecordingStore(MemoryObjectStore):
    """Note every body put under a name, and lose answers on demand."""

    def __init__(self):
        super().__init__()
        self.bodies = {}
        self.lose_next_answer = False
        self.puts_left = None

    async def put(self, name, body):
        await asyncio.sleep(0)
        if self.puts_left is not None:
            self.available = self.puts_left > 0
            self.puts_left -= 1
        if self.available:
            self.bodies.setdefault(name, set()).add(body)
        done = await super().put(name, body)
        if self.lose_next_answer:
            self.lose_next_answer = False
            return Err(ObjectStoreUnavailable("injected loss"))
        return done


class AuditScenario:
    def __init__(self, room, batch):
        self.store = RecordingStore()
        self.clock = ManualClock(1_000)
        self.settings = AuditSettings(buffer_max_records=room, batch_max_records=batch)
        self.written = []
        self.start("1")

    def start(self, incarnation):
        self.sender = Sender("entry-1", incarnation)
        self.buffer = AuditBuffer(self.store, self.settings, self.sender, self.clock)

    def context(self):
        return AuditContext(self.sender, self.clock.wall_ms(), "lagerblick", 3, 4)

    def write(self, count):
        for _ in range(count):
            self.clock.advance(1)
            self.buffer.append(records.server_leaving(self.context(), "lb-01", "ticket 4"))

    def flush(self):
        return asyncio.run(self.buffer.flush())

    def close(self):
        self.store.available = True
        self.store.puts_left = None
        asyncio.run(self.buffer.close()).unwrap()

    def trail(self):
        return asyncio.run(read_trail(self.store)).unwrap()


@given("a buffer for {room:d} records in batches of {batch:d}")
def step_buffer(context, room, batch):
    context.audit = AuditScenario(room, batch)


@when(
    "the object store is down for {seconds:d} s while 2 records are written per second and flushed"
)
def step_hour(context, seconds):
    context.audit.store.available = False
    for _ in range(seconds):
        context.audit.write(2)
        assert isinstance(context.audit.flush(), Err)


@when("the object store is down while {count:d} records are written")
def step_down(context, count):
    context.audit.store.available = False
    context.audit.write(count)


@when("one batch is put before the object store is down again")
def step_one_batch(context):
    context.audit.store.puts_left = 1
    assert isinstance(context.audit.flush(), Err)


@when("{count:d} records are written")
def step_write(context, count):
    context.audit.write(count)


@when("{count:d} records are written and flushed")
def step_write_flush(context, count):
    context.audit.write(count)
    assert context.audit.flush().unwrap() == count


@when("{count:d} records are written and flushed twice at the same moment")
def step_flush_twice(context, count):
    context.audit.write(count)

    async def flush_twice():
        await asyncio.gather(context.audit.buffer.flush(), context.audit.buffer.flush())

    asyncio.run(flush_twice())


@when("{count:d} records are written and their put takes effect without an answer")
def step_lost_answer(context, count):
    context.audit.write(count)
    context.audit.store.lose_next_answer = True
    assert isinstance(context.audit.flush(), Err)


@when("the object store answers and the buffer is closed")
def step_close(context):
    context.audit.close()


@when("the process restarts, writes {count:d} records and is closed")
def step_restart(context, count):
    context.audit.start("2")
    context.audit.write(count)
    context.audit.close()


@when("the buffer is closed and {damage}")
def step_damage(context, damage):
    context.audit.close()
    objects = context.audit.store.objects
    batches = sorted(name for name in objects if name.endswith(".jsonl"))
    if damage == "the first batch is deleted":
        del objects[batches[0]]
    elif damage == "the second batch is deleted":
        del objects[batches[1]]
    elif damage == "the last batch is deleted":
        del objects[batches[-1]]
    elif damage == "the second batch is cut in half":
        body = objects[batches[1]]
        objects[batches[1]] = body[: len(body) // 2 + 3]
    elif damage == "the end is emptied":
        objects[next(name for name in objects if name.endswith("end.json"))] = b""
    else:
        objects["audit/strange"] = b""


@when("one record of every kind is written and the buffer is closed")
def step_every_kind(context):
    scenario = context.audit
    common, unit = scenario.context(), UnitId(kind=UnitKind.EXACT, key='k "1"\u2028ö')
    ticket = Ticket(filing_id="f", base_number=0, filed_by="op", reason="//r")
    scenario.written = [
        records.ticket_accepted(common, ticket),
        records.role_taken(common, "silent for 1500 ms"),
        records.unit_moved(common, unit, "lb-01", "lb-02", 7, "claim"),
        records.lease_ended(common, "lb-01", 2, "stopped"),
        records.lease_begun(common, "lb-01", 3, "new"),
        records.handover_proven(common, unit, "lb-01", 6, "released"),
        records.server_leaving(common, "lb-01", "ticket 4"),
        records.records_lost(common, LostRange(0, 0), "test"),
        records.ticket_in_force(common, "12 nodes"),
    ]
    for record in scenario.written:
        scenario.buffer.append(record)
    scenario.close()


@then("the trail holds them with equal fields")
def step_equal(context):
    found = context.audit.trail().records
    assert found == context.audit.written, found
    assert {record.kind for record in found} == set(AuditKind)


@then("the trail holds records {first:d} to {last:d} in order")
def step_order(context, first, last):
    found = [record.sequence for record in context.audit.trail().records]
    assert found == list(range(first, last + 1)), found


@then("nothing is missing")
def step_nothing(context):
    assert context.audit.trail().missing == []


@then("the trail holds {count:d} records and the gaps {gaps}")
def step_gaps(context, count, gaps):
    found = context.audit.trail().records
    named = [record.subject for record in found if record.kind == AuditKind.GAP]
    assert len(found) == count and (", ".join(named) or "none") == gaps, (len(found), named)


@then('the missing records include "{text}"')
def step_include(context, text):
    missing = [str(part) for part in context.audit.trail().missing]
    assert any(text in part for part in missing), missing


@then("the missing records are {text}")
def step_missing(context, text):
    missing = [str(part) for part in context.audit.trail().missing]
    expected = [] if text == "none" else [f"entry-1 (1): {text}"]
    assert missing == expected, missing


@then("no record is in two objects, and each object was put with one body only")
def step_one_body(context):
    lines = b"".join(body for body in context.audit.store.objects.values()).splitlines()
    assert len(lines) == len(set(lines)), "a record is in two objects"
    assert all(len(bodies) == 1 for bodies in context.audit.store.bodies.values())


@then("reading the trail gives ObjectStoreUnavailable")
def step_read_outage(context):
    read = asyncio.run(read_trail(context.audit.store))
    assert isinstance(read.err_value, ObjectStoreUnavailable), read


@when("a record without a wall time is written at {time:d} ms and the buffer is closed")
def step_no_time(context, time):
    scenario = context.audit
    scenario.clock.advance(time - scenario.clock.now_ms())
    without = AuditContext(scenario.sender, 0, "lagerblick")
    scenario.buffer.append(records.server_leaving(without, "lb-01", "ticket 4"))
    scenario.close()


@then("the trail holds one record of {time:d} ms")
def step_one_record(context, time):
    assert [record.wall_time_ms for record in context.audit.trail().records] == [time]
