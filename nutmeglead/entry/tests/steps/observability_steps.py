"""Steps for logs and metrics."""

import asyncio
import os
from dataclasses import replace

import prometheus_client.core
from behave import given, then, when
from prometheus_client import CollectorRegistry, generate_latest

from nutmeglead._generated.peers.ttypes import NodeRow, TableCopy
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.events import Event
from nutmeglead.core.ids import ServiceName
from nutmeglead.core.log_stream import NonBlockingStream
from nutmeglead.emulator.hosts import HOST
from nutmeglead.emulator.network import EmulatedLoop
from nutmeglead.emulator.virtual_time import run_virtual
from nutmeglead.entry.loop_monitor import LoopMonitor
from nutmeglead.entry.metrics import NodeCollector
from nutmeglead.entry.tests.collected_events import collect
from nutmeglead.entry.tests.deployment import MANIFEST, OPTIONS, SERVICE, run_cluster
from nutmeglead.forwarding.model import Backend, RequestKind, Route
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.request_log import RequestLog, RequestSummary
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.exchange import CallerLimits
from nutmeglead.http.messages import RequestHead
from nutmeglead.http.pipeline import PipelineServer
from nutmeglead.peers.fetch import fetch_from_peer
from nutmeglead.peers.peer import Peer

STOCK = ServiceName("stock")
SETTLE_S = 6
# Until then, a node that takes copies may still have a feed call at the store from its start.
FIRST_FEED_CALLS_S = 20
# The third node of the only failure domain takes copies from the first two.
ONE_COPYING_NODE = replace(OPTIONS, nodes=3, failure_domains=1)
PEER_IP = "10.1.0.1"
PEER_LIMITS = CallerLimits(16_384, 0, 3_000, 60_000)


@given("a log pipe that nobody reads")
def step_pipe(context):
    context.read_end, write_end = os.pipe()
    context.stream = NonBlockingStream(write_end)


@when("{count:d} lines are logged")
def step_lines(context, count):
    for number in range(count):
        context.stream.write(f"line {number} {'x' * 80}\n")


@then("all calls have returned and lines were dropped")
def step_dropped(context):
    context.dropped = context.stream.dropped
    assert context.dropped > 0


@then("after the pipe is read, the next output states how many")
def step_dropped_count(context):
    os.read(context.read_end, 1 << 20)
    context.stream.write("after\n")
    data = os.read(context.read_end, 1 << 20).decode()
    assert f'{{"dropped_lines": {context.dropped}}}\nafter\n' in data, data[-200:]


def caller_request():
    backends = (Backend(STOCK, 1.0),)
    route = Route("r", "h", "/s/", RequestKind.IDEMPOTENT, 800, 300, 1, 2, backends)
    return CallerRequest(RequestHead(b"GET", b"/s/"), b"", b"id-1", route, 3, 7, 0, 800)


def summary(failure):
    status = 503 if failure else 200
    return RequestSummary("x", status, [], failure, 42, 5, 0)


@given("a request log on a clock that stands still")
def step_log(context):
    context.log = RequestLog()
    context.collected = collect(context, "nutmeglead.forwarding.request_log")


@when("{failed:d} requests fail and {answered:d} are answered")
def step_requests(context, failed, answered):
    for _ in range(failed):
        context.log.add(caller_request(), STOCK, summary("no room"), 1_000)
    for _ in range(answered):
        context.log.add(caller_request(), STOCK, summary(None), 1_000)


@then("at most {failed:d} failures and {answered:d} answers are logged")
def step_logged(context, failed, answered):
    assert 0 < len(context.collected.fields_of(Event.REQUEST_FAILED)) <= failed
    assert 0 < len(context.collected.fields_of(Event.REQUEST_ANSWERED)) <= answered


@then("the counters show {failed:d} failures and {answered:d} answers")
def step_counters(context, failed, answered):
    assert sum(context.log.outcomes.values()) == failed + answered
    durations = context.log.durations[(STOCK, RequestKind.IDEMPOTENT)]
    assert sum(durations.counts) == failed + answered


