"""Steps for the admin port."""

import asyncio

from behave import given, then, when
from prometheus_client import CollectorRegistry, Counter

from nutmeglead.admin.server import AdminServer, Readiness
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.messages import RequestHead

GUARD_MS = 10_000


class AdminScenario:
    def __init__(self, missing):
        self.registry = CollectorRegistry()
        Counter("admin_probe", "A counter.", registry=self.registry).inc(3)
        self.readiness = Readiness([] if missing == "nothing" else [missing])

    async def fetch(self, path):
        server = AdminServer(self.registry, lambda: self.readiness)
        port = await server.start("127.0.0.1", 0)
        fetcher = HttpFetcher()
        head = RequestHead(b"GET", path.encode())
        fetched = await fetcher.fetch("127.0.0.1", port, head, b"", GUARD_MS)
        fetcher.close()
        await server.stop()
        return fetched.unwrap()


@given("an admin server of a process that lacks {missing}")
def step_server(context, missing):
    context.admin = AdminScenario(missing)


@when("{path} is fetched")
def step_fetch(context, path):
    context.response, context.body = asyncio.run(context.admin.fetch(path))


@then("the status is {status:d}")
def step_status(context, status):
    assert context.response.status == status


@then("the body contains {text}")
def step_body(context, text):
    assert text in context.body.decode(), context.body
