"""Ways in which a request is late in the stop of its node."""

import asyncio
from contextvars import Context
from dataclasses import replace
from functools import partial

from nutmeglead.entry.tests.late_stop_requests import OBSERVED_S, SLOW_FACTOR, SLOW_FROM_MS, WAYS
from nutmeglead.entry.tests.stops import STOPPED

# The idle connections are closed 2,300 ms after SIGTERM.
BEGIN_MS = 2_250
# A mean of about 300 ms.
TAIL = {"work_ms": 180, "long_share": 0.05, "long_work_ms": 2_500}
SMALL_ANSWER_BYTES = 200
# More than a node reads whole before it sends the first byte, and 5 s of a slow link.
LARGE_ANSWER_BYTES = 1_800_000
LARGE_ANSWER_BYTES_PER_S = 350_000
# Such a request is sent at this time, so that its answer begins just before SIGTERM.
LARGE_BEGIN_MS = -2_300


@WAYS.register("accepted last, sends later")
async def _accepted_last(late):
    await late.until(2_284)
    channel = await late.connect()
    await late.until(3_100)
    await late.send(channel)


@WAYS.register("accepted last, begins at once and sends the rest later")
async def _accepted_last_begins(late):
    await late.until(2_270)
    channel = await late.connect()
    await late.send(channel, head_ms=3_300)


@WAYS.register("head on a slow link")
async def _slow_head(late):
    channel = await late.connect()
    await late.until(BEGIN_MS)
    await late.send(channel, head_ms=3_300)


@WAYS.register("body on a slow link")
async def _slow_body(late):
    channel = await late.connect()
    await late.until(BEGIN_MS)
    await late.send(channel, body_ms=4_000)


@WAYS.register("body that waits to be asked for")
async def _awaited_body(late):
    channel = await late.connect()
    await late.until(BEGIN_MS)
    await late.send(channel, body_ms=4_000, is_awaited=True)


@WAYS.register("waits for servers that want a pause")
async def _wait_for_turn(late):
    channels = await late.connect_many(12)
    await late.until(0)
    for server in late.cluster.servers.values():
        server.host.shed_share, server.host.backoff_ms = 1.0, 1_500
    await late.until(1_900)
    first = asyncio.create_task(late.send_all(channels[:6]))
    await late.until(2_100)
    for server in late.cluster.servers.values():
        server.host.shed_share, server.host.backoff_ms = 0.0, None
    await late.send_all(channels[6:])
    await first


@WAYS.register("waits for full servers")
async def _wait_for_full(late):
    channels = await late.connect_many(80)
    late.slow_from_ms = 3_000
    await late.until(2_200)
    for server in late.cluster.servers.values():
        server.host.work_factor = 4.0
    await late.send_all(channels)


@WAYS.register("waits for the owner of its key")
async def _wait_for_owner(late):
    channels = await late.connect_many(24)
    keyed = [server for server in late.cluster.servers.values() if server.host.has_keys]
    await late.until(1_700)
    for server in keyed[:3]:
        late.cluster.crash_server(server.record.server_id)
    await late.until(2_200)
    await late.send_all(channels)


@WAYS.register("is tried again late")
async def _tried_again(late):
    channel = await late.connect()
    await late.until(0)
    for server in late.cluster.servers.values():
        server.host.lost_answer_share, server.host.work_factor = 1.0, 3.0
    await late.until(2_200)
    sending = asyncio.create_task(late.send(channel))
    await late.until(SLOW_FROM_MS)
    for server in late.cluster.servers.values():
        server.host.work_factor = SLOW_FACTOR
    await late.until(3_400)
    for server in late.cluster.servers.values():
        server.host.lost_answer_share = 0.0
    await sending


@WAYS.register("sent behind a request in progress")
async def _behind_one(late):
    channel = await late.connect()
    await late.until(2_200)
    for server in late.cluster.servers.values():
        server.host.work_factor = 6.0
    sent = [await late.write(channel)]
    await late.until(3_100)
    sent += [await late.write(channel) for _ in range(3)]
    for request, _ in sent[1:]:
        request.is_behind = True
    await late.read(channel, *sent)


@WAYS.register("sent ahead before the port is closed")
async def _ahead(late):
    channels = await late.connect_many(6)
    late.slow_from_ms = 3_000
    await late.until(2_200)
    for server in late.cluster.servers.values():
        server.host.work_factor = 5.0

    async def send_many(channel):
        sent = [await late.write(channel) for _ in range(16)]
        for request, _ in sent[1:]:
            request.is_behind = True
        await late.read(channel, *sent)

    await asyncio.gather(*(send_many(channel) for channel in channels))


@WAYS.register("arrives while the node stands still")
async def _stalled(late):
    network, ip = late.cluster.network, late.cluster.node_ip(STOPPED)
    channel = await late.connect()
    await late.until(2_200)
    network.hosts.freeze(ip)
    loop, thaw_ms = asyncio.get_running_loop(), 3_400
    loop.call_at((late.stop_ms + thaw_ms) / 1000, partial(network.thaw_host, ip), context=Context())
    await late.until(3_200)
    await late.send(channel)


@WAYS.register("body on a slow link, then waits for full servers")
async def _slow_body_and_full(late):
    full, slow = await late.connect_many(30), await late.connect_many(12)
    late.slow_from_ms = 3_100
    await late.until(2_200)
    for server in late.cluster.servers.values():
        server.host.work_factor = 4.0
    await asyncio.gather(
        late.send_all(full), *(late.send(channel, body_ms=3_050) for channel in slow)
    )


@WAYS.register("body on a slow link, then waits for the owner of its key")
async def _slow_body_and_owner(late):
    slow = await late.connect_many(24)
    keyed = [server for server in late.cluster.servers.values() if server.host.has_keys]
    await late.until(1_750)
    for server in keyed[:3]:
        late.cluster.crash_server(server.record.server_id)
    await late.until(BEGIN_MS)
    await asyncio.gather(*(late.send(channel, body_ms=3_100) for channel in slow))


@WAYS.register("body on a slow link to servers with a heavy tail")
async def _heavy_tail(late):
    late.slow_from_ms = OBSERVED_S * 1000
    for server in late.cluster.servers.values():
        server.host.options = replace(server.host.options, **TAIL)
    channels = await late.connect_many(60)
    await late.until(BEGIN_MS)
    await asyncio.gather(
        *(
            late.send(channel, body_ms=3_050 + 20 * number)
            for number, channel in enumerate(channels)
        )
    )


async def begin_large_answer(late, channel):
    """Send a request whose answer is large and comes over a slow link, before SIGTERM."""
    servers = late.cluster.servers.values()
    await late.until(LARGE_BEGIN_MS)
    for server in servers:
        late.cluster.network.links.set_rate(server.ip, LARGE_ANSWER_BYTES_PER_S)
        server.host.options = replace(server.host.options, answer_bytes=LARGE_ANSWER_BYTES)
    sent = await late.write(channel)
    await late.until(0)
    for server in servers:
        server.host.options = replace(server.host.options, answer_bytes=SMALL_ANSWER_BYTES)
    return sent


@WAYS.register("sent after a large answer that was begun before the port is closed")
async def _after_large(late):
    channel = await late.connect()
    first = await begin_large_answer(late, channel)
    await late.read(channel, first, closes=False)
    await late.send(channel)


@WAYS.register("sent ahead behind a large answer")
async def _behind_large(late):
    channel = await late.connect()
    first = await begin_large_answer(late, channel)
    await late.until(1_000)
    behind = await late.write(channel)
    behind[0].is_behind = True
    await late.read(channel, first, behind)