@then("the next line of each kind states how many were not logged")
def step_unlogged(context):
    for event, failure, total in (
        (Event.REQUEST_FAILED, "no room", 500),
        (Event.REQUEST_ANSWERED, None, 300),
    ):
        logged = len(context.collected.fields_of(event))
        context.log.add(caller_request(), STOCK, summary(failure), 9_000)
        assert context.collected.fields_of(event)[-1]["unlogged"] == total - logged


@given("a settled cluster with one node that is scraped")
def step_scraped(context):
    async def run(cluster):
        await asyncio.sleep(SETTLE_S)
        process = cluster.nodes[cluster.acting(SERVICE)]
        registry = CollectorRegistry()
        registry.register(NodeCollector(process, prometheus_client.core))
        return generate_latest(registry).decode()

    context.metrics = run_cluster(41, run)


@then("the metrics have the lines")
def step_metrics(context):
    lines = context.metrics.splitlines()
    for row in context.table:
        assert row["line"] in lines, (row["line"], context.metrics)


@given("a settled cluster whose manifest changes, one node of which takes copies")
def step_manifest_changes(context):
    context.collected = collect(context, "nutmeglead")

    async def run(cluster):
        await asyncio.sleep(FIRST_FEED_CALLS_S)
        copying = next(
            node_id
            for node_id, process in cluster.nodes.items()
            if not process.membership.is_hub(cluster.clock.now_ms())
        )
        cluster.put_manifest(replace(MANIFEST, version=2))
        await asyncio.sleep(2)
        return cluster.node_ip(copying)

    context.copying_ip = run_cluster(42, run, ONE_COPYING_NODE)


@then("that node has logged {event} with {names}")
def step_logged_fields(context, event, names):
    fields = context.collected.fields_of(Event[event], {context.copying_ip})[-1]
    assert all(isinstance(fields[name], int) for name in names.split()), fields


@given("a peer that sends {size:d} bytes of a copy and then nothing more")
def step_stuck_peer(context, size):
    async def send_part(exchange):
        await exchange.start_response(200, [(b"content-length", b"%d" % (2 * size))])
        await exchange.send_body(b"x" * size)
        await asyncio.sleep(60)

    context.stuck_handler = send_part


@when("the copy is fetched")
def step_fetch_copy(context):
    context.collected = collect(context, "nutmeglead.peers.fetch")

    async def run(clock):
        HOST.set(PEER_IP)
        server = PipelineServer(context.stuck_handler, lambda: PEER_LIMITS, clock)
        await server.start(PEER_IP, 80)
        HOST.set("10.1.0.2")
        peer = Peer("peer", NodeRow(PEER_IP, 80, 1, "zone-0", 1.0), 0)
        return await fetch_from_peer(HttpFetcher(), peer, "/copies/op", TableCopy, clock)

    assert run_virtual(run, EmulatedLoop(1)) is None


@then("PEER_FETCH_FAILED is logged with more than {size:d} received bytes")
def step_fetch_failed(context, size):
    (fields,) = context.collected.fields_of(Event.PEER_FETCH_FAILED)
    assert fields["received_bytes"] > size, fields


@given("an event loop monitor")
def step_monitor(context):
    context.collected = collect(context, "nutmeglead.entry.loop_monitor")
    context.monitor = LoopMonitor(ManualClock())


@when("timers are {first_ms:d}, {second_ms:d} and {third_ms:d} ms late")
def step_late(context, first_ms, second_ms, third_ms):
    for late_ms in (first_ms, second_ms, third_ms):
        context.monitor.record(late_ms)


@then("EVENT_LOOP_STALLED is logged once, with {late_ms:d} ms")
def step_stalled(context, late_ms):
    assert context.collected.fields_of(Event.EVENT_LOOP_STALLED) == [{"late_ms": late_ms}]
    assert context.monitor.max_late_ms == late_ms
