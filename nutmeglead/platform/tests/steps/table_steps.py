"""Steps for the contract of the TableStore port; every adapter runs the same scenarios."""

import asyncio

from behave import given, then, when
from result import Ok

from nutmeglead._generated.common.ttypes import Address
from nutmeglead.core.ids import RowKey
from nutmeglead.core.registry import Registry
from nutmeglead.http.client import HttpFetcher
from nutmeglead.platform.http_table import HttpTable
from nutmeglead.platform.memory import MemoryTable, TableFault
from nutmeglead.platform.ports import RowCheck, RowWrite
from nutmeglead.standin.platform import PlatformStandin

GUARD_MS = 10_000
ADAPTERS = Registry("table adapters")
A = RowKey("a")
B = RowKey("b")


@ADAPTERS.register("memory")
async def with_memory(memory, use):
    return await use(memory)


@ADAPTERS.register("http")
async def with_http(memory, use):
    standin = PlatformStandin()
    standin.table = memory
    port = await standin.start("127.0.0.1", 0)
    fetcher = HttpFetcher()
    try:
        return await use(HttpTable(Address("127.0.0.1", port), GUARD_MS, fetcher))
    finally:
        fetcher.close()
        await standin.stop()


class TableScenario:
    def __init__(self, adapter):
        self.memory = MemoryTable()
        self.adapter = ADAPTERS.get(adapter)
        asyncio.run(self.memory.commit([RowCheck(A, 0)], [RowWrite(A, b"first")]))

    def run(self, use):
        return asyncio.run(asyncio.wait_for(self.adapter(self.memory, use), GUARD_MS / 1000))

    def commit(self, checks, writes):
        return self.run(lambda table: table.commit(checks, writes))


@given('the {adapter} table with row "a" at version 1')
def step_table(context, adapter):
    context.store = TableScenario(adapter)


@given("the next commit meets {fault}")
def step_fault(context, fault):
    context.store.memory.next_commit_faults.append(TableFault(fault))


@when('a commit checks "{key}" at version {version:d} and writes "a" and "b"')
def step_commit(context, key, version):
    writes = [RowWrite(A, b"second"), RowWrite(B, b"\x00\xff")]
    context.answer = context.store.commit([RowCheck(RowKey(key), version)], writes)


@when('row "a" is deleted and created again')
def step_recreate(context):
    context.store.commit([RowCheck(A, 1)], [RowWrite(A, None)])
    context.answer = context.store.commit([RowCheck(A, 0)], [RowWrite(A, b"again")])


@then("the commit gives {answer}")
def step_answer(context, answer):
    given_answer = context.answer
    name = "Ok" if isinstance(given_answer, Ok) else type(given_answer.err_value).__name__
    assert name == answer, given_answer


@then('row "b" is {state}')
def step_state(context, state):
    row = context.store.run(lambda table: table.read(B)).unwrap()
    assert (row is not None) == (state == "present"), row
    if row is not None:
        assert row.value == b"\x00\xff"


@then("its version is above 1")
def step_version(context):
    assert context.answer.unwrap()[A] > 1, context.answer
