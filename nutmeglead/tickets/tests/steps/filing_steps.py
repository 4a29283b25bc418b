"""Steps for filing tickets."""

from behave import given, then, when
from result import Err

from nutmeglead._generated.tickets.ttypes import ServerState
from nutmeglead.core.codec import encode
from nutmeglead.core.ids import RowKey
from nutmeglead.platform.errors import TableAnswerLost
from nutmeglead.platform.memory import MemoryTable, TableFault
from nutmeglead.platform.ports import RowWrite
from nutmeglead.tickets.filing import TicketFiling
from nutmeglead.tickets.items import claim_item_id
from nutmeglead.tickets.rows import HEAD_ROW, filing_row, item_row, read_desired, ticket_writes
from nutmeglead.tickets.tests.samples import SETTINGS, claim, name_result, run, server, ticket

APPLIED = TableFault.ANSWER_LOST_APPLIED
NOT_APPLIED = TableFault.ANSWER_LOST_NOT_APPLIED


class FaultyTable(MemoryTable):
    """Run hooks before reads of the head and commits, and delay or fail commits.

    `before_commit` and `before_head_read` hold one hook for each coming operation.
    A delayed commit loses its answer and is applied by `apply_delayed_commit`.
    """

    def __init__(self):
        super().__init__()
        self.before_commit = []
        self.before_head_read = []
        self.reads_fail_after_commit = False
        self.delay_next_commit = False
        self.delayed_commit = None

    async def read(self, key):
        if key == HEAD_ROW and self.before_head_read:
            await self.before_head_read.pop(0)()
        return await super().read(key)

    async def commit(self, checks, writes):
        if self.before_commit:
            await self.before_commit.pop(0)()
        if self.delay_next_commit:
            self.delay_next_commit = False
            self.delayed_commit = (checks, writes)
            return Err(TableAnswerLost("injected loss"))
        committed = await super().commit(checks, writes)
        if self.reads_fail_after_commit:
            self.fault = TableFault.UNAVAILABLE
        return committed

    async def apply_delayed_commit(self):
        delayed_commit, self.delayed_commit = self.delayed_commit, None
        if delayed_commit:
            await MemoryTable.commit(self, *delayed_commit)


class FilingScenario:
    def __init__(self):
        self.table = FaultyTable()
        self.ticket = None
        self.results = []
        self.writes_before = 0
        self.retry_waits = []

    def write_ticket(self, filed):
        """Write the rows of a numbered ticket without filing it."""
        for write in ticket_writes(filed):
            self.table._apply(write)

    def filing(self):
        async def wait_before_retry(attempt):
            self.retry_waits.append(attempt)
            await self.table.apply_delayed_commit()

        return TicketFiling(self.table, SETTINGS, wait_before_retry)

    def file(self, filed):
        self.writes_before = self.table.write_count
        self.ticket = filed
        self.results.append(run(self.filing().file(filed)))

    def ticket_count(self):
        rows = run(self._end_faults().scan("number/")).unwrap()
        return len(rows)

    def _end_faults(self):
        """Return the table after removing all injected faults."""
        self.table.fault = TableFault.NONE
        self.table.reads_fail_after_commit = False
        self.table.next_commit_faults = []
        return self.table

    def file_again(self):
        """File the last ticket again without faults, after any delayed commit was applied."""
        self._end_faults()
        run(self.table.apply_delayed_commit())
        return run(self.filing().file(self.ticket))

    async def accept_other(self, **items):
        """Write the next ticket of another operator, as filing it would."""
        others = len([key for key in self.table._rows if key.startswith("number/")])
        self.write_ticket(ticket(f"other-{others}", others, number=others + 1, **items))


def my_ticket(filing_id="mine", base=1):
    return ticket(filing_id, base, [server("lb-09")], [claim("lb-01", key="k-1")])


def arrange_late_commit_then_overlap(scenario):
    """Apply a delayed commit and accept an overlapping ticket in the middle of attempt 2."""

    async def apply_then_overlap():
        await scenario.table.apply_delayed_commit()
        await scenario.accept_other(servers=[server("lb-09", ServerState.LEAVING)])

    read = scenario.table.read
    reads_of_filing_row = []

    async def read_with_late_commit(key):
        found = await read(key)
        if key == filing_row("mine"):
            reads_of_filing_row.append(key)
            # The second attempt has just found the filing row absent.
            if len(reads_of_filing_row) == 2:
                await apply_then_overlap()
        return found

    scenario.filing = lambda: TicketFiling(scenario.table, SETTINGS, no_wait)
    scenario.table.read = read_with_late_commit
    scenario.table.delay_next_commit = True


