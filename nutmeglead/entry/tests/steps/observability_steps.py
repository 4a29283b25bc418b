"""Steps for logs and metrics."""

import asyncio
import logging
import os

import prometheus_client.core
from behave import given, then, when
from prometheus_client import CollectorRegistry, generate_latest

from nutmeglead.core.events import Event
from nutmeglead.core.ids import ServiceName
from nutmeglead.core.log_stream import NonBlockingStream
from nutmeglead.entry.metrics import NodeCollector
from nutmeglead.entry.tests.deployment import SERVICE, run_cluster
from nutmeglead.forwarding.model import Backend, RequestKind, Route
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.forwarding.request_log import RequestLog, RequestSummary
from nutmeglead.http.messages import RequestHead

STOCK = ServiceName("stock")
SETTLE_S = 6


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


class CollectingHandler(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append((record.event, record.fields))

    def fields_of(self, event):
        return [fields for found, fields in self.lines if found is event]


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
    context.collected = CollectingHandler()
    logger = logging.getLogger("nutmeglead.forwarding.request_log")
    logger.setLevel("INFO")
    logger.addHandler(context.collected)
    context.add_cleanup(logger.removeHandler, context.collected)


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
