"""Steps for the entry process under clients that exceed the limits."""

import asyncio

from behave import given, then, when

from nutmeglead.programs.crowd_tests.crowd import CROWDS, Crowd, send_largest_body
from nutmeglead.programs.crowd_tests.deployment import GUARD_S, Deployment

RETRY_PAUSE_S = 0.1


def run(context, coroutine):
    return context.loop.run_until_complete(asyncio.wait_for(coroutine, GUARD_S))


@given("an entry process with one server")
def step_entry(context):
    start(context, Deployment())


@given("an entry process with {memory_mb:d} MB and bodies of up to {body_mib:d} MiB")
def step_large_entry(context, memory_mb, body_mib):
    start(context, Deployment(memory_mb, body_mib * 1024 * 1024))


@given("an entry process with {memory_mb:d} MB and {max_fds:d} descriptors")
def step_wide_entry(context, memory_mb, max_fds):
    start(context, Deployment(memory_mb, max_fds=max_fds))


def start(context, deployment):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.deployment = deployment
    run(context, context.deployment.start())
    context.add_cleanup(lambda: run(context, context.deployment.stop()))


@when("{count:d} clients {behaviour}")
def step_crowd(context, count, behaviour):
    run(context, Crowd(context.deployment, count, CROWDS[behaviour]).run())


@when("{count:d} callers send the largest body at once, {rounds:d} times")
def step_largest_bodies(context, count, rounds):
    async def send():
        for _ in range(rounds):
            sending = [send_largest_body(context.deployment) for _ in range(count)]
            context.statuses = await asyncio.gather(*sending)

    run(context, send())


@then("the last one got status {status:d}")
def step_status(context, status):
    assert context.statuses[-1] == status, context.statuses


@then("the process lives within the memory and the descriptors of its settings")
def step_bounds(context):
    deployment = context.deployment
    assert deployment.is_alive, deployment.log.read_text()[-2_000:]
    memory_mb = deployment.peak_memory_bytes() / 1_000_000
    print(f"peak memory {memory_mb:.1f} MB, descriptors {deployment.max_fd_count}")
    assert memory_mb <= deployment.memory_mb, f"{memory_mb:.1f} MB"
    assert deployment.max_fd_count <= deployment.max_fds, deployment.max_fd_count


@then("an ordinary request is answered once the crowd has left")
def step_answered(context):
    async def answered():
        # A caller that is told to retry later does so.
        while (status := await context.deployment.ordinary_status()) in (0, 503):
            assert context.deployment.is_alive, "the process has ended"
            await asyncio.sleep(RETRY_PAUSE_S)
        return status

    assert run(context, answered()) == 200
