"""Steps for the contract of the TableStore port, which every adapter has to keep."""

import asyncio

from behave import given, then, when
from result import Err, Ok

from nutmeglead.core.ids import RowKey
from nutmeglead.platform.ports import RowCheck, RowWrite
from nutmeglead.platform.tests.adapters import (
    MemoryTableFixture,
    StoreTableFixture,
    run_on_foreign_service,
)

A = RowKey("a")
B = RowKey("b")
READS = {
    'row "a" is read': lambda table: table.read(A),
    'row "b" is read': lambda table: table.read(B),
    'rows from "a" are scanned': lambda table: table.scan("a"),
    'rows from "x" are scanned': lambda table: table.scan("x"),
}
OPERATIONS = READS | {"a commit is sent": lambda table: table.commit([], [RowWrite(A, b"1")])}


FIXTURES = {"memory": MemoryTableFixture, "store": StoreTableFixture}


class TableScenario:
    """A table that holds row "a" at version 1."""

    def __init__(self, adapter):
        self.fixture = FIXTURES[adapter]()
        self.commit([RowCheck(A, 0)], [RowWrite(A, b"first")])

    def run(self, operation):
        return asyncio.run(operation(self.fixture.table))

    def commit(self, checks, writes):
        return self.run(lambda table: table.commit(checks, writes))


def describe(result):
    """Return the text by which the feature names a result."""
    if isinstance(result, Err):
        return type(result.err_value).__name__
    rows = result.ok_value if isinstance(result.ok_value, list) else [result.ok_value]
    if rows == [None]:
        return "absent"
    return ", ".join(f"{row.key} at version {row.version}" for row in rows) or "no row"


@given('the {adapter} table with row "a" at version 1')
def step_table_with_row(context, adapter):
    context.table_scenario = TableScenario(adapter)


@given("the next commit fails: {fault}")
def step_next_commit_fault(context, fault):
    context.table_scenario.fixture.fail_next_commit(fault)


@when('a commit checks "{key}" at version {version:d} and writes "a" and "b"')
def step_commit(context, key, version):
    writes = [RowWrite(A, b"second"), RowWrite(B, b"\x00\xff")]
    context.result = context.table_scenario.commit([RowCheck(RowKey(key), version)], writes)


@when('row "a" is deleted and created again')
def step_recreate(context):
    context.table_scenario.commit([RowCheck(A, 1)], [RowWrite(A, None)])
    context.result = context.table_scenario.commit([RowCheck(A, 0)], [RowWrite(A, b"again")])


@then("the commit gives {expected}")
def step_commit_result(context, expected):
    result = context.result
    name = "Ok" if isinstance(result, Ok) else type(result.err_value).__name__
    assert name == expected, result


@then('row "b" is {state}')
def step_row_state(context, state):
    row = context.table_scenario.run(lambda table: table.read(B)).unwrap()
    assert (row is not None) == (state == "present"), row
    if row is not None:
        assert row.value == b"\x00\xff"


@then("its version is above 1")
def step_higher_version(context):
    assert context.result.unwrap()[A] > 1, context.result


@given("the table is {state}")
def step_outage(context, state):
    if state == "down":
        context.table_scenario.fixture.take_down()


@given("another service at the store's address that answers {answer}")
def step_foreign_service(context, answer):
    context.foreign_answer = answer


@when("{operation} over HTTP")
def step_foreign_operation(context, operation):
    context.result = run_on_foreign_service(context.foreign_answer, OPERATIONS[operation])


@when('row "{key}" is read')
def step_read(context, key):
    context.result = context.table_scenario.run(READS[f'row "{key}" is read'])


@when('rows from "{prefix}" are scanned')
def step_scan(context, prefix):
    context.result = context.table_scenario.run(READS[f'rows from "{prefix}" are scanned'])


@then("the result is {expected}")
def step_read_result(context, expected):
    assert describe(context.result) == expected, context.result
