"""Steps that put malformed entries among those of the servers."""

import asyncio
import ipaddress
import json
import random
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from nutmeglead._generated.peers.ttypes import TableCopy
from nutmeglead.core.clock import ManualClock
from nutmeglead.core.codec import decode, encode
from nutmeglead.core.ids import FailureDomainName, ServerId, ServiceName
from nutmeglead.emulator.rows import RowStore, RowStoreFetcher
from nutmeglead.entry.contact import StoreContact
from nutmeglead.entry.followed_table import FollowedTable
from nutmeglead.entry.tables import apply_server_rows
from nutmeglead.entry.tests.deployment import OPTIONS, ROUTE, SERVICE, run_cluster
from nutmeglead.entry.watch import TableWatch
from nutmeglead.forwarding.model import ServerIncarnation, ServerRecord, ServerState
from nutmeglead.forwarding.registry import ServerRegistry
from nutmeglead.forwarding.request import CallerRequest
from nutmeglead.http.client import ClientConnection
from nutmeglead.http.messages import RequestHead
from nutmeglead.peers.codec import server_tag
from nutmeglead.platform.registry import encode_server
from nutmeglead.platform.store import StoreClient
from nutmeglead.platform.wire import SERVERS_TABLE
from nutmeglead.ranges.keys import KEY_COUNT
from nutmeglead.ranges.model import KeyRange, RangeMap, encode_map

SETTLE_S = 6
OBSERVED_S = 3
RECORD = ServerRecord(
    ServerIncarnation(ServerId("x-1"), 1_700_000_000_000),
    SERVICE,
    "10.2.0.77",
    80,
    FailureDomainName("zone-0"),
    4,
    ServerState.READY,
    0,
)
ENTRY = json.loads(encode_server(RECORD))
HALF_PAIR = "half \ud800"
# The id and the bytes of each malformed entry.
MALFORMED = {
    "30000 nested lists": ("x-1", b"[" * 30_000 + b"]" * 30_000),
    "30000 nested objects": ("x-1", b'{"a":' * 10_000 + b"1" + b"}" * 10_000),
    "a host name as its address": ("x-1", {"address": "no.such.host.example:80"}),
    "a zero byte in its address": ("x-1", {"address": "10.2.0.77\0:80"}),
    "a line break in its id": ("x-1\r\nx: 1", {}),
    "half of a surrogate pair in its service": ("x-1", {"service": HALF_PAIR}),
    "half of a surrogate pair in its zone": ("x-1", {"zone": HALF_PAIR}),
    "half of a surrogate pair in its id": (HALF_PAIR, {}),
}


def entry_bytes(change):
    """Return a valid entry with changed fields, or the bytes that take its place."""
    return change if isinstance(change, bytes) else json.dumps({**ENTRY, **change}).encode()


@given("a settled cluster of three nodes with seed {seed:d}")
def step_cluster(context, seed):
    context.seed = seed


def put_malformed(rows, malformed):
    if malformed == "a state of 900 to 1000 nested lists":
        # Depending on the depth of the stack, one of them can be decoded but not be printed.
        for depth in range(900, 1_001):
            nested = "[" * depth + "]" * depth
            data = json.dumps(ENTRY).replace('"ready"', nested).encode()
            rows.put(SERVERS_TABLE, f"x-{depth}", data)
        return
    server_id, change = MALFORMED[malformed]
    rows.put(SERVERS_TABLE, server_id, entry_bytes(change))


@when("another writer puts an entry with {malformed} among the servers")
def step_put(context, malformed):
    async def run(cluster):
        await asyncio.sleep(SETTLE_S)
        versions = {n: p.controllers[SERVICE].ranges.version for n, p in cluster.nodes.items()}
        put_malformed(cluster.rows, malformed)
        await asyncio.sleep(OBSERVED_S)
        context.known = [
            record.server_id
            for process in cluster.nodes.values()
            for record in process.registry.records(SERVICE)
        ]
        context.unheld_keys = cluster.unheld_keys()
        context.versions = versions, {
            n: p.controllers[SERVICE].ranges.version for n, p in cluster.nodes.items()
        }
        process = cluster.nodes[cluster.node_ids[0]]
        context.copy = process._table_copies.encoded_body(f"/copies/{SERVERS_TABLE}?after=0", False)
        context.server_ids = set(cluster.servers)

    context.exit_code = None
    try:
        run_cluster(context.seed, run, replace(OPTIONS, nodes=3))
    except SystemExit as error:
        # A process of the cluster has ended by itself.
        context.exit_code = error.code


@then("all nodes go on, and refuse the entry")
def step_go_on(context):
    assert context.exit_code is None, context.exit_code
    assert set(context.known) == context.server_ids, set(context.known)


@then("the keys stay with their servers, and a hub's copy of the entries can be read")
def step_copy(context):
    assert context.unheld_keys == 0
    before, after = context.versions
    assert before == after, (before, after)
    copy = decode(TableCopy, context.copy).unwrap()
    assert context.server_ids <= {row.key for row in copy.rows}


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=20)
    | st.sampled_from([SERVICE, "ready", "draining", "10.2.0.9:80", "10.2.0.9:0", "[::1]:80"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=4,
)
IDS = st.sampled_from(["s-1", "i-7f3a91c2", "größe"]) | st.text(st.characters(), max_size=20)
CHANGES = st.dictionaries(st.sampled_from(sorted(ENTRY)), JSON_VALUES, max_size=3)


class CollectedBytes:
    """Take the place of a connection's channel and keep what is written to it."""

    bytes_written = 0

    async def write(self, data):
        self.data = data


def use(record):
    """Use a decoded record as the product does: hash, encode, connect and send."""
    server_tag(record.server_id)
    whole = [KeyRange(0, KEY_COUNT - 1, record.incarnation, 1)]
    encode_map(RangeMap(ServiceName(record.service), whole))
    ipaddress.IPv4Address(record.ip)
    request = CallerRequest(
        RequestHead(b"GET", b"/s/", [(b"host", b"a")]), b"", b"r1", ROUTE, 1, 1, 0, 1_000
    )
    headers = request.server_headers(record.server_id, 100)
    connection = ClientConnection(CollectedBytes())
    asyncio.run(connection.send_request(RequestHead(b"GET", b"/s/", headers), b""))
    str(record.failure_domain).encode()


def follow_entry(server_id, data):
    """Apply one entry in the store, and encode a copy of the table; return the registry."""
    clock, registry = ManualClock(), ServerRegistry()
    rows = RowStore(clock)
    rows.put(SERVERS_TABLE, server_id, data)
    store = StoreClient("10.0.0.1", 80, RowStoreFetcher(rows), 1_000, clock)

    def apply(rows, is_snapshot, after_outage):
        apply_server_rows(registry, clock, rows, is_snapshot, after_outage)

    table = FollowedTable(SERVERS_TABLE, apply, 0)
    watch = TableWatch(store, table, StoreContact(clock), clock, random.Random(1), lambda: True)
    watch.apply_fed_rows(asyncio.run(store.feed(SERVERS_TABLE, 0, 0)).unwrap(), True)
    encode(watch.copy(0))
    return registry


@then("{count:d} generated entries are refused, or used without an error")
def step_generated(context, count):
    used = []

    @hypothesis_settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @generate(IDS, CHANGES)
    def check(server_id, change):
        for record in follow_entry(server_id, entry_bytes(change)).records(SERVICE):
            use(record)
            used.append(record)

    check()
    assert used, "no generated entry was usable"