def arrange_late_commit_then_outage(scenario):
    """Delay the first commit and make the table unavailable before the second attempt."""

    async def wait_before_retry(attempt):
        scenario.table.fault = TableFault.UNAVAILABLE

    scenario.table.delay_next_commit = True
    filing = TicketFiling(scenario.table, SETTINGS, wait_before_retry)
    scenario.filing = lambda: (
        filing if scenario.table.delay_next_commit else FilingScenario.filing(scenario)
    )


async def no_wait(attempt):
    return None


def set_commit_faults(*faults):
    def arrange(scenario):
        scenario.table.next_commit_faults = list(faults)

    return arrange


def set_commit_fault_then_outage(fault):
    def arrange(scenario):
        scenario.table.next_commit_faults = [fault]
        scenario.table.reads_fail_after_commit = True

    return arrange


def arrange_late_commit(scenario):
    scenario.table.delay_next_commit = True


def arrange_outage(scenario):
    scenario.table.fault = TableFault.UNAVAILABLE


def arrange_id_taken(scenario):
    """Lose the first commit, and file other content under its id before the second."""
    scenario.table.before_commit = [
        accept_nothing,
        lambda: write_other_content(scenario, server("lb-30")),
    ]
    scenario.table.next_commit_faults = [NOT_APPLIED]


async def write_other_content(scenario, item):
    scenario.write_ticket(ticket("mine", 1, [item], number=2))


async def accept_nothing():
    return None


FAULT_ARRANGEMENTS = {
    "nothing fails": lambda scenario: None,
    "the answer is lost and the commit applied": set_commit_faults(APPLIED),
    "the answer is lost and the commit not applied": set_commit_faults(NOT_APPLIED),
    "the answer is lost twice, first not applied": set_commit_faults(NOT_APPLIED, APPLIED),
    "the answer is lost and the commit applied before the next attempt": arrange_late_commit,
    "a late commit is followed by an overlapping ticket": arrange_late_commit_then_overlap,
    "the answer is lost, applied, and reads fail": set_commit_fault_then_outage(APPLIED),
    "the answer is lost, not applied, and reads fail": set_commit_fault_then_outage(NOT_APPLIED),
    "the answer is lost, applied late, and the retry finds an outage": arrange_late_commit_then_outage,
    "every answer is lost and no commit applied": set_commit_faults(*[NOT_APPLIED] * 8),
    "every answer is lost and only the last commit applied": set_commit_faults(
        *[NOT_APPLIED] * 7, APPLIED
    ),
    "the table is unavailable from the start": arrange_outage,
    "the table becomes unavailable at the commit": set_commit_faults(TableFault.UNAVAILABLE),
    "the answer is lost and the id is then taken by other content": arrange_id_taken,
}


@given("a table with a first ticket")
def step_first_ticket(context):
    context.filing = FilingScenario()
    context.filing.write_ticket(ticket("first", 0, [server("lb-01"), server("lb-02")], number=1))


@given("a table whose head is {head:d}")
def step_table_with_head(context, head):
    context.filing = FilingScenario()
    for number in range(1, head + 1):
        servers = [server("lb-01")] if number == 1 else [server(f"lb-{number % 200 + 20}")]
        context.filing.write_ticket(ticket(f"t-{number}", number - 1, servers, number=number))


@given("a ticket that makes {server_id} {state}")
def step_server_state(context, server_id, state):
    items = [server(server_id, ServerState[state.upper()])]
    context.filing.write_ticket(ticket("second", 1, items, number=2))


