"""Steps for bounded waits."""

import asyncio

from behave import given, then, when

from nutmeglead.core.waiting import wait_at_most

# The loop ends by itself after this many rounds, so that a failure does not hang the run.
MAX_ROUNDS = 5
WAIT_MS = 60_000


class WaitScenario:
    def __init__(self):
        self.rounds = 0

    async def loop(self, event):
        while self.rounds < MAX_ROUNDS:
            self.rounds += 1
            await wait_at_most(event, WAIT_MS)
            event.clear()

    async def play(self):
        event = asyncio.Event()
        task = asyncio.ensure_future(self.loop(event))
        await asyncio.sleep(0)
        event.set()
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return task.cancelled()


@given("a loop that waits for an event again and again")
def step_loop(context):
    context.wait = WaitScenario()


@when("the event is set and the loop is cancelled in the same step")
def step_cancel(context):
    context.was_cancelled = asyncio.run(context.wait.play())


@then("the loop has ended")
def step_ended(context):
    assert context.was_cancelled, f"the loop went on for {context.wait.rounds} rounds"
