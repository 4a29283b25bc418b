"""Steps for calls to a store that answers slowly."""

import asyncio
import json

from behave import given, then, when
from result import Err

from nutmeglead.emulator.hosts import HOST
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.http.tests.slow_sender import Sending, SlowSender
from nutmeglead.platform.store import StoreClient

OWN_IP, STORE_IP, STORE_PORT = "10.1.0.2", "10.200.1.7", 80
LIMITS = CallerLimits(16_384, 0, 3_000, 60_000)
ROW = {"table": "op", "part": "", "key": "config", "ver": 1, "value": "eA==" * 2_500}
ANSWER = json.dumps({"rows": [ROW], "has_more": False, "ver": 1}).encode()
TIMEOUT_MS = 2_000
FEED_WAIT_MS = 1_000
# The delays of the emulated network are added to the times in the table.
TOLERANCE_MS = 20


async def call_feed_twice(store):
    await store.feed("op", 0, FEED_WAIT_MS)
    return await store.feed("op", 1, FEED_WAIT_MS)


CALLS = {
    "feed twice": call_feed_twice,
    "feed": lambda store: store.feed("op", 0, FEED_WAIT_MS),
    "read": lambda store: store.read("op", ""),
}


@given("a store that {sends}")
def step_store(context, sends):
    context.sender = SlowSender(Sending(sends), ANSWER)


class PageSender:
    """Answer with a page of rows at each call, after its delay; `now_s` is when it was made."""

    def __init__(self, pages):
        self._pages = list(pages)

    async def answer(self, exchange):
        version, has_more, delay_s = self._pages.pop(0)
        row = {**ROW, "key": f"config-{version}"}
        page = {
            "rows": [row],
            "has_more": has_more,
            "ver": version,
            "now_s": asyncio.get_running_loop().time(),
        }
        await asyncio.sleep(delay_s)
        await exchange.respond(200, [], json.dumps(page).encode())


@given("two pages of a table, which the store reads at versions 7 and 9")
def step_pages(context):
    context.sender = PageSender([(7, True, 0), (9, False, 0)])


@given("an answer of the store that arrives at once, and one that arrives 900 ms after it was sent")
def step_delayed(context):
    context.sender = PageSender([(1, False, 0), (2, False, 0.9)])


@then(
    "the rows of both pages have arrived, and the next feed call asks for changes after version "
    "{version:d}"
)
def step_both_pages(context, version):
    rows = context.result.unwrap()
    assert [row.key for row in rows.rows] == ["config-7", "config-9"]
    assert rows.version == version, rows.version


@then("the second answer has a delay of {delay_ms:d} ms")
def step_second_delay(context, delay_ms):
    found_ms = context.result.unwrap().delay_ms
    assert abs(found_ms - delay_ms) <= TOLERANCE_MS, found_ms


@when("a node calls the {call}")
def step_call(context, call):
    async def run(clock):
        HOST.set(STORE_IP)
        server = PipelineServer(context.sender.answer, lambda: LIMITS, clock)
        await server.start(STORE_IP, STORE_PORT)
        HOST.set(OWN_IP)
        store = StoreClient(STORE_IP, STORE_PORT, HttpFetcher(), TIMEOUT_MS, clock)
        started_ms = clock.now_ms()
        result = await CALLS[call](store)
        return result, clock.now_ms() - started_ms

    context.result, context.duration_ms = run_virtual(run, EmulatedLoop(1))


@then("the rows have arrived after {duration_ms:d} ms")
def step_arrived(context, duration_ms):
    (row,) = context.result.unwrap().rows
    assert row.key == ROW["key"] and row.version == 1
    assert abs(context.duration_ms - duration_ms) <= TOLERANCE_MS, context.duration_ms


@then("the call has failed after {duration_ms:d} ms")
def step_failed(context, duration_ms):
    assert isinstance(context.result, Err)
    assert abs(context.duration_ms - duration_ms) <= TOLERANCE_MS, context.duration_ms
