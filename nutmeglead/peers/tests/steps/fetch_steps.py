"""Steps for fetches from a peer that sends slowly."""

from behave import given, then, when

from nutmeglead._generated.peers.ttypes import CopiedRow, NodeRow, TableCopy
from nutmeglead.core.codec import encode
from nutmeglead.emulator.hosts import HOST
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.http.tests.slow_sender import Sending, SlowSender
from nutmeglead.peers.fetch import fetch_from_peer
from nutmeglead.peers.peer import Peer

OWN_IP, PEER_IP = "10.1.0.2", "10.1.0.1"
LIMITS = CallerLimits(16_384, 0, 3_000, 60_000)
COPY = TableCopy(1, 1, [CopiedRow("config", 1, b"x" * 10_000, 0)], True, False)
# The delays of the emulated network are added to the times in the table.
TOLERANCE_MS = 20


@given("a peer that {sends}")
def step_peer(context, sends):
    context.sender = SlowSender(Sending(sends), encode(COPY))


@when("a copy is fetched from it")
def step_fetch(context):
    async def run(clock):
        HOST.set(PEER_IP)
        server = PipelineServer(context.sender.answer, lambda: LIMITS, clock)
        await server.start(PEER_IP, 80)
        HOST.set(OWN_IP)
        peer = Peer("peer", NodeRow(PEER_IP, 80, 1, "zone-0", 1.0), 0)
        started_ms = clock.now_ms()
        fetched = await fetch_from_peer(HttpFetcher(), peer, "/copies/op", TableCopy, clock)
        return fetched, clock.now_ms() - started_ms

    context.fetched, context.duration_ms = run_virtual(run, EmulatedLoop(1))


@then("the copy has arrived after {duration_ms:d} ms")
def step_arrived(context, duration_ms):
    assert context.fetched is not None and context.fetched.message == COPY
    assert abs(context.duration_ms - duration_ms) <= TOLERANCE_MS, context.duration_ms


@then("the fetch has failed after {duration_ms:d} ms")
def step_failed(context, duration_ms):
    assert context.fetched is None
    assert abs(context.duration_ms - duration_ms) <= TOLERANCE_MS, context.duration_ms
