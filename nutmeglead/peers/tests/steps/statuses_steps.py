"""Steps for copies from a peer that answers with a status outside 200 to 599."""

from behave import then, when

from nutmeglead._generated.peers.ttypes import NodeRow, TableCopy
from nutmeglead.core.clock import SystemClock
from nutmeglead.http.client import HttpFetcher
from nutmeglead.http.tests.raw_server import IP, run_with_raw_server, status_answer
from nutmeglead.peers.fetch import fetch_from_peer
from nutmeglead.peers.peer import Peer


@when("a copy is fetched from a peer that answers with status {status}")
def step_fetch(context, status):
    async def fetch(port):
        fetcher = HttpFetcher()
        peer = Peer("peer", NodeRow(IP, port, 1, "zone-0", 1.0), 0)
        try:
            return await fetch_from_peer(fetcher, peer, "/copies/op", TableCopy, SystemClock())
        finally:
            fetcher.close()

    context.copy = run_with_raw_server(status_answer(status), fetch)


@then("there is no copy")
def step_no_copy(context):
    assert context.copy is None, context.copy
