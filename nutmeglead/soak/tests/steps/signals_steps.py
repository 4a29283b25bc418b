"""Steps for signals to entry programs that end by themselves."""

import asyncio
import os
import signal
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when

from nutmeglead.programs.exit_codes import ExitCode
from nutmeglead.soak.fleet import EntryProgram


@given("entry programs whose settings file is missing")
def step_missing(context):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = Path(directory.name)


@when("{count:d} of them get signals until their ends are known")
def step_signals(context, count):
    async def run_one():
        program = EntryProgram("", context.directory / "no.jsonc", context.directory / "log")
        await program.start()
        ended = asyncio.create_task(program.wait_for_exit())
        while not ended.done():
            program.signal(signal.SIGHUP)
            await asyncio.sleep(0)
        return ended.result()

    async def run_all():
        return [await run_one() for _ in range(count)]

    context.exit_codes = asyncio.run(run_all())


@when("one of them has ended before the soak can open its descriptor")
def step_ended(context):
    async def run():
        program = EntryProgram("", context.directory / "no.jsonc", context.directory / "log")
        with mock.patch.object(os, "pidfd_open", side_effect=ProcessLookupError):
            await program.start()
        program.signal(signal.SIGHUP)
        return await program.wait_for_exit()

    context.exit_codes = [asyncio.run(run())]


@then("each has the exit code of settings that cannot be read")
def step_codes(context):
    assert set(context.exit_codes) == {ExitCode.FILE_UNREADABLE}, context.exit_codes