@given("the row {key} holds {content}")
def step_corrupt_row(context, key, content):
    value = context.filing.table._rows[RowKey(key)].value
    if content == "half of its bytes":
        value = value[: len(value) // 2]
    elif content == "no bytes":
        value = b""
    elif content == "a ticket without a number":
        value = encode(ticket("first"))
    else:
        value = encode(ticket("first", number=1))
    context.filing.table._apply(RowWrite(RowKey(key), value))


@given("the row {key} is deleted")
def step_delete_row(context, key):
    context.filing.table._apply(RowWrite(RowKey(key), None))


def lose_races(scenario, count):
    """Accept another disjoint ticket just before each of the next commits."""
    for position in range(count):
        other = [server(f"lb-{100 + position}")]
        scenario.table.before_commit.append(
            lambda other=other: scenario.accept_other(servers=other)
        )


@when(
    "a ticket is filed while {count:d} disjoint tickets are accepted, each just before its commit"
)
def step_lost_races(context, count):
    lose_races(context.filing, count)
    context.filing.file(my_ticket())


@when("the first answer is lost, not applied, and {count:d} further attempts each lose a race")
def step_lost_then_races(context, count):
    context.filing.table.next_commit_faults = [NOT_APPLIED]
    context.filing.table.before_commit = [accept_nothing]
    lose_races(context.filing, count)
    context.filing.file(my_ticket())


@when("a ticket is filed while an overlapping ticket is accepted just before its commit")
def step_overlapping_race(context):
    scenario = context.filing
    other = [server("lb-09", ServerState.LEAVING)]
    scenario.table.before_commit = [lambda: scenario.accept_other(servers=other)]
    scenario.file(my_ticket())


@when("a ticket based on 2 is filed while its id is taken by ticket 2 just before the head is read")
def step_id_taken_between(context):
    scenario = context.filing
    scenario.table.before_head_read = [lambda: write_other_content(scenario, server("lb-30"))]
    scenario.file(my_ticket(base=2))


@when("a ticket is filed while a second run files it just before the head is read")
def step_second_run(context):
    scenario = context.filing

    async def second_run():
        await TicketFiling(scenario.table, SETTINGS, no_wait).file(my_ticket())

    scenario.table.before_head_read = [second_run]
    scenario.file(my_ticket())


@when("a ticket is filed while its commit is lost and an overlapping ticket is then accepted")
def step_lost_then_overlap(context):
    scenario = context.filing
    other = [server("lb-09", ServerState.LEAVING)]
    scenario.table.next_commit_faults = [NOT_APPLIED]
    scenario.table.before_head_read = [accept_nothing, lambda: scenario.accept_other(servers=other)]
    scenario.file(my_ticket())


@when("a ticket is filed while {fault}")
def step_file(context, fault):
    scenario = context.filing
    FAULT_ARRANGEMENTS[fault](scenario)
    # With base 0, the conflict check also reads the first ticket.
    scenario.file(my_ticket(base=0))


@when("a ticket with base {base:d} is filed")
def step_file_base(context, base):
    context.filing.file(ticket("mine", base, [server("lb-09")]))


@when("a ticket with a claim on {server_id} is filed")
def step_file_claim(context, server_id):
    context.filing.file(ticket("mine", 2, claims=[claim(server_id, key="k-1")]))


@when("two operators file disjoint tickets with base 1")
def step_disjoint(context):
    context.filing.file(my_ticket())
    context.filing.file(ticket("theirs", 1, [server("lb-10")], [claim("lb-02", key="k-2")]))


@when("a ticket is filed twice with the same id")
def step_twice(context):
    context.filing.file(my_ticket())
    context.filing.file(my_ticket())


@when("a ticket is filed and then another with the same id")
def step_other_content(context):
    context.filing.file(my_ticket())
    context.filing.file(ticket("mine", 1, [server("lb-10")]))


@then("the result is {expected}")
def step_result(context, expected):
    assert name_result(context.filing.results[-1]) == expected, context.filing.results


@then("the results are {first} and {second}")
def step_results(context, first, second):
    found = [name_result(result) for result in context.filing.results]
    assert found == [first, second], found


@then("the second is reported as a repetition")
def step_repetition(context):
    assert [result.ok_value.repeated for result in context.filing.results] == [False, True]


@then("the table holds {count:d} tickets")
def step_ticket_count(context, count):
    assert context.filing.ticket_count() == count


@then("the refused ticket left no row")
def step_refused_left_no_row(context):
    rows = context.filing.table._rows
    assert filing_row("mine") not in rows
    assert item_row(claim_item_id(claim("lb-01", key="k-1"))) not in rows


@then("the conflict names {path} and {item} of ticket {number:d}")
def step_conflict(context, path, item, number):
    collision = context.filing.results[-1].err_value.collisions[0]
    found = (collision.path, collision.other_item, collision.other_number)
    assert found == (path.strip('"'), item.strip('"'), number), found


@then("the desired state has the servers of both")
def step_servers_of_both(context):
    state = run(read_desired(context.filing.table)).unwrap()
    assert state.number == 3
    assert {"lb-09", "lb-10"} <= set(state.service("lagerblick").servers)


@then(
    "filing it again once the table answers gives number {number:d}"
    " and the table then holds {count:d} tickets"
)
def step_file_again(context, number, count):
    scenario = context.filing
    again = scenario.file_again()
    assert name_result(again) == f"number {number}", again
    assert scenario.ticket_count() == count
